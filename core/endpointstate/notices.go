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
	// of a limit that has ended.
	endRepeatTime = 30 * time.Second
	// maxNotices bounds the notices in one message.
	maxNotices = 64
)

// Notice tells the peers of a limit that the sender has observed.
type Notice struct {
	Endpoint proto.EndpointID `json:"endpoint"`
	// Started identifies the incarnation of the endpoint.
	Started int64 `json:"started"`
	// PerSecond is the number of requests per second, valid unless Ended is set.
	PerSecond float64 `json:"per_s"`
	Ended     bool    `json:"ended,omitempty"`
	// AgeMillis is the time since the limit was named last, in milliseconds.
	AgeMillis int64 `json:"age_ms"`
}

// Changes returns the limits that this router has seen change lately, for each message
// to its peers.
func (t *Tracker) Changes(now proto.Instant) []Notice {
	return t.notices(now, func(l *limitState) bool { return now.Sub(l.changedAt) < repeatTime })
}

// State returns all limits that this router has observed last, for routers that have
// missed earlier messages.
func (t *Tracker) State(now proto.Instant) []Notice {
	return t.notices(now, func(l *limitState) bool { return l.Named || now.Sub(l.observedAt) < endRepeatTime })
}

// notices returns the selected limits, the latest observations first.
func (t *Tracker) notices(now proto.Instant, selected func(*limitState) bool) []Notice {
	t.mu.Lock()
	defer t.mu.Unlock()
	var chosen []*state
	for _, s := range t.states {
		if s.limit.own && selected(&s.limit) {
			chosen = append(chosen, s)
		}
	}
	slices.SortFunc(chosen, func(a, b *state) int {
		return cmp.Or(cmp.Compare(b.limit.observedAt, a.limit.observedAt), cmp.Compare(a.id, b.id))
	})
	var notices []Notice
	for _, s := range chosen[:min(len(chosen), maxNotices)] {
		notices = append(notices, Notice{
			Endpoint: s.id, Started: s.started, PerSecond: s.limit.PerSecond, Ended: !s.limit.Named,
			AgeMillis: now.Sub(s.limit.observedAt).Milliseconds(),
		})
	}
	return notices
}

// Merge applies the notices of a peer and returns those that changed a limit.
func (t *Tracker) Merge(now proto.Instant, notices []Notice) []Notice {
	t.mu.Lock()
	defer t.mu.Unlock()
	var changes []Notice
	for _, n := range notices {
		at := now.Add(-time.Duration(n.AgeMillis) * time.Millisecond)
		if t.applyLimit(now, limitObservation{incarnation{n.Endpoint, n.Started}, Limit{PerSecond: n.PerSecond, Named: !n.Ended}, at, false}) {
			changes = append(changes, n)
		}
	}
	return changes
}
