package front

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"time"

	"github.com/kumquatsill/kumquatsill/app/driver"
	"github.com/kumquatsill/kumquatsill/core/peer"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// receivePeerMessages receives and handles the messages of other routers.
func (f *Front) receivePeerMessages(ctx context.Context) error {
	buffer := make([]byte, peer.MaxBytes+1)
	greeter := greeter{front: f, greetedAt: map[netip.AddrPort]proto.Instant{}}
	for ctx.Err() == nil {
		n, sender, err := f.peerConn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			f.log.Warn("peer messages not received", "error", err.Error())
			sleep(ctx, minBackoff)
			continue
		}
		data, forward := peer.Unmark(buffer[:n])
		m, err := peer.Decode(data)
		if err != nil {
			f.metrics.peerBadMessages.Inc()
			continue
		}
		if forward {
			f.sendDatagram(data, f.domainPeers())
		}
		now := driver.Now()
		if known := f.handlePeerMessage(now, m); !known {
			greeter.greet(now, sender)
		}
	}
	return nil
}

// handlePeerMessage applies a message and reports whether its sender is known.
func (f *Front) handlePeerMessage(now proto.Instant, m peer.Message) (known bool) {
	id := m.Counts.Router
	if id == proto.RouterID(f.cfg.Settings.Host) {
		return true
	}
	f.mu.Lock()
	if m.Leaving {
		f.removePeer(id)
		f.mu.Unlock()
		return true
	}
	if m.Addr != "" {
		f.addPeer(now, id, m.Addr, m.Domain)
	}
	f.addIntroduced(now, m.Routers)
	sentAt := now
	p := f.peers[id]
	if p != nil {
		if p.incarnation != m.Counts.Incarnation {
			p.clock = peer.Clock{}
			if f.isNear(p) {
				defer f.introduce(p.addr)
			}
		}
		sentAt = p.clock.Convert(now, m.SentAt)
		if p.silent {
			f.log.Info("router no longer silent", "router", string(id))
		}
		if p.lastHeardAt == 0 || p.silent || p.incarnation != m.Counts.Incarnation {
			f.fullUntil.Store(int64(now.Add(fullMessageTime)))
		}
		p.lastHeardAt, p.silent, p.incarnation = now, false, m.Counts.Incarnation
	}
	f.readFacts(now, sentAt, m)
	for _, r := range m.VersionLoaded {
		f.planner.VersionLoaded(now, r.Endpoint, r.Model, r.Version)
	}
	if d := m.LeaseDisclaimer; d != nil && f.lease.HandleDisclaimer(now, string(id), *d) {
		f.log.Info("lease disclaimed", "router", string(id), "nonce", d.Nonce, "acted", d.HasActed, "acted_ms_ago", d.SinceActedMillis)
	}
	f.mu.Unlock()
	f.quota.Merge(now, m.Counts)
	f.mergeRollouts(now, id, m.Counts.Incarnation, m.Releases)
	if m.Facts != nil {
		f.reportCrashChanges()
	}
	f.mergeEndpointStates(now, m.Notices())
	f.handleIncidents(now, sentAt, id, m.Incidents)
	f.admission.HandleReports(now, sentAt, id, m.Outcomes)
	for _, l := range m.Loads {
		f.placer.SetLoading(l.Endpoint, now.Add(time.Duration(l.RemainingMillis)*time.Millisecond))
	}
	for _, r := range m.VersionLoaded {
		f.placer.ObserveVersion(r.Endpoint, r.Model, r.Version)
	}
	for _, id := range m.Silent {
		f.placer.HandleSilent(now, id)
	}
	for _, t := range m.Attempts {
		f.placer.HandleAttemptNotice(now, t)
	}
	for _, s := range m.Seen {
		f.placer.HandleSeen(now, s)
	}
	f.handleDomains(now, m)
	if m.StorePage != nil {
		f.handleStorePage(now, m.StorePage)
	}
	if c := m.CacheEvents; c != nil {
		f.placer.Events(now, c.Endpoint, c.Started, c.Restarted, c.Events)
	}
	for _, v := range m.AnnouncedVersions {
		f.placer.HandlePeerVersion(v.Model, v.Version, now.Add(-v.Age()))
	}
	return p != nil
}
