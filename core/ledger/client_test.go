package ledger_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/core/ledger"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// fakeLog is a log service with one stream that can lose responses and refuse
// records.
type fakeLog struct {
	records []proto.Record
	first   proto.Offset
	appends int
	largest int
	// onAppend decides whether the n-th append takes effect and gets a response.
	onAppend func(n int) (effect, respond bool)
	down     bool
	// refuse is the id of a record that the log permanently rejects.
	refuse proto.RecordID
	// lost holds the responses that were not sent.
	lost []proto.Envelope
}

func (l *fakeLog) handle(e proto.Envelope) proto.Message {
	switch m := e.Msg.(type) {
	case proto.LogAppend:
		return l.append(m)
	case proto.LogRead:
		if l.down {
			return nil
		}
		out := proto.LogRecords{Call: m.Call, Stream: m.Stream, First: l.first, Head: l.head()}
		for i := max(m.From, l.first); i < out.Head && len(out.Records) < m.Max; i++ {
			out.Records = append(out.Records, l.records[i])
		}
		return out
	}
	return nil
}

func (l *fakeLog) head() proto.Offset { return proto.Offset(len(l.records)) }

func (l *fakeLog) append(m proto.LogAppend) proto.Message {
	l.appends++
	l.largest = max(l.largest, len(m.Records))
	if l.down {
		return nil
	}
	for _, r := range m.Records {
		if r.ID == l.refuse {
			return proto.LogFailed{Call: m.Call, Stream: m.Stream, Rejected: true, Permanent: true, Detail: "too large"}
		}
	}
	effect, respond := true, true
	if l.onAppend != nil {
		effect, respond = l.onAppend(l.appends)
	}
	first := l.head()
	if effect {
		for _, r := range m.Records {
			r.Offset = l.head()
			l.records = append(l.records, r)
		}
	}
	response := proto.LogAppended{Call: m.Call, Stream: m.Stream, First: first}
	if !respond {
		l.lost = append(l.lost, proto.Envelope{From: proto.Log, Msg: response})
		return nil
	}
	return response
}

// testClient runs a client against a fakeLog in virtual time.
type testClient struct {
	t      *testing.T
	log    *fakeLog
	c      *ledger.Client
	now    proto.Instant
	events []ledger.Event
}

func newTestClient(t *testing.T) *testClient {
	return &testClient{t: t, log: &fakeLog{}, c: ledger.New(ledger.Config{Self: proto.RouterAddr("r1"), Incarnation: "i1", Seed: 1})}
}

// run advances virtual time. Every message gets its response after 1 ms, a read
// without records after 21 ms.
func (r *testClient) run(d time.Duration) {
	end := r.now.Add(d)
	for ; r.now < end; r.now = r.now.Add(time.Millisecond) {
		r.c.Tick(r.now)
		for _, e := range r.c.Take() {
			response := r.log.handle(e)
			if poll, ok := response.(proto.LogRecords); ok && len(poll.Records) == 0 {
				r.now = r.now.Add(20 * time.Millisecond)
			}
			if response != nil {
				r.c.Step(r.now.Add(time.Millisecond), proto.Envelope{From: proto.Log, To: e.From, Msg: response})
			}
		}
		r.events = append(r.events, r.c.Events()...)
	}
}

func (r *testClient) append(n int) proto.RecordID {
	id, err := r.c.Append(r.now, "config", "k", n)
	if err != nil {
		r.t.Fatal(err)
	}
	return id
}

func (r *testClient) count(kind ledger.EventKind) int {
	n := 0
	for _, e := range r.events {
		if e.Kind == kind {
			n++
		}
	}
	return n
}

func (r *testClient) want(kind ledger.EventKind, n int) {
	r.t.Helper()
	if got := r.count(kind); got != n {
		r.t.Errorf("%d events of kind %d, want %d", got, kind, n)
	}
}

// Guards against a second copy of a record when the append took effect and its
// response was lost.
func TestLostResponseIsLookedUp(t *testing.T) {
	for _, followed := range []bool{true, false} {
		r := newTestClient(t)
		r.log.onAppend = func(n int) (bool, bool) { return true, n > 1 }
		if followed {
			r.c.Follow("config", 0)
		}
		r.append(1)
		r.run(5 * time.Second)
		r.want(ledger.EventConfirmed, 1)
		if len(r.log.records) != 1 || r.c.Pending() != 0 {
			t.Errorf("followed=%v: %d records, %d pending", followed, len(r.log.records), r.c.Pending())
		}
	}
}

// Guards against the loss of a record whose append did not reach the log, and
// against sending it again with another id.
func TestLostAppendIsSentAgainWithSameID(t *testing.T) {
	r := newTestClient(t)
	r.log.onAppend = func(n int) (bool, bool) { return n > 2, n > 2 }
	id := r.append(1)
	r.run(10 * time.Second)
	r.want(ledger.EventConfirmed, 1)
	if len(r.log.records) != 1 || r.log.records[0].ID != id || r.c.Counters().Lookups != 2 {
		t.Errorf("records %v, counters %+v", r.log.records, r.c.Counters())
	}
}

