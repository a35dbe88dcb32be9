package front_test

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/platform"
	"github.com/kumquatsill/kumquatsill/standin/hosting"
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

// announce announces a version of the engines' model and waits until all engines run it.
func (b *testbed) announce(version int64) {
	b.t.Helper()
	b.store.PutKey(platform.TopicOperator, "version/m", map[string]any{"model": "m", "version": version})
	eventually(b.t, "all engines have the version", func() bool {
		return b.engines[0].Version() == version && b.engines[1].Version() == version
	})
}

// Guards against two holders with one fencing token, and against a token that is lower
// than one that an engine has seen: the store was restored from a copy without the claims
// and has assigned their offsets again.
func TestFencingTokensRiseAcrossRestore(t *testing.T) {
	b := newTestbed(t)
	b.configure(nil)
	first := b.startReady("r1")
	backup := b.store.Backup()
	b.announce(2)
	if err := first.Drain(); err != nil {
		t.Fatal(err)
	}
	b.startReady("r2")
	b.store.Restore(backup)
	b.announce(3)
	for _, e := range b.engines[:2] {
		checkFencingTokens(t, e)
	}
}

// checkFencingTokens fails if the tokens of an engine's orders fall, or two holders have
// the same.
func checkFencingTokens(t *testing.T, e *hosting.Engine) {
	t.Helper()
	orders := e.Orders()
	for i := 1; i < len(orders); i++ {
		last, next := orders[i-1], orders[i]
		if next.FencingToken < last.FencingToken || next.FencingToken == last.FencingToken && next.Holder != last.Holder {
			t.Errorf("engine %s got token %d of %s after token %d of %s", e.ID, next.FencingToken, next.Holder, last.FencingToken, last.Holder)
		}
	}
}

// Guards against requests to endpoints that have said that they leave or have left, because
// the store was restored from a copy in which they were ready.
func TestLeavingEndpointsStayOutAfterRestore(t *testing.T) {
	b := newTestbed(t)
	b.configure(nil)
	r := b.startReady("r1")
	backup := b.store.Backup()
	b.register(2, "draining")
	b.store.PutKey(platform.TopicEndpoints, b.engines[1].ID, nil)
	time.Sleep(drainTime)
	b.store.Restore(backup)
	time.Sleep(drainTime)
	before := len(b.engines[1].Runs()) + len(b.engines[2].Runs())
	for range 10 {
		r.call("/order/1", "secret")
		r.call("/chat/1", "secret")
	}
	if runs := len(b.engines[1].Runs()) + len(b.engines[2].Runs()) - before; runs != 0 {
		t.Errorf("%d runs at endpoints that leave", runs)
	}
}

// Guards against routers that do not find each other: a restored store lacks the
// registration of a router that has registered shortly before.
func TestRouterRegistersAgainAfterRestore(t *testing.T) {
	b := newTestbed(t)
	b.configure(nil)
	backup := b.store.Backup()
	b.startReady("r1")
	registered := func() bool { return slices.Contains(b.store.Keys(platform.TopicRouters), "r1") }
	eventually(t, "the router is registered", registered)
	b.store.Restore(backup)
	eventually(t, "the router is registered again", registered)
}

// Guards against routers that forget at a restart which part crashes engines: a restored
// store lacks the part that was written shortly before.
func TestBlockedPartIsSavedAgainAfterRestore(t *testing.T) {
	b := newTestbed(t)
	b.configure(func(cfg map[string]any) { cfg["tenants"].([]any)[0].(map[string]any)["ratePerS"] = 0 })
	traffic := &crashingTraffic{b: b, routers: []*router{b.startReady("r1"), b.startReady("r2")}}
	b.crashEnginesOn("bad")
	backup := b.store.Backup()
	saved := func() bool { return len(b.store.Keys(platform.TopicCrashes)) > 0 }
	eventually(t, "the part is saved", func() bool {
		traffic.runFor(100 * time.Millisecond)
		return saved()
	})
	b.store.Restore(backup)
	eventually(t, "the part is saved again", saved)
}
