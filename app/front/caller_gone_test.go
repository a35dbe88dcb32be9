package front_test

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"
)

// Guards against an empty response with status 200 for a caller that has closed its side
// of the connection and still reads.
func TestCallerThatLeavesGetsNoEmptySuccess(t *testing.T) {
	b := newTestbed(t)
	b.configure(nil)
	r := b.startReady("r1")
	for _, e := range b.engines[2:] {
		e.ResponseDelay = 2 * time.Second
	}
	conn, err := net.Dial("tcp4", r.callerAddr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, _ = fmt.Fprintf(conn, "GET /look/1 HTTP/1.1\r\nHost: h.example\r\nAuthorization: Token secret\r\n"+
		"Kumquatsill-Attempt-Id: half-closed\r\nKumquatsill-Deadline-Remaining: 4000\r\n\r\n") // the read below fails if this does
	if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	response, err := io.ReadAll(conn)
	if len(response) > 0 {
		t.Errorf("received %.60q, %v", response, err)
	}
}
