// Package serve exposes a stand-in over HTTP.
//
// POST /v1/message accepts one envelope. The response to a log call carries its
// result. Every other message gets status 202, and the stand-in's messages are
// sent on the event stream GET /v1/events?addr=ROLE/ID.
//
// Each line of the event stream is a sequence number, a space and an envelope. An
// empty line is sent at least every second as a keep-alive. The response header
// Epoch identifies the incarnation of the server. A client that lost its
// connection reconnects with epoch=E and after=N, where N is the last sequence
// number received, and gets the lines it missed that are still buffered.
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
	maxMessageBytes = 64 << 20
	// keepAliveInterval is the longest time without a line on an event stream.
	keepAliveInterval = time.Second
)

// call identifies a pending log call by its caller and call number.
type call struct {
	addr proto.Addr
	call uint64
}

// maxBufferedLines bounds the lines kept per address for a client that reconnects.
const maxBufferedLines = 1 << 14

// eventBuffer holds the latest lines for one address.
type eventBuffer struct {
	lines [][]byte
	// first is the sequence number of lines[0].
	first int64
	// changed is closed when a line is added.
	changed chan struct{}
}

func (b *eventBuffer) nextNumber() int64 { return b.first + int64(len(b.lines)) }

func (b *eventBuffer) add(line []byte) {
	b.lines = append(b.lines, fmt.Appendf(nil, "%d %s\n", b.nextNumber(), line))
	if len(b.lines) > maxBufferedLines {
		b.lines = b.lines[1:]
		b.first++
	}
	close(b.changed)
	b.changed = make(chan struct{})
}

// eventStream is an open event stream. If silent is set, it carries nothing.
type eventStream struct{ silent bool }

// Server runs one stand-in in real time. It implements http.Handler.
type Server struct {
	mu         sync.Mutex
	machine    proto.Machine
	start      time.Time
	timer      *time.Timer
	calls      map[call]chan []byte
	epoch      string
	buffers    map[proto.Addr]*eventBuffer
	streams    map[*eventStream]bool
	mux        *http.ServeMux
	closed     bool
	extraTypes map[proto.Kind]reflect.Type
}

// New starts a stand-in; Close stops it. The stand-in accepts the message types of
// extra in addition to those of package proto.
func New(m proto.Machine, extra ...proto.Message) *Server {
	s := &Server{
		machine:    m,
		start:      time.Now(),
		calls:      map[call]chan []byte{},
		epoch:      strconv.FormatInt(time.Now().UnixNano(), 36),
		buffers:    map[proto.Addr]*eventBuffer{},
		streams:    map[*eventStream]bool{},
		mux:        http.NewServeMux(),
		extraTypes: map[proto.Kind]reflect.Type{},
	}
	for _, message := range extra {
		s.extraTypes[message.Kind()] = reflect.TypeOf(message)
	}
	s.mux.HandleFunc("POST /v1/message", s.message)
	s.mux.HandleFunc("GET /v1/events", s.events)
	// The lock keeps the first tick from running before the timer is set.
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer = time.AfterFunc(0, s.tick)
	return s
}

// Close stops the stand-in.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.timer.Stop()
}

// Do calls f with exclusive access to the machine, then ticks the machine and
// delivers its messages.
func (s *Server) Do(f func(now proto.Instant)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.now())
	s.machine.Tick(s.now())
	s.deliver()
}

// SilenceOpenStreams stops all output on the event streams that are open, keep-alive
// lines included. Streams opened later work.
func (s *Server) SilenceOpenStreams() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for stream := range s.streams {
		stream.silent = true
	}
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

func (s *Server) now() proto.Instant { return proto.Instant(time.Since(s.start)) }

func (s *Server) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.machine.Tick(s.now())
	s.deliver()
}

