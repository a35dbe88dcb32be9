// Package e2e_test runs both programs as processes on loopback.
package e2e_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/core/audit"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/standin/logsvc"
)

func checkTokens(t *testing.T, got, want []string) {
	t.Helper()
	if !slices.Equal(got, want) {
		t.Errorf("%d tokens %.200q, want %d tokens %.200q", len(got), got, len(want), want)
	}
}

// checkNoResume checks that no stream broke, including breaks from which the
// router recovered without the caller noticing. Attempts that an agent refused
// may have been retried.
func (f *fleet) checkNoResume(r *process) {
	f.t.Helper()
	if state := f.getInternal(r, "/debug/state"); !strings.Contains(state, `"gaps": 0`) || !strings.Contains(state, `"reattached": 0`) {
		f.t.Errorf("a stream was resumed: %s", state)
	}
	if pages := f.getInternal(r, "/metrics"); !strings.Contains(pages, "connections_lost_total 0\n") {
		f.t.Error("a connection to an agent was lost")
	}
}

// Guards against tokens that are lost, duplicated or reordered between the engine
// and the caller.
func TestStreamIsExact(t *testing.T) {
	f := startFleet(t)
	for _, r := range f.routers {
		s, err := streamCompletion(r.startLine["callers"], completionBody("assistant", "hello", 100), "", key, nil)
		if err != nil || !s.done {
			t.Fatalf("%v, %+v", err, s)
		}
		checkTokens(t, s.tokens, expectedTokens("hello", 100))
	}
}

// Guards against a stream that loses or duplicates tokens when its router is
// killed and the caller resumes it at another one.
func TestResumeAfterRouterDeath(t *testing.T) {
	const tokens = 1000
	f := startFleet(t)
	body := completionBody("assistant", "resume", tokens)
	first, err := streamCompletion(f.routers[0].startLine["callers"], body, "", key, func(n int) {
		if n == 50 {
			f.routers[0].signal(t, syscall.SIGKILL)
		}
	})
	if err == nil || first.done || len(first.tokens) < 50 {
		t.Fatalf("the stream was not cut: %v, %d tokens, done %v", err, len(first.tokens), first.done)
	}
	rest, err := streamCompletion(f.routers[1].startLine["callers"], body, first.lastID, key, nil)
	if err != nil || !rest.done {
		t.Fatalf("%v, status %d, %s", err, rest.status, rest.body)
	}
	checkTokens(t, append(first.tokens, rest.tokens...), expectedTokens("resume", tokens))
}

// Guards against misbehaving callers that get no clear error, or that keep the
// router from serving others.
func TestBadCallers(t *testing.T) {
	f := startFleet(t)
	r := f.routers[0]
	addr := r.startLine["callers"]

	half := dial(t, addr)
	write(t, half, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+key+"\r\nContent-Length: 1000\r\n\r\n{\"mod")
	slow := dial(t, addr)
	long := completionBody("fast", "slow", 200_000)
	write(t, slow, fmt.Sprintf("POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", key, len(long), long))
	stop := readSlowly(slow)
	defer stop()

	if s, err := streamCompletion(addr, completionBody("assistant", "x", 5), "", "ks-unknown-key-0000", nil); err != nil || s.status != http.StatusUnauthorized || !strings.Contains(s.body, "unknown-key") {
		t.Errorf("unknown key: %v, %+v", err, s)
	}
	if s, err := streamCompletion(addr, "{", "", key, nil); err != nil || s.status != http.StatusBadRequest || !strings.Contains(s.body, "not_run") {
		t.Errorf("bad JSON: %v, %+v", err, s)
	}
	if status := postOversizedBody(t, addr); status != http.StatusRequestEntityTooLarge {
		t.Errorf("100 MB body: status %d", status)
	}
	for range 5 {
		s, err := streamCompletion(addr, completionBody("assistant", "served", 20), "", key, nil)
		if err != nil || !s.done {
			t.Fatalf("a well-behaved caller is not served: %v, %+v", err, s)
		}
		checkTokens(t, s.tokens, expectedTokens("served", 20))
	}
	response, _ := io.ReadAll(half)
	if !strings.HasPrefix(string(response), "HTTP/1.1 408 ") {
		t.Errorf("half-sent request: %.200q", response)
	}
	f.waitFor("the router to abandon the slow caller", func() bool {
		pages := f.getInternal(r, "/metrics")
		return strings.Contains(pages, `callers_abandoned_total{reason="slow"}`) || strings.Contains(pages, `callers_abandoned_total{reason="write"}`)
	})
	f.waitFor("the slow caller's request to end", func() bool {
		return strings.Contains(f.getInternal(r, "/metrics"), "kumquatsill_requests_in_flight 0\n")
	})
}

