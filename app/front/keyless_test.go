package front_test

import "testing"

// Guards against a configuration without accounts that refuses every request because it has
// no key, against one whose last account was removed that serves them, and against serving a
// key that nobody has.
func TestKeysAreAskedForOnlyIfThereAreAccounts(t *testing.T) {
	for name, c := range map[string]struct {
		change func(map[string]any)
		status int
	}{
		"none named": {func(cfg map[string]any) { delete(cfg, "tenants") }, 200},
		"null":       {func(cfg map[string]any) { cfg["tenants"] = nil }, 200},
		"empty":      {func(cfg map[string]any) { cfg["tenants"] = []any{} }, 401},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t)
			b.configure(c.change)
			r := b.start("r1")
			eventually(t, "open routes are served", func() bool {
				status, _ := r.call("/open/1", "")
				return status == 200
			})
			for _, path := range []string{"/order/1", "/look/1", "/sheet/1"} {
				if status, _ := r.call(path, ""); status != c.status {
					t.Errorf("%s without key: %d, want %d", path, status, c.status)
				}
				if status, _ := r.call(path, "unknown"); status != 401 {
					t.Errorf("%s with an unknown key: %d, want 401", path, status)
				}
			}
			for _, e := range b.engines {
				for _, run := range e.Runs() {
					if run.Account != "" || run.Key != "" {
						t.Errorf("an endpoint received %+v", run)
					}
				}
			}
		})
	}
}
