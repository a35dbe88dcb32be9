package exchange

import (
	"fmt"
	"slices"
	"time"

	"github.com/kumquatsill/kumquatsill/core/check"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/core/route"
)

// place chooses an endpoint and dispatches the request to it. If mayProbe is set
// and the placer asks for probes, it first probes the agents; if the request is
// a suspect, it first requests a trial.
func (x *Exchange) place(now proto.Instant, mayProbe bool) {
	q := x.query
	q.Timeout = x.remaining(now)
	q.Exclude = x.excludedEndpoints
	choice, cause := x.deps.Placement.Choose(now, q)
	if cause != "" {
		x.refusePlacement(now, cause)
		return
	}
	if mayProbe && len(choice.ProbeEndpoints) > 0 {
		x.probe(now, choice.ProbeEndpoints)
		return
	}
	if x.needsTrial() {
		x.requestTrial(now, choice, false)
		return
	}
	x.dispatch(now, choice.Endpoint, choice.Reason, choice.ImportFrom)
}

// refusePlacement ends the request because no endpoint can take it. It is reported
// as not run only if every earlier attempt was refused as not run.
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
	x.stepDeadline = now.Add(probeTimeout)
	x.pendingProbes = slices.Clone(endpoints)
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
	x.pendingProbes = slices.DeleteFunc(x.pendingProbes, func(id proto.EndpointID) bool { return id == m.Report.Endpoint })
	if x.step == StepProbe && len(x.pendingProbes) == 0 {
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
		lastSeq:  x.delivered + proto.Seq(len(x.bufferedChunks)),
	}
	x.step = StepDispatch
	x.stepDeadline = now.Add(silenceTimeout)
	x.deps.Placement.AttemptStarted(now, endpoint, x.query)
	x.Send(proto.AgentAddr(endpoint), x.dispatchMessage(now, source))
}

func (x *Exchange) dispatchMessage(now proto.Instant, source *proto.KVSource) proto.Dispatch {
	s := x.deps.Snapshot()
	instance, _ := x.deps.EndpointTable.Get(x.attempt.endpoint)
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
		ResumeAfter:   x.attempt.lastSeq,
		Timeout:       x.attemptTimeout(now),
		Fingerprint:   x.fingerprint,
		Alone:         x.trial.offset != 0,
		AgentInstance: instance.AgentIncarnation,
		Intent:        x.intent,
		Import:        source,
	}
}

// attemptTimeout returns the time until the deadline, or until the end of the
// trial if that is sooner.
func (x *Exchange) attemptTimeout(now proto.Instant) time.Duration {
	left := x.remaining(now)
	if x.trial.offset != 0 {
		left = min(left, x.trial.endsAt.Sub(now))
	}
	return left
}

// streamRequest returns the ID of the request that started the stream, which for a
// resumed request is an earlier one.
func (x *Exchange) streamRequest() proto.RequestID {
	if x.req.Resume != nil {
		return x.req.Resume.Request
	}
	return x.req.ID
}

func (x *Exchange) stamp() proto.Stamp { return x.deps.Snapshot().Stamp }

// isCurrent reports whether a message belongs to the current attempt and comes
// from the agent that it was dispatched to. Other messages count as misdelivered.
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

// heard records a message of the current attempt and restarts the silence timeout.
func (x *Exchange) heard(now proto.Instant) {
	x.attempt.heard = now
	x.stepDeadline = now.Add(silenceTimeout)
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
	if m.LastSeq > x.attempt.lastSeq {
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
	case m.Seq <= x.attempt.lastSeq:
		x.deps.Stats.Repeated.Add(1)
	case m.Seq > x.attempt.lastSeq+1:
		x.deps.Stats.Gaps.Add(1)
		x.reattach(now, proto.CauseStreamBroken)
	default:
		x.attempt.lastSeq = m.Seq
		x.step = StepStream
		x.handleOutput(now, m)
	}
}

func (x *Exchange) handleOutput(now proto.Instant, m proto.Chunk) {
	if x.firstTokenAt == 0 {
		x.firstTokenAt = now
	}
	chunk := proto.CallerChunk{Request: x.req.ID, Seq: m.Seq, Version: x.query.Version, Text: m.Text}
	if !x.req.Stream {
		x.bufferedChunks = append(x.bufferedChunks, chunk)
		return
	}
	x.sendChunk(chunk)
}

