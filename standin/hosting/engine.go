package hosting

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Engine simulates a model engine or a plain service. It is safe for concurrent
// use.
type Engine struct {
	ID      string
	Service string
	// Model is empty for a plain service.
	Model string
	// Events is the number of events in a stream, EventInterval the time between
	// two of them.
	Events        int
	EventInterval time.Duration
	// ResponseDelay is how long a plain service takes to respond.
	ResponseDelay time.Duration
	// RejectsLoads makes the engine respond to each order as if it were busy.
	RejectsLoads bool
	// CrashDowntime is how long the engine refuses requests after a crash. It is longer than
	// routers take to read the registration of the next incarnation.
	CrashDowntime time.Duration
	// KeepsLeaving makes new incarnations say, as the one before did, that they leave.
	KeepsLeaving bool
	// OnRestart, if set, is called when a new incarnation of the engine has begun.
	OnRestart func()

	mu               sync.Mutex
	startedAt        int64
	version          int64
	targetVersion    int64
	acceptedOrders   int64
	lastFencingToken int64
	orders           []Order
	heartbeats       int64
	loadDoneAt       time.Time
	downUntil        time.Time
	runs             []Run
	failureForRun    func(run int) Failure
	crashingPart     string
	namedLimit       string
	namedLoad        string
	leaving          bool
	// retryAfter returns the Retry-After time with which the engine refuses a request,
	// or "" if it takes the request.
	retryAfter func() string
	arrivals   []Arrival
	running    int
}

// Arrival is one request or control call that has reached an engine.
type Arrival struct {
	// AttemptID is empty for control calls.
	AttemptID string
	Path      string
	At        time.Time
	// StartedAt tells the engine's incarnations apart.
	StartedAt int64
	// RetryAfter is the time with which the engine refused the request, or "".
	RetryAfter string
}

// Failure is the way in which an engine fails a run.
type Failure uint8

// Failures of a run.
const (
	NoFailure Failure = iota
	// ConnectionReset resets the connection after two events, or without a
	// response.
	ConnectionReset
	// Shed refuses the request without running it.
	Shed
	// Hang never responds.
	Hang
	// ServerError responds with status 500.
	ServerError
	// EarlyReset runs the request and resets the connection without a response.
	EarlyReset
	// Trickle sends two events of a stream, and then a byte now and then that is
	// never a whole event.
	Trickle
	// UnframedEnd sends the head of a stream without length and chunks, and closes the
	// connection.
	UnframedEnd
	// ClientError responds with status 400.
	ClientError
	// SilentCrash sends one event of a stream, falls silent, and resets the connection
	// silentCrashTime later.
	SilentCrash
)

// NumFailures is the number of kinds of Failure that end by themselves or with the
// caller's timeout: those after NoFailure and before Trickle.
const NumFailures = 5

// Run is one request that an engine has started to process.
type Run struct {
	AttemptID string
	Account   string
	Key       string
	Salt      string
	Version   int64
	Target    string
	LastEvent string
	// Parts is the request's list of prompt parts.
	Parts string
	// At is when the run began.
	At time.Time
	// Finished is set once the complete response has been written.
	Finished bool
}

// NewEngine returns an engine with model version 1 that serves every request.
func NewEngine(id, service, model string) *Engine {
	return &Engine{
		ID: id, Service: service, Model: model, Events: 5, EventInterval: 2 * time.Millisecond, CrashDowntime: defaultCrashDowntime,
		startedAt: time.Now().UnixMilli(), version: 1, targetVersion: 1, failureForRun: func(int) Failure { return NoFailure },
		retryAfter: func() string { return "" },
	}
}

// SetFailure sets the function that returns the failure of a run by its number.
func (e *Engine) SetFailure(f func(run int) Failure) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failureForRun = f
}

const defaultCrashDowntime = 1500 * time.Millisecond

// NameLoad makes the engine report its running and waiting requests and its slots in its
// answers, separated by commas. An empty one is not reported.
func (e *Engine) NameLoad(load string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.namedLoad = load
}

// NameLimit makes the engine name a number of requests per second in its answers. An
// empty string ends that.
func (e *Engine) NameLimit(limit string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.namedLimit = limit
}

// RefuseWithRetryAfter makes the engine refuse requests and control calls with status
// 503. The function returns the Retry-After time, or "" to take the request.
func (e *Engine) RefuseWithRetryAfter(f func() string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.retryAfter = f
}

// RefusePeriodically makes the engine refuse requests for the first part of each period.
func (e *Engine) RefusePeriodically(period, part time.Duration, retryAfter string) {
	began := time.Now()
	e.RefuseWithRetryAfter(func() string {
		if time.Since(began)%period < part {
			return retryAfter
		}
		return ""
	})
}

