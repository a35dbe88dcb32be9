package exchange

import (
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/core/route"
	"github.com/kumquatsill/kumquatsill/core/suspect"
)

// trial is the right to run a suspect, which is asked for or held.
type trial struct {
	choice route.Choice
	asked  proto.Instant
	// at is the offset of the trial record; 0 while no trial is held.
	at   proto.Offset
	ends proto.Instant
}

func (x *Exchange) suspectKey() suspect.Key {
	return suspect.Key{Account: x.account.ID, Fingerprint: x.fingerprint}
}

// needsTrial reports whether the request may only run in a trial.
func (x *Exchange) needsTrial() bool {
	return x.crashed || x.deps.Snapshot().Suspects[x.suspectKey()]
}

// askTrial asks for the right to run at the chosen endpoint.
func (x *Exchange) askTrial(now proto.Instant, choice route.Choice, hold bool) {
	x.trial = trial{choice: choice, asked: now}
	x.step = StepTrial
	x.stepUntil = now.Add(trialTimeout)
	life, _ := x.deps.EndpointTable.Get(choice.Endpoint)
	x.Send(x.deps.Self, proto.TrialWanted{
		Request: x.req.ID, Account: x.account.ID, Fingerprint: x.fingerprint,
		Endpoint: choice.Endpoint, Incarnation: life.EngineIncarnation, AwaitPropagation: hold,
	})
}

func (x *Exchange) onTrial(now proto.Instant, m proto.TrialDecided) {
	if m.Request != x.req.ID || x.step != StepTrial {
		x.deps.Stats.Late.Add(1)
		x.dropTrial(m)
		return
	}
	switch {
	case x.answer != nil:
		x.end(now, *x.answer)
	case !m.OK:
		x.refuse(now, m.Cause, "the request was in flight when an endpoint crashed and may not be tried now", x.worstVerdict(), m.RetryAfter)
	default:
		x.crashed = m.Trial != 0
		x.trial.at = m.Trial
		x.trial.ends = x.trial.asked.Add(m.TimeLimit)
		c := x.trial.choice
		x.dispatch(now, c.Endpoint, c.Reason, c.Import)
	}
}

// dropTrial gives back a trial that comes too late to be used.
func (x *Exchange) dropTrial(m proto.TrialDecided) {
	if m.Request == x.req.ID && m.Trial != 0 && m.Trial != x.trial.at {
		x.trial.at = m.Trial
		x.endTrial(proto.TrialUnused, "")
	}
}

// endTrial reports how the trial ended. A trial whose result is unknown stays
// without an end.
func (x *Exchange) endTrial(result proto.TrialResult, died proto.Incarnation) {
	if x.trial.at == 0 {
		return
	}
	x.Send(x.deps.Self, proto.TrialEnded{
		Request: x.req.ID, Account: x.account.ID, Fingerprint: x.fingerprint,
		Trial: x.trial.at, Result: result, Endpoint: x.trial.choice.Endpoint, Incarnation: died,
	})
	x.trial.at = 0
}

// onCrash reports that the endpoint died while it ran the attempt.
func (x *Exchange) onCrash(m proto.AttemptRefused) {
	x.crashed = true
	if x.trial.at != 0 {
		x.endTrial(proto.TrialCrashed, m.Report.Incarnation)
		return
	}
	x.Send(x.deps.Self, proto.CrashSeen{
		Request: x.req.ID, Account: x.account.ID, Fingerprint: x.fingerprint,
		Endpoint: x.attempt.endpoint, Incarnation: m.Report.Incarnation,
	})
}

// giveUp ends the request without another attempt. After a crash the answer
// waits until every router knows the suspect, since the caller may send the
// request again through any of them.
func (x *Exchange) giveUp(now proto.Instant, cause proto.Cause, detail string, verdict proto.Verdict, retryAfter time.Duration) {
	answer := proto.CallerRefusal{Cause: cause, Detail: detail, Verdict: verdict, RetryAfter: retryAfter}
	if !x.crashed {
		x.end(now, answer)
		return
	}
	x.answer = &answer
	x.askTrial(now, route.Choice{Endpoint: x.attempt.endpoint}, true)
}

// onTrialTimeout ends a request whose trial is undecided.
func (x *Exchange) onTrialTimeout(now proto.Instant) {
	if x.answer != nil {
		x.end(now, *x.answer)
		return
	}
	x.refuse(now, proto.CauseLogUnavailable, "the log did not decide in time whether the request may be tried", x.worstVerdict(), staleRetryAfter)
}

// recall cancels an attempt without output whose request has become a
// suspect, and asks for a trial instead.
func (x *Exchange) recall(now proto.Instant) {
	if !x.inFlight() || !x.idempotent || x.attempt.last > 0 || x.trial.at != 0 || !x.needsTrial() {
		return
	}
	x.cancelAttempt()
	x.closeAttempt(now, proto.CauseSuspected, proto.MayHaveRun)
	x.place(now, false)
}
