// Package pace measures how fast endpoints produce the events of streams and
// process prompts, and estimates how late the events of a further stream would
// be.
package pace

import (
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// Lateness is which of a route's bounds a stream has exceeded.
type Lateness string

// Bounds of a stream.
const (
	NotLate Lateness = ""
	// LateTarget means that the first event came after the route's target latency.
	LateTarget Lateness = "target"
	// LateGap means that two events were further apart than the route permits.
	LateGap Lateness = "gap"
)

// Timing records when the events of one attempt's response arrived. It is not
// safe for concurrent use.
type Timing struct {
	// First and Last are when the first and the last event arrived, or 0.
	First, Last proto.Instant
	// Events is the number of events.
	Events int
	// LongestGap is the longest time between two successive events, GapOffset the
	// time from the first event to the start of that gap, and GapRunning the
	// number of requests at the endpoint at its end. They are 0 if there were
	// fewer than two events.
	LongestGap, GapOffset time.Duration
	GapRunning            int
	// GapOwnDelay is the part of LongestGap in which the router itself did not run.
	GapOwnDelay time.Duration
	// runningSum is the sum of the number of requests over all events.
	runningSum int
	// ownDelay is the router's total delay at the last event.
	ownDelay time.Duration
}

// Record records the arrival of an event. The argument running is the number of
// requests that the endpoint is believed to hold, ownDelay the total time in which
// the router was ready to run but did not.
func (t *Timing) Record(now proto.Instant, running int, ownDelay time.Duration) {
	t.Events++
	t.runningSum += running
	if t.Events == 1 {
		t.First, t.Last, t.ownDelay = now, now, ownDelay
		return
	}
	if gap := now.Sub(t.Last); gap > t.LongestGap {
		t.LongestGap, t.GapOffset, t.GapRunning = gap, t.Last.Sub(t.First), running
		t.GapOwnDelay = min(gap, max(0, ownDelay-t.ownDelay))
	}
	t.Last, t.ownDelay = now, ownDelay
}

// Duration returns the time from the first to the last event.
func (t *Timing) Duration() time.Duration { return t.Last.Sub(t.First) }

// Lateness returns which bound was exceeded, for a stream that was requested at
// a time; 0 means no bound. The gap is checked first, as it depends on the
// endpoint alone.
func (t *Timing) Lateness(requested proto.Instant, target, gap time.Duration) Lateness {
	switch {
	case t.Events == 0:
		return NotLate
	case gap > 0 && t.LongestGap > gap:
		return LateGap
	case target > 0 && t.First.Sub(requested) > target:
		return LateTarget
	}
	return NotLate
}
