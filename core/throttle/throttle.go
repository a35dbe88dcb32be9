// Package throttle keeps the limits that endpoints in need name: the requests per second
// that each takes from all routers together. Some routers, chosen by rendezvous hashing,
// share the limit of an endpoint; the others send it nothing while it lasts. So the sum
// holds for any number of routers. Routers tell each other what they have observed.
package throttle

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

const (
	// minRate is the rate in requests per second at which an endpoint is tried that names
	// a lower limit. Only its answers tell when the limit ends.
	minRate = 0.1
	// checkInterval is the time since the last answer after which an endpoint with a limit
	// is to be asked again, as the limit may have ended.
	checkInterval = 2 * time.Second
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

// Limit is what an endpoint has named.
type Limit struct {
	// PerSecond is the number of requests per second, valid if Named is set. A limit that
	// is not named has ended.
	PerSecond float64
	Named     bool
}

// state is the limit of one endpoint.
type state struct {
	endpoint proto.EndpointID
	started  int64
	limit    Limit
	// observedAt is when the limit was named last, changedAt when it changed.
	observedAt, changedAt proto.Instant
	// own is set if this router has made the last observation.
	own bool
	// rate is this router's share of the limit in requests per second, valid if rateKnown
	// is set.
	rate      float64
	rateKnown bool
	// tokens is the number of requests that this router may send, as of refilledAt.
	tokens     float64
	refilledAt proto.Instant
}

// Throttle holds the limits that one router knows. It is safe for concurrent use.
type Throttle struct {
	self Router
	// limited is the number of endpoints with a limit in force.
	limited atomic.Int64

	mu     sync.Mutex
	states map[proto.EndpointID]*state
	// routers lists the routers that are alive, without this one, by ID.
	routers []Router
}

// New returns a Throttle without limits.
func New(self Router) *Throttle {
	return &Throttle{self: self, states: map[proto.EndpointID]*state{}}
}

// SetRouters sets the other routers that are alive.
func (t *Throttle) SetRouters(routers []Router) {
	routers = slices.Clone(routers)
	slices.SortFunc(routers, func(a, b Router) int { return cmp.Compare(a.ID, b.ID) })
	t.mu.Lock()
	defer t.mu.Unlock()
	if slices.Equal(routers, t.routers) {
		return
	}
	t.routers = routers
	for _, s := range t.states {
		s.rateKnown = false
	}
}

// Observe records what an endpoint named in an answer to this router. It reports whether
// the limit has changed.
func (t *Throttle) Observe(now proto.Instant, e Endpoint, l Limit) bool {
	if !l.Named && t.limited.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.apply(now, observation{e.ID, e.Started, l, now, true})
}

// observation is a limit that an endpoint named to this router, if own is set, or to a
// peer.
type observation struct {
	endpoint proto.EndpointID
	started  int64
	limit    Limit
	at       proto.Instant
	own      bool
}

// apply records an observation and reports whether the limit has changed; mu must be
// held.
func (t *Throttle) apply(now proto.Instant, o observation) bool {
	s := t.states[o.endpoint]
	if s == nil || s.started < o.started {
		if !o.limit.Named {
			return false
		}
		t.remove(o.endpoint)
		s = &state{endpoint: o.endpoint, started: o.started}
		t.states[o.endpoint] = s
	}
	if s.started > o.started || o.at <= s.observedAt {
		return false
	}
	changed := s.limit != o.limit
	if s.limit.Named != o.limit.Named {
		t.countLimited(o.limit.Named)
		// Requests that were just sent have used up the first ones.
		s.tokens, s.refilledAt = 0, now
	}
	s.limit, s.observedAt, s.own = o.limit, o.at, o.own
	if changed {
		s.changedAt, s.rateKnown = now, false
	}
	return changed
}

func (t *Throttle) countLimited(named bool) {
	if named {
		t.limited.Add(1)
	} else {
		t.limited.Add(-1)
	}
}

// Retain forgets the endpoints for which alive returns false.
func (t *Throttle) Retain(alive func(id proto.EndpointID, started int64) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, s := range t.states {
		if !alive(id, s.started) {
			t.remove(id)
		}
	}
}

// remove forgets an endpoint; mu must be held.
func (t *Throttle) remove(id proto.EndpointID) {
	if s := t.states[id]; s != nil && s.limit.Named {
		t.countLimited(false)
	}
	delete(t.states, id)
}

// Permission says whether a router may send a request to an endpoint.
type Permission struct {
	OK bool
	// Wait is the time until it may, 0 if other routers share the limit.
	Wait time.Duration
	// CheckDue is set if nobody has heard for some time whether the limit still holds.
	CheckDue bool
}

// Check returns whether this router may send a request to an endpoint now.
func (t *Throttle) Check(now proto.Instant, e Endpoint) Permission {
	if t.limited.Load() == 0 {
		return Permission{OK: true}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.stateOf(e)
	if s == nil {
		return Permission{OK: true}
	}
	rate := t.refill(now, s, e)
	switch {
	case rate == 0:
		return Permission{}
	case s.tokens >= 1:
		return Permission{OK: true, CheckDue: now.Sub(s.observedAt) >= checkInterval}
	}
	return Permission{Wait: time.Duration((1 - s.tokens) / rate * float64(time.Second))}
}

// Take records that a request is sent to an endpoint.
func (t *Throttle) Take(now proto.Instant, e Endpoint) {
	if t.limited.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.stateOf(e); s != nil {
		t.refill(now, s, e)
		s.tokens--
	}
}

// stateOf returns the state of an endpoint that names a limit, or nil; mu must be held.
func (t *Throttle) stateOf(e Endpoint) *state {
	s := t.states[e.ID]
	if s == nil || s.started != e.Started || !s.limit.Named {
		return nil
	}
	return s
}

// refill adds the tokens since the last call, of which at most one is saved up, and
// returns this router's rate in requests per second; mu must be held.
func (t *Throttle) refill(now proto.Instant, s *state, e Endpoint) float64 {
	if !s.rateKnown {
		s.rate, s.rateKnown = t.share(e, max(s.limit.PerSecond, minRate)), true
	}
	s.tokens = min(1, s.tokens+s.rate*now.Sub(s.refilledAt).Seconds())
	s.refilledAt = now
	return s.rate
}
