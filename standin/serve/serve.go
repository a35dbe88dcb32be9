// Package serve puts an HTTP server in front of a stand-in.
//
// POST /v1/message takes one envelope. A log call is answered in the
// response; other messages are answered with 202, and what the stand-in says
// comes on the event stream GET /v1/events?addr=ROLE/ID as JSON lines, with
// an empty line at least every second.
package serve

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

const (
	maxMessage = 64 << 20
	beat       = time.Second
)

type call struct {
	addr proto.Addr
	call uint64
}

type subscriber struct {
	notify chan struct{}
	queue  [][]byte
	silent bool
}

// Host runs one stand-in in real time. It implements http.Handler.
type Host struct {
	mu      sync.Mutex
	machine proto.Machine
	start   time.Time
	timer   *time.Timer
	calls   map[call]chan []byte
	subs    map[proto.Addr]*subscriber
	mux     *http.ServeMux
	closed  bool
}

// New starts a stand-in. Close stops it.
func New(m proto.Machine) *Host {
	h := &Host{
		machine: m,
		start:   time.Now(),
		calls:   map[call]chan []byte{},
		subs:    map[proto.Addr]*subscriber{},
		mux:     http.NewServeMux(),
	}
	h.mux.HandleFunc("POST /v1/message", h.message)
	h.mux.HandleFunc("GET /v1/events", h.events)
	// The lock keeps the first tick from running before the timer is set.
	h.mu.Lock()
	defer h.mu.Unlock()
	h.timer = time.AfterFunc(0, h.tick)
	return h
}

// Close stops the stand-in.
func (h *Host) Close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
	h.timer.Stop()
}

// Do runs f while the machine is at rest; f may change it.
func (h *Host) Do(f func(now proto.Instant)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f(h.now())
	h.machine.Tick(h.now())
	h.deliver()
}

// SilenceOpen makes all open event streams carry nothing more, not even
// empty lines, while new ones work.
func (h *Host) SilenceOpen() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range h.subs {
		s.silent = true
	}
}

// ServeHTTP implements http.Handler.
func (h *Host) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

func (h *Host) now() proto.Instant { return proto.Instant(time.Since(h.start)) }

func (h *Host) tick() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return
	}
	h.machine.Tick(h.now())
	h.deliver()
}

// deliver hands out the machine's messages and sets the timer. The caller holds mu.
func (h *Host) deliver() {
	for _, env := range h.machine.Take() {
		line, err := proto.Encode(env)
		if err != nil {
			continue
		}
		if h.answerCall(env, line) {
			continue
		}
		if s := h.subs[env.To]; s != nil && !s.silent {
			s.queue = append(s.queue, line)
			signal(s.notify)
		}
	}
	if wake := h.machine.Wake(); wake != proto.Never && !h.closed {
		h.timer.Reset(max(0, wake.Sub(h.now())))
	}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (h *Host) answerCall(env proto.Envelope, line []byte) bool {
	n, ok := callNumber(env.Msg)
	if !ok {
		return false
	}
	key := call{addr: env.To, call: n}
	if c := h.calls[key]; c != nil {
		delete(h.calls, key)
		c <- line
	}
	return true
}

func callNumber(m proto.Message) (uint64, bool) {
	switch m := m.(type) {
	case proto.LogAppend:
		return m.Call, true
	case proto.LogRead:
		return m.Call, true
	case proto.LogAppended:
		return m.Call, true
	case proto.LogRecords:
		return m.Call, true
	case proto.LogFailed:
		return m.Call, true
	}
	return 0, false
}

func (h *Host) message(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxMessage))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	env, err := proto.Decode(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	answer := h.step(env)
	if answer == nil {
		w.WriteHeader(http.StatusAccepted)
		return
	}
	select {
	case line := <-answer:
		w.Header().Set("Content-Length", strconv.Itoa(len(line)))
		_, _ = w.Write(line)
	case <-r.Context().Done():
	}
}

func (h *Host) step(env proto.Envelope) chan []byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	var answer chan []byte
	if n, ok := callNumber(env.Msg); ok {
		answer = make(chan []byte, 1)
		h.calls[call{addr: env.From, call: n}] = answer
	}
	h.machine.Step(h.now(), env)
	h.deliver()
	return answer
}

func (h *Host) events(w http.ResponseWriter, r *http.Request) {
	addr, err := proto.ParseAddr(r.URL.Query().Get("addr"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s := &subscriber{notify: make(chan struct{}, 1)}
	h.mu.Lock()
	h.subs[addr] = s
	h.mu.Unlock()
	out := http.NewResponseController(w)
	ticker := time.NewTicker(beat)
	defer ticker.Stop()
	for first := true; ; first = false {
		lines, silent := h.takeLines(s, first)
		for _, line := range lines {
			if _, err := w.Write(append(line, '\n')); err != nil {
				return
			}
		}
		if !silent && out.Flush() != nil {
			return
		}
		if !wait(r.Context(), s.notify, ticker.C) {
			return
		}
	}
}

// takeLines returns what is to be written next: queued messages or an empty line.
func (h *Host) takeLines(s *subscriber, first bool) (lines [][]byte, silent bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s.silent {
		return nil, true
	}
	lines, s.queue = s.queue, nil
	if len(lines) == 0 || first {
		lines = append([][]byte{nil}, lines...)
	}
	return lines, false
}

func wait(ctx context.Context, notify <-chan struct{}, tick <-chan time.Time) bool {
	select {
	case <-notify:
		return true
	case <-tick:
		return true
	case <-ctx.Done():
		return false
	}
}
