package agent

import (
	"fmt"
	"slices"

	"github.com/kumquatsill/kumquatsill/core/check"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/core/queue"
)

func (a *Agent) onDispatch(now proto.Instant, from proto.Addr, d proto.Dispatch) {
	if a.endedAttempts.has(d.Attempt) || a.jobs[d.Attempt] != nil {
		a.stats.Duplicates++
		return
	}
	if d.Endpoint != a.cfg.Endpoint {
		a.stats.Crossed++
		a.refuse(from, d, proto.CauseCrossed, proto.NotRun)
		return
	}
	if j := a.streams[streamKey{account: d.Account, request: d.Request, version: d.Version}]; j != nil {
		a.reattach(now, from, j, d)
		return
	}
	if cause, verdict, refused := a.checkAdmission(now, d); refused {
		a.refuse(from, d, cause, verdict)
		return
	}
	a.accept(now, from, d)
}

// checkAdmission returns true, with cause and verdict, if a new dispatch must be
// refused.
func (a *Agent) checkAdmission(now proto.Instant, d proto.Dispatch) (proto.Cause, proto.Verdict, bool) {
	switch {
	case now < a.refuseUntil:
		return proto.CauseEndpointFailed, proto.NotRun, true
	case a.draining || a.leaving:
		return proto.CauseLeaving, proto.NotRun, true
	case !a.engine.up:
		return proto.CauseEndpointFailed, proto.NotRun, true
	case d.Class == proto.ClassGenerate && !a.serves(d):
		return proto.CauseWrongVersion, proto.NotRun, true
	case d.ResumeAfter > 0 && !d.Sampling.Reproducible():
		return proto.CauseNotResumable, proto.NotRun, true
	case d.Intent != nil:
		return a.admitIntent(d)
	}
	return "", 0, false
}

// serves reports whether the engine has loaded the weights and the adapter of a
// generation, and no order to replace them is pending.
func (a *Agent) serves(d proto.Dispatch) bool {
	if a.engine.versions[d.Model] != d.Version || a.hasPendingOrder(d.Model) {
		return false
	}
	return d.Adapter == "" || slices.Contains(a.engine.adapters, d.Adapter)
}

// admitIntent admits an intent once. A second dispatch of it is refused as one that
// may have run, unless the first ended as not run.
func (a *Agent) admitIntent(d proto.Dispatch) (proto.Cause, proto.Verdict, bool) {
	if d.AgentInstance != a.cfg.Incarnation {
		return proto.CauseWrongIncarnation, proto.NotRun, true
	}
	id := intentID{stream: d.Intent.Stream, offset: d.Intent.Offset}
	if a.startedIntents.has(id) {
		return proto.CauseDuplicate, proto.MayHaveRun, true
	}
	if !a.acceptedIntents.add(id) {
		return proto.CauseDuplicate, proto.MayHaveRun, true
	}
	return "", 0, false
}

func (a *Agent) accept(now proto.Instant, from proto.Addr, d proto.Dispatch) {
	j := &job{
		dispatch:   d,
		attempt:    d.Attempt,
		router:     from,
		runID:      d.Attempt,
		currentSeq: d.ResumeAfter,
		baseSeq:    d.ResumeAfter,
		deadline:   now.Add(d.Timeout),
		expires:    proto.Never,
	}
	item := queue.Item{
		Attempt:  d.Attempt,
		Account:  d.Account,
		Priority: d.Priority,
		Weight:   d.Weight,
		Tokens:   a.uncachedTokens(d),
		Alone:    d.Alone,
		Deadline: now.Add(d.Timeout - queueTimeoutMargin),
	}
	evicted, cause := a.queue.Push(now, item)
	a.refuseItems(evicted, proto.CauseOverload)
	if cause != "" {
		a.forgetIntent(d)
		a.refuse(from, d, cause, proto.NotRun)
		return
	}
	a.stats.Dispatched++
	a.addJob(j)
	a.Send(from, proto.Accepted{Stamp: a.stamp, Attempt: d.Attempt, Report: a.report(d.Blocks)})
	a.nextHeartbeat = min(a.nextHeartbeat, now.Add(heartbeatInterval))
}

// refuseItems refuses items that were removed from the queue before they started.
func (a *Agent) refuseItems(items []queue.Item, cause proto.Cause) {
	for _, item := range items {
		if j := a.findQueuedJob(item.Attempt); j != nil {
			a.refuseJob(j, cause)
		}
	}
}

// refuseJob ends a job that was removed from the queue before it started.
func (a *Agent) refuseJob(j *job, cause proto.Cause) {
	a.forgetIntent(j.dispatch)
	j.ended = true
	a.removeJob(j)
	a.endedAttempts.add(j.attempt)
	if j.attached() {
		d := j.dispatch
		d.Attempt = j.attempt
		a.refuse(j.router, d, cause, proto.NotRun)
	}
}

// uncachedTokens estimates how many prompt tokens of a dispatch are not cached. It
// returns at least 1.
func (a *Agent) uncachedTokens(d proto.Dispatch) int64 {
	if len(d.Blocks) == 0 {
		return max(1, d.PromptTokens)
	}
	cached := int64(a.index.Lookup(a.engine.incarnation, d.Blocks))
	perBlock := d.PromptTokens / int64(len(d.Blocks))
	return max(1, d.PromptTokens-cached*perBlock)
}

