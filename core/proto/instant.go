package proto

import "time"

// Instant is a point in time on one node's own monotonic clock, in
// nanoseconds. Instants of different nodes must never be compared.
type Instant int64

// Never is the wake-up time of a machine that needs no tick.
const Never Instant = 1<<63 - 1

// Add returns the instant d after t; Never stays Never.
func (t Instant) Add(d time.Duration) Instant {
	if t == Never {
		return Never
	}
	return t + Instant(d)
}

// Sub returns the time elapsed from u to t.
func (t Instant) Sub(u Instant) time.Duration { return time.Duration(t - u) }

// Before reports whether t is earlier than u.
func (t Instant) Before(u Instant) bool { return t < u }

// Earliest returns the earliest of the given instants, or Never if there is none.
func Earliest(ts ...Instant) Instant {
	first := Never
	for _, t := range ts {
		first = min(first, t)
	}
	return first
}