// Arrivals returns the requests and control calls so far.
func (e *Engine) Arrivals() []Arrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.arrivals)
}

// arrive records a request and returns the Retry-After time of its refusal, or "".
func (e *Engine) arrive(r *http.Request) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	a := Arrival{AttemptID: r.Header.Get("Kumquatsill-Attempt-Id"), Path: r.URL.Path, At: time.Now(), StartedAt: e.startedAt}
	if !e.isDown() {
		a.RetryAfter = e.retryAfter()
	}
	e.arrivals = append(e.arrivals, a)
	return a.RetryAfter
}

// SignatureOf returns the signature of the answers of an engine.
func SignatureOf(id string) string { return "sig." + id }

// setResponseHeader sets what all answers of the engine itself have in common.
func (e *Engine) setResponseHeader(h http.Header) {
	e.mu.Lock()
	defer e.mu.Unlock()
	h.Set("Kumquatsill-Response-Signature", SignatureOf(e.ID))
	if e.namedLoad != "" {
		h.Set("Kumquatsill-Server-Load", e.namedLoad)
	}
	if e.namedLimit != "" {
		h.Set("Kumquatsill-Server-Limit", e.namedLimit)
	}
}

// Runs returns the runs so far.
func (e *Engine) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Run(nil), e.runs...)
}

// Version returns the model version that the engine has loaded.
func (e *Engine) Version() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.completeDueLoad()
	return e.version
}

// completeDueLoad completes a load whose time is over. mu must be held.
func (e *Engine) completeDueLoad() {
	if e.targetVersion > e.version && time.Now().After(e.loadDoneAt) {
		e.version = e.targetVersion
	}
}

// Registration returns the engine's registration with the given address, zone
// and state.
func (e *Engine) Registration(addr, zone, state string) map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.completeDueLoad()
	e.heartbeats++
	entry := map[string]any{
		"service": e.Service, "address": addr, "zone": zone, "version": "v1", "slots": 8, "state": state,
		"coldRemainingMs": 0, "sequence": e.heartbeats, "born": e.startedAt,
	}
	if e.Model != "" {
		entry["models"] = []map[string]any{{"name": e.Model, "version": e.version, "adapters": []string{}}}
	}
	return entry
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if e.isLeaving() {
		w.Header().Set("Server-Leaving", "1")
	}
	if retryAfter := e.arrive(r); retryAfter != "" {
		w.Header().Set("Retry-After", retryAfter)
		e.refuse(w, r, http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case "/kumquatsill/report":
		e.serveReport(w)
	case "/kumquatsill/order":
		e.serveOrder(w, r)
	case "/kumquatsill/kv-events":
		writeJSON(w, http.StatusOK, map[string]any{"epoch": 1, "nextPageToken": 0, "lost": false, "events": []any{}})
	default:
		e.serveRun(w, r)
	}
}

func (e *Engine) serveReport(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.completeDueLoad()
	writeJSON(w, http.StatusOK, map[string]any{
		"models": []map[string]any{{"name": e.Model, "version": e.version}}, "busy": e.targetVersion > e.version, "sequence": e.acceptedOrders,
	})
}

// loadTime is how long the engine takes to load weights.
const loadTime = 100 * time.Millisecond

// Order is an order that reached an engine, whether it was accepted or not.
type Order struct {
	Holder       string
	FencingToken int64
}

// Orders returns the orders that have reached the engine, in that order.
func (e *Engine) Orders() []Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders)
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Version          int64  `json:"version"`
		Holder           string `json:"holder"`
		FencingToken     int64  `json:"fencingToken"`
		ExpectedRevision int64  `json:"expectedRevision"`
	}
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil || order.Holder == "" || order.FencingToken <= 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.completeDueLoad()
	e.orders = append(e.orders, Order{Holder: order.Holder, FencingToken: order.FencingToken})
	switch {
	case order.FencingToken < e.lastFencingToken:
		w.WriteHeader(http.StatusPreconditionFailed)
	case e.RejectsLoads, e.targetVersion > e.version, order.ExpectedRevision != e.acceptedOrders:
		w.WriteHeader(http.StatusConflict)
	case order.Version <= e.version:
		w.WriteHeader(http.StatusOK)
	default:
		e.lastFencingToken = order.FencingToken
		e.acceptedOrders++
		e.targetVersion, e.loadDoneAt = order.Version, time.Now().Add(loadTime)
		w.WriteHeader(http.StatusAccepted)
	}
}

