// Package serve puts an HTTP server in front of a stand-in.
//
// POST /v1/message takes one envelope. A log call is answered in the
// response; other messages are answered with 202, and what the stand-in says
// comes on the event stream GET /v1/events?addr=ROLE/ID, with an empty line at
// least every second. Each other line is a number, a space and an envelope.
// The response header Epoch names the life of the server. A client that lost
// its connection repeats it as epoch=E and the last number as after=N, and
// gets what it missed, as far as it is retained.
package serve

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"reflect"
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

// retained bounds the lines that are kept for a client that reconnects.
const retained = 1 << 14

// outbox holds the latest lines for one address.
type outbox struct {
	lines [][]byte
	// first is the number of lines[0].
	first int64
	// changed is closed when a line is added.
	changed chan struct{}
}

func (o *outbox) next() int64 { return o.first + int64(len(o.lines)) }

func (o *outbox) add(line []byte) {
	o.lines = append(o.lines, fmt.Appendf(nil, "%d %s\n", o.next(), line))
	if len(o.lines) > retained {
		o.lines = o.lines[1:]
		o.first++
	}
	close(o.changed)
	o.changed = make(chan struct{})
}

// connection is one open event stream.
type connection struct{ silent bool }

// Server runs one stand-in in real time. It implements http.Handler.
type Server struct {
	mu      sync.Mutex
	machine proto.Machine
	start   time.Time
	timer   *time.Timer
	calls   map[call]chan []byte
	epoch   string
	boxes   map[proto.Addr]*outbox
	conns   map[*connection]bool
	mux     *http.ServeMux
	closed  bool
	types   map[proto.Kind]reflect.Type
}

// New starts a stand-in. Close stops it. own lists the message types that the
// stand-in takes beside those of package proto.
func New(m proto.Machine, own ...proto.Message) *Server {
	h := &Server{
		machine: m,
		start:   time.Now(),
		calls:   map[call]chan []byte{},
		epoch:   strconv.FormatInt(time.Now().UnixNano(), 36),
		boxes:   map[proto.Addr]*outbox{},
		conns:   map[*connection]bool{},
		mux:     http.NewServeMux(),
		types:   map[proto.Kind]reflect.Type{},
	}
	for _, message := range own {
		h.types[message.Kind()] = reflect.TypeOf(message)
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
func (h *Server) Close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
	h.timer.Stop()
}

// Do runs f while the machine is at rest; f may change it.
func (h *Server) Do(f func(now proto.Instant)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f(h.now())
	h.machine.Tick(h.now())
	h.deliver()
}

// SilenceOpenStreams makes all open event streams carry nothing more, not even
// empty lines, while new ones work.
func (h *Server) SilenceOpenStreams() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for c := range h.conns {
		c.silent = true
	}
}

// ServeHTTP implements http.Handler.
func (h *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

func (h *Server) now() proto.Instant { return proto.Instant(time.Since(h.start)) }

func (h *Server) tick() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return
	}
	h.machine.Tick(h.now())
	h.deliver()
}

// deliver hands out the machine's messages and sets the timer. The caller holds mu.
func (h *Server) deliver() {
	for _, env := range h.machine.Take() {
		line, err := proto.Encode(env)
		if err != nil {
			continue
		}
		if h.answerCall(env, line) {
			continue
		}
		h.box(env.To).add(line)
	}
	if wake := h.machine.Wake(); wake != proto.Never && !h.closed {
		h.timer.Reset(max(0, wake.Sub(h.now())))
	}
}

// box returns the outbox of an address. The caller holds mu.
func (h *Server) box(addr proto.Addr) *outbox {
	o := h.boxes[addr]
	if o == nil {
		o = &outbox{first: 1, changed: make(chan struct{})}
		h.boxes[addr] = o
	}
	return o
}

func (h *Server) answerCall(env proto.Envelope, line []byte) bool {
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

func (h *Server) message(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxMessage))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	env, err := h.decode(body)
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

// decode reads an envelope with a message of package proto or of the stand-in.
func (h *Server) decode(data []byte) (proto.Envelope, error) {
	var wire struct {
		Kind     proto.Kind
		From, To proto.Addr
		Body     json.RawMessage
	}
	if err := json.Unmarshal(data, &wire); err != nil {
		return proto.Envelope{}, err
	}
	typ, own := h.types[wire.Kind]
	if !own {
		return proto.Decode(data)
	}
	message := reflect.New(typ)
	if err := json.Unmarshal(wire.Body, message.Interface()); err != nil {
		return proto.Envelope{}, err
	}
	msg, ok := message.Elem().Interface().(proto.Message)
	if !ok {
		return proto.Envelope{}, fmt.Errorf("type %s is not a message", typ)
	}
	return proto.Envelope{From: wire.From, To: wire.To, Msg: msg}, nil
}

func (h *Server) step(env proto.Envelope) chan []byte {
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

func (h *Server) events(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	addr, err := proto.ParseAddr(query.Get("addr"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	conn, cursor := h.open(addr, query.Get("epoch"), query.Get("after"))
	defer h.close(conn)
	w.Header().Set("Epoch", h.epoch)
	out := http.NewResponseController(w)
	ticker := time.NewTicker(beat)
	defer ticker.Stop()
	text := []byte{'\n'}
	for {
		if !h.isSilent(conn) {
			if _, err := w.Write(text); err != nil || out.Flush() != nil {
				return
			}
		}
		var changed <-chan struct{}
		text, cursor, changed = h.linesFrom(addr, cursor)
		if len(text) > 0 {
			continue
		}
		text = []byte{'\n'}
		select {
		case <-changed:
			text = nil
		case <-ticker.C:
		case <-r.Context().Done():
			return
		}
	}
}

func (h *Server) open(addr proto.Addr, epoch, after string) (*connection, int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	conn := &connection{}
	h.conns[conn] = true
	cursor := h.box(addr).next()
	if n, err := strconv.ParseInt(after, 10, 64); err == nil && epoch == h.epoch {
		cursor = n + 1
	}
	return conn, cursor
}

func (h *Server) close(c *connection) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.conns, c)
}

func (h *Server) isSilent(c *connection) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return c.silent
}

// linesFrom returns the lines from a number on, and a channel that is closed
// when there are more.
func (h *Server) linesFrom(addr proto.Addr, cursor int64) ([]byte, int64, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	o := h.box(addr)
	cursor = min(max(cursor, o.first), o.next())
	return bytes.Join(o.lines[cursor-o.first:], nil), o.next(), o.changed
}
