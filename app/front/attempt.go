package front

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/kumquatsill/kumquatsill/app/driver"
	"github.com/kumquatsill/kumquatsill/app/upstream"
	"github.com/kumquatsill/kumquatsill/core/canary"
	"github.com/kumquatsill/kumquatsill/core/crash"
	"github.com/kumquatsill/kumquatsill/core/pace"
	"github.com/kumquatsill/kumquatsill/core/place"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/core/relay"
	"github.com/kumquatsill/kumquatsill/core/serving"
	"github.com/kumquatsill/kumquatsill/platform"
)

const (
	// maxIdleNonRepeatable is the longest idle time of a connection that may
	// carry a non-repeatable request.
	maxIdleNonRepeatable = 1500 * time.Millisecond
	// overloadFactor is the multiple of the route's target latency above which the
	// expected time to the first event is too long for the work to be
	// worthwhile: callers give up on a stream after four times
	// the target latency.
	overloadFactor = 3
	// maxOverloadRetryAfter limits the Retry-After time of a refusal due to
	// overload.
	maxOverloadRetryAfter = 2 * time.Second
)

var (
	errStalled  = errors.New("no answer in time from an endpoint")
	errOutdated = errors.New("not begun when the endpoint's version became too old")
)

// nextAttempt sends the request to one endpoint and decides what follows. It is apart from
// beginAttempt so that the stacks of waiting requests are small.
func (x *request) nextAttempt(ctx context.Context) relay.Decision {
	attempt, decision := x.beginAttempt(ctx)
	if attempt == nil {
		return decision
	}
	result := attempt.run(ctx)
	ended := driver.Now()
	attempt.recordOutcome(ended, result)
	attempt.recordRelease(ended, result)
	decision = x.relay.AttemptEnded(ended, result, x.deadline.Sub(ended))
	attempt.log(ended, result, decision)
	return decision
}

// beginAttempt chooses an endpoint and returns the attempt at it, or nil and what to do
// instead.
func (x *request) beginAttempt(ctx context.Context) (*attempt, relay.Decision) {
	now := driver.Now()
	switch {
	case x.deadline.Sub(now) <= 0, errors.Is(context.Cause(ctx), errStopping):
		return nil, x.relay.Expired()
	case x.r.Context().Err() != nil:
		return nil, x.relay.CallerGone()
	}
	if !x.relay.MayHaveRun() && x.isTooLate() {
		return nil, x.relay.NoEndpoint(reasonStopping, stoppingRetryAfter)
	}
	if decision, ok := x.relay.Resume(now); !ok {
		return nil, decision
	}
	x.isBehind = x.mayWaitForUrgent()
	q := x.query()
	a := &attempt{request: x, sentAt: now, limit: noLimit}
	choice := &a.choice
	permit, ok := x.chooseEndpoint(now, q, choice)
	defer permit.Cancel()
	if !ok {
		return nil, x.noEndpoint(choice)
	}
	if !x.relay.IsCommitted() && x.isOverloaded(q, choice) {
		return nil, x.overloaded(choice)
	}
	if x.relay.IsCommitted() && x.front.crashes.IsBlocked(now, x.traits) {
		return nil, x.relay.NoEndpoint("crashes_endpoints", 0) // it is no trial, however long it waits
	}
	admission := x.front.crashes.Admit(now, x.traits)
	if !admission.Allowed {
		x.obstacle = []any{"trait", string(admission.Trait), "rounds", admission.Rounds}
		return nil, x.relay.NoEndpoint("crashes_endpoints", admission.RetryAfter)
	}
	if admission.Trial {
		x.front.log.Info("trial of a blocked trait", "id", x.info.ID, "trait", string(admission.Trait), "rounds", admission.Rounds)
		x.front.requestEarlySend()
	}
	x.relay.AttemptStarted(choice.Endpoint.ID)
	x.triedEndpoints = append(x.triedEndpoints, choice.Endpoint.ID)
	a.placement = x.front.placer.StartAttempt(now, q, *choice)
	if choice.Urgent() {
		x.front.requestEarlySend()
	}
	a.isTrial, a.ownDelay, a.ticket = admission.Trial, x.front.ownDelay.Total(now), permit.Start(now, choice.Endpoint)
	return a, relay.Decision{}
}

// isOverloaded reports whether a request would wait for so long at the chosen endpoint
// that its caller gives up.
func (x *request) isOverloaded(q *place.Query, choice *place.Choice) bool {
	limit := overloadFactor * x.route.TargetLatency
	return q.Model != "" && limit > 0 && choice.ExpectedTTFB > limit
}

