package suspect

import (
	"slices"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// HandleWanted handles an exchange's request for a trial. The reply is a
// TrialDecided.
func (t *Table) HandleWanted(now proto.Instant, wanted proto.TrialWanted) {
	w := &waiting{wanted: wanted, key: Key{Account: wanted.Account, Fingerprint: wanted.Fingerprint}, deadline: now.Add(propagationTimeout)}
	if len(t.waiting) >= maxWaiting {
		t.refuse(w, proto.CauseOverload)
		return
	}
	t.waiting = append(t.waiting, w)
	t.decideWaiting(now, w.key)
}

// decideWaiting decides the waiting requests of a fingerprint as far as possible.
func (t *Table) decideWaiting(now proto.Instant, key Key) {
	for _, w := range slices.Clone(t.waiting) {
		if w.key == key && w.id == "" && t.decide(now, w) {
			t.removeWaiting(w)
		}
	}
}

// decide replies to a request, or returns false if it has to wait.
func (t *Table) decide(now proto.Instant, w *waiting) bool {
	e, known := t.register.Get(w.key)
	switch {
	case t.faults.skipTrial && !w.wanted.AwaitPropagation:
		t.allow(w, proto.TrialDecided{})
	case known && e.Quarantined:
		return t.finishOncePropagated(now, w, e, proto.CauseQuarantined)
	case t.isPending(w.key):
		return false
	case w.wanted.AwaitPropagation:
		return t.finishOncePropagated(now, w, e, proto.CauseSuspected)
	case w.refusalCause != "":
		return t.finishOncePropagated(now, w, e, w.refusalCause)
	case !known && len(t.pending) >= maxPending:
		// The crash of this request may be among the dropped records.
		t.refuse(w, proto.CauseOverload)
	case !known:
		t.allow(w, proto.TrialDecided{})
	case !t.log.Reachable(now):
		return t.finishOncePropagated(now, w, e, proto.CauseLogUnavailable)
	case !t.canClaim(now, e) || t.isClaimed(w.key):
		return t.finishOncePropagated(now, w, e, proto.CauseSuspected)
	case !t.isPropagated(now, e) || e.Trial == 0 && now.Sub(e.readAt) < firstTrialDelay:
		// A copy of the request that runs elsewhere may still crash its endpoint.
		w.deadline = max(w.deadline, e.readAt.Add(propagationTimeout))
		return false
	default:
		t.claim(now, w, e)
		return false
	}
	return true
}

// finishOncePropagated replies that no attempt may run, after which the caller may
// send the request again elsewhere. It delays the reply until every router knows
// the fingerprint, so that the request is tried or refused everywhere.
func (t *Table) finishOncePropagated(now proto.Instant, w *waiting, e Entry, cause proto.Cause) bool {
	if !t.isPropagated(now, e) {
		w.deadline = max(w.deadline, e.readAt.Add(propagationTimeout))
		return false
	}
	if w.wanted.AwaitPropagation {
		t.allow(w, proto.TrialDecided{})
	} else {
		t.refuse(w, cause)
	}
	return true
}

// canClaim reports whether a trial may be claimed: there was none, or the last one
// has ended or expired. A trial whose end was not reported may have crashed its
// endpoint, so it expires only if the same engine incarnation was reported after
// trialExpiry.
func (t *Table) canClaim(now proto.Instant, e Entry) bool {
	if e.Trial == 0 || e.TrialEnded {
		return true
	}
	expiry := e.trialReadAt.Add(trialExpiry)
	if t.faults.skipIncarnationCheck {
		return !now.Before(expiry)
	}
	incarnation, reportedAt, ok := t.cfg.EngineIncarnation(e.TrialTarget.Endpoint)
	return !now.Before(expiry) && ok && reportedAt >= expiry && incarnation == e.TrialTarget.Incarnation && incarnation != ""
}

// claim appends a trial record for a request. Reading it back decides the request.
func (t *Table) claim(now proto.Instant, w *waiting, e Entry) {
	id, err := t.log.Append(now, proto.StreamConfig, KindTrial, Trial{
		Key: w.key, Previous: e.Trial, Router: t.cfg.Router,
		Target: Crash{Endpoint: w.wanted.Endpoint, Incarnation: w.wanted.Incarnation},
	})
	if err != nil {
		w.refusalCause = proto.CauseLogUnavailable
		return
	}
	w.deadline = now.Add(appendTimeout)
	t.log.SetDeadline(id, w.deadline)
	w.id = id
}

func (t *Table) isPending(k Key) bool {
	return slices.ContainsFunc(t.pending, func(p *pending) bool { return p.key == k })
}

func (t *Table) isClaimed(k Key) bool {
	return slices.ContainsFunc(t.waiting, func(w *waiting) bool { return w.key == k && w.id != "" })
}

// onTrialApplied decides the request for which this router appended a trial record.
// If that request has been refused already, nothing has run for the trial, so it is
// reported as unused.
func (t *Table) onTrialApplied(now proto.Instant, key Key, rec proto.Record) {
	e, _ := t.register.Get(key)
	won := e.Trial == rec.Offset
	i := slices.IndexFunc(t.waiting, func(w *waiting) bool { return w.id == rec.ID })
	if i < 0 {
		t.endUnused(now, key, rec, won)
		return
	}
	w := t.waiting[i]
	if !won {
		t.counters.ClaimsLost++
		w.id, w.refusalCause = "", proto.CauseSuspected
		return
	}
	t.removeWaiting(w)
	t.counters.Trials++
	t.allow(w, proto.TrialDecided{
		Trial: rec.Offset, TimeLimit: MaxTrialDuration, Account: w.wanted.Account, Fingerprint: w.wanted.Fingerprint,
	})
}

func (t *Table) endUnused(now proto.Instant, key Key, rec proto.Record, won bool) {
	var body Trial
	if !won || !decode(rec, &body) || body.Router != t.cfg.Router {
		return
	}
	t.addPending(now, &pending{key: key, kind: KindTrialEnd, body: TrialEnd{Key: key, Trial: rec.Offset, Result: proto.TrialUnused}})
}

// allow grants a request. With AwaitPropagation this ends only the wait.
func (t *Table) allow(w *waiting, d proto.TrialDecided) {
	d.Request, d.OK = w.wanted.Request, true
	t.Send(t.cfg.Self, d)
}

func (t *Table) refuse(w *waiting, cause proto.Cause) {
	t.counters.Refused++
	d := proto.TrialDecided{Request: w.wanted.Request, Cause: cause}
	if cause != proto.CauseQuarantined {
		d.RetryAfter = retryAfter
	}
	t.Send(t.cfg.Self, d)
}

func (t *Table) removeWaiting(w *waiting) {
	t.waiting = slices.DeleteFunc(t.waiting, func(x *waiting) bool { return x == w })
}
