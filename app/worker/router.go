package worker

import (
	"errors"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
	"github.com/kumquatsill/kumquatsill/app/driver"
	"github.com/kumquatsill/kumquatsill/core/exchange"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/core/router"
)

// Router runs the machines of one router.
type Router struct {
	self    proto.Addr
	machine *controlMachine
	control *driver.Driver
	workers []*driver.Driver
	deliver func(proto.Envelope)
}

// New returns a router of n workers that is not yet running. deliver is called
// for each message to others, by several goroutines at once but in order for
// one request. It must not block and must not call Step or Do.
func New(control *router.Control, n int, seed uint64, deliver func(proto.Envelope)) *Router {
	r := &Router{self: control.Self(), machine: &controlMachine{Control: control}, deliver: deliver}
	r.control = driver.New(r.machine, r.routeOutput)
	for i := range n {
		// The seeds of two workers stay apart for any number of requests.
		s := newShard(control, seed+uint64(i)<<48, func() { r.machine.inFlight.Add(1) })
		r.workers = append(r.workers, driver.New(s, r.routeOutput))
	}
	control.OnUrgent(r.control.Nudge)
	return r
}

// Start starts all goroutines.
func (r *Router) Start() {
	r.control.Start()
	for _, w := range r.workers {
		w.Start()
	}
}

// Stop ends all goroutines and waits for them.
func (r *Router) Stop() error {
	var err error
	for _, w := range r.workers {
		err = errors.Join(err, w.Stop())
	}
	return errors.Join(err, r.control.Stop())
}

// Step hands a message to the machine that it is for and blocks while too many
// wait there. It reports false if the router has stopped.
func (r *Router) Step(in proto.Envelope) bool { return r.driverFor(in.Msg).Step(in) }

// Do runs f in the goroutine of the control machine and waits for its end. It
// reports false if the router has stopped.
func (r *Router) Do(f func(now proto.Instant)) bool { return r.control.Do(f) }

// Snapshot returns the state in force. It is safe for concurrent use.
func (r *Router) Snapshot() *exchange.Snapshot { return r.machine.Snapshot() }

// InFlight returns the number of requests whose end the control machine has
// not seen. It is safe for concurrent use.
func (r *Router) InFlight() int { return int(r.machine.inFlight.Load()) }

// Drain makes the router refuse new requests; those in flight go on, and after
// the last one the router leaves. It must be called through Do.
func (r *Router) Drain(now proto.Instant) {
	r.machine.draining = true
	r.machine.Drain(now)
	r.machine.leaveIfIdle(now)
}

// Drained reports whether a draining router has nothing left to do. It must be
// called through Do.
func (r *Router) Drained() bool { return r.InFlight() == 0 && r.machine.HasLeft() }

// routeOutput delivers an output of one of the machines.
func (r *Router) routeOutput(env proto.Envelope) {
	if env.To == r.self {
		r.driverFor(env.Msg).Post(env)
		return
	}
	r.deliver(env)
}

func (r *Router) driverFor(m proto.Message) *driver.Driver {
	id, ok := targetRequest(m)
	if !ok {
		return r.control
	}
	return r.workers[xxhash.Sum64String(string(id))%uint64(len(r.workers))]
}

// targetRequest returns the request whose worker takes a message, and false for
// messages to the control machine.
func targetRequest(m proto.Message) (proto.RequestID, bool) {
	switch m := m.(type) {
	case proto.CallerRequest:
		return m.ID, true
	case proto.IntentForward:
		return m.Request.ID, true
	}
	return router.TargetRequest(m)
}

// controlMachine is the control machine, which leaves once a draining router
// has no request left.
type controlMachine struct {
	*router.Control
	draining bool
	// inFlight is raised by a worker that opens an exchange, and lowered only
	// after the control machine took in the request's end: its audit record
	// would otherwise come after the last batch.
	inFlight atomic.Int64
}

// Step implements proto.Machine.
func (c *controlMachine) Step(now proto.Instant, in proto.Envelope) {
	c.Control.Step(now, in)
	if _, ended := in.Msg.(proto.RequestEnded); ended && in.From == c.Self() {
		c.inFlight.Add(-1)
		c.leaveIfIdle(now)
	}
}

func (c *controlMachine) leaveIfIdle(now proto.Instant) {
	if c.draining && c.inFlight.Load() == 0 {
		c.Leave(now)
	}
}
