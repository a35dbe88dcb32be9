package exchange

import (
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// finish ends the request with a full answer.
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
		used = x.usedByCut() // the engine counted nothing
	}
	x.settle(now, used, f.Replayed)
	x.close(now, proto.Ran, "", f.Usage)
}

// refuse ends the request without an answer.
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
	x.settle(now, x.usedByCut(), false)
	x.close(now, r.Verdict, r.Cause, proto.Usage{})
}

// abort ends the request at any step and cancels an attempt in flight.
func (x *Exchange) abort(now proto.Instant, cause proto.Cause, detail string) {
	if x.inFlight() {
		x.cancelAttempt()
		x.closeAttempt(now, cause, proto.MayHaveRun)
	}
	x.refuse(now, cause, detail, x.worstVerdict(), 0)
}

// usedByCut returns the tokens that a request without a full answer keeps:
// none if no attempt ran, else at least the prompt and what was generated,
// counted as one token a chunk.
func (x *Exchange) usedByCut() int64 {
	if x.worstVerdict() == proto.NotRun || x.req.Class == proto.ClassCall {
		return 0 // settle keeps the whole cost of a call that may have run
	}
	last := max(x.attempt.last, x.delivered)
	if x.req.Resume != nil {
		last -= x.req.Resume.After
	}
	return x.req.PromptTokens + max(0, int64(last))
}

// settle gives back the tokens that were reserved and not used.
func (x *Exchange) settle(now proto.Instant, used int64, replayed bool) {
	if x.reserved == 0 {
		return
	}
	if x.req.Class == proto.ClassCall && !replayed && used == 0 && x.worstVerdict() != proto.NotRun {
		used = x.reserved
	}
	if unused := x.reserved - used; unused > 0 {
		x.deps.Limits.Refund(now, x.account.ID, unused)
	}
	x.reserved = 0
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
	if x.firstToken != 0 {
		ended.FirstToken = x.firstToken.Sub(x.arrived)
	}
	x.Send(x.deps.Self, ended)
}
