package transport

import (
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

const (
	// maxEnvelope bounds an envelope posted by another process, in bytes.
	maxEnvelope = 64 << 20
	// maxResponseQueue bounds the messages queued for a slow reader of a response, in
	// bytes.
	maxResponseQueue = 8 << 20
	// internalReadTimeout bounds the time to receive an envelope.
	internalReadTimeout = 10 * time.Second
)

// Message kinds that each role accepts from other processes. agentResponseKinds are
// those that a router accepts in an agent's response.
var (
	routerKinds = []proto.Kind{
		proto.PeerBeat{}.Kind(), proto.PeerBeatReply{}.Kind(),
		proto.StateRequest{}.Kind(), proto.StateReply{}.Kind(),
		proto.PromiseRequest{}.Kind(), proto.PromiseReply{}.Kind(),
		proto.GrantRequest{}.Kind(), proto.GrantReply{}.Kind(),
		proto.TokenRequest{}.Kind(), proto.TokenReply{}.Kind(),
		proto.IntentForward{}.Kind(), proto.CallerFinish{}.Kind(), proto.CallerRefusal{}.Kind(),
		proto.HostList{}.Kind(),
	}
	operatorKinds = []proto.Kind{
		proto.NoteSubmit{}.Kind(), proto.HistoryQuery{}.Kind(), proto.ConfigQuery{}.Kind(),
		proto.StatusQuery{}.Kind(), proto.ExplainQuery{}.Kind(), proto.QuarantineLift{}.Kind(),
	}
	agentKinds = []proto.Kind{
		proto.Dispatch{}.Kind(), proto.Cancel{}.Kind(), proto.Probe{}.Kind(), proto.Order{}.Kind(),
		proto.EndpointLeaving{}.Kind(),
	}
	agentResponseKinds = []proto.Kind{
		proto.Accepted{}.Kind(), proto.Chunk{}.Kind(), proto.Heartbeat{}.Kind(), proto.Finish{}.Kind(),
		proto.AttemptRefused{}.Kind(), proto.ProbeReply{}.Kind(), proto.OrderDone{}.Kind(),
	}
)

// probeStream is the kind of the response streams of probes.
const probeStream = "probe"

// streamKey identifies a response stream.
type streamKey struct {
	peer proto.Addr
	kind string
	id   string
}

// streamKeyOf returns the key of the response stream to which a message that is
// exchanged with peer belongs, and whether the message is the last of the stream.
// The key's kind is empty for a message without a response stream.
func streamKeyOf(peer proto.Addr, m proto.Message) (key streamKey, last bool) {
	switch m := m.(type) {
	case proto.Dispatch:
		return streamKey{peer, "attempt", string(m.Attempt)}, false
	case proto.Accepted:
		return streamKey{peer, "attempt", string(m.Attempt)}, false
	case proto.Chunk:
		return streamKey{peer, "attempt", string(m.Attempt)}, false
	case proto.Heartbeat:
		return streamKey{peer, "attempt", string(m.Attempt)}, false
	case proto.Finish:
		return streamKey{peer, "attempt", string(m.Attempt)}, true
	case proto.AttemptRefused:
		return streamKey{peer, "attempt", string(m.Attempt)}, true
	case proto.Probe:
		return streamKey{peer, probeStream, string(m.Request)}, false
	case proto.ProbeReply:
		return streamKey{peer, probeStream, string(m.Request)}, true
	case proto.Order:
		return streamKey{peer, "order", m.ID}, false
	case proto.OrderDone:
		return streamKey{peer, "order", m.ID}, true
	case proto.NoteSubmit:
		return streamKey{peer, "note", string(m.ID)}, false
	case proto.NoteOutcome:
		return streamKey{peer, "note", string(m.ID)}, true
	case proto.HistoryQuery:
		return streamKey{peer, "history", m.ID}, false
	case proto.HistoryReply:
		return streamKey{peer, "history", m.ID}, true
	case proto.ConfigQuery:
		return streamKey{peer, "config", m.ID}, false
	case proto.ConfigReply:
		return streamKey{peer, "config", m.ID}, true
	case proto.StatusQuery:
		return streamKey{peer, "status", m.ID}, false
	case proto.StatusReply:
		return streamKey{peer, "status", m.ID}, true
	case proto.ExplainQuery:
		return streamKey{peer, "explain", m.ID}, false
	case proto.ExplainReply:
		return streamKey{peer, "explain", m.ID}, true
	case proto.QuarantineLift:
		return streamKey{peer, "lift", string(m.ID)}, false
	case proto.QuarantineLifted:
		return streamKey{peer, "lift", string(m.ID)}, true
	}
	return streamKey{}, false
}

// Inbound receives envelopes of other processes for one machine and writes the
// machine's replies to the responses. It implements http.Handler.
type Inbound struct {
	self     proto.Addr
	accepted []proto.Kind
	step     func(proto.Envelope) bool
	metrics  *Metrics

	mu sync.Mutex
	// streams holds the open response streams. Only probes may have several with one
	// key, as a probe has no ID of its own.
	streams map[streamKey][]*Mailbox
}

// NewInbound returns the handler for the machine at address self.
func NewInbound(self proto.Addr, metrics *Metrics, step func(proto.Envelope) bool) *Inbound {
	accepted := slices.Concat(routerKinds, operatorKinds)
	if self.Role == proto.RoleAgent {
		accepted = agentKinds
	}
	return &Inbound{self: self, accepted: accepted, step: step, metrics: metrics, streams: map[streamKey][]*Mailbox{}}
}

// Deliver queues a reply on its response stream; the reply to a probe answers all open
// probes of its sender. It reports false if no stream is open.
func (h *Inbound) Deliver(env proto.Envelope) bool {
	key, last := streamKeyOf(env.To, env.Msg)
	h.mu.Lock()
	boxes := h.streams[key]
	if last {
		delete(h.streams, key)
	}
	h.mu.Unlock()
	for _, box := range boxes {
		box.Put(env)
		if last {
			box.Close()
		}
	}
	return len(boxes) > 0
}

// ServeHTTP implements http.Handler.
func (h *Inbound) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	out := http.NewResponseController(w)
	_ = out.SetReadDeadline(time.Now().Add(internalReadTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxEnvelope))
	if err != nil {
		http.Error(w, "reading the envelope: "+err.Error(), http.StatusBadRequest)
		return
	}
	_ = out.SetReadDeadline(time.Time{})
	env, err := proto.Decode(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if env.From.Role == proto.RoleOperator && env.To == (proto.Addr{Role: h.self.Role}) {
		// Operators know a router's network address but not its ID.
		env.To = h.self
	}
	if status, problem := h.checkEnvelope(env); problem != "" {
		h.metrics.Misdelivered.Inc()
		http.Error(w, problem, status)
		return
	}
	key, _ := streamKeyOf(env.From, env.Msg)
	if key.kind == "" {
		h.serveMessage(w, env)
		return
	}
	h.serveStream(w, r, key, env)
}

// checkEnvelope returns the status and text of the response to an envelope that
// must not reach the machine; the text is empty otherwise.
func (h *Inbound) checkEnvelope(env proto.Envelope) (status int, problem string) {
	switch {
	case env.To != h.self:
		return http.StatusMisdirectedRequest, "this is " + h.self.String() + ", the message is for " + env.To.String()
	case !slices.Contains(h.accepted, env.Msg.Kind()):
		return http.StatusForbidden, "message " + string(env.Msg.Kind()) + " is not accepted from other processes"
	case !senderAllowed(env):
		return http.StatusForbidden, "messages of " + env.From.String() + " are not accepted here"
	}
	return 0, ""
}

// senderAllowed reports whether the sender's role may send messages of this kind.
func senderAllowed(env proto.Envelope) bool {
	kind := env.Msg.Kind()
	switch {
	case slices.Contains(operatorKinds, kind):
		return env.From.Role == proto.RoleOperator
	case kind == proto.HostList{}.Kind():
		return env.From.Role == proto.RoleHosts
	}
	return env.From.Role == proto.RoleRouter
}

// serveMessage handles a message without a response stream.
func (h *Inbound) serveMessage(w http.ResponseWriter, env proto.Envelope) {
	if !h.step(env) {
		http.Error(w, "the process is stopping", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusAccepted)
}

// serveStream handles a message whose replies are streamed in the response. If the
// connection of an attempt is lost before the stream ends, the machine gets a
// ConnLost.
func (h *Inbound) serveStream(w http.ResponseWriter, r *http.Request, key streamKey, env proto.Envelope) {
	box := h.openStream(key)
	if !h.step(env) {
		h.removeStream(key, box)
		http.Error(w, "the process is stopping", http.StatusServiceUnavailable)
		return
	}
	if h.copy(w, r, box) {
		return
	}
	if h.removeStream(key, box) && key.kind == "attempt" {
		h.step(proto.Envelope{From: env.From, To: h.self, Msg: proto.ConnLost{Attempt: proto.AttemptID(key.id)}})
	}
}

// openStream registers a response stream. Except for probes, it replaces the stream of an
// earlier request with the same key, whose connection may be lost.
func (h *Inbound) openStream(key streamKey) *Mailbox {
	box := NewMailbox(maxResponseQueue)
	h.mu.Lock()
	defer h.mu.Unlock()
	if key.kind != probeStream {
		for _, old := range h.streams[key] {
			old.Close()
		}
		delete(h.streams, key)
	}
	h.streams[key] = append(h.streams[key], box)
	return box
}

// removeStream removes a stream and reports whether it was still registered, that
// is, neither replaced nor ended.
func (h *Inbound) removeStream(key streamKey, box *Mailbox) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	i := slices.Index(h.streams[key], box)
	if i < 0 {
		return false
	}
	if h.streams[key] = slices.Delete(h.streams[key], i, i+1); len(h.streams[key]) == 0 {
		delete(h.streams, key)
	}
	return true
}

// copy writes a stream to the response and reports whether it reached the
// end of the stream.
func (h *Inbound) copy(w http.ResponseWriter, r *http.Request, box *Mailbox) bool {
	out := http.NewResponseController(w)
	w.Header().Set("Content-Type", "application/x-ndjson")
	line := []byte{'\n'}
	for {
		_ = out.SetWriteDeadline(time.Now().Add(SilenceTimeout))
		if _, err := w.Write(line); err != nil {
			return false
		}
		if err := out.Flush(); err != nil {
			return false
		}
		env, result := box.Next(r.Context(), keepAliveInterval)
		switch result {
		case Closed:
			return true
		case Canceled, Overflow:
			return false
		case Idle:
			line = []byte{'\n'}
		case Received:
			data, err := proto.Encode(env)
			if err != nil {
				return false
			}
			line = append(data, '\n')
		}
	}
}
