// Package discovery maintains the list of registered endpoints as one router knows it.
package discovery

import (
	"maps"
	"slices"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

const (
	// reregistrationTime is how long endpoints may take to register again after an
	// outage of the registry.
	reregistrationTime = 2 * time.Second
	// outageWindow is how long after a failed read a removal may be caused by the
	// outage of the registry.
	outageWindow = 4 * time.Second
	// unconfirmedTime is longer than the registry keeps the registration of an endpoint
	// that sends no heartbeats.
	unconfirmedTime = 10 * time.Second
	// removalMemory is how long a removed incarnation is remembered.
	removalMemory = 5 * time.Minute
)

// Endpoint is the registration of an endpoint. It is immutable.
type Endpoint struct {
	ID proto.EndpointID
	// Started is the start time of this incarnation in Unix milliseconds, by the
	// endpoint's own clock; 0 if the endpoint does not report it.
	Started int64
	// Sequence counts the heartbeats of this incarnation; 0 if it is not reported. The
	// registry may omit heartbeats that change nothing else.
	Sequence int64
	Service  string
	Addr     string
	Domain   proto.Domain
	// Release is the software version of the endpoint, or "" if it does not tell.
	Release string
	Slots   int
	// Leaving endpoints get no new work.
	Leaving bool
	// Versions holds the version of each model that the endpoint has loaded.
	Versions map[string]int64
}

// incarnation identifies one start of the endpoint.
func (e *Endpoint) incarnation() incarnationKey { return incarnationKey{id: e.ID, started: e.Started} }

type incarnationKey struct {
	id      proto.EndpointID
	started int64
}

// removal is the last known heartbeat of an endpoint that was removed.
type removal struct {
	started  int64
	sequence int64
	at       proto.Instant
}

// covers reports whether a registration is known to be no later than the removed one.
func (r removal) covers(e *Endpoint) bool {
	if e.Started != r.started {
		return e.Started != 0 && e.Started < r.started
	}
	return e.Sequence != 0 && e.Sequence <= r.sequence
}

// unconfirmed is a registration that the removal of its endpoint covers.
type unconfirmed struct {
	endpoint *Endpoint
	since    proto.Instant
}

// Snapshot is the list of endpoints at one time. It is immutable.
type Snapshot struct {
	ByID      map[proto.EndpointID]*Endpoint
	byService map[string][]*Endpoint
}

// ForService returns the endpoints of a service, ordered by id.
func (s *Snapshot) ForService(service string) []*Endpoint { return s.byService[service] }

// Table holds the current registrations. It is not safe for concurrent use.
type Table struct {
	endpoints map[proto.EndpointID]*Endpoint
	// delayedRemovals holds when removals take effect that may be caused by an
	// outage of the registry.
	delayedRemovals map[proto.EndpointID]proto.Instant
	// removed holds the endpoints that were removed. A registry that was restored from an
	// older copy lists them again, in unconfirmed until it is known whether they live.
	removed     map[proto.EndpointID]removal
	unconfirmed map[proto.EndpointID]unconfirmed
	// superseded holds registrations of an earlier incarnation than the listed one.
	superseded map[proto.EndpointID]*supersededEndpoint
	// lastFailedRead is valid if hasFailedRead is set.
	lastFailedRead proto.Instant
	hasFailedRead  bool
	// recoveredAt is the time of the first successful read after the last outage.
	// While it is before lastFailedRead, the registry is unreachable.
	recoveredAt proto.Instant
	// snapshot is the last snapshot, or nil if the list has changed since.
	snapshot *Snapshot
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		endpoints:       map[proto.EndpointID]*Endpoint{},
		delayedRemovals: map[proto.EndpointID]proto.Instant{},
		removed:         map[proto.EndpointID]removal{},
		unconfirmed:     map[proto.EndpointID]unconfirmed{},
		superseded:      map[proto.EndpointID]*supersededEndpoint{},
	}
}

// Put adds or updates a registration and reports whether the list changed. It
// cancels a delayed removal of the endpoint. A registration of an earlier
// incarnation has no effect unless no other follows (see supersededTimeout), an earlier
// heartbeat has none, and only a later heartbeat of the same incarnation can tell that an
// endpoint no longer leaves.
func (t *Table) Put(now proto.Instant, e *Endpoint) bool {
	old := t.endpoints[e.ID]
	if old == nil {
		return t.add(now, e)
	}
	if e.Started < old.Started {
		t.superseded[e.ID] = &supersededEndpoint{endpoint: e}
		return false // a delayed registration of an earlier incarnation
	}
	delete(t.superseded, e.ID)
	delete(t.delayedRemovals, e.ID)
	if e.precedes(old) || e.takesLeavingBack(old) || equal(old, e) {
		return false
	}
	t.endpoints[e.ID] = e
	t.snapshot = nil
	return true
}

// isSameIncarnation reports whether two registrations are known to be of one incarnation.
func (e *Endpoint) isSameIncarnation(old *Endpoint) bool {
	return e.Started != 0 && e.incarnation() == old.incarnation()
}

