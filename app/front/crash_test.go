package front_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/standin/hosting"
)

// crashingTraffic sends requests with a crashing part and sound ones of the same
// account, route and first part through several routers.
type crashingTraffic struct {
	b       *testbed
	routers []*router
	sent    int
	// soundSent and soundServed count the sound requests.
	soundSent, soundServed int
}

func (c *crashingTraffic) send(part string) (status int) {
	r := c.routers[c.sent%len(c.routers)]
	c.sent++
	req := r.request(fmt.Sprint("/chat/", c.sent), "secret")
	req.Header.Set("Kumquatsill-Prompt-Prefix", fmt.Sprintf("aa:10,%s:5,last%d:5", part, c.sent))
	status, _ = r.do(req)
	return status
}

// runFor alternates both kinds of requests for a while.
func (c *crashingTraffic) runFor(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		c.send("bad")
		c.soundSent++
		if c.send("good") == http.StatusOK {
			c.soundServed++
		}
	}
}

// crashes returns how many requests with the part have reached engines.
func (b *testbed) crashes(part string) int {
	n := 0
	for _, e := range b.engines {
		for _, run := range e.Runs() {
			if strings.Contains(run.Parts, part+":") {
				n++
			}
		}
	}
	return n
}

// Guards against engines that crash one after the other under requests of which no
// two are alike, but which share one part of their prompts (incident crashing-part): once all
// routers know of five crashes, hardly any such request may reach an engine, while
// sound requests of the same account and first part are served.
func TestPartThatCrashesEnginesIsRefused(t *testing.T) {
	const contactTimeout = time.Second
	b := newTestbed(t)
	b.configure(func(cfg map[string]any) { cfg["tenants"].([]any)[0].(map[string]any)["ratePerS"] = 0 })
	traffic := &crashingTraffic{b: b, routers: []*router{b.startReady("r1"), b.startReady("r2"), b.startReady("r3")}}
	for _, e := range b.engines[:2] {
		e.SetCrashingPart("bad")
	}
	for b.crashes("bad") < 5 {
		traffic.runFor(100 * time.Millisecond)
	}
	traffic.runFor(contactTimeout)
	before := b.crashes("bad")
	traffic.soundSent, traffic.soundServed = 0, 0
	traffic.runFor(3 * time.Second)
	if n := b.crashes("bad") - before; n > 3 {
		t.Errorf("%d more requests with the part reached engines, %d in all", n, before+n)
	}
	if traffic.soundServed < traffic.soundSent/2 {
		t.Errorf("%d of %d sound requests were served", traffic.soundServed, traffic.soundSent)
	}
}

// Guards against an engine that crashes at the beginning of a stream without length and
// chunks: the end of the connection must not pass for the end of the stream, nor clear
// what crashed the engine.
func TestUnframedStreamWithoutEventsIsBroken(t *testing.T) {
	b := newTestbed(t)
	b.configure(nil)
	r := b.startReady("r1")
	if status, body := callWithUnframedEnd(b, r, "/chat/1"); status == http.StatusOK {
		t.Errorf("a stream that broke off before its first event: %d %q", status, body)
	}
	if status, body := callWithUnframedEnd(b, r, "/sheet/1"); status != http.StatusOK || eventIDs(body) != "1,2,3,4,5" {
		t.Errorf("a resumable stream: %d %q", status, eventIDs(body))
	}
}

// callAfterUnframedEnd sends a request whose first run breaks off.
func callWithUnframedEnd(b *testbed, r *router, path string) (status int, body string) {
	var asked atomic.Int32
	for _, e := range b.engines[:2] {
		e.SetFailure(func(int) hosting.Failure {
			if asked.Add(1) == 2 { // an engine asks once at admission and once at the run
				return hosting.UnframedEnd
			}
			return hosting.NoFailure
		})
	}
	return r.call(path, "secret")
}

// Guards against routers that forget after a restart of all of them which part crashes
// engines, so that as many engines crash again.
func TestBlockedPartOutlastsARestartOfAllRouters(t *testing.T) {
	b := newTestbed(t)
	b.configure(func(cfg map[string]any) { cfg["tenants"].([]any)[0].(map[string]any)["ratePerS"] = 0 })
	traffic := &crashingTraffic{b: b, routers: []*router{b.startReady("r1"), b.startReady("r2")}}
	for _, e := range b.engines[:2] {
		e.SetCrashingPart("bad")
	}
	traffic.runFor(4 * time.Second)
	for _, r := range traffic.routers {
		if err := r.Drain(); err != nil {
			t.Fatal(err)
		}
	}
	traffic.routers = []*router{b.startReady("r1"), b.startReady("r2")}
	before := b.crashes("bad")
	traffic.soundSent, traffic.soundServed = 0, 0
	traffic.runFor(3 * time.Second)
	if n := b.crashes("bad") - before; n > 3 {
		t.Errorf("%d requests with the part reached engines after the restart, %d before", n, before)
	}
	if traffic.soundServed < traffic.soundSent/2 {
		t.Errorf("%d of %d sound requests were served", traffic.soundServed, traffic.soundSent)
	}
}

// Guards against an error response that clears a part which crashes engines: the engine
// rejected the request before it began the answer.
func TestErrorResponseDoesNotReleaseABlockedPart(t *testing.T) {
	b := newTestbed(t)
	b.configure(func(cfg map[string]any) { cfg["tenants"].([]any)[0].(map[string]any)["ratePerS"] = 0 })
	traffic := &crashingTraffic{b: b, routers: []*router{b.startReady("r1")}}
	for _, e := range b.engines[:2] {
		e.SetCrashingPart("bad")
	}
	var rejects atomic.Bool
	for _, e := range b.engines[:2] {
		e.SetFailure(func(int) hosting.Failure {
			if rejects.Load() {
				return hosting.ClientError
			}
			return hosting.NoFailure
		})
	}
	traffic.runFor(900 * time.Millisecond) // crashes, but not yet for long enough
	rejects.Store(true)
	traffic.runFor(50 * time.Millisecond)
	rejects.Store(false)
	traffic.runFor(500 * time.Millisecond)
	before := b.crashes("bad")
	traffic.runFor(2 * time.Second)
	if n := b.crashes("bad") - before; n > 1 {
		t.Errorf("%d more requests with the part reached engines, %d in all", n, before+n)
	}
}

// Guards against a request that crashes engine after engine without ever being refused,
// as the engines fall silent at the beginning of the answer and their connections are
// reset only later.
func TestRequestThatSilencesEnginesIsRefused(t *testing.T) {
	b := newTestbed(t)
	b.configure(func(cfg map[string]any) { cfg["tenants"].([]any)[0].(map[string]any)["ratePerS"] = 0 })
	r := b.startReady("r1")
	for _, e := range b.engines[:2] {
		e.SetFailure(func(int) hosting.Failure { return hosting.SilentCrash })
	}
	runs := func() int { return len(b.engines[0].Runs()) + len(b.engines[1].Runs()) }
	for range 4 {
		r.call("/chat/1", "secret")
	}
	if n := runs(); n > 3 {
		t.Errorf("%d runs, want 3", n)
	}
}