func (e *Engine) serveRun(w http.ResponseWriter, r *http.Request) {
	n, status := e.admit(r)
	if status != 0 {
		e.refuse(w, r, status)
		return
	}
	w.Header().Set("Kumquatsill-Attempt-Id", r.Header.Get("Kumquatsill-Attempt-Id"))
	defer e.end()
	// net/http detects that a client has disconnected only after the body was
	// read.
	_, _ = io.Copy(io.Discard, r.Body)
	failure := e.failureOf(n)
	switch failure {
	case Hang:
		<-r.Context().Done()
		return
	case EarlyReset:
		resetConnection(w)
		return
	case ServerError, ClientError:
		e.setResponseHeader(w.Header())
		w.WriteHeader(map[Failure]int{ServerError: http.StatusInternalServerError, ClientError: http.StatusBadRequest}[failure])
		return
	}
	if e.Model == "" {
		e.respond(w, r, n, failure)
		return
	}
	e.stream(w, r, n, failure)
}

// refuse answers that the engine does not run a request.
func (e *Engine) refuse(w http.ResponseWriter, r *http.Request, status int) {
	if id := r.Header.Get("Kumquatsill-Attempt-Id"); id != "" {
		w.Header().Set("Kumquatsill-Attempt-Id", id)
	}
	w.Header().Set("Kumquatsill-Not-Executed", "1")
	w.Header().Set("Kumquatsill-Instance", e.ID)
	w.WriteHeader(status)
}

// admit starts a run and returns its number, or refuses the request and returns
// the status of the refusal.
func (e *Engine) admit(r *http.Request) (n, status int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.completeDueLoad()
	expected := r.Header.Get("Kumquatsill-Expected-Version")
	switch {
	case r.Header.Get("Kumquatsill-Expected-Instance") != e.ID,
		expected != "" && expected != strconv.FormatInt(e.version, 10):
		return 0, http.StatusMisdirectedRequest
	case e.isDown(), e.targetVersion > e.version, e.failureForRun(len(e.runs)) == Shed:
		return 0, http.StatusServiceUnavailable
	}
	e.runs = append(e.runs, Run{
		AttemptID: r.Header.Get("Kumquatsill-Attempt-Id"), Account: r.Header.Get("Kumquatsill-Tenant"), Key: r.Header.Get("Authorization"),
		Salt: r.Header.Get("Kumquatsill-Cache-Salt"), Version: e.version, Target: r.RequestURI, LastEvent: r.Header.Get("Last-Event-Id"),
		Parts: r.Header.Get("Kumquatsill-Prompt-Prefix"), At: time.Now(),
	})
	e.running++
	return len(e.runs) - 1, 0
}

func (e *Engine) failureOf(n int) Failure {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.failureForRun(n)
}

func (e *Engine) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}

// Running returns the number of runs in progress.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}

func (e *Engine) setFinished(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs[n].Finished = true
}

func (e *Engine) respond(w http.ResponseWriter, r *http.Request, n int, f Failure) {
	if f == ConnectionReset {
		resetConnection(w)
		return
	}
	select {
	case <-r.Context().Done():
		return
	case <-time.After(e.ResponseDelay):
	}
	e.setResponseHeader(w.Header())
	_, _ = fmt.Fprintf(w, "answer to %s", r.Header.Get("Kumquatsill-Attempt-Id"))
	e.setFinished(n)
}

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, n int, f Failure) {
	if f == UnframedEnd {
		e.endUnframed(w, r)
		return
	}
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // absent means from the start
	w.Header().Set("Content-Type", "text/event-stream")
	e.setResponseHeader(w.Header())
	control := http.NewResponseController(w)
	if e.crashes(r) {
		_ = control.Flush() // the connection ends in any case
		resetConnection(w)
		return
	}
	for i := after + 1; i <= e.Events; i++ {
		if f == Trickle && i == after+3 {
			trickle(w, r)
			return
		}
		if f == ConnectionReset && i == after+3 {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: cut", i)
			_ = control.Flush()
			resetConnection(w)
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", i, i); err != nil || control.Flush() != nil {
			return
		}
		if f == SilentCrash {
			e.crashSilently()
			resetConnection(w)
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(e.EventInterval):
		}
	}
	e.setFinished(n)
}

// endUnframed sends the head of a response that ends with its connection, and ends it.
func (e *Engine) endUnframed(w http.ResponseWriter, r *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nKumquatsill-Response-Signature: sig.%s\r\nKumquatsill-Attempt-Id: %s\r\n\r\n",
		e.ID, r.Header.Get("Kumquatsill-Attempt-Id")) // the connection ends in any case
	_ = conn.Close()
}
