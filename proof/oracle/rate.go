package oracle

import (
	"github.com/kumquatsill/kumquatsill/core/check"
	"github.com/kumquatsill/kumquatsill/core/limit"
	"github.com/kumquatsill/kumquatsill/core/note"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// bucket is a leaky bucket with the tokens that an account has spent over all
// routers. It drains at the rate and must never hold more than the burst.
type bucket struct {
	rate, burst float64
	level       float64
	at          proto.Instant
	peak        float64
}

// SetAccount sets the limits of an account, which take effect immediately, also
// when they are lower: callers change limits only where that is intended.
func (o *Oracle) SetAccount(now proto.Instant, a note.Account) {
	b := o.buckets[a.ID]
	if b == nil {
		b = &bucket{at: now}
		o.buckets[a.ID] = b
	}
	b.drain(now)
	b.rate, b.burst = float64(a.Rate), float64(a.Burst)
}

func (b *bucket) drain(now proto.Instant) {
	b.level = max(0, b.level-b.rate*now.Sub(b.at).Seconds())
	b.at = now
}

// RecordSpend counts tokens that a router spent and checks the rate limit.
func (o *Oracle) RecordSpend(now proto.Instant, account proto.AccountID, tokens int64) {
	b := o.buckets[account]
	if b == nil {
		return
	}
	b.drain(now)
	b.level += float64(tokens)
	b.peak = max(b.peak, b.level)
	// The half token allows for rounding of the drain.
	o.assert(check.RateLimit, b.level <= b.burst+0.5, "account %s has spent %.0f tokens above its rate, its burst is %.0f", account, b.level, b.burst)
}

// RecordRefund removes tokens that a router refunded.
func (o *Oracle) RecordRefund(now proto.Instant, account proto.AccountID, tokens int64) {
	if b := o.buckets[account]; b != nil {
		b.drain(now)
		b.level = max(0, b.level-float64(tokens))
	}
}

// WithinLimits reports whether an account could have spent these tokens within
// its rate and burst. If so, a refusal of them is wrongful.
func (o *Oracle) WithinLimits(now proto.Instant, account proto.AccountID, tokens int64) bool {
	b := o.buckets[account]
	if b == nil {
		return false
	}
	b.drain(now)
	return b.level+float64(tokens) <= b.burst
}

// MonitorLimiter returns a limiter that wraps inner and records its spends and
// refunds. clock returns the simulated time.
func (o *Oracle) MonitorLimiter(inner limit.Limiter, clock func() proto.Instant) limit.Limiter {
	return &monitoredLimiter{inner: inner, oracle: o, clock: clock}
}

// monitoredLimiter is a limiter whose spends and refunds the oracle records.
type monitoredLimiter struct {
	inner  limit.Limiter
	oracle *Oracle
	clock  func() proto.Instant
}

// Spend implements limit.Limiter.
func (w *monitoredLimiter) Spend(now proto.Instant, account proto.AccountID, tokens int64) limit.Decision {
	d := w.inner.Spend(now, account, tokens)
	if d.OK {
		w.oracle.RecordSpend(w.clock(), account, tokens)
	}
	return d
}

// Refund implements limit.Limiter.
func (w *monitoredLimiter) Refund(now proto.Instant, account proto.AccountID, tokens int64) {
	w.inner.Refund(now, account, tokens)
	w.oracle.RecordRefund(w.clock(), account, tokens)
}
