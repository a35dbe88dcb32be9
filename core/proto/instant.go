package proto

import "time"

// Instant is a time in nanoseconds on the monotonic clock of one node.
// Instants of different nodes must not be compared.
type Instant int64

// Never is later than every other Instant. A machine that needs no Tick returns
// it from Wake.
const Never Instant = 1<<63 - 1

// Add returns t+d, or Never if t is Never.
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

// Earliest returns the earliest of the given instants, or Never if there are
// none.
func Earliest(ts ...Instant) Instant {
	first := Never
	for _, t := range ts {
		first = min(first, t)
	}
	return first
}
