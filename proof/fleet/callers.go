package fleet

import (
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/proof/drive"
)

// Response records what a caller has received for one request.
type Response struct {
	Router       proto.Addr
	Request      proto.CallerRequest
	SentAt       proto.Instant
	FirstChunkAt proto.Instant
	EndedAt      proto.Instant
	Chunks       []proto.CallerChunk
	Finish       *proto.CallerFinish
	Refusal      *proto.CallerRefusal
	// ExtraMessages counts messages that came after the end of the request.
	ExtraMessages int
}

// Done reports whether the request has ended.
func (a *Response) Done() bool { return a.Finish != nil || a.Refusal != nil }

// Text returns the text of all chunks.
func (a *Response) Text() string {
	var text []byte
	for _, c := range a.Chunks {
		text = append(text, c.Text...)
	}
	return string(text)
}

// Callers stands in for all callers and operators of a simulation.
type Callers struct {
	sim          *drive.Sim
	Responses    map[proto.RequestID]*Response
	NoteOutcomes map[proto.RecordID]proto.NoteOutcome
	// OperatorReplies holds the last reply to each operator by the id of its address.
	OperatorReplies map[string]proto.Message
	// OnEnd, if set, is called at the end of each request.
	OnEnd func(a *Response)
	order []proto.RequestID
	out   proto.Outbox
}

func newCallers(s *drive.Sim) *Callers {
	return &Callers{sim: s, Responses: map[proto.RequestID]*Response{}, NoteOutcomes: map[proto.RecordID]proto.NoteOutcome{}, OperatorReplies: map[string]proto.Message{}}
}

// Send sends a request through a router.
func (c *Callers) Send(via proto.Addr, req proto.CallerRequest) *Response {
	a := &Response{Router: via, Request: req, SentAt: c.sim.Now()}
	c.Responses[req.ID] = a
	c.order = append(c.order, req.ID)
	c.sim.Inject(proto.Envelope{From: proto.CallerAddr(req.ID), To: via, Msg: req})
	return a
}

// HangUp closes a caller's connection.
func (c *Callers) HangUp(id proto.RequestID) {
	a := c.Responses[id]
	c.sim.Inject(proto.Envelope{From: proto.CallerAddr(id), To: a.Router, Msg: proto.CallerGone{Request: id}})
}

// All returns the responses in the order in which their requests were sent.
func (c *Callers) All() []*Response {
	all := make([]*Response, len(c.order))
	for i, id := range c.order {
		all[i] = c.Responses[id]
	}
	return all
}

// Step implements proto.Machine.
func (c *Callers) Step(now proto.Instant, in proto.Envelope) {
	if in.To.Role == proto.RoleOperator {
		c.OperatorReplies[in.To.ID] = in.Msg
	}
	if o, ok := in.Msg.(proto.NoteOutcome); ok {
		c.NoteOutcomes[o.ID] = o
		return
	}
	a := c.Responses[proto.RequestID(in.To.ID)]
	if a == nil {
		return
	}
	if a.Done() {
		a.ExtraMessages++
		return
	}
	switch m := in.Msg.(type) {
	case proto.CallerChunk:
		if len(a.Chunks) == 0 {
			a.FirstChunkAt = now
		}
		a.Chunks = append(a.Chunks, m)
		return
	case proto.CallerFinish:
		a.Finish = &m
	case proto.CallerRefusal:
		a.Refusal = &m
	}
	a.EndedAt = now
	if c.OnEnd != nil {
		c.OnEnd(a)
	}
}

// Tick implements proto.Machine.
func (c *Callers) Tick(proto.Instant) {}

// Wake implements proto.Machine.
func (c *Callers) Wake() proto.Instant { return proto.Never }

// Take implements proto.Machine.
func (c *Callers) Take() []proto.Envelope { return c.out.Take() }

// Latency returns a function for the one-way delays of a deployment. Messages to
// and from callers take callers, those between failure domains take between, and
// those within a failure domain 50 µs.
func Latency(domainOf func(proto.Addr) proto.Domain, between, callers time.Duration) func(from, to proto.Addr) time.Duration {
	const local = 50 * time.Microsecond
	return func(from, to proto.Addr) time.Duration {
		if from.Role == proto.RoleCaller || to.Role == proto.RoleCaller {
			return callers
		}
		if domainOf(from) == domainOf(to) {
			return local
		}
		return between
	}
}
