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

func mustMatch(t *testing.T, got, want []string) {
	t.Helper()
	if !slices.Equal(got, want) {
		t.Errorf("%d tokens %.200q, want %d tokens %.200q", len(got), got, len(want), want)
	}
}

// mustNotBreak checks that no stream broke, also none that was continued
// unseen by its caller. Work that an agent refused may have been retried.
func (f *fleet) mustNotBreak(r *process) {
	f.t.Helper()
	if state := f.get(r, "/debug/state"); !strings.Contains(state, `"gaps": 0`) || !strings.Contains(state, `"reattached": 0`) {
		f.t.Errorf("a stream was resumed: %s", state)
	}
	if pages := f.get(r, "/metrics"); !strings.Contains(pages, "connections_lost_total 0\n") {
		f.t.Error("a connection to an agent broke")
	}
}

// Guards against tokens that are lost, doubled or out of order between the
// engine and the caller.
func TestStreamIsExact(t *testing.T) {
	f := startFleet(t)
	for _, r := range f.routers {
		s, err := request(r.start["callers"], generation("assistant", "hello", 100), "", key, nil)
		if err != nil || !s.done {
			t.Fatalf("%v, %+v", err, s)
		}
		mustMatch(t, s.tokens, expected("hello", 100))
	}
}

// Guards against a stream that loses or doubles tokens when its router dies
// and the caller goes on at another one.
func TestResumeAfterRouterDeath(t *testing.T) {
	const tokens = 1000
	f := startFleet(t)
	body := generation("assistant", "resume", tokens)
	first, err := request(f.routers[0].start["callers"], body, "", key, func(n int) {
		if n == 50 {
			f.routers[0].signal(t, syscall.SIGKILL)
		}
	})
	if err == nil || first.done || len(first.tokens) < 50 {
		t.Fatalf("the stream was not cut: %v, %d tokens, done %v", err, len(first.tokens), first.done)
	}
	rest, err := request(f.routers[1].start["callers"], body, first.lastID, key, nil)
	if err != nil || !rest.done {
		t.Fatalf("%v, status %d, %s", err, rest.status, rest.body)
	}
	mustMatch(t, append(first.tokens, rest.tokens...), expected("resume", tokens))
}

