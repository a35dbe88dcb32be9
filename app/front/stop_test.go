package front_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/app/front"
	"github.com/kumquatsill/kumquatsill/standin/hosting"
)

// Guards against closing the connection of a request without any answer when a router
// stops while it awaits a silent endpoint: no part of an answer was sent, so that it can
// say that the request failed.
func TestStoppingRouterAnswersRequestsThatItGivesUp(t *testing.T) {
	b := silentTestbed(t)
	for _, e := range b.engines[2:] {
		e.SetFailure(func(int) hosting.Failure { return hosting.Hang })
	}
	r := b.awaitEndpoints(b.start("r1"))
	time.AfterFunc(100*time.Millisecond, func() { _ = r.Drain() })
	if status, _ := r.callPatiently("/look/1"); status == 0 {
		t.Error("no answer")
	}
}

// stopBed is a testbed with a router that stops. Its endpoints never answer requests whose
// path ends with "/endless".
type stopBed struct {
	*testbed
	router *router
	grace  time.Duration
	// stopAt is when the stop begins.
	stopAt time.Time
	mu     sync.Mutex
	// arrived holds the IDs of the requests that have reached an endpoint.
	arrived map[string]bool
}

// stopDelay is the time in which the callers of a stopBed prepare for the stop.
const stopDelay = 500 * time.Millisecond

func newStopBed(t *testing.T, grace time.Duration) *stopBed {
	s := &stopBed{testbed: newTestbed(t), grace: grace, arrived: map[string]bool{}}
	for i, e := range s.engines {
		s.addrs[i] = s.listen(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			s.mu.Lock()
			s.arrived[r.Header.Get("Kumquatsill-Attempt-Id")] = true
			s.mu.Unlock()
			if !strings.HasSuffix(r.URL.Path, "/endless") {
				e.ServeHTTP(w, r)
				return
			}
			_, _ = io.Copy(io.Discard, r.Body) // so that the end of the connection is noticed
			<-r.Context().Done()
		}))
		s.register(i, "ready")
	}
	s.configure(func(cfg map[string]any) {
		unlimited(cfg)
		for _, route := range cfg["routes"].([]any) {
			route.(map[string]any)["timeoutMs"] = 60_000
		}
	})
	s.router = s.startWith("r1", func(c *front.Config) { c.Settings.GracePeriod = grace }).awaitReady(s.testbed)
	s.awaitEndpoints(s.router)
	s.stopAt = time.Now().Add(stopDelay)
	return s
}

// drain stops the router at stopAt and expects that it has stopped before the grace period
// ends.
func (s *stopBed) drain(t *testing.T) {
	time.Sleep(time.Until(s.stopAt))
	if err := s.router.Drain(); err != nil {
		t.Error(err)
	}
	if took := time.Since(s.stopAt); took >= s.grace {
		t.Errorf("stopped after %v of %v", took, s.grace)
	}
}

// stopCall is one request of a caller of a stopBed.
type stopCall struct {
	path string
	// used makes the connection carry a request before the stop.
	used bool
	// at is when the request is sent, as a share of the grace period after the stop began;
	// bodyAt, unless it is 0, when the second half of its body is.
	at, bodyAt float64
	// remaining is the time that the caller waits; 0 means for longer than the router
	// runs.
	remaining time.Duration
}

func (c stopCall) String() string {
	return fmt.Sprintf("%s used=%t at=%.2f body=%.2f remaining=%v", c.path, c.used, c.at, c.bodyAt, c.remaining)
}

// stopAnswer is what a stopCall got.
type stopAnswer struct {
	// status is 0 if the connection ended without a complete answer.
	status int
	close  bool
	// ran is set if the request reached an endpoint.
	ran bool
	// at is the time of the end as a share of the grace period.
	at float64
}

// call makes a call on a connection that is opened before the stop.
func (s *stopBed) call(t *testing.T, c stopCall) stopAnswer {
	if !c.used {
		time.Sleep(time.Until(s.stopAt.Add(-stopDelay / 2)))
	}
	conn, err := net.Dial("tcp4", s.router.callerAddr)
	if err != nil {
		t.Error(err)
		return stopAnswer{}
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	if c.used {
		s.send(conn, "/look/1", c.String()+" before", 0, 0)
		if status, closes := readAnswer(reader); status != http.StatusOK || closes {
			t.Errorf("%v: status %d, close %t before the stop", c, status, closes)
		}
	}
	time.Sleep(time.Until(s.moment(c.at)))
	pause := time.Duration(0)
	if c.bodyAt > 0 {
		pause = time.Until(s.moment(c.bodyAt))
	}
	s.send(conn, c.path, c.String(), c.remaining, pause)
	answer := stopAnswer{}
	answer.status, answer.close = readAnswer(reader)
	answer.at = float64(time.Since(s.stopAt)) / float64(s.grace)
	s.mu.Lock()
	defer s.mu.Unlock()
	answer.ran = s.arrived[c.String()]
	return answer
}

func (s *stopBed) moment(at float64) time.Time {
	return s.stopAt.Add(time.Duration(at * float64(s.grace)))
}

// send writes a request and, after a pause, the second half of its body. A write that fails
// shows as a missing answer.
func (s *stopBed) send(conn net.Conn, path, id string, remaining, pause time.Duration) {
	if remaining == 0 {
		remaining = time.Minute
	}
	_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h.example\r\nAuthorization: Token secret\r\nKumquatsill-Attempt-Id: %s\r\n"+
		"Kumquatsill-Deadline-Remaining: %d\r\nKumquatsill-Model: m\r\nKumquatsill-Token-Counts: 20,10\r\n"+
		"Kumquatsill-Prompt-Prefix: aa:10,bb:5\r\nContent-Length: 10\r\n\r\nfirst", path, id, remaining.Milliseconds())
	rest := func() { _, _ = io.WriteString(conn, "other") }
	if pause <= 0 {
		rest()
		return
	}
	time.AfterFunc(pause, rest)
}

