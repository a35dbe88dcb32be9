package front_test

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/platform"
	"github.com/kumquatsill/kumquatsill/standin/hosting"
)

// arrivalsAfter returns how many requests of callers have reached an engine since a time.
func arrivalsAfter(e *hosting.Engine, from time.Time) int {
	n := 0
	for _, a := range e.Arrivals() {
		if a.AttemptID != "" && a.At.After(from) {
			n++
		}
	}
	return n
}

// callFor sends requests to both services for a while and returns how many were not served.
func (r *router) callFor(d time.Duration) (failed int) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, route := range []string{"look", "chat"} {
			if status, _ := r.call(fmt.Sprint("/", route, "/", r.requests), "secret"); status != http.StatusOK {
				failed++
			}
		}
	}
	return failed
}

// callUntilReached sends requests until each of the engines has got one.
func (r *router) callUntilReached(engines []*hosting.Engine) {
	r.t.Helper()
	began := time.Now()
	for _, e := range engines {
		eventually(r.t, "requests reach "+e.ID, func() bool {
			r.callFor(50 * time.Millisecond)
			return arrivalsAfter(e, began) > 0
		})
	}
}

// splitByUse returns, of each service, the engine that has got the most requests, and the
// other ones.
func (b *testbed) splitByUse(r *router) (used, others []*hosting.Engine) {
	began := time.Now()
	r.callFor(300 * time.Millisecond)
	for i := 0; i < len(b.engines); i += 2 {
		first, second := b.engines[i], b.engines[i+1]
		if arrivalsAfter(first, began) < arrivalsAfter(second, began) {
			first, second = second, first
		}
		used, others = append(used, first), append(others, second)
	}
	return used, others
}

// unlimited removes the limit of the account.
func unlimited(cfg map[string]any) { cfg["tenants"].([]any)[0].(map[string]any)["ratePerS"] = 0 }

// Guards against requests to an engine that has said in an answer that it leaves, while
// the store still lists it as ready, tells of it again, or is away; against a refusal
// although another engine serves; and against leaving out its next incarnation.
func TestLeavingEngineGetsNoRequests(t *testing.T) {
	b := newTestbed(t)
	b.configure(unlimited)
	r := b.startReady("r1")
	leaving, others := b.splitByUse(r)
	for _, e := range leaving {
		e.SayLeaving(true)
	}
	r.callUntilReached(leaving) // the router passes on such answers
	told := time.Now()
	check := func(when string) {
		t.Helper()
		began := time.Now()
		if failed := r.callFor(500 * time.Millisecond); failed > 0 {
			t.Errorf("%s: %d requests were not served", when, failed)
		}
		for _, e := range leaving {
			if n := arrivalsAfter(e, began); n > 0 {
				t.Errorf("%s: %d requests reached %s", when, n, e.ID)
			}
		}
	}
	check("at once")
	time.Sleep(time.Until(told.Add(drainTime)))
	check("after the drain time")
	for i, e := range b.engines {
		if slices.Contains(leaving, e) {
			b.store.PutKey(platform.TopicEndpoints, e.ID, nil)
			b.register(i, "ready")
		}
	}
	time.Sleep(drainTime)
	check("after an older entry was read again")
	b.store.SetDown(true)
	check("without the store")
	b.store.SetDown(false)
	for i, e := range b.engines {
		if slices.Contains(leaving, e) {
			e.Restart()
			b.register(i, "ready")
		}
	}
	for _, e := range others {
		e.SayLeaving(true)
	}
	r.callUntilReached(leaving) // the next incarnations
}

// Guards against requests to an engine that has said that it leaves only in answers that
// no caller gets: a refusal, or an answer to a read of its cache events.
func TestLeavingSaidInRefusalsAndControlAnswers(t *testing.T) {
	b := newTestbed(t)
	b.configure(unlimited)
	r := b.startReady("r1")
	used, _ := b.splitByUse(r)
	model, plain := used[0], used[1]
	plain.SayLeaving(true)
	plain.SetFailure(func(int) hosting.Failure { return hosting.Shed })
	r.callUntilReached([]*hosting.Engine{plain})
	told := time.Now()
	model.SayLeaving(true)
	time.Sleep(4 * time.Second) // cache events are read every 2.5 s
	r.callFor(500 * time.Millisecond)
	for _, e := range []*hosting.Engine{plain, model} {
		if n := arrivalsAfter(e, told); n > 0 {
			t.Errorf("%d requests reached %s", n, e.ID)
		}
	}
}

// Guards against refusing callers at once although all engines that leave still serve,
// and against sending requests to them after the drain time, or letting callers wait.
func TestAllEnginesLeave(t *testing.T) {
	b := newTestbed(t)
	b.configure(unlimited)
	r := b.startReady("r1")
	b.engines[2].SayLeaving(true)
	b.engines[3].SayLeaving(true)
	began := time.Now()
	look := func() (int, string) {
		resp, err := http.DefaultClient.Do(r.request("/look/1", "secret"))
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		return resp.StatusCode, resp.Header.Get("Retry-After")
	}
	for time.Since(began) < drainTime/2 {
		if status, _ := look(); status != http.StatusOK {
			t.Fatalf("status %d after %v", status, time.Since(began))
		}
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(time.Until(began.Add(drainTime + 500*time.Millisecond)))
	late := time.Now()
	status, retryAfter := look()
	if took := time.Since(late); status != http.StatusServiceUnavailable || retryAfter == "" || took > 500*time.Millisecond {
		t.Errorf("status %d, Retry-After %q after %v", status, retryAfter, took)
	}
	if n := arrivalsAfter(b.engines[2], late) + arrivalsAfter(b.engines[3], late); n > 0 {
		t.Errorf("%d requests after the drain time", n)
	}
}

// Guards against routers that learn only from answers of their own that an engine leaves.
func TestPeersHearThatAnEngineLeaves(t *testing.T) {
	b := newTestbed(t)
	b.configure(unlimited)
	r1, r2 := b.startReady("r1"), b.startReady("r2")
	used, _ := b.splitByUse(r1)
	plain := used[1] // whose cache nobody reads
	plain.SayLeaving(true)
	r1.callUntilReached([]*hosting.Engine{plain})
	time.Sleep(time.Second)
	told := time.Now()
	r2.callFor(500 * time.Millisecond)
	if n := arrivalsAfter(plain, told); n > 0 {
		t.Errorf("%d requests from a router whose peer knew", n)
	}
}
