package exchange

import (
	"fmt"
	"slices"
	"time"

	"github.com/kumquatsill/kumquatsill/core/check"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/core/route"
)

// place picks an endpoint and dispatches, after probing if that is allowed
// and worthwhile.
func (x *Exchange) place(now proto.Instant, mayProbe bool) {
	q := x.query
	q.Timeout = x.remaining(now)
	q.Exclude = x.excluded
	choice, cause := x.deps.Placement.Choose(now, q)
	if cause != "" {
		x.refusePlacement(now, cause)
		return
	}
	if mayProbe && len(choice.Probe) > 0 {
		x.probe(now, choice.Probe)
		return
	}
	if x.needsTrial() {
		x.askTrial(now, choice, false)
		return
	}
	x.dispatch(now, choice.Endpoint, choice.Reason, choice.Import)
}

// refusePlacement ends the request where no endpoint can take it. An earlier
// attempt may have run unless each of them was refused as not run.
func (x *Exchange) refusePlacement(now proto.Instant, cause proto.Cause) {
	detail := "no endpoint can take the request now"
	if cause == proto.CauseOverload {
		detail = "no endpoint can finish the request before its deadline"
	}
	x.giveUp(now, cause, detail, x.worstVerdict(), overloadRetryAfter)
}

func (x *Exchange) worstVerdict() proto.Verdict {
	if x.step == StepForward {
		return proto.MayHaveRun
	}
	for _, a := range x.attempts {
		if a.Verdict != proto.NotRun {
			return proto.MayHaveRun
		}
	}
	return proto.NotRun
}

func (x *Exchange) probe(now proto.Instant, endpoints []proto.EndpointID) {
	x.step = StepProbe
	x.stepUntil = now.Add(probeTimeout)
	x.probing = slices.Clone(endpoints)
	for _, id := range endpoints {
		x.Send(proto.AgentAddr(id), proto.Probe{Stamp: x.stamp(), Request: x.req.ID, Blocks: x.query.Blocks})
	}
}

func (x *Exchange) onProbeReply(now proto.Instant, m proto.ProbeReply) {
	if m.Request != x.req.ID {
		x.deps.Stats.Misdelivered.Add(1)
		return
	}
	x.observe(now, m.Report)
	x.probing = slices.DeleteFunc(x.probing, func(id proto.EndpointID) bool { return id == m.Report.Endpoint })
	if x.step == StepProbe && len(x.probing) == 0 {
		x.place(now, false)
	}
}

func (x *Exchange) dispatch(now proto.Instant, endpoint proto.EndpointID, reason string, source *proto.KVSource) {
	x.checkBinding()
	x.attempt = attempt{
		id:       proto.NewAttemptID(x.req.ID, len(x.attempts)+1),
		endpoint: endpoint,
		reason:   reason,
		heard:    now,
		last:     x.delivered + proto.Seq(len(x.held)),
	}
	x.step = StepDispatch
	x.stepUntil = now.Add(silenceTimeout)
	x.deps.Placement.Dispatched(now, endpoint, x.query)
	x.Send(proto.AgentAddr(endpoint), x.dispatchMessage(now, source))
}

func (x *Exchange) dispatchMessage(now proto.Instant, source *proto.KVSource) proto.Dispatch {
	s := x.deps.Snapshot()
	life, _ := x.deps.EndpointTable.Get(x.attempt.endpoint)
	return proto.Dispatch{
		Stamp:         s.Stamp,
		Attempt:       x.attempt.id,
		Request:       x.streamRequest(),
		Account:       x.account.ID,
		Class:         x.req.Class,
		Endpoint:      x.attempt.endpoint,
		Priority:      x.account.Priority,
		Weight:        max(1, x.account.Weight),
		Method:        x.req.Method,
		Path:          x.req.Path,
		Query:         x.req.Query,
		Body:          x.req.Body,
		ContentType:   x.req.ContentType,
		Model:         x.query.Model,
		Version:       x.query.Version,
		Adapter:       x.query.Adapter,
		Sampling:      x.req.Sampling,
		MaxTokens:     x.req.MaxTokens,
		PromptTokens:  x.req.PromptTokens,
		Blocks:        x.query.Blocks,
		ResumeAfter:   x.attempt.last,
		Timeout:       x.attemptTime(now),
		Fingerprint:   x.fingerprint,
		Alone:         x.trial.at != 0,
		AgentInstance: life.AgentIncarnation,
		Intent:        x.intent,
		Import:        source,
	}
}

// attemptTime is the time left to the deadline, and to the end of a trial.
func (x *Exchange) attemptTime(now proto.Instant) time.Duration {
	left := x.remaining(now)
	if x.trial.at != 0 {
		left = min(left, x.trial.ends.Sub(now))
	}
	return left
}

