package intent

import (
	"slices"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// HandleOutcome records the outcome of a call that was granted. If the outcome is
// unknown, the intent stays without one.
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

// HandleDropped handles the end of a request that did not use its decision or did
// not wait for it.
func (t *Table) HandleDropped(now proto.Instant, m proto.IntentDropped) {
	if g, ok := t.grants[m.Request]; ok {
		delete(t.grants, m.Request)
		if s := t.shards[g.intent.Stream]; s != nil {
			t.appendOutcome(now, s, Outcome{Key: g.intent.Key, Intent: g.intent.Offset, Verdict: proto.NotRun}, g.since)
		}
		return
	}
	for _, p := range t.pending {
		t.removeWaiters(p, func(w waiter) bool { return w.request == m.Request }, false)
	}
}

// removeWaiters removes the matching waiters from a pending intent and refuses them
// if notify is set. Once no waiter is left, the intent is abandoned.
func (t *Table) removeWaiters(p *pendingIntent, match func(waiter) bool, notify bool) {
	kept := p.waiters[:0:0]
	for _, w := range p.waiters {
		if !match(w) {
			kept = append(kept, w)
			continue
		}
		t.waiterCount--
		if notify {
			t.refuse(w.request, proto.CauseLogUnavailable, retryAfter)
		}
	}
	p.waiters = kept
	if len(kept) == 0 {
		t.removePending(p)
		t.log.Abandon(p.id)
	}
}

// Tick refuses requests whose deadline has passed and removes expired keys and
// grants.
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

// expireWaiters refuses the waiters whose deadline has passed.
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
	for _, p := range t.pending {
		for _, w := range p.waiters {
			t.nextExpiry = min(t.nextExpiry, w.until)
		}
	}
}

// Wake returns when Tick must be called next.
func (t *Table) Wake() proto.Instant {
	wake := t.nextExpiry
	for _, s := range t.followed {
		if len(s.expiryQueue) > 0 {
			wake = min(wake, s.expiryQueue[0].seenAt.Add(t.cfg.Retention))
		}
	}
	return wake
}
