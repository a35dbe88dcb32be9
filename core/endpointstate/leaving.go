package endpointstate

import (
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// leavingRetention is how long it is kept that an incarnation leaves which is no longer
// registered. The registry may come back with an older entry of it.
const leavingRetention = 10 * time.Minute

// leavingState tells whether one incarnation of an endpoint leaves. That never ends.
type leavingState struct {
	known bool
	// since is when it was first said to this router or to a peer.
	since proto.Instant
	// own is set if it was said to this router.
	own bool
}

// applyLeaving records that an incarnation leaves and reports whether that is new; mu must
// be held.
func (t *Tracker) applyLeaving(key incarnation, at proto.Instant, own bool) bool {
	l := &t.stateFor(key).leaving
	isNew := !l.known
	if isNew || at < l.since {
		l.since = at
	}
	l.known, l.own = true, l.own || own
	return isNew
}

// SetDrainTimeout sets how long an endpoint that leaves may still get requests if no other
// can take them.
func (t *Tracker) SetDrainTimeout(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.drainTimeout = d
}

// IsLeaving reports whether an endpoint has said that it leaves.
func (t *Tracker) IsLeaving(e Endpoint) bool {
	if t.known.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.states[e.incarnation()]
	return s != nil && s.leaving.known
}
