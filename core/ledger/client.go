// Package ledger implements the client of the log service that every node embeds.
// It batches appends, follows streams, and looks up the outcome of an append whose
// response was lost, so that a record is not appended twice.
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
	// longPollWait is how long the log may hold a read at the head of a stream. It
	// is well below the freshness limit of 3 s, so that one lost response does not
	// make a router stale.
	longPollWait = 500 * time.Millisecond
	// responseTimeout is the time, in addition to the wait of a long poll, after
	// which a call counts as lost.
	responseTimeout = time.Second
	// maxResponseAge is how old the last response may be for the log to count as
	// reachable.
	maxResponseAge = 3 * time.Second
	// minAppendInterval is the shortest time between two append calls to one stream.
	// It limits a node to 50 calls/s for each stream.
	minAppendInterval = 20 * time.Millisecond

	backoffMin = 50 * time.Millisecond
	backoffMax = 2 * time.Second

	// MaxRecordBytes is the maximum size of a record body.
	MaxRecordBytes = 1 << 20

	maxBatchRecords     = 128
	maxBatchBytes       = 512 << 10
	maxPending          = 4096
	maxPendingBytes     = 8 << 20
	maxReadRecords      = 512
	maxUndrainedRecords = 4096
	maxTrackedSends     = 16
)

// Config configures a client.
type Config struct {
	Self proto.Addr
	// Incarnation is the prefix of record ids. It must be unique to each run of the
	// node's process.
	Incarnation proto.Incarnation
	// Seed seeds the jitter of retry delays.
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
	// EventAbsent reports that the record of an abandoned append is not in the log
	// below Offset. If Final is set, it cannot appear later either.
	EventAbsent
	// EventRefused reports that the log permanently rejected a record.
	EventRefused
	// EventUnknown reports that an append ended without a known outcome: on Abandon,
	// at its deadline, or because retention removed the offsets where the record
	// may have been.
	EventUnknown
)

// Event reports a record that was read, a gap in a stream, or the outcome of an
// append.
type Event struct {
	Kind   EventKind
	Stream string
	// ID is the id of the record, for all kinds but EventGap.
	ID     proto.RecordID
	Offset proto.Offset
	// From is the first offset of a gap.
	From   proto.Offset
	Record proto.Record
	Final  bool
	Detail string
}

// Counters count events since the client was created.
type Counters struct {
	Appends, Records, Confirmed, Absent, Refused, Unknown int64
	// Lookups counts lookups of batches with an unknown outcome, FoundByLookup the
	// records that a read confirmed, and Reappends the batches that were sent again.
	Lookups, FoundByLookup, Reappends    int64
	Reads, RecordsRead, Duplicates, Gaps int64
	// Unexpected counts messages that belong to no known call or stream, QueueFull
	// appends that were refused because too many were pending.
	Timeouts, Failures, Malformed, Unexpected, QueueFull int64
}

// Client is a proto.Machine that appends to the log service and reads from it.
type Client struct {
	proto.Outbox
	cfg          Config
	rng          *rand.Rand
	streams      map[string]*stream
	streamOrder  []*stream
	pending      map[proto.RecordID]*pendingAppend
	pendingBytes int
	nextID       uint64
	nextCall     uint64
	events       []Event
	// undrainedRecords counts the records in events, undrainedBytes the bytes of
	// their bodies.
	undrainedRecords int
	undrainedBytes   int
	lastResponse     proto.Instant
	hasResponse      bool
	counters         Counters
}

var _ proto.Machine = (*Client)(nil)

// New returns a client that follows no stream.
func New(cfg Config) *Client {
	return &Client{
		Outbox:  proto.NewOutbox(cfg.Self),
		cfg:     cfg,
		rng:     rand.New(rand.NewPCG(cfg.Seed, 0x6c6f67)),
		streams: map[string]*stream{},
		pending: map[proto.RecordID]*pendingAppend{},
	}
}

// Follow starts to read a stream from an offset; the first read is sent on the next
// Tick. It has no effect on a stream that is followed already.
func (c *Client) Follow(name string, from proto.Offset) {
	s := c.stream(name)
	if s.followed {
		return
	}
	s.followed = true
	s.nextOffset = from
}

// Append queues a record and returns its id. It fails without effect if the body
// cannot be encoded or is too large, or if too much is queued. Otherwise exactly
// one of EventConfirmed, EventAbsent, EventRefused and EventUnknown follows.
func (c *Client) Append(now proto.Instant, name string, kind proto.RecordKind, body any) (proto.RecordID, error) {
	return c.AppendWithID(now, c.newID(), name, kind, body)
}

