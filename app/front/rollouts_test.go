package front_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/app/front"
	"github.com/kumquatsill/kumquatsill/core/canary"
	"github.com/kumquatsill/kumquatsill/platform"
	"github.com/kumquatsill/kumquatsill/standin/hosting"
)

// rolloutBounds are generous, so that a busy machine does not starve the new release.
var rolloutBounds = canary.Bounds{ExposureShare: 0.1, ExposureSlack: 100, RollbackWithin: 5 * time.Second}

func withRollouts(cfg *front.Config) {
	cfg.Settings.Rollout = rolloutBounds
	cfg.Settings.RetryRatio, cfg.Settings.RetryReserve = 1, 1000
}

// withoutLimits removes the account's limit, which the tests' requests would exceed.
func withoutLimits(cfg map[string]any) {
	cfg["tenants"] = []any{map[string]any{"name": "t1", "accessKeys": []string{"secret"}, "ratePerS": 0}}
}

// addRelease starts endpoints of a release of the service "plain" and returns them.
func (b *testbed) addRelease(release string, n int) []*hosting.Engine {
	var added []*hosting.Engine
	for i := range n {
		e := hosting.NewEngine(fmt.Sprint(release, "-", i), "plain", "")
		e.Release = release
		b.engines, b.addrs = append(b.engines, e), append(b.addrs, b.listen(e))
		b.register(len(b.engines)-1, "ready")
		added = append(added, e)
	}
	return added
}

func (b *testbed) order(to string, duration time.Duration) {
	b.store.PutKey(platform.TopicOperator, "rollout/plain", map[string]any{"service": "plain", "to": to, "durationS": duration.Seconds()})
}

// status returns the state and the release of the stored status.
func (b *testbed) status() string {
	var s struct{ State, To string }
	if value := b.store.Value(platform.TopicRouters, "rollout/plain"); value == nil || json.Unmarshal(value, &s) != nil {
		return ""
	}
	return s.State + " " + s.To
}

func runs(engines []*hosting.Engine) int {
	n := 0
	for _, e := range engines {
		n += len(e.Runs())
	}
	return n
}

// callUntil sends requests until a condition holds, and returns their number.
func callUntil(t *testing.T, routers []*router, condition func() bool) (calls int) {
	t.Helper()
	end := time.Now().Add(6 * testTimeout)
	for ; !condition(); calls++ {
		if time.Now().After(end) {
			t.Fatal("timed out")
		}
		r := routers[calls%len(routers)]
		r.call([]string{"/look/x", "/open/x"}[calls/len(routers)%2], "secret")
	}
	return calls
}

// Guards against a good release that is not completed, gets requests before the order, or
// not all of them after the status.
func TestGoodReleaseIsCompleted(t *testing.T) {
	b := newTestbed(t)
	b.configure(withoutLimits)
	routers := []*router{b.startWith("r1", withRollouts).awaitReady(b), b.startWith("r2", withRollouts).awaitReady(b)}
	added := b.addRelease("v2", 3)
	eventually(t, "the new endpoints are known", func() bool { return strings.Contains(routers[0].rollouts(), `"v2":3`) })
	for range 20 {
		routers[0].call("/look/x", "secret")
	}
	if n := runs(added); n > 0 {
		t.Fatalf("%d requests without an order", n)
	}
	b.order("v2", 8*time.Second)
	callUntil(t, routers, func() bool { return b.status() == "completed v2" })
	old := b.engines[2:4]
	eventually(t, "both routers have read the status", func() bool {
		return strings.Contains(routers[0].rollouts(), `"established":"v2"`) && strings.Contains(routers[1].rollouts(), `"established":"v2"`)
	})
	before := runs(old)
	for i := range 20 {
		if status, _ := routers[i%2].call("/look/x", "secret"); status != http.StatusOK {
			t.Errorf("status %d", status)
		}
	}
	if n := runs(old) - before; n > 0 {
		t.Errorf("%d requests at the old release after completed", n)
	}
	b.order("v2", 8*time.Second)
	eventually(t, "the repeated order changes nothing", func() bool { return b.status() == "completed v2" })
}

// Guards against a bad release that is completed, exceeds its exposure or gets requests after
// the status, also by a router that starts later.
func TestBadReleaseIsRolledBack(t *testing.T) {
	b := newTestbed(t)
	b.configure(withoutLimits)
	routers := []*router{b.startWith("r1", withRollouts).awaitReady(b), b.startWith("r2", withRollouts).awaitReady(b)}
	added := b.addRelease("v2", 3)
	for _, e := range added {
		e.SetFailure(func(run int) hosting.Failure {
			if run%2 == 0 {
				return hosting.ServerError
			}
			return hosting.NoFailure
		})
	}
	b.order("v2", 8*time.Second)
	calls := callUntil(t, routers, func() bool { return b.status() == "rolled_back v2" })
	n := runs(added)
	if bound := rolloutBounds.ExposureShare*float64(calls) + rolloutBounds.ExposureSlack; float64(n) > bound {
		t.Errorf("%d of %d requests at the bad release", n, calls)
	}
	late := b.startWith("r3", withRollouts).awaitReady(b)
	for range 20 {
		late.call("/look/x", "secret")
		routers[0].call("/look/x", "secret")
	}
	if after := runs(added); after > n {
		t.Errorf("%d requests after the release was rolled back", after-n)
	}
}

// Guards against a change without the bounds: orders have no effect, and endpoints of all
// releases are used.
func TestOrderWithoutBoundsHasNoEffect(t *testing.T) {
	b := newTestbed(t)
	b.configure(withoutLimits)
	r := b.startReady("r1")
	added := b.addRelease("v2", 2)
	b.order("v2", time.Second)
	callUntil(t, []*router{r}, func() bool { return runs(added) > 20 })
	if status := b.status(); status != "" {
		t.Errorf("status %q", status)
	}
}

// Guards against a status that is lost with the store's data and not written again, and a
// final state that changes thereby.
func TestFinalStatusSurvivesRestore(t *testing.T) {
	b := newTestbed(t)
	b.configure(withoutLimits)
	r := b.startWith("r1", withRollouts).awaitReady(b)
	backup := b.store.Backup()
	b.addRelease("v2", 3)
	b.order("v2", 8*time.Second)
	callUntil(t, []*router{r}, func() bool { return b.status() == "completed v2" })
	b.store.Restore(backup)
	eventually(t, "the status is written again", func() bool { return b.status() == "completed v2" })
}

// rollouts returns what the router reports of its rollouts.
func (r *router) rollouts() string {
	resp, err := http.Get("http://" + r.readinessAddr + "/rollouts")
	if err != nil {
		return ""
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return ""
	}
	return string(body)
}

// Guards against streams in flight at the old release that keep a good one from its
// completion until after the deadline.
func TestLongResponseDoesNotDelayCompletion(t *testing.T) {
	const duration = 8 * time.Second
	b := newTestbed(t)
	b.configure(withoutLimits)
	r := b.startWith("r1", withRollouts).awaitReady(b)
	for _, e := range b.engines[2:4] {
		e.SetFailure(func(run int) hosting.Failure {
			if run == 3 {
				return hosting.Hang
			}
			return hosting.NoFailure
		})
	}
	added := b.addRelease("v2", 3)
	b.order("v2", duration)
	var waiting sync.WaitGroup
	defer waiting.Wait()
	callUntil(t, []*router{r}, func() bool { return runs(added) > 0 })
	for range 2 {
		req := r.request("/order/x", "secret")
		waiting.Go(func() { r.do(req) })
	}
	callUntil(t, []*router{r}, func() bool { return b.status() == "completed v2" })
}
