package front_test

import (
	"net/http"
	"testing"
)

// accountWithKey returns a change of the configuration that leaves one account with one
// key.
func accountWithKey(key string) func(map[string]any) {
	return func(cfg map[string]any) {
		cfg["tenants"] = []any{map[string]any{"name": "t1", "accessKeys": []string{key}}}
	}
}

// accepts reports whether the router serves a request with a key.
func (r *router) accepts(key string) bool {
	status, _ := r.call("/order/x", key)
	return status == http.StatusOK
}

// Guards against a configuration that is never read: the store was restored from an older
// copy and has appended it at an offset that the router had already read.
func TestConfigurationAtReusedOffsetIsRead(t *testing.T) {
	b := newTestbed(t)
	b.configure(nil)
	r := b.startReady("r1")
	backup := b.store.Backup()
	b.configure(accountWithKey("second"))
	eventually(t, "the second configuration is in force", func() bool { return r.accepts("second") })
	b.store.SetDown(true)
	b.store.Restore(backup)
	b.configure(accountWithKey("third"))
	b.store.SetDown(false)
	eventually(t, "the third configuration is in force", func() bool { return r.accepts("third") })
}
