package hosting

import (
	"io"
	"net"
	"net/http"
	"time"
)

// trickleInterval is the time between two bytes of a stream that never gets on.
const trickleInterval = 50 * time.Millisecond

// trickle sends a byte now and then until the caller leaves.
func trickle(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	for {
		if _, err := io.WriteString(w, ":"); err != nil || control.Flush() != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(trickleInterval):
		}
	}
}

// resetConnection resets the connection before the response is complete.
func resetConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
