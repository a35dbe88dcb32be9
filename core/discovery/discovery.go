// Package discovery keeps the list of endpoints that registered themselves,
// as one router believes it to be.
package discovery

import (
	"maps"
	"slices"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

const (
	// returnTime is how long endpoints may take to register again after the
	// registry was away.
	returnTime = 2 * time.Second
	// awayMemory is how long after a failed read a removal may be due to the
	// registry's own absence.
	awayMemory = 4 * time.Second
)

// Endpoint is what an endpoint registered of itself. It is immutable.
type Endpoint struct {
	ID proto.EndpointID
	// Started is the start of this life in Unix milliseconds, by the
	// endpoint's own clock; 0 if it does not tell.
	Started int64
	Service string
	Addr    string
	Domain  proto.Domain
	Slots   int
	// Leaving endpoints get no new work.
	Leaving bool
	// Versions holds the version of each model that the endpoint has loaded.
	Versions map[string]int64
}

// life tells two starts of one endpoint apart.
func (e *Endpoint) life() lifeKey { return lifeKey{id: e.ID, started: e.Started} }

type lifeKey struct {
	id      proto.EndpointID
	started int64
}

// Snapshot is the list at one moment. It is immutable.
type Snapshot struct {
	ByID      map[proto.EndpointID]*Endpoint
	byService map[string][]*Endpoint
}

// ForService returns the endpoints of a service, ordered by id.
func (s *Snapshot) ForService(service string) []*Endpoint { return s.byService[service] }

// Table folds registrations into snapshots. It is not safe for concurrent use.
type Table struct {
	live map[proto.EndpointID]*Endpoint
	// removals holds removals that may be due to the registry's absence, and
	// when they take effect.
	removals map[proto.EndpointID]proto.Instant
	awayAt   proto.Instant
	wasAway  bool
	backAt   proto.Instant
	// snapshot is nil while the list has changed since it was last asked for.
	snapshot *Snapshot
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		live:     map[proto.EndpointID]*Endpoint{},
		removals: map[proto.EndpointID]proto.Instant{},
	}
}

// Put takes in a registration and reports whether the list changed.
func (t *Table) Put(e *Endpoint) bool {
	delete(t.removals, e.ID)
	old := t.live[e.ID]
	if old != nil && e.Started < old.Started {
		return false // a delayed message of an earlier life
	}
	if old != nil && equal(old, e) {
		return false
	}
	t.live[e.ID] = e
	t.snapshot = nil
	return true
}

func equal(a, b *Endpoint) bool {
	return a.life() == b.life() && a.Service == b.Service && a.Addr == b.Addr && a.Domain == b.Domain &&
		a.Slots == b.Slots && a.Leaving == b.Leaving && maps.Equal(a.Versions, b.Versions)
}

// Remove takes in that a registration is gone and reports whether the list
// changed. While the registry was away shortly before, the endpoint stays
// until it had the time to register again.
func (t *Table) Remove(now proto.Instant, id proto.EndpointID) bool {
	if t.live[id] == nil {
		return false
	}
	if t.wasAway && now.Sub(t.awayAt) < awayMemory {
		if _, known := t.removals[id]; !known {
			t.removals[id] = max(t.backAt, t.awayAt).Add(returnTime)
		}
		return t.ApplyDueRemovals(now)
	}
	t.drop(id)
	return true
}

// RemoveUnlisted removes all endpoints that a full listing lacks and reports whether
// the list changed.
func (t *Table) RemoveUnlisted(now proto.Instant, listed map[proto.EndpointID]bool) bool {
	changed := false
	for _, id := range slices.Sorted(maps.Keys(t.live)) {
		if !listed[id] {
			changed = t.Remove(now, id) || changed
		}
	}
	return changed
}

// RegistryUnreachable records that the registry could not be read.
func (t *Table) RegistryUnreachable(now proto.Instant) {
	t.awayAt, t.wasAway = now, true
}

// RegistryReachable records that the registry was read.
func (t *Table) RegistryReachable(now proto.Instant) {
	if t.wasAway && t.backAt < t.awayAt {
		t.backAt = now
	}
}

// ApplyDueRemovals carries out removals that are due and reports whether the list
// changed.
func (t *Table) ApplyDueRemovals(now proto.Instant) bool {
	changed := false
	for id, at := range t.removals {
		if now >= at && t.backAt >= t.awayAt {
			t.drop(id)
			changed = true
		}
	}
	return changed
}

func (t *Table) drop(id proto.EndpointID) {
	delete(t.live, id)
	delete(t.removals, id)
	t.snapshot = nil
}

// Snapshot returns the present list. It is built when it is asked for, as a
// listing changes as many endpoints as there are.
func (t *Table) Snapshot() *Snapshot {
	if t.snapshot != nil {
		return t.snapshot
	}
	s := &Snapshot{ByID: maps.Clone(t.live), byService: map[string][]*Endpoint{}}
	for _, id := range slices.Sorted(maps.Keys(t.live)) {
		e := t.live[id]
		s.byService[e.Service] = append(s.byService[e.Service], e)
	}
	t.snapshot = s
	return s
}
