// Package relay decides how one proxied request proceeds: which failures may be
// retried and what the caller is told. It performs no I/O; the code that uses it
// sends the request, waits and reports the result of each attempt.
package relay

import (
	"slices"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/core/serving"
)

const (
	// maxSends is the maximum number of attempts per request, including those
	// that did not run it. It does not apply to a request that is committed.
	maxSends = 4
	// maxUnknownOutcomes is the number of attempts that may end without a valid
	// response. After that, the request is suspected of crashing its endpoints and
	// is not retried.
	maxUnknownOutcomes = 2
	// minAttemptTime is the minimum time before the deadline for a retry to be
	// worthwhile.
	minAttemptTime = 20 * time.Millisecond
	// shortRetryAfter is the Retry-After value for failures that may not recur
	// shortly after or at another router.
	shortRetryAfter = 200 * time.Millisecond
	// minWait and maxWait limit the time between two searches for an endpoint by a
	// request that waits for one. It doubles from one to the next, at most
	// maxWaitDoublings times.
	minWait          = 50 * time.Millisecond
	maxWait          = 400 * time.Millisecond
	maxWaitDoublings = 3
)

// Result is how an attempt ended.
type Result uint8

const (
	// Completed means that the endpoint sent a complete response or stream.
	Completed Result = iota
	// Failed means that the endpoint ran the request and returned a server error.
	Failed
	// Unusable means that the endpoint ran the request and returned a response that
	// cannot follow what the caller has been sent.
	Unusable
	// Shed means that the endpoint was overloaded and did not run the request.
	Shed
	// Misdirected means that a different endpoint, or one with a different model
	// version, was at the address. The request did not run.
	Misdirected
	// Unreachable means that no byte of the request reached the endpoint.
	Unreachable
	// Broken means that the connection was lost, or the response was malformed,
	// after the request was sent.
	Broken
	// Stalled means that the router stopped waiting for the endpoint.
	Stalled
	// Outdated means that the router canceled the attempt because the endpoint's
	// model version became outdated before the response began.
	Outdated
	// CallerGone means that the caller closed its connection.
	CallerGone
	// DeadlineExceeded means that the request's deadline or the route's timeout
	// passed.
	DeadlineExceeded
)

var resultNames = [...]string{
	Completed: "answered", Failed: "failed", Unusable: "unusable", Shed: "shed", Misdirected: "misdirected",
	Unreachable: "unreachable", Broken: "broken", Stalled: "stalled",
	Outdated:   "outdated",
	CallerGone: "caller_gone", DeadlineExceeded: "out_of_time",
}

// String returns the name used in logs and metrics.
func (r Result) String() string { return resultNames[r] }

// Verdict returns whether the request ran in an attempt with this result.
func (r Result) Verdict() proto.Verdict {
	switch r {
	case Completed, Failed, Unusable:
		return proto.Ran
	case Shed, Misdirected, Unreachable:
		return proto.NotRun
	}
	return proto.MayHaveRun
}

// Action is what to do next.
type Action uint8

const (
	// Retry makes another attempt at a different endpoint.
	Retry Action = iota
	// Wait makes another attempt after RetryAfter.
	Wait
	// Deliver forwards the endpoint's response, or ends one that was forwarded as it
	// arrived.
	Deliver
	// Refuse tells the caller that the request did not run and will not run.
	Refuse
	// Fail tells the caller that the request failed and may have run.
	Fail
	// Expire tells the caller that the request timed out and may have run.
	Expire
	// Abort cuts off a response that has started.
	Abort
	// Drop ends the request without a response because the caller is gone.
	Drop
)

var actionNames = [...]string{
	Retry: "send", Wait: "wait", Deliver: "deliver", Refuse: "refuse", Fail: "fail", Expire: "expire", Abort: "abort", Drop: "drop",
}

// String returns the name used in logs and metrics.
func (a Action) String() string { return actionNames[a] }

// Decision is an action with its reason.
type Decision struct {
	Action Action
	// Reason is a short identifier for logs.
	Reason string
	// RetryAfter is how long the caller should wait before a retry; with Wait, how long
	// the router waits. It is not used with other actions.
	RetryAfter time.Duration
}

// Budget decides whether a retry is allowed; see RetryBudget.
type Budget interface {
	TakeFor(now proto.Instant, c Claim) Grant
}

