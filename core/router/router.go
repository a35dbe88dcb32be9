package router

import (
	"slices"

	"github.com/kumquatsill/kumquatsill/core/exchange"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/core/rollout"
)

// Router bundles the control machine and all exchanges of one router behind
// proto.Machine, for a driver with one thread. A shell with many threads uses
// Control and Open instead, and routes messages by RequestOf.
type Router struct {
	control   *Control
	exchanges map[proto.RequestID]*exchange.Exchange
	// origins maps a request that another router handed over to that router.
	origins     map[proto.RequestID]proto.Addr
	out         []proto.Envelope
	openedCount uint64
}

// New returns a router without state: it reads the log before it serves.
func New(cfg Config) *Router {
	return &Router{control: NewControl(cfg), exchanges: map[proto.RequestID]*exchange.Exchange{}, origins: map[proto.RequestID]proto.Addr{}}
}

// Control returns the control machine. It is not safe for concurrent use,
// but for Open, Deps and Snapshot.
func (r *Router) Control() *Control { return r.control }

// Snapshot returns the state in force.
func (r *Router) Snapshot() *exchange.Snapshot { return r.control.Snapshot() }

// NewExchange starts an exchange for a request. It is safe for concurrent use.
func (c *Control) NewExchange(now proto.Instant, req proto.CallerRequest, seed uint64) *exchange.Exchange {
	return exchange.New(now, c.deps, req, seed)
}

// InFlight returns the number of requests that have not ended.
func (r *Router) InFlight() int { return len(r.exchanges) }

// Drain makes the router refuse new requests; those in flight go on, and
// after the last one the router leaves.
func (r *Router) Drain(now proto.Instant) {
	r.control.Drain(now)
	r.leaveIfIdle(now)
}

// Drained reports whether a draining router has nothing left to do.
func (r *Router) Drained() bool { return len(r.exchanges) == 0 && r.control.HasLeft() }

func (r *Router) leaveIfIdle(now proto.Instant) {
	if r.control.draining && len(r.exchanges) == 0 {
		r.control.Leave(now)
	}
}

// Step implements proto.Machine.
func (r *Router) Step(now proto.Instant, in proto.Envelope) {
	switch m := in.Msg.(type) {
	case proto.CallerRequest:
		r.openExchange(now, m)
	case proto.IntentForward:
		if r.exchanges[m.Request.ID] == nil {
			r.origins[m.Request.ID] = in.From
			r.openExchange(now, m.Request)
		}
	default:
		r.route(now, in)
	}
	r.deliverLocal(now)
}

func (r *Router) openExchange(now proto.Instant, req proto.CallerRequest) {
	if r.exchanges[req.ID] != nil {
		return
	}
	r.openedCount++
	r.exchanges[req.ID] = r.control.NewExchange(now, req, r.control.cfg.Seed+r.openedCount)
	r.collect(req.ID)
}

// route passes a message to the exchange that it belongs to, or to the
// control machine.
func (r *Router) route(now proto.Instant, in proto.Envelope) {
	id, ok := TargetRequest(in.Msg)
	if !ok {
		r.control.Step(now, in)
		return
	}
	x := r.exchanges[id]
	if x == nil {
		r.control.deps.Stats.Late.Add(1)
		if unused, ok := UnusedTrialReply(in.Msg); ok {
			r.control.Step(now, proto.Envelope{From: in.From, To: in.To, Msg: unused})
		}
		return
	}
	x.Step(now, in)
	r.collect(id)
}

// UnusedTrialReply returns what to answer when a trial is granted to a request
// that has ended, so that the next one need not wait until the trial is void.
func UnusedTrialReply(msg proto.Message) (proto.TrialEnded, bool) {
	m, ok := msg.(proto.TrialDecided)
	if !ok || m.Trial == 0 {
		return proto.TrialEnded{}, false
	}
	return proto.TrialEnded{
		Request: m.Request, Account: m.Account, Fingerprint: m.Fingerprint, Trial: m.Trial, Result: proto.TrialUnused,
	}, true
}

// TargetRequest returns the request whose exchange takes a message, and false
// for messages to the control machine.
func TargetRequest(msg proto.Message) (proto.RequestID, bool) {
	switch m := msg.(type) {
	case proto.CallerGone:
		return m.Request, true
	case proto.IntentDecided:
		return m.Request, true
	case proto.ProbeReply:
		return m.Request, m.Request != rollout.ProbeRequest
	case proto.Accepted:
		return m.Attempt.Request(), true
	case proto.Chunk:
		return m.Attempt.Request(), true
	case proto.Heartbeat:
		return m.Attempt.Request(), true
	case proto.Finish:
		return m.Attempt.Request(), true
	case proto.AttemptRefused:
		return m.Attempt.Request(), true
	case proto.ConnLost:
		return m.Attempt.Request(), true
	case proto.TrialDecided:
		return m.Request, true
	case proto.CallerFinish:
		return m.Request, true
	case proto.CallerRefusal:
		return m.Request, true
	}
	return "", false
}

// collect takes the outputs of an exchange and forgets it at its end.
func (r *Router) collect(id proto.RequestID) {
	x := r.exchanges[id]
	out := x.Take()
	if origin, ok := r.origins[id]; ok {
		RedirectToOrigin(out, origin)
	}
	r.out = append(r.out, out...)
	if x.Done() {
		delete(r.exchanges, id)
		delete(r.origins, id)
	}
}

// RedirectToOrigin sends what an exchange answers its caller to the router that
// handed the request over.
func RedirectToOrigin(out []proto.Envelope, origin proto.Addr) {
	for i := range out {
		if out[i].To.Role == proto.RoleCaller {
			out[i].To = origin
		}
	}
}

// deliverLocal delivers the messages between the parts of this router until only
// messages to others are left.
func (r *Router) deliverLocal(now proto.Instant) {
	self := r.control.Self()
	for {
		r.out = append(r.out, r.control.Take()...)
		r.leaveIfIdle(now)
		i := slices.IndexFunc(r.out, func(e proto.Envelope) bool { return e.To == self })
		if i < 0 {
			return
		}
		e := r.out[i]
		r.out = slices.Delete(r.out, i, i+1)
		r.route(now, e)
	}
}

// Tick implements proto.Machine.
func (r *Router) Tick(now proto.Instant) {
	r.control.Tick(now)
	for _, id := range r.dueExchanges(now) {
		r.exchanges[id].Tick(now)
		r.collect(id)
	}
	r.deliverLocal(now)
}

func (r *Router) dueExchanges(now proto.Instant) []proto.RequestID {
	var ids []proto.RequestID
	for id, x := range r.exchanges {
		if x.Wake() <= now {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Wake implements proto.Machine.
func (r *Router) Wake() proto.Instant {
	wake := r.control.Wake()
	for _, x := range r.exchanges {
		wake = min(wake, x.Wake())
	}
	return wake
}

// Take implements proto.Machine.
func (r *Router) Take() []proto.Envelope {
	out := r.out
	r.out = nil
	return out
}
