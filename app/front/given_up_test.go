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
	body := io.MultiReader(strings.NewReader(strings.Repeat("x", maxBufferedResponse)), failingReader{})
	result := a.readResponse(ctx, &upstream.Response{Status: http.StatusOK, Body: body}, &stallWatch{})
	if result != relay.Stalled || !x.relay.Delivery().IsEmpty() || caller.Body.Len() > 0 {
		t.Errorf("result %v, %d bytes passed on; want %v and none", result, caller.Body.Len(), relay.Stalled)
	}
}

// failingReader is a body whose connection is closed.
type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
