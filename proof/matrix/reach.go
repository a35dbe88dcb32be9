package matrix

import (
	"fmt"
	"time"

	"github.com/kumquatsill/kumquatsill/core/exchange"
	"github.com/kumquatsill/kumquatsill/core/lease"
	"github.com/kumquatsill/kumquatsill/core/note"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

const (
	// forwardRouters exceeds the number of followers of an intent stream, so that
	// some routers do not follow it.
	forwardRouters = 6
	// trackedAccount gets no baseline load, so that its tokens are still with the
	// bucket holders.
	trackedAccount = 2
	// trackedTokens makes the tracked stream last 2 s.
	trackedTokens = 100
	// trackedLease is the name of the lease that is brought to a step.
	trackedLease   = "bucket/0/0"
	maxTries       = 40
	tryTimeout     = 300 * time.Millisecond
	loadBeforeStep = 2 * time.Second
)

// requestSteps holds the functions that bring a request to each step.
var requestSteps = map[exchange.Step]func(*cellRun) error{
	exchange.StepAdmit:    generationUntil(func(r *cellRun) bool { return true }),
	exchange.StepTokens:   (*cellRun).reachTokens,
	exchange.StepIntent:   (*cellRun).reachIntent,
	exchange.StepForward:  (*cellRun).reachForward,
	exchange.StepProbe:    (*cellRun).reachProbe,
	exchange.StepTrial:    (*cellRun).reachTrial,
	exchange.StepBackoff:  (*cellRun).reachBackoff,
	exchange.StepDispatch: generationUntil(atStep(exchange.StepDispatch)),
	exchange.StepQueue:    generationUntil(atStep(exchange.StepQueue)),
	exchange.StepStream:   generationUntil(atStep(exchange.StepStream)),
	exchange.StepDone:     generationUntil(func(r *cellRun) bool { return r.tracked.Done() }),
}

// atStep returns a function that reports whether the tracked request is at a step.
func atStep(step exchange.Step) func(*cellRun) bool {
	return func(r *cellRun) bool {
		now, known := r.Routers[r.Target.Router].RequestStep(r.tracked.Request.ID)
		return known && now == step
	}
}

// prepare waits until the fleet serves and sends baseline load to it.
func (r *cellRun) prepare() error {
	if err := r.waitServing(); err != nil {
		return err
	}
	r.baselineLoad(loadBeforeStep)
	r.Target.Account = trackedAccount
	return nil
}

// track sends the tracked request through the given router.
func (r *cellRun) track(router int, req proto.CallerRequest) {
	r.Target.Router = router
	r.tracked = r.Send(router, req)
}

// newGeneration returns a long generation request of the tracked account.
func (r *cellRun) newGeneration(prefix uint64) proto.CallerRequest {
	req := r.Generation(trackedAccount, prefix)
	req.Sampling = proto.Sampling{}
	req.MaxTokens = trackedTokens
	return req
}

// generationUntil sends a generation and waits until done returns true.
func generationUntil(done func(*cellRun) bool) func(*cellRun) error {
	return func(r *cellRun) error {
		if err := r.prepare(); err != nil {
			return err
		}
		r.track(0, r.newGeneration(1))
		return r.runUntil("generation request", func() bool { return done(r) })
	}
}

// reachTokens sends prompts that cost more tokens than the router holds locally
// but less than the burst, so that the router has to request tokens.
func (r *cellRun) reachTokens() error {
	if err := r.prepare(); err != nil {
		return err
	}
	return r.try(exchange.StepTokens, func(i int) {
		req := r.newGeneration(uint64(i))
		req.PromptTokens = 30_000
		r.track(i%len(r.Routers), req)
	})
}

// try sends requests, up to maxTries, until one is observed at the step.
func (r *cellRun) try(step exchange.Step, send func(i int)) error {
	for i := range maxTries {
		send(i)
		if r.Sim.RunUntil(tryTimeout, func() bool { return atStep(step)(r) }) {
			return nil
		}
	}
	return fmt.Errorf("step %v was not reached in %d tries", step, maxTries)
}

func (r *cellRun) order(i int) proto.CallerRequest {
	return r.Order(trackedAccount, fmt.Sprintf("tracked-%d", i))
}

func (r *cellRun) reachIntent() error {
	if err := r.prepare(); err != nil {
		return err
	}
	return r.try(exchange.StepIntent, func(i int) { r.track(0, r.order(i)) })
}

func (r *cellRun) reachForward() error {
	if err := r.prepare(); err != nil {
		return err
	}
	return r.try(exchange.StepForward, func(i int) { r.track(i%len(r.Routers), r.order(i)) })
}

func (r *cellRun) reachProbe() error {
	if err := r.prepare(); err != nil {
		return err
	}
	return r.try(exchange.StepProbe, func(i int) { r.track(i%len(r.Routers), r.newGeneration(uint64(1+i%3))) })
}

// reachTrial sends a request that crashes its engine and is retried.
func (r *cellRun) reachTrial() error {
	if err := r.prepare(); err != nil {
		return err
	}
	r.track(0, r.CrashingRequest(trackedAccount))
	return r.runUntil("trial", func() bool { return atStep(exchange.StepTrial)(r) })
}

// reachBackoff crashes the agent of a dispatched request, which breaks the
// connection. The agent is restarted after a second.
func (r *cellRun) reachBackoff() error {
	if err := generationUntil(atStep(exchange.StepDispatch))(r); err != nil {
		return err
	}
	id := r.endpoint
	r.Sim.Crash(proto.AgentAddr(id))
	r.Sim.After(time.Second, func() {
		if !r.Sim.Alive(proto.AgentAddr(id)) {
			r.StartAgent(id)
		}
	})
	return r.runUntil("backoff", func() bool { return atStep(exchange.StepBackoff)(r) })
}

// noteSteps holds the functions that bring a release note to each step.
var noteSteps = map[note.Step]func(*cellRun) error{
	note.StepSubmitted: noteUntil(func(*cellRun, proto.Revision) bool { return true }),
	note.StepLogged:    noteUntil(func(r *cellRun, next proto.Revision) bool { return r.Revision() >= next }),
	note.StepPropagating: noteUntil(func(r *cellRun, next proto.Revision) bool {
		applied := r.applied(next)
		return applied > 0 && applied < len(r.Routers)
	}),
	note.StepInForce: noteUntil(func(r *cellRun, next proto.Revision) bool { return r.applied(next) == len(r.Routers) }),
}

// applied counts the routers that have applied the revision.
func (r *cellRun) applied(revision proto.Revision) int {
	n := 0
	for _, router := range r.Routers {
		if router.Snapshot().Config.Revision >= revision {
			n++
		}
	}
	return n
}

// noteUntil submits a release note and waits until done returns true for its
// revision.
func noteUntil(done func(*cellRun, proto.Revision) bool) func(*cellRun) error {
	return func(r *cellRun) error {
		if err := r.prepare(); err != nil {
			return err
		}
		next := r.Revision() + 1
		r.RaiseLimits(0, 0)
		return r.runUntil("release note", func() bool { return done(r, next) })
	}
}

// leaseSteps holds the functions that bring a lease to each step.
var leaseSteps = map[lease.Step]func(*cellRun) error{
	lease.StepUnheld: func(r *cellRun) error {
		return r.runUntil("unheld", func() bool {
			return r.Routers[0].Snapshot().Ready && r.targetRouterAt(lease.StepUnheld, false)
		})
	},
	lease.StepClaimed:  func(r *cellRun) error { return r.untilLease(lease.StepClaimed, false) },
	lease.StepHeld:     whenServing(func(r *cellRun) error { return r.untilLease(lease.StepHeld, true) }),
	lease.StepRenewed:  whenServing(func(r *cellRun) error { return r.untilLease(lease.StepRenewed, true) }),
	lease.StepExpired:  whenServing((*cellRun).reachExpired),
	lease.StepReleased: whenServing((*cellRun).reachReleased),
}

// whenServing prepares the fleet before it calls reach.
func whenServing(reach func(*cellRun) error) func(*cellRun) error {
	return func(r *cellRun) error {
		if err := r.prepare(); err != nil {
			return err
		}
		return reach(r)
	}
}

// targetRouterAt makes the first running router that sees the lease at the step
// the target of the faults; with holder set, it must also hold the lease. It
// returns false if there is none.
func (r *cellRun) targetRouterAt(step lease.Step, holder bool) bool {
	for i, router := range r.Routers {
		if !r.Sim.Alive(r.RouterAddr(i)) {
			continue
		}
		now, holds := router.LeaseStep(r.Sim.Now(), trackedLease)
		if now == step && (holds || !holder) {
			r.Target.Router = i
			return true
		}
	}
	return false
}

// untilLease waits until some router sees the lease at the step and makes it the
// target of the faults.
func (r *cellRun) untilLease(step lease.Step, holder bool) error {
	return r.runUntil(step.String(), func() bool { return r.targetRouterAt(step, holder) })
}

// reachExpired crashes the holder and waits until another router sees that the
// lease has expired.
func (r *cellRun) reachExpired() error {
	if err := r.untilLease(lease.StepHeld, true); err != nil {
		return err
	}
	r.CrashAndRestartRouter(r.Target.Router, 10*time.Second)
	return r.untilLease(lease.StepExpired, false)
}

// reachReleased drains the holder and waits until another router sees the lease
// as released.
func (r *cellRun) reachReleased() error {
	if err := r.untilLease(lease.StepHeld, true); err != nil {
		return err
	}
	holder := r.Target.Router
	r.DrainAndReplace(holder)
	return r.untilLease(lease.StepReleased, false)
}
