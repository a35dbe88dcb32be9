package front

import (
	"net/netip"
	"time"

	"github.com/kumquatsill/kumquatsill/core/peer"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// forwarderTimeout is how long after its last message a far peer counts as able to
// forward messages.
const forwarderTimeout = 1500 * time.Millisecond

// sendFar sends a message to one far peer of each other failure domain, which forwards
// it to the others there.
func (f *Front) sendFar(now proto.Instant, m peer.Message) {
	f.farMessages++
	forwarders := f.forwarders(now, f.farMessages)
	for _, data := range f.pack(m) {
		f.sendDatagram(peer.MarkForwarded(data), forwarders)
	}
}

// forwarders returns the addresses of the far peers that forward the n-th message.
func (f *Front) forwarders(now proto.Instant, n int) []netip.AddrPort {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.peers) <= maxPeersAllNear {
		return nil
	}
	var targets []peer.Target
	for id, p := range f.peers {
		if p.domain != f.cfg.Settings.Domain {
			alive := p.lastHeardAt != 0 && now.Sub(p.lastHeardAt) < forwarderTimeout
			targets = append(targets, peer.Target{ID: id, Domain: p.domain, Alive: alive})
		}
	}
	var addrs []netip.AddrPort
	for _, t := range peer.Forwarders(targets, n) {
		addrs = append(addrs, f.peers[t.ID].addr)
	}
	return addrs
}

// domainPeers returns the addresses of the peers of the own failure domain.
func (f *Front) domainPeers() []netip.AddrPort {
	f.mu.Lock()
	defer f.mu.Unlock()
	var addrs []netip.AddrPort
	for _, p := range f.peers {
		if p.domain == f.cfg.Settings.Domain {
			addrs = append(addrs, p.addr)
		}
	}
	return addrs
}
