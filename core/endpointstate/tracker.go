// Package endpointstate keeps what endpoints say about themselves in their answers. Each
// statement holds for one incarnation of an endpoint, from the time of the observation
// until it ends:
//
//   - a limit, the requests per second that an endpoint in need takes from all routers
//     together (limit.go, senders.go);
//   - that it leaves, after which it gets no new requests (leaving.go);
//   - a pause, a time for which it takes no requests from this router (pause.go).
//
// What an endpoint says before its incarnation is registered is taken over by that one
// (incarnation.go).
//
// To add another kind: decode it in platform.DecodeResponse, add a field to Report and one
// to state, and let Check take it into account. Notices tell the peers (notices.go).
package endpointstate

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/kumquatsill/kumquatsill/core/discovery"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// Router is a router that takes part in sharing the limits.
type Router struct {
	ID     proto.RouterID
	Domain proto.Domain
}

// Endpoint is one incarnation of an endpoint.
type Endpoint struct {
	ID proto.EndpointID
	// Started identifies the incarnation.
	Started int64
	Domain  proto.Domain
}

// EndpointOf returns the incarnation that a registration names.
func EndpointOf(e *discovery.Endpoint) Endpoint {
	return Endpoint{ID: e.ID, Started: e.Started, Domain: e.Domain}
}

func (e Endpoint) incarnation() incarnation { return incarnation{e.ID, e.Started} }

// incarnation is the key of an endpoint's state.
type incarnation struct {
	id      proto.EndpointID
	started int64
}

// Report is what one answer of an endpoint to this router says about the endpoint.
type Report struct {
	// Limit is valid if HasLimit is set. Not every answer tells whether a limit has ended.
	Limit    Limit
	HasLimit bool
	// Leaving is set if the endpoint leaves.
	Leaving bool
	// Pause is the time for which the endpoint takes no requests from this router; 0 for
	// none. More than maxPause counts as maxPause.
	Pause time.Duration
	// SaidAt is the time of day of the answer, in Unix milliseconds.
	SaidAt int64
}

// Change tells which parts of an endpoint's state an observation has changed.
type Change struct {
	// Pause is set if a pause has begun.
	Limit, Leaving, Pause bool
}

// state is what one incarnation of an endpoint has said.
type state struct {
	incarnation
	limit   limitState
	leaving leavingState
	pause   pauseState
}

// isEmpty reports whether nothing is known that has to be kept.
func (s *state) isEmpty(now proto.Instant) bool {
	return !s.limit.isKnown() && !s.leaving.known && !s.pause.inForce(now)
}

// Tracker holds the states that one router knows. It is safe for concurrent use.
type Tracker struct {
	self Router
	// known is the number of states, so that there is nothing to do while it is 0.
	known atomic.Int64

	mu     sync.Mutex
	states map[incarnation]*state
	// drainTimeout is how long an endpoint that leaves may get requests as a last resort.
	drainTimeout time.Duration
	// routers lists the routers that are alive, without this one, by ID.
	routers []Router
}

// New returns a Tracker without states.
func New(self Router) *Tracker {
	return &Tracker{self: self, states: map[incarnation]*state{}}
}

// SetRouters sets the other routers that are alive.
func (t *Tracker) SetRouters(routers []Router) {
	routers = slices.Clone(routers)
	slices.SortFunc(routers, func(a, b Router) int { return cmp.Compare(a.ID, b.ID) })
	t.mu.Lock()
	defer t.mu.Unlock()
	if slices.Equal(routers, t.routers) {
		return
	}
	t.routers = routers
	for _, s := range t.states {
		s.limit.rateKnown = false
	}
}

// Observe records what an answer to this router says about an endpoint.
func (t *Tracker) Observe(now proto.Instant, e Endpoint, r Report) Change {
	var change Change
	if t.known.Load() == 0 && r.isEmpty() {
		return change
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.HasLimit {
		change.Limit = t.applyLimit(now, limitObservation{e.incarnation(), r.Limit, now, true, r.SaidAt})
	}
	if r.Leaving {
		change.Leaving = t.applyLeaving(e.incarnation(), now, true)
	}
	if r.Pause > 0 {
		change.Pause = t.stateFor(e.incarnation()).pause.extend(now, r.Pause, r.SaidAt)
	}
	return change
}

// isEmpty reports whether an answer says nothing that begins to hold.
func (r *Report) isEmpty() bool { return !r.Limit.Named && !r.Leaving && r.Pause <= 0 }

// stateFor returns the state of an incarnation and creates it if missing; mu must be
// held.
func (t *Tracker) stateFor(key incarnation) *state {
	s := t.states[key]
	if s == nil {
		s = &state{incarnation: key}
		t.states[key] = s
		t.known.Add(1)
	}
	return s
}

// Retain forgets what has ended of the incarnations for which alive returns false.
func (t *Tracker) Retain(now proto.Instant, alive func(id proto.EndpointID, started int64) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, s := range t.states {
		if !alive(key.id, key.started) {
			s.limit = limitState{}
			if now.Sub(s.leaving.since) > leavingRetention {
				s.leaving = leavingState{}
			}
		}
		t.removeIfEmpty(now, s)
	}
}

// removeIfEmpty forgets a state of which nothing has to be kept; mu must be held.
func (t *Tracker) removeIfEmpty(now proto.Instant, s *state) {
	if s.isEmpty(now) {
		delete(t.states, s.incarnation)
		t.known.Add(-1)
	}
}

// Reason is why an endpoint takes no request now.
type Reason uint8

const (
	// NoReason means that the endpoint takes requests.
	NoReason Reason = iota
	// LimitReached means that this router's share of the endpoint's limit is used up.
	LimitReached
	// Leaving means that the endpoint leaves.
	Leaving
	// Paused means that the endpoint takes no requests from this router for a time.
	Paused
)

// Permission says whether a router may send a request to an endpoint.
type Permission struct {
	OK bool
	// Reason is why it may not.
	Reason Reason
	// Wait is the time until it may, 0 if unknown.
	Wait time.Duration
	// LastResort is set if it may do so nevertheless where no other endpoint can take the
	// request.
	LastResort bool
	// CheckDue is set if nobody has heard for some time whether a limit still holds.
	CheckDue bool
}

// Check returns whether this router may send a request to an endpoint now.
func (t *Tracker) Check(now proto.Instant, e Endpoint) Permission {
	if t.known.Load() == 0 {
		return Permission{OK: true}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.states[e.incarnation()]
	if s == nil {
		return Permission{OK: true}
	}
	p := t.checkLimit(now, s, e)
	if s.pause.inForce(now) {
		p = Permission{Reason: Paused, Wait: s.pause.until.Sub(now)}
	}
	if s.leaving.known {
		inTime := now.Sub(s.leaving.since) < t.drainTimeout
		p = Permission{Reason: Leaving, LastResort: p.OK && inTime}
	}
	return p
}

// Take records that a request is sent to an endpoint.
func (t *Tracker) Take(now proto.Instant, e Endpoint) {
	if t.known.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.states[e.incarnation()]; s != nil {
		t.takeFromLimit(now, s, e)
	}
}
