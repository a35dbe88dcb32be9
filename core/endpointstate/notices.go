package endpointstate

import (
	"cmp"
	"slices"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

const (
	// repeatTime is how long a change is part of each message to the peers, as messages
	// may be lost.
	repeatTime = 2500 * time.Millisecond
	// endRepeatTime is how long a message to routers that have missed earlier ones tells
	// of a limit that has ended, and of an endpoint that leaves.
	endRepeatTime = 30 * time.Second
	// maxLimitNotices and maxLeavingNotices bound the notices in one message.
	maxLimitNotices   = 64
	maxLeavingNotices = 32
)

// Notices is what a router tells its peers of the states that it has observed.
type Notices struct {
	Limits  []LimitNotice
	Leaving []LeavingNotice
}

// LeavingNotice tells the peers that an endpoint leaves.
type LeavingNotice struct {
	Endpoint proto.EndpointID `json:"endpoint"`
	// Started identifies the incarnation of the endpoint.
	Started int64 `json:"started"`
	// AgeMillis is the time since the endpoint first said so, in milliseconds.
	AgeMillis int64 `json:"age_ms"`
}

// LimitNotice tells the peers of a limit that the sender has observed.
type LimitNotice struct {
	Endpoint proto.EndpointID `json:"endpoint"`
	// Started identifies the incarnation of the endpoint.
	Started int64 `json:"started"`
	// PerSecond is the number of requests per second, valid unless Ended is set.
	PerSecond float64 `json:"per_s"`
	Ended     bool    `json:"ended,omitempty"`
	// AgeMillis is the time since the limit was named last, in milliseconds.
	AgeMillis int64 `json:"age_ms"`
}

// IsEmpty reports whether there is nothing to tell.
func (n *Notices) IsEmpty() bool { return len(n.Limits) == 0 && len(n.Leaving) == 0 }

// Changes returns what this router has seen change lately, for each message to its
// peers.
func (t *Tracker) Changes(now proto.Instant) Notices {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Notices{
		Limits:  t.limitNotices(now, func(l *limitState) bool { return now.Sub(l.changedAt) < repeatTime }),
		Leaving: t.leavingNotices(now, repeatTime),
	}
}

// State returns all that this router has observed last, for routers that have missed
// earlier messages.
func (t *Tracker) State(now proto.Instant) Notices {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Notices{
		Limits:  t.limitNotices(now, func(l *limitState) bool { return l.Named || now.Sub(l.observedAt) < endRepeatTime }),
		Leaving: t.leavingNotices(now, endRepeatTime),
	}
}

// leavingNotices returns the endpoints that have said within a time that they leave, the
// latest first; mu must be held.
func (t *Tracker) leavingNotices(now proto.Instant, within time.Duration) []LeavingNotice {
	var notices []LeavingNotice
	for _, s := range t.states {
		if l := s.leaving; l.own && now.Sub(l.since) < within {
			notices = append(notices, LeavingNotice{Endpoint: s.id, Started: s.started, AgeMillis: now.Sub(l.since).Milliseconds()})
		}
	}
	slices.SortFunc(notices, func(a, b LeavingNotice) int {
		return cmp.Or(cmp.Compare(a.AgeMillis, b.AgeMillis), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	return notices[:min(len(notices), maxLeavingNotices)]
}

// limitNotices returns the selected limits, the latest observations first; mu must be
// held.
func (t *Tracker) limitNotices(now proto.Instant, selected func(*limitState) bool) []LimitNotice {
	var chosen []*state
	for _, s := range t.states {
		if s.limit.own && selected(&s.limit) {
			chosen = append(chosen, s)
		}
	}
	slices.SortFunc(chosen, func(a, b *state) int {
		return cmp.Or(cmp.Compare(b.limit.observedAt, a.limit.observedAt), cmp.Compare(a.id, b.id))
	})
	var notices []LimitNotice
	for _, s := range chosen[:min(len(chosen), maxLimitNotices)] {
		notices = append(notices, LimitNotice{
			Endpoint: s.id, Started: s.started, PerSecond: s.limit.PerSecond, Ended: !s.limit.Named,
			AgeMillis: now.Sub(s.limit.observedAt).Milliseconds(),
		})
	}
	return notices
}

// Merge applies the notices of a peer and returns those that changed a state.
func (t *Tracker) Merge(now proto.Instant, notices Notices) Notices {
	var changes Notices
	if notices.IsEmpty() {
		return changes
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, n := range notices.Leaving {
		at := now.Add(-time.Duration(n.AgeMillis) * time.Millisecond)
		if t.applyLeaving(incarnation{n.Endpoint, n.Started}, at, false) {
			changes.Leaving = append(changes.Leaving, n)
		}
	}
	for _, n := range notices.Limits {
		at := now.Add(-time.Duration(n.AgeMillis) * time.Millisecond)
		if t.applyLimit(now, limitObservation{incarnation{n.Endpoint, n.Started}, Limit{PerSecond: n.PerSecond, Named: !n.Ended}, at, false, 0}) {
			changes.Limits = append(changes.Limits, n)
		}
	}
	return changes
}