func dial(t *testing.T, addr string) *net.TCPConn {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		t.Fatalf("%T is not a TCP connection", conn)
	}
	_ = tcp.SetDeadline(time.Now().Add(waitTimeout))
	return tcp
}

func write(t *testing.T, w io.Writer, text string) {
	t.Helper()
	if _, err := io.WriteString(w, text); err != nil {
		t.Fatal(err)
	}
}

// readSlowly reads one byte a second until stop is called.
func readSlowly(conn *net.TCPConn) (stop func()) {
	_ = conn.SetReadBuffer(4096)
	done := make(chan struct{})
	go func() {
		one := make([]byte, 1)
		for {
			select {
			case <-done:
				return
			case <-time.After(time.Second):
			}
			if _, err := conn.Read(one); err != nil {
				return
			}
		}
	}()
	return func() { close(done) }
}

// postOversizedBody announces and sends a body of 100 MB and returns the status.
func postOversizedBody(t *testing.T, addr string) int {
	t.Helper()
	conn := dial(t, addr)
	write(t, conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+key+"\r\nContent-Length: 100000000\r\n\r\n")
	// The router may close the connection while the body is still being sent.
	go func() { _, _ = io.CopyN(conn, zeros{}, 100_000_000) }()
	head := make([]byte, len("HTTP/1.1 413"))
	if _, err := io.ReadFull(conn, head); err != nil {
		t.Fatal(err)
	}
	var status int
	_, _ = fmt.Sscanf(string(head), "HTTP/1.1 %d", &status)
	return status
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// load keeps several requests in flight until it is stopped. It fails the test if
// a response is incomplete or has wrong tokens.
type load struct {
	t        *testing.T
	finished atomic.Int64
	stopped  atomic.Bool
	wg       sync.WaitGroup
}

func startLoad(t *testing.T, addr string) *load {
	l := &load{t: t}
	for i := range 8 {
		l.wg.Go(func() {
			prompt := fmt.Sprintf("load %d", i)
			for !l.stopped.Load() {
				s, err := streamCompletion(addr, completionBody("assistant", prompt, 60), "", key, nil)
				if err != nil || !s.done || !slices.Equal(s.tokens, expectedTokens(prompt, 60)) {
					t.Errorf("a request failed: %v, status %d, %d tokens, %s", err, s.status, len(s.tokens), s.body)
					return
				}
				l.finished.Add(1)
			}
		})
	}
	return l
}

func (l *load) stop() {
	l.stopped.Store(true)
	l.wg.Wait()
}

// Guards against a shutdown that cuts requests in flight, or that refuses new
// ones before the load balancer has seen that the router is not ready.
func TestRouterDrainsUnderLoad(t *testing.T) {
	f := startFleet(t)
	r := f.routers[0]
	l := startLoad(t, r.startLine["callers"])
	f.waitFor("load", func() bool { return l.finished.Load() >= 20 })
	r.signal(t, syscall.SIGTERM)
	f.waitFor("the router to report that it is not ready", func() bool {
		res, err := http.Get("http://" + r.startLine["callers"] + "/readyz")
		if err != nil {
			return true
		}
		_ = res.Body.Close()
		return res.StatusCode == http.StatusServiceUnavailable
	})
	l.stop()
	if code := r.waitExit(t); code != 0 {
		t.Errorf("exit code %d", code)
	}
	f.checkAuditRecords(r.startLine["id"], l.finished.Load())
}

// Guards against an order that runs twice, or whose repetition at another router
// does not get the recorded response.
func TestOrderRunsOnce(t *testing.T) {
	f := startFleet(t)
	var first string
	f.waitFor("the first order", func() bool {
		status, body, _ := f.placeOrder(f.routers[0], "once")
		first = body
		return status == http.StatusCreated
	})
	f.waitFor("the recorded response at the other router", func() bool {
		status, body, replayed := f.placeOrder(f.routers[1], "once")
		return status == http.StatusCreated && replayed && body == first
	})
	runs := 0
	f.orders.Do(func(proto.Instant) { runs = f.book.Runs("once") })
	if runs != 1 {
		t.Errorf("the order ran %d times", runs)
	}
}

func (f *fleet) placeOrder(r *process, id string) (status int, body string, replayed bool) {
	req, err := http.NewRequest(http.MethodPost, "http://"+r.startLine["callers"]+"/orders", strings.NewReader(`{"order":"`+id+`"}`))
	if err != nil {
		f.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Idempotency-Key", id)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		f.t.Fatal(err)
	}
	return res.StatusCode, string(text), res.Header.Get("Idempotency-Replayed") == "true"
}

// Guards against routers that cannot reach each other. During an outage of the log
// a router needs its peers' reports that they cannot read the log either; without
// them it refuses keyed requests after a few seconds.
func TestLogOutage(t *testing.T) {
	f := startFleet(t)
	for _, r := range f.routers {
		f.waitFor("heartbeats at "+r.startLine["id"], func() bool {
			before := undeliverableCount(f.getInternal(r, "/metrics"))
			time.Sleep(time.Second)
			return undeliverableCount(f.getInternal(r, "/metrics")) == before
		})
	}
	f.hosts[0].Do(func(proto.Instant) { f.log.SetOutage(logsvc.Silent) })
	// Longer than a router's state counts as fresh without its peer's report.
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); {
		for _, r := range f.routers {
			s, err := streamCompletion(r.startLine["callers"], completionBody("assistant", "outage", 100), "", key, nil)
			if err != nil || !s.done {
				t.Fatalf("%v, status %d, %s", err, s.status, s.body)
			}
		}
	}
}

