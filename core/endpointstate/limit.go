package endpointstate

import (
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

// Limit is the number of requests that an endpoint takes from all routers together. Some
// routers, chosen by rendezvous hashing, share it; the others send nothing while it lasts.
// So the sum holds for any number of routers.
type Limit struct {
	// PerSecond is the number of requests per second, valid if Named is set. A limit that
	// is not named has ended.
	PerSecond float64
	Named     bool
}

// limitState is the limit of one endpoint. It is unknown until observedAt is set.
type limitState struct {
	Limit
	// observedAt is when the limit was named last, changedAt when it changed.
	observedAt, changedAt proto.Instant
	// own is set if this router has made the last observation, saidAt its time of day.
	own    bool
	saidAt int64
	// rate is this router's share of the limit in requests per second, valid if rateKnown
	// is set.
	rate      float64
	rateKnown bool
	// tokens is the number of requests that this router may send, as of refilledAt.
	tokens     float64
	refilledAt proto.Instant
}

func (l *limitState) isKnown() bool { return l.observedAt != 0 }

// limitObservation is a limit that an endpoint named to this router, if own is set, or to
// a peer.
type limitObservation struct {
	incarnation
	limit Limit
	at    proto.Instant
	own   bool
	// saidAt is the time of day of an own observation, in Unix milliseconds.
	saidAt int64
}

// applyLimit records an observation and reports whether the limit has changed; mu must be
// held.
func (t *Tracker) applyLimit(now proto.Instant, o limitObservation) bool {
	if s := t.states[o.incarnation]; (s == nil || !s.limit.isKnown()) && !o.limit.Named {
		return false
	}
	l := &t.stateFor(o.incarnation).limit
	if o.at <= l.observedAt {
		return false
	}
	changed := l.Limit != o.limit
	if l.Named != o.limit.Named {
		// Requests that were just sent have used up the first ones.
		l.tokens, l.refilledAt = 0, now
	}
	l.Limit, l.observedAt, l.own, l.saidAt = o.limit, o.at, o.own, o.saidAt
	if changed {
		l.changedAt, l.rateKnown = now, false
	}
	return changed
}

// checkLimit returns whether the limit allows a request now; mu must be held.
func (t *Tracker) checkLimit(now proto.Instant, s *state, e Endpoint) Permission {
	l := &s.limit
	if !l.Named {
		return Permission{OK: true}
	}
	rate := t.refill(now, l, e)
	switch {
	case rate == 0:
		return Permission{Reason: LimitReached}
	case l.tokens >= 1:
		return Permission{OK: true, CheckDue: now.Sub(l.observedAt) >= checkInterval}
	}
	return Permission{Reason: LimitReached, Wait: time.Duration((1 - l.tokens) / rate * float64(time.Second))}
}

// takeFromLimit counts a request; mu must be held.
func (t *Tracker) takeFromLimit(now proto.Instant, s *state, e Endpoint) {
	if s.limit.Named {
		t.refill(now, &s.limit, e)
		s.limit.tokens--
	}
}

// refill adds the tokens since the last call, of which at most one is saved up, and
// returns this router's rate in requests per second; mu must be held.
func (t *Tracker) refill(now proto.Instant, l *limitState, e Endpoint) float64 {
	if !l.rateKnown {
		l.rate, l.rateKnown = t.share(e, max(l.PerSecond, minRate)), true
	}
	l.tokens = min(1, l.tokens+l.rate*now.Sub(l.refilledAt).Seconds())
	l.refilledAt = now
	return l.rate
}
