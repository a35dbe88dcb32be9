// Package upstream is an HTTP/1.1 client for endpoints. Unlike net/http's
// transport it never retries a request on its own, reports whether any byte of
// a request has left this host, and detects responses that belong to an earlier
// request on the same connection.
package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/kumquatsill/kumquatsill/app/httpconn"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("upstream")

const (
	// readBufferBytes is the size of a connection's read buffer.
	readBufferBytes = 2 << 10
	// maxMismatched is the number of responses to earlier requests that are
	// skipped before a request fails.
	maxMismatched = 2
	// maxInformational is the number of 1xx responses that are skipped before a
	// request fails.
	maxInformational = 4
	// maxInlineRequestBytes is the size up to which a request is written
	// synchronously, before its response is read. It fits into the socket's send
	// buffer; larger requests are written by a goroutine of their own.
	maxInlineRequestBytes = 16 << 10
	// maxHeadBytes limits the size of a response's head. A faulty server may send
	// bytes without end.
	maxHeadBytes = 64 << 10
)

// Request is one request to one endpoint.
type Request struct {
	Addr   string
	Method string
	// Target is the request target of the request line, sent verbatim.
	Target string
	Host   string
	// Header is sent as is and must not contain Host or Content-Length, which
	// the client writes itself.
	Header http.Header
	Body   []byte
	// Segments follow Body. They are not copied unless they are small.
	Segments [][]byte
	// MaxIdle limits how long a reused connection may have been idle; 0 means
	// as long as the server allows. Non-repeatable requests set it, because a
	// connection that was lost unnoticed leaves their outcome unknown.
	MaxIdle time.Duration
	// Exclusive requests use a connection that carries nothing else, on which no late
	// response to another request can arrive.
	Exclusive bool
	// Matches reports whether a response with this header belongs to this
	// request. The argument alone is set if its connection has carried no other request.
	// Nil accepts every response.
	Matches func(h http.Header, alone bool) bool
}

// SendError reports how far a request got that received no response.
type SendError struct {
	// Verdict is NotRun if no byte has left this host.
	Verdict proto.Verdict
	// ConnectionLost is set if no connection could be established, or if it ended
	// before a response. It is not set if, once connected, the context ended or
	// the response was invalid.
	ConnectionLost bool
	Err            error
}

// Error implements error.
func (e *SendError) Error() string { return "upstream: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// Stats counts dialled, reused and discarded stale connections and mismatched
// responses. All fields are safe for concurrent use.
type Stats struct {
	Dials, Reused, Stale, Mismatched atomic.Int64
}

// Client sends requests and pools idle connections by address. It is safe for
// concurrent use.
type Client struct {
	Stats  Stats
	Memory Memory
	mu     sync.Mutex
	idle   map[string][]*conn
}

// New returns a client with an empty connection pool.
func New() *Client {
	return &Client{Memory: Memory{counted: map[*hold]struct{}{}}, idle: map[string][]*conn{}}
}

// Send sends a request exactly once and returns the head of its response. Its
// errors are of type *SendError. The connection is closed when the context ends.
func (c *Client) Send(ctx context.Context, req *Request) (*Response, error) {
	cn, err := c.connect(ctx, req)
	if err != nil {
		return nil, &SendError{Verdict: proto.NotRun, ConnectionLost: true, Err: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = cn.Close() })
	cn.hold = &hold{memory: &c.Memory, conn: cn}
	written := make(chan error, 1)
	data := encodeRequest(req)
	if len(data) == 1 && len(data[0]) <= maxInlineRequestBytes {
		_, err := cn.Write(data[0])
		written <- err
	} else {
		go func() {
			written <- cn.WriteBuffers(data)
		}()
	}
	resp, err := c.readHead(cn, req)
	if err != nil {
		stop()
		_ = cn.Close()
		cn.hold.release()
		return nil, newSendError(ctx, err)
	}
	r := &Response{
		Status: resp.StatusCode, Header: resp.Header, BodyLength: resp.ContentLength,
		conn: cn, client: c, resp: resp, stop: stop, exclusive: req.Exclusive,
	}
	r.Body = &responseBody{response: r, written: written}
	return r, nil
}

func newSendError(ctx context.Context, err error) *SendError {
	if cause := context.Cause(ctx); cause != nil {
		return &SendError{Verdict: proto.MayHaveRun, Err: cause}
	}
	var bad *invalidResponseError
	return &SendError{Verdict: proto.MayHaveRun, ConnectionLost: !errors.As(err, &bad), Err: err}
}

// invalidResponseError reports a response that is not valid HTTP or belongs to
// another request.
type invalidResponseError struct{ text string }

func (e *invalidResponseError) Error() string { return e.text }

// readHead reads the head of the response to req and skips informational and
// mismatched responses before it.
func (c *Client) readHead(cn *conn, req *Request) (*http.Response, error) {
	mismatched, informational := 0, 0
	for {
		resp, err := cn.readOneHead(req.Method)
		if err != nil {
			return nil, err
		}
		switch {
		case resp.StatusCode < 200:
			informational++
		case req.Matches == nil || req.Matches(resp.Header, !cn.reused):
			return resp, nil
		default:
			mismatched++
			cn.strayed = true
			c.Stats.Mismatched.Add(1)
			n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxDrainBytes))
			if err != nil || n == maxDrainBytes || resp.Close {
				return nil, &invalidResponseError{"the answer belongs to another request"}
			}
		}
		if mismatched > maxMismatched || informational > maxInformational {
			return nil, &invalidResponseError{"too many answers that do not belong to the request"}
		}
	}
}

