// Package upstream is an HTTP/1.1 client for endpoints. Unlike net/http's
// transport it never retries a request on its own, reports whether any byte of
// a request has left this host, and detects responses that belong to an earlier
// request on the same connection.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/zeebo/errs"
	"golang.org/x/sys/unix"
)

// Error is the class of all errors of this package.
var Error = errs.Class("upstream")

const (
	// dialTimeout limits connection establishment, which takes a few
	// milliseconds within a region.
	dialTimeout = 400 * time.Millisecond
	// userTimeout is the TCP_USER_TIMEOUT: a connection is closed if sent data
	// stays unacknowledged for this long.
	userTimeout = 2500 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount configure the TCP
	// keep-alive probes that detect a dead peer behind an idle connection.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// defaultKeepAlive is how long an idle connection is kept if the server
	// sends no Keep-Alive timeout.
	defaultKeepAlive = 4 * time.Second
	// keepAliveMargin is subtracted from a server's Keep-Alive timeout, so that
	// a request does not race with the server closing the connection.
	keepAliveMargin = 700 * time.Millisecond
	// readBufferBytes is the size of a connection's read buffer.
	readBufferBytes = 4 << 10
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
	// maxDrainBytes is the largest response body that is read and discarded to keep
	// its connection usable, discardTimeout how long that may take.
	maxDrainBytes  = 1 << 20
	discardTimeout = 50 * time.Millisecond
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

// Stats counts dialled, reused and discarded stale connections and mismatched
// responses. All fields are safe for concurrent use.
type Stats struct {
	Dials, Reused, Stale, Mismatched atomic.Int64
}

// Client sends requests and pools idle connections by address. It is safe for
// concurrent use.
type Client struct {
	Stats Stats
	mu    sync.Mutex
	idle  map[string][]*conn
}

type conn struct {
	net.Conn
	addr   string
	reader *bufio.Reader
	// limit bounds what reader reads from Conn.
	limit *limitedReader
	// reused is set if another request was sent before, strayed once a response was
	// received that did not match its request.
	reused, strayed bool
	// idleSince and keepAliveTimeout limit how long an idle connection may be reused.
	idleSince        time.Time
	keepAliveTimeout time.Duration
}

// limitedReader reads from a connection and fails once a limit is used up.
type limitedReader struct {
	from net.Conn
	// left is the number of bytes that may still be read; it applies if limited.
	left    int
	limited bool
}

// Read implements io.Reader.
func (r *limitedReader) Read(p []byte) (int, error) {
	if !r.limited {
		return r.from.Read(p)
	}
	if r.left <= 0 {
		return 0, &invalidResponseError{"the head of the answer is too long"}
	}
	n, err := r.from.Read(p[:min(len(p), r.left)])
	r.left -= n
	return n, err
}

// New returns a client with an empty connection pool.
func New() *Client { return &Client{idle: map[string][]*conn{}} }

// Send sends a request exactly once and returns the head of its response. Its
// errors are of type *SendError. The connection is closed when the context ends.
func (c *Client) Send(ctx context.Context, req *Request) (*Response, error) {
	cn, err := c.connect(ctx, req)
	if err != nil {
		return nil, &SendError{Verdict: proto.NotRun, ConnectionLost: true, Err: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = cn.Close() })
	written := make(chan error, 1)
	data := encodeRequest(req)
	if len(data) <= maxInlineRequestBytes {
		_, err := cn.Write(data)
		written <- err
	} else {
		go func() {
			_, err := cn.Write(data)
			written <- err
		}()
	}
	resp, err := c.readHead(cn, req)
	if err != nil {
		stop()
		_ = cn.Close()
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
	cn.limit.left, cn.limit.limited = maxHeadBytes, true
	defer func() { cn.limit.limited = false }()
	if _, err := cn.reader.Peek(1); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(cn.reader, &http.Request{Method: method})
	if err == nil || errors.Is(err, io.ErrUnexpectedEOF) || isNetError(err) {
		return resp, err
	}
	return nil, &invalidResponseError{"not an HTTP answer: " + err.Error()}
}

func isNetError(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) || errors.Is(err, net.ErrClosed) || errors.Is(err, syscall.ECONNRESET)
}

// encodeRequest returns the wire format of a request.
func encodeRequest(req *Request) []byte {
	size := len(req.Method) + len(req.Target) + len(req.Host) + len(req.Body) + 64
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
	if len(req.Body) > 0 || req.Method != http.MethodGet && req.Method != http.MethodHead {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(req.Body)), 10)
		b = append(b, "\r\n"...)
	}
	b = append(b, "\r\n"...)
	return append(b, req.Body...)
}