// undeliverableCount returns the counter of messages whose receiver has no known
// address.
func undeliverableCount(pages string) string {
	_, rest, _ := strings.Cut(pages, "kumquatsill_transport_undeliverable_total ")
	count, _, _ := strings.Cut(rest, "\n")
	return count
}

// checkAuditRecords checks the number of audit records of a router. A shutdown
// must not lose any.
func (f *fleet) checkAuditRecords(router string, want int64) {
	f.t.Helper()
	var records []proto.Record
	f.hosts[0].Do(func(proto.Instant) { records = f.log.Records(proto.StreamAudit) })
	var got int64
	for _, r := range records {
		var batch audit.Batch
		if err := json.Unmarshal(r.Body, &batch); err != nil {
			f.t.Fatal(err)
		}
		if string(batch.Router) == router {
			got += int64(len(batch.Entries))
		}
	}
	if got != want {
		f.t.Errorf("%d audit records of %s, want %d", got, router, want)
	}
}

// Guards against an agent's shutdown that cuts requests in flight.
func TestAgentDrainsUnderLoad(t *testing.T) {
	f := startFleet(t)
	l := startLoad(t, f.routers[0].startLine["callers"])
	f.waitFor("load", func() bool { return l.finished.Load() >= 20 })
	f.agents[0].signal(t, syscall.SIGTERM)
	if code := f.agents[0].waitExit(t); code != 0 {
		t.Errorf("exit code %d", code)
	}
	f.checkNoResume(f.routers[0])
	before := l.finished.Load()
	f.waitFor("load at the other agent", func() bool { return l.finished.Load() >= before+20 || t.Failed() })
	l.stop()
}

// Guards against a connection between agent and engine that stays open but goes
// silent, and that counts as a crash or loses or duplicates tokens.
func TestSilentEngineConnection(t *testing.T) {
	f := startFleet(t)
	s, err := streamCompletion(f.routers[0].startLine["callers"], completionBody("assistant", "silent", 1000), "", key, func(n int) {
		if n == 50 {
			for _, host := range f.hosts {
				host.SilenceOpenStreams()
			}
		}
	})
	if err != nil || !s.done {
		t.Fatalf("%v, %d tokens, %s", err, len(s.tokens), s.body)
	}
	checkTokens(t, s.tokens, expectedTokens("silent", 1000))
	f.checkNoResume(f.routers[0])
	for _, a := range f.agents {
		if state := f.getInternal(a, "/debug/state"); !strings.Contains(state, `"Crashed": 0`) {
			t.Errorf("agent %s: %s", a.startLine["endpoint"], state)
		}
	}
	if !strings.Contains(f.getInternal(f.agents[0], "/metrics")+f.getInternal(f.agents[1], "/metrics"), "connections_silent_total 1\n") {
		t.Error("no agent detected a silent connection")
	}
}
