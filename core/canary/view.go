package canary

import (
	"maps"
	"slices"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// Change is a change of the router's view of a service's releases, with the figures behind
// it, for the log.
type Change struct {
	Service, Established, To, Reason string
	Phase                            Phase
	Good, Bad                        bool
	Final, Stored                    State
	ElapsedMillis                    int64
	// Share is the share of requests that may go to the new release by the phase, Slack and
	// Requests what bounds Sent.
	Share, Slack   float64
	Requests, Sent int64
	Sampled        int
	// Old and New are the merged counts, Chance is the probability of these if the new
	// release is as good as the old one.
	Old, New Tally
	Chance   float64
}

// change records a change of a service; mu must be held.
func (t *Table) change(s *service, c Change) {
	c.Service, c.Established, c.Stored = s.name, s.established, s.stored.State
	t.changes = append(t.changes, c)
}

// TakeChanges returns the changes since the last call.
func (t *Table) TakeChanges(now proto.Instant) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	changes := t.changes
	t.changes = nil
	for i := range changes {
		s := t.services[changes[i].Service]
		if r := s.rollout; r != nil && (changes[i].To == "" || changes[i].To == r.order.To) {
			changes[i].fill(now, r)
		}
	}
	return changes
}

func (c *Change) fill(now proto.Instant, r *rollout) {
	total := r.merged.total()
	c.Phase, c.Good, c.Bad, c.Final = r.currentPhase(now), r.good, r.bad, r.final
	c.ElapsedMillis, c.Share, c.Slack = r.elapsed(now).Milliseconds(), r.share(now), r.ledger.slack
	c.Requests, c.Sent, c.Sampled = r.ledger.requests, r.ledger.sent, len(r.sampled)
	c.Old, c.New, c.Chance = total.Old, total.New, r.chance
}

// View is the state of a service's releases, for operators.
type View struct {
	Service     string         `json:"service"`
	Established string         `json:"established"`
	Releases    map[string]int `json:"endpoints"`
	Stored      State          `json:"stored,omitempty"`
	StoredTo    string         `json:"storedTo,omitempty"`
	PendingTo   string         `json:"pendingTo,omitempty"`
	Rollout     *RolloutView   `json:"rollout,omitempty"`
}

// RolloutView is the state of a rollout.
type RolloutView struct {
	To            string  `json:"to"`
	DurationS     float64 `json:"durationS"`
	ElapsedS      float64 `json:"elapsedS"`
	Phase         string  `json:"phase"`
	Reason        string  `json:"reason,omitempty"`
	Good          bool    `json:"good"`
	Bad           bool    `json:"bad"`
	Final         State   `json:"final,omitempty"`
	Share         float64 `json:"share"`
	Slack         float64 `json:"slack"`
	Requests      int64   `json:"requests"`
	Sent          int64   `json:"sent"`
	FleetRequests int64   `json:"fleetRequests"`
	FleetSent     int64   `json:"fleetSent"`
	OldInFlight   int     `json:"oldInFlight"`
	Routers       int     `json:"routers"`
	// Chance is the probability of the counts if the release is as good as the old one.
	Chance float64         `json:"chance"`
	Routes []RouteEvidence `json:"routes,omitempty"`
}

// Views returns the state of each service whose endpoints have a release or that has a
// rollout.
func (t *Table) Views(now proto.Instant) []View {
	t.mu.Lock()
	defer t.mu.Unlock()
	views := []View{}
	for _, name := range slices.Sorted(maps.Keys(t.services)) {
		s := t.services[name]
		v := View{Service: name, Established: s.established, Releases: map[string]int{}, Stored: s.stored.State, StoredTo: s.stored.To}
		for id, r := range s.releases {
			v.Releases[id] = len(r.endpoints)
		}
		if s.pending != nil {
			v.PendingTo = s.pending.order.To
		}
		if s.rollout != nil {
			v.Rollout = s.rollout.view(now)
		}
		views = append(views, v)
	}
	return views
}

func (r *rollout) view(now proto.Instant) *RolloutView {
	v := &RolloutView{
		To: r.order.To, DurationS: r.order.Duration.Seconds(), ElapsedS: r.elapsed(now).Seconds(),
		Phase: r.currentPhase(now).String(), Reason: r.reason, Good: r.good, Bad: r.bad, Final: r.final,
		Share: r.share(now), Slack: r.ledger.slack, Requests: r.ledger.requests, Sent: r.ledger.sent,
		FleetRequests: r.ledger.requests, FleetSent: r.ledger.sent, OldInFlight: r.oldInFlight(), Routers: len(r.peers) + 1, Chance: r.chance,
	}
	for _, p := range r.peers {
		v.FleetRequests += p.requests
		v.FleetSent += p.sent
	}
	for _, name := range slices.Sorted(maps.Keys(r.merged)) {
		v.Routes = append(v.Routes, r.merged[name].clone())
	}
	return v
}
