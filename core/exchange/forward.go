package exchange

import "github.com/kumquatsill/kumquatsill/core/proto"

// forward hands the call to a router that follows the key's intent stream.
// That router admits it anew, so the tokens go back first.
func (x *Exchange) forward(now proto.Instant, to proto.RouterID) {
	if x.req.Forwarded {
		x.refuse(now, proto.CauseNotReady, "no router that follows the intent stream was found", proto.NotRun, staleRetryAfter)
		return
	}
	x.settle(now, 0, true)
	x.forwardedTo = proto.RouterAddr(to)
	x.step = StepForward
	x.stepUntil = x.deadline
	req := x.req
	req.Forwarded = true
	req.Timeout = x.remaining(now)
	x.Send(x.forwardedTo, proto.IntentForward{Stamp: x.stamp(), Account: x.account.ID, Request: req})
}

// isForwardAnswer drops answers of other routers and to other requests.
func (x *Exchange) isForwardAnswer(from proto.Addr, id proto.RequestID) bool {
	if x.step == StepForward && from == x.forwardedTo && id == x.req.ID {
		return true
	}
	x.deps.Stats.Misdelivered.Add(1)
	return false
}

func (x *Exchange) onForwardFinish(now proto.Instant, from proto.Addr, m proto.CallerFinish) {
	if x.isForwardAnswer(from, m.Request) {
		x.finish(now, m)
	}
}

func (x *Exchange) onForwardRefusal(now proto.Instant, from proto.Addr, m proto.CallerRefusal) {
	if x.isForwardAnswer(from, m.Request) {
		x.end(now, m)
	}
}
