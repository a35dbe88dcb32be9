// Package upstream sends HTTP/1.1 requests to endpoints. Unlike net/http's
// transport it never sends a request twice by itself, tells whether any byte of
// a request has left this host, and recognises answers that belong to an
// earlier request on the same connection.
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
	// dialTimeout bounds the set-up of a connection; within a region it takes
	// a few milliseconds.
	dialTimeout = 400 * time.Millisecond
	// userTimeout ends a connection whose peer does not acknowledge bytes.
	userTimeout = 2500 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount find peers that are
	// gone behind an unused connection.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// defaultIdle is how long a connection is kept whose server tells no limit.
	defaultIdle = 4 * time.Second
	// idleMargin is left of a server's limit, so that a request does not cross
	// the server's close.
	idleMargin = 700 * time.Millisecond
	// readBuffer is the size of a connection's read buffer in bytes.
	readBuffer = 4 << 10
	// maxForeign is the number of answers to earlier requests that are skipped.
	maxForeign = 2
	// maxInformational is the number of 1xx answers that are skipped.
	maxInformational = 4
	// inlineBody is the size up to which a request is written before its answer
	// is read; it fits into the socket's buffer.
	inlineBody = 16 << 10
	// drainLimit is the size in bytes up to which the rest of a foreign answer
	// is read to use its connection on.
	drainLimit = 1 << 20
)

// Request is one request to one endpoint.
type Request struct {
	Addr   string
	Method string
	// Target is the request target as it stands in the request line.
	Target string
	Host   string
	// Header is written as it is, but for Host and Content-Length.
	Header http.Header
	Body   []byte
	// MaxIdle bounds how long a kept connection may have been unused; 0 means
	// as long as the server allows. Requests that may run once only use fresh
	// connections, as one that broke unnoticed leaves their outcome unknown.
	MaxIdle time.Duration
	// Matches reports whether an answer belongs to this request.
	Matches func(http.Header) bool
}

// SendError tells how far a request got that has no answer.
type SendError struct {
	// Verdict is NotRun if no byte has left this host.
	Verdict proto.Verdict
	// ConnectionLost is set if the connection ended without an answer, rather than that
	// the caller gave up or the answer was invalid.
	ConnectionLost bool
	Err            error
}

// Error implements error.
func (e *SendError) Error() string { return "upstream: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// Response is an answer whose body is read from Body. Close must be called.
type Response struct {
	Status int
	Header http.Header
	// BodyLength is the length of the body, or -1 if it is not told.
	BodyLength int64
	Body       io.Reader

	conn   *conn
	client *Client
	resp   *http.Response
	stop   func() bool
	clean  bool
	once   sync.Once
}

// Stats counts what the client did. All fields are safe for concurrent use.
type Stats struct {
	Dials, Reused, Stale, Mismatched atomic.Int64
}

// Client keeps unused connections by address. It is safe for concurrent use.
type Client struct {
	Stats Stats
	mu    sync.Mutex
	idle  map[string][]*conn
}

type conn struct {
	net.Conn
	addr   string
	reader *bufio.Reader
	// unusedSince and keepFor bound the reuse of the connection.
	unusedSince time.Time
	keepFor     time.Duration
}

// New returns a client without connections.
func New() *Client { return &Client{idle: map[string][]*conn{}} }

// Send sends a request once and returns the head of its answer. It fails with a
// *SendError. The connection is closed when the context ends.
func (c *Client) Send(ctx context.Context, req *Request) (*Response, error) {
	cn, err := c.connect(ctx, req)
	if err != nil {
		return nil, &SendError{Verdict: proto.NotRun, ConnectionLost: true, Err: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = cn.Close() })
	wrote := make(chan error, 1)
	data := encode(req)
	if len(data) <= inlineBody {
		_, err := cn.Write(data)
		wrote <- err
	} else {
		go func() {
			_, err := cn.Write(data)
			wrote <- err
		}()
	}
	resp, err := c.readHead(cn, req)
	if err != nil {
		stop()
		_ = cn.Close()
		return nil, sendError(ctx, err)
	}
	r := &Response{
		Status: resp.StatusCode, Header: resp.Header, BodyLength: resp.ContentLength,
		conn: cn, client: c, resp: resp, stop: stop,
	}
	r.Body = &body{response: r, wrote: wrote}
	return r, nil
}

func sendError(ctx context.Context, err error) *SendError {
	if cause := context.Cause(ctx); cause != nil {
		return &SendError{Verdict: proto.MayHaveRun, Err: cause}
	}
	var bad *badAnswer
	return &SendError{Verdict: proto.MayHaveRun, ConnectionLost: !errors.As(err, &bad), Err: err}
}

// badAnswer is an answer that is none in the protocol, or not to this request.
type badAnswer struct{ text string }

func (e *badAnswer) Error() string { return e.text }

func (c *Client) readHead(cn *conn, req *Request) (*http.Response, error) {
	foreign, informational := 0, 0
	for {
		if _, err := cn.reader.Peek(1); err != nil {
			return nil, err
		}
		resp, err := http.ReadResponse(cn.reader, &http.Request{Method: req.Method})
		if err != nil {
			if errors.Is(err, io.ErrUnexpectedEOF) || isNetError(err) {
				return nil, err
			}
			return nil, &badAnswer{"not an HTTP answer: " + err.Error()}
		}
		switch {
		case resp.StatusCode < 200:
			informational++
		case req.Matches == nil || req.Matches(resp.Header):
			return resp, nil
		default:
			foreign++
			c.Stats.Mismatched.Add(1)
			n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, drainLimit))
			if err != nil || n == drainLimit || resp.Close {
				return nil, &badAnswer{"the answer belongs to another request"}
			}
		}
		if foreign > maxForeign || informational > maxInformational {
			return nil, &badAnswer{"too many answers that do not belong to the request"}
		}
	}
}

