package exchange

import (
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// finish ends the request with a complete response.
func (x *Exchange) finish(now proto.Instant, f proto.CallerFinish) {
	f.Request = x.req.ID
	x.Send(proto.CallerAddr(x.req.ID), f)
	if x.intent != nil && !f.Replayed {
		outcome := f
		x.Send(x.deps.Self, proto.OutcomeKnown{
			Request: x.req.ID, Account: x.account.ID, Intent: *x.intent, Verdict: proto.Ran, Finish: &outcome,
		})
	}
	used := f.Usage.PromptTokens + f.Usage.CompletionTokens
	if used == 0 && !f.Replayed {
		used = x.usedWithoutResponse() // the engine reported no usage
	}
	x.refundUnused(now, used, f.Replayed)
	x.close(now, proto.Ran, "", f.Usage)
}

// refuse ends the request without a response from an endpoint.
func (x *Exchange) refuse(now proto.Instant, cause proto.Cause, detail string, verdict proto.Verdict, retryAfter time.Duration) {
	x.end(now, proto.CallerRefusal{Cause: cause, Detail: detail, Verdict: verdict, RetryAfter: retryAfter})
}

func (x *Exchange) end(now proto.Instant, r proto.CallerRefusal) {
	r.Request = x.req.ID
	x.Send(proto.CallerAddr(x.req.ID), r)
	if x.step == StepIntent {
		x.Send(x.deps.Self, proto.IntentDropped{Request: x.req.ID})
	}
	if x.intent != nil {
		x.Send(x.deps.Self, proto.OutcomeKnown{
			Request: x.req.ID, Account: x.account.ID, Intent: *x.intent, Verdict: r.Verdict,
		})
	}
	x.refundUnused(now, x.usedWithoutResponse(), false)
	x.close(now, r.Verdict, r.Cause, proto.Usage{})
}

// abort ends the request in any step and cancels the attempt in flight, if any.
func (x *Exchange) abort(now proto.Instant, cause proto.Cause, detail string) {
	if x.inFlight() {
		x.cancelAttempt()
		x.closeAttempt(now, cause, proto.MayHaveRun)
	}
	x.refuse(now, cause, detail, x.worstVerdict(), 0)
}

// usedWithoutResponse returns the number of tokens charged for a request without a
// complete response: none if no attempt ran, otherwise at least the prompt and the
// output so far, counted as one token per chunk.
func (x *Exchange) usedWithoutResponse() int64 {
	if x.worstVerdict() == proto.NotRun || x.req.Class == proto.ClassCall {
		return 0 // refundUnused charges the full cost of a call that may have run
	}
	lastSeq := max(x.attempt.lastSeq, x.delivered)
	if x.req.Resume != nil {
		lastSeq -= x.req.Resume.After
	}
	return x.req.PromptTokens + max(0, int64(lastSeq))
}

// refundUnused refunds the tokens that were reserved and not used.
func (x *Exchange) refundUnused(now proto.Instant, used int64, replayed bool) {
	if x.reservedTokens == 0 {
		return
	}
	if x.req.Class == proto.ClassCall && !replayed && used == 0 && x.worstVerdict() != proto.NotRun {
		used = x.reservedTokens
	}
	if unused := x.reservedTokens - used; unused > 0 {
		x.deps.Limits.Refund(now, x.account.ID, unused)
	}
	x.reservedTokens = 0
}

func (x *Exchange) close(now proto.Instant, verdict proto.Verdict, cause proto.Cause, usage proto.Usage) {
	x.step = StepDone
	ended := proto.RequestEnded{
		Request:    x.req.ID,
		Account:    x.account.ID,
		Class:      x.req.Class,
		Path:       x.req.Path,
		Model:      x.query.Model,
		Version:    x.query.Version,
		Revision:   x.stamp().Revision,
		Arrived:    x.req.ArrivedWall,
		RateReason: x.rateReason,
		Attempts:   x.attempts,
		Verdict:    verdict,
		Cause:      cause,
		Usage:      usage,
		Total:      now.Sub(x.arrived),
	}
	if x.firstTokenAt != 0 {
		ended.FirstToken = x.firstTokenAt.Sub(x.arrived)
	}
	x.Send(x.deps.Self, ended)
}