// overloaded returns what to do if isOverloaded holds.
func (x *request) overloaded(choice *place.Choice) relay.Decision {
	return x.relay.NoEndpoint("overload", min(choice.ExpectedTTFB-x.route.TargetLatency, maxOverloadRetryAfter))
}

// noEndpoint returns what to do if the placement found no endpoint.
func (x *request) noEndpoint(choice *place.Choice) relay.Decision {
	excluded := &choice.Excluded
	limited, limitWait := excluded.Limited()
	paused, pauseWait := excluded.Paused()
	x.obstacle = []any{"throttled", limited, "excluded", excluded.String()}
	switch {
	case x.relay.ReturnTo() != nil && excluded.OnlyAttempts():
		return x.relay.CannotReturn()
	case limited > 0 && paused > 0:
		return x.relay.NoEndpoint("endpoint_limits", min(limitRetryAfter(limitWait), pauseWait))
	case limited > 0:
		return x.relay.NoEndpoint("endpoint_limits", limitRetryAfter(limitWait))
	case paused > 0 && excluded.MayReturnSoon():
		return x.relay.NoEndpoint("endpoint_pauses", min(pauseWait, noEndpointRetryAfter))
	case paused > 0:
		return x.relay.NoEndpoint("endpoint_pauses", pauseWait)
	case excluded.Leaving() > 0:
		return x.relay.NoEndpoint("endpoints_leave", noEndpointRetryAfter)
	}
	return x.relay.NoEndpoint("no_endpoint", noEndpointRetryAfter)
}

// limitRetryAfter returns the Retry-After time of a refusal due to limits, of which the
// first allows a request after wait; 0 if unknown.
func limitRetryAfter(wait time.Duration) time.Duration {
	return min(cmp.Or(wait, noEndpointRetryAfter), maxOverloadRetryAfter)
}

// requestEarlySend requests a message to the peers before the next periodic
// one.
func (f *Front) requestEarlySend() {
	select {
	case f.earlySend <- struct{}{}:
	default:
	}
}

// attempt holds the state of sending a request to the chosen endpoint once.
type attempt struct {
	request *request
	choice  place.Choice
	// placement is the placer's record of this attempt.
	placement *place.Attempt
	sentAt    proto.Instant
	// firstByteAt and lastByteAt are when the first and the last part of the response
	// arrived, or 0.
	firstByteAt, lastByteAt proto.Instant
	// timing records the events of a stream, load what the endpoint reported with the
	// head of the response.
	timing pace.Timing
	load   place.EndpointLoad
	// ownDelay is the router's total delay when the attempt was sent.
	ownDelay time.Duration
	status   int
	// limit is the number of requests per second that the endpoint named, or -1.
	limit float64
	// version is the last model version that the endpoint reported.
	version        int64
	detail         string
	connectionLost bool
	// isTrial is set if the attempt is a trial of a blocked trait.
	isTrial bool
	// survived is set once the answer has shown that its request does not crash the
	// endpoint.
	survived bool
	// versionTimer cancels the request if it does not begin in time.
	versionTimer *checkTimer
	// respondent is the endpoint that rejected a misdirected request.
	respondent proto.EndpointID
	// ticket is the attempt as evidence about the endpoint's release, or nil.
	ticket *canary.Ticket
}

// run sends the request and forwards or buffers the response.
func (a *attempt) run(ctx context.Context) relay.Result {
	x := a.request
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stall := a.watchStall(cancel)
	defer stall.Stop()
	a.versionTimer = a.watchVersion(cancel)
	defer a.versionTimer.Stop()
	req := a.upstreamRequest()
	x.triedAddrs = append(x.triedAddrs, req.Addr)
	a.countRequest(req)
	resp, err := x.front.client.Send(ctx, req)
	if err != nil {
		return a.sendFailure(ctx, err)
	}
	defer resp.Close()
	a.status = resp.Status
	a.countResponse(resp)
	head := platform.DecodeResponse(resp.Status, resp.Header)
	a.observe(head)
	switch {
	case head.NotExecuted && resp.Status != http.StatusMisdirectedRequest:
		resp.Discard()
		return relay.Shed
	case head.Misdirected:
		a.respondent = head.Endpoint
		resp.Discard()
		return relay.Misdirected
	}
	if !x.route.Repeatable() {
		x.releaseBody() // the request ran, so that there is no further attempt
	}
	switch {
	case head.Encoded, resp.Status < 300 && !head.HasSignature:
		a.detail = "not the endpoint's own answer"
		return relay.Broken
	case x.route.Kind == serving.Stream && resp.Status < 300:
		return a.forwardStream(ctx, resp, stall)
	}
	return a.readResponse(ctx, resp, stall)
}

