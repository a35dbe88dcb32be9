package exchange

import (
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/core/route"
	"github.com/kumquatsill/kumquatsill/core/suspect"
)

// trial is the permission to run a suspect once, either requested or granted.
type trial struct {
	choice      route.Choice
	requestedAt proto.Instant
	// offset is the log offset of the trial record; 0 while no trial is granted.
	offset proto.Offset
	endsAt proto.Instant
}

func (x *Exchange) suspectKey() suspect.Key {
	return suspect.Key{Account: x.account.ID, Fingerprint: x.fingerprint}
}

// needsTrial reports whether the request may only run in a trial.
func (x *Exchange) needsTrial() bool {
	return x.suspected || x.deps.Snapshot().Suspects[x.suspectKey()]
}

// requestTrial requests permission to run at the chosen endpoint. With
// awaitPropagation, it requests no trial, only a reply once every router knows of
// the suspect.
func (x *Exchange) requestTrial(now proto.Instant, choice route.Choice, awaitPropagation bool) {
	x.trial = trial{choice: choice, requestedAt: now}
	x.step = StepTrial
	x.stepDeadline = now.Add(trialTimeout)
	instance, _ := x.deps.EndpointTable.Get(choice.Endpoint)
	x.Send(x.deps.Self, proto.TrialWanted{
		Request: x.req.ID, Account: x.account.ID, Fingerprint: x.fingerprint,
		Endpoint: choice.Endpoint, Incarnation: instance.EngineIncarnation, AwaitPropagation: awaitPropagation,
	})
}

func (x *Exchange) onTrialDecided(now proto.Instant, m proto.TrialDecided) {
	if m.Request != x.req.ID || x.step != StepTrial {
		x.deps.Stats.Late.Add(1)
		x.releaseLateTrial(m)
		return
	}
	switch {
	case x.pendingRefusal != nil:
		x.end(now, *x.pendingRefusal)
	case !m.OK:
		x.refuse(now, m.Cause, "the request was in flight when an endpoint crashed and may not be tried now", x.worstVerdict(), m.RetryAfter)
	default:
		x.suspected = m.Trial != 0
		x.trial.offset = m.Trial
		x.trial.endsAt = x.trial.requestedAt.Add(m.TimeLimit)
		c := x.trial.choice
		x.dispatch(now, c.Endpoint, c.Reason, c.ImportFrom)
	}
}

// releaseLateTrial reports a trial that was granted too late to be used as unused.
func (x *Exchange) releaseLateTrial(m proto.TrialDecided) {
	if m.Request == x.req.ID && m.Trial != 0 && m.Trial != x.trial.offset {
		x.trial.offset = m.Trial
		x.endTrial(proto.TrialUnused, "")
	}
}

// endTrial reports the result of the trial, if one is granted. A trial whose result
// is unknown is never reported as ended.
func (x *Exchange) endTrial(result proto.TrialResult, crashed proto.Incarnation) {
	if x.trial.offset == 0 {
		return
	}
	x.Send(x.deps.Self, proto.TrialEnded{
		Request: x.req.ID, Account: x.account.ID, Fingerprint: x.fingerprint,
		Trial: x.trial.offset, Result: result, Endpoint: x.trial.choice.Endpoint, Incarnation: crashed,
	})
	x.trial.offset = 0
}

// onCrash reports that the endpoint crashed while running the attempt.
func (x *Exchange) onCrash(m proto.AttemptRefused) {
	x.suspected = true
	if x.trial.offset != 0 {
		x.endTrial(proto.TrialCrashed, m.Report.Incarnation)
		return
	}
	x.Send(x.deps.Self, proto.CrashSeen{
		Request: x.req.ID, Account: x.account.ID, Fingerprint: x.fingerprint,
		Endpoint: x.attempt.endpoint, Incarnation: m.Report.Incarnation,
	})
}

// giveUp ends the request without another attempt. After a crash, the refusal is
// delayed until every router knows of the suspect, since the caller may retry the
// request through any of them.
func (x *Exchange) giveUp(now proto.Instant, cause proto.Cause, detail string, verdict proto.Verdict, retryAfter time.Duration) {
	pendingRefusal := proto.CallerRefusal{Cause: cause, Detail: detail, Verdict: verdict, RetryAfter: retryAfter}
	if !x.suspected {
		x.end(now, pendingRefusal)
		return
	}
	x.pendingRefusal = &pendingRefusal
	x.requestTrial(now, route.Choice{Endpoint: x.attempt.endpoint}, true)
}

// onTrialTimeout ends a request whose trial was not decided in time.
func (x *Exchange) onTrialTimeout(now proto.Instant) {
	if x.pendingRefusal != nil {
		x.end(now, *x.pendingRefusal)
		return
	}
	x.refuse(now, proto.CauseLogUnavailable, "the log did not decide in time whether the request may be tried", x.worstVerdict(), staleRetryAfter)
}

// recallSuspect cancels an attempt that has no output yet if its request has become
// a suspect, and requests a trial instead.
func (x *Exchange) recallSuspect(now proto.Instant) {
	if !x.inFlight() || !x.idempotent || x.attempt.lastSeq > 0 || x.trial.offset != 0 || !x.needsTrial() {
		return
	}
	x.cancelAttempt()
	x.closeAttempt(now, proto.CauseSuspected, proto.MayHaveRun)
	x.place(now, false)
}