// precedes reports whether e is an earlier heartbeat of the same incarnation.
func (e *Endpoint) precedes(old *Endpoint) bool {
	return e.isSameIncarnation(old) && e.Sequence != 0 && e.Sequence < old.Sequence
}

// takesLeavingBack reports whether an incarnation that was leaving is not in e, and e is
// not known to be a later heartbeat.
func (e *Endpoint) takesLeavingBack(old *Endpoint) bool {
	return e.isSameIncarnation(old) && old.Leaving && !e.Leaving && e.Sequence <= old.Sequence
}

// add adds an endpoint that is not in the list and reports whether the list changed. One
// that was removed before counts from its next heartbeat on, or when the registry has kept
// it for unconfirmedTime.
func (t *Table) add(now proto.Instant, e *Endpoint) bool {
	if r, wasRemoved := t.removed[e.ID]; wasRemoved && r.covers(e) {
		if _, known := t.unconfirmed[e.ID]; !known {
			t.unconfirmed[e.ID] = unconfirmed{endpoint: e, since: now}
		}
		return false
	}
	delete(t.unconfirmed, e.ID)
	delete(t.removed, e.ID)
	t.endpoints[e.ID] = e
	t.snapshot = nil
	return true
}

func equal(a, b *Endpoint) bool {
	return a.incarnation() == b.incarnation() && a.Service == b.Service && a.Release == b.Release && a.Addr == b.Addr && a.Domain == b.Domain &&
		a.Slots == b.Slots && a.Leaving == b.Leaving && maps.Equal(a.Versions, b.Versions)
}

// Remove handles the removal of a registration and reports whether the list changed.
// Shortly after an outage of the registry, the endpoint stays in the list until it
// has had time to register again.
func (t *Table) Remove(now proto.Instant, id proto.EndpointID) bool {
	delete(t.unconfirmed, id)
	delete(t.superseded, id)
	if t.endpoints[id] == nil {
		return false
	}
	if t.hasFailedRead && now.Sub(t.lastFailedRead) < outageWindow {
		if _, known := t.delayedRemovals[id]; !known {
			// While the registry is unreachable, the time counts from the last failed
			// read, and ApplyDueChanges waits for the registry to recover.
			t.delayedRemovals[id] = max(t.recoveredAt, t.lastFailedRead).Add(reregistrationTime)
		}
		return t.ApplyDueChanges(now)
	}
	t.drop(now, id)
	return true
}

// RemoveUnlisted removes all endpoints that are missing from a full listing of the
// registry and reports whether the list changed.
func (t *Table) RemoveUnlisted(now proto.Instant, listed map[proto.EndpointID]bool) bool {
	maps.DeleteFunc(t.unconfirmed, func(id proto.EndpointID, _ unconfirmed) bool { return !listed[id] })
	changed := false
	for _, id := range slices.Sorted(maps.Keys(t.endpoints)) {
		if !listed[id] {
			changed = t.Remove(now, id) || changed
		}
	}
	return changed
}

// RegistryUnreachable records a failed read of the registry.
func (t *Table) RegistryUnreachable(now proto.Instant) {
	t.lastFailedRead, t.hasFailedRead = now, true
}

// RegistryReachable records a successful read of the registry.
func (t *Table) RegistryReachable(now proto.Instant) {
	if t.hasFailedRead && t.recoveredAt < t.lastFailedRead {
		t.recoveredAt = now
	}
}

// ApplyDueChanges carries out the delayed removals and the registrations of earlier
// incarnations that are due, adds the endpoints that the registry has kept for
// unconfirmedTime, and reports whether the list changed. No change is due while the
// registry is unreachable.
func (t *Table) ApplyDueChanges(now proto.Instant) bool {
	maps.DeleteFunc(t.removed, func(_ proto.EndpointID, r removal) bool { return now.Sub(r.at) > removalMemory })
	if t.recoveredAt < t.lastFailedRead {
		return false
	}
	changed := t.applyDueSuperseded(now)
	for id, at := range t.delayedRemovals {
		if now >= at {
			t.drop(now, id)
			changed = true
		}
	}
	for id, u := range t.unconfirmed {
		if now.Sub(u.since) >= unconfirmedTime {
			delete(t.removed, id)
			delete(t.unconfirmed, id)
			changed = t.Put(now, u.endpoint) || changed
		}
	}
	return changed
}

func (t *Table) drop(now proto.Instant, id proto.EndpointID) {
	e := t.endpoints[id]
	if e.Started != 0 {
		t.removed[id] = removal{started: e.Started, sequence: e.Sequence, at: now}
	}
	delete(t.endpoints, id)
	delete(t.superseded, id)
	delete(t.delayedRemovals, id)
	t.snapshot = nil
}

// Snapshot returns the current list. It is built on demand rather than on every
// change, because a full listing may change every endpoint.
func (t *Table) Snapshot() *Snapshot {
	if t.snapshot != nil {
		return t.snapshot
	}
	s := &Snapshot{ByID: maps.Clone(t.endpoints), byService: map[string][]*Endpoint{}}
	for _, id := range slices.Sorted(maps.Keys(t.endpoints)) {
		e := t.endpoints[id]
		s.byService[e.Service] = append(s.byService[e.Service], e)
	}
	t.snapshot = s
	return s
}