func (x *Exchange) sendChunk(chunk proto.CallerChunk) {
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
	if m.LastSeq != x.attempt.lastSeq {
		x.deps.Stats.Gaps.Add(1)
		x.reattach(now, proto.CauseStreamBroken)
		return
	}
	for _, chunk := range x.bufferedChunks {
		x.sendChunk(chunk)
	}
	x.bufferedChunks = nil
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
	if m.Cause == proto.CauseWrongIncarnation && m.Verdict == proto.NotRun && x.incarnationRetries < maxIncarnationRetries {
		x.incarnationRetries++
		x.redispatch(now)
		return
	}
	x.retry(now, m.Cause)
}

// redispatch repeats a call at the same endpoint, whose agent has reported its new
// incarnation.
func (x *Exchange) redispatch(now proto.Instant) {
	endpoint := x.attempt.endpoint
	const reason = "same endpoint, new agent"
	if x.needsTrial() {
		x.requestTrial(now, route.Choice{Endpoint: endpoint, Reason: reason}, false)
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
		x.deps.Placement.ObserveFailure(now, x.attempt.endpoint)
		x.closeAttempt(now, proto.CauseEndpointFailed, proto.NotRun)
		x.retry(now, proto.CauseEndpointFailed)
		return
	}
	x.reattach(now, proto.CauseEndpointFailed)
}

func (x *Exchange) onSilence(now proto.Instant) {
	x.deps.Stats.Silent.Add(1)
	x.deps.Placement.ObserveFailure(now, x.attempt.endpoint)
	x.reattach(now, proto.CauseEndpointFailed)
}

// reattach requests the rest of a stream from the same agent, which may still have
// it buffered, over a new connection. It does so once per request; after that, the
// request is retried at another endpoint.
func (x *Exchange) reattach(now proto.Instant, cause proto.Cause) {
	endpoint := x.attempt.endpoint
	if x.attempt.lastSeq == 0 {
		x.unknownOutcomes++
	}
	x.closeAttempt(now, cause, proto.MayHaveRun)
	if x.req.Class != proto.ClassGenerate || x.reattached || x.attempt.lastSeq == 0 || x.trial.offset == 0 && x.needsTrial() {
		x.cancelAttempt()
		x.retry(now, cause)
		return
	}
	x.reattached = true
	x.deps.Stats.Reattached.Add(1)
	x.dispatch(now, endpoint, "resume on the same endpoint", nil)
}

// retry schedules another attempt at a different endpoint if the last one did not
// run or the request may be repeated. Otherwise it ends the request.
func (x *Exchange) retry(now proto.Instant, cause proto.Cause) {
	verdict := x.worstVerdict()
	x.excludeEndpoint(x.attempt.endpoint)
	switch {
	case verdict != proto.NotRun && !x.idempotent:
		x.giveUp(now, cause, "the call was dispatched and its outcome is unknown", proto.MayHaveRun, 0)
	case x.attempt.lastSeq > 0 && !x.canRestart():
		x.giveUp(now, proto.CauseStreamBroken, "the stream broke and cannot be continued identically", proto.MayHaveRun, 0)
	case x.unknownOutcomes >= maxUnknownOutcomes:
		x.giveUp(now, cause, "two endpoints fell silent with the request and it was not tried again", proto.MayHaveRun, overloadRetryAfter)
	case len(x.attempts) >= maxAttempts || !x.deps.RetryBudget.Take():
		x.giveUp(now, cause, "the request failed and was not tried again", verdict, overloadRetryAfter)
	default:
		x.deps.Stats.Retries.Add(1)
		x.step = StepBackoff
		x.stepDeadline = now.Add(x.backoff())
	}
}

// canRestart reports whether a stream with output may be run again: either another
// run produces the same tokens, or none of the output has reached the caller. In
// the second case it discards the buffered chunks.
func (x *Exchange) canRestart() bool {
	if x.req.Sampling.Reproducible() {
		return true
	}
	if x.req.Stream {
		return false
	}
	x.bufferedChunks = nil
	return true
}

func (x *Exchange) excludeEndpoint(endpoint proto.EndpointID) {
	if !slices.Contains(x.excludedEndpoints, endpoint) {
		x.excludedEndpoints = append(x.excludedEndpoints, endpoint)
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
	x.deps.Placement.AttemptEnded(now, x.attempt.endpoint, x.query)
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