func (a *attempt) upstreamRequest() *upstream.Request {
	x := a.request
	attrs := platform.Attempt{
		Endpoint: a.choice.Endpoint.ID, Account: x.accountID(), Remaining: x.deadline.Sub(driver.Now()),
		Version: a.choice.Version, Salt: a.choice.Salt, Source: a.choice.Source, Destination: a.choice.Destination,
	}
	if x.route.PromptParts {
		attrs.Priority, attrs.HasPriority = x.endpointPriority(), true
	}
	attrs.LastEvent, attrs.HasLastEvent = x.relay.Delivery().LastEvent()
	req := &upstream.Request{
		Addr: a.choice.Endpoint.Addr, Method: x.r.Method, Target: x.r.RequestURI, Host: x.r.Host,
		Header: platform.RequestHeader(x.r.Header, attrs), Segments: x.body.segments,
		Matches: func(h http.Header, alone bool) bool { return platform.MatchesRequest(h, x.info.ID, alone) },
	}
	// A copy of the refusal of an earlier attempt would bear the same ID.
	req.Exclusive = slices.Contains(x.triedAddrs, req.Addr)
	if !x.route.Repeatable() {
		req.MaxIdle = maxIdleNonRepeatable
	}
	return req
}

// sendFailure returns the result of an attempt that received no response.
func (a *attempt) sendFailure(ctx context.Context, err error) relay.Result {
	a.detail = err.Error()
	var sendErr *upstream.SendError
	if errors.As(err, &sendErr) && sendErr.Verdict == proto.NotRun && !endsRequest(ctx) {
		return relay.Unreachable
	}
	a.connectionLost = errors.As(err, &sendErr) && sendErr.ConnectionLost
	return a.interrupted(ctx)
}

// endsRequest reports whether the context ended because the request has no time left or its
// caller has left, not because the router gave up the attempt.
func endsRequest(ctx context.Context) bool {
	cause := context.Cause(ctx)
	return cause != nil && !errors.Is(cause, errStalled) && !errors.Is(cause, errOutdated)
}

// interrupted returns the result of an interrupted attempt by its cause.
func (a *attempt) interrupted(ctx context.Context) relay.Result {
	switch cause := context.Cause(ctx); {
	case cause == nil:
		return relay.Broken
	case errors.Is(cause, errStalled):
		return relay.Stalled
	case errors.Is(cause, errOutdated):
		return relay.Outdated
	case errors.Is(cause, errDeadline), errors.Is(cause, errStopping):
		return relay.DeadlineExceeded
	}
	return relay.CallerGone
}

// observe records what the head of a response reports about the endpoint.
func (a *attempt) observe(head platform.ResponseInfo) {
	x := a.request
	a.load = head.Load
	if head.HasLoad {
		x.front.placer.ObserveLoad(driver.Now(), a.placement, head.Load)
	}
	x.front.observeEndpointState(driver.Now(), a.choice.Endpoint, head)
	if head.HasLimit {
		a.limit = head.Limit
	}
	a.observeVersion(head.Version)
}

// observeVersion records the version reported by a response or an event; 0
// means that none was reported.
func (a *attempt) observeVersion(version int64) {
	x := a.request
	if version == 0 || version == a.version || x.info.Model == "" {
		return
	}
	a.version = version
	x.front.placer.ObserveVersion(a.choice.Endpoint.ID, x.info.Model, version)
}

// progress records that a part of the response has arrived.
func (a *attempt) progress() {
	now := driver.Now()
	a.lastByteAt = now
	a.timing.Record(now, a.placement.Running(), a.request.front.ownDelay.Total(now))
	if a.firstByteAt == 0 {
		a.firstByteAt = now
		a.versionTimer.Stop()
		if a.status < http.StatusMultipleChoices {
			a.placement.MeasureFirst(a.request.front.ownDelay.Total(now) - a.ownDelay)
		}
		a.request.front.placer.RecordFirstByte(now, a.placement)
		return
	}
	a.placement.RecordProgress(now)
	if !a.survived && now.Sub(a.firstByteAt) >= crash.BeginPhase {
		a.recordSurvival(now)
	}
}
