package peer

import (
	"time"

	"github.com/kumquatsill/kumquatsill/core/crash"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// resendDelay is the time without progress after which what a peer has not confirmed is
// sent again. Peers confirm with their next periodic message, which far ones send every
// 400 ms.
const resendDelay = 600 * time.Millisecond

// cursor tracks how far a peer has read this router's log of facts.
type cursor struct {
	confirmed, sent crash.Position
	// progressAt is when the peer last confirmed anything, or was last sent what it then
	// had to confirm.
	progressAt proto.Instant
}

// next returns the position from which the peer is sent the log next. With resend, that is
// the first that it has not confirmed, if it makes no progress.
func (c *cursor) next(now proto.Instant, resend bool) crash.Position {
	if resend && c.confirmed < c.sent && now.Sub(c.progressAt) >= resendDelay {
		return c.confirmed
	}
	return c.sent
}

// markSent records that a page was sent to the peer.
func (c *cursor) markSent(now proto.Instant, p *crash.Page) {
	if c.confirmed >= c.sent || p.To <= c.sent {
		c.progressAt = now
	}
	c.sent = p.To
}

// confirm records that the peer has read the log up to a position.
func (c *cursor) confirm(now proto.Instant, to crash.Position) {
	if to > c.confirmed {
		c.confirmed, c.progressAt = to, now
		c.sent = max(c.sent, to)
	}
}

// readState tracks how far this router has read a peer's log of facts.
type readState struct {
	position crash.Position
	// unconfirmed is set if the peer has sent a page that was not confirmed yet.
	unconfirmed bool
}

// markRead records that a page was read. After a gap the position stays, so that the peer
// sends from there again.
func (s *readState) markRead(p *crash.Page) {
	if p.First || p.From <= s.position {
		s.position = max(s.position, p.To)
	}
	s.unconfirmed = true
}
