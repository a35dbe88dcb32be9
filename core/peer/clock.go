package peer

import (
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// clockWindow is how long the least delay of a peer's messages counts. It is longer than
// any suspension, and so short that clocks hardly drift.
const clockWindow = 30 * time.Second

// Clock converts times of a peer's clock. It takes the message with the least delay within
// the last one or two windows for one without delay, so that messages which a suspended
// process has sent or read late bear the time at which they were written.
type Clock struct {
	startedAt proto.Instant
	// current and previous are the least differences between the clocks in a window.
	current, previous time.Duration
}

// Convert returns the time on the own clock at which the peer's clock showed sentAt, for a
// message that is read now. Without sentAt it returns now.
func (c *Clock) Convert(now, sentAt proto.Instant) proto.Instant {
	if sentAt == 0 {
		return now
	}
	difference := now.Sub(sentAt)
	switch {
	case c.startedAt == 0:
		c.startedAt, c.current, c.previous = now, difference, difference
	case now.Sub(c.startedAt) >= clockWindow:
		c.startedAt, c.current, c.previous = now, difference, c.current
	}
	c.current = min(c.current, difference)
	return sentAt.Add(min(c.current, c.previous))
}