// reattach attaches another attempt to the stream of a job and sends the chunks
// after ResumeAfter, the last one that its router has.
func (a *Agent) reattach(now proto.Instant, from proto.Addr, j *job, d proto.Dispatch) {
	if !j.canResumeAfter(d.ResumeAfter) {
		a.refuse(from, d, proto.CauseNotResumable, proto.NotRun)
		return
	}
	a.stats.Reattached++
	a.endedAttempts.add(j.attempt)
	delete(a.jobs, j.attempt)
	j.attempt, j.router = d.Attempt, from
	a.jobs[j.attempt] = j
	j.deadline = now.Add(d.Timeout)
	switch {
	case j.started && !j.ended:
		a.setExpiry(j, a.runningExpiry(now, j))
	case !j.ended:
		a.setExpiry(j, proto.Never)
	}
	a.Send(from, proto.Accepted{Stamp: a.stamp, Attempt: d.Attempt, Report: a.report(d.Blocks)})
	for _, c := range j.chunks {
		if c.Seq > d.ResumeAfter {
			a.Send(from, proto.Chunk{Attempt: d.Attempt, Seq: c.Seq, Text: c.Text})
		}
	}
	if j.finish != nil {
		a.sendFinish(j)
	}
	a.nextHeartbeat = min(a.nextHeartbeat, now.Add(heartbeatInterval))
}

// refuse refuses a dispatch and records that its attempt has ended.
func (a *Agent) refuse(to proto.Addr, d proto.Dispatch, cause proto.Cause, verdict proto.Verdict) {
	a.stats.Refused++
	a.endedAttempts.add(d.Attempt)
	a.sendRefusal(to, d, cause, verdict, false)
}

func (a *Agent) sendRefusal(to proto.Addr, d proto.Dispatch, cause proto.Cause, verdict proto.Verdict, crashed bool) {
	a.cfg.Checks.Check(check.TrueNotRun, verdict != proto.NotRun || a.runs[d.Attempt] == nil, func() string {
		return fmt.Sprintf("attempt %s is refused as not run and was handed to the engine", d.Attempt)
	})
	a.Send(to, proto.AttemptRefused{
		Stamp: a.stamp, Attempt: d.Attempt, Cause: cause, Verdict: verdict,
		RetryAfter: endpointRetryAfter, Crashed: crashed, Report: a.report(d.Blocks),
	})
}

// forgetIntent allows the intent of a job that did not start to be dispatched again.
func (a *Agent) forgetIntent(d proto.Dispatch) {
	if d.Intent != nil {
		a.acceptedIntents.remove(intentID{stream: d.Intent.Stream, offset: d.Intent.Offset})
	}
}

func (a *Agent) onCancel(id proto.AttemptID) {
	j := a.jobs[id]
	if j == nil {
		a.endedAttempts.add(id)
		return
	}
	if j.ended {
		return
	}
	if j.started && !a.cancellable(j) {
		j.router = proto.Addr{}
		return
	}
	a.cancelJob(j)
}

// cancellable reports whether a job may be cancelled after it has started. A plain
// call may not, since its effect would be unknown.
func (a *Agent) cancellable(j *job) bool { return j.dispatch.Class == proto.ClassGenerate }

// cancelJob ends a job whose result nobody needs any more, without a reply.
func (a *Agent) cancelJob(j *job) {
	if j.started {
		a.Send(proto.EngineAddr(a.cfg.Endpoint), proto.EngineCancel{Attempt: j.runID})
		a.unregisterRun(j)
	} else {
		a.queue.Cancel(j.dispatch.Attempt)
		a.forgetIntent(j.dispatch)
	}
	j.ended = true
	a.endedAttempts.add(j.attempt)
	a.removeJob(j)
}

// onConnLost detaches a job from a router whose connection was lost. A stream is
// kept for detachedRetention, in case the caller resumes it. So is a call that has
// not started. A call that has started runs to its end.
func (a *Agent) onConnLost(now proto.Instant, id proto.AttemptID) {
	j := a.jobs[id]
	if j == nil || j.ended {
		return
	}
	j.router = proto.Addr{}
	if j.dispatch.Class == proto.ClassGenerate || !j.started {
		a.setExpiry(j, now.Add(detachedRetention))
	}
}

// expireJobs refuses jobs that reached their deadline in the queue and ends or
// removes jobs that have expired.
func (a *Agent) expireJobs(now proto.Instant) {
	a.refuseItems(a.queue.TakeExpired(now), proto.CauseDeadline)
	if now < a.nextExpiry {
		return
	}
	a.removeExpired(now)
	a.nextExpiry = proto.Never
	for _, j := range a.jobs {
		a.nextExpiry = min(a.nextExpiry, j.expires)
	}
}

// setExpiry sets when a job expires. A later call replaces the time.
func (a *Agent) setExpiry(j *job, at proto.Instant) {
	j.expires = at
	a.nextExpiry = min(a.nextExpiry, at)
}

// roundUp rounds an instant up to a multiple of expiryGranularity.
func roundUp(at proto.Instant) proto.Instant {
	step := proto.Instant(expiryGranularity)
	return (at + step - 1) / step * step
}

func (a *Agent) removeExpired(now proto.Instant) {
	for _, j := range a.sortedJobs() {
		if now < j.expires {
			continue
		}
		switch {
		case j.ended:
			a.endedAttempts.add(j.attempt)
			a.removeJob(j)
		case j.started && j.attached():
			a.Send(proto.EngineAddr(a.cfg.Endpoint), proto.EngineCancel{Attempt: j.runID})
			a.failJob(j, proto.CauseDeadline, proto.MayHaveRun, false)
		default:
			a.cancelJob(j)
		}
	}
}

// runningExpiry returns when a started job expires.
func (a *Agent) runningExpiry(now proto.Instant, j *job) proto.Instant {
	switch {
	case !a.cancellable(j):
		return proto.Never
	case j.attached():
		return j.deadline
	}
	return min(j.deadline, now.Add(detachedRetention))
}
