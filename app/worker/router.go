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

// Router runs the state machines of one router.
type Router struct {
	self    proto.Addr
	machine *controlMachine
	control *driver.Driver
	workers []*driver.Driver
	deliver func(proto.Envelope)
}

// New returns a router with n workers, which Start starts. deliver is called for
// each message to another node, from several goroutines at once but in order for
// each request. It must not block and must not call Step or Do.
func New(control *router.Control, n int, seed uint64, deliver func(proto.Envelope)) *Router {
	r := &Router{self: control.Self(), machine: &controlMachine{Control: control}, deliver: deliver}
	r.control = driver.New(r.machine, r.routeOutput)
	for i := range n {
		// Each exchange of a worker adds 1 to the seed. The distance of 2^48 keeps the
		// seeds of two workers apart for any number of requests.
		s := newShard(control, seed+uint64(i)<<48, func() { r.machine.inFlight.Add(1) })
		r.workers = append(r.workers, driver.New(s, r.routeOutput))
	}
	control.OnTickNeeded(r.control.RequestTick)
	return r
}

// Start starts all goroutines.
func (r *Router) Start() {
	r.control.Start()
	for _, w := range r.workers {
		w.Start()
	}
}

// Stop stops all goroutines and waits until they have ended.
func (r *Router) Stop() error {
	var err error
	for _, w := range r.workers {
		err = errors.Join(err, w.Stop())
	}
	return errors.Join(err, r.control.Stop())
}

// Step passes a message to the state machine that it is for. It blocks while too
// many messages wait there, and returns false if the router has stopped.
func (r *Router) Step(in proto.Envelope) bool { return r.driverFor(in.Msg).Step(in) }

// Do runs f in the goroutine of the control state machine and waits until it
// returns. It returns false if the router has stopped.
func (r *Router) Do(f func(now proto.Instant)) bool { return r.control.Do(f) }

// Snapshot returns the state that requests are currently decided on. It is safe
// for concurrent use.
func (r *Router) Snapshot() *exchange.Snapshot { return r.machine.Snapshot() }

// InFlight returns the number of requests whose end the control state machine
// has not processed yet. It is safe for concurrent use.
func (r *Router) InFlight() int { return int(r.machine.inFlight.Load()) }

// Drain makes the router refuse new requests. Requests in flight continue, and
// the router leaves the fleet after the last one. Drain must be called through
// Do.
func (r *Router) Drain(now proto.Instant) {
	r.machine.draining = true
	r.machine.Drain(now)
	r.machine.leaveIfIdle(now)
}

// Drained reports whether a draining router has finished its requests and left
// the fleet. It must be called through Do.
func (r *Router) Drained() bool { return r.InFlight() == 0 && r.machine.HasLeft() }

// routeOutput delivers an outgoing message of one of the state machines.
func (r *Router) routeOutput(env proto.Envelope) {
	if env.To == r.self {
		r.driverFor(env.Msg).Post(env)
		return
	}
	r.deliver(env)
}

// driverFor returns the driver of the state machine that processes a message.
func (r *Router) driverFor(m proto.Message) *driver.Driver {
	id, ok := targetRequest(m)
	if !ok {
		return r.control
	}
	return r.workers[xxhash.Sum64String(string(id))%uint64(len(r.workers))]
}

// targetRequest returns the request whose worker processes a message, and false
// if the message is for the control state machine.
func targetRequest(m proto.Message) (proto.RequestID, bool) {
	switch m := m.(type) {
	case proto.CallerRequest:
		return m.ID, true
	case proto.IntentForward:
		return m.Request.ID, true
	}
	return router.TargetRequest(m)
}

// controlMachine extends router.Control: once the router drains and has no
// request in flight, it leaves the fleet.
type controlMachine struct {
	*router.Control
	draining bool
	// inFlight is incremented by a worker that opens an exchange. It is
	// decremented only after the control state machine has processed the end of
	// the request. Otherwise the router could append its last audit batch before
	// the audit record of that request is added.
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
