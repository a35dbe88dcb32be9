// Package member judges whether an endpoint or a router can take work, from
// the evidence that one node has gathered about it.
package member

import (
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

const (
	// evidenceLife is how long a failure counts, so that a party that nobody
	// asks any more is tried again.
	evidenceLife = 10 * time.Second
	// minPaths is the number of independent paths that must fail: one broken
	// connection says nothing about the party behind it.
	minPaths = 2
	// leavingHold is how long a report of leaving outlives later reports of
	// the same incarnation without it, which may be late messages.
	leavingHold = 5 * time.Second
)

// Path is a way in which a node learns that a party does not answer.
type Path uint8

// Paths of evidence.
const (
	// PathTraffic is an attempt or beat that got no answer.
	PathTraffic Path = iota
	// PathNewConnection is a newly opened connection, or a probe on one, that failed.
	PathNewConnection
	// PathPeer is another router's report.
	PathPeer
	// PathHostList is the host list, a hint that never suffices alone.
	PathHostList
	numPaths
)

// Health is the judgement on a party.
type Health uint8

// Standings, from best to worst.
const (
	// Healthy parties have no evidence against them.
	Healthy Health = iota
	// Doubtful parties failed on one path and are used when nothing better is there.
	Doubtful
	// Unhealthy parties failed on several paths and get no work.
	Unhealthy
	// Leaving parties drain and get no new work.
	Leaving
)

// Evidence is what one node knows of one party. The zero value knows nothing
// and judges the party Good. It is not safe for concurrent use.
type Evidence struct {
	incarnation proto.Incarnation
	previous    proto.Incarnation
	heard       proto.Instant
	failed      [numPaths]proto.Instant
	hasFailed   [numPaths]bool
	leaving     bool
	leavingAt   proto.Instant
}

// ObserveContact takes in a sign of life. It returns false, without effect, for a late
// message of the life before the current one.
func (e *Evidence) ObserveContact(now proto.Instant, life proto.Incarnation, leaving bool) bool {
	if life != "" && life != e.incarnation && life == e.previous {
		return false
	}
	// An agent that does not know its engine's incarnation sends none.
	if life != e.incarnation && life != "" {
		e.previous, e.incarnation = e.incarnation, life
		e.leaving = false
	}
	e.heard = now
	e.noteLeaving(now, leaving)
	hint := e.hasFailed[PathHostList]
	e.hasFailed = [numPaths]bool{PathHostList: hint}
	return true
}

func (e *Evidence) noteLeaving(now proto.Instant, leaving bool) {
	if leaving {
		e.leaving, e.leavingAt = true, now
		return
	}
	if now.Sub(e.leavingAt) >= leavingHold {
		e.leaving = false
	}
}

// Incarnation returns the current life, or "" before the first sign of life.
func (e *Evidence) Incarnation() proto.Incarnation { return e.incarnation }

// ObserveFailure takes in that the party did not answer on a path.
func (e *Evidence) ObserveFailure(now proto.Instant, path Path) {
	e.failed[path] = now
	e.hasFailed[path] = true
}

// ObserveHostList takes in the host list's statement. A host that is absent or leaving
// is only doubted; the note or the party's own report decides.
func (e *Evidence) ObserveHostList(now proto.Instant, live bool) {
	e.failed[PathHostList] = now
	e.hasFailed[PathHostList] = !live
}

// Health judges the party.
func (e *Evidence) Health(now proto.Instant) Health {
	paths := 0
	if e.leaving {
		if now.Sub(e.leavingAt) < evidenceLife {
			return Leaving
		}
		// A party that gets no work says nothing more, also when it has come
		// back. It is tried again, and refuses if it still leaves.
		paths++
	}
	for p, failed := range e.hasFailed {
		if failed && now.Sub(e.failed[p]) < evidenceLife {
			paths++
		}
	}
	switch {
	case paths >= minPaths:
		return Unhealthy
	case paths > 0:
		return Doubtful
	}
	return Healthy
}

// Expiry returns the instant at which the evidence gathered so far stops counting.
func (e *Evidence) Expiry() proto.Instant {
	last := e.heard
	for p, failed := range e.hasFailed {
		if failed {
			last = max(last, e.failed[p])
		}
	}
	return last.Add(evidenceLife)
}
