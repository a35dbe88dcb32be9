package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Run is one request that an engine has begun to work on.
type Run struct {
	ID, Tenant, Salt, Parts string
	Engine                  string
	BegunAt                 time.Time
	// Complete is set once the whole answer was written.
	Complete bool
}

// Engine is a stand-in for a model engine, or for a plain service if Model is empty. It
// behaves like a sound one, unless HarmfulPart is set.
type Engine struct {
	Service, Model, Zone string
	// Events is the number of events in a stream, Interval the time between two of them.
	Events   int
	Interval time.Duration
	// Work is how long a plain service works on a request.
	Work time.Duration
	// HarmfulPart names a prompt part with which a request crashes the engine that begins to
	// run it. The engine is back Downtime later, as a new lifetime.
	HarmfulPart string
	Downtime    time.Duration
	// Dark is set if the engine crashes with its machine, just after the first event of the
	// answer: its connections fall silent, and are reset when the machine is back. Otherwise
	// they are reset at once, before the answer begins.
	Dark bool
	// OnRun, if set, is called when a run begins.
	OnRun func(Run)

	store *Store
	addr  string
	mu    sync.Mutex
	id    string
	born  int64
	beats int
	life  int
	runs  []*Run
	down  bool
	// crashed is closed when this lifetime ends in a crash.
	crashed chan struct{}
	conns   map[net.Conn]bool
	server  *http.Server
	ln      net.Listener
	stop    chan struct{}
}

// Start makes the engine listen and register itself.
func (e *Engine) Start(store *Store) {
	e.store, e.stop = store, make(chan struct{})
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	check(err)
	e.addr = ln.Addr().String()
	e.begin(ln)
	go e.heartbeat()
}

// begin starts a lifetime of the engine on a listener.
func (e *Engine) begin(ln net.Listener) {
	e.mu.Lock()
	e.life++
	e.id = fmt.Sprintf("i-%s-%d", strings.ReplaceAll(e.addr, ":", "-"), e.life)
	e.born, e.beats, e.down = time.Now().UnixMilli(), 0, false
	crashed, conns := make(chan struct{}), map[net.Conn]bool{}
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { e.serve(w, r, crashed) }),
		ConnState: func(c net.Conn, state http.ConnState) {
			e.mu.Lock()
			defer e.mu.Unlock()
			if state == http.StateNew {
				conns[c] = true
			} else if state == http.StateClosed {
				delete(conns, c)
			}
		},
	}
	e.server, e.ln, e.crashed, e.conns = server, ln, crashed, conns
	e.mu.Unlock()
	e.register()
	go func() { _ = server.Serve(ln) }()
}

// register writes the engine's entry to the store.
func (e *Engine) register() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return
	}
	e.beats++
	entry := map[string]any{
		"service": e.Service, "address": e.addr, "zone": e.Zone, "version": "v1", "slots": 64, "state": "ready",
		"coldRemainingMs": 0, "sequence": e.beats, "born": e.born,
	}
	if e.Model != "" {
		entry["stage"], entry["models"] = "combined", []any{map[string]any{"name": e.Model, "version": 1, "adapters": []any{}}}
	}
	e.store.Put("keyed.servers", e.id, entry)
}

func (e *Engine) heartbeat() {
	for {
		select {
		case <-e.stop:
			return
		case <-time.After(heartbeatInterval):
			e.register()
		}
	}
}

// Close ends the engine.
func (e *Engine) Close() {
	close(e.stop)
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.server.Close()
}

// Runs returns the runs so far.
func (e *Engine) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	var runs []Run
	for _, r := range e.runs {
		runs = append(runs, *r)
	}
	return runs
}

func (e *Engine) identifier() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.id
}