// readAnswer returns the status of a complete answer, or 0, and whether its connection is
// to be closed.
func readAnswer(reader *bufio.Reader) (status int, closes bool) {
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, false
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, resp.Close
	}
	return resp.StatusCode, resp.Close
}

// maxUnused is the time after which a connection is closed on which no request has come, in
// calm, too.
const maxUnused = 5 * time.Second

// forStops calls check for the answer to each call, at stops with different grace periods.
func forStops(t *testing.T, calls []stopCall, check func(t *testing.T, c stopCall, got stopAnswer)) {
	for _, grace := range []time.Duration{2 * time.Second, 4 * time.Second, 8 * time.Second} {
		t.Run(grace.String(), func(t *testing.T) {
			s := newStopBed(t, grace)
			var wg sync.WaitGroup
			for _, c := range calls {
				if c.used || time.Until(s.moment(c.at)) < maxUnused {
					wg.Go(func() { check(t, c, s.call(t, c)) })
				}
			}
			s.drain(t)
			wg.Wait()
		})
	}
}

var stopPaths = []string{"/order/", "/look/", "/chat/", "/sheet/"}

// Guards against requests that a stopping router closes unread, or takes and cuts though it
// could have refused them: callers do not know whether they ran. Their endpoints never
// answer; they come on connections that were never used, or that were in use, or with a
// body that arrives slowly.
func TestStoppingRouterRefusesWhatItCannotEnd(t *testing.T) {
	var calls []stopCall
	for _, path := range stopPaths {
		for _, used := range []bool{false, true} {
			c := stopCall{path: path + "endless", used: used, at: 0.55}
			calls = append(calls, c)
			c.at = 0.75
			calls = append(calls, c)
			c.at, c.bodyAt = -0.1, 0.7
			calls = append(calls, c)
		}
	}
	// It may not run again, and nothing is known of how long its route's requests take.
	unknown := stopCall{path: "/chat/endless", at: 0.1}
	calls = append(calls, unknown)
	unknown.used = true
	calls = append(calls, unknown)
	forStops(t, calls, func(t *testing.T, c stopCall, got stopAnswer) {
		if got.status != http.StatusServiceUnavailable || !got.close || got.ran {
			t.Errorf("%v: %+v, want a refusal that closes the connection", c, got)
		}
	})
}

// Guards against refusing requests that end before the router does, and against further use
// of their connections.
func TestStoppingRouterTakesWhatCanEnd(t *testing.T) {
	const short = 400 * time.Millisecond
	var calls []stopCall
	for _, path := range stopPaths {
		calls = append(calls, stopCall{path: path + "1", at: 0.5, remaining: short}, stopCall{path: path + "1", used: true, at: 0.55, remaining: short})
	}
	for _, path := range []string{"/look/1", "/sheet/1"} { // may run again
		calls = append(calls, stopCall{path: path, at: 0.1}, stopCall{path: path, used: true, at: 0.1, bodyAt: 0.2})
	}
	forStops(t, calls, func(t *testing.T, c stopCall, got stopAnswer) {
		if got.status != http.StatusOK || !got.close {
			t.Errorf("%v: %+v, want status 200 that closes the connection", c, got)
		}
	})
}

// Guards against cutting the work of endpoints before the last sixth of the grace period.
func TestStopCutsOnlyInTheLastSixth(t *testing.T) {
	const lastSixth = 5.0 / 6
	var calls []stopCall
	for _, path := range stopPaths {
		calls = append(calls, stopCall{path: path + "endless", at: -0.1})
	}
	calls = append(calls, stopCall{path: "/look/endless", at: 0.1}, stopCall{path: "/sheet/endless", at: 0.1})
	forStops(t, calls, func(t *testing.T, c stopCall, got stopAnswer) {
		if got.status != http.StatusGatewayTimeout || got.at < lastSixth || got.at >= 1 {
			t.Errorf("%v: %+v, want status 504 in the last sixth", c, got)
		}
	})
}

// Guards against a stop that lasts for the whole grace period though no caller is connected.
func TestStopWithoutCallersIsShort(t *testing.T) {
	const limit = 5 * time.Second
	b := newTestbed(t)
	b.configure(nil)
	r := b.awaitEndpoints(b.startWith("r1", func(c *front.Config) { c.Settings.GracePeriod = time.Minute }))
	began := time.Now()
	if err := r.Drain(); err != nil {
		t.Error(err)
	}
	if took := time.Since(began); took > limit {
		t.Errorf("stopped after %v", took)
	}
}

// Guards against refusing requests that may not run again in the first part of a stop, though
// others of their route end far sooner than the router, and against taking them if these last
// for too long.
func TestStoppingRouterTakesWhatLatelyEndedInTime(t *testing.T) {
	const grace = 4 * time.Second
	for name, c := range map[string]struct {
		delay time.Duration
		want  int
	}{
		"short": {0, http.StatusOK},
		"long":  {grace, http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			s := newStopBed(t, grace)
			for _, e := range s.engines {
				e.ResponseDelay = c.delay
			}
			if status, _ := s.router.callPatiently("/order/1"); status != http.StatusOK {
				t.Fatalf("status %d before the stop", status)
			}
			s.stopAt = time.Now().Add(stopDelay)
			var wg sync.WaitGroup
			wg.Go(func() {
				if got := s.call(t, stopCall{path: "/order/2", at: 0.2}); got.status != c.want || got.ran != (c.want == http.StatusOK) {
					t.Errorf("%+v, want status %d", got, c.want)
				}
			})
			s.drain(t)
			wg.Wait()
		})
	}
}
