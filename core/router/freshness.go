package router

import (
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

const (
	// freshnessTTL is how long a proof of freshness lasts. Together with the time
	// after which open streams are checked again it stays below the 5 s in
	// which a withdrawn key must stop working.
	freshnessTTL = 4 * time.Second
	// peerReportTTL is how long a peer's word about the log counts.
	peerReportTTL = 3 * time.Second
	// maxPeerLag is how much older than a peer's the own proof may be in a
	// general outage. Routers read the head about twice a second, and take over
	// the proofs of their peers.
	maxPeerLag = 1500 * time.Millisecond
	// outageExtension is how far a confirmed general outage extends freshness.
	outageExtension = 2 * time.Second
)

// freshness decides until when the folded configuration may be relied on.
//
// A proof is an instant at which the folded state held everything that the
// log held. It comes from an own read of the head, or from a peer that read
// it and whose records were taken over.
type freshness struct {
	caughtUpAt   proto.Instant
	everCaughtUp bool
	reports      map[proto.RouterID]peerReport
}

// peerReport is what a peer last said about the log.
type peerReport struct {
	at proto.Instant
	// caughtUpAt is no earlier than the peer's own caughtUpAt of freshness, and offset is
	// how far it has folded the config stream.
	caughtUpAt proto.Instant
	offset     proto.Offset
	domain     proto.Domain
	reachable  bool
}

func newFreshness() *freshness {
	return &freshness{reports: map[proto.RouterID]peerReport{}}
}

// markCaughtUp takes in that the state is complete up to a read sent at that instant.
func (f *freshness) markCaughtUp(at proto.Instant) {
	if !f.everCaughtUp || f.caughtUpAt.Before(at) {
		f.caughtUpAt, f.everCaughtUp = at, true
	}
}

// recordPeerReport takes in the answer to a beat sent at sent. The recordPeerReport read the head no
// earlier than its stated age before that.
func (f *freshness) recordPeerReport(now, sent proto.Instant, beat proto.PeerBeat, folded proto.Offset) {
	f.reports[beat.Router] = peerReport{
		at: sent, caughtUpAt: now.Add(-beat.LogReadAge), offset: beat.Stamp.ConfigOffset,
		domain: beat.Domain, reachable: beat.LogReachable,
	}
	if folded >= beat.Stamp.ConfigOffset && beat.LogReadAge >= 0 {
		f.markCaughtUp(sent.Add(-beat.LogReadAge))
	}
}

// freshUntil returns when keyed traffic must stop. outage is set in a general
// outage of the log.
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

// isGeneralOutage reports whether a majority of the routers, this one
// included, cannot read the log, from two failure domains where there are
// two. Nothing can be accepted then, so that the state in force cannot be old,
// if it is no older than that of the peers: a router that was paused when the
// outage began may have missed what they know.
func (f *freshness) isGeneralOutage(now proto.Instant, own proto.Domain, folded proto.Offset, peers map[proto.RouterID]proto.Domain) bool {
	cut := 1
	domains := map[proto.Domain]bool{own: true}
	known := map[proto.Domain]bool{own: true}
	for id, domain := range peers {
		known[domain] = true
		w, ok := f.reports[id]
		if !ok || now.Sub(w.at) > peerReportTTL {
			continue
		}
		if w.reachable || w.offset > folded || f.caughtUpAt.Add(maxPeerLag) < w.caughtUpAt {
			return false
		}
		cut++
		domains[w.domain] = true
	}
	if len(known) > 1 && len(domains) < 2 {
		return false
	}
	return 2*cut > len(peers)+1
}

// anyPeerWithoutLog reports whether a router said lately that it cannot read the log.
func (f *freshness) anyPeerWithoutLog(now proto.Instant) bool {
	for _, w := range f.reports {
		if !w.reachable && now.Sub(w.at) <= peerReportTTL {
			return true
		}
	}
	return false
}

// caughtUpAge returns the time since the last proof, or -1 if there is none.
func (f *freshness) caughtUpAge(now proto.Instant) time.Duration {
	if !f.everCaughtUp {
		return -1
	}
	return now.Sub(f.caughtUpAt)
}

// retainPeers drops the word of routers that are gone.
func (f *freshness) retainPeers(peers map[proto.RouterID]proto.Domain) {
	for id := range f.reports {
		if _, ok := peers[id]; !ok {
			delete(f.reports, id)
		}
	}
}