// streamRequest names the stream: a resumed request continues its predecessor's.
func (x *Exchange) streamRequest() proto.RequestID {
	if x.req.Resume != nil {
		return x.req.Resume.Request
	}
	return x.req.ID
}

func (x *Exchange) stamp() proto.Stamp { return x.deps.Snapshot().Stamp }

// isCurrent drops answers of other attempts and from other senders than the
// one that the attempt went to.
func (x *Exchange) isCurrent(from proto.Addr, id proto.AttemptID) bool {
	if id == x.attempt.id && from == proto.AgentAddr(x.attempt.endpoint) && x.inFlight() {
		return true
	}
	x.deps.Stats.Misdelivered.Add(1)
	return false
}

func (x *Exchange) inFlight() bool {
	return x.step == StepDispatch || x.step == StepQueue || x.step == StepStream
}

func (x *Exchange) observe(now proto.Instant, r proto.Report) {
	x.deps.Placement.Observe(now, r, x.query.Blocks)
	x.deps.EndpointTable.Observe(now, r)
}

func (x *Exchange) heard(now proto.Instant) {
	x.attempt.heard = now
	x.stepUntil = now.Add(silenceTimeout)
}

func (x *Exchange) onAccepted(now proto.Instant, from proto.Addr, m proto.Accepted) {
	if !x.isCurrent(from, m.Attempt) {
		return
	}
	x.heard(now)
	x.attempt.accepted = true
	x.observe(now, m.Report)
	if x.step == StepDispatch {
		x.step = StepQueue
	}
}

func (x *Exchange) onHeartbeat(now proto.Instant, from proto.Addr, m proto.Heartbeat) {
	if !x.isCurrent(from, m.Attempt) {
		return
	}
	x.heard(now)
	x.observe(now, m.Report)
	if m.LastSeq > x.attempt.last {
		x.deps.Stats.Gaps.Add(1)
		x.reattach(now, proto.CauseStreamBroken)
	}
}

func (x *Exchange) onChunk(now proto.Instant, from proto.Addr, m proto.Chunk) {
	if !x.isCurrent(from, m.Attempt) {
		return
	}
	x.heard(now)
	switch {
	case m.Seq <= x.attempt.last:
		x.deps.Stats.Repeated.Add(1)
	case m.Seq > x.attempt.last+1:
		x.deps.Stats.Gaps.Add(1)
		x.reattach(now, proto.CauseStreamBroken)
	default:
		x.attempt.last = m.Seq
		x.step = StepStream
		x.deliver(now, m)
	}
}

func (x *Exchange) deliver(now proto.Instant, m proto.Chunk) {
	if x.firstToken == 0 {
		x.firstToken = now
	}
	chunk := proto.CallerChunk{Request: x.req.ID, Seq: m.Seq, Version: x.query.Version, Text: m.Text}
	if !x.req.Stream {
		x.held = append(x.held, chunk)
		return
	}
	x.send(chunk)
}

func (x *Exchange) send(chunk proto.CallerChunk) {
	x.deps.Checks.Check(check.StreamIntegrity, chunk.Seq == x.delivered+1, func() string {
		return fmt.Sprintf("request %s: chunk %d follows chunk %d", x.req.ID, chunk.Seq, x.delivered)
	})
	x.delivered = chunk.Seq
	x.Send(proto.CallerAddr(x.req.ID), chunk)
}

func (x *Exchange) onFinish(now proto.Instant, from proto.Addr, m proto.Finish) {
	if !x.isCurrent(from, m.Attempt) {
		return
	}
	x.observe(now, m.Report)
	if m.LastSeq != x.attempt.last {
		x.deps.Stats.Gaps.Add(1)
		x.reattach(now, proto.CauseStreamBroken)
		return
	}
	for _, chunk := range x.held {
		x.send(chunk)
	}
	x.held = nil
	x.closeAttempt(now, "", proto.Ran)
	x.deps.RetryBudget.RecordSuccess()
	x.finish(now, proto.CallerFinish{
		LastSeq:     m.LastSeq,
		Status:      m.Status,
		ContentType: m.ContentType,
		Body:        m.Body,
		Usage:       m.Usage,
		Endpoint:    x.attempt.endpoint,
	})
}

func (x *Exchange) onRefused(now proto.Instant, from proto.Addr, m proto.AttemptRefused) {
	if !x.isCurrent(from, m.Attempt) {
		return
	}
	x.observe(now, m.Report)
	if m.Crashed {
		x.onCrash(m)
	}
	x.closeAttempt(now, m.Cause, m.Verdict)
	if m.Cause == proto.CauseWrongIncarnation && m.Verdict == proto.NotRun && x.lifeRetries < maxLifeRetries {
		x.lifeRetries++
		x.again(now)
		return
	}
	x.retry(now, m.Cause)
}

