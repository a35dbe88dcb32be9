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
}

// Record records the arrival of an event. The argument running is the number of
// requests that the endpoint is believed to hold.
func (t *Timing) Record(now proto.Instant, running int) {
	t.Events++
	if t.Events == 1 {
		t.First, t.Last = now, now
		return
	}
	if gap := now.Sub(t.Last); gap > t.LongestGap {
		t.LongestGap, t.GapOffset, t.GapRunning = gap, t.Last.Sub(t.First), running
	}
	t.Last = now
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