// Request tracks the attempts of one request. It is not safe for concurrent use.
type Request struct {
	route  *serving.Route
	budget Budget
	rank   int

	sends int
	// ran counts the attempts that ran or may have run.
	ran int
	// unknownOutcomes counts attempts that ended without a valid response.
	unknownOutcomes int
	delivery        Delivery
	// retryReserved is set once the retry budget has granted the next retry, owesRetry
	// while it has not granted the one that the request waits for.
	retryReserved, owesRetry bool
	// abandoned is set once an attempt was given up at an endpoint that may be sound.
	abandoned bool
	// endpoint is that of the current attempt. abandonedAt lists the endpoints at which an
	// attempt was given up and none has failed since.
	endpoint    proto.EndpointID
	abandonedAt []proto.EndpointID
	// returning is set once the route allows no further endpoint, but the begun response
	// can go on at those of abandonedAt.
	returning bool
	// waits counts the Wait decisions.
	waits int
	// hasErrorResponse is set once an endpoint has returned a server error, which
	// can be forwarded if no later attempt succeeds.
	hasErrorResponse bool
}

// New returns a Request for which no attempt has been made.
func New(route *serving.Route, budget Budget) *Request {
	return &Request{route: route, budget: budget}
}

// Sends returns the number of attempts made.
func (r *Request) Sends() int { return r.sends }

// MayHaveRun reports whether any attempt may have run.
func (r *Request) MayHaveRun() bool { return r.ran > 0 }

// Delivery returns what the caller has been sent of the response.
func (r *Request) Delivery() *Delivery { return &r.delivery }

// IsCommitted reports whether the request has to go on until its deadline: its response
// has begun and can go on, or an endpoint that may be sound was given up for another one.
func (r *Request) IsCommitted() bool {
	return r.abandoned || !r.delivery.IsEmpty() && r.delivery.CanContinue()
}

// Resume returns whether the next attempt may be made now, and else what to do.
func (r *Request) Resume(now proto.Instant) (Decision, bool) {
	if r.owesRetry {
		if grant := r.take(now, NothingElse); grant != Granted {
			return r.wait(grant.reason()), false
		}
	}
	r.owesRetry = false
	return Decision{}, true
}

// ReturnTo returns the endpoints to which the next attempt is restricted, or nil if any may
// make it.
func (r *Request) ReturnTo() []proto.EndpointID {
	if !r.returning {
		return nil
	}
	return r.abandonedAt
}

// AttemptStarted records the start of an attempt at an endpoint.
func (r *Request) AttemptStarted(endpoint proto.EndpointID) {
	r.sends++
	r.endpoint = endpoint
	r.delivery.startAttempt()
}

// AttemptEnded records the result of an attempt and returns what to do next. left
// is the time until the request's deadline.
func (r *Request) AttemptEnded(now proto.Instant, result Result, left time.Duration) Decision {
	if result.Verdict() != proto.NotRun {
		r.ran++
	}
	switch result {
	case Completed:
		return Decision{Action: Deliver, Reason: "answered"}
	case CallerGone:
		return r.CallerGone()
	case DeadlineExceeded:
		return r.expired()
	case Failed:
		r.hasErrorResponse = true
	case Broken:
		r.unknownOutcomes++
	case Stalled:
		r.unknownOutcomes += r.stallOutcomes()
		r.abandoned = true
	}
	r.recordAbandonment(result)
	reason := r.stopReason(r.ran, r.unknownOutcomes, left)
	r.returning = reason == attemptsSpent && r.canReturn(left)
	if reason != "" && !r.returning {
		return r.giveUp(reason)
	}
	if r.retryReserved {
		return r.retry(result)
	}
	switch grant := r.take(now, r.need(left)); {
	case grant == Granted:
		return r.retry(result)
	case r.IsCommitted():
		r.owesRetry = true
		return r.wait(grant.reason())
	default:
		return r.giveUp(grant.reason())
	}
}

// retry returns the decision to make another attempt after one with the given result. An
// endpoint that the response returns to, and that did not run it, is not asked again at once.
func (r *Request) retry(result Result) Decision {
	r.retryReserved = false
	reason := "retry_after_" + result.String()
	if r.returning && result.Verdict() == proto.NotRun {
		return r.wait(reason)
	}
	return Decision{Action: Retry, Reason: reason}
}

