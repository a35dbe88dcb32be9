package front_test

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/platform"
	"github.com/kumquatsill/kumquatsill/standin/hosting"
)

// After pauseSlack an engine that has refused a request with a Retry-After time may get at
// most maxPausedArrivals requests until the end of that time.
const (
	pauseSlack        = 500 * time.Millisecond
	maxPausedArrivals = 2
)

// mostPaused returns the greatest number of requests and control calls that have reached
// an engine within one of the times for which it wanted none.
func mostPaused(t *testing.T, e *hosting.Engine) int {
	t.Helper()
	arrivals := e.Arrivals()
	most := 0
	for _, refusal := range arrivals {
		if refusal.RetryAfter == "" {
			continue
		}
		seconds, err := strconv.ParseFloat(refusal.RetryAfter, 64)
		if err != nil {
			t.Fatal(err)
		}
		end := refusal.At.Add(time.Duration(seconds * float64(time.Second)))
		n := 0
		for _, a := range arrivals {
			if a.At.After(refusal.At.Add(pauseSlack)) && a.At.Before(end) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// Guards against requests, repeats, limit trials and reads of cache events at engines that
// have refused a request with a Retry-After time, and against leaving them out after it.
func TestEngineThatNamesARetryAfterTimeIsLeftAlone(t *testing.T) {
	b := newTestbed(t)
	b.configure(unlimited)
	r := b.startReady("r1")
	paused := []*hosting.Engine{b.engines[0], b.engines[2]}
	for _, e := range paused {
		e.NameLimit("0.5")
		e.RefuseWithRetryAfter(func() string { return "3.5" })
	}
	if failed := r.callFor(8 * time.Second); failed > 0 {
		t.Errorf("%d requests refused although another engine takes them", failed)
	}
	for _, e := range paused {
		if n := mostPaused(t, e); n > maxPausedArrivals {
			t.Errorf("%d requests reached %s while it wanted none, %d are allowed", n, e.ID, maxPausedArrivals)
		}
		e.NameLimit("")
		e.RefuseWithRetryAfter(func() string { return "" })
	}
	ended := time.Now()
	for _, e := range paused {
		eventually(t, e.ID+" gets requests again", func() bool {
			r.callFor(50 * time.Millisecond)
			return arrivalsAfter(e, ended) > 0
		})
	}
}

// Guards against a Retry-After time beyond the bound, or one that is no time, that ends the
// router, fails requests, or shuts the engine out though it names no time.
func TestOddRetryAfterTimes(t *testing.T) {
	for value, names := range map[string]bool{"90": true, "1e9": true, "1e999": true, "0": false, "-5": false, "NaN": false,
		"Wed, 21 Oct 2026 07:28:00 GMT": false} {
		t.Run(value, func(t *testing.T) {
			b := newTestbed(t)
			b.configure(unlimited)
			r := b.startReady("r1")
			odd := b.engines[2]
			odd.RefuseWithRetryAfter(func() string { return value })
			eventually(t, "the engine refuses", func() bool {
				if failed := r.callFor(50 * time.Millisecond); failed > 0 {
					t.Errorf("%d requests refused although another engine takes them", failed)
				}
				return slices.ContainsFunc(odd.Arrivals(), func(a hosting.Arrival) bool { return a.RetryAfter == value })
			})
			odd.RefuseWithRetryAfter(func() string { return "" })
			if names {
				time.Sleep(pauseSlack)
				from := time.Now()
				r.callFor(time.Second)
				if n := arrivalsAfter(odd, from); n > maxPausedArrivals {
					t.Errorf("%d requests reached the engine while it wanted none", n)
				}
				return
			}
			from := time.Now()
			eventually(t, "the engine gets requests again", func() bool {
				r.callFor(50 * time.Millisecond)
				return arrivalsAfter(odd, from) > 0
			})
		})
	}
}

// Guards against orders and queries that an engine gets beyond what it allows while it
// wants no requests, and against weights that it never loads.
func TestOrdersToAnEngineThatWantsNothing(t *testing.T) {
	b := newTestbed(t)
	b.configure(unlimited)
	r := b.startReady("r1")
	e := b.engines[0]
	refuse := true
	e.RefuseWithRetryAfter(func() string { // called with the engine's lock held
		if refuse {
			refuse = false
			return "4"
		}
		return ""
	})
	eventually(t, "a request is refused", func() bool {
		r.call(fmt.Sprint("/chat/", r.requests), "secret")
		return hasRefused(e)
	})
	time.Sleep(pauseSlack + 100*time.Millisecond)
	b.store.PutKey(platform.TopicOperator, "version/m", map[string]any{"model": "m", "version": 2})
	eventually(t, "the engine has the version", func() bool { return e.Version() == 2 })
	time.Sleep(4 * time.Second)
	if n := mostPaused(t, e); n > maxPausedArrivals {
		t.Errorf("%d requests while it wanted none, %d are allowed", n, maxPausedArrivals)
	}
}

// hasRefused reports whether an engine has refused a request.
func hasRefused(e *hosting.Engine) bool {
	for _, a := range e.Arrivals() {
		if a.RetryAfter != "" {
			return true
		}
	}
	return false
}

// Guards against callers that wait, or are told another time than the least one that is
// left, when all engines of a service want no requests.
func TestAllEnginesWantNothing(t *testing.T) {
	b := newTestbed(t)
	b.configure(unlimited)
	r := b.startReady("r1")
	b.engines[2].RefuseWithRetryAfter(func() string { return "9" })
	b.engines[3].RefuseWithRetryAfter(func() string { return "6" })
	for range 8 {
		r.call("/look/1", "secret") // until both have refused one
	}
	began := time.Now()
	resp, err := http.DefaultClient.Do(r.request("/look/1", "secret"))
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	left, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if resp.StatusCode != http.StatusServiceUnavailable || err != nil || left < 4.5 || left > 6 || time.Since(began) > time.Second {
		t.Errorf("status %d, Retry-After %q after %v", resp.StatusCode, resp.Header.Get("Retry-After"), time.Since(began))
	}
	if n := arrivalsAfter(b.engines[2], began) + arrivalsAfter(b.engines[3], began); n > 0 {
		t.Errorf("%d requests", n)
	}
}
