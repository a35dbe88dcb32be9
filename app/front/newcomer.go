package front

import (
	"net/netip"
	"time"

	"github.com/kumquatsill/kumquatsill/core/peer"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/core/quota"
)

const (
	// greetingInterval is the minimum time between two greetings of one address.
	greetingInterval = time.Second
	// maxGreeted bounds the addresses that are remembered.
	maxGreeted = 1024
)

// greeter tells routers that this one does not know, and which know it from before its
// start, that it runs. So it becomes a member again without the store. Only the goroutine
// that receives messages uses it.
type greeter struct {
	front     *Front
	greetedAt map[netip.AddrPort]proto.Instant
}

// greet sends a full message to the address that a message came from.
func (g *greeter) greet(now proto.Instant, sender netip.AddrPort) {
	if at, ok := g.greetedAt[sender]; ok && now.Sub(at) < greetingInterval {
		return
	}
	if len(g.greetedAt) >= maxGreeted {
		clear(g.greetedAt)
	}
	g.greetedAt[sender] = now
	m := g.front.newMessage(now, true)
	m.Counts = g.front.quota.Counts(now, quota.NewSentState(), true, true)
	g.front.send(m, []netip.AddrPort{sender})
}

// introduce tells a router that has started which others there are, and soon what crashes
// endpoints.
func (f *Front) introduce(newcomer netip.AddrPort) {
	m := f.emptyMessage()
	f.mu.Lock()
	for id, p := range f.peers {
		if p.addr != newcomer {
			m.Routers = append(m.Routers, peer.Member{Router: id, Addr: p.addr.String(), Domain: p.domain})
		}
	}
	f.mu.Unlock()
	f.send(m, []netip.AddrPort{newcomer})
	f.requestEarlySend()
}

// addIntroduced adds the routers that a peer knows; mu must be held.
func (f *Front) addIntroduced(now proto.Instant, members []peer.Member) {
	for _, r := range members {
		if r.Router != proto.RouterID(f.cfg.Settings.Host) && r.Router != "" && f.peers[r.Router] == nil {
			f.addPeer(now, r.Router, r.Addr, r.Domain)
		}
	}
}
