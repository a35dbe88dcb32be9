package front_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/app/front"
	"github.com/kumquatsill/kumquatsill/core/crash"
	"github.com/kumquatsill/kumquatsill/core/peer"
	"github.com/kumquatsill/kumquatsill/core/quota"
	"github.com/kumquatsill/kumquatsill/standin/hosting"
)

// shedAlways makes an engine refuse all requests as too busy.
func shedAlways(e *hosting.Engine) {
	e.SetFailure(func(int) hosting.Failure { return hosting.Shed })
}

// Guards against cutting off a begun stream of an endpoint that is only silent for a
// while, when the endpoints that should continue it refuse it (incident lost-answer).
func TestSilentStreamIsAwaitedIfAllRetriesAreRefused(t *testing.T) {
	b := silentTestbed(t)
	b.engines = append(b.engines, hosting.NewEngine("i-4", "llm", "m"))
	b.addrs = append(b.addrs, b.listen(b.engines[4]))
	b.expectStreamDespiteRefusals(b.start("r1"), 1, 4)
}

// Guards against cutting off a begun stream of an endpoint that is only silent for a
// while, when the endpoint that should continue it refuses it and the retry budget allows
// no further attempt (incident lost-answer).
func TestSilentStreamIsAwaitedIfTheOnlyRetryIsRefused(t *testing.T) {
	b := silentTestbed(t)
	b.expectStreamDespiteRefusals(b.startWith("r1", func(c *front.Config) {
		c.Settings.RetryRatio, c.Settings.RetryReserve = 0, 4
	}), 1)
}

// expectStreamDespiteRefusals expects a whole stream although some engines refuse all
// requests. The stream begins before these are registered.
func (b *testbed) expectStreamDespiteRefusals(r *router, refusing ...int) {
	b.t.Helper()
	for _, i := range refusing {
		shedAlways(b.engines[i])
	}
	b.registerAfterBegin(r, refusing...)
	if status, body := r.callPatiently("/sheet/1"); status != http.StatusOK || eventIDs(body) != "1,2" {
		b.t.Errorf("status %d, events %q", status, eventIDs(body))
	}
}

// registerAfterBegin makes some engines ready only after a request that is sent next has
// begun elsewhere.
func (b *testbed) registerAfterBegin(r *router, engines ...int) {
	for _, i := range engines {
		b.register(i, "draining")
	}
	b.awaitEndpoints(r)
	time.AfterFunc(200*time.Millisecond, func() {
		for _, i := range engines {
			b.register(i, "ready")
		}
	})
}

// Guards against a failure in place of the answer of an endpoint that is only silent for
// a while, when the endpoint that should answer instead refuses the request (incident
// lost-answer).
func TestSilentCallIsAwaitedIfTheRetryIsRefused(t *testing.T) {
	b := silentTestbed(t)
	shedAlways(b.engines[3])
	r := b.awaitEndpoints(b.start("r1"))
	for i := range 4 {
		if status, _ := r.callPatiently(fmt.Sprint("/look/", i)); status != http.StatusOK {
			t.Errorf("call %d: status %d", i, status)
		}
	}
}

// Guards against giving up many requests of one silent endpoint at the same time for an
// alternative that takes one of them (incident lost-answer).
func TestSilentCallsAreNotAllMovedToOneFreePlace(t *testing.T) {
	b := silentTestbed(t)
	for _, e := range b.engines[2:] {
		e.ResponseDelay = 0
	}
	r := b.awaitEndpoints(b.start("r1"))
	b.engines[3].NameLimit("2")
	for i := range 20 {
		r.callPatiently(fmt.Sprint("/look/", i)) // until the limit is known
	}
	b.engines[2].ResponseDelay = silence
	var calls sync.WaitGroup
	var mu sync.Mutex
	failed := map[int]int{}
	for i := range 12 {
		req := r.request(fmt.Sprint("/look/", 100+i), "secret")
		req.Header.Set("Kumquatsill-Deadline-Remaining", "20000")
		calls.Go(func() {
			status, _ := r.do(req)
			mu.Lock()
			defer mu.Unlock()
			if status != http.StatusOK {
				failed[status]++
			}
		})
	}
	calls.Wait()
	if len(failed) > 0 {
		t.Errorf("statuses of failed calls: %v", failed)
	}
}

// Guards against moving a stream away from an endpoint that was idle before, after less
// than the time that counts as silence (incident lost-answer).
func TestIdleEndpointIsNotSilentAtOnce(t *testing.T) {
	b := newTestbed(t)
	var runs sync.Map
	for i, e := range b.engines[:2] {
		b.addrs[i] = b.listen(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if strings.HasPrefix(r.URL.Path, "/sheet/") {
				runs.Store(e.ID, true)
				time.Sleep(600 * time.Millisecond) // more than the target latency
			}
			e.ServeHTTP(w, r)
		}))
		b.register(i, "ready")
	}
	b.configure(nil)
	r := b.awaitEndpoints(b.start("r1"))
	if status, _ := r.call("/sheet/1", "secret"); status != http.StatusOK {
		t.Errorf("status %d", status)
	}
	n := 0
	runs.Range(func(any, any) bool { n++; return true })
	if n != 1 {
		t.Errorf("sent to %d engines", n)
	}
}

// Guards against cutting off a begun stream of an endpoint that is only silent for a
// while, when the crash register then lets it run nowhere else (incident lost-answer).
func TestSilentStreamIsAwaitedIfItsTraitIsBlocked(t *testing.T) {
	b := silentTestbed(t)
	b.register(1, "draining")
	var peerAddr string
	r := b.awaitEndpoints(b.startWith("r1", func(c *front.Config) { peerAddr = c.Settings.PeerAddr }))
	req := r.request("/sheet/1", "secret")
	req.Header.Set("Kumquatsill-Deadline-Remaining", "8000")
	req.Header.Set("Kumquatsill-Prompt-Prefix", "aa:10,bad:5,own:5")
	var stream sync.WaitGroup
	defer stream.Wait()
	stream.Go(func() {
		if status, body := r.do(req); status != http.StatusOK || eventIDs(body) != "1,2" {
			t.Errorf("status %d, events %q", status, eventIDs(body))
		}
	})
	eventually(t, "the stream has begun", func() bool { return len(b.engines[0].Runs()) == 1 })
	time.Sleep(1300 * time.Millisecond) // the crashes follow the begin of the stream
	sendToRouter(t, peerAddr, peer.Message{Counts: quota.Counts{Router: "r2"}, Facts: &crash.Page{First: true, To: 3, Crashes: []crash.Report{
		crashUnder("e1", 1100), crashUnder("e2", 600), crashUnder("e3", 100),
	}}})
	b.engines[1].SetCrashingPart("bad")
	b.register(1, "ready")
}

// crashUnder returns the report of a crash under the part "bad".
func crashUnder(id crash.EventID, ageMillis int64) crash.Report {
	return crash.Report{ID: id, Traits: map[crash.Trait]int64{crash.PartTrait("m", "bad"): ageMillis}}
}

// sendToRouter sends a peer's message to a router, more than once in case one is lost.
func sendToRouter(t *testing.T, addr string, m peer.Message) {
	t.Helper()
	data, err := peer.Encode(m)
	if err != nil {
		t.Fatal(err)
	}
	conn, err := net.Dial("udp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	for range 3 {
		if _, err := conn.Write(data); err != nil {
			t.Fatal(err)
		}
	}
}
