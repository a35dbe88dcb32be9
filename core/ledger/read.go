package ledger

import (
	"slices"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// read is the state of a sequence of reads, one at a time.
type read struct {
	call     uint64
	sentAt   proto.Instant
	deadline proto.Instant
	after    proto.Instant
	failures int
}

func (r *read) wake() proto.Instant {
	if r.call != 0 {
		return r.deadline
	}
	return r.after
}

func (r *read) expire(c *Client, now proto.Instant) {
	if r.call == 0 || now < r.deadline {
		return
	}
	c.counters.Timeouts++
	r.fail(c, now)
}

func (r *read) fail(c *Client, now proto.Instant) {
	r.call = 0
	r.failures++
	r.after = now.Add(c.backoff(r.failures))
}

func (r *read) send(s *stream, now proto.Instant, from proto.Offset, wait time.Duration) {
	r.call = s.c.call()
	r.sentAt = now
	r.deadline = now.Add(wait + answerTimeout)
	s.c.counters.Reads++
	s.c.Send(proto.Log, proto.LogRead{Call: r.call, Stream: s.name, From: from, Max: maxReadRecords, Wait: wait})
}

// lateRead is a read of the follower that was given up. Its answer may still
// come, and proves as much as one in time: on a slow log it is often the only one.
type lateRead struct {
	call   uint64
	sentAt proto.Instant
}

// maxLateReads bounds the reads whose late answers are recognised. Reads start
// about a second apart, so it covers answers that are several seconds late.
const maxLateReads = 8

func (s *stream) expireFollow(now proto.Instant) {
	if s.follow.call == 0 || now < s.follow.deadline {
		return
	}
	s.late = append(s.late, lateRead{call: s.follow.call, sentAt: s.follow.sentAt})
	if len(s.late) > maxLateReads {
		s.late = s.late[1:]
	}
	s.follow.expire(s.c, now)
}

// takeLate returns the send time of a read that was given up, and forgets it.
func (s *stream) takeLate(call uint64) (proto.Instant, bool) {
	i := slices.IndexFunc(s.late, func(l lateRead) bool { return l.call == call })
	if i < 0 {
		return 0, false
	}
	sentAt := s.late[i].sentAt
	s.late = slices.Delete(s.late, i, i+1)
	return sentAt, true
}

func (s *stream) advanceLookup(now proto.Instant) {
	if s.lookup == nil || s.lookup.call != 0 || now < s.lookup.after {
		return
	}
	s.lookup.send(s, now, s.lookupFrom, 0)
}

// advanceProbe reads the head of a stream before the first append to it. A
// follower's own reads tell the head as well.
func (s *stream) advanceProbe(now proto.Instant) {
	if s.followed || len(s.queue) == 0 || s.probe.call != 0 || now < s.probe.after {
		return
	}
	s.probe.send(s, now, 0, 0)
}

// full reports whether the owner has to drain events before more is read.
func (s *stream) full() bool {
	return s.c.undrained >= maxUndrained || s.c.undrainedBytes >= maxPendingBytes
}

func (s *stream) advanceFollow(now proto.Instant) {
	if !s.followed || s.follow.call != 0 || now < s.follow.after || s.full() {
		return
	}
	wait := time.Duration(0)
	if s.headRead && s.follow.failures == 0 {
		wait = readWait
	}
	s.follow.send(s, now, s.next, wait)
}

// records takes the answer to a read.
func (s *stream) records(now proto.Instant, m proto.LogRecords) {
	if !wellFormed(m) {
		s.c.counters.Malformed++
		s.failed(now, proto.LogFailed{Call: m.Call, Stream: m.Stream})
		return
	}
	s.c.heard(now)
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
		if s.follows(m, s.follow.sentAt) {
			s.follow.call = 0
			s.follow.failures = 0
		} else {
			s.follow.fail(s.c, now)
		}
	case m.Call == s.probe.call:
		s.probe = read{}
	case lookup != nil && m.Call == lookup.call:
		if s.lookup != nil { // else one of the records settled it
			s.lookedUp(now, m)
		}
	default:
		s.lateRecords(m)
	}
}

// lateRecords takes the answer to a read that was given up.
func (s *stream) lateRecords(m proto.LogRecords) {
	sentAt, ok := s.takeLate(m.Call)
	if !ok {
		s.c.counters.Unexpected++
		return
	}
	if s.follows(m, sentAt) {
		s.follow.failures = 0
	}
}

// follows delivers the records of an answer to a read of the follower that was
// sent at sentAt. It reports false if the answer proves nothing.
func (s *stream) follows(m proto.LogRecords, sentAt proto.Instant) bool {
	if m.Head < s.next || m.First <= s.next && s.next < m.Head && len(m.Records) == 0 {
		// An answer that is older than what was read, or that brings no
		// record although there is one, proves nothing about the head.
		s.c.counters.Malformed++
		return false
	}
	if m.First > s.next {
		s.c.counters.Gaps++
		s.c.events = append(s.c.events, Event{Kind: EventGap, Stream: s.name, From: s.next, Offset: m.First})
		s.next = m.First
	}
	for _, rec := range m.Records {
		if !s.deliver(rec) {
			s.c.counters.Malformed++
			return false
		}
	}
	if s.next >= m.Head {
		s.headReadAt = max(s.headReadAt, sentAt)
		s.headRead = true
	}
	return true
}

// deliver reports one record to the owner, once. It fails on a hole, which
// is never skipped.
func (s *stream) deliver(rec proto.Record) bool {
	if rec.Offset < s.next {
		s.c.counters.Duplicates++
		return true
	}
	if rec.Offset > s.next {
		return false
	}
	s.next++
	s.c.counters.RecordsRead++
	s.c.undrained++
	s.c.undrainedBytes += len(rec.Body)
	s.c.events = append(s.c.events, Event{Kind: EventRecord, Stream: s.name, ID: rec.ID, Offset: rec.Offset, Record: rec})
	return true
}

// wellFormed reports whether the records have consecutive offsets below the head.
func wellFormed(m proto.LogRecords) bool {
	for i, rec := range m.Records {
		if rec.Offset != m.Records[0].Offset+proto.Offset(i) || rec.Offset >= m.Head {
			return false
		}
	}
	return m.First <= m.Head
}

// hole reports whether the records start beyond the offset asked for.
func hole(from proto.Offset, records []proto.Record) bool {
	return len(records) > 0 && records[0].Offset > from
}

// failed takes the news that a call got no answer.
func (s *stream) failed(now proto.Instant, m proto.LogFailed) {
	switch {
	case m.Call == 0:
		s.c.counters.Unexpected++
	case m.Call == s.appendCall:
		s.c.counters.Failures++
		s.appendFailed(now, m.Rejected, m.Permanent, m.Detail)
	case m.Call == s.follow.call:
		s.c.counters.Failures++
		s.follow.fail(s.c, now)
	case m.Call == s.probe.call:
		s.c.counters.Failures++
		s.probe.fail(s.c, now)
	case s.lookup != nil && m.Call == s.lookup.call:
		s.c.counters.Failures++
		s.lookup.fail(s.c, now)
	default:
		s.c.counters.Unexpected++
	}
}
