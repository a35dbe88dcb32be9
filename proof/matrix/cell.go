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
	// loadTime is how long the calm load goes on after the fault.
	loadTime = 15 * time.Second
	// loadEvery is the time between two requests of the calm load.
	loadEvery = 700 * time.Millisecond
	// cellQuiet is longer than what is left of the longest fault, 30 s, after
	// the load, and a request after it.
	cellQuiet = 35 * time.Second
	// secondFault is the time between the faults of a pair.
	secondFault = 700 * time.Millisecond
	// patience is when the tracked request's caller tries elsewhere.
	patience = 5 * time.Second
	// reachTime bounds the way to a step.
	reachTime = 30 * time.Second
)

// Result is what became of a cell.
type Result struct {
	Cell Cell
	// SkipReason is the reason why the cell cannot be run.
	SkipReason string
	// Err is set if the step was not reached.
	Err      error
	Failures []scenario.Failure
	Events   []string
	// Messages counts deliveries, Checked the checks of the run.
	Messages, Checked int64
}

// Passed reports whether all checks passed.
func (r Result) Passed() bool { return r.Err == nil && len(r.Failures) == 0 }

// cellRun is a run with what is tracked in it.
type cellRun struct {
	*scenario.Run
	tracked *fleet.Response
	// began is set while the fleet already serves.
	began bool
	// endpoint is where the tracked request was last dispatched.
	endpoint proto.EndpointID
}

// RunCell runs one cell.
func RunCell(c Cell) Result {
	if reason := c.SkipReason(); reason != "" {
		return Result{Cell: c, SkipReason: reason}
	}
	settings := scenario.Settings{Seed: c.seed(), SettleTime: cellQuiet, RequestTimeout: cellTimeout}
	if c.Column.Kind == KindRequest && c.Column.Step == "forward" {
		settings.Routers = forwardRouters
	}
	r := &cellRun{Run: scenario.StartWithoutWait(settings)}
	r.Sent = r.follow
	r.Target = &scenario.Target{Endpoint: scenario.EngineID(0)}
	err := c.Column.reach(r)
	if err == nil {
		r.inject(c)
		r.finish()
	}
	return r.result(c, err)
}

func (r *cellRun) result(c Cell, err error) Result {
	res := Result{Cell: c, Err: err, Failures: r.Failures, Events: r.Events, Messages: r.Sim.Delivered}
	for _, inv := range check.All {
		res.Checked += r.Checks.Counts(inv).Checked
	}
	return res
}

// follow notes where the tracked request is dispatched.
func (r *cellRun) follow(e proto.Envelope) {
	d, ok := e.Msg.(proto.Dispatch)
	if ok && r.tracked != nil && d.Attempt.Request() == r.tracked.Request.ID {
		r.endpoint = d.Endpoint
		r.Target.Endpoint = d.Endpoint
	}
}

// inject brings the faults about, and lets the tracked request's caller try
// elsewhere if it gets no answer.
func (r *cellRun) inject(c Cell) {
	c.Faults[0].Inject(r.Run)
	if r.tracked != nil {
		r.Sim.After(patience, r.tryElsewhere)
	}
	if len(c.Faults) > 1 {
		r.Sim.After(secondFault, func() { c.Faults[1].Inject(r.Run) })
	}
}

// tryElsewhere does what a careful caller does: it resumes a broken stream and
// sends an order again under its idempotency key, through another router.
func (r *cellRun) tryElsewhere() {
	a := r.tracked
	if a.Done() {
		return
	}
	if a.Request.Class == proto.ClassGenerate {
		r.ResumeStream(a)
		return
	}
	again := a.Request
	again.ID += "-again"
	r.Send((r.Target.Router+1)%len(r.Routers), again)
}

// serve waits until the fleet serves. The operator submits the first note
// again as long as it is not in force.
func (r *cellRun) serve() error {
	if r.began {
		return nil
	}
	for i := range 6 {
		if r.Sim.RunUntil(reachTime/3, func() bool { return r.Ready(1) }) {
			r.began = true
			r.Sim.Run(warmUp)
			return nil
		}
		r.ResubmitFirstNote(i % len(r.Routers))
	}
	return fmt.Errorf("the first note is not in force: %+v", r.Callers.NoteOutcomes)
}

// warmUp is the time after which buckets and static slots are in use.
const warmUp = 9 * time.Second

// finish lets the fleet serve a calm load and come to its end.
func (r *cellRun) finish() {
	if err := r.serve(); err != nil {
		r.RecordFailure(scenario.Recovery, err.Error())
		return
	}
	r.calmLoad(loadTime)
	r.Finish()
	if r.tracked != nil && !r.tracked.Done() && r.Sim.Alive(r.tracked.Router) {
		r.RecordFailure(check.AnswerMatch, "the tracked request has no end")
	}
}

// calmLoad sends small requests of all kinds for a while.
func (r *cellRun) calmLoad(d time.Duration) {
	for range int(d / loadEvery) {
		r.SendBaselineRequest()
		r.Sim.Run(loadEvery)
	}
}

// until runs the world until done holds.
func (r *cellRun) until(step string, done func() bool) error {
	if !r.Sim.RunUntil(reachTime, done) {
		return fmt.Errorf("step %s was not reached", step)
	}
	return nil
}
