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
		e = event{id: e.id, at: min(e.at, known.at), own: e.own || known.own, cleared: e.cleared || known.cleared}
		if e == known {
			return false
		}
		*s = slices.Delete(*s, i, i+1)
	}
	i, _ := slices.BinarySearchFunc(*s, e, event.compare)
	*s = slices.Insert(*s, i, e)
	if len(*s) > maxEvents {
		*s = slices.Delete(*s, 0, 1)
	}
	return true
}

// clear clears the events up to a time and reports whether any counted before.
func (s events) clear(until proto.Instant) bool {
	changed := false
	for i := range s {
		if s[i].at <= until && !s[i].cleared {
			s[i].cleared, s[i].own, changed = true, true, true
		}
	}
	return changed
}

// repeatCleared has this router tell that an event is cleared, and reports whether it is.
func (s events) repeatCleared(id EventID) bool {
	i := slices.IndexFunc(s, func(e event) bool { return e.id == id && e.cleared })
	if i >= 0 {
		s[i].own = true
	}
	return i >= 0
}

// clearLastOwn clears the last event that this router has observed.
func (s events) clearLastOwn() {
	for i := len(s) - 1; i >= 0; i-- {
		if s[i].own && !s[i].cleared {
			s[i].cleared = true
			return
		}
	}
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
