package agent

import (
	"fmt"
	"slices"

	"github.com/kumquatsill/kumquatsill/core/check"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/core/queue"
)

func (a *Agent) onDispatch(now proto.Instant, from proto.Addr, d proto.Dispatch) {
	if a.closed.has(d.Attempt) || a.jobs[d.Attempt] != nil {
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
	if cause, verdict, refused := a.admission(now, d); refused {
		a.refuse(from, d, cause, verdict)
		return
	}
	a.accept(now, from, d)
}

// admission decides whether a new dispatch may be queued.
func (a *Agent) admission(now proto.Instant, d proto.Dispatch) (proto.Cause, proto.Verdict, bool) {
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

// serves reports whether the engine holds the weights of a generation.
func (a *Agent) serves(d proto.Dispatch) bool {
	if a.engine.versions[d.Model] != d.Version || a.isChanging(d.Model) {
		return false
	}
	return d.Adapter == "" || slices.Contains(a.engine.adapters, d.Adapter)
}

// admitIntent lets an intent through once. An intent that was accepted before
// and did not end as not run may have run.
func (a *Agent) admitIntent(d proto.Dispatch) (proto.Cause, proto.Verdict, bool) {
	if d.AgentInstance != a.cfg.Incarnation {
		return proto.CauseWrongIncarnation, proto.NotRun, true
	}
	id := intentID{stream: d.Intent.Stream, offset: d.Intent.Offset}
	if a.started.has(id) {
		return proto.CauseDuplicate, proto.MayHaveRun, true
	}
	if !a.intents.add(id) {
		return proto.CauseDuplicate, proto.MayHaveRun, true
	}
	return "", 0, false
}

func (a *Agent) accept(now proto.Instant, from proto.Addr, d proto.Dispatch) {
	j := &job{
		dispatch: d,
		attempt:  d.Attempt,
		router:   from,
		run:      d.Attempt,
		last:     d.ResumeAfter,
		first:    d.ResumeAfter,
		deadline: now.Add(d.Timeout),
		expires:  proto.Never,
	}
	item := queue.Item{
		Attempt:  d.Attempt,
		Account:  d.Account,
		Priority: d.Priority,
		Weight:   d.Weight,
		Tokens:   a.missing(d),
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
	a.add(j)
	a.Send(from, proto.Accepted{Stamp: a.stamp, Attempt: d.Attempt, Report: a.report(d.Blocks)})
	a.beatAt = min(a.beatAt, now.Add(heartbeatInterval))
}

// refuseItems answers items that left the queue without having started.
func (a *Agent) refuseItems(items []queue.Item, cause proto.Cause) {
	for _, item := range items {
		if j := a.findQueued(item.Attempt); j != nil {
			a.refuseWaiting(j, cause)
		}
	}
}

// refuseWaiting ends a job that is no longer in the queue and did not start.
func (a *Agent) refuseWaiting(j *job, cause proto.Cause) {
	a.forgetIntent(j.dispatch)
	j.ended = true
	a.remove(j)
	a.closed.add(j.attempt)
	if j.attached() {
		d := j.dispatch
		d.Attempt = j.attempt
		a.refuse(j.router, d, cause, proto.NotRun)
	}
}

// missing estimates the work of a dispatch, in tokens.
func (a *Agent) missing(d proto.Dispatch) int64 {
	if len(d.Blocks) == 0 {
		return max(1, d.PromptTokens)
	}
	held := int64(a.index.Lookup(a.engine.incarnation, d.Blocks))
	perBlock := d.PromptTokens / int64(len(d.Blocks))
	return max(1, d.PromptTokens-held*perBlock)
}

// reattach makes the stream of a job go to another attempt, from the chunk
// after the last one that its router has.
func (a *Agent) reattach(now proto.Instant, from proto.Addr, j *job, d proto.Dispatch) {
	if !j.holds(d.ResumeAfter) {
		a.refuse(from, d, proto.CauseNotResumable, proto.NotRun)
		return
	}
	a.stats.Reattached++
	a.closed.add(j.attempt)
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
	a.beatAt = min(a.beatAt, now.Add(heartbeatInterval))
}

// refuse answers a dispatch that the agent does not take.
func (a *Agent) refuse(to proto.Addr, d proto.Dispatch, cause proto.Cause, verdict proto.Verdict) {
	a.stats.Refused++
	a.closed.add(d.Attempt)
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

func (a *Agent) forgetIntent(d proto.Dispatch) {
	if d.Intent != nil {
		a.intents.remove(intentID{stream: d.Intent.Stream, offset: d.Intent.Offset})
	}
}

func (a *Agent) onCancel(id proto.AttemptID) {
	j := a.jobs[id]
	if j == nil {
		a.closed.add(id)
		return
	}
	if j.ended {
		return
	}
	if j.started && !a.cancellable(j) {
		j.router = proto.Addr{}
		return
	}
	a.drop(j)
}

// cancellable reports whether a started job may be stopped half-way: a plain
// call may not, since its effect would be unknown.
func (a *Agent) cancellable(j *job) bool { return j.dispatch.Class == proto.ClassGenerate }

// drop ends a job that nobody wants any more.
func (a *Agent) drop(j *job) {
	if j.started {
		a.Send(proto.EngineAddr(a.cfg.Endpoint), proto.EngineCancel{Attempt: j.run})
		a.stop(j)
	} else {
		a.queue.Cancel(j.dispatch.Attempt)
		a.forgetIntent(j.dispatch)
	}
	j.ended = true
	a.closed.add(j.attempt)
	a.remove(j)
}

// onConnLost detaches a job from a router that is gone. A stream is kept for
// a while, in case the caller resumes it.
func (a *Agent) onConnLost(now proto.Instant, id proto.AttemptID) {
	j := a.jobs[id]
	if j == nil || j.ended {
		return
	}
	j.router = proto.Addr{}
	if j.dispatch.Class == proto.ClassGenerate || !j.started {
		a.setExpiry(j, now.Add(detachedFor))
	}
}

// expire refuses work that waited too long and forgets what nobody asked for.
func (a *Agent) expire(now proto.Instant) {
	a.refuseItems(a.queue.TakeExpired(now), proto.CauseDeadline)
	if now < a.expireAt {
		return
	}
	a.dropExpired(now)
	a.expireAt = proto.Never
	for _, j := range a.jobs {
		a.expireAt = min(a.expireAt, j.expires)
	}
}

// setExpiry sets when a job is dropped unless it is set anew.
func (a *Agent) setExpiry(j *job, at proto.Instant) {
	j.expires = at
	a.expireAt = min(a.expireAt, at)
}

// roundUp moves an instant up to the grid of expiryStep.
func roundUp(at proto.Instant) proto.Instant {
	step := proto.Instant(expiryStep)
	return (at + step - 1) / step * step
}

func (a *Agent) dropExpired(now proto.Instant) {
	for _, j := range a.sortedJobs() {
		if now < j.expires {
			continue
		}
		switch {
		case j.ended:
			a.closed.add(j.attempt)
			a.remove(j)
		case j.started && j.attached():
			a.Send(proto.EngineAddr(a.cfg.Endpoint), proto.EngineCancel{Attempt: j.run})
			a.endBroken(j, proto.CauseDeadline, proto.MayHaveRun, false)
		default:
			a.drop(j)
		}
	}
}

func (a *Agent) runningExpiry(now proto.Instant, j *job) proto.Instant {
	switch {
	case !a.cancellable(j):
		return proto.Never
	case j.attached():
		return j.deadline
	}
	return min(j.deadline, now.Add(detachedFor))
}
