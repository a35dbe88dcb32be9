package proto

// Envelope is a message with its sender and receiver.
type Envelope struct {
	From Addr
	To   Addr
	Msg  Message
}

// Machine is a state machine without I/O. Its driver provides the clock, the
// network and all concurrency; a Machine is not safe for concurrent use.
//
// After each Step or Tick, the driver delivers the messages that Take returns
// and schedules the next Tick no later than the time that Wake returns.
type Machine interface {
	// Step processes one message.
	Step(now Instant, in Envelope)
	// Tick processes expired timers. Early or additional calls are harmless.
	Tick(now Instant)
	// Wake returns the time at which Tick must be called next, or Never.
	Wake() Instant
	// Take returns the messages produced since the last call. The caller owns the slice.
	Take() []Envelope
}

// Outbox collects the messages that a machine sends. A machine that embeds it
// inherits Take.
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

// Forward queues the messages of a component of this machine unchanged.
func (o *Outbox) Forward(envelopes []Envelope) { o.out = append(o.out, envelopes...) }

// Take implements Machine.
func (o *Outbox) Take() []Envelope {
	out := o.out
	o.out = nil
	return out
}