// readOneHead reads the head of the next response, of at most maxHeadBytes.
func (cn *conn) readOneHead(method string) (*http.Response, error) {
	cn.head, cn.headLeft, cn.inHead = httpconn.Head{}, maxHeadBytes, true
	defer func() { cn.inHead = false }()
	received, _ := cn.reader.Peek(cn.reader.Buffered()) // cannot fail: all of it is buffered
	if _, err := cn.checkHead(received); err != nil {
		return nil, err
	}
	if _, err := cn.reader.Peek(1); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(cn.reader, &http.Request{Method: method})
	if err == nil || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, ErrMemory) || isNetError(err) {
		return resp, err
	}
	return nil, &invalidResponseError{"not an HTTP answer: " + err.Error()}
}

func isNetError(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) || errors.Is(err, net.ErrClosed) || errors.Is(err, syscall.ECONNRESET)
}

// bodyLength returns the length of the body.
func (r *Request) bodyLength() int {
	n := len(r.Body)
	for _, segment := range r.Segments {
		n += len(segment)
	}
	return n
}

// encodeRequest returns the wire format of a request, as one buffer if it is small.
func encodeRequest(req *Request) net.Buffers {
	length := req.bodyLength()
	if length > maxInlineRequestBytes {
		return append(net.Buffers{encodeHead(req, length, 0), req.Body}, req.Segments...)
	}
	b := append(encodeHead(req, length, length), req.Body...)
	for _, segment := range req.Segments {
		b = append(b, segment...)
	}
	return net.Buffers{b}
}

// encodeHead returns the wire format of a head, with room for a number of bytes after it.
func encodeHead(req *Request, length, room int) []byte {
	size := len(req.Method) + len(req.Target) + len(req.Host) + room + 64
	for name, values := range req.Header {
		for _, value := range values {
			size += len(name) + len(value) + 4
		}
	}
	b := make([]byte, 0, size)
	b = append(b, req.Method...)
	b = append(b, ' ')
	b = append(b, req.Target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, req.Host...)
	b = append(b, "\r\n"...)
	for name, values := range req.Header {
		for _, value := range values {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, value...)
			b = append(b, "\r\n"...)
		}
	}
	if length > 0 || req.Method != http.MethodGet && req.Method != http.MethodHead {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(length), 10)
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...)
}
