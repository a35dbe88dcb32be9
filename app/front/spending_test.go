package front_test

import (
	"net/http"
	"slices"
	"testing"

	"github.com/kumquatsill/kumquatsill/platform"
)

// Guards against granting the burst again to an account beyond its limit when all routers
// restart: only the store can tell the next one.
func TestRestartedRouterRemembersExceededAccount(t *testing.T) {
	b := newTestbed(t)
	b.configure(func(cfg map[string]any) {
		cfg["tenants"] = []any{map[string]any{"name": "t1", "accessKeys": []string{"secret"}, "unit": "tokens", "uncachedTokens": 10, "ratePerS": 10, "burst": 1000}}
	})
	first := b.startReady("r1")
	eventually(t, "the account is beyond its limit", func() bool {
		status, _ := first.call("/order/1", "secret")
		return status == http.StatusTooManyRequests
	})
	eventually(t, "the store holds the account", func() bool {
		return slices.Contains(b.store.Keys(platform.TopicSpending), "exceeded")
	})
	if err := first.Drain(); err != nil {
		t.Fatal(err)
	}
	second := b.start("r2")
	eventually(t, "the router is ready", second.isReady)
	served := 0
	for range 50 {
		if status, _ := second.call("/order/1", "secret"); status == http.StatusOK {
			served++
		}
	}
	if served > 10 {
		t.Errorf("%d of 50 requests were served right after the restart", served)
	}
}

// Guards against a router that refuses all accounts, or does not start, because it cannot
// read the record of their spending.
func TestOddSpendingIsIgnored(t *testing.T) {
	b := newTestbed(t)
	b.configure(nil)
	b.store.PutKey(platform.TopicSpending, "exceeded", []int{1})
	b.store.PutKey(platform.TopicSpending, "other", map[string]any{"t1": "low"})
	r := b.startReady("r1")
	if status, _ := r.call("/order/1", "secret"); status != http.StatusOK {
		t.Errorf("status %d", status)
	}
}
