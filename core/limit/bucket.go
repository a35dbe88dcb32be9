package limit

import (
	"math/bits"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

const (
	// GrantTTL is how long a grant may be spent after it was requested.
	GrantTTL = 5 * time.Second
	// clockMargin is added wherever one node waits for a GrantTTL or MaxViewAge to
	// end on another node, for rounding and small differences in clock rate.
	clockMargin = 50 * time.Millisecond
	// grantLifetime is how long the issuer counts a grant as outstanding.
	grantLifetime = GrantTTL + clockMargin
	// microPerToken is the number of internal units per token. In whole tokens, the
	// slot rate of a small account would be rounded down to 0.
	microPerToken = 1_000_000
	// reserveDivisor limits the tokens granted for a router's reserve to
	// 1/reserveDivisor of the balance, so that one router's reserve does not starve
	// another router's requests.
	reserveDivisor = 8
)

// issue is a grant or transfer whose tokens the receiving router may still spend.
type issue struct {
	to      proto.RouterID
	call    uint64
	amount  int64
	expires proto.Instant
}

// bucket is a token bucket that keeps its balance plus outstanding issues within
// its burst. Amounts are in millionths of a token.
type bucket struct {
	rate, burst          int64
	balance, outstanding int64
	// remainder is the fraction of a unit left by the last refill, in
	// billionths.
	remainder  uint64
	refilledAt proto.Instant
	// issued is ordered by expiry.
	issued []issue
}

// newBucket returns an empty bucket that starts to refill at start.
func newBucket(rate, burst int64, start proto.Instant) *bucket {
	return &bucket{rate: rate, burst: burst, refilledAt: start}
}

// advance applies refills and expiries up to now, in order of time: refilling
// only after all expiries would credit tokens for a time at which the bucket was
// full.
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
	if now <= b.refilledAt {
		return
	}
	elapsed := uint64(now - b.refilledAt)
	b.refilledAt = now
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

// setLimit changes rate and burst as of now. It never adds tokens.
func (b *bucket) setLimit(now proto.Instant, rate, burst int64) {
	if b.rate == rate && b.burst == burst {
		return
	}
	b.advance(now)
	b.rate, b.burst = rate, burst
	b.balance = max(0, min(b.balance, burst-b.outstanding))
	b.remainder = 0
}

// withinBurst reports whether balance plus outstanding issues are within the
// burst. The issues alone may exceed a burst that was lowered after they were
// made; the balance must be 0 then.
func (b *bucket) withinBurst() bool {
	return b.balance >= 0 && b.balance <= max(0, b.burst-b.outstanding)
}

// wholeTokens returns the balance in tokens, rounded down.
func (b *bucket) wholeTokens() int64 { return b.balance / microPerToken }

// deduct removes at most the given number of tokens and returns how many it
// removed.
func (b *bucket) deduct(tokens int64) int64 {
	tokens = max(0, min(tokens, b.wholeTokens()))
	b.balance -= tokens * microPerToken
	return tokens
}

// issue grants up to need from the balance, and up to want for a reserve from
// 1/reserveDivisor of what is left. A repeated call number returns the amount
// granted before.
func (b *bucket) issue(now proto.Instant, to proto.RouterID, call uint64, need, want int64) int64 {
	b.advance(now)
	if i := b.findIssue(to, call); i >= 0 {
		return b.issued[i].amount / microPerToken
	}
	tokens := min(max(0, need), b.wholeTokens())
	tokens += min(max(0, want), (b.wholeTokens()-tokens)/reserveDivisor)
	if tokens == 0 {
		return 0
	}
	b.balance -= tokens * microPerToken
	b.outstanding += tokens * microPerToken
	b.issued = append(b.issued, issue{to: to, call: call, amount: tokens * microPerToken, expires: now.Add(grantLifetime)})
	return tokens
}

// settle closes issues and credits their unspent tokens, whose number it
// returns. Unknown calls, such as those of an earlier holder or of a duplicated
// message, are ignored.
func (b *bucket) settle(now proto.Instant, from proto.RouterID, returned []proto.ReturnedGrant) int64 {
	b.advance(now)
	var total int64
	for _, r := range returned {
		i := b.findIssue(from, r.Call)
		if i < 0 {
			continue
		}
		amount := b.issued[i].amount
		b.issued = append(b.issued[:i], b.issued[i+1:]...)
		b.outstanding -= amount
		total += b.credit(min(r.Tokens, amount/microPerToken))
	}
	return total
}

// credit adds at most the given number of tokens without exceeding the burst,
// and returns how many it added. The burst may have been lowered since the
// tokens were removed.
func (b *bucket) credit(tokens int64) int64 {
	room := max(0, b.burst-b.outstanding-b.balance) / microPerToken
	tokens = max(0, min(tokens, room))
	b.balance += tokens * microPerToken
	return tokens
}

func (b *bucket) findIssue(to proto.RouterID, call uint64) int {
	for i := range b.issued {
		if b.issued[i].call == call && b.issued[i].to == to {
			return i
		}
	}
	return -1
}
