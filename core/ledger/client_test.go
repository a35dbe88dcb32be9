package ledger_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/core/ledger"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// fakeLog keeps one stream and loses answers as told.
type fakeLog struct {
	records []proto.Record
	first   proto.Offset
	appends int
	largest int
	// onAppend decides whether an append takes effect and is answered.
	onAppend func(n int) (effect, answer bool)
	down     bool
	refuse   proto.RecordID
	late     []proto.Envelope
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
	effect, answer := true, true
	if l.onAppend != nil {
		effect, answer = l.onAppend(l.appends)
	}
	first := l.head()
	if effect {
		for _, r := range m.Records {
			r.Offset = l.head()
			l.records = append(l.records, r)
		}
	}
	done := proto.LogAppended{Call: m.Call, Stream: m.Stream, First: first}
	if !answer {
		l.late = append(l.late, proto.Envelope{From: proto.Log, Msg: done})
		return nil
	}
	return done
}

type rig struct {
	t      *testing.T
	log    *fakeLog
	c      *ledger.Client
	now    proto.Instant
	events []ledger.Event
}

func newRig(t *testing.T) *rig {
	return &rig{t: t, log: &fakeLog{}, c: ledger.New(ledger.Config{Self: proto.RouterAddr("r1"), Incarnation: "i1", Seed: 1})}
}

// run advances virtual time, answering every message after 1 ms and a long
// poll when there is something new or its time is over.
func (r *rig) run(d time.Duration) {
	end := r.now.Add(d)
	for ; r.now < end; r.now = r.now.Add(time.Millisecond) {
		r.c.Tick(r.now)
		for _, e := range r.c.Take() {
			answer := r.log.handle(e)
			if poll, ok := answer.(proto.LogRecords); ok && len(poll.Records) == 0 {
				r.now = r.now.Add(20 * time.Millisecond)
			}
			if answer != nil {
				r.c.Step(r.now.Add(time.Millisecond), proto.Envelope{From: proto.Log, To: e.From, Msg: answer})
			}
		}
		r.events = append(r.events, r.c.Events()...)
	}
}

func (r *rig) append(n int) proto.RecordID {
	id, err := r.c.Append(r.now, "config", "k", n)
	if err != nil {
		r.t.Fatal(err)
	}
	return id
}

func (r *rig) count(kind ledger.EventKind) int {
	n := 0
	for _, e := range r.events {
		if e.Kind == kind {
			n++
		}
	}
	return n
}

func (r *rig) want(kind ledger.EventKind, n int) {
	r.t.Helper()
	if got := r.count(kind); got != n {
		r.t.Errorf("%d events of kind %d, want %d", got, kind, n)
	}
}