// Guards against a confirmation that is dropped or reported twice because it
// arrived after the call had timed out.
func TestLateResponseConfirmsOnce(t *testing.T) {
	r := newTestClient(t)
	r.log.onAppend = func(n int) (bool, bool) { return true, false }
	r.append(1)
	r.run(30 * time.Millisecond)
	r.log.down = true
	r.run(3 * time.Second)
	for range 2 {
		r.c.Step(r.now, r.log.lost[0])
	}
	r.log.down = false
	r.run(time.Second)
	r.want(ledger.EventConfirmed, 1)
}

// Guards against EventAbsent for a record that is in the log, when a replica
// with an older state responds to the lookup.
func TestStaleLookupProvesNothing(t *testing.T) {
	r := newTestClient(t)
	r.log.records = make([]proto.Record, 5)
	for i := range r.log.records {
		r.log.records[i] = proto.Record{ID: proto.RecordID(fmt.Sprint("old", i)), Offset: proto.Offset(i)}
	}
	r.log.onAppend = func(n int) (bool, bool) { return true, false }
	r.append(1)
	r.run(30 * time.Millisecond)
	whole := r.log.records
	r.log.records = whole[:3]
	r.run(3 * time.Second)
	if r.log.appends != 1 {
		t.Errorf("the batch was sent %d times", r.log.appends)
	}
	r.log.records = whole
	r.run(5 * time.Second)
	r.want(ledger.EventConfirmed, 1)
}

// Guards against a wrong outcome of an abandoned append: it is absent only if no
// send of it can have taken effect.
func TestAbandon(t *testing.T) {
	r := newTestClient(t)
	r.log.down = true
	queued := r.append(1)
	r.c.Abandon(queued)
	r.events = append(r.events, r.c.Events()...)
	if len(r.events) != 1 || r.events[0].Kind != ledger.EventAbsent || !r.events[0].Final {
		t.Fatalf("an append that was never sent ended as %+v", r.events)
	}
	r.log.down = false
	r.log.onAppend = func(n int) (bool, bool) { return true, false }
	sent := r.append(2)
	r.run(30 * time.Millisecond)
	r.log.down = true
	r.c.SetDeadline(sent, r.now.Add(4*time.Second))
	r.run(3 * time.Second)
	r.want(ledger.EventUnknown, 0)
	r.run(2 * time.Second)
	r.want(ledger.EventUnknown, 1)
}

// Guards against a record that the log rejects making the other records of its
// batch fail.
func TestRefusedRecordIsIsolated(t *testing.T) {
	r := newTestClient(t)
	r.c.Follow("config", 0)
	r.log.down = true
	for i := range 5 {
		id := r.append(i)
		if i == 2 {
			r.log.refuse = id
		}
	}
	r.run(time.Second)
	r.log.down = false
	r.run(5 * time.Second)
	r.want(ledger.EventRefused, 1)
	r.want(ledger.EventConfirmed, 4)
}

// Guards against records that are skipped without an event, read twice or read out
// of order.
func TestFollowReportsGap(t *testing.T) {
	r := newTestClient(t)
	for i := range 2000 {
		r.log.records = append(r.log.records, proto.Record{ID: proto.RecordID(fmt.Sprint("x", i)), Offset: proto.Offset(i)})
	}
	r.log.first = 300
	r.c.Follow("config", 0)
	r.run(time.Second)
	r.want(ledger.EventGap, 1)
	r.want(ledger.EventRecord, 1700)
	for i, e := range r.events[1:] {
		if e.Offset != proto.Offset(300+i) {
			t.Fatalf("record %d has offset %d", i, e.Offset)
		}
	}
}

// Guards against unbounded memory, and against records lost without an error, in
// a long outage of the log.
func TestOutageIsBounded(t *testing.T) {
	r := newTestClient(t)
	r.log.down = true
	accepted := 0
	for i := range 10000 {
		if _, err := r.c.Append(r.now, "config", "k", i); err == nil {
			accepted++
		}
	}
	if _, err := r.c.Append(r.now, "config", "k", make([]byte, ledger.MaxRecordBytes)); err == nil {
		t.Error("a record above the size limit was accepted")
	}
	r.run(time.Minute)
	if sent := r.c.Counters().Reads; sent > 60 {
		t.Errorf("%d reads in an outage of a minute", sent)
	}
	if r.c.Reachable(r.now) {
		t.Error("the log counts as reachable in an outage")
	}
	r.log.down = false
	r.run(20 * time.Second)
	r.want(ledger.EventConfirmed, accepted)
	if r.log.appends > 2*accepted/100 || r.log.largest > 128 {
		t.Errorf("%d appends for %d records, largest batch %d", r.log.appends, accepted, r.log.largest)
	}
}