// deliver dispatches the messages of the machine and resets the timer. The caller
// holds mu.
func (s *Server) deliver() {
	for _, env := range s.machine.Take() {
		line, err := proto.Encode(env)
		if err != nil {
			continue
		}
		if s.respond(env, line) {
			continue
		}
		s.buffer(env.To).add(line)
	}
	if wake := s.machine.Wake(); wake != proto.Never && !s.closed {
		s.timer.Reset(max(0, wake.Sub(s.now())))
	}
}

// buffer returns the event buffer of an address and creates it if necessary. The
// caller holds mu.
func (s *Server) buffer(addr proto.Addr) *eventBuffer {
	b := s.buffers[addr]
	if b == nil {
		b = &eventBuffer{first: 1, changed: make(chan struct{})}
		s.buffers[addr] = b
	}
	return b
}

// respond hands the result of a log call to the handler that waits for it. It
// reports whether the message is such a result. The caller holds mu.
func (s *Server) respond(env proto.Envelope, line []byte) bool {
	n, ok := callNumber(env.Msg)
	if !ok {
		return false
	}
	key := call{addr: env.To, call: n}
	if c := s.calls[key]; c != nil {
		delete(s.calls, key)
		c <- line
	}
	return true
}

// callNumber returns the call number of a log request or response.
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

func (s *Server) message(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxMessageBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	env, err := s.decode(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	response := s.step(env)
	if response == nil {
		w.WriteHeader(http.StatusAccepted)
		return
	}
	select {
	case line := <-response:
		w.Header().Set("Content-Length", strconv.Itoa(len(line)))
		_, _ = w.Write(line)
	case <-r.Context().Done():
	}
}

// decode parses an envelope whose message type is from package proto or one of the
// extra types.
func (s *Server) decode(data []byte) (proto.Envelope, error) {
	var wire struct {
		Kind     proto.Kind
		From, To proto.Addr
		Body     json.RawMessage
	}
	if err := json.Unmarshal(data, &wire); err != nil {
		return proto.Envelope{}, err
	}
	typ, isExtra := s.extraTypes[wire.Kind]
	if !isExtra {
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

// step passes an envelope to the machine. For a log call it returns the channel
// that receives the result, and nil for other messages.
func (s *Server) step(env proto.Envelope) chan []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	var response chan []byte
	if n, ok := callNumber(env.Msg); ok {
		response = make(chan []byte, 1)
		s.calls[call{addr: env.From, call: n}] = response
	}
	s.machine.Step(s.now(), env)
	s.deliver()
	return response
}

func (s *Server) events(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	addr, err := proto.ParseAddr(query.Get("addr"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	stream, cursor := s.open(addr, query.Get("epoch"), query.Get("after"))
	defer s.close(stream)
	w.Header().Set("Epoch", s.epoch)
	out := http.NewResponseController(w)
	ticker := time.NewTicker(keepAliveInterval)
	defer ticker.Stop()
	text := []byte{'\n'}
	for {
		if !s.isSilent(stream) {
			if _, err := w.Write(text); err != nil || out.Flush() != nil {
				return
			}
		}
		var changed <-chan struct{}
		text, cursor, changed = s.linesFrom(addr, cursor)
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

func (s *Server) open(addr proto.Addr, epoch, after string) (*eventStream, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	stream := &eventStream{}
	s.streams[stream] = true
	cursor := s.buffer(addr).nextNumber()
	if n, err := strconv.ParseInt(after, 10, 64); err == nil && epoch == s.epoch {
		cursor = n + 1
	}
	return stream, cursor
}

func (s *Server) close(stream *eventStream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.streams, stream)
}

func (s *Server) isSilent(stream *eventStream) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return stream.silent
}

// linesFrom returns the buffered lines from the sequence number cursor on, the next
// cursor, and a channel that is closed when a line is added.
func (s *Server) linesFrom(addr proto.Addr, cursor int64) ([]byte, int64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.buffer(addr)
	cursor = min(max(cursor, b.first), b.nextNumber())
	return bytes.Join(b.lines[cursor-b.first:], nil), b.nextNumber(), b.changed
}