func isNetError(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) || errors.Is(err, net.ErrClosed) || errors.Is(err, syscall.ECONNRESET)
}

func encode(req *Request) []byte {
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

// connect returns a kept connection that still seems alive, or a new one.
func (c *Client) connect(ctx context.Context, req *Request) (*conn, error) {
	now := time.Now()
	for {
		cn := c.take(req.Addr)
		if cn == nil {
			return c.dial(ctx, req.Addr)
		}
		unused := now.Sub(cn.unusedSince)
		if unused < cn.keepFor && (req.MaxIdle == 0 || unused < req.MaxIdle) && cn.isQuiet() {
			c.Stats.Reused.Add(1)
			return cn, nil
		}
		c.Stats.Stale.Add(1)
		_ = cn.Close()
	}
}

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

func (c *Client) put(cn *conn) {
	cn.unusedSince = time.Now()
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
	return &conn{Conn: nc, addr: addr, reader: bufio.NewReaderSize(nc, readBuffer), keepFor: defaultIdle}, nil
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	return errors.Join(err, failed)
}

// isQuiet reports whether a kept connection has neither ended nor sent
// anything that was not asked for.
func (cn *conn) isQuiet() bool {
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
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(e, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// CloseIdle closes unused connections that are too old, and those to addresses
// that keep reports as gone.
func (c *Client) CloseIdle(keep func(addr string) bool) {
	now := time.Now()
	c.mu.Lock()
	var gone []*conn
	for addr, list := range c.idle {
		var kept []*conn
		for _, cn := range list {
			if keep(addr) && now.Sub(cn.unusedSince) < cn.keepFor {
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

// body reads an answer's body and notes its clean end.
type body struct {
	response *Response
	wrote    chan error
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.response.resp.Body.Read(p)
	if errors.Is(err, io.EOF) {
		b.response.clean = b.sent()
	}
	return n, err
}

// sent reports whether the whole request was written. A server may answer
// before it has read a long request; its connection is not used again then.
func (b *body) sent() bool {
	select {
	case err := <-b.wrote:
		return err == nil
	default:
		return false
	}
}

// Close keeps the connection for further requests if the body was read to its
// end, and closes it otherwise.
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

// reusable reports whether the connection may carry another request. It may
// not if the answer ended with it, or if more bytes came than the answer has.
func (r *Response) reusable() bool {
	endsWithConn := r.BodyLength < 0 && len(r.resp.TransferEncoding) == 0
	if !r.clean || r.resp.Close || endsWithConn || r.conn.reader.Buffered() > 0 {
		return false
	}
	r.conn.keepFor = keepFor(r.Header)
	return r.conn.keepFor > 0
}

// keepFor returns how long a server keeps an unused connection, less a margin.
func keepFor(h http.Header) time.Duration {
	value := h.Get("Keep-Alive")
	if value == "" {
		return defaultIdle
	}
	for part := range strings.SplitSeq(value, ",") {
		name, number, _ := strings.Cut(strings.TrimSpace(part), "=")
		seconds, err := strconv.Atoi(strings.TrimSpace(number))
		if strings.EqualFold(name, "timeout") && err == nil {
			return time.Duration(seconds)*time.Second - idleMargin
		}
	}
	return defaultIdle
}
