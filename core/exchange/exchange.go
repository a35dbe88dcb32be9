// Package exchange carries one caller request from admission to its end:
// attempts, streams, retries and deadlines. An Exchange is a state machine
// without I/O that reads the router's state only through Deps.
package exchange

import (
	"math/rand/v2"
	"time"

	"github.com/kumquatsill/kumquatsill/core/check"
	"github.com/kumquatsill/kumquatsill/core/limit"
	"github.com/kumquatsill/kumquatsill/core/note"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/core/route"
)

// Deps is what an exchange shares with the other exchanges of its router.
// Everything in it is safe for concurrent use.
type Deps struct {
	// Self is the router's address.
	Self proto.Addr
	// Snapshot returns the state in force.
	Snapshot    func() *Snapshot
	Limits      limit.Limiter
	Placement   route.Placer
	RetryBudget *RetryBudget
	Stats       *Stats
	Checks      *check.Monitor
	// EndpointTable may be shared with the control machine, which asks it whether an
	// endpoint has crashed.
	EndpointTable *EndpointTable
}

// Exchange is one caller request. It is not safe for concurrent use.
type Exchange struct {
	proto.Outbox
	deps *Deps
	rng  *rand.Rand

	req         proto.CallerRequest
	account     note.Account
	keyed       bool
	route       note.Route
	query       route.Query
	fingerprint proto.Fingerprint
	intent      *proto.Intent
	idempotent  bool

	step     Step
	arrived  proto.Instant
	deadline proto.Instant
	// stepUntil ends the current step's wait.
	stepUntil proto.Instant
	checkAt   proto.Instant

	reserved int64
	// tokensUntil ends the wait for tokens, tokensPoll is the time to the next try.
	tokensUntil proto.Instant
	tokensPoll  time.Duration
	rateReason  string
	// probing lists the agents whose probe reply is awaited.
	probing  []proto.EndpointID
	attempt  attempt
	attempts []proto.AttemptSummary
	excluded []proto.EndpointID
	// delivered is the last chunk number sent to the caller.
	delivered proto.Seq
	// held keeps the chunks of a request that is not streamed until its end.
	held       []proto.CallerChunk
	firstToken proto.Instant
	reattached bool
	// unknownFates counts attempts that fell silent without output.
	unknownFates int

	// crashed is set once the request is known to need a trial.
	crashed bool
	trial   trial
	// answer is the refusal that waits until every router knows of a crash.
	answer      *proto.CallerRefusal
	forwardedTo proto.Addr
	lifeRetries int
}

// attempt is the dispatch in flight.
type attempt struct {
	id       proto.AttemptID
	endpoint proto.EndpointID
	reason   string
	heard    proto.Instant
	accepted bool
	last     proto.Seq
}

// New starts an exchange at the arrival of its request.
func New(now proto.Instant, deps *Deps, req proto.CallerRequest, seed uint64) *Exchange {
	x := &Exchange{
		Outbox:  proto.NewOutbox(deps.Self),
		deps:    deps,
		rng:     rand.New(rand.NewPCG(seed, uint64(now))),
		req:     req,
		arrived: now,
		checkAt: now.Add(recheckInterval),
	}
	x.deadline = now.Add(x.timeout())
	x.stepUntil = x.deadline
	x.admit(now)
	return x
}

func (x *Exchange) timeout() time.Duration {
	if x.req.Timeout > 0 {
		return min(x.req.Timeout, maxTimeout)
	}
	return defaultTimeout
}

// Done reports whether the request has ended.
func (x *Exchange) Done() bool { return x.step == StepDone }

// CurrentStep returns the step that the request is in.
func (x *Exchange) CurrentStep() Step { return x.step }

// Wake implements proto.Machine.
func (x *Exchange) Wake() proto.Instant {
	if x.Done() {
		return proto.Never
	}
	wake := proto.Earliest(x.deadline, x.stepUntil, x.checkAt)
	if x.inFlight() && x.trial.at != 0 {
		wake = min(wake, x.trial.ends)
	}
	return wake
}

// Step implements proto.Machine.
func (x *Exchange) Step(now proto.Instant, in proto.Envelope) {
	if x.Done() {
		x.deps.Stats.Late.Add(1)
		if m, ok := in.Msg.(proto.TrialDecided); ok {
			x.dropTrial(m)
		}
		return
	}
	// After a pause, messages may come before the tick that is due.
	if x.recheck(now); x.Done() {
		return
	}
	switch m := in.Msg.(type) {
	case proto.CallerGone:
		x.onGone(now, m)
	case proto.TrialDecided:
		x.onTrial(now, m)
	case proto.CallerFinish:
		x.onForwardFinish(now, in.From, m)
	case proto.CallerRefusal:
		x.onForwardRefusal(now, in.From, m)
	case proto.IntentDecided:
		x.onIntent(now, m)
	case proto.ProbeReply:
		x.onProbeReply(now, m)
	case proto.Accepted:
		x.onAccepted(now, in.From, m)
	case proto.Chunk:
		x.onChunk(now, in.From, m)
	case proto.Heartbeat:
		x.onHeartbeat(now, in.From, m)
	case proto.Finish:
		x.onFinish(now, in.From, m)
	case proto.AttemptRefused:
		x.onRefused(now, in.From, m)
	case proto.ConnLost:
		x.onConnLost(now, m)
	}
}

func (x *Exchange) onGone(now proto.Instant, m proto.CallerGone) {
	if m.Request != x.req.ID {
		x.deps.Stats.Misdelivered.Add(1)
		return
	}
	x.abort(now, proto.CauseCanceled, "the caller closed the connection")
}

// Tick implements proto.Machine.
func (x *Exchange) Tick(now proto.Instant) {
	if x.Done() {
		return
	}
	if !now.Before(x.deadline) {
		x.abort(now, proto.CauseDeadline, "the deadline passed")
		return
	}
	x.recheck(now)
	if x.inFlight() && x.trial.at != 0 && !now.Before(x.trial.ends) {
		x.abort(now, proto.CauseDeadline, "the trial of the request took too long")
	}
	if x.Done() || now.Before(x.stepUntil) {
		return
	}
	x.onStepTimeout(now)
}

// recheck looks again, when it is due, at what may have changed since admission.
func (x *Exchange) recheck(now proto.Instant) {
	if now.Before(x.checkAt) {
		return
	}
	x.checkAt = now.Add(recheckInterval)
	x.recheckKey(now)
	if !x.Done() {
		x.recall(now)
	}
}

func (x *Exchange) onStepTimeout(now proto.Instant) {
	switch x.step {
	case StepProbe, StepBackoff:
		x.place(now, false)
	case StepTokens:
		x.reserve(now)
	case StepIntent:
		x.onIntentTimeout(now)
	case StepTrial:
		x.onTrialTimeout(now)
	case StepDispatch, StepQueue, StepStream:
		x.onSilence(now)
	}
}