// Guards against bad callers that get no clear error, or that take the router
// away from others.
func TestBadCallers(t *testing.T) {
	f := startFleet(t)
	r := f.routers[0]
	addr := r.start["callers"]

	half := dial(t, addr)
	write(t, half, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+key+"\r\nContent-Length: 1000\r\n\r\n{\"mod")
	slow := dial(t, addr)
	long := generation("fast", "slow", 200_000)
	write(t, slow, fmt.Sprintf("POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", key, len(long), long))
	stop := readSlowly(slow)
	defer stop()

	if s, err := request(addr, generation("assistant", "x", 5), "", "ks-unknown-key-0000", nil); err != nil || s.status != http.StatusUnauthorized || !strings.Contains(s.body, "unknown-key") {
		t.Errorf("unknown key: %v, %+v", err, s)
	}
	if s, err := request(addr, "{", "", key, nil); err != nil || s.status != http.StatusBadRequest || !strings.Contains(s.body, "not_run") {
		t.Errorf("bad JSON: %v, %+v", err, s)
	}
	if status := postHuge(t, addr); status != http.StatusRequestEntityTooLarge {
		t.Errorf("100 MB body: status %d", status)
	}
	for range 5 {
		s, err := request(addr, generation("assistant", "served", 20), "", key, nil)
		if err != nil || !s.done {
			t.Fatalf("another caller is not served: %v, %+v", err, s)
		}
		mustMatch(t, s.tokens, expected("served", 20))
	}
	answer, _ := io.ReadAll(half)
	if !strings.HasPrefix(string(answer), "HTTP/1.1 408 ") {
		t.Errorf("half-sent request: %.200q", answer)
	}
	f.await("the slow caller to be given up", func() bool {
		pages := f.get(r, "/metrics")
		return strings.Contains(pages, `callers_abandoned_total{reason="slow"}`) || strings.Contains(pages, `callers_abandoned_total{reason="write"}`)
	})
	f.await("the slow caller's request to end", func() bool {
		return strings.Contains(f.get(r, "/metrics"), "kumquatsill_requests_in_flight 0\n")
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
	_ = tcp.SetDeadline(time.Now().Add(hangGuard))
	return tcp
}

func write(t *testing.T, w io.Writer, text string) {
	t.Helper()
	if _, err := io.WriteString(w, text); err != nil {
		t.Fatal(err)
	}
}

// readSlowly reads one byte a second until it is stopped.
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

func postHuge(t *testing.T, addr string) int {
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

// load sends requests one after another over several connections until stopped.
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
				s, err := request(addr, generation("assistant", prompt, 60), "", key, nil)
				if err != nil || !s.done || !slices.Equal(s.tokens, expected(prompt, 60)) {
					t.Errorf("a request was cut: %v, status %d, %d tokens, %s", err, s.status, len(s.tokens), s.body)
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

// Guards against a shutdown that cuts requests, in flight or new, before the
// load balancer has seen that the router is not ready.
func TestRouterDrainsUnderLoad(t *testing.T) {
	f := startFleet(t)
	r := f.routers[0]
	l := startLoad(t, r.start["callers"])
	f.await("load", func() bool { return l.finished.Load() >= 20 })
	r.signal(t, syscall.SIGTERM)
	f.await("the router to be not ready", func() bool {
		res, err := http.Get("http://" + r.start["callers"] + "/readyz")
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
	f.mustHaveAudited(r.start["id"], l.finished.Load())
}

// Guards against an order that runs twice, or whose repeat at another router
// gets no answer.
func TestOrderRunsOnce(t *testing.T) {
	f := startFleet(t)
	var first string
	f.await("the first order", func() bool {
		status, body, _ := f.order(f.routers[0], "once")
		first = body
		return status == http.StatusCreated
	})
	f.await("the recorded answer at the other router", func() bool {
		status, body, replayed := f.order(f.routers[1], "once")
		return status == http.StatusCreated && replayed && body == first
	})
	runs := 0
	f.orders.Do(func(proto.Instant) { runs = f.book.Runs("once") })
	if runs != 1 {
		t.Errorf("the order ran %d times", runs)
	}
}

func (f *fleet) order(r *process, id string) (status int, body string, replayed bool) {
	req, err := http.NewRequest(http.MethodPost, "http://"+r.start["callers"]+"/orders", strings.NewReader(`{"order":"`+id+`"}`))
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

// Guards against routers that cannot reach each other: without their word that
// nobody reads the log, keyed requests would be refused a few seconds into an
// outage.
func TestLogOutage(t *testing.T) {
	f := startFleet(t)
	for _, r := range f.routers {
		f.await("beats at "+r.start["id"], func() bool {
			before := undeliverable(f.get(r, "/metrics"))
			time.Sleep(time.Second)
			return undeliverable(f.get(r, "/metrics")) == before
		})
	}
	f.hosts[0].Do(func(proto.Instant) { f.log.SetOutage(logsvc.Silent) })
	// Longer than a proof of freshness lasts without the word of a peer.
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); {
		for _, r := range f.routers {
			s, err := request(r.start["callers"], generation("assistant", "outage", 100), "", key, nil)
			if err != nil || !s.done {
				t.Fatalf("%v, status %d, %s", err, s.status, s.body)
			}
		}
	}
}

// undeliverable returns the line of the counter of messages without an address.
func undeliverable(pages string) string {
	_, rest, _ := strings.Cut(pages, "kumquatsill_transport_undeliverable_total ")
	count, _, _ := strings.Cut(rest, "\n")
	return count
}

// Guards against a shutdown that loses audit records.
func (f *fleet) mustHaveAudited(router string, want int64) {
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

// Guards against an agent's shutdown that cuts requests.
func TestAgentDrainsUnderLoad(t *testing.T) {
	f := startFleet(t)
	l := startLoad(t, f.routers[0].start["callers"])
	f.await("load", func() bool { return l.finished.Load() >= 20 })
	f.agents[0].signal(t, syscall.SIGTERM)
	if code := f.agents[0].waitExit(t); code != 0 {
		t.Errorf("exit code %d", code)
	}
	f.mustNotBreak(f.routers[0])
	before := l.finished.Load()
	f.await("load at the other agent", func() bool { return l.finished.Load() >= before+20 || t.Failed() })
	l.stop()
}

// Guards against a silent connection between agent and engine that counts as
// a crash, or that loses or doubles tokens.
func TestSilentEngineConnection(t *testing.T) {
	f := startFleet(t)
	s, err := request(f.routers[0].start["callers"], generation("assistant", "silent", 1000), "", key, func(n int) {
		if n == 50 {
			for _, host := range f.hosts {
				host.SilenceOpenStreams()
			}
		}
	})
	if err != nil || !s.done {
		t.Fatalf("%v, %d tokens, %s", err, len(s.tokens), s.body)
	}
	mustMatch(t, s.tokens, expected("silent", 1000))
	f.mustNotBreak(f.routers[0])
	for _, a := range f.agents {
		if state := f.get(a, "/debug/state"); !strings.Contains(state, `"Crashed": 0`) {
			t.Errorf("agent %s: %s", a.start["endpoint"], state)
		}
	}
	if !strings.Contains(f.get(f.agents[0], "/metrics")+f.get(f.agents[1], "/metrics"), "connections_silent_total 1\n") {
		t.Error("no agent met a silent connection")
	}
}
