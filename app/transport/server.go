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
	// maxEnvelope bounds an envelope that is posted by another process.
	maxEnvelope = 64 << 20
	// maxResponseQueue bounds what waits for a slow router, in bytes.
	maxResponseQueue = 8 << 20
	// internalReadTimeout bounds the arrival of an envelope.
	internalReadTimeout = 10 * time.Second
)

// Kinds that may arrive at each role from other processes.
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
	agentAnswerKinds = []proto.Kind{
		proto.Accepted{}.Kind(), proto.Chunk{}.Kind(), proto.Heartbeat{}.Kind(), proto.Finish{}.Kind(),
		proto.AttemptRefused{}.Kind(), proto.ProbeReply{}.Kind(), proto.OrderDone{}.Kind(),
	}
)

// topic tells which response stream a message belongs to.
type topic struct {
	peer proto.Addr
	kind string
	id   string
}

// topicOf returns the topic of a message that has a response stream, and
// whether it is the last of its stream. The kind is empty for other messages.
func topicOf(peer proto.Addr, m proto.Message) (t topic, last bool) {
	switch m := m.(type) {
	case proto.Dispatch:
		return topic{peer, "attempt", string(m.Attempt)}, false
	case proto.Accepted:
		return topic{peer, "attempt", string(m.Attempt)}, false
	case proto.Chunk:
		return topic{peer, "attempt", string(m.Attempt)}, false
	case proto.Heartbeat:
		return topic{peer, "attempt", string(m.Attempt)}, false
	case proto.Finish:
		return topic{peer, "attempt", string(m.Attempt)}, true
	case proto.AttemptRefused:
		return topic{peer, "attempt", string(m.Attempt)}, true
	case proto.Probe:
		return topic{peer, "probe", string(m.Request)}, false
	case proto.ProbeReply:
		return topic{peer, "probe", string(m.Request)}, true
	case proto.Order:
		return topic{peer, "order", m.ID}, false
	case proto.OrderDone:
		return topic{peer, "order", m.ID}, true
	case proto.NoteSubmit:
		return topic{peer, "note", string(m.ID)}, false
	case proto.NoteOutcome:
		return topic{peer, "note", string(m.ID)}, true
	case proto.HistoryQuery:
		return topic{peer, "history", m.ID}, false
	case proto.HistoryReply:
		return topic{peer, "history", m.ID}, true
	case proto.ConfigQuery:
		return topic{peer, "config", m.ID}, false
	case proto.ConfigReply:
		return topic{peer, "config", m.ID}, true
	case proto.StatusQuery:
		return topic{peer, "status", m.ID}, false
	case proto.StatusReply:
		return topic{peer, "status", m.ID}, true
	case proto.ExplainQuery:
		return topic{peer, "explain", m.ID}, false
	case proto.ExplainReply:
		return topic{peer, "explain", m.ID}, true
	case proto.QuarantineLift:
		return topic{peer, "lift", string(m.ID)}, false
	case proto.QuarantineLifted:
		return topic{peer, "lift", string(m.ID)}, true
	}
	return topic{}, false
}

// Inbound receives envelopes of other processes for one machine and carries
// the answers back. It implements http.Handler.
type Inbound struct {
	self     proto.Addr
	accepted []proto.Kind
	step     func(proto.Envelope) bool
	metrics  *Metrics

	mu      sync.Mutex
	streams map[topic]*Mailbox
}

// NewInbound returns the handler for the machine at address self.
func NewInbound(self proto.Addr, metrics *Metrics, step func(proto.Envelope) bool) *Inbound {
	accepted := slices.Concat(routerKinds, operatorKinds)
	if self.Role == proto.RoleAgent {
		accepted = agentKinds
	}
	return &Inbound{self: self, accepted: accepted, step: step, metrics: metrics, streams: map[topic]*Mailbox{}}
}

// Deliver puts an answer on the response that waits for it. It reports false
// if there is none.
func (h *Inbound) Deliver(env proto.Envelope) bool {
	key, last := topicOf(env.To, env.Msg)
	h.mu.Lock()
	box := h.streams[key]
	if box != nil && last {
		delete(h.streams, key)
	}
	h.mu.Unlock()
	if box == nil {
		return false
	}
	box.Put(env)
	if last {
		box.Close()
	}
	return true
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
		// Operators know a router by its address only.
		env.To = h.self
	}
	if status, problem := h.verify(env); problem != "" {
		h.metrics.Misdelivered.Inc()
		http.Error(w, problem, status)
		return
	}
	key, _ := topicOf(env.From, env.Msg)
	if key.kind == "" {
		h.stepOnly(w, env)
		return
	}
	h.serveStream(w, r, key, env)
}

func (h *Inbound) verify(env proto.Envelope) (status int, problem string) {
	switch {
	case env.To != h.self:
		return http.StatusMisdirectedRequest, "this is " + h.self.String() + ", the message is for " + env.To.String()
	case !slices.Contains(h.accepted, env.Msg.Kind()):
		return http.StatusForbidden, "message " + string(env.Msg.Kind()) + " is not accepted from other processes"
	case !fromAllowed(env):
		return http.StatusForbidden, "messages of " + env.From.String() + " are not accepted here"
	}
	return 0, ""
}

func fromAllowed(env proto.Envelope) bool {
	kind := env.Msg.Kind()
	switch {
	case slices.Contains(operatorKinds, kind):
		return env.From.Role == proto.RoleOperator
	case kind == proto.HostList{}.Kind():
		return env.From.Role == proto.RoleHosts
	}
	return env.From.Role == proto.RoleRouter
}

func (h *Inbound) stepOnly(w http.ResponseWriter, env proto.Envelope) {
	if !h.step(env) {
		http.Error(w, "the process is stopping", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusAccepted)
}

func (h *Inbound) serveStream(w http.ResponseWriter, r *http.Request, key topic, env proto.Envelope) {
	box := h.open(key)
	if !h.step(env) {
		h.drop(key, box)
		http.Error(w, "the process is stopping", http.StatusServiceUnavailable)
		return
	}
	if h.copy(w, r, box) {
		return
	}
	if h.drop(key, box) && key.kind == "attempt" {
		h.step(proto.Envelope{From: env.From, To: h.self, Msg: proto.ConnLost{Attempt: proto.AttemptID(key.id)}})
	}
}

// open registers a response stream. A repeated request takes over the stream
// of the earlier one, whose connection may be gone.
func (h *Inbound) open(key topic) *Mailbox {
	box := NewMailbox(maxResponseQueue)
	h.mu.Lock()
	defer h.mu.Unlock()
	if old := h.streams[key]; old != nil {
		old.Close()
	}
	h.streams[key] = box
	return box
}

// drop removes a stream and reports whether it was still the current one.
func (h *Inbound) drop(key topic, box *Mailbox) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.streams[key] != box {
		return false
	}
	delete(h.streams, key)
	return true
}

// copy writes a stream to the response and reports whether it came to its end.
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
		env, result := box.Next(r.Context(), beatInterval)
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
