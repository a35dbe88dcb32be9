package front

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/kumquatsill/kumquatsill/app/upstream"
	"github.com/kumquatsill/kumquatsill/core/discovery"
	"github.com/kumquatsill/kumquatsill/core/upgrade"
	"github.com/kumquatsill/kumquatsill/platform"
	"github.com/kumquatsill/kumquatsill/standin/rawanswer"
)

// cutEngine sends the bytes that it is given and closes the connection.
type cutEngine struct {
	answer atomic.Value // a string
	client *platform.EngineClient
	// endpoint is the registration of the engine.
	endpoint *discovery.Endpoint
}

func newCutEngine(t *testing.T) *cutEngine {
	e := &cutEngine{}
	s := httptest.NewServer(rawanswer.Answer(func(conn net.Conn, _ *http.Request) {
		rawanswer.Send(conn, e.answer.Load().(string))
	}))
	t.Cleanup(s.Close)
	e.endpoint = &discovery.Endpoint{ID: "e1", Addr: strings.TrimPrefix(s.URL, "http://")}
	e.client = platform.NewEngineClient(endpointCaller{
		client:  upstream.New(),
		admit:   func(*discovery.Endpoint, bool) bool { return true },
		observe: func(*discovery.Endpoint, platform.ResponseInfo) {},
	})
	return e
}

// controlCall is a control call and the body of its answer.
type controlCall struct {
	body string
	call func(ctx context.Context, e *cutEngine) error
}

var controlCalls = map[string]controlCall{
	"report": {`{"models":[{"name":"m","version":3}],"sequence":2}`, func(ctx context.Context, e *cutEngine) error {
		_, err := e.client.State(ctx, e.endpoint)
		return err
	}},
	"events": {`{"epoch":1,"nextPageToken":4,"lost":false,"events":[]}`, func(ctx context.Context, e *cutEngine) error {
		_, err := e.client.EngineEvents(ctx, e.endpoint, 0, 0)
		return err
	}},
	"contents of a store": {`{"epoch":1,"nextPageToken":4,"held":[]}`, func(ctx context.Context, e *cutEngine) error {
		_, err := e.client.StoreContents(ctx, e.endpoint.Addr)
		return err
	}},
	"order": {"", func(ctx context.Context, e *cutEngine) error { // its status is the whole answer
		outcome, err := e.client.LoadVersion(ctx, upgrade.Action{Endpoint: e.endpoint, Model: "m", Version: 2}, "r1", 1)
		if err != nil && outcome != upgrade.Unknown {
			return nil
		}
		return err
	}},
}

// Guards against a control call whose answer stops at any byte and that counts as answered:
// an order as accepted or refused, a report or a page of cache events as read.
func TestCutAnswerOfControlCallIsAnError(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
	for name, c := range controlCalls {
		for framing, answer := range map[string]string{
			"length":   fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(c.body), c.body),
			"chunked":  fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%s0;last\r\nSum: 1\r\n\r\n", head, chunk(c.body)),
			"unframed": head + "\r\n" + c.body,
		} {
			t.Run(name+" "+framing, func(t *testing.T) {
				t.Parallel()
				e := newCutEngine(t)
				for n := range answer {
					e.answer.Store(answer[:n])
					if err := c.call(t.Context(), e); err == nil {
						t.Errorf("cut after %d of %d bytes: no error", n, len(answer))
					}
				}
				e.answer.Store(answer)
				if err := c.call(t.Context(), e); err != nil {
					t.Errorf("whole answer: %v", err)
				}
			})
		}
	}
}

// chunk returns a text as one chunk with an extension, or "" for none.
func chunk(text string) string {
	if text == "" {
		return ""
	}
	return fmt.Sprintf("%x;x=1\r\n%s\r\n", len(text), text)
}
