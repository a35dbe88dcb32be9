package intent

import (
	"slices"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// HandleOutcome takes the end of a call that was granted. A call whose outcome is
// unknown leaves its intent as it is.
func (t *Table) HandleOutcome(now proto.Instant, m proto.OutcomeKnown) {
	g, ok := t.grants[m.Request]
	if !ok || g.intent != m.Intent {
		return
	}
	delete(t.grants, m.Request)
	s := t.shards[m.Intent.Stream]
	if s == nil || m.Verdict == proto.MayHaveRun {
		return
	}
	o := Outcome{Key: m.Intent.Key, Intent: m.Intent.Offset, Verdict: m.Verdict}
	if m.Verdict == proto.Ran {
		o.Response = recordedResponse(m.Finish)
	}
	t.appendOutcome(now, s, o, g.since)
}

// HandleDropped takes the end of a request that did not act on its decision.
func (t *Table) HandleDropped(now proto.Instant, m proto.IntentDropped) {
	if g, ok := t.grants[m.Request]; ok {
		delete(t.grants, m.Request)
		if s := t.shards[g.intent.Stream]; s != nil {
			t.appendOutcome(now, s, Outcome{Key: g.intent.Key, Intent: g.intent.Offset, Verdict: proto.NotRun}, g.since)
		}
		return
	}
	for _, c := range t.pending {
		t.removeWaiters(c, func(w waiter) bool { return w.request == m.Request }, false)
	}
}

// removeWaiters removes waiters from a claim and abandons it with the last one.
func (t *Table) removeWaiters(c *pendingIntent, match func(waiter) bool, notify bool) {
	kept := c.waiters[:0:0]
	for _, w := range c.waiters {
		if !match(w) {
			kept = append(kept, w)
			continue
		}
		t.waiterCount--
		if notify {
			t.refuse(w.request, proto.CauseLogUnavailable, retryAfter)
		}
	}
	c.waiters = kept
	if len(kept) == 0 {
		t.removePending(c)
		t.log.Abandon(c.id)
	}
}

// Tick applies the passage of time.
func (t *Table) Tick(now proto.Instant) {
	if !now.Before(t.nextExpiry) {
		t.expireWaiters(now)
	}
	for _, s := range t.followed {
		t.responseBytes -= s.evictExpired(now, t.cfg.Retention)
	}
	if now.Before(t.nextPrune) {
		return
	}
	t.nextPrune = now.Add(pruneInterval)
	for request, g := range t.grants {
		if now.Sub(g.since) >= t.cfg.DuplicateWindow() {
			delete(t.grants, request)
		}
	}
}

// expireWaiters refuses the requests whose wait is over.
func (t *Table) expireWaiters(now proto.Instant) {
	keys := make([]string, 0, len(t.pending))
	for key := range t.pending {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	for _, key := range keys {
		t.removeWaiters(t.pending[key], func(w waiter) bool { return !now.Before(w.until) }, true)
	}
	t.nextExpiry = proto.Never
	for _, c := range t.pending {
		for _, w := range c.waiters {
			t.nextExpiry = min(t.nextExpiry, w.until)
		}
	}
}

// Wake returns when Tick is needed next.
func (t *Table) Wake() proto.Instant {
	wake := t.nextExpiry
	for _, s := range t.followed {
		if len(s.expiryQueue) > 0 {
			wake = min(wake, s.expiryQueue[0].seenAt.Add(t.cfg.Retention))
		}
	}
	return wake
}
