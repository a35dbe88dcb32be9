package upstream

import (
	"cmp"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// defaultKeepAlive is how long an idle connection is kept if the server
	// sends no Keep-Alive timeout.
	defaultKeepAlive = 4 * time.Second
	// keepAliveMargin is subtracted from a server's Keep-Alive timeout, so that
	// a request does not race with the server closing the connection.
	keepAliveMargin = 700 * time.Millisecond
	// maxDrainBytes is the largest response body that is read and discarded to keep
	// its connection usable, discardTimeout how long that may take.
	maxDrainBytes  = 1 << 20
	discardTimeout = 50 * time.Millisecond
	// minBodyBuffer is the least room for a read of a body.
	minBodyBuffer = 512
)

// Response is the head of a response and its unread body. Close must be called.
type Response struct {
	Status int
	Header http.Header
	// BodyLength is the length of the body in bytes, or -1 if unknown.
	BodyLength int64
	Body       io.Reader

	conn     *conn
	client   *Client
	resp     *http.Response
	stop     func() bool
	complete bool
	// exclusive is set if the connection must not carry another request.
	exclusive bool
	once      sync.Once
}

// responseBody reads a response's body and records whether the exchange is
// complete: the request fully written and the body read to its end.
type responseBody struct {
	response *Response
	written  chan error
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.response.resp.Body.Read(p)
	if errors.Is(err, io.EOF) {
		b.response.complete = b.requestWritten()
	}
	return n, err
}

// requestWritten reports whether the whole request was written. A server may
// respond before it has read a long request; the connection is then not reused.
func (b *responseBody) requestWritten() bool {
	select {
	case err := <-b.written:
		return err == nil
	default:
		return false
	}
}

// Discard reads the rest of the body without using it, so that the connection can be
// reused. It gives up on a body that is long or does not arrive at once.
func (r *Response) Discard() {
	// If a deadline cannot be set, the connection is closed already and the read fails.
	_ = r.conn.SetReadDeadline(time.Now().Add(discardTimeout))
	_, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxDrainBytes))
	if err != nil || r.conn.SetReadDeadline(time.Time{}) != nil {
		r.complete = false
	}
}

// ReadBody reads the body up to a number of bytes and reports whether that is all. It ends
// earlier where the responses in progress hold much memory. Body has the rest.
func (r *Response) ReadBody(limit int) (body []byte, whole bool, err error) {
	for len(body) < limit && (len(body) < uncountedBytes || !r.client.Memory.isHalfHeld()) {
		body = slices.Grow(body, minBodyBuffer)
		n, err := r.Body.Read(body[len(body):min(cap(body), limit)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, true, nil
		}
		if err = cmp.Or(err, r.conn.hold.add(n)); err != nil {
			return nil, false, err
		}
	}
	return body, false, nil
}

// Release says that what was read of the body is no longer held.
func (r *Response) Release() { r.conn.hold.release() }

// KeepCounted counts what was read of the body until the returned function is called, also
// after Close.
func (r *Response) KeepCounted() (release func()) { return r.conn.hold.keepCounted() }

// OnGiveUp sets what is called if the response is given up for its memory while its request
// waits for something else than the response.
func (r *Response) OnGiveUp(interrupt func()) {
	h := r.conn.hold
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	h.interrupt = interrupt
}

// Events returns a reader of the events of the body.
func (r *Response) Events() *EventReader {
	events := NewEventReader(r.Body)
	events.hold = r.conn.hold
	return events
}

// Close returns the connection to the pool if the body was read to the end and
// the connection can be reused, and closes it otherwise.
func (r *Response) Close() {
	r.once.Do(func() {
		r.Release()
		stopped := r.stop()
		if stopped && r.reusable() {
			r.client.put(r.conn)
			return
		}
		_ = r.conn.Close()
	})
}

// EndsWithConnection reports whether the body is delimited by the end of the connection
// alone, so that one that was broken off may look complete.
func (r *Response) EndsWithConnection() bool {
	return r.BodyLength < 0 && len(r.resp.TransferEncoding) == 0 && r.resp.Request.Method != http.MethodHead
}

// reusable reports whether the connection may carry another request. It may not
// if the request was exclusive, if the response is delimited by the end of the
// connection, or if more was received than the response.
func (r *Response) reusable() bool {
	if r.exclusive || !r.complete || r.resp.Close || r.EndsWithConnection() {
		return false
	}
	if r.conn.strayed || r.conn.reader.Buffered() > 0 {
		return false
	}
	r.conn.keepAliveTimeout = keepAliveTimeout(r.Header)
	return r.conn.keepAliveTimeout > 0
}

// keepAliveTimeout returns how long an idle connection may be reused: the
// server's Keep-Alive timeout less keepAliveMargin, or defaultKeepAlive.
func keepAliveTimeout(h http.Header) time.Duration {
	value := h.Get("Keep-Alive")
	if value == "" {
		return defaultKeepAlive
	}
	for part := range strings.SplitSeq(value, ",") {
		name, number, _ := strings.Cut(strings.TrimSpace(part), "=")
		seconds, err := strconv.Atoi(strings.TrimSpace(number))
		if strings.EqualFold(name, "timeout") && err == nil {
			return time.Duration(seconds)*time.Second - keepAliveMargin
		}
	}
	return defaultKeepAlive
}