// Guards against dating a read of the head by its response, which would overstate
// how fresh the configuration is: the response only shows the head as of the time
// when the read was sent.
func TestHeadReadAtIsSendTime(t *testing.T) {
	r := newTestClient(t)
	r.c.Follow("config", 0)
	r.c.Tick(100)
	read := r.c.Take()[0].Msg.(proto.LogRead)
	if _, ok := r.c.HeadReadAt("config"); ok {
		t.Fatal("head read before the first response")
	}
	response := proto.LogRecords{Call: read.Call, Stream: "config"}
	r.c.Step(5000, proto.Envelope{From: proto.AgentAddr("x"), Msg: response})
	if _, ok := r.c.HeadReadAt("config"); ok {
		t.Fatal("a message from an agent counts as a response of the log")
	}
	r.c.Step(5000, proto.Envelope{From: proto.Log, Msg: response})
	if at, ok := r.c.HeadReadAt("config"); !ok || at != 100 {
		t.Errorf("head read at %d, %v", at, ok)
	}
}

// respond gives the client a message from the log and returns what it sends next.
func respond(c *ledger.Client, now proto.Instant, m proto.Message) []proto.Envelope {
	c.Step(now, proto.Envelope{From: proto.Log, Msg: m})
	return c.Take()
}

// Guards against absence that is reported as final although an append call that
// got no response may still reach the log.
func TestAbsentAfterLostSendIsNotFinal(t *testing.T) {
	c := newTestClient(t).c
	id, err := c.Append(0, "config", "k", 1)
	if err != nil {
		t.Fatal(err)
	}
	probe := c.Take()[0].Msg.(proto.LogRead)
	sent := respond(c, 1, proto.LogRecords{Call: probe.Call, Stream: "config", Head: 7})
	lost := proto.LogFailed{Call: sent[0].Msg.(proto.LogAppend).Call, Stream: "config"}
	lookup := respond(c, 2, lost)[0].Msg.(proto.LogRead)
	if lookup.From != 7 {
		t.Errorf("lookup starts at %d, want 7, the head before the append", lookup.From)
	}
	respond(c, 3, proto.LogRecords{Call: lookup.Call, Stream: "config", Head: 9, Records: []proto.Record{{Offset: 7}, {Offset: 8}}})
	c.Abandon(id)
	got := c.Events()
	if len(got) != 1 || got[0].Kind != ledger.EventAbsent || got[0].Final || got[0].Offset != 9 {
		t.Errorf("events %+v", got)
	}
}

// Guards against a record that is applied twice because a response contains records
// that were read before.
func TestOverlappingResponseIsReadOnce(t *testing.T) {
	c := newTestClient(t).c
	c.Follow("config", 0)
	c.Tick(0)
	first := c.Take()[0].Msg.(proto.LogRead)
	records := []proto.Record{{ID: "a"}, {ID: "b", Offset: 1}, {ID: "c", Offset: 2}}
	second := respond(c, 1, proto.LogRecords{Call: first.Call, Stream: "config", Head: 2, Records: records[:2]})[0].Msg.(proto.LogRead)
	respond(c, 2, proto.LogRecords{Call: second.Call, Stream: "config", Head: 3, Records: records[1:]})
	if got := c.Events(); len(got) != 3 || got[2].ID != "c" || c.Counters().Duplicates != 1 {
		t.Errorf("events %+v", got)
	}
}

// Guards against a slow log that looks as if it were down: the response to a read
// that timed out still delivers its records, once, and counts as a read of the
// head at the time when the read was sent.
func TestLateReadCounts(t *testing.T) {
	c := ledger.New(ledger.Config{Self: proto.RouterAddr("r1"), Incarnation: "i1"})
	c.Follow("config", 0)
	var reads []proto.LogRead
	for now := proto.Instant(0); len(reads) < 2; now = now.Add(50 * time.Millisecond) {
		c.Tick(now)
		for _, e := range c.Take() {
			if m, ok := e.Msg.(proto.LogRead); ok {
				reads = append(reads, m)
			}
		}
	}
	now := proto.Instant(4 * time.Second)
	record := proto.Record{ID: "x.1", Kind: "k", Offset: 0}
	for _, read := range reads {
		respond(c, now, proto.LogRecords{Call: read.Call, Stream: "config", Head: 1, Records: []proto.Record{record}})
	}
	if at, ok := c.HeadReadAt("config"); !ok || at >= proto.Instant(2*time.Second) {
		t.Errorf("head read at %v, %v, want the send time of the second read", at.Sub(0), ok)
	}
	if n := len(c.Events()); n != 1 {
		t.Errorf("%d events, want the record once", n)
	}
}
