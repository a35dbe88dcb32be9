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

	"github.com/kumquatsill/kumquatsill/core/proto"
)

const (
	// EnvelopePath is the path of the transport between own processes.
	EnvelopePath = "/internal/v1/envelope"
	// SilenceTimeout is the time after which a connection without a byte is abandoned.
	SilenceTimeout = 3 * time.Second
	// beatInterval is the time between empty lines on an idle response.
	beatInterval = time.Second
	// dialTimeout bounds the opening of a connection.
	dialTimeout = time.Second
	// maxLine bounds one envelope of a response stream.
	maxLine = 64 << 20
)

// ConnectionError tells that a connection ended before the exchange of messages did.
type ConnectionError struct {
	// Unsent is set when no byte of the request left this host.
	Unsent bool
	// Silent is set when the connection carried nothing for SilenceTimeout.
	Silent bool
	Err    error
}

// Error implements error.
func (e *ConnectionError) Error() string { return "connection lost: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *ConnectionError) Unwrap() error { return e.Err }

var errSilent = errors.New("the connection carried nothing for too long")

// StatusError tells that the other side refused a message.
type StatusError struct {
	Status int
	Detail string
}

// Error implements error.
func (e *StatusError) Error() string { return http.StatusText(e.Status) + ": " + e.Detail }

// Client posts envelopes to other processes. After a silent connection, all
// connections that were open to that address are retired, so that work goes
// on over newly opened ones.
type Client struct {
	// silence is SilenceTimeout, except in tests.
	silence time.Duration
	tls     *tls.Config
	mu      sync.Mutex
	pool    map[string]*http.Transport
}

// NewClient returns a client. A nil tls means plain HTTP.
func NewClient(tls *tls.Config) *Client {
	return &Client{silence: SilenceTimeout, tls: tls, pool: map[string]*http.Transport{}}
}

// Close closes all idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range c.pool {
		t.CloseIdleConnections()
	}
}

func (c *Client) transport(addr string) *http.Transport {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.pool[addr]
	if t == nil {
		t = &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			TLSClientConfig:     c.tls,
			TLSHandshakeTimeout: dialTimeout,
			MaxIdleConnsPerHost: 64,
			IdleConnTimeout:     30 * time.Second,
			DisableCompression:  true,
		}
		c.pool[addr] = t
	}
	return t
}

func (c *Client) retire(addr string, t *http.Transport) {
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

// PostEnvelope sends an envelope to another of the project's processes and
// calls line for each envelope of the response. Errors are *LostError,
// *StatusError or the context's.
func (c *Client) PostEnvelope(ctx context.Context, addr string, env proto.Envelope, line func(proto.Envelope)) error {
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
		line(in)
		return nil
	})
}

// do sends a request and calls opened, which may be nil, with the headers and
// line for each line of the response. The connection is abandoned when it carries nothing for the silence given.
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
		return c.lost(ctx, addr, t, err)
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
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		watchdog.Reset(silence)
		if err := line(scanner.Bytes()); err != nil {
			return c.lost(ctx, addr, t, err)
		}
	}
	if err := scanner.Err(); err != nil {
		return c.lost(ctx, addr, t, err)
	}
	return nil
}

func (c *Client) lost(ctx context.Context, addr string, t *http.Transport, err error) error {
	lost := &ConnectionError{Err: err}
	cause := context.Cause(ctx)
	if errors.Is(cause, errSilent) {
		lost.Silent = true
		lost.Err = errSilent
		c.retire(addr, t)
	} else if cause != nil {
		return cause
	}
	var op *net.OpError
	lost.Unsent = errors.As(err, &op) && op.Op == "dial"
	return lost
}
