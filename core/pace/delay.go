package pace

import (
	"sync/atomic"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// OwnDelay measures for how long a process was ready to run but did not, from a tick
// that is due at equal intervals. It is safe for concurrent use.
type OwnDelay struct {
	// Interval is the time between two ticks, and the resolution.
	Interval time.Duration

	total    atomic.Int64
	tickedAt atomic.Int64
	// last is the delay of the last tick.
	last atomic.Int64
}

// Tick records that a tick came.
func (d *OwnDelay) Tick(now proto.Instant) {
	delay := int64(d.overdue(now))
	d.total.Add(delay)
	d.last.Store(delay)
	d.tickedAt.Store(int64(now))
}

// Total returns the delay so far, with that of a tick that is overdue.
func (d *OwnDelay) Total(now proto.Instant) time.Duration {
	return time.Duration(d.total.Load()) + d.overdue(now)
}

// Behind returns for how long the process did not run until just now, so that it may not
// have handled what arrived meanwhile.
func (d *OwnDelay) Behind(now proto.Instant) time.Duration {
	return max(time.Duration(d.last.Load()), d.overdue(now))
}

func (d *OwnDelay) overdue(now proto.Instant) time.Duration {
	last := proto.Instant(d.tickedAt.Load())
	if last == 0 {
		return 0
	}
	return max(0, now.Sub(last)-2*d.Interval)
}
