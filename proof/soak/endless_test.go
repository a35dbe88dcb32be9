package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/standin/hosting"
)

const (
	// memoryMb is the memory limit in the router's settings.
	memoryMb = 112
	// openRequests is the number of requests of callers that are open at the same time.
	// Each takes two of some 4,000 descriptors.
	openRequests = 1900
	// faultyEngines is the number of faulty engines that share them.
	faultyEngines = 24
	// endlessTime is how long faulty engines send, unless their connections end earlier.
	endlessTime = 8 * time.Second
	// sendInterval is the time between two writes of a faulty engine, so that all answers
	// grow together.
	sendInterval = 50 * time.Millisecond
	// soundClients is the number of callers of sound endpoints.
	soundClients = 4
)

// endlessAnswer is what a faulty engine sends: a beginning, and a piece again and again.
// Both may hold the ID of the attempt.
type endlessAnswer struct {
	name, path, begin, piece string
}

const answerHead = "HTTP/1.1 200 OK\r\nKumquatsill-Attempt-Id: ID\r\nKumquatsill-Response-Signature: sig\r\n"

var endlessAnswers = []endlessAnswer{
	{"head", "/faulty-look/x", "HTTP/1.1 200 OK\r\n", strings.Repeat("X-Name: value\r\n", 256)},
	{"line of a head", "/faulty-look/x", "HTTP/1.1 200 OK\r\nX-Name: ", strings.Repeat("x", 4<<10)},
	{"body", "/faulty-look/x", answerHead + "\r\n", strings.Repeat("x", 4<<10)},
	{"stream", "/faulty-sheet/x", answerHead + "Content-Type: text/event-stream\r\n\r\ndata: ", strings.Repeat("x", 16<<10)},
	endlessControl,
}

// endlessControl is what control calls get, beside each of the others.
var endlessControl = endlessAnswer{"control call", "", "HTTP/1.1 200 OK\r\n\r\n", strings.Repeat("x", 64<<10)}

// faultyEngine answers the requests of callers and control calls without end once release
// is closed.
type faultyEngine struct {
	answer endlessAnswer
	// arrived and controlCalls count the requests of callers and the control calls.
	arrived, controlCalls *atomic.Int64
	release               chan struct{}
}

func (e *faultyEngine) serve(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go e.serveConnection(c)
	}
}

