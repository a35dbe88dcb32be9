package limit

import (
	"math/bits"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

const (
	// GrantTTL bounds the use of a grant, from the moment it was asked for.
	GrantTTL = 5 * time.Second
	// clockMargin is added wherever one node waits for another node's GrantTTL
	// or freshness to end, for rounding and small differences in clock rate.
	clockMargin = 50 * time.Millisecond
	// issueLife is how long an issuer counts a grant as outstanding.
	issueLife = GrantTTL + clockMargin
	// micro is the number of internal units per token. Whole tokens would
	// round the rate of a slot of a small account down to nothing.
	micro = 1_000_000
	// reserveShare limits tokens granted in reserve to 1/reserveShare of the
	// balance, so that one router's reserve does not starve another's request.
	reserveShare = 8
)

// issue is one grant or transfer that may still be spent elsewhere.
type issue struct {
	to      proto.RouterID
	call    uint64
	amount  int64
	expires proto.Instant
}

// bucket is a token bucket whose balance plus outstanding issues never
// exceeds its burst. Amounts are in millionths of a token.
type bucket struct {
	rate, burst          int64
	balance, outstanding int64
	remainder            uint64
	last                 proto.Instant
	// issued is ordered by expiry.
	issued []issue
}

// newBucket returns an empty bucket that refills from start on.
func newBucket(rate, burst int64, start proto.Instant) *bucket {
	return &bucket{rate: rate, burst: burst, last: start}
}

// advance applies refill and expiry up to now. Expiries are applied in order:
// refilling over the whole time first dropped would credit tokens for a time
// at which the bucket had no room.
func (b *bucket) advance(now proto.Instant) {
	n := 0
	for n < len(b.issued) && b.issued[n].expires <= now {
		b.refill(b.issued[n].expires)
		b.outstanding -= b.issued[n].amount
		n++
	}
	if n > 0 {
		b.issued = append(b.issued[:0], b.issued[n:]...)
	}
	b.refill(now)
}

func (b *bucket) refill(now proto.Instant) {
	if now <= b.last {
		return
	}
	elapsed := uint64(now - b.last)
	b.last = now
	room := max(0, b.burst-b.outstanding-b.balance)
	hi, lo := bits.Mul64(uint64(b.rate), elapsed)
	lo, carry := bits.Add64(lo, b.remainder, 0)
	hi += carry
	if hi >= uint64(time.Second) {
		b.balance += room
		b.remainder = 0
		return
	}
	amount, remainder := bits.Div64(hi, lo, uint64(time.Second))
	if amount >= uint64(room) {
		b.balance += room
		b.remainder = 0
		return
	}
	b.balance += int64(amount)
	b.remainder = remainder
}

// setLimit changes rate and burst from now on. It never adds tokens.
func (b *bucket) setLimit(now proto.Instant, rate, burst int64) {
	if b.rate == rate && b.burst == burst {
		return
	}
	b.advance(now)
	b.rate, b.burst = rate, burst
	b.balance = max(0, min(b.balance, burst-b.outstanding))
	b.remainder = 0
}

// within reports whether the balance fits beside the outstanding issues. These
// alone may exceed a burst that was lowered after they were issued.
func (b *bucket) within() bool {
	return b.balance >= 0 && b.balance <= max(0, b.burst-b.outstanding)
}

// whole returns the balance in whole tokens.
func (b *bucket) whole() int64 { return b.balance / micro }

// take spends up to tokens and returns how many it spent.
func (b *bucket) take(tokens int64) int64 {
	tokens = max(0, min(tokens, b.whole()))
	b.balance -= tokens * micro
	return tokens
}

// issue grants need, as far as there is balance, and want from what is
// plentiful. A repeated call gets the same answer.
func (b *bucket) issue(now proto.Instant, to proto.RouterID, call uint64, need, want int64) int64 {
	b.advance(now)
	if i := b.find(to, call); i >= 0 {
		return b.issued[i].amount / micro
	}
	tokens := min(max(0, need), b.whole())
	tokens += min(max(0, want), (b.whole()-tokens)/reserveShare)
	if tokens == 0 {
		return 0
	}
	b.balance -= tokens * micro
	b.outstanding += tokens * micro
	b.issued = append(b.issued, issue{to: to, call: call, amount: tokens * micro, expires: now.Add(issueLife)})
	return tokens
}

// settle closes issues. Unknown calls, such as those of an earlier holder or
// of a message delivered twice, are ignored. It returns the tokens taken back.
func (b *bucket) settle(now proto.Instant, from proto.RouterID, returned []proto.ReturnedGrant) int64 {
	b.advance(now)
	var total int64
	for _, r := range returned {
		i := b.find(from, r.Call)
		if i < 0 {
			continue
		}
		amount := b.issued[i].amount
		b.issued = append(b.issued[:i], b.issued[i+1:]...)
		b.outstanding -= amount
		total += b.put(min(r.Tokens, amount/micro))
	}
	return total
}

// put adds tokens as far as there is room and returns how many it added. A
// lower burst may have taken effect since the tokens were taken.
func (b *bucket) put(tokens int64) int64 {
	room := max(0, b.burst-b.outstanding-b.balance) / micro
	tokens = max(0, min(tokens, room))
	b.balance += tokens * micro
	return tokens
}

func (b *bucket) find(to proto.RouterID, call uint64) int {
	for i := range b.issued {
		if b.issued[i].call == call && b.issued[i].to == to {
			return i
		}
	}
	return -1
}
