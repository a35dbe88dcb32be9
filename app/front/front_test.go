package front_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/standin/hosting"
)

// Covers the whole request path: keys, routes, streams, the body limit and the
// headers that an endpoint receives.
func TestServes(t *testing.T) {
	b := newTestbed(t)
	b.configure(nil)
	r := b.startReady("r1")
	for _, c := range []struct {
		path, key string
		status    int
	}{
		{"/order/1", "secret", 200}, {"/order/1", "wrong", 401}, {"/order/1", "", 401}, {"/none/1", "secret", 404}, {"/open/1", "", 200}, {"/look/1", "secret", 200},
	} {
		if status, _ := r.call(c.path, c.key); status != c.status {
			t.Errorf("%s with key %q: %d, want %d", c.path, c.key, status, c.status)
		}
	}
	if status, body := r.call("/sheet/1", "secret"); status != 200 || eventIDs(body) != "1,2,3,4,5" {
		t.Errorf("stream %d %q", status, eventIDs(body))
	}
	for _, e := range b.engines {
		for _, run := range e.Runs() {
			if run.Key != "" || run.Account != "t1" && !strings.HasPrefix(run.Target, "/open/") {
				t.Errorf("an endpoint received %+v", run)
			}
			if e.Model != "" && run.Salt == "" {
				t.Error("a run has no salt")
			}
		}
	}
	req := r.request("/order/1", "secret")
	req.Body = io.NopCloser(strings.NewReader(strings.Repeat("x", 2000)))
	req.ContentLength = 2000
	if resp, err := http.DefaultClient.Do(req); err != nil || resp.StatusCode != http.StatusRequestEntityTooLarge {
		t.Errorf("body above the limit: %v, %v", resp, err)
	}
}

// A non-repeatable request must not be retried after its connection broke, nor be
// reported as not run.
func TestBrokenOrderIsNotRepeated(t *testing.T) {
	b := newTestbed(t)
	b.configure(nil)
	r := b.startReady("r1")
	before := len(b.engines[2].Runs()) + len(b.engines[3].Runs())
	for _, e := range b.engines[2:] {
		e.SetFailure(func(int) hosting.Failure { return hosting.ConnectionReset })
	}
	if status, _ := r.call("/order/1", "secret"); status != http.StatusBadGateway {
		t.Errorf("status %d", status)
	}
	if runs := len(b.engines[2].Runs()) + len(b.engines[3].Runs()) - before; runs != 1 {
		t.Errorf("the order ran %d times", runs)
	}
}

// A repeatable call, or one that did not run, must be retried at another endpoint.
func TestFailedCallsGoElsewhere(t *testing.T) {
	for name, failure := range map[string]hosting.Failure{"broken": hosting.ConnectionReset, "error": hosting.ServerError, "shed": hosting.Shed} {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t)
			b.configure(nil)
			r := b.startReady("r1")
			b.engines[2].SetFailure(func(int) hosting.Failure { return failure })
			for range 4 {
				if status, _ := r.call("/look/1", "secret"); status != 200 {
					t.Errorf("status %d", status)
				}
			}
		})
	}
}

// If an engine breaks off within an event, a resumable stream must continue
// without an early end, duplicates or gaps; a stream that is not resumable must
// not be continued with the events of another run.
func TestBrokenStreams(t *testing.T) {
	b := newTestbed(t)
	b.configure(nil)
	r := b.startReady("r1")
	broken := 0
	for _, e := range b.engines[:2] {
		e.SetFailure(func(int) hosting.Failure {
			if broken++; broken == 2 { // called once at admission and once at the run
				return hosting.ConnectionReset
			}
			return hosting.NoFailure
		})
	}
	if status, body := r.call("/sheet/1", "secret"); status != 200 || eventIDs(body) != "1,2,3,4,5" {
		t.Errorf("resumable: %d %q", status, eventIDs(body))
	}
	broken = 0
	if status, body := r.call("/chat/1", "secret"); status != 0 || eventIDs(body) != "1,2" {
		t.Errorf("not resumable: %d %q", status, eventIDs(body))
	}
}

// Events that arrive together with a part of the next one must be flushed at once;
// otherwise they are lost if the stream breaks off.
func TestEventsBeforeABreakReachTheCaller(t *testing.T) {
	b := newTestbed(t)
	b.configure(nil)
	r := b.startReady("r1")
	for _, e := range b.engines[:2] {
		e.EventInterval = 0
		e.SetFailure(func(int) hosting.Failure { return hosting.ConnectionReset })
	}
	for i := range 20 {
		// Repeating the same request would be refused, as it crashes its endpoints.
		resp, err := http.DefaultClient.Do(r.request(fmt.Sprint("/chat/", i), "secret"))
		if err != nil {
			t.Fatal(err)
		}
		body, _ := io.ReadAll(resp.Body) // the error is expected: the stream breaks off
		_ = resp.Body.Close()
		if eventIDs(string(body)) != "1,2" {
			t.Fatalf("events %q before the break", eventIDs(string(body)))
		}
	}
}

// An engine must stop working on a request when its caller leaves.
func TestCallerLeaves(t *testing.T) {
	b := newTestbed(t)
	b.configure(nil)
	r := b.startReady("r1")
	for _, e := range b.engines[:2] {
		e.Events, e.EventInterval = 10_000, time.Millisecond
	}
	resp, err := http.DefaultClient.Do(r.request("/chat/1", "secret"))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := bufio.NewReader(resp.Body).ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	eventually(t, "the engines stop", func() bool { return b.engines[0].Running()+b.engines[1].Running() == 0 })
}
