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

// Guards against the whole path breaking: keys, routes, streams, what an
// endpoint sees.
func TestServes(t *testing.T) {
	b := newBed(t)
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
	if status, body := r.call("/sheet/1", "secret"); status != 200 || events(body) != "1,2,3,4,5" {
		t.Errorf("stream %d %q", status, events(body))
	}
	for _, e := range b.engines {
		for _, run := range e.Runs() {
			if run.Key != "" || run.Account != "t1" && !strings.HasPrefix(run.Target, "/open/") {
				t.Errorf("an endpoint saw %+v", run)
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
		t.Errorf("a body beyond the limit: %v, %v", resp, err)
	}
}

// Guards against a second run of a request that may run once, and against
// refusing it as not run.
func TestBrokenOrderIsNotRepeated(t *testing.T) {
	b := newBed(t)
	b.configure(nil)
	r := b.startReady("r1")
	before := len(b.engines[2].Runs()) + len(b.engines[3].Runs())
	for _, e := range b.engines[2:] {
		e.Fail(func(int) hosting.Failure { return hosting.BreakOff })
	}
	if status, _ := r.call("/order/1", "secret"); status != http.StatusBadGateway {
		t.Errorf("status %d", status)
	}
	if runs := len(b.engines[2].Runs()) + len(b.engines[3].Runs()) - before; runs != 1 {
		t.Errorf("the order ran %d times", runs)
	}
}

// Guards against giving up a call that may be repeated, or one that did not run.
func TestFailedCallsGoElsewhere(t *testing.T) {
	for name, failure := range map[string]hosting.Failure{"broken": hosting.BreakOff, "error": hosting.ServerError, "shed": hosting.Shed} {
		t.Run(name, func(t *testing.T) {
			b := newBed(t)
			b.configure(nil)
			r := b.startReady("r1")
			b.engines[2].Fail(func(int) hosting.Failure { return failure })
			for range 4 {
				if status, _ := r.call("/look/1", "secret"); status != 200 {
					t.Errorf("status %d", status)
				}
			}
		})
	}
}

// Guards against a resumable stream that ends, repeats or leaves out an event
// when its engine breaks off within one, and against joining runs of a stream
// that may not be resumed.
func TestBrokenStreams(t *testing.T) {
	b := newBed(t)
	b.configure(nil)
	r := b.startReady("r1")
	broken := 0
	for _, e := range b.engines[:2] {
		e.Fail(func(int) hosting.Failure {
			if broken++; broken == 2 { // asked once for admission and once for the run
				return hosting.BreakOff
			}
			return hosting.None
		})
	}
	if status, body := r.call("/sheet/1", "secret"); status != 200 || events(body) != "1,2,3,4,5" {
		t.Errorf("resumable: %d %q", status, events(body))
	}
	broken = 0
	if status, body := r.call("/chat/1", "secret"); status != 0 || events(body) != "1,2" {
		t.Errorf("not resumable: %d %q", status, events(body))
	}
}

// Guards against events that are lost when a stream breaks off, since they came
// together with a part of the next event and were not passed on at once.
func TestEventsBeforeABreakReachTheCaller(t *testing.T) {
	b := newBed(t)
	b.configure(nil)
	r := b.startReady("r1")
	for _, e := range b.engines[:2] {
		e.Pause = 0
		e.Fail(func(int) hosting.Failure { return hosting.BreakOff })
	}
	for i := range 20 {
		// The same request again would be refused, as it crashes its endpoints.
		resp, err := http.DefaultClient.Do(r.request(fmt.Sprint("/chat/", i), "secret"))
		if err != nil {
			t.Fatal(err)
		}
		body, _ := io.ReadAll(resp.Body) // it breaks off
		_ = resp.Body.Close()
		if events(string(body)) != "1,2" {
			t.Fatalf("events %q before the break", events(string(body)))
		}
	}
}

// Guards against an engine that works on after its caller has left.
func TestCallerLeaves(t *testing.T) {
	b := newBed(t)
	b.configure(nil)
	r := b.startReady("r1")
	for _, e := range b.engines[:2] {
		e.Events, e.Pause = 10_000, time.Millisecond
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
