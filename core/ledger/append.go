package ledger

import (
	"slices"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// pendingAppend is an append whose final event has not been reported.
type pendingAppend struct {
	rec      proto.Record
	stream   *stream
	deadline proto.Instant
	// mayAppear is set once a send got no response: a copy of the record may
	// still appear in the log.
	mayAppear bool
	// absentBelow is the offset below which the last lookup did not find the record.
	absentBelow proto.Offset
	done        bool
}

// stream is the state of one log stream: the appends to it, with at most one
// batch in flight, and the position up to which it is followed.
type stream struct {
	c    *Client
	name string

	// queue holds the appends that are in no batch yet.
	queue []*pendingAppend
	// batch holds the appends that were sent and are still pending.
	batch []*pendingAppend
	// singleRecordBatches is the number of batches that are still to be sent with
	// a single record, to find the record for which the log refused a batch.
	singleRecordBatches int
	// sentIDs maps each append call of the batch to the record ids that it carried.
	sentIDs        map[uint64][]proto.RecordID
	appendCall     uint64
	appendDeadline proto.Instant
	nextAppendAt   proto.Instant
	appendFailures int
	// lookup reads the stream to find the batch. It is set while the outcome of
	// the batch is unknown.
	lookup *readLoop
	// lookupFrom is a lower bound for the offset of the batch.
	lookupFrom proto.Offset
	// headSeen is the highest head offset that the log has reported.
	headSeen proto.Offset
	// headKnown is set once the log has reported its head. Nothing is appended
	// before that, because a lookup would not know where to start.
	headKnown bool
	// headProbe reads the head before the first append.
	headProbe readLoop

	followed bool
	// nextOffset is the offset of the next record to deliver.
	nextOffset proto.Offset
	follow     readLoop
	lateReads  []lateRead
	// headReadAt is when the latest read that reached the head was sent.
	headReadAt  proto.Instant
	hasReadHead bool
}

// isSending reports whether an append call that carries e is in flight.
func (s *stream) isSending(e *pendingAppend) bool { return s.appendCall != 0 && s.inBatch(e) }

func (s *stream) inBatch(e *pendingAppend) bool { return slices.Contains(s.batch, e) }

// advance sends every append and read that is due.
func (s *stream) advance(now proto.Instant) {
	s.advanceAppend(now)
	s.advanceLookup(now)
	s.advanceFollow(now)
}

func (s *stream) advanceAppend(now proto.Instant) {
	if s.appendCall != 0 || s.lookup != nil || now < s.nextAppendAt {
		return
	}
	s.batch = removeDone(s.batch)
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
	clear(s.sentIDs)
	s.lookupFrom = s.headSeen
	s.sendBatch(now)
}

// fillBatch moves queued appends into the batch, up to the limits of a batch.
func (s *stream) fillBatch() {
	limit := maxBatchRecords
	if s.singleRecordBatches > 0 {
		s.singleRecordBatches--
		limit = 1
	}
	s.queue = removeDone(s.queue)
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
	if len(s.sentIDs) >= maxTrackedSends {
		clear(s.sentIDs)
	}
	s.appendCall = s.c.call()
	s.sentIDs[s.appendCall] = ids
	s.appendDeadline = now.Add(responseTimeout)
	s.nextAppendAt = now.Add(minAppendInterval)
	s.c.counters.Appends++
	s.c.counters.Records += int64(len(records))
	s.c.Send(proto.Log, proto.LogAppend{Call: s.appendCall, Stream: s.name, Records: records})
}

// handleAppended handles the confirmation of an append call. It may be late and
// belong to an earlier send of the batch.
func (s *stream) handleAppended(now proto.Instant, m proto.LogAppended) {
	s.c.markResponse(now)
	ids, ok := s.sentIDs[m.Call]
	if !ok {
		s.c.counters.Unexpected++
		return
	}
	delete(s.sentIDs, m.Call)
	s.headSeen = max(s.headSeen, m.First+proto.Offset(len(ids)))
	for i, id := range ids {
		s.confirm(id, m.First+proto.Offset(i))
	}
	if m.Call == s.appendCall {
		s.appendCall = 0
		s.appendFailures = 0
	}
}

// confirm ends the append of a record that is in the log at the given offset.
// It reports whether that append was pending.
func (s *stream) confirm(id proto.RecordID, at proto.Offset) bool {
	e := s.c.pending[id]
	if e == nil || e.stream != s {
		return false
	}
	s.c.finish(e, Event{Kind: EventConfirmed, Offset: at})
	s.batch = removeDone(s.batch)
	if len(s.batch) == 0 {
		s.lookup = nil
		s.appendFailures = 0
	}
	return true
}

// handleAppendFailure handles an append call that failed or timed out. If the log
// rejected the call, the records were not appended; otherwise a lookup has to
// find out whether they were.
func (s *stream) handleAppendFailure(now proto.Instant, rejected, permanent bool, detail string) {
	call := s.appendCall
	s.appendCall = 0
	s.appendFailures++
	s.nextAppendAt = now.Add(s.c.backoff(s.appendFailures))
	s.batch = removeDone(s.batch)
	if !rejected {
		for _, e := range s.batch {
			e.mayAppear = true
		}
		s.startLookup()
		return
	}
	delete(s.sentIDs, call)
	if !permanent {
		return
	}
	if len(s.batch) == 1 {
		s.c.finish(s.batch[0], Event{Kind: EventRefused, Detail: detail})
		s.batch = nil
		return
	}
	s.singleRecordBatches = len(s.batch)
	s.queue = slices.Concat(s.batch, s.queue)
	s.batch = nil
}

// startLookup starts to read the stream in search of the batch.
func (s *stream) startLookup() {
	if len(s.batch) == 0 {
		return
	}
	s.c.counters.Lookups++
	s.lookup = &readLoop{}
}

// handleLookup continues a lookup with the response to one of its reads. A lookup
// that reaches the head without finding the batch ends, and the batch is sent again.
func (s *stream) handleLookup(now proto.Instant, m proto.LogRecords) {
	if m.First > s.lookupFrom {
		s.endBatchUnknown(m.First)
		return
	}
	end := s.lookupFrom
	if n := len(m.Records); n > 0 {
		end = max(end, m.Records[n-1].Offset+1)
	}
	if m.Head < s.headSeen || end == s.lookupFrom && end < m.Head || startsAfter(s.lookupFrom, m.Records) {
		// A response that is older than the known head, or that skips offsets, does
		// not prove that the batch is absent.
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

// endBatchUnknown ends the appends of the batch with EventUnknown. Retention has
// removed offsets at which the batch may have been, so that sending it again
// could append it twice.
func (s *stream) endBatchUnknown(first proto.Offset) {
	for _, e := range removeDone(s.batch) {
		s.c.finish(e, Event{Kind: EventUnknown, Offset: first, Detail: "retention passed the offsets of the append"})
	}
	s.batch = nil
	s.lookup = nil
}

// expire times out calls that got no response and abandons appends whose deadline
// has passed.
func (s *stream) expire(now proto.Instant) {
	if s.appendCall != 0 && now >= s.appendDeadline {
		s.c.counters.Timeouts++
		s.handleAppendFailure(now, false, false, "")
	}
	s.expireFollow(now)
	s.headProbe.expire(s.c, now)
	if s.lookup != nil {
		s.lookup.expire(s.c, now)
	}
	s.abandonExpired(now, s.batch)
	s.abandonExpired(now, s.queue)
	if s.batch = removeDone(s.batch); len(s.batch) == 0 {
		s.lookup = nil
	}
}

func (s *stream) abandonExpired(now proto.Instant, list []*pendingAppend) {
	for _, e := range list {
		if !e.done && now >= e.deadline {
			s.c.Abandon(e.rec.ID)
		}
	}
}

// wake returns the next instant at which expire or advance has something to do.
func (s *stream) wake() proto.Instant {
	wake := proto.Never
	for _, list := range [][]*pendingAppend{s.batch, s.queue} {
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
		wake = min(wake, s.nextAppendAt)
	case !s.followed:
		wake = min(wake, max(s.nextAppendAt, s.headProbe.wake()))
	}
	if s.lookup != nil {
		wake = min(wake, s.lookup.wake())
	}
	if s.followed && (s.follow.call != 0 || !s.isFull()) {
		wake = min(wake, s.follow.wake())
	}
	return wake
}

func removeDone(list []*pendingAppend) []*pendingAppend {
	return slices.DeleteFunc(list, func(e *pendingAppend) bool { return e.done })
}