// Guards against a second copy when the append took effect and its answer was lost.
func TestLostAnswerIsLookedUp(t *testing.T) {
	for _, followed := range []bool{true, false} {
		r := newRig(t)
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

// Guards against a record that is lost for good when an append had no effect,
// and against a repetition under another id.
func TestLostAppendIsRepeatedWithSameID(t *testing.T) {
	r := newRig(t)
	r.log.onAppend = func(n int) (bool, bool) { return n > 2, n > 2 }
	id := r.append(1)
	r.run(10 * time.Second)
	r.want(ledger.EventConfirmed, 1)
	if len(r.log.records) != 1 || r.log.records[0].ID != id || r.c.Counters().Lookups != 2 {
		t.Errorf("records %v, counters %+v", r.log.records, r.c.Counters())
	}
}

// Guards against a confirmation that is dropped or reported twice since it
// came after the client had given up waiting for it.
func TestLateAnswerConfirmsOnce(t *testing.T) {
	r := newRig(t)
	r.log.onAppend = func(n int) (bool, bool) { return true, false }
	r.append(1)
	r.run(30 * time.Millisecond)
	r.log.down = true
	r.run(3 * time.Second)
	for range 2 {
		r.c.Step(r.now, r.log.late[0])
	}
	r.log.down = false
	r.run(time.Second)
	r.want(ledger.EventConfirmed, 1)
}

// Guards against "absent" for a record that is in the log, when a replica
// answers the lookup from an older state.
func TestStaleLookupProvesNothing(t *testing.T) {
	r := newRig(t)
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

// Guards against an outcome that the client makes up: an abandoned append is
// absent only if no send of it can have had an effect.
func TestAbandon(t *testing.T) {
	r := newRig(t)
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

// Guards against one record that the log refuses taking its neighbours along.
func TestRefusedRecordIsIsolated(t *testing.T) {
	r := newRig(t)
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

// Guards against records that are skipped silently, read twice or out of order.
func TestFollowReportsGap(t *testing.T) {
	r := newRig(t)
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

// Guards against unbounded memory and against loss without an error in a long outage.
func TestOutageIsBounded(t *testing.T) {
	r := newRig(t)
	r.log.down = true
	taken := 0
	for i := range 10000 {
		if _, err := r.c.Append(r.now, "config", "k", i); err == nil {
			taken++
		}
	}
	if _, err := r.c.Append(r.now, "config", "k", make([]byte, ledger.MaxRecordBytes)); err == nil {
		t.Error("a record above the limit was taken")
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
	r.want(ledger.EventConfirmed, taken)
	if r.log.appends > 2*taken/100 || r.log.largest > 128 {
		t.Errorf("%d appends for %d records, largest %d", r.log.appends, taken, r.log.largest)
	}
}

// Guards against a proof of freshness that is younger than the read behind it.
func TestHeadReadAtIsSendTime(t *testing.T) {
	r := newRig(t)
	r.c.Follow("config", 0)
	r.c.Tick(100)
	read := r.c.Take()[0].Msg.(proto.LogRead)
	if _, ok := r.c.HeadReadAt("config"); ok {
		t.Fatal("fresh before the first answer")
	}
	answer := proto.LogRecords{Call: read.Call, Stream: "config"}
	r.c.Step(5000, proto.Envelope{From: proto.AgentAddr("x"), Msg: answer})
	if _, ok := r.c.HeadReadAt("config"); ok {
		t.Fatal("a message of another party counts as an answer of the log")
	}
	r.c.Step(5000, proto.Envelope{From: proto.Log, Msg: answer})
	if at, ok := r.c.HeadReadAt("config"); !ok || at != 100 {
		t.Errorf("head read at %d, %v", at, ok)
	}
}

func answer(c *ledger.Client, now proto.Instant, m proto.Message) []proto.Envelope {
	c.Step(now, proto.Envelope{From: proto.Log, Msg: m})
	return c.Take()
}

// Guards against absence that is called final although the append may still
// be under way to the log.
func TestAbsentAfterDoubtfulSendIsNotFinal(t *testing.T) {
	c := newRig(t).c
	id, err := c.Append(0, "config", "k", 1)
	if err != nil {
		t.Fatal(err)
	}
	probe := c.Take()[0].Msg.(proto.LogRead)
	sent := answer(c, 1, proto.LogRecords{Call: probe.Call, Stream: "config", Head: 7})
	lost := proto.LogFailed{Call: sent[0].Msg.(proto.LogAppend).Call, Stream: "config"}
	lookup := answer(c, 2, lost)[0].Msg.(proto.LogRead)
	if lookup.From != 7 {
		t.Errorf("lookup starts at %d, want the head before the attempt", lookup.From)
	}
	answer(c, 3, proto.LogRecords{Call: lookup.Call, Stream: "config", Head: 9, Records: []proto.Record{{Offset: 7}, {Offset: 8}}})
	c.Abandon(id)
	got := c.Events()
	if len(got) != 1 || got[0].Kind != ledger.EventAbsent || got[0].Final || got[0].Offset != 9 {
		t.Errorf("events %+v", got)
	}
}

// Guards against a record that is folded twice when an answer overlaps what was read.
func TestOverlappingAnswerIsReadOnce(t *testing.T) {
	c := newRig(t).c
	c.Follow("config", 0)
	c.Tick(0)
	first := c.Take()[0].Msg.(proto.LogRead)
	records := []proto.Record{{ID: "a"}, {ID: "b", Offset: 1}, {ID: "c", Offset: 2}}
	second := answer(c, 1, proto.LogRecords{Call: first.Call, Stream: "config", Head: 2, Records: records[:2]})[0].Msg.(proto.LogRead)
	answer(c, 2, proto.LogRecords{Call: second.Call, Stream: "config", Head: 3, Records: records[1:]})
	if got := c.Events(); len(got) != 3 || got[2].ID != "c" || c.Counters().Duplicates != 1 {
		t.Errorf("events %+v", got)
	}
}

// Guards against a log that is slow and looks as if it were down: the answer to
// a read that was given up brings its records, once, and proves the head as of
// the read's sending.
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
		answer(c, now, proto.LogRecords{Call: read.Call, Stream: "config", Head: 1, Records: []proto.Record{record}})
	}
	if at, ok := c.HeadReadAt("config"); !ok || at >= proto.Instant(2*time.Second) {
		t.Errorf("head read at %v, %v, want the send time of the second read", at.Sub(0), ok)
	}
	if n := len(c.Events()); n != 1 {
		t.Errorf("%d events, want the record once", n)
	}
}
