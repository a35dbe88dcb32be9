package transport

import (
	"bufio"
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/kumquatsill/kumquatsill/app/httpconn"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

const (
	// EnvelopePath is the path at which routers and agents receive envelopes.
	EnvelopePath = "/internal/v1/envelope"
	// SilenceTimeout is the time without a byte after which a connection is abandoned.
	SilenceTimeout = 3 * time.Second
	// keepAliveInterval is the interval at which empty lines are sent on an idle
	// response, so that it does not reach SilenceTimeout.
	keepAliveInterval = time.Second
	// dialTimeout bounds a TCP connect and a TLS handshake, each by itself.
	dialTimeout = time.Second
	// maxResponseLine bounds one envelope of a response stream, in bytes.
	maxResponseLine = 64 << 20
)

// ConnectionError reports that a connection failed before the response was complete.
type ConnectionError struct {
	// Unsent is set when no byte of the request left this host.
	Unsent bool
	// Silent is set when nothing was received for SilenceTimeout.
	Silent bool
	Err    error
}

// Error implements error.
func (e *ConnectionError) Error() string { return "connection lost: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *ConnectionError) Unwrap() error { return e.Err }

var errSilent = errors.New("the connection carried nothing for too long")

// StatusError reports a response with a status other than 2xx.
type StatusError struct {
	Status int
	Detail string
}

// Error implements error.
func (e *StatusError) Error() string { return http.StatusText(e.Status) + ": " + e.Detail }

// Client sends HTTP requests to other processes. After a silent connection, new
// requests use none of the connections that were open to that address, since those
// may be silent too, but open new ones.
type Client struct {
	// silence is SilenceTimeout, except in tests.
	silence time.Duration
	tls     *tls.Config
	mu      sync.Mutex
	pool    map[string]*httpconn.Transport
}

// NewClient returns a client. If tls is nil, it uses plain HTTP.
func NewClient(tls *tls.Config) *Client {
	return &Client{silence: SilenceTimeout, tls: tls, pool: map[string]*httpconn.Transport{}}
}

// Close closes all idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range c.pool {
		t.CloseIdleConnections()
	}
}

// transport returns the connection pool of an address.
func (c *Client) transport(addr string) *httpconn.Transport {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.pool[addr]
	if t == nil {
		t = httpconn.NewTransport(&http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			TLSClientConfig:     c.tls,
			TLSHandshakeTimeout: dialTimeout,
			MaxIdleConnsPerHost: 64,
			IdleConnTimeout:     30 * time.Second,
			DisableCompression:  true,
		})
		c.pool[addr] = t
	}
	return t
}

// retire removes a pool from use. Requests in flight on it continue.
func (c *Client) retire(addr string, t *httpconn.Transport) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pool[addr] == t {
		delete(c.pool, addr)
	}
	t.CloseIdleConnections()
}

func (c *Client) scheme() string {
	if c.tls != nil {
		return "https://"
	}
	return "http://"
}

// PostEnvelope sends an envelope to a router or agent and calls handle for each
// envelope of the response. Errors are *ConnectionError, *StatusError or the
// context's.
func (c *Client) PostEnvelope(ctx context.Context, addr string, env proto.Envelope, handle func(proto.Envelope)) error {
	data, err := proto.Encode(env)
	if err != nil {
		return Error.Wrap(err)
	}
	return c.do(ctx, http.MethodPost, addr, EnvelopePath, data, c.silence, nil, func(text []byte) error {
		if len(text) == 0 {
			return nil
		}
		in, err := proto.Decode(text)
		if err != nil {
			return err
		}
		handle(in)
		return nil
	})
}

// do sends a request. It calls opened, which may be nil, with the headers of the
// response and line with each of its lines. The connection is abandoned when
// nothing is received for the duration silence.
func (c *Client) do(ctx context.Context, method, addr, path string, body []byte, silence time.Duration, opened func(http.Header), line func([]byte) error) error {
	t := c.transport(addr)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(silence, func() { cancel(errSilent) })
	defer watchdog.Stop()
	req, err := http.NewRequestWithContext(ctx, method, c.scheme()+addr+path, bytes.NewReader(body))
	if err != nil {
		return Error.Wrap(err)
	}
	if len(body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	res, err := t.RoundTrip(req)
	if err != nil {
		return c.connError(ctx, addr, t, err)
	}
	defer func() { _ = res.Body.Close() }()
	watchdog.Reset(silence)
	if res.StatusCode/100 != 2 {
		detail, _ := io.ReadAll(io.LimitReader(res.Body, 512))
		return &StatusError{Status: res.StatusCode, Detail: string(bytes.TrimSpace(detail))}
	}
	if opened != nil {
		opened(res.Header)
	}
	scanner := bufio.NewScanner(res.Body)
	scanner.Buffer(nil, maxResponseLine)
	for scanner.Scan() {
		watchdog.Reset(silence)
		if err := line(scanner.Bytes()); err != nil {
			return c.connError(ctx, addr, t, err)
		}
	}
	if err := scanner.Err(); err != nil {
		return c.connError(ctx, addr, t, err)
	}
	return nil
}

// connError converts an error of a request: to a *ConnectionError, or to the
// context's error if the caller ended the request.
func (c *Client) connError(ctx context.Context, addr string, t *httpconn.Transport, err error) error {
	connError := &ConnectionError{Err: err}
	cause := context.Cause(ctx)
	if errors.Is(cause, errSilent) {
		connError.Silent = true
		connError.Err = errSilent
		c.retire(addr, t)
	} else if cause != nil {
		return cause
	}
	var op *net.OpError
	connError.Unsent = errors.As(err, &op) && op.Op == "dial"
	return connError
}
