package front_test

import (
	"net/http"
	"testing"

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
