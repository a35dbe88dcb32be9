package exchange

import "github.com/kumquatsill/kumquatsill/core/proto"

// forward forwards the call to a router that follows the intent stream of its
// idempotency key. That router admits the call again, so the reserved tokens are
// refunded first.
func (x *Exchange) forward(now proto.Instant, to proto.RouterID) {
	if x.req.Forwarded {
		x.refuse(now, proto.CauseNotReady, "no router that follows the intent stream was found", proto.NotRun, staleRetryAfter)
		return
	}
	x.refundUnused(now, 0, true)
	x.forwardedTo = proto.RouterAddr(to)
	x.step = StepForward
	x.stepDeadline = x.deadline
	req := x.req
	req.Forwarded = true
	req.Timeout = x.remaining(now)
	x.Send(x.forwardedTo, proto.IntentForward{Stamp: x.stamp(), Account: x.account.ID, Request: req})
}

// isForwardResponse reports whether a message is the response to this request from
// the router it was forwarded to. Other messages count as misdelivered.
func (x *Exchange) isForwardResponse(from proto.Addr, id proto.RequestID) bool {
	if x.step == StepForward && from == x.forwardedTo && id == x.req.ID {
		return true
	}
	x.deps.Stats.Misdelivered.Add(1)
	return false
}

func (x *Exchange) onForwardFinish(now proto.Instant, from proto.Addr, m proto.CallerFinish) {
	if x.isForwardResponse(from, m.Request) {
		x.finish(now, m)
	}
}

func (x *Exchange) onForwardRefusal(now proto.Instant, from proto.Addr, m proto.CallerRefusal) {
	if x.isForwardResponse(from, m.Request) {
		x.end(now, m)
	}
}
