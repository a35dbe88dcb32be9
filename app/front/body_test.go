package front_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// Guards against a connection that is held without an answer after the time of a request
// whose body did not arrive whole: it is answered 408, since it did not run.
func TestRequestWithUnfinishedBodyIsAnswered(t *testing.T) {
	b := newTestbed(t)
	b.configure(nil)
	r := b.startReady("r1")
	conn, err := net.Dial("tcp4", r.callerAddr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, "POST /look/1 HTTP/1.1\r\nHost: h.example\r\nAuthorization: Token secret\r\n"+
		"Kumquatsill-Attempt-Id: a1\r\nKumquatsill-Deadline-Remaining: 300\r\nContent-Length: 10\r\n\r\nhalf")
	if err := conn.SetReadDeadline(time.Now().Add(3 * time.Second)); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusRequestTimeout {
		t.Errorf("status %d", resp.StatusCode)
	}
}
