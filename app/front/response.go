package front

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/kumquatsill/kumquatsill/app/upstream"
	"github.com/kumquatsill/kumquatsill/core/relay"
	"github.com/kumquatsill/kumquatsill/core/serving"
	"github.com/kumquatsill/kumquatsill/platform"
)

// maxBufferedResponse is the size up to which a response is buffered in
// full before it is forwarded, so that one that breaks off can be retried.
const maxBufferedResponse = 256 << 10

// copyBufferBytes is the size of the buffer of a response that is forwarded as it arrives.
const copyBufferBytes = 4 << 10

var (
	errNoBody        = errors.New("the connection ended before the body")
	errCannotFollow  = errors.New("the answer cannot follow the part of a stream that the caller has")
	errEventNotNext  = errors.New("an event does not follow those that the caller has")
	errShorterStream = errors.New("the stream ended before the caller's position in it")
)

// savedResponse is a complete response of an endpoint.
type savedResponse struct {
	status int
	header http.Header
	body   []byte
	// release says that the body is no longer held.
	release func()
}

// write delivers the response to the caller.
func (s *savedResponse) write(w http.ResponseWriter) {
	platform.CopyResponseHeader(w.Header(), s.header, true)
	w.Header().Set("Content-Length", strconv.Itoa(len(s.body)))
	w.WriteHeader(s.status)
	_, _ = w.Write(s.body) // a write only fails if the caller has left
}

// releaseSaved releases the buffered response, if any.
func (x *request) releaseSaved() {
	if x.saved != nil {
		x.saved.release()
	}
}

// readResponse reads and buffers a response that is not a stream.
func (a *attempt) readResponse(ctx context.Context, resp *upstream.Response, stall *stallWatch) relay.Result {
	a.progress()
	x := a.request
	if !x.relay.Delivery().IsEmpty() {
		resp.Discard()
		return a.unusable(errCannotFollow)
	}
	body, whole, err := resp.ReadBody(maxBufferedResponse)
	if err != nil {
		return a.brokenOff(ctx, err)
	}
	if !whole {
		stall.Stop() // what is forwarded cannot go on elsewhere
		if errors.Is(context.Cause(ctx), errStalled) {
			return a.brokenOff(ctx, errStalled) // given up as the body arrived
		}
		return a.forwardResponse(ctx, resp, body)
	}
	if len(body) == 0 && resp.Status < http.StatusMultipleChoices && resp.EndsWithConnection() {
		return a.brokenOff(ctx, errNoBody)
	}
	x.releaseSaved()
	x.saved = &savedResponse{status: resp.Status, header: resp.Header, body: body, release: resp.KeepCounted()}
	if resp.Status >= 500 {
		return relay.Failed
	}
	return relay.Completed
}

// forwardResponse forwards a response that is not buffered in full.
func (a *attempt) forwardResponse(ctx context.Context, resp *upstream.Response, prefix []byte) relay.Result {
	x := a.request
	x.relay.Delivery().BeginBody()
	x.releaseBody() // a response that has begun is not continued by another attempt
	x.writeHead(resp)
	if _, err := x.w.Write(prefix); err != nil {
		return relay.CallerGone
	}
	resp.Release()
	_, err := io.CopyBuffer(struct{ io.Writer }{x.w}, resp.Body, make([]byte, copyBufferBytes))
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
	x.closeIfStopping()
	platform.CopyResponseHeader(x.w.Header(), resp.Header, x.route.Kind != serving.Stream)
	x.w.WriteHeader(resp.Status)
}

// beginStream writes the head of a stream unless an earlier attempt has done so.
func (x *request) beginStream(resp *upstream.Response) {
	if delivery := x.relay.Delivery(); delivery.IsEmpty() {
		delivery.BeginStream()
		x.writeHead(resp)
	}
}

// cutOff ends the caller's connection without completing the response; it does not return. The
// end of the connection completes a response to HTTP/1.0, which has no chunks, so that only a
// reset shows that it was cut off.
func (x *request) cutOff() {
	if c, ok := x.r.Context().Value(callerConnKey{}).(*callerConn); ok && !x.r.ProtoAtLeast(1, 1) {
		_ = c.SetLinger(0) // fails only if the connection has ended already
	}
	panic(http.ErrAbortHandler)
}

// forwardStream forwards complete events as they arrive.
func (a *attempt) forwardStream(ctx context.Context, resp *upstream.Response, stall *stallWatch) relay.Result {
	x := a.request
	if !strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		a.detail = "not a stream"
		return relay.Broken
	}
	events := resp.Events()
	resp.OnGiveUp(x.stopWriting)
	for {
		e, err := events.Next()
		stall.Stop() // the endpoint does not answer for a slow caller
		if errors.Is(context.Cause(ctx), errStalled) {
			return a.brokenOff(ctx, errStalled) // given up as the event arrived
		}
		if errors.Is(err, io.EOF) {
			return a.endStream(ctx, resp)
		}
		if err != nil {
			return a.brokenOff(ctx, err)
		}
		a.progress()
		a.observeVersion(platform.EventVersion(e.Fields))
		switch x.relay.Delivery().ReceiveEvent(deliveryEvent(e)) {
		case relay.ForwardEvent:
			x.beginStream(resp)
			if err := x.forwardEvent(e, !events.NextBuffered()); err != nil {
				return relay.CallerGone
			}
		case relay.RejectEvent:
			return a.unusable(errEventNotNext)
		}
		stall.Resume()
	}
}

// stopWriting ends a write to the caller, who does not take the response.
func (x *request) stopWriting() {
	_ = http.NewResponseController(x.w).SetWriteDeadline(time.Now())
}

// forwardEvent sends an event to the caller, at once if flush is set.
func (x *request) forwardEvent(e upstream.Event, flush bool) error {
	if _, err := x.w.Write(e.Raw); err != nil {
		return Error.Wrap(err)
	}
	x.relay.Delivery().EventSent(deliveryEvent(e))
	if !flush {
		return nil
	}
	return Error.Wrap(http.NewResponseController(x.w).Flush())
}

func deliveryEvent(e upstream.Event) relay.Event {
	return relay.Event{ID: e.ID, HasID: e.HasID, HasData: e.HasData}
}

// endStream returns the result of an attempt whose stream has come to its end. The end of
// the connection alone does not show that a stream without any event is complete.
func (a *attempt) endStream(ctx context.Context, resp *upstream.Response) relay.Result {
	delivery := a.request.relay.Delivery()
	switch {
	case !delivery.HasEvents() && resp.EndsWithConnection():
		return a.brokenOff(ctx, errNoBody)
	case !delivery.CanEnd():
		return a.unusable(errShorterStream)
	}
	a.request.beginStream(resp)
	return relay.Completed
}

// brokenOff returns the result of an attempt whose response ended with an error.
func (a *attempt) brokenOff(ctx context.Context, err error) relay.Result {
	a.detail = err.Error()
	a.connectionLost = ctx.Err() == nil && !errors.Is(err, upstream.ErrMemory)
	return a.interrupted(ctx)
}

// unusable returns the result of an attempt whose response cannot be delivered.
func (a *attempt) unusable(err error) relay.Result {
	a.detail = err.Error()
	return relay.Unusable
}
