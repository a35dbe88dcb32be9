package front

import (
	"net/netip"

	"github.com/kumquatsill/kumquatsill/core/peer"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// sendFacts tells the peers what this router has observed of crashes and they have not
// confirmed.
func (f *Front) sendFacts(now proto.Instant) {
	f.mu.Lock()
	due, more := f.facts.Due(now)
	f.mu.Unlock()
	if more {
		f.requestEarlySend()
	}
	for _, d := range due {
		m := f.emptyMessage()
		m.SentAt, m.Facts = now, &d.Page
		if direct, throughForwarders := f.recipients(d.To); throughForwarders {
			f.send(m, direct)
			f.sendFar(now, m)
		} else {
			f.send(m, direct)
		}
	}
}

// recipients returns the addresses of peers. If they include most far peers, it leaves
// those out and reports that the message is to be sent through forwarders.
func (f *Front) recipients(to []proto.RouterID) (direct []netip.AddrPort, throughForwarders bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var far []netip.AddrPort
	for _, id := range to {
		switch p := f.peers[id]; {
		case p == nil:
		case f.isNear(p):
			direct = append(direct, p.addr)
		default:
			far = append(far, p.addr)
		}
	}
	if 2*len(far) > f.farPeers() {
		return direct, true
	}
	return append(direct, far...), false
}

// isNear reports whether a peer is near: in the own failure domain, or in a small fleet;
// mu must be held.
func (f *Front) isNear(p *peerState) bool {
	return p.domain == f.cfg.Settings.Domain || len(f.peers) <= maxPeersAllNear
}

// farPeers returns the number of peers that are not near; mu must be held.
func (f *Front) farPeers() int {
	n := 0
	for _, p := range f.peers {
		if !f.isNear(p) {
			n++
		}
	}
	return n
}

// readFacts applies what a peer tells of crashes, and how far it has read what this router
// tells; mu must be held.
func (f *Front) readFacts(now, sentAt proto.Instant, m peer.Message) {
	id := m.Counts.Router
	f.facts.Heard(id, m.Counts.Incarnation)
	f.facts.Confirmed(now, id, m.Confirmed)
	if m.Facts != nil {
		f.facts.Read(now, sentAt, id, m.Facts)
	}
}

// takeConfirmations returns how far this router has read the facts of the peers at a
// distance that have sent any since the last call.
func (f *Front) takeConfirmations(d distance) []peer.Confirmation {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.facts.TakeConfirmations(func(id proto.RouterID) bool {
		p := f.peers[id]
		return p != nil && f.isNear(p) == (d == near)
	})
}
