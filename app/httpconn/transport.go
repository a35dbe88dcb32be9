package httpconn

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
)

// Transport is an http.RoundTripper of which requests and reads of bodies fail if the response
// is not valid or its connection is lost.
type Transport struct{ base *http.Transport }

// NewTransport returns a Transport with the settings of base, which it changes and which must
// have no other user.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	d := &dialer{dial: dial, base: base}
	base.DialContext = d.dialPlain
	if base.TLSClientConfig != nil {
		base.DialTLSContext = d.dialTLS
	}
	return &Transport{base: base}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*responseConn); ok {
			c.expectResponse()
		}
	}}
	return t.base.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
}

// CloseIdleConnections closes the connections that carry no request.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// dialer opens the connections of a Transport.
type dialer struct {
	dial func(ctx context.Context, network, addr string) (net.Conn, error)
	base *http.Transport
}

func (d *dialer) dialPlain(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := d.dial(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return &responseConn{Conn: &Conn{Conn: c}}, nil
}

// dialTLS opens a connection with TLS, below which the loss of the connection is detected, and
// above which responses are checked.
func (d *dialer) dialTLS(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := d.dial(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	config := d.base.TLSClientConfig.Clone()
	if config.ServerName == "" {
		config.ServerName, _, _ = net.SplitHostPort(addr) // dial has accepted the address
	}
	if timeout := d.base.TLSHandshakeTimeout; timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	secure := tls.Client(&Conn{Conn: c}, config)
	if err := secure.HandshakeContext(ctx); err != nil {
		_ = c.Close()
		return nil, err
	}
	return &responseConn{Conn: secure}, nil
}

// responseConn checks the heads of the responses that it carries.
type responseConn struct {
	net.Conn
	mu   sync.Mutex
	head Head
}

// expectResponse says that the next byte begins a response.
func (c *responseConn) expectResponse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head = Head{}
}

// Read implements io.Reader.
func (c *responseConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if headErr := c.check(p[:n]); headErr != nil {
		return 0, headErr
	}
	return n, err
}

// check checks what was read up to the end of the head of the final response.
func (c *responseConn) check(p []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(p) > 0 && !c.head.Ended() {
		n, err := c.head.Check(p)
		if err != nil {
			return err
		}
		p = p[n:]
		if c.head.Ended() && c.head.IsInformational() {
			c.head = Head{}
		}
	}
	return nil
}