// AppendWithID is Append with an id that the caller chooses. It also fails while
// an append with this id is pending.
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
	if len(c.pending) >= maxPending || c.pendingBytes+len(data) > maxPendingBytes {
		c.counters.QueueFull++
		return "", Error.New("%d appends with %d bytes wait for the log, no more are taken", len(c.pending), c.pendingBytes)
	}
	s := c.stream(name)
	e := &pendingAppend{rec: proto.Record{ID: id, Kind: kind, Body: data}, stream: s, deadline: proto.Never}
	c.pending[id] = e
	c.pendingBytes += len(data)
	s.queue = append(s.queue, e)
	s.advance(now)
	return id, nil
}

// SetDeadline makes the client abandon an append that is still pending at the given
// instant.
func (c *Client) SetDeadline(id proto.RecordID, at proto.Instant) {
	if e := c.pending[id]; e != nil {
		e.deadline = at
	}
}

// Abandon ends an append now: with EventAbsent if the record is known not to be in
// the log, otherwise with EventUnknown. A copy that was sent may still be appended.
func (c *Client) Abandon(id proto.RecordID) {
	e := c.pending[id]
	if e == nil {
		return
	}
	s := e.stream
	ev := Event{Kind: EventAbsent, Final: !e.mayAppear && !s.isSending(e), Offset: e.absentBelow}
	if s.isSending(e) || s.lookup != nil && s.inBatch(e) {
		ev = Event{Kind: EventUnknown, Detail: "abandoned before the outcome was known"}
	}
	c.finish(e, ev)
}

// Events returns and removes the events since the last call, in order.
func (c *Client) Events() []Event {
	out := c.events
	c.events = nil
	c.undrainedRecords = 0
	c.undrainedBytes = 0
	return out
}

// HeadReadAt returns when the latest read that reached the head of a followed
// stream was sent. It reports false if no read has.
func (c *Client) HeadReadAt(name string) (proto.Instant, bool) {
	s := c.streams[name]
	if s == nil {
		return 0, false
	}
	return s.headReadAt, s.hasReadHead
}

// NextOffset returns the offset of the next record to read from a followed stream.
func (c *Client) NextOffset(name string) proto.Offset {
	if s := c.streams[name]; s != nil {
		return s.nextOffset
	}
	return 0
}

// LastResponseAt returns when the log last sent a well-formed response other than
// a failure. It reports false if it never did.
func (c *Client) LastResponseAt() (proto.Instant, bool) { return c.lastResponse, c.hasResponse }

// Reachable reports whether the log sent a successful response within the last 3 s.
func (c *Client) Reachable(now proto.Instant) bool {
	return c.hasResponse && now.Sub(c.lastResponse) <= maxResponseAge
}

// Pending returns the number of pending appends.
func (c *Client) Pending() int { return len(c.pending) }

// Counters returns the counters.
func (c *Client) Counters() Counters { return c.counters }

// Step implements proto.Machine. It handles the messages of the log service.
func (c *Client) Step(now proto.Instant, in proto.Envelope) {
	if in.From != proto.Log {
		c.counters.Unexpected++
		return
	}
	switch m := in.Msg.(type) {
	case proto.LogAppended:
		c.withStream(m.Stream, func(s *stream) { s.handleAppended(now, m) })
	case proto.LogRecords:
		c.withStream(m.Stream, func(s *stream) { s.handleRecords(now, m) })
	case proto.LogFailed:
		c.withStream(m.Stream, func(s *stream) { s.handleFailed(now, m) })
	default:
		c.counters.Unexpected++
	}
	c.Tick(now)
}

// withStream calls f with a stream that the client uses.
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
	for _, s := range c.streamOrder {
		s.expire(now)
		s.advance(now)
	}
}

// Wake implements proto.Machine.
func (c *Client) Wake() proto.Instant {
	wake := proto.Never
	for _, s := range c.streamOrder {
		wake = proto.Earliest(wake, s.wake())
	}
	return wake
}

// stream returns the state of a stream and creates it if needed.
func (c *Client) stream(name string) *stream {
	s := c.streams[name]
	if s == nil {
		s = &stream{c: c, name: name, sentIDs: map[uint64][]proto.RecordID{}}
		c.streams[name] = s
		c.streamOrder = append(c.streamOrder, s)
	}
	return s
}

func (c *Client) newID() proto.RecordID {
	c.nextID++
	return proto.RecordID(string(c.cfg.Incarnation) + "." + strconv.FormatUint(c.nextID, 10))
}

// call allocates the number of a call.
func (c *Client) call() uint64 {
	c.nextCall++
	return c.nextCall
}

func (c *Client) markResponse(now proto.Instant) {
	c.lastResponse = now
	c.hasResponse = true
}

// finish ends an append and reports its outcome.
func (c *Client) finish(e *pendingAppend, ev Event) {
	ev.Stream = e.stream.name
	ev.ID = e.rec.ID
	delete(c.pending, e.rec.ID)
	c.pendingBytes -= len(e.rec.Body)
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
