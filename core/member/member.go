// Package member derives the health of an endpoint or a router, which decides
// whether it gets work, from the evidence that one node has gathered about it.
package member

import (
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

const (
	// maxEvidenceAge is how long a failure counts, so that a member that gets no
	// work is tried again.
	maxEvidenceAge = 10 * time.Second
	// minFailedPaths is the number of independent paths that must fail for a member
	// to be unhealthy: one broken connection does not show that the member is down.
	minFailedPaths = 2
	// minLeavingDuration is how long a member counts as leaving although a later
	// message of the same incarnation does not say so, because that message may be
	// delayed.
	minLeavingDuration = 5 * time.Second
)

// Path is a way in which a node learns that a member does not respond.
type Path uint8

// Paths of evidence.
const (
	// PathTraffic is an attempt or a heartbeat that got no response.
	PathTraffic Path = iota
	// PathNewConnection is a newly opened connection, or a probe on one, that failed.
	PathNewConnection
	// PathPeer is another router's report.
	PathPeer
	// PathHostList is the host list, which is never sufficient on its own.
	PathHostList
	numPaths
)

// Health is the health of a member.
type Health uint8

// Health values, from best to worst.
const (
	// Healthy members have no recent failures.
	Healthy Health = iota
	// Doubtful members failed on one path. They are used when no healthy one is
	// available.
	Doubtful
	// Unhealthy members failed on several paths and get no work.
	Unhealthy
	// Leaving members drain and get no new work.
	Leaving
)

// Evidence holds what one node has observed of one member. The zero value has no
// observations and reports the member as Healthy. It is not safe for concurrent use.
type Evidence struct {
	incarnation proto.Incarnation
	// previous is the incarnation before the current one.
	previous    proto.Incarnation
	lastContact proto.Instant
	// failed holds the time of the last failure on each path, and for the host list
	// that of its last report.
	failed    [numPaths]proto.Instant
	hasFailed [numPaths]bool
	leaving   bool
	leavingAt proto.Instant
}

// ObserveContact records a message from the member, which clears its failures except
// that of the host list. It returns false, without effect, for a delayed message of
// the previous incarnation.
func (e *Evidence) ObserveContact(now proto.Instant, reported proto.Incarnation, leaving bool) bool {
	if reported != "" && reported != e.incarnation && reported == e.previous {
		return false
	}
	// An agent that does not know its engine's incarnation sends none.
	if reported != e.incarnation && reported != "" {
		e.previous, e.incarnation = e.incarnation, reported
		e.leaving = false
	}
	e.lastContact = now
	e.observeLeaving(now, leaving)
	hostListFailed := e.hasFailed[PathHostList]
	e.hasFailed = [numPaths]bool{PathHostList: hostListFailed}
	return true
}

// observeLeaving records whether the last message said that the member is leaving.
func (e *Evidence) observeLeaving(now proto.Instant, leaving bool) {
	if leaving {
		e.leaving, e.leavingAt = true, now
		return
	}
	if now.Sub(e.leavingAt) >= minLeavingDuration {
		e.leaving = false
	}
}

// Incarnation returns the current incarnation, or "" if no message has named one.
func (e *Evidence) Incarnation() proto.Incarnation { return e.incarnation }

// ObserveFailure records that the member did not respond on a path.
func (e *Evidence) ObserveFailure(now proto.Instant, path Path) {
	e.failed[path] = now
	e.hasFailed[path] = true
}

// ObserveHostList records whether the host list has the member's host as live. A host
// that is absent or leaving makes the member doubtful only; the release note or the
// member's own report decides.
func (e *Evidence) ObserveHostList(now proto.Instant, live bool) {
	e.failed[PathHostList] = now
	e.hasFailed[PathHostList] = !live
}

// Health returns the health of the member at an instant.
func (e *Evidence) Health(now proto.Instant) Health {
	paths := 0
	if e.leaving {
		if now.Sub(e.leavingAt) < maxEvidenceAge {
			return Leaving
		}
		// A member that gets no work sends no reports, even after it has come back.
		// It is tried again, and refuses the work if it is still leaving.
		paths++
	}
	for p, failed := range e.hasFailed {
		if failed && now.Sub(e.failed[p]) < maxEvidenceAge {
			paths++
		}
	}
	switch {
	case paths >= minFailedPaths:
		return Unhealthy
	case paths > 0:
		return Doubtful
	}
	return Healthy
}

// Expiry returns the instant at which all evidence gathered so far has expired.
func (e *Evidence) Expiry() proto.Instant {
	last := e.lastContact
	for p, failed := range e.hasFailed {
		if failed {
			last = max(last, e.failed[p])
		}
	}
	return last.Add(maxEvidenceAge)
}
