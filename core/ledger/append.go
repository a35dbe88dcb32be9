package ledger

import (
	"slices"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// entry is one append that has not ended.
type entry struct {
	rec      proto.Record
	stream   *stream
	deadline proto.Instant
	// doubtful is set once a send had no answer: a copy may still appear.
	doubtful bool
	// absentBelow is the offset below which a lookup did not find the record.
	absentBelow proto.Offset
	done        bool
}

// stream is the state of one log stream: the appends to it, of which one
// batch at most is under way, and the position up to which it is followed.
type stream struct {
	c    *Client
	name string
	pace time.Duration

	queue []*entry
	// batch holds the entries that were sent and have not ended.
	batch []*entry
	// single is the number of batches to send with one record only, to find
	// the record for which the log refused a batch.
	single int
	// sends maps the calls of the batch to the record ids that they carried.
	sends          map[uint64][]proto.RecordID
	appendCall     uint64
	appendDeadline proto.Instant
	appendAfter    proto.Instant
	appendFailures int
	// lookup is set while the outcome of the batch is unknown.
	lookup *read
	// lookupFrom is a lower bound of the offset of the batch.
	lookupFrom proto.Offset
	// headSeen is the highest head that the log has reported.
	headSeen proto.Offset
	// headKnown is set once headSeen comes from the log. Nothing is appended
	// before, since a lookup would not know where to start.
	headKnown bool
	probe     read

	followed   bool
	next       proto.Offset
	follow     read
	late       []lateRead
	headReadAt proto.Instant
	headRead   bool
}

// sending reports whether an append of e is under way.
func (s *stream) sending(e *entry) bool { return s.appendCall != 0 && s.inBatch(e) }

func (s *stream) inBatch(e *entry) bool { return slices.Contains(s.batch, e) }

// advance sends whatever may be sent.
func (s *stream) advance(now proto.Instant) {
	s.advanceAppend(now)
	s.advanceLookup(now)
	s.advanceFollow(now)
}

func (s *stream) advanceAppend(now proto.Instant) {
	if s.appendCall != 0 || s.lookup != nil || now < s.appendAfter {
		return
	}
	s.batch = withoutDone(s.batch)
	if len(s.batch) > 0 {
		s.c.counters.Reappends++
		s.sendBatch(now)
		return
	}
	if !s.headKnown {
		s.advanceProbe(now)
		return
	}
	s.fillBatch()
	if len(s.batch) == 0 {
		return
	}
	clear(s.sends)
	s.lookupFrom = s.headSeen
	s.sendBatch(now)
}

func (s *stream) fillBatch() {
	limit := maxBatchRecords
	if s.single > 0 {
		s.single--
		limit = 1
	}
	s.queue = withoutDone(s.queue)
	size, n := 0, 0
	for n < len(s.queue) && n < limit {
		size += len(s.queue[n].rec.Body)
		if n > 0 && size > maxBatchBytes {
			break
		}
		n++
	}
	s.batch = slices.Clone(s.queue[:n])
	s.queue = slices.Delete(s.queue, 0, n)
}

func (s *stream) sendBatch(now proto.Instant) {
	records := make([]proto.Record, len(s.batch))
	ids := make([]proto.RecordID, len(s.batch))
	for i, e := range s.batch {
		records[i] = e.rec
		ids[i] = e.rec.ID
	}
	if len(s.sends) >= maxTrackedSends {
		clear(s.sends)
	}
	s.appendCall = s.c.call()
	s.sends[s.appendCall] = ids
	s.appendDeadline = now.Add(answerTimeout)
	s.appendAfter = now.Add(s.pace)
	s.c.counters.Appends++
	s.c.counters.Records += int64(len(records))
	s.c.Send(proto.Log, proto.LogAppend{Call: s.appendCall, Stream: s.name, Records: records})
}

// appended takes a confirmation, also a late one of an earlier send.
func (s *stream) appended(now proto.Instant, m proto.LogAppended) {
	s.c.heard(now)
	ids, ok := s.sends[m.Call]
	if !ok {
		s.c.counters.Unexpected++
		return
	}
	delete(s.sends, m.Call)
	s.headSeen = max(s.headSeen, m.First+proto.Offset(len(ids)))
	for i, id := range ids {
		s.confirm(id, m.First+proto.Offset(i))
	}
	if m.Call == s.appendCall {
		s.appendCall = 0
		s.appendFailures = 0
	}
}

// confirm ends an append whose record is known to be in the log.
func (s *stream) confirm(id proto.RecordID, at proto.Offset) bool {
	e := s.c.pending[id]
	if e == nil || e.stream != s {
		return false
	}
	s.c.finish(e, Event{Kind: EventConfirmed, Offset: at})
	s.batch = withoutDone(s.batch)
	if len(s.batch) == 0 {
		s.lookup = nil
		s.appendFailures = 0
	}
	return true
}

// appendFailed handles an append without a confirmation.
func (s *stream) appendFailed(now proto.Instant, rejected, permanent bool, detail string) {
	call := s.appendCall
	s.appendCall = 0
	s.appendFailures++
	s.appendAfter = now.Add(s.c.backoff(s.appendFailures))
	s.batch = withoutDone(s.batch)
	if !rejected {
		for _, e := range s.batch {
			e.doubtful = true
		}
		s.startLookup()
		return
	}
	delete(s.sends, call)
	if !permanent {
		return
	}
	if len(s.batch) == 1 {
		s.c.finish(s.batch[0], Event{Kind: EventRefused, Detail: detail})
		s.batch = nil
		return
	}
	s.single = len(s.batch)
	s.queue = slices.Concat(s.batch, s.queue)
	s.batch = nil
}

func (s *stream) startLookup() {
	if len(s.batch) == 0 {
		return
	}
	s.c.counters.Lookups++
	s.lookup = &read{}
}

// lookedUp continues a lookup after one of its reads was answered.
func (s *stream) lookedUp(now proto.Instant, m proto.LogRecords) {
	if m.First > s.lookupFrom {
		s.lostEvidence(m.First)
		return
	}
	end := s.lookupFrom
	if n := len(m.Records); n > 0 {
		end = max(end, m.Records[n-1].Offset+1)
	}
	if m.Head < s.headSeen || end == s.lookupFrom && end < m.Head || hole(s.lookupFrom, m.Records) {
		// An answer that is older than what was seen, or that skips offsets, proves nothing.
		s.c.counters.Malformed++
		s.lookup.fail(s.c, now)
		return
	}
	s.lookup.call = 0
	s.lookup.failures = 0
	s.lookupFrom = end
	if end < m.Head {
		return
	}
	for _, e := range s.batch {
		e.absentBelow = m.Head
	}
	s.lookup = nil
}

// lostEvidence ends the batch as unknown: retention removed offsets at which
// it may have been, so a repetition could be a second effect.
func (s *stream) lostEvidence(first proto.Offset) {
	for _, e := range withoutDone(s.batch) {
		s.c.finish(e, Event{Kind: EventUnknown, Offset: first, Detail: "retention passed the offsets of the append"})
	}
	s.batch = nil
	s.lookup = nil
}

// expire gives up on answers and appends whose time is over.
func (s *stream) expire(now proto.Instant) {
	if s.appendCall != 0 && now >= s.appendDeadline {
		s.c.counters.Timeouts++
		s.appendFailed(now, false, false, "")
	}
	s.expireFollow(now)
	s.probe.expire(s.c, now)
	if s.lookup != nil {
		s.lookup.expire(s.c, now)
	}
	s.abandonExpired(now, s.batch)
	s.abandonExpired(now, s.queue)
	if s.batch = withoutDone(s.batch); len(s.batch) == 0 {
		s.lookup = nil
	}
}

func (s *stream) abandonExpired(now proto.Instant, list []*entry) {
	for _, e := range list {
		if !e.done && now >= e.deadline {
			s.c.Abandon(e.rec.ID)
		}
	}
}

func (s *stream) wake() proto.Instant {
	wake := proto.Never
	for _, list := range [][]*entry{s.batch, s.queue} {
		for _, e := range list {
			if !e.done {
				wake = min(wake, e.deadline)
			}
		}
	}
	switch {
	case s.appendCall != 0:
		wake = min(wake, s.appendDeadline)
	case s.lookup != nil || len(s.batch)+len(s.queue) == 0:
	case s.headKnown || len(s.batch) > 0:
		wake = min(wake, s.appendAfter)
	case !s.followed:
		wake = min(wake, max(s.appendAfter, s.probe.wake()))
	}
	if s.lookup != nil {
		wake = min(wake, s.lookup.wake())
	}
	if s.followed && (s.follow.call != 0 || !s.full()) {
		wake = min(wake, s.follow.wake())
	}
	return wake
}

func withoutDone(list []*entry) []*entry {
	return slices.DeleteFunc(list, func(e *entry) bool { return e.done })
}
