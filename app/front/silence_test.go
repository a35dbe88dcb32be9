package front_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/app/front"
	"github.com/kumquatsill/kumquatsill/standin/hosting"
)

// silence is longer than any time without data after which a router moves a stream to
// another endpoint.
const silence = 2500 * time.Millisecond

// silentTestbed has engines and plain endpoints that fall silent in the middle of each
// answer and go on.
func silentTestbed(t *testing.T) *testbed {
	b := newTestbed(t)
	b.configure(func(cfg map[string]any) {
		for _, route := range cfg["routes"].([]any) {
			route.(map[string]any)["timeoutMs"] = 20_000
		}
	})
	for _, e := range b.engines {
		e.Events, e.EventInterval, e.ResponseDelay = 2, silence, silence
	}
	return b
}

// callPatiently sends a request of a caller that waits for longer than the endpoints are
// silent.
func (r *router) callPatiently(path string) (status int, body string) {
	req := r.request(path, "secret")
	req.Header.Set("Kumquatsill-Deadline-Remaining", "20000")
	return r.do(req)
}

// Guards against cutting off the answer of an endpoint that is only silent for a while,
// though no other endpoint can take the request (incident lost-answer).
func TestSilentEndpointWithoutAlternativeIsAwaited(t *testing.T) {
	b := silentTestbed(t)
	b.register(1, "draining")
	b.register(3, "draining")
	b.expectWholeAnswers(b.awaitEndpoints(b.start("r1")))
}

// Guards against cutting off the answer of an endpoint that is only silent for a while,
// though the retry budget allows no second attempt (incident lost-answer).
func TestSilentEndpointWithoutRetryBudgetIsAwaited(t *testing.T) {
	b := silentTestbed(t)
	b.expectWholeAnswers(b.awaitEndpoints(b.startWith("r1", func(c *front.Config) {
		c.Settings.RetryRatio, c.Settings.RetryReserve = 0, 0
	})))
}

// awaitEndpoints waits until the router has read the configuration and the endpoints,
// without sending it a request.
func (b *testbed) awaitEndpoints(r *router) *router {
	b.t.Helper()
	eventually(b.t, "the router is ready", r.isReady)
	time.Sleep(drainTime) // more than the time between two reads of the registry
	return r
}

// expectWholeAnswers expects that a resumable stream and an idempotent call get the whole
// answer of the first endpoint that they are sent to.
func (b *testbed) expectWholeAnswers(r *router) {
	b.t.Helper()
	if status, body := r.callPatiently("/sheet/1"); status != http.StatusOK || eventIDs(body) != "1,2" {
		b.t.Errorf("stream: status %d, events %q; want 200 and 1,2", status, eventIDs(body))
	}
	if status, _ := r.callPatiently("/look/1"); status != http.StatusOK {
		b.t.Errorf("call: status %d, want 200", status)
	}
	for service, engines := range map[string][]*hosting.Engine{"llm": b.engines[:2], "plain": b.engines[2:]} {
		if n := len(engines[0].Runs()) + len(engines[1].Runs()); n != 1 {
			b.t.Errorf("%s: %d runs, want 1", service, n)
		}
	}
}

// Guards against cutting off a stream that broke off while no other endpoint could take it
// for a moment: it goes on as soon as one can.
func TestBegunStreamWaitsForAnEndpoint(t *testing.T) {
	b := newTestbed(t)
	b.configure(nil)
	b.register(1, "draining")
	b.engines[0].SetFailure(func(run int) hosting.Failure {
		if run == 0 {
			return hosting.ConnectionReset
		}
		return hosting.NoFailure
	})
	r := b.awaitEndpoints(b.start("r1"))
	if status, body := r.callPatiently("/sheet/1"); status != http.StatusOK || eventIDs(body) != "1,2,3,4,5" {
		t.Errorf("status %d, events %q", status, eventIDs(body))
	}
}
