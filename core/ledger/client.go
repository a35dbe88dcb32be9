// Package ledger is the log client that every node embeds. It batches
// appends, finds out what became of an append whose answer was lost, and
// follows streams.
package ledger

import (
	"encoding/json"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("ledger")

const (
	// readWait is the long-poll time. It is well below the 3 s of freshness,
	// so that one lost answer does not make a router stale.
	readWait = 500 * time.Millisecond
	// answerTimeout is the time beyond Wait after which an answer counts as lost.
	answerTimeout = time.Second
	// reachableFor is the age at which the last answer no longer shows that
	// the log can be reached.
	reachableFor = 3 * time.Second
	// appendPace is the shortest time between two appends of one node to one
	// stream. It bounds a node to 50 appends/s a stream under any load.
	appendPace = 20 * time.Millisecond

	backoffMin = 50 * time.Millisecond
	backoffMax = 2 * time.Second

	// MaxRecordBytes is the largest body of a record.
	MaxRecordBytes = 1 << 20

	maxBatchRecords = 128
	maxBatchBytes   = 512 << 10
	maxPending      = 4096
	maxPendingBytes = 8 << 20
	maxReadRecords  = 512
	maxUndrained    = 4096
	maxTrackedSends = 16
)

// Config identifies the node.
type Config struct {
	Self proto.Addr
	// Incarnation makes record ids unique; two lives of a node must differ.
	Incarnation proto.Incarnation
	// Seed drives the jitter of retries.
	Seed uint64
}

// EventKind says what an Event reports.
type EventKind uint8

// Kinds of events.
const (
	// EventRecord reports a record that was read.
	EventRecord EventKind = iota + 1
	// EventGap reports that retention removed the offsets from From up to Offset.
	EventGap
	// EventConfirmed reports that a record is in the log at Offset.
	EventConfirmed
	// EventAbsent reports that an abandoned append is not in the log below
	// Offset. If Final is set no copy can appear later either.
	EventAbsent
	// EventRefused reports that the log will not accept a record.
	EventRefused
	// EventUnknown reports that an append ended without a known outcome, on
	// Abandon, at its deadline, or since retention removed the evidence.
	EventUnknown
)

// Event is one thing that the owner of a client has to know.
type Event struct {
	Kind   EventKind
	Stream string
	// ID is the record concerned, for all kinds but EventGap.
	ID     proto.RecordID
	Offset proto.Offset
	// From is the first offset of a gap.
	From   proto.Offset
	Record proto.Record
	Final  bool
	Detail string
}

// Counters count what a client did since it was built.
type Counters struct {
	Appends, Records, Confirmed, Absent, Refused, Unknown int64
	// Lookups counts lookups of an append's unknown outcome, FoundByLookup
	// those that found it and Reappends batches sent again.
	Lookups, FoundByLookup, Reappends                    int64
	Reads, RecordsRead, Duplicates, Gaps                 int64
	Timeouts, Failures, Malformed, Unexpected, QueueFull int64
}

// Client is a proto.Machine that talks to the log service.
type Client struct {
	proto.Outbox
	cfg       Config
	rng       *rand.Rand
	streams   map[string]*stream
	order     []*stream
	pending   map[proto.RecordID]*entry
	bytes     int
	nextID    uint64
	nextCall  uint64
	events    []Event
	undrained int
	// undrainedBytes counts the bodies of the undrained records.
	undrainedBytes int
	answered       proto.Instant
	hasAnswer      bool
	counters       Counters
}

var _ proto.Machine = (*Client)(nil)

// New returns a client that follows nothing.
func New(cfg Config) *Client {
	return &Client{
		Outbox:  proto.NewOutbox(cfg.Self),
		cfg:     cfg,
		rng:     rand.New(rand.NewPCG(cfg.Seed, 0x6c6f67)),
		streams: map[string]*stream{},
		pending: map[proto.RecordID]*entry{},
	}
}

// Follow starts to read a stream; the first read goes out on the next Tick.
// A stream that is followed already is left as it is.
func (c *Client) Follow(name string, from proto.Offset) {
	s := c.stream(name)
	if s.followed {
		return
	}
	s.followed = true
	s.next = from
}

// SetAppendInterval sets the shortest time between two appends to a stream, for fleets
// in which the default would exceed the log's rate.
func (c *Client) SetAppendInterval(name string, d time.Duration) { c.stream(name).pace = d }

// Append queues a record. It fails without effect on a body that does not
// encode or is too large, and when too much is queued. Otherwise exactly one
// of EventConfirmed, EventAbsent, EventRefused and EventUnknown follows.
func (c *Client) Append(now proto.Instant, name string, kind proto.RecordKind, body any) (proto.RecordID, error) {
	return c.AppendWithID(now, c.newID(), name, kind, body)
}

// AppendWithID is Append under an id that the caller has chosen. It fails as well
// while an append with this id has not ended.
func (c *Client) AppendWithID(now proto.Instant, id proto.RecordID, name string, kind proto.RecordKind, body any) (proto.RecordID, error) {
	if c.pending[id] != nil {
		return "", Error.New("an append with the id %s is under way", id)
	}
	data, err := json.Marshal(body)
	if err != nil {
		return "", Error.Wrap(err)
	}
	if len(data) > MaxRecordBytes {
		return "", Error.New("record of kind %s has %d bytes, at most %d are allowed", kind, len(data), MaxRecordBytes)
	}
	if len(c.pending) >= maxPending || c.bytes+len(data) > maxPendingBytes {
		c.counters.QueueFull++
		return "", Error.New("%d appends with %d bytes wait for the log, no more are taken", len(c.pending), c.bytes)
	}
	s := c.stream(name)
	e := &entry{rec: proto.Record{ID: id, Kind: kind, Body: data}, stream: s, deadline: proto.Never}
	c.pending[id] = e
	c.bytes += len(data)
	s.queue = append(s.queue, e)
	s.advance(now)
	return id, nil
}

// SetDeadline abandons an append at the given instant if it has not ended by then.
func (c *Client) SetDeadline(id proto.RecordID, at proto.Instant) {
	if e := c.pending[id]; e != nil {
		e.deadline = at
	}
}

// Abandon ends an append now: as absent if the record is known not to be in
// the log, else as unknown. A copy that is under way may still take effect.
func (c *Client) Abandon(id proto.RecordID) {
	e := c.pending[id]
	if e == nil {
		return
	}
	s := e.stream
	ev := Event{Kind: EventAbsent, Final: !e.doubtful && !s.sending(e), Offset: e.absentBelow}
	if s.sending(e) || s.lookup != nil && s.inBatch(e) {
		ev = Event{Kind: EventUnknown, Detail: "abandoned before the outcome was known"}
	}
	c.finish(e, ev)
}

// Events returns what happened since the last call, in order.
func (c *Client) Events() []Event {
	out := c.events
	c.events = nil
	c.undrained = 0
	c.undrainedBytes = 0
	return out
}

// HeadReadAt returns when the last read that reached the head of a followed
// stream was sent. It reports false if none did.
func (c *Client) HeadReadAt(name string) (proto.Instant, bool) {
	s := c.streams[name]
	if s == nil {
		return 0, false
	}
	return s.headReadAt, s.headRead
}

// NextOffset returns the offset that a followed stream is read from next.
func (c *Client) NextOffset(name string) proto.Offset {
	if s := c.streams[name]; s != nil {
		return s.next
	}
	return 0
}

// LastResponseAt returns when the log last answered a call with content. It
// reports false if it never did.
func (c *Client) LastResponseAt() (proto.Instant, bool) { return c.answered, c.hasAnswer }

// Reachable reports whether the log answered within the last 3 s.
func (c *Client) Reachable(now proto.Instant) bool {
	return c.hasAnswer && now.Sub(c.answered) <= reachableFor
}

// Pending returns the number of appends that have not ended.
func (c *Client) Pending() int { return len(c.pending) }

// Counters returns the counters.
func (c *Client) Counters() Counters { return c.counters }

// Step implements proto.Machine.
func (c *Client) Step(now proto.Instant, in proto.Envelope) {
	if in.From != proto.Log {
		c.counters.Unexpected++
		return
	}
	switch m := in.Msg.(type) {
	case proto.LogAppended:
		c.withStream(m.Stream, func(s *stream) { s.appended(now, m) })
	case proto.LogRecords:
		c.withStream(m.Stream, func(s *stream) { s.records(now, m) })
	case proto.LogFailed:
		c.withStream(m.Stream, func(s *stream) { s.failed(now, m) })
	default:
		c.counters.Unexpected++
	}
	c.Tick(now)
}

func (c *Client) withStream(name string, f func(*stream)) {
	s := c.streams[name]
	if s == nil {
		c.counters.Unexpected++
		return
	}
	f(s)
}

// Tick implements proto.Machine.
func (c *Client) Tick(now proto.Instant) {
	for _, s := range c.order {
		s.expire(now)
		s.advance(now)
	}
}

// Wake implements proto.Machine.
func (c *Client) Wake() proto.Instant {
	wake := proto.Never
	for _, s := range c.order {
		wake = proto.Earliest(wake, s.wake())
	}
	return wake
}

func (c *Client) stream(name string) *stream {
	s := c.streams[name]
	if s == nil {
		s = &stream{c: c, name: name, pace: appendPace, sends: map[uint64][]proto.RecordID{}}
		c.streams[name] = s
		c.order = append(c.order, s)
	}
	return s
}

func (c *Client) newID() proto.RecordID {
	c.nextID++
	return proto.RecordID(string(c.cfg.Incarnation) + "." + strconv.FormatUint(c.nextID, 10))
}

func (c *Client) call() uint64 {
	c.nextCall++
	return c.nextCall
}

func (c *Client) heard(now proto.Instant) {
	c.answered = now
	c.hasAnswer = true
}

// finish ends an append with one event.
func (c *Client) finish(e *entry, ev Event) {
	ev.Stream = e.stream.name
	ev.ID = e.rec.ID
	delete(c.pending, e.rec.ID)
	c.bytes -= len(e.rec.Body)
	e.done = true
	switch ev.Kind {
	case EventConfirmed:
		c.counters.Confirmed++
	case EventAbsent:
		c.counters.Absent++
	case EventRefused:
		c.counters.Refused++
	case EventUnknown:
		c.counters.Unknown++
	}
	c.events = append(c.events, ev)
}

// backoff returns a jittered delay after the given number of failures in a row.
func (c *Client) backoff(failures int) time.Duration {
	d := backoffMin << min(failures-1, 10)
	d = min(d, backoffMax)
	return d/2 + time.Duration(c.rng.Int64N(int64(d/2)))
}
