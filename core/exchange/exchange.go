// Package exchange processes one caller request from admission to its end,
// including attempts, streaming, retries and deadlines. An Exchange is a state
// machine without I/O that accesses the router's state only through Deps.
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

// Deps holds what an exchange shares with the other exchanges of its router. All
// of it is safe for concurrent use.
type Deps struct {
	// Self is the router's address.
	Self proto.Addr
	// Snapshot returns the current state.
	Snapshot    func() *Snapshot
	Limits      limit.Limiter
	Placement   route.Placer
	RetryBudget *RetryBudget
	Stats       *Stats
	Checks      *check.Monitor
	// EndpointTable may be shared with the control machine, which compares engine
	// incarnations to tell whether an endpoint has crashed.
	EndpointTable *EndpointTable
}

// Exchange is the state machine of one caller request. It is not safe for
// concurrent use.
type Exchange struct {
	proto.Outbox
	deps *Deps
	rng  *rand.Rand

	req         proto.CallerRequest
	account     note.Account
	needsKey    bool
	route       note.Route
	query       route.Query
	fingerprint proto.Fingerprint
	intent      *proto.Intent
	idempotent  bool

	step     Step
	arrived  proto.Instant
	deadline proto.Instant
	// stepDeadline is when the current step times out.
	stepDeadline proto.Instant
	recheckAt    proto.Instant

	reservedTokens int64
	// tokensDeadline is when the wait for tokens ends, tokensRetryDelay the time
	// until the next attempt to reserve them.
	tokensDeadline   proto.Instant
	tokensRetryDelay time.Duration
	rateReason       string
	// pendingProbes lists the endpoints whose probe reply is outstanding.
	pendingProbes     []proto.EndpointID
	attempt           attempt
	attempts          []proto.AttemptSummary
	excludedEndpoints []proto.EndpointID
	// delivered is the sequence number of the last chunk sent to the caller.
	delivered proto.Seq
	// bufferedChunks holds the chunks of a non-streaming request until it ends.
	bufferedChunks []proto.CallerChunk
	firstTokenAt   proto.Instant
	reattached     bool
	// unknownOutcomes counts attempts that produced no output before contact was
	// lost.
	unknownOutcomes int

	// suspected is set while the request itself is known to need a trial, before
	// or without an entry in the snapshot.
	suspected bool
	trial     trial
	// pendingRefusal is sent once every router has read the record of the crash.
	pendingRefusal     *proto.CallerRefusal
	forwardedTo        proto.Addr
	incarnationRetries int
}

// attempt is the current or last dispatch.
type attempt struct {
	id       proto.AttemptID
	endpoint proto.EndpointID
	reason   string
	// heard is when the agent last sent a message.
	heard    proto.Instant
	accepted bool
	// lastSeq is the sequence number of the last chunk received.
	lastSeq proto.Seq
}

// New returns an exchange for a request that has just arrived and starts its
// admission.
func New(now proto.Instant, deps *Deps, req proto.CallerRequest, seed uint64) *Exchange {
	x := &Exchange{
		Outbox:    proto.NewOutbox(deps.Self),
		deps:      deps,
		rng:       rand.New(rand.NewPCG(seed, uint64(now))),
		req:       req,
		arrived:   now,
		recheckAt: now.Add(recheckInterval),
	}
	x.deadline = now.Add(x.timeout())
	x.stepDeadline = x.deadline
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

// CurrentStep returns the current step of the request.
func (x *Exchange) CurrentStep() Step { return x.step }

// Wake implements proto.Machine.
func (x *Exchange) Wake() proto.Instant {
	if x.Done() {
		return proto.Never
	}
	wake := proto.Earliest(x.deadline, x.stepDeadline, x.recheckAt)
	if x.inFlight() && x.trial.offset != 0 {
		wake = min(wake, x.trial.endsAt)
	}
	return wake
}

// Step implements proto.Machine.
func (x *Exchange) Step(now proto.Instant, in proto.Envelope) {
	if x.Done() {
		x.deps.Stats.Late.Add(1)
		if m, ok := in.Msg.(proto.TrialDecided); ok {
			x.releaseLateTrial(m)
		}
		return
	}
	// After a pause of the process, messages may arrive before an overdue tick.
	if x.recheck(now); x.Done() {
		return
	}
	switch m := in.Msg.(type) {
	case proto.CallerGone:
		x.onCallerGone(now, m)
	case proto.TrialDecided:
		x.onTrialDecided(now, m)
	case proto.CallerFinish:
		x.onForwardFinish(now, in.From, m)
	case proto.CallerRefusal:
		x.onForwardRefusal(now, in.From, m)
	case proto.IntentDecided:
		x.onIntentDecided(now, m)
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

func (x *Exchange) onCallerGone(now proto.Instant, m proto.CallerGone) {
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
	if x.inFlight() && x.trial.offset != 0 && !now.Before(x.trial.endsAt) {
		x.abort(now, proto.CauseDeadline, "the trial of the request took too long")
	}
	if x.Done() || now.Before(x.stepDeadline) {
		return
	}
	x.onStepTimeout(now)
}

// recheck repeats, every recheckInterval, the checks whose result may have changed
// since admission.
func (x *Exchange) recheck(now proto.Instant) {
	if now.Before(x.recheckAt) {
		return
	}
	x.recheckAt = now.Add(recheckInterval)
	x.recheckKey(now)
	if !x.Done() {
		x.recallSuspect(now)
	}
}

func (x *Exchange) onStepTimeout(now proto.Instant) {
	switch x.step {
	case StepProbe, StepBackoff:
		x.place(now, false)
	case StepTokens:
		x.reserveTokens(now)
	case StepIntent:
		x.onIntentTimeout(now)
	case StepTrial:
		x.onTrialTimeout(now)
	case StepDispatch, StepQueue, StepStream:
		x.onSilence(now)
	}
}
