package front_test

import (
	"net/http"
	"slices"
	"testing"

	"github.com/kumquatsill/kumquatsill/standin/hosting"
)

// withIsolation returns a change that adds account t2 with the key "other", and a route
// /mark/ by which a test sees that the configuration is in force.
func withIsolation(isolated bool, mark string) func(map[string]any) {
	return func(cfg map[string]any) {
		unlimited(cfg)
		tenants := cfg["tenants"].([]any)
		tenants[0].(map[string]any)["isolated"] = isolated
		cfg["tenants"] = append(tenants, map[string]any{"name": "t2", "accessKeys": []string{"other"}})
		cfg["routes"] = append(cfg["routes"].([]any), map[string]any{"name": "mark", "host": "h.example", "pathPrefix": "/" + mark + "/",
			"kind": "safe", "timeoutMs": 5000, "service": "plain", "attempts": 2, "public": true})
	}
}

// isolate puts a configuration in force at all routers.
func (b *testbed) isolate(isolated bool, mark string, routers ...*router) {
	b.t.Helper()
	b.configure(withIsolation(isolated, mark))
	for _, r := range routers {
		eventually(b.t, "the configuration is in force", func() bool {
			status, _ := r.call("/"+mark+"/x", "")
			return status == http.StatusOK
		})
	}
}

// saltsOf returns the different salts of the runs for an account, without the first skip runs
// of each engine.
func (b *testbed) saltsOf(account string, skip []int) []string {
	var salts []string
	for i, e := range b.engines[:2] {
		for _, run := range e.Runs()[skip[i]:] {
			if run.Account == account && !slices.Contains(salts, run.Salt) {
				salts = append(salts, run.Salt)
			}
		}
	}
	return salts
}

func (b *testbed) runCounts() []int { return []int{len(b.engines[0].Runs()), len(b.engines[1].Runs())} }

// Guards against an account that finds the cache entries that another one has made, although
// one of the two is isolated, at routers that have seen the change and at one that starts
// afterwards; and against new salts without a change.
func TestIsolatedAccountLeavesNoCacheEntries(t *testing.T) {
	b := newTestbed(t)
	b.configure(withIsolation(false, "first"))
	routers := []*router{b.startReady("r1"), b.startReady("r2")}
	stream := func(key string) {
		t.Helper()
		for _, r := range routers {
			if status, _ := r.call("/sheet/1", key); status != http.StatusOK {
				t.Fatalf("status %d", status)
			}
		}
	}
	stream("secret")
	stream("other")
	b.isolate(false, "second", routers...)
	stream("other")
	shared := b.saltsOf("t1", []int{0, 0})
	if got := b.saltsOf("t2", []int{0, 0}); len(shared) != 1 || !slices.Equal(got, shared) {
		t.Fatalf("nobody is isolated: salts %q and %q", shared, got)
	}
	before := b.runCounts()
	b.isolate(true, "third", routers...)
	routers = append(routers, b.startReady("r3"))
	stream("secret")
	stream("other")
	own, others := b.saltsOf("t1", before), b.saltsOf("t2", before)
	if len(own) != 1 || len(others) != 1 || slices.Contains([]string{own[0], shared[0]}, others[0]) || own[0] == shared[0] {
		t.Errorf("salts %q, then %q of the isolated account and %q of the other", shared, own, others)
	}
}

// Guards against a second attempt that uses the cache entries of an account that has become
// isolated since the request was admitted.
func TestLaterAttemptFollowsTheIsolation(t *testing.T) {
	b := newTestbed(t)
	b.configure(withIsolation(false, "first"))
	r := b.startReady("r1")
	changed := make(chan struct{})
	for _, e := range b.engines[:2] {
		e.SetFailure(func(int) hosting.Failure {
			select {
			case <-changed:
				return hosting.NoFailure
			default:
			}
			b.isolate(true, "second", r)
			close(changed)
			return hosting.Shed
		})
	}
	if status, _ := r.call("/sheet/1", "other"); status != http.StatusOK {
		t.Fatalf("status %d", status)
	}
	if salts := b.saltsOf("t2", []int{0, 0}); len(salts) != 1 || salts[0] == "m.1." {
		t.Errorf("salts %q", salts)
	}
}
