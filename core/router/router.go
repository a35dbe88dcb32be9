package router

import (
	"slices"

	"github.com/kumquatsill/kumquatsill/core/exchange"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/core/rollout"
)

// Router combines the control state machine and all exchanges of one router in
// a single proto.Machine, for a single-threaded driver. A multithreaded driver
// uses Control and NewExchange instead and routes messages by TargetRequest.
type Router struct {
	control   *Control
	exchanges map[proto.RequestID]*exchange.Exchange
	// origins maps each request that another router forwarded to that router.
	origins     map[proto.RequestID]proto.Addr
	out         []proto.Envelope
	openedCount uint64
}

// New returns a router without state, which reads the log before it serves.
func New(cfg Config) *Router {
	return &Router{control: NewControl(cfg), exchanges: map[proto.RequestID]*exchange.Exchange{}, origins: map[proto.RequestID]proto.Addr{}}
}

// Control returns the control state machine. Of its methods only NewExchange,
// Deps and Snapshot are safe for concurrent use.
func (r *Router) Control() *Control { return r.control }

// Snapshot returns the state that requests are currently decided on.
func (r *Router) Snapshot() *exchange.Snapshot { return r.control.Snapshot() }

// NewExchange starts an exchange for a request. It is safe for concurrent use.
func (c *Control) NewExchange(now proto.Instant, req proto.CallerRequest, seed uint64) *exchange.Exchange {
	return exchange.New(now, c.deps, req, seed)
}

// InFlight returns the number of requests that have not ended yet.
func (r *Router) InFlight() int { return len(r.exchanges) }

// Drain makes the router refuse new requests. Requests in flight continue, and
// the router leaves the fleet after the last one.
func (r *Router) Drain(now proto.Instant) {
	r.control.Drain(now)
	r.leaveIfIdle(now)
}

// Drained reports whether a draining router has finished its requests and left
// the fleet.
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

// route passes a message to its exchange or to the control state machine.
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

// UnusedTrialReply returns the reply to a trial that was granted to a request
// that has ended. It releases the trial, so that the next request of the
// fingerprint need not wait until the trial expires.
func UnusedTrialReply(msg proto.Message) (proto.TrialEnded, bool) {
	m, ok := msg.(proto.TrialDecided)
	if !ok || m.Trial == 0 {
		return proto.TrialEnded{}, false
	}
	return proto.TrialEnded{
		Request: m.Request, Account: m.Account, Fingerprint: m.Fingerprint, Trial: m.Trial, Result: proto.TrialUnused,
	}, true
}

// TargetRequest returns the request whose exchange processes msg, and false if
// msg is for the control state machine.
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

// collect takes the outgoing messages of an exchange and removes the exchange
// once it has ended.
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

// RedirectToOrigin changes the receiver of messages to the caller to origin,
// the router that forwarded the request.
func RedirectToOrigin(out []proto.Envelope, origin proto.Addr) {
	for i := range out {
		if out[i].To.Role == proto.RoleCaller {
			out[i].To = origin
		}
	}
}

// deliverLocal delivers messages between the components of this router until
// only messages to other nodes remain.
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