// connect returns a pooled connection that still appears usable, or dials a new
// one, as it always does for an exclusive request.
func (c *Client) connect(ctx context.Context, req *Request) (*conn, error) {
	if req.Exclusive {
		return c.dial(ctx, req.Addr)
	}
	now := time.Now()
	for {
		cn := c.take(req.Addr)
		if cn == nil {
			return c.dial(ctx, req.Addr)
		}
		idleFor := now.Sub(cn.idleSince)
		if idleFor < cn.keepAliveTimeout && (req.MaxIdle == 0 || idleFor < req.MaxIdle) && cn.isUsable() {
			c.Stats.Reused.Add(1)
			cn.reused = true
			return cn, nil
		}
		c.Stats.Stale.Add(1)
		_ = cn.Close()
	}
}

// take removes the most recently used idle connection to addr from the pool, or
// returns nil.
func (c *Client) take(addr string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[addr]
	if len(list) == 0 {
		return nil
	}
	cn := list[len(list)-1]
	c.idle[addr] = list[:len(list)-1]
	return cn
}

// put returns a connection to the pool.
func (c *Client) put(cn *conn) {
	cn.idleSince = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle[cn.addr] = append(c.idle[cn.addr], cn)
}

func (c *Client) dial(ctx context.Context, addr string) (*conn, error) {
	c.Stats.Dials.Add(1)
	d := net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: setUserTimeout,
	}
	nc, err := d.DialContext(ctx, "tcp4", addr)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	limit := &limitedReader{from: nc}
	return &conn{
		Conn: nc, addr: addr, reader: bufio.NewReaderSize(limit, readBufferBytes), limit: limit, keepAliveTimeout: defaultKeepAlive,
	}, nil
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	return errors.Join(err, optErr)
}

// isUsable reports whether an idle connection is still open and has received
// no unsolicited data.
func (cn *conn) isUsable() bool {
	if cn.reader.Buffered() > 0 {
		return false
	}
	sc, ok := cn.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		noData = errors.Is(e, unix.EAGAIN)
		return true
	})
	return err == nil && noData
}

// CloseIdle closes connections that have been idle for longer than their
// keep-alive timeout, and those to addresses for which keep returns false.
func (c *Client) CloseIdle(keep func(addr string) bool) {
	now := time.Now()
	c.mu.Lock()
	var gone []*conn
	for addr, list := range c.idle {
		var kept []*conn
		for _, cn := range list {
			if keep(addr) && now.Sub(cn.idleSince) < cn.keepAliveTimeout {
				kept = append(kept, cn)
			} else {
				gone = append(gone, cn)
			}
		}
		if len(kept) == 0 {
			delete(c.idle, addr)
		} else {
			c.idle[addr] = kept
		}
	}
	c.mu.Unlock()
	for _, cn := range gone {
		_ = cn.Close()
	}
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

// Close returns the connection to the pool if the body was read to the end and
// the connection can be reused, and closes it otherwise.
func (r *Response) Close() {
	r.once.Do(func() {
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
	return r.BodyLength < 0 && len(r.resp.TransferEncoding) == 0
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
