package ledger

import (
	"slices"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// readLoop is the state of a series of reads, of which one at most is in flight.
type readLoop struct {
	call     uint64
	sentAt   proto.Instant
	deadline proto.Instant
	nextAt   proto.Instant
	failures int
}

func (r *readLoop) wake() proto.Instant {
	if r.call != 0 {
		return r.deadline
	}
	return r.nextAt
}

func (r *readLoop) expire(c *Client, now proto.Instant) {
	if r.call == 0 || now < r.deadline {
		return
	}
	c.counters.Timeouts++
	r.fail(c, now)
}

func (r *readLoop) fail(c *Client, now proto.Instant) {
	r.call = 0
	r.failures++
	r.nextAt = now.Add(c.backoff(r.failures))
}

func (r *readLoop) send(s *stream, now proto.Instant, from proto.Offset, wait time.Duration) {
	r.call = s.c.call()
	r.sentAt = now
	r.deadline = now.Add(wait + responseTimeout)
	s.c.counters.Reads++
	s.c.Send(proto.Log, proto.LogRead{Call: r.call, Stream: s.name, From: from, Max: maxReadRecords, Wait: wait})
}

// lateRead is a read of the follower that timed out. Its response may still
// arrive and is as valid as one in time; on a slow log it is often the only one.
type lateRead struct {
	call   uint64
	sentAt proto.Instant
}

// maxLateReads bounds the timed-out reads whose responses are still accepted.
// Reads start about a second apart, so a response may be several seconds late.
const maxLateReads = 8

func (s *stream) expireFollow(now proto.Instant) {
	if s.follow.call == 0 || now < s.follow.deadline {
		return
	}
	s.lateReads = append(s.lateReads, lateRead{call: s.follow.call, sentAt: s.follow.sentAt})
	if len(s.lateReads) > maxLateReads {
		s.lateReads = s.lateReads[1:]
	}
	s.follow.expire(s.c, now)
}

// takeLateRead removes a read that timed out and returns when it was sent. It
// reports false if there is no such read.
func (s *stream) takeLateRead(call uint64) (proto.Instant, bool) {
	i := slices.IndexFunc(s.lateReads, func(l lateRead) bool { return l.call == call })
	if i < 0 {
		return 0, false
	}
	sentAt := s.lateReads[i].sentAt
	s.lateReads = slices.Delete(s.lateReads, i, i+1)
	return sentAt, true
}

func (s *stream) advanceLookup(now proto.Instant) {
	if s.lookup == nil || s.lookup.call != 0 || now < s.lookup.nextAt {
		return
	}
	s.lookup.send(s, now, s.lookupFrom, 0)
}

// advanceProbe reads the head of a stream before the first append to it. On a
// followed stream the follower's reads report the head.
func (s *stream) advanceProbe(now proto.Instant) {
	if s.followed || len(s.queue) == 0 || s.headProbe.call != 0 || now < s.headProbe.nextAt {
		return
	}
	s.headProbe.send(s, now, 0, 0)
}

// isFull reports whether the owner has to drain events before more records are read.
func (s *stream) isFull() bool {
	return s.c.undrainedRecords >= maxUndrainedRecords || s.c.undrainedBytes >= maxPendingBytes
}

func (s *stream) advanceFollow(now proto.Instant) {
	if !s.followed || s.follow.call != 0 || now < s.follow.nextAt || s.isFull() {
		return
	}
	wait := time.Duration(0)
	if s.hasReadHead && s.follow.failures == 0 {
		wait = longPollWait
	}
	s.follow.send(s, now, s.nextOffset, wait)
}

// handleRecords handles the response to a read. Any record in it confirms its
// pending append, whichever read it belongs to.
func (s *stream) handleRecords(now proto.Instant, m proto.LogRecords) {
	if !wellFormed(m) {
		s.c.counters.Malformed++
		s.handleFailed(now, proto.LogFailed{Call: m.Call, Stream: m.Stream})
		return
	}
	s.c.markResponse(now)
	s.headSeen = max(s.headSeen, m.Head)
	s.headKnown = true
	lookup := s.lookup
	for _, rec := range m.Records {
		if s.confirm(rec.ID, rec.Offset) {
			s.c.counters.FoundByLookup++
		}
	}
	switch {
	case m.Call == 0:
		s.c.counters.Unexpected++
	case m.Call == s.follow.call:
		if s.handleFollowed(m, s.follow.sentAt) {
			s.follow.call = 0
			s.follow.failures = 0
		} else {
			s.follow.fail(s.c, now)
		}
	case m.Call == s.headProbe.call:
		s.headProbe = readLoop{}
	case lookup != nil && m.Call == lookup.call:
		if s.lookup != nil { // nil if the records confirmed the whole batch
			s.handleLookup(now, m)
		}
	default:
		s.handleLateRecords(m)
	}
}

// handleLateRecords handles the response to a read that timed out.
func (s *stream) handleLateRecords(m proto.LogRecords) {
	sentAt, ok := s.takeLateRead(m.Call)
	if !ok {
		s.c.counters.Unexpected++
		return
	}
	if s.handleFollowed(m, sentAt) {
		s.follow.failures = 0
	}
}

// handleFollowed delivers the records in the response to a follower's read that
// was sent at sentAt. It reports false if the response is stale or inconsistent.
func (s *stream) handleFollowed(m proto.LogRecords, sentAt proto.Instant) bool {
	if m.Head < s.nextOffset || m.First <= s.nextOffset && s.nextOffset < m.Head && len(m.Records) == 0 {
		// A response that is older than what was read, or that has no record
		// although there is one, does not show the current head.
		s.c.counters.Malformed++
		return false
	}
	if m.First > s.nextOffset {
		s.c.counters.Gaps++
		s.c.events = append(s.c.events, Event{Kind: EventGap, Stream: s.name, From: s.nextOffset, Offset: m.First})
		s.nextOffset = m.First
	}
	for _, rec := range m.Records {
		if !s.deliver(rec) {
			s.c.counters.Malformed++
			return false
		}
	}
	if s.nextOffset >= m.Head {
		s.headReadAt = max(s.headReadAt, sentAt)
		s.hasReadHead = true
	}
	return true
}

// deliver reports a record to the owner once; a record that was delivered before
// is ignored. It returns false, and delivers nothing, if offsets before the
// record are missing.
func (s *stream) deliver(rec proto.Record) bool {
	if rec.Offset < s.nextOffset {
		s.c.counters.Duplicates++
		return true
	}
	if rec.Offset > s.nextOffset {
		return false
	}
	s.nextOffset++
	s.c.counters.RecordsRead++
	s.c.undrainedRecords++
	s.c.undrainedBytes += len(rec.Body)
	s.c.events = append(s.c.events, Event{Kind: EventRecord, Stream: s.name, ID: rec.ID, Offset: rec.Offset, Record: rec})
	return true
}

// wellFormed reports whether the records have consecutive offsets below the head
// and the stream does not start beyond its head.
func wellFormed(m proto.LogRecords) bool {
	for i, rec := range m.Records {
		if rec.Offset != m.Records[0].Offset+proto.Offset(i) || rec.Offset >= m.Head {
			return false
		}
	}
	return m.First <= m.Head
}

// startsAfter reports whether the first record is beyond the offset that was
// asked for.
func startsAfter(from proto.Offset, records []proto.Record) bool {
	return len(records) > 0 && records[0].Offset > from
}

// handleFailed handles the failure of a call.
func (s *stream) handleFailed(now proto.Instant, m proto.LogFailed) {
	switch {
	case m.Call == 0:
		s.c.counters.Unexpected++
	case m.Call == s.appendCall:
		s.c.counters.Failures++
		s.handleAppendFailure(now, m.Rejected, m.Permanent, m.Detail)
	case m.Call == s.follow.call:
		s.c.counters.Failures++
		s.follow.fail(s.c, now)
	case m.Call == s.headProbe.call:
		s.c.counters.Failures++
		s.headProbe.fail(s.c, now)
	case s.lookup != nil && m.Call == s.lookup.call:
		s.c.counters.Failures++
		s.lookup.fail(s.c, now)
	default:
		s.c.counters.Unexpected++
	}
}
