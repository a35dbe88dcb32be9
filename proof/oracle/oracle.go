// Package oracle watches a fleet from outside, in virtual time, and checks
// the invariants of the design page on what it sees. It knows things that no
// node knows, such as the true order of events.
package oracle

import (
	"fmt"
	"time"

	"github.com/kumquatsill/kumquatsill/core/check"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

const (
	// noteWithin is how long an accepted note, and so a withdrawn key, may
	// take to be in force everywhere.
	noteWithin = 5 * time.Second
	// drainWithin is how long a leaving endpoint may still get new work.
	drainWithin = 3 * time.Second
	// slack covers the delay between a node's act and its delivery.
	slack = 50 * time.Millisecond
)

// Oracle is one observer. It is not safe for concurrent use.
type Oracle struct {
	checks *check.Monitor
	// keys is the true owner of each key.
	keys     map[proto.KeyHash]proto.AccountID
	requests map[proto.RequestID]*request
	runs     map[proto.AttemptID]bool
	calls    map[callKey]int
	// withdrawn and leaving map to the time of acceptance.
	withdrawn map[proto.KeyHash]proto.Instant
	leaving   map[proto.EndpointID]proto.Instant
	buckets   map[proto.AccountID]*bucket
	accepted  map[proto.Revision]proto.Instant
	seen      map[proto.RouterID]proto.Revision
	stopping  map[proto.Addr]proto.Instant
	// endpointsUntil is the end of the last fault of an endpoint or of the
	// connections to it.
	endpointsUntil proto.Instant
	// warm holds the routers that were found ready after a restart.
	warm map[proto.Addr]bool
	// resumes holds the attempts that ask for the rest of a stream, and
	// working what each endpoint has taken on.
	resumes map[proto.AttemptID]bool
	working map[work]bool
	// Wrongful counts refusals of requests inside their account's rate.
	Wrongful int
}

// work is one request at one endpoint.
type work struct {
	endpoint proto.EndpointID
	request  proto.RequestID
}

// request is what the oracle knows of one request.
type request struct {
	msg     proto.CallerRequest
	router  proto.Addr
	arrived proto.Instant
	next    proto.Seq
	runs    int
	refused bool
	ended   bool
}

type callKey struct {
	account proto.AccountID
	key     string
}

// New returns an oracle that counts into checks.
func New(checks *check.Monitor, keys map[proto.KeyHash]proto.AccountID) *Oracle {
	return &Oracle{
		checks:    checks,
		keys:      keys,
		requests:  map[proto.RequestID]*request{},
		runs:      map[proto.AttemptID]bool{},
		calls:     map[callKey]int{},
		withdrawn: map[proto.KeyHash]proto.Instant{},
		leaving:   map[proto.EndpointID]proto.Instant{},
		buckets:   map[proto.AccountID]*bucket{},
		accepted:  map[proto.Revision]proto.Instant{},
		seen:      map[proto.RouterID]proto.Revision{},
		stopping:  map[proto.Addr]proto.Instant{},
		warm:      map[proto.Addr]bool{},
		resumes:   map[proto.AttemptID]bool{},
		working:   map[work]bool{},
	}
}

// KeyWithdrawn tells that a note that withdraws a key was accepted at that time.
func (o *Oracle) KeyWithdrawn(key proto.KeyHash, at proto.Instant) { o.withdrawn[key] = at }

// Leaving tells that an endpoint was declared as leaving at that time.
func (o *Oracle) Leaving(id proto.EndpointID, at proto.Instant) { o.leaving[id] = at }

// RouterStopping tells that a router began a graceful shutdown at that time.
func (o *Oracle) RouterStopping(router proto.Addr, at proto.Instant) { o.stopping[router] = at }

// EndpointFault tells that endpoints, or connections to them, may fail until
// then. A request that fails for it is not cut by a shutdown.
func (o *Oracle) EndpointFault(until proto.Instant) {
	o.endpointsUntil = max(o.endpointsUntil, until)
}

// Observe sees a message at its delivery.
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

func (o *Oracle) fail(inv check.Invariant, ok bool, format string, args ...any) {
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

func (o *Oracle) onChunk(now proto.Instant, to proto.Addr, m proto.CallerChunk) {
	r := o.requests[proto.RequestID(to.ID)]
	if r == nil {
		return
	}
	o.fail(check.AnswerMatch, string(m.Request) == to.ID, "caller %s got a chunk of request %s", to.ID, m.Request)
	o.fail(check.StreamIntegrity, m.Seq == r.next && !r.ended, "request %s got chunk %d, expected %d", m.Request, m.Seq, r.next)
	r.next = m.Seq + 1
	if r.msg.Sampling.Reproducible() {
		o.fail(check.StreamIntegrity, m.Text == expectedText(r.msg, m), "request %s: chunk %d has the wrong text %q", m.Request, m.Seq, m.Text)
	}
	o.checkWithdrawn(now, r)
}

func (o *Oracle) checkWithdrawn(now proto.Instant, r *request) {
	at, ok := o.withdrawn[r.msg.Key]
	if !ok {
		return
	}
	o.fail(check.KeyWithdrawal, now <= at.Add(noteWithin+slack), "request %s is served %v after its key was withdrawn", r.msg.ID, now.Sub(at))
}

func (o *Oracle) onFinish(now proto.Instant, to proto.Addr, m proto.CallerFinish) {
	r := o.requests[proto.RequestID(to.ID)]
	if r == nil {
		return
	}
	o.fail(check.AnswerMatch, string(m.Request) == to.ID && !r.ended, "caller %s got the end of request %s", to.ID, m.Request)
	if r.msg.Class == proto.ClassGenerate {
		o.fail(check.StreamIntegrity, m.LastSeq == r.next-1, "request %s ends after chunk %d of %d", m.Request, r.next-1, m.LastSeq)
	}
	r.ended = true
	o.checkWithdrawn(now, r)
	if at, ok := o.stopping[r.router]; ok && r.arrived < at {
		o.fail(check.GracefulStop, true, "")
	}
}

func (o *Oracle) onRefusal(now proto.Instant, to proto.Addr, m proto.CallerRefusal) {
	r := o.requests[proto.RequestID(to.ID)]
	if r == nil {
		return
	}
	r.ended = true
	o.countWrongful(now, r, m)
	o.fail(check.WarmRestart, m.Cause != proto.CauseNotReady || !o.warm[r.router], "request %s: %v was ready and refuses as not ready", m.Request, r.router)
	if m.Verdict == proto.NotRun {
		r.refused = true
		o.fail(check.TrueNotRun, r.runs == 0, "request %s is refused as not run (%s) and ran %d times", m.Request, m.Cause, r.runs)
	}
	if at, ok := o.stopping[r.router]; ok && r.arrived < at {
		excused := m.Cause == proto.CauseEndpointFailed && r.arrived <= o.endpointsUntil
		o.fail(check.GracefulStop, m.Cause != proto.CauseShuttingDown && (m.Cause != proto.CauseEndpointFailed || excused),
			"request %s was cut by the shutdown of %v: %s", m.Request, r.router, m.Cause)
	}
}

func (o *Oracle) onDispatch(m proto.Dispatch) {
	r := o.requests[m.Attempt.Request()]
	if r == nil {
		return
	}
	if r.msg.Key != "" && m.Account != "" {
		o.fail(check.AccountBinding, o.keys[r.msg.Key] == m.Account, "request %s runs for account %q, its key belongs to %q",
			r.msg.ID, m.Account, o.keys[r.msg.Key])
	}
}

// countRun counts a run and returns its request, or nil. Resumed streams and
// retries run again, and a run after a refusal makes that refusal false.
func (o *Oracle) countRun(attempt proto.AttemptID) *request {
	r := o.requests[attempt.Request()]
	if r == nil {
		return nil
	}
	r.runs++
	o.runs[attempt] = true
	o.fail(check.TrueNotRun, !r.refused, "request %s was refused as not run and runs as %s", r.msg.ID, attempt)
	return r
}

func (o *Oracle) onRun(m proto.EngineRun) {
	if r := o.countRun(m.Attempt); r != nil {
		o.fail(check.CacheIsolation, sameBlocks(m, r.msg, o.keys[r.msg.Key]), "attempt %s carries blocks of another account or version", m.Attempt)
	}
}

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
	o.fail(check.AtMostOnce, o.calls[k] == 1, "call %s of %s runs %d times", k.key, k.account, o.calls[k])
}

// onFailed takes a run back that the endpoint says it did not begin.
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

// StoppingSince returns when a router began its graceful shutdown, or Never.
func (o *Oracle) StoppingSince(router proto.Addr) proto.Instant {
	if at, ok := o.stopping[router]; ok {
		return at
	}
	return proto.Never
}
