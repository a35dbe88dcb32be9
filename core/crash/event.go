package crash

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// Incarnation identifies a run of an endpoint, which a crash ends.
type Incarnation struct {
	Endpoint proto.EndpointID
	// Started is when the endpoint started, in Unix milliseconds of its own clock.
	Started int64
}

// EventID identifies an event in all routers, however late they hear of it: a crash by
// the incarnation that has ended, a trial by when its router has begun it.
type EventID string

func (i Incarnation) eventID() EventID {
	return EventID(string(i.Endpoint) + "/" + strconv.FormatInt(i.Started, 36))
}

func trialID(begunAt proto.Instant) EventID { return EventID(strconv.FormatInt(int64(begunAt), 36)) }

// event is a crash of an endpoint or the trial of a trait.
type event struct {
	id EventID
	at proto.Instant
	// own is set if this router has observed the event, or has cleared it.
	own bool
	// cleared is set if the event does not count, as an answer that began later did no
	// harm.
	cleared bool
	// observer is the peer that has told the event, or has cleared it, and tells the
	// others; empty if this router does, or the store has told it.
	observer proto.RouterID
	// untold is set until the event is in the log of facts, orphaned if its observer can
	// no longer tell it.
	untold, orphaned bool
}

func (e event) compare(other event) int {
	return cmp.Or(cmp.Compare(e.at, other.at), cmp.Compare(e.id, other.id))
}

// events is a set of events, ordered by time.
type events []event

// merge adds an event, or what another report tells of a known one, and reports whether
// the set has changed. It is commutative, associative and idempotent. Of several times
// the earliest counts, as delays make an event seem late, never early.
func (s *events) merge(e event) bool {
	if i := slices.IndexFunc(*s, func(known event) bool { return known.id == e.id }); i >= 0 {
		known := (*s)[i]
		if e.at >= known.at && (known.cleared || !e.cleared) {
			(*s)[i].own = e.own || known.own
			return false
		}
		*s = slices.Delete(*s, i, i+1)
		e = e.join(known)
	}
	i, _ := slices.BinarySearchFunc(*s, e, event.compare)
	*s = slices.Insert(*s, i, e)
	if len(*s) > maxEvents {
		*s = slices.Delete(*s, 0, 1)
	}
	return true
}

// join returns the event with what was known of it before. Who clears an event tells that.
func (e event) join(known event) event {
	observer := known.observer
	if e.cleared && !known.cleared {
		observer = e.observer
	}
	return event{
		id: e.id, at: min(e.at, known.at), own: e.own || known.own, cleared: e.cleared || known.cleared,
		observer: observer, untold: e.untold || known.untold, orphaned: known.orphaned,
	}
}

// clear clears the events up to a time and reports whether any counted before.
func (s events) clear(until proto.Instant) bool {
	changed := false
	for i := range s {
		if s[i].at <= until && !s[i].cleared {
			s[i].clear()
			changed = true
		}
	}
	return changed
}

// clear records that this router has seen that the event does not count.
func (e *event) clear() {
	e.cleared, e.own, e.untold, e.observer, e.orphaned = true, true, true, "", false
}

// clearLastOwn clears the last event that this router has observed.
func (s events) clearLastOwn() {
	for i := len(s) - 1; i >= 0; i-- {
		if s[i].own && !s[i].cleared {
			s[i].clear()
			return
		}
	}
}

// orphan marks the events that a peer has told, as it no longer does.
func (s events) orphan(observer proto.RouterID) {
	for i := range s {
		if s[i].observer == observer {
			s[i].observer, s[i].orphaned = "", true
		}
	}
}

// find returns the event with an ID, or nil.
func (s events) find(id EventID) *event {
	if i := slices.IndexFunc(s, func(e event) bool { return e.id == id }); i >= 0 {
		return &s[i]
	}
	return nil
}

// counted returns the events that are not cleared.
func (s events) counted() events {
	return slices.DeleteFunc(slices.Clone(s), func(e event) bool { return e.cleared })
}

// rounds returns the number of events that count, where those within a window do once.
func (s events) rounds(window time.Duration) int {
	n, start := 0, proto.Instant(0)
	for _, e := range s {
		if !e.cleared && (n == 0 || e.at.Sub(start) >= window) {
			n, start = n+1, e.at
		}
	}
	return n
}

// lastAt returns the time of the last event, or 0.
func (s events) lastAt() proto.Instant {
	if len(s) == 0 {
		return 0
	}
	return s[len(s)-1].at
}
