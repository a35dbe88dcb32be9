// Package rawanswer is a stand-in for faulty HTTP servers. It answers requests with any bytes,
// and ends its connections in any way.
package rawanswer

import (
	"io"
	"net"
	"net/http"
	"time"
)

const (
	// settleTime is enough for a client on the same machine to read what was sent, unless the
	// machine is busy.
	settleTime = 50 * time.Millisecond
	// readOnTimeout limits how long a server reads on.
	readOnTimeout = 10 * time.Second
)

// Answer sends the answer to a request on its connection, which is closed afterwards. The body
// of the request may not have been read.
type Answer func(c net.Conn, r *http.Request)

// ServeHTTP implements http.Handler.
func (a Answer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler) // the client is gone
	}
	defer func() { _ = c.Close() }()
	a(c, r)
}

// Text answers with a text and reads on.
func Text(text string) Answer {
	return func(c net.Conn, _ *http.Request) { SendAndReadOn(c, text) }
}

// Send sends a text. A client that closes the connection before has read what it needs.
func Send(c net.Conn, text string) { _, _ = io.WriteString(c, text) }

// SendAndReset sends a text, leaves the client the time to read it and resets the connection.
func SendAndReset(c net.Conn, text string) {
	Send(c, text)
	time.Sleep(settleTime)
	Reset(c)
}

// Reset resets the connection.
func Reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0) // fails only if the client has closed the connection
	_ = c.Close()
}

// SendAndEnd sends a text, ends the server's side of the connection and leaves the client the
// time to read that. It reads nothing, so that the connection is reset if the client sends on.
func SendAndEnd(c net.Conn, text string) {
	Send(c, text)
	end(c)
	time.Sleep(settleTime)
}

// SendAndReadOn sends a text, ends the server's side of the connection and reads what the client
// sends until it closes the connection.
func SendAndReadOn(c net.Conn, text string) {
	Send(c, text)
	end(c)
	_ = c.SetReadDeadline(time.Now().Add(readOnTimeout)) // fails only if the connection has ended
	_, _ = io.Copy(io.Discard, c)
}

// end ends the server's side of a connection. It fails only if the client has closed it.
func end(c net.Conn) { _ = c.(interface{ CloseWrite() error }).CloseWrite() }
