package front_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/standin/hosting"
)

// mostIn returns the greatest number of runs of an engine within a window, of those that
// began at the given time or later.
func mostIn(window time.Duration, e *hosting.Engine, from time.Time) int {
	var times []time.Time
	for _, r := range e.Runs() {
		if !r.At.Before(from) {
			times = append(times, r.At)
		}
	}
	most := 0
	for i, start := range times {
		n := 0
		for _, at := range times[i:] {
			if at.Sub(start) < window {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// Guards against engines in need that get more requests, from all routers together, than
// the limit that they name (incident endpoint-limit), and against a limit that outlasts its end.
func TestLimitThatAnEngineNames(t *testing.T) {
	const (
		window   = 4 * time.Second
		limit    = 1.6
		allowed  = 14 // limit times window times 1.5, and 5
		tellTime = 500 * time.Millisecond
	)
	b := newTestbed(t)
	b.configure(func(cfg map[string]any) { cfg["tenants"].([]any)[0].(map[string]any)["ratePerS"] = 0 })
	routers := []*router{b.startReady("r1"), b.startReady("r2"), b.startReady("r3")}
	n := 0
	send := func(d time.Duration) (refused int) {
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(30 * time.Millisecond) {
			n++
			if status, _ := routers[n%3].call(fmt.Sprint("/chat/", n), "secret"); status != http.StatusOK {
				refused++
			}
			routers[n%3].call(fmt.Sprint("/look/", n), "secret")
		}
		return refused
	}
	limited := []*hosting.Engine{b.engines[0], b.engines[2]}
	for _, e := range limited {
		e.NameLimit(fmt.Sprint(limit))
	}
	send(time.Second) // all routers pass on such an answer
	told := time.Now().Add(tellTime)
	if refused := send(window + 2*time.Second); refused > 0 {
		t.Errorf("%d requests refused although another engine takes them", refused)
	}
	for _, e := range limited {
		if got := mostIn(window, e, told); got > allowed {
			t.Errorf("%s: %d requests in %v, %d are allowed", e.ID, got, window, allowed)
		}
		e.NameLimit("")
	}
	send(2 * time.Second)
	before := len(limited[0].Runs())
	send(window)
	if got := len(limited[0].Runs()) - before; got < allowed {
		t.Errorf("only %d requests in %v after the limit has ended", got, window)
	}
}

// Guards against a request that waits until its deadline, or runs, although all endpoints
// have named a limit that is used up: it is refused at once, with the time to come back.
func TestRequestBeyondAllLimitsIsRefusedAtOnce(t *testing.T) {
	b := newTestbed(t)
	b.configure(nil)
	r := b.startReady("r1")
	for _, e := range b.engines[2:] {
		e.NameLimit("0")
	}
	for range 20 {
		r.call("/look/1", "secret") // until the limits of both are known
	}
	before := len(b.engines[2].Runs()) + len(b.engines[3].Runs())
	started := time.Now()
	resp, err := http.DefaultClient.Do(r.request("/look/1", "secret"))
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" || time.Since(started) > time.Second {
		t.Errorf("status %d, Retry-After %q after %v", resp.StatusCode, resp.Header.Get("Retry-After"), time.Since(started))
	}
	if runs := len(b.engines[2].Runs()) + len(b.engines[3].Runs()); runs != before {
		t.Errorf("%d runs", runs-before)
	}
}
