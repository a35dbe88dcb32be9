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
	// forwardRouters is above the number of followers of an intent stream.
	forwardRouters = 6
	// trackedAccount has no calm load, so that its tokens are still with the holders.
	trackedAccount = 2
	// trackedTokens makes the tracked stream last for 2 s.
	trackedTokens = 100
	// trackedLease is the lease that is brought to a step.
	trackedLease = "bucket/0/0"
	maxTries     = 40
	tryTime      = 300 * time.Millisecond
	calmBefore   = 2 * time.Second
)

// requestSteps holds how a request is brought to each step.
var requestSteps = map[exchange.Step]func(*cellRun) error{
	exchange.StepAdmit:    generation(func(r *cellRun) bool { return true }),
	exchange.StepTokens:   (*cellRun).reachTokens,
	exchange.StepIntent:   (*cellRun).reachIntent,
	exchange.StepForward:  (*cellRun).reachForward,
	exchange.StepProbe:    (*cellRun).reachProbe,
	exchange.StepTrial:    (*cellRun).reachTrial,
	exchange.StepBackoff:  (*cellRun).reachBackoff,
	exchange.StepDispatch: generation(at(exchange.StepDispatch)),
	exchange.StepQueue:    generation(at(exchange.StepQueue)),
	exchange.StepStream:   generation(at(exchange.StepStream)),
	exchange.StepDone:     generation(func(r *cellRun) bool { return r.tracked.Done() }),
}

// at reports whether the tracked request is at a step.
func at(step exchange.Step) func(*cellRun) bool {
	return func(r *cellRun) bool {
		now, known := r.Routers[r.Target.Router].RequestStep(r.tracked.Request.ID)
		return known && now == step
	}
}

// prepare waits until the fleet serves and gives it a calm load.
func (r *cellRun) prepare() error {
	if err := r.serve(); err != nil {
		return err
	}
	r.calmLoad(calmBefore)
	r.Target.Account = trackedAccount
	return nil
}

func (r *cellRun) track(via int, req proto.CallerRequest) {
	r.Target.Router = via
	r.tracked = r.Send(via, req)
}

func (r *cellRun) newGeneration(prefix uint64) proto.CallerRequest {
	req := r.Generation(trackedAccount, prefix)
	req.Sampling = proto.Sampling{}
	req.MaxTokens = trackedTokens
	return req
}

func generation(done func(*cellRun) bool) func(*cellRun) error {
	return func(r *cellRun) error {
		if err := r.prepare(); err != nil {
			return err
		}
		r.track(0, r.newGeneration(1))
		return r.until("of a generation", func() bool { return done(r) })
	}
}

// reachTokens sends more than the router has at hand, less than the burst.
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

// try sends requests until one is seen at the step.
func (r *cellRun) try(step exchange.Step, send func(i int)) error {
	for i := range maxTries {
		send(i)
		if r.Sim.RunUntil(tryTime, func() bool { return at(step)(r) }) {
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

// reachTrial sends a request that crashes its engine and is tried again.
func (r *cellRun) reachTrial() error {
	if err := r.prepare(); err != nil {
		return err
	}
	r.track(0, r.CrashingRequest(trackedAccount))
	return r.until("trial", func() bool { return at(exchange.StepTrial)(r) })
}

// reachBackoff breaks the connection of a request that is dispatched.
func (r *cellRun) reachBackoff() error {
	if err := generation(at(exchange.StepDispatch))(r); err != nil {
		return err
	}
	id := r.endpoint
	r.Sim.Crash(proto.AgentAddr(id))
	r.Sim.After(time.Second, func() {
		if !r.Sim.Alive(proto.AgentAddr(id)) {
			r.StartAgent(id)
		}
	})
	return r.until("backoff", func() bool { return at(exchange.StepBackoff)(r) })
}

// noteSteps holds how a note is brought to each step.
var noteSteps = map[note.Step]func(*cellRun) error{
	note.StepSubmitted: noteUntil(func(*cellRun, proto.Revision) bool { return true }),
	note.StepLogged:    noteUntil(func(r *cellRun, next proto.Revision) bool { return r.Revision() >= next }),
	note.StepPropagating: noteUntil(func(r *cellRun, next proto.Revision) bool {
		folded := r.folded(next)
		return folded > 0 && folded < len(r.Routers)
	}),
	note.StepInForce: noteUntil(func(r *cellRun, next proto.Revision) bool { return r.folded(next) == len(r.Routers) }),
}

func (r *cellRun) folded(revision proto.Revision) int {
	n := 0
	for _, router := range r.Routers {
		if router.Snapshot().Config.Revision >= revision {
			n++
		}
	}
	return n
}

func noteUntil(done func(*cellRun, proto.Revision) bool) func(*cellRun) error {
	return func(r *cellRun) error {
		if err := r.prepare(); err != nil {
			return err
		}
		next := r.Revision() + 1
		r.RaiseLimits(0, 0)
		return r.until("of a note", func() bool { return done(r, next) })
	}
}

// leaseSteps holds how a lease is brought to each step.
var leaseSteps = map[lease.Step]func(*cellRun) error{
	lease.StepUnheld: func(r *cellRun) error {
		return r.until("unheld", func() bool {
			return r.Routers[0].Snapshot().Ready && r.anyRouter(lease.StepUnheld, false)
		})
	},
	lease.StepClaimed:  func(r *cellRun) error { return r.untilLease(lease.StepClaimed, false) },
	lease.StepHeld:     served(func(r *cellRun) error { return r.untilLease(lease.StepHeld, true) }),
	lease.StepRenewed:  served(func(r *cellRun) error { return r.untilLease(lease.StepRenewed, true) }),
	lease.StepExpired:  served((*cellRun).reachExpired),
	lease.StepReleased: served((*cellRun).reachReleased),
}

func served(reach func(*cellRun) error) func(*cellRun) error {
	return func(r *cellRun) error {
		if err := r.prepare(); err != nil {
			return err
		}
		return reach(r)
	}
}

// anyRouter makes the first running router that sees the lease at a step the
// target. It reports false if there is none.
func (r *cellRun) anyRouter(step lease.Step, holder bool) bool {
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

func (r *cellRun) untilLease(step lease.Step, holder bool) error {
	return r.until(step.String(), func() bool { return r.anyRouter(step, holder) })
}

// reachExpired crashes the holder and waits until another router sees that
// its time to live is over.
func (r *cellRun) reachExpired() error {
	if err := r.untilLease(lease.StepHeld, true); err != nil {
		return err
	}
	r.CrashAndRestartRouter(r.Target.Router, 10*time.Second)
	return r.untilLease(lease.StepExpired, false)
}

func (r *cellRun) reachReleased() error {
	if err := r.untilLease(lease.StepHeld, true); err != nil {
		return err
	}
	holder := r.Target.Router
	r.DrainAndReplace(holder)
	return r.untilLease(lease.StepReleased, false)
}