// serve handles a request in a lifetime that ends when crashed is closed.
func (e *Engine) serve(w http.ResponseWriter, r *http.Request, crashed chan struct{}) {
	select {
	case <-crashed:
		select {} // the machine is dark
	default:
	}
	switch r.URL.Path {
	case "/health":
		w.Header().Set("Kumquatsill-Instance", e.identifier())
	case "/kumquatsill/report":
		writeJSON(w, http.StatusOK, map[string]any{"stage": "combined", "models": []any{map[string]any{"name": e.Model, "version": 1, "adapters": []any{}}},
			"busy": false, "sequence": 0, "waiting": 0, "running": 0, "cacheUsed": 0, "cacheTotal": 90000, "handles": 0})
	case "/kumquatsill/kv-events":
		time.Sleep(200 * time.Millisecond)
		writeJSON(w, http.StatusOK, map[string]any{"epoch": 1, "nextPageToken": 0, "lost": false, "events": []any{}})
	default:
		e.serveRequest(w, r, crashed)
	}
}

func (e *Engine) serveRequest(w http.ResponseWriter, r *http.Request, crashed chan struct{}) {
	id := r.Header.Get("Kumquatsill-Attempt-Id")
	w.Header().Set("Kumquatsill-Attempt-Id", id)
	instance := e.identifier()
	w.Header().Set("Kumquatsill-Instance", instance)
	if expected := r.Header.Get("Kumquatsill-Expected-Instance"); expected != "" && expected != instance {
		w.Header().Set("Kumquatsill-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	run := &Run{ID: id, Tenant: r.Header.Get("Kumquatsill-Tenant"), Salt: r.Header.Get("Kumquatsill-Cache-Salt"),
		Parts: r.Header.Get("Kumquatsill-Prompt-Prefix"), Engine: instance, BegunAt: time.Now()}
	e.mu.Lock()
	e.runs = append(e.runs, run)
	e.mu.Unlock()
	if e.OnRun != nil {
		e.OnRun(*run)
	}
	harmful := e.HarmfulPart != "" && strings.Contains(run.Parts, e.HarmfulPart+":")
	if harmful && !e.Dark {
		e.crash()
		return
	}
	w.Header().Set("Kumquatsill-Response-Signature", "proof."+id)
	w.Header().Set("Kumquatsill-Server-Load", "1,0,64")
	if e.Model == "" {
		e.answer(w, r, run)
	} else {
		e.stream(w, r, run, harmful, crashed)
	}
}

func (e *Engine) complete(run *Run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	run.Complete = true
}

func (e *Engine) answer(w http.ResponseWriter, r *http.Request, run *Run) {
	select {
	case <-r.Context().Done():
		return
	case <-time.After(e.Work):
	}
	if _, err := io.WriteString(w, "answer to "+run.ID); err == nil {
		e.complete(run)
	}
}

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, run *Run, harmful bool, crashed chan struct{}) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Kumquatsill-Weight-Versions", "1")
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	flush := http.NewResponseController(w)
	for i := after + 1; i <= e.Events; i++ {
		select {
		case <-r.Context().Done():
			return
		case <-crashed:
			select {} // the machine is dark
		case <-time.After(e.Interval):
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", i, i); err != nil || flush.Flush() != nil {
			return
		}
		if harmful {
			e.crash()
		}
	}
	e.complete(run)
}

// crash ends this lifetime of the engine and begins another one after Downtime.
func (e *Engine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return
	}
	e.down = true
	id := e.id
	time.AfterFunc(entryLifetime, func() { e.store.Put("keyed.servers", id, nil) })
	_ = e.ln.Close()
	close(e.crashed)
	if !e.Dark {
		e.resetConnections()
	}
	time.AfterFunc(e.Downtime, func() {
		e.mu.Lock()
		e.resetConnections()
		e.mu.Unlock()
		ln, err := net.Listen("tcp4", e.addr)
		check(err)
		e.begin(ln)
	})
}

// resetConnections resets the connections of this lifetime; mu must be held.
func (e *Engine) resetConnections() {
	for c := range e.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}