// recordAbandonment records whether the begun response may go on at the endpoint of the
// attempt that has ended.
func (r *Request) recordAbandonment(result Result) {
	isCurrent := func(id proto.EndpointID) bool { return id == r.endpoint }
	switch result {
	case Stalled, Outdated:
		if !slices.ContainsFunc(r.abandonedAt, isCurrent) {
			r.abandonedAt = append(r.abandonedAt, r.endpoint)
		}
	case Failed, Unusable, Broken:
		r.abandonedAt = slices.DeleteFunc(r.abandonedAt, isCurrent)
	}
}

// canReturn reports whether the begun response can go on at an endpoint that it was given up
// at. left is the time until the request's deadline.
func (r *Request) canReturn(left time.Duration) bool {
	return !r.delivery.IsEmpty() && len(r.abandonedAt) > 0 &&
		r.unknownOutcomes < maxUnknownOutcomes && left >= minAttemptTime
}

// stallOutcomes returns the number of unknown outcomes that a stalled attempt counts as. A
// request whose response has begun is not suspected of silencing its endpoint.
func (r *Request) stallOutcomes() int {
	if r.delivery.IsEmpty() {
		return 1
	}
	return 0
}

// wait returns the decision to look for the next attempt later.
func (r *Request) wait(reason string) Decision {
	d := Decision{Action: Wait, Reason: reason, RetryAfter: min(minWait<<min(r.waits, maxWaitDoublings), maxWait)}
	r.waits++
	return d
}

// ReserveRetry reserves the retry that follows if the attempt in progress is abandoned
// as Stalled. It returns why there can be none, or "" if AttemptEnded will return Retry.
// Another goroutine may call it while the delivery does not change.
func (r *Request) ReserveRetry(now proto.Instant, left time.Duration) string {
	if reason := r.stopReason(r.ran+1, r.unknownOutcomes+r.stallOutcomes(), left); reason != "" {
		return reason
	}
	if r.retryReserved {
		return ""
	}
	// The endpoint may still answer.
	if grant := r.take(now, CallerRepeats); grant != Granted {
		return grant.reason()
	}
	r.retryReserved = true
	return ""
}

// Reasons why a request is not retried.
const (
	// retryBudgetSpent means that the retry budget does not allow a retry.
	retryBudgetSpent = "retry_budget_spent"
	// retryBudgetKept means that what is left of the budget is kept for requests that depend
	// on it more.
	retryBudgetKept = "retry_budget_kept"
	// attemptsSpent means that the route allows no further endpoint.
	attemptsSpent = "attempts_spent"
)

// stopReason returns why a request may not be retried after a number of attempts that
// ran or may have run, and of those without a valid response, or "".
func (r *Request) stopReason(ran, unknownOutcomes int, left time.Duration) string {
	switch {
	case !r.delivery.CanContinue():
		return "response_begun"
	case ran > 0 && !r.route.Repeatable():
		return "may_have_run"
	case ran >= max(1, r.route.Attempts):
		return attemptsSpent
	case r.sends >= maxSends && !r.IsCommitted():
		return "sends_spent"
	case unknownOutcomes >= maxUnknownOutcomes:
		return "broke_off_twice"
	case left < minAttemptTime:
		return "no_time_left"
	}
	return ""
}

// NoEndpoint returns what to do when no endpoint can take the next attempt. A request that
// is committed waits for an endpoint.
func (r *Request) NoEndpoint(reason string, retryAfter time.Duration) Decision {
	if r.IsCommitted() {
		return r.wait(reason)
	}
	d := r.giveUp(reason)
	d.RetryAfter = retryAfter
	return d
}

// CannotReturn returns what to do when none of the endpoints of ReturnTo exists any more.
func (r *Request) CannotReturn() Decision { return r.giveUp(attemptsSpent) }

// CallerGone returns what to do when the caller leaves between two attempts.
func (r *Request) CallerGone() Decision {
	return Decision{Action: Drop, Reason: CallerGone.String()}
}

// Expired returns what to do when the deadline passes between two attempts.
func (r *Request) Expired() Decision { return r.expired() }

func (r *Request) expired() Decision {
	d := r.giveUp("out_of_time")
	if d.Action == Fail {
		d.Action = Expire
	}
	return d
}

func (r *Request) giveUp(reason string) Decision {
	switch {
	case !r.delivery.IsEmpty():
		return Decision{Action: Abort, Reason: reason}
	case r.hasErrorResponse:
		return Decision{Action: Deliver, Reason: reason}
	case r.ran > 0:
		return Decision{Action: Fail, Reason: reason}
	}
	return Decision{Action: Refuse, Reason: reason, RetryAfter: shortRetryAfter}
}
