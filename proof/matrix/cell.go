package matrix

import (
	"fmt"
	"time"

	"github.com/kumquatsill/kumquatsill/core/check"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/proof/fleet"
	"github.com/kumquatsill/kumquatsill/proof/scenario"
)

const (
	// cellTimeout is the deadline of each request of a cell.
	cellTimeout = 15 * time.Second
	// loadTime is how long the baseline load continues after the fault.
	loadTime = 15 * time.Second
	// loadInterval is the time between two requests of the baseline load.
	loadInterval = 700 * time.Millisecond
	// cellSettleTime exceeds the time that the longest fault, of 30 s, lasts
	// beyond the load plus the time of a request after it.
	cellSettleTime = 35 * time.Second
	// secondFaultDelay is the time between the two faults of a pair.
	secondFaultDelay = 700 * time.Millisecond
	// retryAfter is the time after which the caller of the tracked request
	// retries through another router.
	retryAfter = 5 * time.Second
	// reachTimeout bounds the time to reach a step.
	reachTimeout = 30 * time.Second
)

// Result is the outcome of a cell.
type Result struct {
	Cell Cell
	// SkipReason is the reason why the cell cannot be run.
	SkipReason string
	// Err is set if the step was not reached.
	Err      error
	Failures []scenario.Failure
	Events   []string
	// Messages counts the delivered messages of the run, Checked the invariant
	// checks.
	Messages, Checked int64
}

// Passed reports whether all checks passed.
func (r Result) Passed() bool { return r.Err == nil && len(r.Failures) == 0 }

// cellRun is a run with a tracked request.
type cellRun struct {
	*scenario.Run
	tracked *fleet.Response
	// serving is set once the fleet is known to serve.
	serving bool
	// endpoint is the endpoint to which the tracked request was last dispatched.
	endpoint proto.EndpointID
}

// RunCell runs one cell.
func RunCell(c Cell) Result {
	if reason := c.SkipReason(); reason != "" {
		return Result{Cell: c, SkipReason: reason}
	}
	settings := scenario.Settings{Seed: c.seed(), SettleTime: cellSettleTime, RequestTimeout: cellTimeout}
	if c.Column.Kind == KindRequest && c.Column.Step == "forward" {
		settings.Routers = forwardRouters
	}
	r := &cellRun{Run: scenario.StartWithoutWait(settings)}
	r.Sent = r.followDispatch
	r.Target = &scenario.Target{Endpoint: scenario.EngineID(0)}
	err := c.Column.reach(r)
	if err == nil {
		r.inject(c)
		r.finish()
	}
	return r.result(c, err)
}

// result collects the failures and totals of the run.
func (r *cellRun) result(c Cell, err error) Result {
	res := Result{Cell: c, Err: err, Failures: r.Failures, Events: r.Events, Messages: r.Sim.Delivered}
	for _, inv := range check.All {
		res.Checked += r.Checks.Counts(inv).Checked
	}
	return res
}

// followDispatch records the endpoint to which the tracked request is dispatched
// and makes it the target of the faults.
func (r *cellRun) followDispatch(e proto.Envelope) {
	d, ok := e.Msg.(proto.Dispatch)
	if ok && r.tracked != nil && d.Attempt.Request() == r.tracked.Request.ID {
		r.endpoint = d.Endpoint
		r.Target.Endpoint = d.Endpoint
	}
}

// inject injects the faults and schedules a retry by the caller of the tracked
// request in case it gets no response.
func (r *cellRun) inject(c Cell) {
	c.Faults[0].Inject(r.Run)
	if r.tracked != nil {
		r.Sim.After(retryAfter, r.retryElsewhere)
	}
	if len(c.Faults) > 1 {
		r.Sim.After(secondFaultDelay, func() { c.Faults[1].Inject(r.Run) })
	}
}

// retryElsewhere retries the tracked request through another router, as a careful
// caller does: a broken stream is resumed, and an order is resent with its
// idempotency key.
func (r *cellRun) retryElsewhere() {
	resp := r.tracked
	if resp.Done() {
		return
	}
	if resp.Request.Class == proto.ClassGenerate {
		r.ResumeStream(resp)
		return
	}
	retry := resp.Request
	retry.ID += "-again"
	r.Send((r.Target.Router+1)%len(r.Routers), retry)
}

// waitServing waits until the fleet serves. The operator resubmits the first
// release note until it is in force.
func (r *cellRun) waitServing() error {
	if r.serving {
		return nil
	}
	for i := range 6 {
		if r.Sim.RunUntil(reachTimeout/3, func() bool { return r.Ready(1) }) {
			r.serving = true
			r.Sim.Run(warmUp)
			return nil
		}
		r.ResubmitFirstNote(i % len(r.Routers))
	}
	return fmt.Errorf("the first note is not in force: %+v", r.Callers.NoteOutcomes)
}

// warmUp is the time after which token buckets and static slots are in use.
const warmUp = 9 * time.Second

// finish waits until the fleet serves again, sends baseline load, ends the run and
// checks that the tracked request has ended.
func (r *cellRun) finish() {
	if err := r.waitServing(); err != nil {
		r.RecordFailure(scenario.Recovery, err.Error())
		return
	}
	r.baselineLoad(loadTime)
	r.Finish()
	if r.tracked != nil && !r.tracked.Done() && r.Sim.Alive(r.tracked.Router) {
		r.RecordFailure(check.AnswerMatch, "the tracked request has no end")
	}
}

// baselineLoad sends small requests of all kinds for the given time.
func (r *cellRun) baselineLoad(d time.Duration) {
	for range int(d / loadInterval) {
		r.SendBaselineRequest()
		r.Sim.Run(loadInterval)
	}
}

// runUntil runs the simulation until done returns true.
func (r *cellRun) runUntil(step string, done func() bool) error {
	if !r.Sim.RunUntil(reachTimeout, done) {
		return fmt.Errorf("step not reached in time: %s", step)
	}
	return nil
}
