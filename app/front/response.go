package front

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/kumquatsill/kumquatsill/app/upstream"
	"github.com/kumquatsill/kumquatsill/core/relay"
	"github.com/kumquatsill/kumquatsill/core/serving"
	"github.com/kumquatsill/kumquatsill/platform"
)

// maxBufferedResponse is the size up to which a response is buffered in
// full before it is forwarded, so that one that breaks off can be retried.
const maxBufferedResponse = 256 << 10

var errNoEvent = errors.New("the connection ended before the first event")

// savedResponse is a complete response of an endpoint.
type savedResponse struct {
	status int
	header http.Header
	body   []byte
}

// write delivers the response to the caller.
func (s *savedResponse) write(w http.ResponseWriter) {
	platform.CopyResponseHeader(w.Header(), s.header, true)
	w.Header().Set("Content-Length", strconv.Itoa(len(s.body)))
	w.WriteHeader(s.status)
	_, _ = w.Write(s.body) // a write only fails if the caller has left
}

// readResponse reads and buffers a response that is not a stream.
func (a *attempt) readResponse(ctx context.Context, resp *upstream.Response) relay.Result {
	a.progress()
	x := a.request
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedResponse))
	if err != nil {
		a.detail = err.Error()
		a.connectionLost = ctx.Err() == nil
		return a.interrupted(ctx)
	}
	if len(body) == maxBufferedResponse {
		return a.forwardResponse(ctx, resp, body)
	}
	x.saved = &savedResponse{status: resp.Status, header: resp.Header, body: body}
	if resp.Status >= 500 {
		return relay.Failed
	}
	return relay.Completed
}

// forwardResponse forwards a response that is too long to be buffered.
func (a *attempt) forwardResponse(ctx context.Context, resp *upstream.Response, prefix []byte) relay.Result {
	x := a.request
	x.saved = nil
	x.writeHead(resp)
	if _, err := x.w.Write(prefix); err != nil {
		return relay.CallerGone
	}
	_, err := io.Copy(x.w, resp.Body)
	switch {
	case err == nil:
		return relay.Completed
	case ctx.Err() == nil && x.r.Context().Err() != nil:
		return relay.CallerGone
	}
	a.detail = err.Error()
	return a.interrupted(ctx)
}

// writeHead writes the head of a response that is forwarded as it arrives.
func (x *request) writeHead(resp *upstream.Response) {
	if x.headWritten {
		return
	}
	x.headWritten = true
	platform.CopyResponseHeader(x.w.Header(), resp.Header, x.route.Kind != serving.Stream)
	x.w.WriteHeader(resp.Status)
	x.relay.ResponseStarted()
}

// forwardStream forwards complete events as they arrive.
func (a *attempt) forwardStream(ctx context.Context, resp *upstream.Response, stall *stallWatch) relay.Result {
	x := a.request
	if !strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		a.detail = "not a stream"
		return relay.Broken
	}
	events := upstream.NewEventReader(resp.Body)
	control := http.NewResponseController(x.w)
	for {
		e, err := events.Next()
		if errors.Is(err, io.EOF) && a.endedBeforeBegin(resp) {
			err = errNoEvent
		}
		if errors.Is(err, io.EOF) {
			x.writeHead(resp)
			return relay.Completed
		}
		if err != nil {
			a.detail = err.Error()
			a.connectionLost = ctx.Err() == nil
			return a.interrupted(ctx)
		}
		a.progress()
		stall.dataReceived()
		a.observeVersion(platform.EventVersion(e.Fields))
		if e.HasID && x.hasLastEvent && e.ID <= x.lastEvent {
			continue // an earlier attempt has delivered this event
		}
		x.writeHead(resp)
		if _, err := x.w.Write(e.Raw); err != nil {
			return relay.CallerGone
		}
		if e.HasID {
			x.lastEvent, x.hasLastEvent = e.ID, true
		}
		if !events.NextBuffered() {
			if err := control.Flush(); err != nil {
				return relay.CallerGone
			}
		}
	}
}

// endedBeforeBegin reports whether a stream that ended with its connection was broken
// off before its first event. One that continues another may have no event left.
func (a *attempt) endedBeforeBegin(resp *upstream.Response) bool {
	return a.firstByteAt == 0 && !a.request.hasLastEvent && resp.EndsWithConnection()
}
