package pace

import (
	"sync/atomic"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// OwnDelay measures for how long a process was ready to run but did not, from a tick
// that is due at equal intervals. It is safe for concurrent use.
type OwnDelay struct {
	interval time.Duration
	total    atomic.Int64
	tickedAt atomic.Int64
}

// NewOwnDelay returns a measurement with ticks at an interval, which is also its
// resolution.
func NewOwnDelay(interval time.Duration) *OwnDelay { return &OwnDelay{interval: interval} }

// Tick records that a tick came.
func (d *OwnDelay) Tick(now proto.Instant) {
	d.total.Add(int64(d.overdue(now)))
	d.tickedAt.Store(int64(now))
}

// Total returns the delay so far, with that of a tick that is overdue.
func (d *OwnDelay) Total(now proto.Instant) time.Duration {
	return time.Duration(d.total.Load()) + d.overdue(now)
}

func (d *OwnDelay) overdue(now proto.Instant) time.Duration {
	last := proto.Instant(d.tickedAt.Load())
	if last == 0 {
		return 0
	}
	return max(0, now.Sub(last)-2*d.interval)
}
