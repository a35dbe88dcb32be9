package canary

import (
	"maps"
	"slices"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// routesPerReport limits the size of one report, so that it fits into a packet.
const routesPerReport = 5

// Report is what a router tells its peers of a rollout. Its counts are cumulative for one
// incarnation of the router and one order. Each report can be applied without the others.
type Report struct {
	Service string `json:"service"`
	To      string `json:"to"`
	// Era and Offset are the position of the order in the store.
	Era    int64 `json:"era,omitempty"`
	Offset int64 `json:"order"`
	// ElapsedMillis is the time since the order was read first.
	ElapsedMillis int64 `json:"ms"`
	Phase         Phase `json:"phase"`
	// Good and Bad are the verdicts that the sender has taken or learned of, Final the final
	// state.
	Good  bool  `json:"good,omitempty"`
	Bad   bool  `json:"bad,omitempty"`
	Final State `json:"final,omitempty"`
	// Requests and Sent are the sender's requests and attempts at the new release.
	Requests int64 `json:"requests,omitempty"`
	Sent     int64 `json:"sent,omitempty"`
	// OldInFlight is the number of the sender's attempts at the old release.
	OldInFlight int             `json:"old,omitempty"`
	Routes      []RouteEvidence `json:"routes,omitempty"`
}

// Reports returns what the peers are told now.
func (t *Table) Reports(now proto.Instant) []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	var reports []Report
	for _, name := range slices.Sorted(maps.Keys(t.services)) {
		r := t.services[name].rollout
		if r == nil || r.final != "" && now.Sub(r.finalAt) > reportTime {
			continue
		}
		reports = append(reports, r.reports(now)...)
	}
	return reports
}

func (r *rollout) reports(now proto.Instant) []Report {
	head := Report{
		Service: r.order.Service, To: r.order.To, Era: r.order.At.Era, Offset: r.order.At.Offset,
		ElapsedMillis: r.elapsed(now).Milliseconds(), Phase: r.currentPhase(now), Good: r.good, Bad: r.bad, Final: r.final,
		Requests: r.ledger.requests, Sent: r.ledger.sent, OldInFlight: r.oldInFlight(),
	}
	if r.final != "" || len(r.own) == 0 {
		return []Report{head}
	}
	var reports []Report
	for names := range slices.Chunk(slices.Sorted(maps.Keys(r.own)), routesPerReport) {
		part := head
		for _, name := range names {
			part.Routes = append(part.Routes, r.own[name].clone())
		}
		reports = append(reports, part)
	}
	return reports
}

// matches reports whether a report is about the rollout. After a restore of the store, the
// same order may have another position.
func (r *rollout) matches(p *Report) bool {
	return r.order.To == p.To && (r.order.At.Offset == p.Offset || r.order.At.Era != p.Era)
}

// Merge applies reports of a peer. The result notify is set if a verdict was learned that the
// peers should be told at once.
func (t *Table) Merge(now proto.Instant, from proto.RouterID, life int64, reports []Report) (notify bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.bounds.Enabled() || from == t.self {
		return false
	}
	for i := range reports {
		p := &reports[i]
		s := t.services[p.Service]
		if s == nil {
			continue
		}
		if r := s.rollout; r != nil && r.matches(p) {
			notify = t.mergeReport(now, s, incarnation{from, life}, p) || notify
		} else if p.Final == "" {
			s.otherAt = now
		}
	}
	return notify
}

func (t *Table) mergeReport(now proto.Instant, s *service, from incarnation, p *Report) (notify bool) {
	r := s.rollout
	peer := r.peers[from]
	if peer == nil {
		peer = &peerState{evidence: evidence{}}
		r.peers[from] = peer
	}
	peer.heardAt, peer.phase, peer.oldInFlight = now, p.Phase, p.OldInFlight
	peer.requests, peer.sent = max(peer.requests, p.Requests), max(peer.sent, p.Sent)
	for _, route := range p.Routes {
		peer.evidence.merge(route)
		r.dirty = true
	}
	r.startedAt = min(r.startedAt, now.Add(-time.Duration(p.ElapsedMillis)*time.Millisecond))
	switch {
	case r.final != "":
	case p.Final.IsFinal():
		t.end(now, s, p.Final, "final state told by a peer")
	case p.Bad && !r.bad && r.committed == "":
		r.fail("verdict of a peer")
		notify = true
	case p.Good && !r.good:
		r.good, r.goodAt, r.reason = true, now, "verdict of the lease holder"
		notify = true
	}
	return notify
}