func (e *faultyEngine) serveConnection(c net.Conn) {
	defer func() { _ = c.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	id, answer, count := r.Header.Get("Kumquatsill-Attempt-Id"), endlessControl, e.controlCalls
	if id != "" {
		answer, count = e.answer, e.arrived
	}
	count.Add(1)
	<-e.release
	_, err = io.WriteString(c, strings.ReplaceAll(answer.begin, "ID", id))
	for end := time.Now().Add(endlessTime); err == nil && time.Now().Before(end); time.Sleep(sendInterval) {
		_, err = io.WriteString(c, answer.piece)
	}
}

// endlessRun is a router whose faulty engines answer without end.
type endlessRun struct {
	*testing.T
	fleet                 *Fleet
	router                *process
	arrived, controlCalls atomic.Int64
	release               chan struct{}
	wait                  sync.WaitGroup

	mu sync.Mutex
	// faulty counts the answers to requests that faulty engines got, sound those of the
	// others, by status; 0 is an answer without an end.
	faulty, sound map[int]int
}

// Guards against a router that runs out of memory because faulty engines send bytes without
// end in all requests that it has open, so that sound requests end with it.
func TestEndlessAnswersFitIntoMemory(t *testing.T) {
	binary, err := Build(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	for _, answer := range endlessAnswers {
		t.Run(answer.name, func(t *testing.T) { testEndlessAnswer(t, binary, answer) })
	}
}

func testEndlessAnswer(t *testing.T, binary string, answer endlessAnswer) {
	f, err := NewFleet(binary, t.TempDir(), Size{Routers: 1, Engines: 2, Plain: 2, MemoryMb: memoryMb})
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	x := &endlessRun{T: t, fleet: f, router: f.routers[0], release: make(chan struct{}), faulty: map[int]int{}, sound: map[int]int{}}
	x.configure()
	if !f.waitServing(20 * time.Second) {
		t.Fatal("the router does not serve")
	}
	stop := x.startFaultyEngines(answer)
	defer stop()
	x.awaitEndpoints()
	idle := x.memory()
	ended := make(chan struct{})
	x.callSound(ended)
	if answer.path != "" {
		x.callFaulty(answer.path)
	}
	waiting := x.memory()
	close(x.release)
	peak := x.watchPeak()
	close(ended)
	x.wait.Wait()
	x.Logf("%d endless answers, %d control calls; peak %d MB idle, %d MB with all of them awaited, %d MB in all; statuses of faulty engines %v, of sound ones %v",
		x.arrived.Load(), x.controlCalls.Load(), idle, waiting, peak, x.faulty, x.sound)
	if peak > memoryMb {
		t.Errorf("peak memory %d MB, the limit is %d MB", peak, memoryMb)
	}
	if len(f.unexpectedExits) > 0 {
		t.Errorf("the process ended: %v", f.unexpectedExits)
	}
	x.checkStatuses()
}

// configure publishes a configuration with routes to the faulty engines.
func (x *endlessRun) configure() {
	route := func(name, kind, service string) map[string]any {
		return map[string]any{"name": name, "host": host, "pathPrefix": "/" + name + "/", "kind": kind, "timeoutMs": 20_000, "targetLatencyMs": 60_000,
			"gapTargetMs": 60_000, "service": service, "attempts": 1, "stickySessions": kind == "streaming"}
	}
	engine := map[string]any{"slots": 8, "cacheTokens": 90000, "models": []any{map[string]any{"name": "m"}}}
	x.fleet.store.PutKey("keyed.op", "config", map[string]any{
		"version": 2,
		"routes": []any{route("order", "unsafe", "plain"), route("look", "safe", "plain"), route("sheet", "streaming", "llm"), route("chat", "streaming", "llm"),
			route("faulty-look", "safe", "faulty"), route("faulty-sheet", "streaming", "faulty")},
		"services": []any{map[string]any{"name": "llm", "engine": engine}, map[string]any{"name": "faulty", "engine": engine}, map[string]any{"name": "plain"}},
		"limits":   map[string]any{"bodyBytes": 100_000},
		"tenants":  []any{map[string]any{"name": "t1", "accessKeys": []string{"key0"}, "ratePerS": 0}},
	})
}

// awaitEndpoints waits until the router knows all endpoints.
func (x *endlessRun) awaitEndpoints() {
	want := fmt.Sprintf("kumquatsill_endpoints %d\n", len(x.fleet.endpoints)+faultyEngines)
	for end := time.Now().Add(10 * time.Second); !strings.Contains(x.metrics(), want); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			x.Fatal("the router does not know all endpoints")
		}
	}
}

func (x *endlessRun) metrics() string {
	resp, err := http.Get("http://" + x.router.readinessAddr + "/metrics")
	if err != nil {
		x.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		x.Fatal(err)
	}
	return string(text)
}

// memory returns the peak memory of the router so far in MiB.
func (x *endlessRun) memory() int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", x.router.cmd.Process.Pid))
	if err != nil {
		x.Fatal(err)
	}
	kilobytes := 0
	if _, line, ok := strings.Cut(string(status), "VmHWM:"); ok {
		_, _ = fmt.Sscan(line, &kilobytes) // 0 if the process has ended
	}
	return kilobytes >> 10
}

// watchPeak waits until the faulty engines have ended and returns the peak memory of the
// router. It kills a router that takes far too much.
func (x *endlessRun) watchPeak() int {
	peak := 0
	for end := time.Now().Add(endlessTime + time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if peak = max(peak, x.memory()); peak > 4*memoryMb {
			x.Error("the router was killed for its memory")
			x.router.signal(syscall.SIGKILL)
			break
		}
	}
	return peak
}

