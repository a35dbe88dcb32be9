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
		o.Answer = answerOf(m.Finish)
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
	for _, c := range t.claims {
		t.withdraw(c, func(w waiter) bool { return w.request == m.Request }, false)
	}
}

// withdraw removes waiters from a claim and abandons it with the last one.
func (t *Table) withdraw(c *claim, which func(waiter) bool, tell bool) {
	kept := c.waiters[:0:0]
	for _, w := range c.waiters {
		if !which(w) {
			kept = append(kept, w)
			continue
		}
		t.waiting--
		if tell {
			t.refuse(w.request, proto.CauseLogUnavailable, retryAfter)
		}
	}
	c.waiters = kept
	if len(kept) == 0 {
		t.remove(c)
		t.log.Abandon(c.id)
	}
}

// Tick applies the passage of time.
func (t *Table) Tick(now proto.Instant) {
	if !now.Before(t.expireAt) {
		t.expire(now)
	}
	for _, s := range t.order {
		t.bytes -= s.forget(now, t.cfg.Retention)
	}
	if now.Before(t.pruneAt) {
		return
	}
	t.pruneAt = now.Add(pruneEvery)
	for request, g := range t.grants {
		if now.Sub(g.since) >= t.cfg.DuplicateWindow() {
			delete(t.grants, request)
		}
	}
}

// expire refuses the requests whose wait is over.
func (t *Table) expire(now proto.Instant) {
	expired := make([]string, 0, len(t.claims))
	for key := range t.claims {
		expired = append(expired, key)
	}
	slices.Sort(expired)
	for _, key := range expired {
		t.withdraw(t.claims[key], func(w waiter) bool { return !now.Before(w.until) }, true)
	}
	t.expireAt = proto.Never
	for _, c := range t.claims {
		for _, w := range c.waiters {
			t.expireAt = min(t.expireAt, w.until)
		}
	}
}

// Wake returns when Tick is needed next.
func (t *Table) Wake() proto.Instant {
	wake := t.expireAt
	for _, s := range t.order {
		if len(s.marks) > 0 {
			wake = min(wake, s.marks[0].seen.Add(t.cfg.Retention))
		}
	}
	return wake
}
