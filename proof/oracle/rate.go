package oracle

import (
	"github.com/kumquatsill/kumquatsill/core/check"
	"github.com/kumquatsill/kumquatsill/core/limit"
	"github.com/kumquatsill/kumquatsill/core/note"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// bucket is the true fill of an account, counted over all routers: it may
// never hold more than the burst, and drains at the rate.
type bucket struct {
	rate, burst float64
	level       float64
	at          proto.Instant
	peak        float64
}

// SetAccount tells the limits of an account. Higher limits count at once,
// lower ones too: the caller changes limits only where that is meant.
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

// RecordSpend counts tokens that some router spent.
func (o *Oracle) RecordSpend(now proto.Instant, account proto.AccountID, tokens int64) {
	b := o.buckets[account]
	if b == nil {
		return
	}
	b.drain(now)
	b.level += float64(tokens)
	b.peak = max(b.peak, b.level)
	// Half a token covers rounding of the drain.
	o.fail(check.RateLimit, b.level <= b.burst+0.5, "account %s has spent %.0f tokens above its rate, its burst is %.0f", account, b.level, b.burst)
}

// RecordRefund takes tokens back.
func (o *Oracle) RecordRefund(now proto.Instant, account proto.AccountID, tokens int64) {
	if b := o.buckets[account]; b != nil {
		b.drain(now)
		b.level = max(0, b.level-float64(tokens))
	}
}

// WithinLimits reports whether an account could have spent these tokens without
// passing its rate and burst. It tells a wrongful refusal from a right one.
func (o *Oracle) WithinLimits(now proto.Instant, account proto.AccountID, tokens int64) bool {
	b := o.buckets[account]
	if b == nil {
		return false
	}
	b.drain(now)
	return b.level+float64(tokens) <= b.burst
}

// MonitorLimiter returns a limiter that reports to the oracle what another one spends.
// clock gives the world's time.
func (o *Oracle) MonitorLimiter(inner limit.Limiter, clock func() proto.Instant) limit.Limiter {
	return &watched{inner: inner, oracle: o, clock: clock}
}

type watched struct {
	inner  limit.Limiter
	oracle *Oracle
	clock  func() proto.Instant
}

// Spend implements limit.Limiter.
func (w *watched) Spend(now proto.Instant, account proto.AccountID, tokens int64) limit.Decision {
	d := w.inner.Spend(now, account, tokens)
	if d.OK {
		w.oracle.RecordSpend(w.clock(), account, tokens)
	}
	return d
}

// Refund implements limit.Limiter.
func (w *watched) Refund(now proto.Instant, account proto.AccountID, tokens int64) {
	w.inner.Refund(now, account, tokens)
	w.oracle.RecordRefund(w.clock(), account, tokens)
}
