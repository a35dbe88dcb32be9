package front_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/standin/hosting"
)

// Guards against cutting a stream that is slow but sound: its pauses are longer than
// any limit for silence, and its engine sends nothing else.
func TestSlowStreamIsNotCut(t *testing.T) {
	b := newTestbed(t)
	b.configure(func(cfg map[string]any) {
		for _, route := range cfg["routes"].([]any) {
			route.(map[string]any)["timeoutMs"] = 20_000
		}
	})
	r := b.startReady("r1")
	for _, e := range b.engines[:2] {
		e.Events, e.EventInterval = 3, 1700*time.Millisecond
	}
	req := r.request("/chat/1", "secret")
	req.Header.Set("Kumquatsill-Deadline-Remaining", "20000")
	if status, body := r.do(req); status != http.StatusOK || eventIDs(body) != "1,2,3" {
		t.Errorf("status %d, events %q", status, eventIDs(body))
	}
}

// Guards against a stalled stream that never ends because its engine sends a byte now
// and then: one that may be resumed goes on at another engine, and no stream outlives
// the timeout of its route.
func TestTricklingStreamEnds(t *testing.T) {
	const routeTimeout = 5 * time.Second // as configured by the testbed
	b := newTestbed(t)
	b.configure(nil)
	r := b.startReady("r1")
	var trickling atomic.Int32
	for _, e := range b.engines[:2] {
		e.SetFailure(func(int) hosting.Failure {
			if trickling.Add(1) <= 2 { // called at admission and at the run
				return hosting.Trickle
			}
			return hosting.NoFailure
		})
	}
	req := r.request("/sheet/1", "secret")
	req.Header.Set("Kumquatsill-Deadline-Remaining", "20000")
	if status, body := r.do(req); status != http.StatusOK || eventIDs(body) != "1,2,3,4,5" {
		t.Errorf("resumable: status %d, events %q", status, eventIDs(body))
	}
	trickling.Store(0)
	req = r.request("/chat/1", "secret")
	req.Header.Set("Kumquatsill-Deadline-Remaining", "20000")
	began := time.Now()
	if _, body := r.do(req); eventIDs(body) != "1,2" {
		t.Errorf("not resumable: events %q", eventIDs(body))
	}
	if took := time.Since(began); took > routeTimeout+time.Second {
		t.Errorf("the stream ended after %v", took)
	}
}
