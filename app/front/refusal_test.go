package front_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/kumquatsill/kumquatsill/platform"
)

// refusingEngine is a plain endpoint that can refuse requests and write its refusals once
// more on connections that are in use again.
type refusingEngine struct {
	ids []string
	// refuses decides about each request.
	refuses func(r *http.Request) bool
	// namesRequest is set if refusals repeat the ID of their request.
	namesRequest bool
	status       int

	mu sync.Mutex
	// runs counts the runs by the IDs of the requests.
	runs map[string]int
}

// serve answers the requests of one connection.
func (e *refusingEngine) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	copied := ""
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body) // the requests are short
		id := req.Header.Get("Kumquatsill-Attempt-Id")
		if copied == "" && e.refuses(req) {
			copied = e.refusal(id)
			_, _ = io.WriteString(c, copied) // the router notices a connection that is gone
			continue
		}
		e.mu.Lock()
		e.runs[id]++
		e.mu.Unlock()
		_, _ = fmt.Fprintf(c, "%sHTTP/1.1 200 OK\r\nKumquatsill-Response-Signature: sig\r\nKumquatsill-Attempt-Id: %s\r\nContent-Length: 2\r\n\r\nok", copied, id)
		copied = ""
	}
}

func (e *refusingEngine) refusal(id string) string {
	head := fmt.Sprintf("HTTP/1.1 %d Refused\r\nKumquatsill-Not-Executed: 1\r\nContent-Length: 0\r\n", e.status)
	if e.namesRequest {
		head += "Kumquatsill-Attempt-Id: " + id + "\r\n"
	}
	return head + "\r\n"
}

func (e *refusingEngine) runsOf(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}

// replacePlainEngines registers an engine under its IDs in place of the testbed's plain
// ones.
func (b *testbed) replacePlainEngines(engines ...*refusingEngine) {
	for _, e := range b.engines[2:] {
		b.store.PutKey(platform.TopicEndpoints, e.ID, nil)
	}
	for _, e := range engines {
		e.runs = map[string]int{}
		addr := b.listenRaw(e.serve)
		for _, id := range e.ids {
			b.store.PutKey(platform.TopicEndpoints, id, b.engines[2].Registration(addr, "zone-a", "ready"))
		}
	}
}

// listenRaw serves each connection to a new address by a function.
func (b *testbed) listenRaw(serve func(net.Conn)) string {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		b.t.Fatal(err)
	}
	b.t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return ln.Addr().String()
}

// checkOrders sends orders and checks the promises about each.
func checkOrders(t *testing.T, r *router, n int, engines ...*refusingEngine) {
	t.Helper()
	for range n {
		req := r.request("/order/1", "secret")
		status, _ := r.do(req)
		runs := 0
		for _, e := range engines {
			runs += e.runsOf(req.Header.Get("Kumquatsill-Attempt-Id"))
		}
		if runs > 1 || runs > 0 && status != http.StatusOK {
			t.Errorf("status %d for an order that ran %d times", status, runs)
		}
	}
}

// Guards against a refusal that an engine writes once more on a kept connection: it must
// not count as the refusal of the request that the engine runs meanwhile.
func TestRepeatedRefusalOfAnotherRequest(t *testing.T) {
	for name, named := range map[string]bool{"with the ID of its request": true, "without ID": false} {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t)
			var refusing atomic.Bool
			var engines []*refusingEngine
			for _, id := range []string{"raw-1", "raw-2"} {
				engines = append(engines, &refusingEngine{
					ids: []string{id}, status: http.StatusServiceUnavailable, namesRequest: named,
					refuses: func(*http.Request) bool { return refusing.Load() },
				})
			}
			b.replacePlainEngines(engines...)
			b.configure(nil)
			r := b.startReady("r1")
			refusing.Store(true)
			checkOrders(t, r, 8, engines...)
		})
	}
}

// Guards against a refusal that is written once more while the same request is run under
// another ID of the endpoint, as after a restart that the registry does not show yet.
func TestRepeatedRefusalOfTheSameRequest(t *testing.T) {
	b := newTestbed(t)
	var refused atomic.Int32
	var ready atomic.Bool
	e := &refusingEngine{
		ids: []string{"raw-old", "raw-new"}, status: http.StatusMisdirectedRequest, namesRequest: true,
		refuses: func(r *http.Request) bool {
			refuse := ready.Load() && r.Header.Get("Kumquatsill-Expected-Instance") == "raw-old"
			if refuse {
				refused.Add(1)
			}
			return refuse
		},
	}
	b.replacePlainEngines(e)
	b.configure(nil)
	r := b.startReady("r1")
	ready.Store(true)
	eventually(t, "a request was misdirected", func() bool {
		checkOrders(t, r, 1, e)
		return refused.Load() > 0
	})
}
