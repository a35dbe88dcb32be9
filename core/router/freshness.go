package router

import (
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

const (
	// freshnessTTL is how long the state counts as fresh after it was last known
	// to be caught up with the log. Together with the interval at which open
	// streams are checked again it stays below the 5 s in which a withdrawn key
	// must stop working.
	freshnessTTL = 4 * time.Second
	// peerReportTTL is how long a peer's report about the log is used.
	peerReportTTL = 3 * time.Second
	// maxPeerLag is how far caughtUpAt may lag behind a peer's in a general
	// outage. Routers read the head about twice a second and learn the
	// caughtUpAt of their peers.
	maxPeerLag = 1500 * time.Millisecond
	// outageExtension is how far beyond the present a confirmed general outage
	// extends freshness.
	outageExtension = 2 * time.Second
)

// freshness determines how long the applied configuration may be used.
type freshness struct {
	// caughtUpAt is the latest instant at which the applied state is known to
	// have held every record of the log. It comes from this router's own read of
	// the head, or from a peer that read the head and whose records were applied.
	caughtUpAt   proto.Instant
	everCaughtUp bool
	reports      map[proto.RouterID]peerReport
}

// peerReport is what a peer's last heartbeat reply said about the log.
type peerReport struct {
	// at is when the heartbeat was sent that the peer replied to.
	at proto.Instant
	// caughtUpAt is no earlier than the peer's own caughtUpAt. offset is how far
	// the peer has applied the config stream.
	caughtUpAt proto.Instant
	offset     proto.Offset
	domain     proto.Domain
	reachable  bool
}

func newFreshness() *freshness {
	return &freshness{reports: map[proto.RouterID]peerReport{}}
}

// markCaughtUp records that the state holds everything that the log held at the
// given instant.
func (f *freshness) markCaughtUp(at proto.Instant) {
	if !f.everCaughtUp || f.caughtUpAt.Before(at) {
		f.caughtUpAt, f.everCaughtUp = at, true
	}
}

// recordPeerReport processes the reply to a heartbeat that was sent at sent. The
// peer's state was caught up no earlier than LogReadAge before sent.
func (f *freshness) recordPeerReport(now, sent proto.Instant, beat proto.PeerBeat, applied proto.Offset) {
	f.reports[beat.Router] = peerReport{
		at: sent, caughtUpAt: now.Add(-beat.LogReadAge), offset: beat.Stamp.ConfigOffset,
		domain: beat.Domain, reachable: beat.LogReachable,
	}
	if applied >= beat.Stamp.ConfigOffset && beat.LogReadAge >= 0 {
		f.markCaughtUp(sent.Add(-beat.LogReadAge))
	}
}

// freshUntil returns when the router must stop serving requests that need a key.
// outage is set during a general outage of the log.
func (f *freshness) freshUntil(now proto.Instant, outage bool) proto.Instant {
	if !f.everCaughtUp {
		return 0
	}
	limit := f.caughtUpAt.Add(freshnessTTL)
	if outage {
		return max(limit, now.Add(outageExtension))
	}
	return limit
}

// isGeneralOutage reports whether a majority of the routers, including this
// one, cannot read the log and no recent report of a peer says that it can. If
// the routers are in several failure domains, the majority must span at least
// two. The log accepts no records then, so the applied state cannot be
// outdated, provided that it is no older than that of the peers: a router that
// was paused when the outage began may lack records that its peers have
// applied.
func (f *freshness) isGeneralOutage(now proto.Instant, own proto.Domain, applied proto.Offset, peers map[proto.RouterID]proto.Domain) bool {
	unreachable := 1
	unreachableDomains := map[proto.Domain]bool{own: true}
	allDomains := map[proto.Domain]bool{own: true}
	for id, domain := range peers {
		allDomains[domain] = true
		report, ok := f.reports[id]
		if !ok || now.Sub(report.at) > peerReportTTL {
			continue
		}
		if report.reachable || report.offset > applied || f.caughtUpAt.Add(maxPeerLag) < report.caughtUpAt {
			return false
		}
		unreachable++
		unreachableDomains[report.domain] = true
	}
	if len(allDomains) > 1 && len(unreachableDomains) < 2 {
		return false
	}
	return 2*unreachable > len(peers)+1
}

// anyPeerWithoutLog reports whether a recent report of a peer says that it
// cannot read the log.
func (f *freshness) anyPeerWithoutLog(now proto.Instant) bool {
	for _, report := range f.reports {
		if !report.reachable && now.Sub(report.at) <= peerReportTTL {
			return true
		}
	}
	return false
}

// caughtUpAge returns the time since caughtUpAt, or -1 if the state was never
// caught up.
func (f *freshness) caughtUpAge(now proto.Instant) time.Duration {
	if !f.everCaughtUp {
		return -1
	}
	return now.Sub(f.caughtUpAt)
}

// retainPeers removes the reports of all routers that are not in peers.
func (f *freshness) retainPeers(peers map[proto.RouterID]proto.Domain) {
	for id := range f.reports {
		if _, ok := peers[id]; !ok {
			delete(f.reports, id)
		}
	}
}
