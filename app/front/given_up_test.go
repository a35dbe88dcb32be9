package front

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/kumquatsill/kumquatsill/app/upstream"
	"github.com/kumquatsill/kumquatsill/core/place"
	"github.com/kumquatsill/kumquatsill/core/relay"
	"github.com/kumquatsill/kumquatsill/core/serving"
)

// Guards against passing on the begin of a long answer whose attempt was given up as that
// begin arrived: its rest does not follow, and nothing else can (incident lost-answer).
func TestLongAnswerOfStalledAttemptIsNotBegun(t *testing.T) {
	ctx, cancel := context.WithCancelCause(t.Context())
	cancel(errStalled)
	route := &serving.Route{Kind: serving.Idempotent, Attempts: 2}
	caller := httptest.NewRecorder()
	x := &request{
		front: &Front{placer: place.New(place.Config{})}, w: caller, r: httptest.NewRequest(http.MethodGet, "/", nil),
		route: route, relay: relay.New(route, nil),
	}
	a := &attempt{request: x, placement: &place.Attempt{}}
	long := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", 2*maxBufferedResponse)) // fails once the test ends
	}))
	defer long.Close()
	resp, err := upstream.New().Send(t.Context(), &upstream.Request{
		Addr: long.Listener.Addr().String(), Method: http.MethodGet, Target: "/", Host: "h.example",
		Matches: func(http.Header, bool) bool { return true },
	})
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Close()
	result := a.readResponse(ctx, resp, &stallWatch{})
	if result != relay.Stalled || !x.relay.Delivery().IsEmpty() || caller.Body.Len() > 0 {
		t.Errorf("result %v, %d bytes passed on; want %v and none", result, caller.Body.Len(), relay.Stalled)
	}
}