// again repeats a call at the same endpoint, whose agent has told its new life.
func (x *Exchange) again(now proto.Instant) {
	endpoint := x.attempt.endpoint
	const reason = "same endpoint, new agent"
	if x.needsTrial() {
		x.askTrial(now, route.Choice{Endpoint: endpoint, Reason: reason}, false)
		return
	}
	x.dispatch(now, endpoint, reason, nil)
}

func (x *Exchange) onConnLost(now proto.Instant, m proto.ConnLost) {
	if m.Attempt != x.attempt.id || !x.inFlight() {
		x.deps.Stats.Late.Add(1)
		return
	}
	if m.Unsent && !x.attempt.accepted && x.step == StepDispatch {
		x.deps.Placement.Failed(now, x.attempt.endpoint)
		x.closeAttempt(now, proto.CauseEndpointFailed, proto.NotRun)
		x.retry(now, proto.CauseEndpointFailed)
		return
	}
	x.reattach(now, proto.CauseEndpointFailed)
}

func (x *Exchange) onSilence(now proto.Instant) {
	x.deps.Stats.Silent.Add(1)
	x.deps.Placement.Failed(now, x.attempt.endpoint)
	x.reattach(now, proto.CauseEndpointFailed)
}

// reattach asks the same agent once for the rest of a stream that it may
// still hold, over a new connection. After that, another endpoint is tried.
func (x *Exchange) reattach(now proto.Instant, cause proto.Cause) {
	endpoint := x.attempt.endpoint
	if x.attempt.last == 0 {
		x.unknownFates++
	}
	x.closeAttempt(now, cause, proto.MayHaveRun)
	if x.req.Class != proto.ClassGenerate || x.reattached || x.attempt.last == 0 || x.trial.at == 0 && x.needsTrial() {
		x.cancelAttempt()
		x.retry(now, cause)
		return
	}
	x.reattached = true
	x.deps.Stats.Reattached.Add(1)
	x.dispatch(now, endpoint, "resume on the same endpoint", nil)
}

// retry makes another attempt if the last one did not run or may run again,
// and ends the request otherwise.
func (x *Exchange) retry(now proto.Instant, cause proto.Cause) {
	verdict := x.worstVerdict()
	x.exclude(x.attempt.endpoint)
	switch {
	case verdict != proto.NotRun && !x.idempotent:
		x.giveUp(now, cause, "the call was dispatched and its outcome is unknown", proto.MayHaveRun, 0)
	case x.attempt.last > 0 && !x.restartable():
		x.giveUp(now, proto.CauseStreamBroken, "the stream broke and cannot be continued identically", proto.MayHaveRun, 0)
	case x.unknownFates >= maxUnknownFates:
		x.giveUp(now, cause, "two endpoints fell silent with the request and it was not tried again", proto.MayHaveRun, overloadRetryAfter)
	case len(x.attempts) >= maxAttempts || !x.deps.RetryBudget.Take():
		x.giveUp(now, cause, "the request failed and was not tried again", verdict, overloadRetryAfter)
	default:
		x.deps.Stats.Retries.Add(1)
		x.step = StepBackoff
		x.stepUntil = now.Add(x.backoff())
	}
}

// restartable reports whether another run gives the same tokens, or whether
// nothing has reached the caller yet.
func (x *Exchange) restartable() bool {
	if x.req.Sampling.Reproducible() {
		return true
	}
	if x.req.Stream {
		return false
	}
	x.held = nil
	return true
}

func (x *Exchange) exclude(endpoint proto.EndpointID) {
	if !slices.Contains(x.excluded, endpoint) {
		x.excluded = append(x.excluded, endpoint)
	}
}

func (x *Exchange) backoff() time.Duration {
	limit := min(backoffBase<<len(x.attempts), backoffMax)
	return limit/2 + time.Duration(x.rng.Int64N(int64(limit/2)))
}

func (x *Exchange) cancelAttempt() {
	x.Send(proto.AgentAddr(x.attempt.endpoint), proto.Cancel{Stamp: x.stamp(), Attempt: x.attempt.id})
}

func (x *Exchange) closeAttempt(now proto.Instant, cause proto.Cause, verdict proto.Verdict) {
	x.deps.Placement.Ended(now, x.attempt.endpoint, x.query)
	switch verdict {
	case proto.Ran:
		x.endTrial(proto.TrialCleared, "")
	case proto.NotRun:
		x.endTrial(proto.TrialUnused, "")
	}
	x.attempts = append(x.attempts, proto.AttemptSummary{
		Attempt:  x.attempt.id,
		Endpoint: x.attempt.endpoint,
		Reason:   x.attempt.reason,
		Cause:    cause,
		Verdict:  verdict,
	})
	x.step = StepBackoff
}
