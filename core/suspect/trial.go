package suspect

import (
	"slices"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// HandleWanted takes an exchange's request for a trial. A TrialDecided follows.
func (t *Table) HandleWanted(now proto.Instant, m proto.TrialWanted) {
	w := &waiting{m: m, key: Key{Account: m.Account, Fingerprint: m.Fingerprint}, until: now.Add(holdTimeout)}
	if len(t.waiting) >= maxWaiting {
		t.refuse(w, proto.CauseOverload)
		return
	}
	t.waiting = append(t.waiting, w)
	t.review(now, w.key)
}

// review decides the waiting requests of a fingerprint as far as possible.
func (t *Table) review(now proto.Instant, key Key) {
	for _, w := range slices.Clone(t.waiting) {
		if w.key == key && w.id == "" && t.decide(now, w) {
			t.drop(w)
		}
	}
}

// decide answers a request, or reports false while it has to wait.
func (t *Table) decide(now proto.Instant, w *waiting) bool {
	e, known := t.reg.Get(w.key)
	switch {
	case t.faults.skipTrial && !w.m.AwaitPropagation:
		t.allow(w, proto.TrialDecided{})
	case known && e.Quarantined:
		return t.conclude(now, w, e, proto.CauseQuarantined)
	case t.isPending(w.key):
		return false
	case w.m.AwaitPropagation:
		return t.conclude(now, w, e, proto.CauseSuspected)
	case w.failed != "":
		return t.conclude(now, w, e, w.failed)
	case !known && len(t.pending) >= maxPending:
		// The crash of this request may be among those that were not kept.
		t.refuse(w, proto.CauseOverload)
	case !known:
		t.allow(w, proto.TrialDecided{})
	case !t.log.Reachable(now):
		return t.conclude(now, w, e, proto.CauseLogUnavailable)
	case !t.free(now, e) || t.isClaimed(w.key):
		return t.conclude(now, w, e, proto.CauseSuspected)
	case !t.settled(now, e) || e.Trial == 0 && now.Sub(e.seen) < recallGrace:
		// A copy that runs elsewhere may still crash its endpoint.
		w.until = max(w.until, e.seen.Add(holdTimeout))
		return false
	default:
		t.claim(now, w, e)
		return false
	}
	return true
}

// conclude answers without an attempt, which lets the caller send the request
// again elsewhere. The answer waits until every router knows the fingerprint,
// so that the request meets a trial or the quarantine everywhere.
func (t *Table) conclude(now proto.Instant, w *waiting, e Entry, cause proto.Cause) bool {
	if !t.settled(now, e) {
		w.until = max(w.until, e.seen.Add(holdTimeout))
		return false
	}
	if w.m.AwaitPropagation {
		t.allow(w, proto.TrialDecided{})
	} else {
		t.refuse(w, cause)
	}
	return true
}

// free reports whether a trial may be claimed: there was none, or the last
// one ended, or it is void. A void trial without an end may have crashed its
// endpoint, so that it counts as void only if the same life of the endpoint
// was seen after it.
func (t *Table) free(now proto.Instant, e Entry) bool {
	if e.Trial == 0 || e.TrialEnded {
		return true
	}
	void := e.trialSeen.Add(voidAfter)
	if t.faults.voidByTime {
		return !now.Before(void)
	}
	life, at, ok := t.cfg.EngineIncarnation(e.TrialTarget.Endpoint)
	return !now.Before(void) && ok && at >= void && life == e.TrialTarget.Incarnation && life != ""
}

func (t *Table) claim(now proto.Instant, w *waiting, e Entry) {
	id, err := t.log.Append(now, proto.StreamConfig, KindTrial, Trial{
		Key: w.key, Previous: e.Trial, Router: t.cfg.Router,
		Target: Crash{Endpoint: w.m.Endpoint, Incarnation: w.m.Incarnation},
	})
	if err != nil {
		w.failed = proto.CauseLogUnavailable
		return
	}
	w.until = now.Add(decideTimeout)
	t.log.SetDeadline(id, w.until)
	w.id = id
}

func (t *Table) isPending(k Key) bool {
	return slices.ContainsFunc(t.pending, func(p *pending) bool { return p.key == k })
}

func (t *Table) isClaimed(k Key) bool {
	return slices.ContainsFunc(t.waiting, func(w *waiting) bool { return w.key == k && w.id != "" })
}

// trialFolded decides the claim of a trial record that this router appended.
// One that was refused before is ended unused, since nothing ran for it.
func (t *Table) trialFolded(now proto.Instant, key Key, rec proto.Record) {
	e, _ := t.reg.Get(key)
	won := e.Trial == rec.Offset
	i := slices.IndexFunc(t.waiting, func(w *waiting) bool { return w.id == rec.ID })
	if i < 0 {
		t.endUnused(now, key, rec, won)
		return
	}
	w := t.waiting[i]
	if !won {
		t.counters.ClaimsLost++
		w.id, w.failed = "", proto.CauseSuspected
		return
	}
	t.drop(w)
	t.counters.Trials++
	t.allow(w, proto.TrialDecided{
		Trial: rec.Offset, TimeLimit: MaxTrialDuration, Account: w.m.Account, Fingerprint: w.m.Fingerprint,
	})
}

func (t *Table) endUnused(now proto.Instant, key Key, rec proto.Record, won bool) {
	var body Trial
	if !won || !decode(rec, &body) || body.Router != t.cfg.Router {
		return
	}
	t.record(now, &pending{key: key, kind: KindTrialEnd, body: TrialEnd{Key: key, Trial: rec.Offset, Result: proto.TrialUnused}})
}

func (t *Table) allow(w *waiting, d proto.TrialDecided) {
	d.Request, d.OK = w.m.Request, true
	t.Send(t.cfg.Self, d)
}

func (t *Table) refuse(w *waiting, cause proto.Cause) {
	t.counters.Refused++
	d := proto.TrialDecided{Request: w.m.Request, Cause: cause}
	if cause != proto.CauseQuarantined {
		d.RetryAfter = retryAfter
	}
	t.Send(t.cfg.Self, d)
}

func (t *Table) drop(w *waiting) {
	t.waiting = slices.DeleteFunc(t.waiting, func(x *waiting) bool { return x == w })
}
