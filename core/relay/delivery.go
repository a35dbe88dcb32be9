package relay

// Event is what the delivery of a stream has to know of one of its events.
type Event struct {
	// ID is the event's number, valid if HasID is set.
	ID    int64
	HasID bool
	// HasData is false for events that only hold comments or control fields.
	HasData bool
}

// EventAction is what to do with an event of a stream.
type EventAction uint8

const (
	// ForwardEvent sends the event to the caller.
	ForwardEvent EventAction = iota
	// SkipEvent drops the event because the caller has it.
	SkipEvent
	// RejectEvent ends the attempt, as the event cannot follow those that the caller
	// has.
	RejectEvent
)

// form is the kind of response that has begun.
type form uint8

// Forms of a response; formNone means that none has begun.
const (
	formNone form = iota
	formStream
	formBody
)

// Delivery tracks what the caller of one request has been sent and decides what may
// follow. A response that has begun is never replaced by another one. Only a stream can
// be continued by another attempt, if the caller's position in it is known. It is not
// safe for concurrent use.
type Delivery struct {
	form form
	// continues is set if the current attempt continues a response that an earlier one
	// has begun.
	continues bool
	// joined is set once the current attempt has sent an event with data, repeated once
	// it has returned one that the caller had, the last of them lastRepeated.
	joined, repeated bool
	lastRepeated     int64
	// lastEvent is the ID of the last event sent, valid if hasLastEvent is set.
	lastEvent    int64
	hasLastEvent bool
	// unnumbered is set once an event with data but without an ID was sent, so that the
	// caller's position is unknown. irregular is set once an ID was not the previous
	// one plus 1, so that a gap cannot be told from the stream's own numbering.
	unnumbered, irregular bool
}

// IsEmpty reports whether nothing was sent, so that any response may be delivered.
func (d *Delivery) IsEmpty() bool { return d.form == formNone }

// LastEvent returns the ID of the last event sent; ok is false if there is none.
func (d *Delivery) LastEvent() (id int64, ok bool) { return d.lastEvent, d.hasLastEvent }

// CanContinue reports whether another attempt may add to the response.
func (d *Delivery) CanContinue() bool {
	return d.form == formNone || d.form == formStream && !d.unnumbered
}

// BeginBody records that the head of a response other than a stream was sent.
func (d *Delivery) BeginBody() { d.form = formBody }

// BeginStream records that the head of a stream was sent.
func (d *Delivery) BeginStream() { d.form = formStream }

// startAttempt records that another attempt begins.
func (d *Delivery) startAttempt() {
	d.continues = d.form != formNone
	d.joined, d.repeated = false, false
}

// ReceiveEvent records the next event of the current attempt and returns what to do with
// it.
func (d *Delivery) ReceiveEvent(e Event) EventAction {
	switch {
	case e.HasID && d.hasLastEvent && e.ID <= d.lastEvent:
		d.repeated, d.lastRepeated = true, e.ID
		return SkipEvent
	case !d.continues || d.joined || !e.HasData:
		return ForwardEvent
	case !e.HasID:
		return RejectEvent
	case d.hasLastEvent && !d.irregular && e.ID != d.lastEvent+1:
		return RejectEvent
	}
	return ForwardEvent
}

// EventSent records that an event was sent.
func (d *Delivery) EventSent(e Event) {
	d.joined = d.joined || e.HasData
	if !e.HasID {
		d.unnumbered = d.unnumbered || e.HasData
		return
	}
	d.irregular = d.irregular || d.hasLastEvent && e.ID != d.lastEvent+1
	d.lastEvent, d.hasLastEvent = e.ID, true
}

// HasEvents reports whether the current attempt has returned an event with data.
func (d *Delivery) HasEvents() bool { return d.joined || d.repeated }

// CanEnd reports whether the stream is complete if the current attempt's stream has come
// to its end. One that repeats events but ends before the caller's position is shorter
// than the stream that it should continue.
func (d *Delivery) CanEnd() bool {
	return !d.continues || d.joined || !d.repeated || d.lastRepeated == d.lastEvent
}