// callFaulty sends the requests of callers to the faulty engines and waits until they have
// arrived there.
func (x *endlessRun) callFaulty(path string) {
	for i := range openRequests {
		x.wait.Add(1)
		go func() {
			defer x.wait.Done()
			x.count(x.faulty, x.call(path, fmt.Sprint("faulty-", i)))
		}()
	}
	for end := time.Now().Add(10 * time.Second); x.arrived.Load() < openRequests; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			x.Fatalf("%d of %d requests have reached the faulty engines", x.arrived.Load(), openRequests)
		}
	}
}

// callSound sends requests to sound engines until stop is closed.
func (x *endlessRun) callSound(stop chan struct{}) {
	for i := range soundClients {
		x.wait.Add(1)
		go func() {
			defer x.wait.Done()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(10 * time.Millisecond):
				}
				kind := requestKinds[n%len(requestKinds)]
				x.count(x.sound, x.call("/"+kind+"/x", fmt.Sprintf("sound-%d-%d", i, n)))
			}
		}()
	}
}

// call sends a request and returns the status, or 0 if the answer did not end. It needs no
// other goroutine: the race detector allows for some 8,000.
func (x *endlessRun) call(path, id string) int {
	c, err := net.Dial("tcp4", x.router.callerAddr)
	if err != nil {
		return 0
	}
	defer func() { _ = c.Close() }()
	req, err := http.NewRequest(http.MethodPost, "http://"+host+path, strings.NewReader("body of "+id))
	if err != nil {
		panic(err) // the address is constant
	}
	req.Header.Set("Kumquatsill-Attempt-Id", id)
	req.Header.Set("Authorization", "Token key0")
	req.Header.Set("Kumquatsill-Model", "m")
	req.Header.Set("Kumquatsill-Token-Counts", "20,10")
	req.Header.Set("Kumquatsill-Prompt-Prefix", "aa:10,"+id+":5")
	if err := req.Write(c); err != nil {
		return 0
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), req)
	if err != nil {
		return 0
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

func (x *endlessRun) count(counts map[int]int, status int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	counts[status]++
}

// checkStatuses checks that all sound requests were answered and that no caller was told
// that a request has not run though it may have.
func (x *endlessRun) checkStatuses() {
	if x.sound[http.StatusOK] == 0 {
		x.Error("no sound request was answered")
	}
	for status, n := range x.sound {
		if status != http.StatusOK {
			x.Errorf("%d sound requests got status %d", n, status)
		}
	}
	if n := x.faulty[http.StatusTooManyRequests] + x.faulty[http.StatusServiceUnavailable]; n > 0 {
		x.Errorf("%d requests that may have run were refused", n)
	}
}

// startFaultyEngines registers the faulty engines and returns a function that stops them.
func (x *endlessRun) startFaultyEngines(answer endlessAnswer) (stop func()) {
	stopped := make(chan struct{})
	entries := map[*hosting.Engine]string{}
	var listeners []net.Listener
	for i := range faultyEngines {
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			x.Fatal(err)
		}
		listeners = append(listeners, ln)
		entries[hosting.NewEngine(fmt.Sprint("faulty-", i), "faulty", "m")] = ln.Addr().String()
		go (&faultyEngine{answer: answer, arrived: &x.arrived, controlCalls: &x.controlCalls, release: x.release}).serve(ln)
	}
	go func() {
		for {
			for e, addr := range entries {
				x.fleet.store.PutKey("keyed.servers", e.ID, e.Registration(addr, zone, "ready"))
			}
			select {
			case <-stopped:
				return
			case <-time.After(heartbeatInterval):
			}
		}
	}()
	return func() {
		close(stopped)
		for _, ln := range listeners {
			_ = ln.Close()
		}
	}
}
