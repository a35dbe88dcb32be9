package front_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/standin/hosting"
)

// Guards against cutting off a begun stream of an endpoint that is only silent for a
// while, when the endpoint that should continue it runs it and fails, so that the route
// allows no third one: it goes on where it has run (incident unanswered-after-silence).
func TestSilentStreamGoesOnWhereItBeganIfTheRetryFails(t *testing.T) {
	for name, failure := range map[string]hosting.Failure{"server error": hosting.ServerError, "client error": hosting.ClientError} {
		t.Run(name, func(t *testing.T) {
			b := silentTestbed(t)
			b.engines[1].SetFailure(func(int) hosting.Failure { return failure })
			b.expectStreamDespiteFailures(b.start("r1"), 1)
			if n := len(b.engines[1].Runs()); n == 0 {
				t.Error("the request was not moved")
			}
		})
	}
}

// expectStreamDespiteFailures expects a whole stream although engine i fails all that it
// runs. The stream begins before that engine is registered.
func (b *testbed) expectStreamDespiteFailures(r *router, i int) {
	b.t.Helper()
	b.registerAfterBegin(r, i)
	if status, body := r.callPatiently("/sheet/1"); status != http.StatusOK || eventIDs(body) != "1,2" {
		b.t.Errorf("status %d, events %q; want 200 and 1,2", status, eventIDs(body))
	}
}

// Guards against spending the retry budget of a service within milliseconds on an endpoint
// that refuses the stream that returns to it.
func TestRefusedReturnIsNotRepeatedAtOnce(t *testing.T) {
	const minGap = 50 * time.Millisecond
	b := silentTestbed(t)
	b.engines[0].SetFailure(func(run int) hosting.Failure {
		if run > 0 {
			return hosting.Shed
		}
		return hosting.NoFailure
	})
	time.AfterFunc(3*silence, func() {
		b.engines[0].SetFailure(func(int) hosting.Failure { return hosting.NoFailure })
	})
	b.engines[1].SetFailure(func(int) hosting.Failure { return hosting.ClientError })
	b.expectStreamDespiteFailures(b.start("r1"), 1)
	last, tooEarly := time.Time{}, 0
	for _, a := range b.engines[0].Arrivals() {
		if a.AttemptID == "" {
			continue
		}
		if a.At.Sub(last) < minGap {
			tooEarly++
		}
		last = a.At
	}
	if tooEarly > 0 {
		t.Errorf("%d requests followed a refusal within %v", tooEarly, minGap)
	}
}
