package admission

import (
	"maps"
	"slices"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

const (
	// ReportInterval is the time between two reports to the peers.
	ReportInterval = 1200 * time.Millisecond
	// reportTimeout is how long the last report of a peer counts. What is older has decayed.
	reportTimeout = 6 * time.Second
	// maxReports bounds the reports in one message, which have about 45 bytes each.
	maxReports = 32
)

// Report tells the peers the outcomes of the requests of one rank of a service, as decaying
// counts. The next report replaces it.
type Report struct {
	Service  string `json:"s"`
	Rank     int    `json:"r"`
	InTime   int    `json:"t,omitempty"`
	Late     int    `json:"l,omitempty"`
	Unserved int    `json:"u,omitempty"`
}

// peerReport is the last report of one peer on one rank.
type peerReport struct {
	Report
	at proto.Instant
}

// Reports returns the outcomes for the peers, of services with several ranks that are short
// of capacity.
func (c *Controller) Reports(now proto.Instant) []Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	var reports []Report
	for _, name := range slices.Sorted(maps.Keys(c.services)) {
		s := c.services[name]
		if len(s.ranks) < 2 || !s.isPressed {
			continue
		}
		for _, n := range slices.Sorted(maps.Keys(s.ranks)) {
			o := &s.ranks[n].outcomes
			o.advance(now)
			r := Report{Service: name, Rank: n, InTime: round(o.counts[InTime]), Late: round(o.counts[Late]), Unserved: round(o.counts[Unserved])}
			if r.InTime+r.Late+r.Unserved > 0 && len(reports) < maxReports {
				reports = append(reports, r)
			}
		}
	}
	return reports
}

func round(count float64) int { return int(count + 0.5) }

// HandleReports records the reports of a peer, which were sent at sentAt. Older ones than the
// last that arrived are ignored.
func (c *Controller) HandleReports(now, sentAt proto.Instant, router proto.RouterID, reports []Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := min(now, sentAt)
	for _, r := range reports {
		s := c.services[r.Service]
		if s == nil || s.ranks[r.Rank] == nil || min(r.InTime, r.Late, r.Unserved) < 0 {
			continue // without requests of its own, the router has nothing to decide
		}
		peers := s.ranks[r.Rank].peers
		if last, ok := peers[router]; !ok || last.at < at {
			peers[router] = peerReport{Report: r, at: at}
		}
	}
}

// fleetOutcomes returns the outcomes of the requests of a rank at this router and at the peers
// that have reported lately.
func (r *rank) fleetOutcomes(now proto.Instant) outcomes {
	sum := outcomes{updatedAt: now}
	r.outcomes.advance(now)
	sum.add(&r.outcomes)
	maps.DeleteFunc(r.peers, func(_ proto.RouterID, p peerReport) bool { return now.Sub(p.at) >= reportTimeout })
	for _, p := range r.peers {
		reported := outcomes{updatedAt: p.at}
		reported.counts = [...]float64{InTime: float64(p.InTime), Late: float64(p.Late), Unserved: float64(p.Unserved)}
		reported.advance(now)
		sum.add(&reported)
	}
	return sum
}
