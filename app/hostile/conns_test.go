package hostile_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/standin/hosting"
)

const (
	// idleClients is the number of connections without a request, half of them with a part
	// of its head.
	idleClients = 400
	// halfHeadBytes is the size of that part.
	halfHeadBytes = 8 << 10
	// unreadClients is the number of callers that do not read their responses, responseBytes
	// and eventBytes the sizes of a whole response and of an event.
	unreadClients = 240
	responseBytes = 255 << 10
	eventBytes    = 1 << 20
	// unreadTime is how long those callers are observed.
	unreadTime = 3 * time.Second
	// manyEndpoints is the number of endpoints whose responses are not read.
	manyEndpoints = 12
	// unreadWindow and unreadSegment make the kernel buffer little between the router and a
	// caller that does not read.
	unreadWindow  = 4 << 10
	unreadSegment = 536
)

// Guards against a router whose descriptors are used up by connections without requests.
func TestConnectionsWithoutRequests(t *testing.T) {
	r := startRouter(t, memoryMb, descriptors)
	half := head("/plain/x", crowdKey) + "X-Name: " + strings.Repeat("x", halfHeadBytes)
	r.crowd(idleClients, r.dial, func(i int, c net.Conn) {
		if i%2 == 0 {
			_, _ = io.WriteString(c, half)
		}
	})
	r.check()
}

// largeEndpoint answers with a whole response, or with a stream of large events.
type largeEndpoint struct{ id string }

func (e largeEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("Kumquatsill-Attempt-Id", r.Header.Get("Kumquatsill-Attempt-Id"))
	w.Header().Set("Kumquatsill-Response-Signature", hosting.SignatureOf(e.id))
	if strings.HasPrefix(r.URL.Path, "/large/") {
		_, _ = io.WriteString(w, strings.Repeat("x", responseBytes))
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	data := strings.Repeat("x", eventBytes-64)
	for i := 1; i <= 4; i++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, data); err != nil {
			return
		}
	}
}

// dialUnread connects a caller for which the kernel buffers little.
func (r *router) dialUnread() (net.Conn, error) {
	d := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, unreadWindow)
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, unreadSegment)
		})
	}}
	return d.Dial("tcp4", r.addr)
}

// leaveUnread lets callers request responses of endpoints and not read them.
func leaveUnread(t *testing.T, service string, endpoints int) {
	r := startRouter(t, memoryMb, manyDescriptors)
	for i := range endpoints {
		id := fmt.Sprintf("%s-%d", service, i)
		r.register(hosting.NewEngine(id, service, ""), r.listen(largeEndpoint{id: id}))
	}
	path := "/" + service + "/x"
	r.await("the endpoints", func() bool { return r.begins(path) })
	r.crowd(unreadClients, r.dialUnread, func(_ int, c net.Conn) {
		_, _ = io.WriteString(c, head(path, crowdKey)+"Content-Length: 4\r\n\r\nbody")
	})
	time.Sleep(unreadTime)
	r.check()
}

// begins reports whether a request is answered by an endpoint.
func (r *router) begins(path string) bool {
	c, err := r.dial()
	if err != nil {
		return false
	}
	defer func() { _ = c.Close() }()
	_, _ = io.WriteString(c, head(path, callerKey)+"Content-Length: 4\r\n\r\nbody")
	_ = c.SetReadDeadline(time.Now().Add(waitTimeout / 4))
	line, err := bufio.NewReader(c).ReadString('\n')
	return err == nil && strings.Contains(line, " 200 ")
}

// Guards against a router that keeps all whole responses that callers do not read.
func TestUnreadResponses(t *testing.T) { leaveUnread(t, "large", 1) }

// Guards against a router that keeps the unread responses of many endpoints.
func TestUnreadResponsesOfManyEndpoints(t *testing.T) { leaveUnread(t, "large", manyEndpoints) }

// Guards against a router that keeps all large events that callers do not read.
func TestUnreadEvents(t *testing.T) { leaveUnread(t, "events", 1) }

// Guards against a router that keeps the unread events of many endpoints.
func TestUnreadEventsOfManyEndpoints(t *testing.T) { leaveUnread(t, "events", manyEndpoints) }
