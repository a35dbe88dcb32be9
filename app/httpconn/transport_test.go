package httpconn_test

import (
	"bytes"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/kumquatsill/kumquatsill/app/httpconn"
	"github.com/kumquatsill/kumquatsill/standin/rawanswer"
)

// servers start a server with or without TLS, and return the settings of its clients.
var servers = map[string]func(h http.Handler) (*httptest.Server, *tls.Config){
	"plain": func(h http.Handler) (*httptest.Server, *tls.Config) { return httptest.NewServer(h), nil },
	"TLS": func(h http.Handler) (*httptest.Server, *tls.Config) {
		s := httptest.NewTLSServer(h)
		return s, s.Client().Transport.(*http.Transport).TLSClientConfig
	},
}

// post sends a body and returns that of the response.
func post(client *http.Client, url string, body []byte) (string, error) {
	resp, err := client.Post(url, "text/plain", bytes.NewReader(body))
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	got, err := io.ReadAll(resp.Body)
	return string(got), err
}

// Guards against an invalid response that a client gets from the transport, on a new connection
// or on one that has carried a valid response.
func TestTransportRefusesInvalidHeads(t *testing.T) {
	const body = "body"
	for name, start := range servers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var answer atomic.Value // a string, or "" for a response of net/http
			server, config := start(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if text := answer.Load().(string); text != "" {
					rawanswer.Text(text).ServeHTTP(w, r)
					return
				}
				_, _ = io.WriteString(w, body)
			}))
			defer server.Close()
			client := &http.Client{Transport: httpconn.NewTransport(&http.Transport{TLSClientConfig: config})}
			defer client.CloseIdleConnections()
			expect := func(name, text string, valid bool) {
				for _, previous := range []string{"none", "a valid response"} {
					client.CloseIdleConnections()
					if previous != "none" {
						answer.Store("")
						if got, err := post(client, server.URL, nil); got != body || err != nil {
							t.Fatalf("%q, %v", got, err)
						}
					}
					answer.Store(text)
					if got, err := post(client, server.URL, nil); valid != (err == nil) || valid && got != body {
						t.Errorf("%s, before it %s: body %q, %v", name, previous, got, err)
					}
				}
			}
			for name, text := range rawanswer.InvalidHeads("", body) {
				expect(name, text, false)
			}
			for name, text := range rawanswer.Sound("", body) {
				expect(name, text, true)
			}
		})
	}
}

// Guards against a part of a response that a client gets as a whole one, since the connection
// was reset while a long request was being written.
func TestTransportReportsReset(t *testing.T) {
	const repetitions = 10 // it is left to chance whether the read or the write receives the reset
	const unframed = "HTTP/1.1 200 OK\r\n\r\npart"
	for name, start := range servers {
		t.Run(name, func(t *testing.T) {
			server, config := start(rawanswer.Answer(func(c net.Conn, _ *http.Request) {
				rawanswer.Send(c, unframed)
				if secure, ok := c.(*tls.Conn); ok {
					c = secure.NetConn() // the end of TLS is not sent, as by a process that crashes
				}
				rawanswer.SendAndReset(c, "")
			}))
			defer server.Close()
			client := &http.Client{Transport: httpconn.NewTransport(&http.Transport{TLSClientConfig: config, DisableKeepAlives: true})}
			for range repetitions {
				if got, err := post(client, server.URL, longRequest); err == nil {
					t.Errorf("body %q without an error", got)
				}
			}
		})
	}
}

// Guards against a connection that is not kept after a valid response, or that is opened with
// TLS but without the check of the server's name.
func TestTransportKeepsConnections(t *testing.T) {
	for name, start := range servers {
		t.Run(name, func(t *testing.T) {
			conns := map[string]bool{}
			server, config := start(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				conns[r.RemoteAddr] = true // one request at a time
				if _, err := io.Copy(w, r.Body); err != nil {
					t.Error(err)
				}
			}))
			defer server.Close()
			client := &http.Client{Transport: httpconn.NewTransport(&http.Transport{TLSClientConfig: config})}
			defer client.CloseIdleConnections()
			for range 3 {
				if got, err := post(client, server.URL, []byte("body")); got != "body" || err != nil {
					t.Fatalf("%q, %v", got, err)
				}
			}
			if len(conns) != 1 {
				t.Errorf("%d connections, want 1", len(conns))
			}
			if config != nil {
				client.CloseIdleConnections()
				named := strings.Replace(server.URL, "127.0.0.1", "localhost", 1)
				if _, err := post(client, named, nil); err == nil {
					t.Error("a certificate for another name was accepted")
				}
			}
		})
	}
}
