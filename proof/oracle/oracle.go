// Package oracle observes all messages of a simulated fleet and checks the
// invariants of the design page. Unlike the nodes it has global knowledge, such
// as the true order of events.
package oracle

import (
	"fmt"
	"time"

	"github.com/kumquatsill/kumquatsill/core/check"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

const (
	// maxPropagation is the time within which an accepted note, and so the
	// withdrawal of a key, must be in force on all routers.
	maxPropagation = 5 * time.Second
	// maxDrainDelay is how long a leaving endpoint may still accept new work.
	maxDrainDelay = 3 * time.Second
	// slack allows for the network delay between the send of a message and its
	// observation at delivery.
	slack = 50 * time.Millisecond
)

// Oracle tracks the state that the invariants need. It is not safe for
// concurrent use.
type Oracle struct {
	checks *check.Monitor
	// keys maps each key to the account that owns it.
	keys     map[proto.KeyHash]proto.AccountID
	requests map[proto.RequestID]*request
	runs     map[proto.AttemptID]bool
	calls    map[callKey]int
	// withdrawn and leaving hold the time at which the change was accepted.
	withdrawn map[proto.KeyHash]proto.Instant
	leaving   map[proto.EndpointID]proto.Instant
	buckets   map[proto.AccountID]*bucket
	// accepted holds the time at which each revision was accepted, revisions
	// the newest revision seen on each router.
	accepted  map[proto.Revision]proto.Instant
	revisions map[proto.RouterID]proto.Revision
	stopping  map[proto.Addr]proto.Instant
	// endpointFaultEnd is the end of the last fault of an endpoint or of the
	// connections to it.
	endpointFaultEnd proto.Instant
	// warm holds the routers that were ready in time after a restart.
	warm map[proto.Addr]bool
	// resumes holds the attempts that resume a stream. acceptedWork holds the
	// requests that each endpoint has accepted.
	resumes      map[proto.AttemptID]bool
	acceptedWork map[work]bool
	// Wrongful counts refusals of requests that were within the limits of their
	// account.
	Wrongful int
}

// work identifies a request at an endpoint.
type work struct {
	endpoint proto.EndpointID
	request  proto.RequestID
}

// request is the observed state of a request.
type request struct {
	msg     proto.CallerRequest
	router  proto.Addr
	arrived proto.Instant
	// next is the sequence number of the next expected chunk.
	next proto.Seq
	// runs counts the runs at endpoints, over all attempts.
	runs int
	// refused is set once the caller was told that the request did not run.
	refused bool
	ended   bool
}

// callKey identifies a call with an idempotency key.
type callKey struct {
	account proto.AccountID
	key     string
}

// New returns an oracle that reports the results of its checks to checks.
func New(checks *check.Monitor, keys map[proto.KeyHash]proto.AccountID) *Oracle {
	return &Oracle{
		checks:       checks,
		keys:         keys,
		requests:     map[proto.RequestID]*request{},
		runs:         map[proto.AttemptID]bool{},
		calls:        map[callKey]int{},
		withdrawn:    map[proto.KeyHash]proto.Instant{},
		leaving:      map[proto.EndpointID]proto.Instant{},
		buckets:      map[proto.AccountID]*bucket{},
		accepted:     map[proto.Revision]proto.Instant{},
		revisions:    map[proto.RouterID]proto.Revision{},
		stopping:     map[proto.Addr]proto.Instant{},
		warm:         map[proto.Addr]bool{},
		resumes:      map[proto.AttemptID]bool{},
		acceptedWork: map[work]bool{},
	}
}

// KeyWithdrawn records the time at which the withdrawal of a key was accepted.
func (o *Oracle) KeyWithdrawn(key proto.KeyHash, at proto.Instant) { o.withdrawn[key] = at }

// Leaving records the time at which an endpoint was declared as leaving.
func (o *Oracle) Leaving(id proto.EndpointID, at proto.Instant) { o.leaving[id] = at }

// RouterStopping records the time at which a router began a graceful shutdown.
func (o *Oracle) RouterStopping(router proto.Addr, at proto.Instant) { o.stopping[router] = at }

// EndpointFault records that endpoints, or connections to them, may fail until
// the given time. A request that fails for this reason does not count as
// interrupted by a shutdown.
func (o *Oracle) EndpointFault(until proto.Instant) {
	o.endpointFaultEnd = max(o.endpointFaultEnd, until)
}

// Observe processes a message at its delivery.
func (o *Oracle) Observe(now proto.Instant, e proto.Envelope) {
	o.checkSecrecy(e)
	switch m := e.Msg.(type) {
	case proto.CallerRequest:
		o.onRequest(now, e.To, m)
	case proto.CallerChunk:
		o.onChunk(now, e.To, m)
	case proto.CallerFinish:
		o.onFinish(now, e.To, m)
	case proto.CallerRefusal:
		o.onRefusal(now, e.To, m)
	case proto.Dispatch:
		o.onDispatch(m)
	case proto.EngineRun:
		o.onRun(m)
	case proto.EngineCall:
		o.onCall(m)
	case proto.EngineFailed:
		o.onFailed(m)
	}
}

// assert records the result of a check of an invariant. The format and its
// arguments describe the violation.
func (o *Oracle) assert(inv check.Invariant, ok bool, format string, args ...any) {
	o.checks.Check(inv, ok, func() string { return fmt.Sprintf(format, args...) })
}

func (o *Oracle) onRequest(now proto.Instant, router proto.Addr, m proto.CallerRequest) {
	if o.requests[m.ID] != nil {
		return
	}
	r := &request{msg: m, router: router, arrived: now, next: 1}
	if m.Resume != nil {
		r.next = m.Resume.After + 1
	}
	o.requests[m.ID] = r
}

// onChunk checks the recipient, the order and, for reproducible requests, the text
// of a chunk.
func (o *Oracle) onChunk(now proto.Instant, to proto.Addr, m proto.CallerChunk) {
	r := o.requests[proto.RequestID(to.ID)]
	if r == nil {
		return
	}
	o.assert(check.AnswerMatch, string(m.Request) == to.ID, "caller %s got a chunk of request %s", to.ID, m.Request)
	o.assert(check.StreamIntegrity, m.Seq == r.next && !r.ended, "request %s got chunk %d, expected %d", m.Request, m.Seq, r.next)
	r.next = m.Seq + 1
	if r.msg.Sampling.Reproducible() {
		o.assert(check.StreamIntegrity, m.Text == expectedText(r.msg, m), "request %s: chunk %d has the wrong text %q", m.Request, m.Seq, m.Text)
	}
	o.checkWithdrawn(now, r)
}

// checkWithdrawn checks that a request is not served after the withdrawal of its
// key must be in force.
func (o *Oracle) checkWithdrawn(now proto.Instant, r *request) {
	at, ok := o.withdrawn[r.msg.Key]
	if !ok {
		return
	}
	o.assert(check.KeyWithdrawal, now <= at.Add(maxPropagation+slack), "request %s is served %v after its key was withdrawn", r.msg.ID, now.Sub(at))
}

func (o *Oracle) onFinish(now proto.Instant, to proto.Addr, m proto.CallerFinish) {
	r := o.requests[proto.RequestID(to.ID)]
	if r == nil {
		return
	}
	o.assert(check.AnswerMatch, string(m.Request) == to.ID && !r.ended, "caller %s got the end of request %s", to.ID, m.Request)
	if r.msg.Class == proto.ClassGenerate {
		o.assert(check.StreamIntegrity, m.LastSeq == r.next-1, "request %s ends after chunk %d of %d", m.Request, r.next-1, m.LastSeq)
	}
	r.ended = true
	o.checkWithdrawn(now, r)
	if at, ok := o.stopping[r.router]; ok && r.arrived < at {
		o.assert(check.GracefulStop, true, "")
	}
}

func (o *Oracle) onRefusal(now proto.Instant, to proto.Addr, m proto.CallerRefusal) {
	r := o.requests[proto.RequestID(to.ID)]
	if r == nil {
		return
	}
	r.ended = true
	o.countWrongful(now, r, m)
	o.assert(check.WarmRestart, m.Cause != proto.CauseNotReady || !o.warm[r.router], "request %s: %v was ready and refuses as not ready", m.Request, r.router)
	if m.Verdict == proto.NotRun {
		r.refused = true
		o.assert(check.TrueNotRun, r.runs == 0, "request %s is refused as not run (%s) and ran %d times", m.Request, m.Cause, r.runs)
	}
	if at, ok := o.stopping[r.router]; ok && r.arrived < at {
		excused := m.Cause == proto.CauseEndpointFailed && r.arrived <= o.endpointFaultEnd
		o.assert(check.GracefulStop, m.Cause != proto.CauseShuttingDown && (m.Cause != proto.CauseEndpointFailed || excused),
			"request %s was cut by the shutdown of %v: %s", m.Request, r.router, m.Cause)
	}
}

// onDispatch checks that a request is dispatched for the account of its key.
func (o *Oracle) onDispatch(m proto.Dispatch) {
	r := o.requests[m.Attempt.Request()]
	if r == nil {
		return
	}
	if r.msg.Key != "" && m.Account != "" {
		o.assert(check.AccountBinding, o.keys[r.msg.Key] == m.Account, "request %s runs for account %q, its key belongs to %q",
			r.msg.ID, m.Account, o.keys[r.msg.Key])
	}
}

// countRun counts a run and returns its request, or nil if it is unknown.
// Resumed streams and retries may run more than once, but a request that was
// refused as not run must not run afterwards.
func (o *Oracle) countRun(attempt proto.AttemptID) *request {
	r := o.requests[attempt.Request()]
	if r == nil {
		return nil
	}
	r.runs++
	o.runs[attempt] = true
	o.assert(check.TrueNotRun, !r.refused, "request %s was refused as not run and runs as %s", r.msg.ID, attempt)
	return r
}

// onRun checks that an engine run carries the blocks of its own request.
func (o *Oracle) onRun(m proto.EngineRun) {
	if r := o.countRun(m.Attempt); r != nil {
		o.assert(check.CacheIsolation, sameBlocks(m, r.msg, o.keys[r.msg.Key]), "attempt %s carries blocks of another account or version", m.Attempt)
	}
}

// onCall checks that a call with an idempotency key runs at most once.
func (o *Oracle) onCall(m proto.EngineCall) {
	r := o.countRun(m.Attempt)
	if r == nil {
		return
	}
	if r.msg.IdempotencyKey == "" {
		return
	}
	k := callKey{account: o.keys[r.msg.Key], key: r.msg.IdempotencyKey}
	o.calls[k]++
	o.assert(check.AtMostOnce, o.calls[k] == 1, "call %s of %s runs %d times", k.key, k.account, o.calls[k])
}

// onFailed uncounts a run that the endpoint reports as not started.
func (o *Oracle) onFailed(m proto.EngineFailed) {
	r := o.requests[m.Attempt.Request()]
	if r == nil || m.Verdict != proto.NotRun || !o.runs[m.Attempt] {
		return
	}
	delete(o.runs, m.Attempt)
	r.runs--
	if r.msg.IdempotencyKey != "" {
		o.calls[callKey{account: o.keys[r.msg.Key], key: r.msg.IdempotencyKey}]--
	}
}

// StoppingSince returns the time at which a router began its graceful shutdown,
// or Never.
func (o *Oracle) StoppingSince(router proto.Addr) proto.Instant {
	if at, ok := o.stopping[router]; ok {
		return at
	}
	return proto.Never
}
