package proto

// Envelope is one message on its way between two parties.
type Envelope struct {
	From Addr
	To   Addr
	Msg  Message
}

// Machine is a state machine without I/O. The driver owns the clock, the
// network and all concurrency; a Machine is not safe for concurrent use.
//
// After each Step or Tick the driver delivers what Take returns, and calls
// Tick no later than Wake asks for.
type Machine interface {
	// Step applies one message.
	Step(now Instant, in Envelope)
	// Tick applies the passage of time. Calling it early or often is harmless.
	Tick(now Instant)
	// Wake returns when Tick is needed next, or Never.
	Wake() Instant
	// Take returns the messages produced since the last call. The caller owns the slice.
	Take() []Envelope
}

// Outbox collects the outputs of a machine; embed it to get Take.
type Outbox struct {
	self Addr
	out  []Envelope
}

// NewOutbox returns an outbox whose messages carry self as the sender.
func NewOutbox(self Addr) Outbox { return Outbox{self: self} }

// Self returns the sender's address.
func (o *Outbox) Self() Addr { return o.self }

// Send queues a message.
func (o *Outbox) Send(to Addr, m Message) {
	o.out = append(o.out, Envelope{From: o.self, To: to, Msg: m})
}

// Forward queues the outputs of a part of this machine unchanged.
func (o *Outbox) Forward(envelopes []Envelope) { o.out = append(o.out, envelopes...) }

// Take implements Machine.
func (o *Outbox) Take() []Envelope {
	out := o.out
	o.out = nil
	return out
}
