package front

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"net"
	"net/netip"
	"time"

	"github.com/kumquatsill/kumquatsill/app/driver"
	"github.com/kumquatsill/kumquatsill/core/peer"
	"github.com/kumquatsill/kumquatsill/core/place"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/core/quota"
	"github.com/kumquatsill/kumquatsill/platform"
)

const (
	// registerInterval is the time between two registrations of this router.
	registerInterval = 15 * time.Second
	// membersInterval is the time between two reads of the registered routers.
	membersInterval = 10 * time.Second
	// leavingRepeats is how often a router that stops says so.
	leavingRepeats = 2
)

// peerState is where another router takes messages.
type peerState struct {
	addr        netip.AddrPort
	domain      proto.Domain
	lastHeardAt proto.Instant
	incarnation int64
	silent      bool
}

// registration is this router's record among the registered ones.
type registration struct {
	Addr        string       `json:"addr"`
	Domain      proto.Domain `json:"domain"`
	Incarnation int64        `json:"life"`
}

// followRouters writes this router's registration and reads those of the others.
func (f *Front) followRouters(ctx context.Context) error {
	registeredAt, next, listed := time.Time{}, int64(0), false
	for ctx.Err() == nil {
		if time.Since(registeredAt) >= registerInterval {
			if err := f.putRegistration(ctx); err != nil {
				f.log.Warn("registration failed", "error", err.Error())
			} else {
				registeredAt = time.Now()
			}
		}
		w := &topicFollower{front: f, topic: platform.TopicRouters, apply: forEach(f.applyRouter)}
		if err := w.read(ctx, &next, &listed); err != nil {
			f.log.Debug("registered routers not read", "error", err.Error())
			sleep(ctx, time.Second)
			continue
		}
		sleep(ctx, membersInterval)
	}
	return nil
}

func (f *Front) putRegistration(ctx context.Context) error {
	value, err := json.Marshal(registration{Addr: f.cfg.Settings.Peers, Domain: f.cfg.Settings.Domain, Incarnation: f.incarnation})
	if err != nil {
		return Error.Wrap(err)
	}
	return f.store.Put(ctx, platform.TopicRouters, f.cfg.Settings.Host, value)
}

func (f *Front) applyRouter(now proto.Instant, r platform.Record) {
	id := proto.RouterID(r.Key)
	if r.Key == f.cfg.Settings.Host || r.Key == "" {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.Deleted {
		f.removePeer(id)
		return
	}
	var reg registration
	if err := json.Unmarshal(r.Value, &reg); err != nil {
		f.log.Warn("registered router ignored", "router", r.Key, "error", err.Error())
		return
	}
	f.addPeer(now, id, reg.Addr, reg.Domain)
}

// addPeer records where a router takes messages; mu is held.
func (f *Front) addPeer(now proto.Instant, id proto.RouterID, addr string, domain proto.Domain) {
	ap, err := netip.ParseAddrPort(addr)
	if err != nil {
		f.log.Warn("registered router ignored", "router", string(id), "addr", addr, "error", err.Error())
		return
	}
	if old := f.peers[id]; old != nil && old.addr == ap {
		return
	}
	f.peers[id] = &peerState{addr: ap, domain: domain}
	f.quota.AddMember(now, id)
	f.log.Info("router known", "router", string(id), "addr", addr)
}

// removePeer forgets a router; mu is held.
func (f *Front) removePeer(id proto.RouterID) {
	if f.peers[id] != nil {
		delete(f.peers, id)
		f.log.Info("router left", "router", string(id))
	}
	f.quota.RemoveMember(id)
}

const (
	// farPeriod is how often, in intervals, routers of other failure domains are
	// told: bytes between failure domains are dear.
	farPeriod = 2
	// fullPeriod is how often, in intervals, a message tells everything.
	fullPeriod = 10
	// fullMessageTime is how long all messages are whole after a start, also of a peer,
	// so that routers soon know who hears whom.
	fullMessageTime = 1500 * time.Millisecond
	// maxPeersAllNear is the number of peers up to which all count as near: what they
	// tell of parts saves more than their bytes cost.
	maxPeersAllNear = 8
	// minEarlyInterval is the least time between messages sent before they are due, and
	// soonPausePerPeer that for each peer: it bounds the datagrams that a router
	// sends early to 670 a second, whatever the size of the fleet.
	minEarlyInterval        = 40 * time.Millisecond
	minEarlyIntervalPerPeer = 1500 * time.Microsecond
)

// earlyInterval returns the least time between two early messages to peers.
func earlyInterval(peers int) time.Duration {
	return max(minEarlyInterval, time.Duration(peers)*minEarlyIntervalPerPeer)
}

// sentStates are the peers by their distance.
type sentStates struct{ near, far *quota.SentState }

// sendPeerMessages sends a message to each peer at intervals.
func (f *Front) sendPeerMessages(ctx context.Context) error {
	tick := time.NewTicker(quota.Interval)
	defer tick.Stop()
	to := sentStates{near: quota.NewSentState(), far: quota.NewSentState()}
	var soon <-chan time.Time
	var lastSoon proto.Instant
	for n := 0; ; {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			n++
			f.sendPeriodic(driver.Now(), to, n)
		case <-f.earlySend:
			if soon == nil {
				soon = time.After(lastSoon.Add(earlyInterval(f.peerCount())).Sub(driver.Now()))
			}
		case <-soon:
			soon, lastSoon = nil, driver.Now()
			f.sendEarly(lastSoon)
		}
	}
}

// sendPeriodic sends the n-th of the messages that come at intervals.
func (f *Front) sendPeriodic(now proto.Instant, to sentStates, n int) {
	all := now < proto.Instant(f.fullUntil.Load())
	whole := all || n%fullPeriod == 0
	m := f.newMessage(now, whole)
	m.Counts = f.quota.Counts(now, to.near, whole, all)
	m.Attempts = f.placer.Tell()
	m.Seen = f.placer.TellSeen(now)
	f.send(m, f.peersAt(near))
	m.Seen = nil
	if n%farPeriod == 0 || whole {
		m.Counts = f.quota.Counts(now, to.far, whole, all)
		m.Attempts = firstReads(m.Attempts)
		f.send(m, f.peersAt(far))
	}
}

// sendEarly tells of attempts and orders that have just begun.
func (f *Front) sendEarly(now proto.Instant) {
	m := peer.Message{Counts: quota.Counts{Router: proto.RouterID(f.cfg.Settings.Host), Incarnation: f.incarnation}}
	ordered := f.loadingChanged.Swap(false)
	if ordered {
		f.mu.Lock()
		m.Loads, m.Reached = f.loadingEngines(now), f.reachedVersions()
		f.mu.Unlock()
	}
	m.Attempts = f.placer.Tell()
	f.send(m, f.peersAt(near))
	m.Attempts = firstReads(m.Attempts)
	if ordered || len(m.Attempts) > 0 {
		f.send(m, f.peersAt(far))
	}
}

// firstReads returns the attempts that read parts which no endpoint held: far
// routers need not read them again.
func firstReads(attempts []place.Told) []place.Told {
	var first []place.Told
	for _, t := range attempts {
		if t.First {
			first = append(first, t)
		}
	}
	return first
}

// distance says which peers a message is for.
type distance uint8

const (
	near distance = iota
	far
)

// peersAt returns where the peers at a distance take messages. Near are those
// of the own failure domain, and all in a small fleet.
func (f *Front) peersAt(d distance) []netip.AddrPort {
	f.mu.Lock()
	defer f.mu.Unlock()
	var addrs []netip.AddrPort
	for _, p := range f.peers {
		isNear := p.domain == f.cfg.Settings.Domain || len(f.peers) <= maxPeersAllNear
		if isNear == (d == near) {
			addrs = append(addrs, p.addr)
		}
	}
	return addrs
}

func (f *Front) peerCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.peers)
}

// newMessage returns what all peers are told, without counts and attempts.
func (f *Front) newMessage(now proto.Instant, whole bool) peer.Message {
	m := peer.Message{Silent: f.placer.Silent(now)}
	f.mu.Lock()
	m.Loads, m.Reached = f.loadingEngines(now), f.reachedVersions()
	f.mu.Unlock()
	if !whole {
		return m
	}
	m.Addr, m.Domain = f.cfg.Settings.Peers, f.cfg.Settings.Domain
	m.Crashes = f.crashes.Own(now)
	m.Named = f.placer.Named(now)
	return m
}

func (f *Front) send(m peer.Message, to []netip.AddrPort) {
	data, err := peer.Encode(m)
	if err != nil {
		f.log.Error("message to peers not sent", "error", err.Error())
		return
	}
	for _, addr := range to {
		if _, err := f.peerConn.WriteToUDPAddrPort(data, addr); err != nil {
			f.metrics.peerSendErrors.Inc()
		}
	}
}

// markSilentPeers notes routers that were heard and have fallen silent; mu is
// held.
func (f *Front) markSilentPeers(now proto.Instant) {
	const silence = 2 * time.Second
	for id, p := range f.peers {
		if p.lastHeardAt == 0 || p.silent || now.Sub(p.lastHeardAt) < silence {
			continue
		}
		p.silent = true
		share, members := f.quota.Share(now)
		f.log.Warn("router silent", "router", string(id), "for", now.Sub(p.lastHeardAt).String(), "share", share, "members", members)
	}
}

// expireLoading forgets loads that should have ended and versions that the
// registrations show by now; mu is held.
func (f *Front) expireLoading(now proto.Instant) {
	maps.DeleteFunc(f.loading, func(_ proto.EndpointID, until proto.Instant) bool { return now >= until })
	list := f.table.Snapshot()
	maps.DeleteFunc(f.reportedVersions, func(id proto.EndpointID, v platform.NamedVersion) bool {
		e := list.ByID[id]
		return e == nil || e.Versions[v.Model] >= v.Version
	})
}

// loadingEngines returns the engines that are loading weights; mu is held.
func (f *Front) loadingEngines(now proto.Instant) []peer.Load {
	var loading []peer.Load
	for id, until := range f.loading {
		if now < until {
			loading = append(loading, peer.Load{Endpoint: id, RemainingMillis: until.Sub(now).Milliseconds()})
		}
	}
	return loading
}

// reachedVersions returns the engines that told a version which their registration
// may not show yet; mu is held.
func (f *Front) reachedVersions() []peer.Reached {
	var reportedVersions []peer.Reached
	for id, v := range f.reportedVersions {
		reportedVersions = append(reportedVersions, peer.Reached{Endpoint: id, Model: v.Model, Version: v.Version})
	}
	return reportedVersions
}

// receivePeerMessages takes in the messages of other routers.
func (f *Front) receivePeerMessages(ctx context.Context) error {
	buffer := make([]byte, peer.MaxBytes+1)
	for ctx.Err() == nil {
		n, _, err := f.peerConn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			f.log.Warn("messages of peers not read", "error", err.Error())
			sleep(ctx, minBackoff)
			continue
		}
		m, err := peer.Decode(buffer[:n])
		if err != nil {
			f.metrics.peerBadMessages.Inc()
			continue
		}
		f.handlePeerMessage(driver.Now(), m)
	}
	return nil
}

func (f *Front) handlePeerMessage(now proto.Instant, m peer.Message) {
	id := m.Counts.Router
	if id == proto.RouterID(f.cfg.Settings.Host) {
		return
	}
	f.mu.Lock()
	if m.Leaving {
		f.removePeer(id)
		f.mu.Unlock()
		return
	}
	if m.Addr != "" {
		f.addPeer(now, id, m.Addr, m.Domain)
	}
	if p := f.peers[id]; p != nil {
		if p.silent {
			f.log.Info("router heard again", "router", string(id))
		}
		if p.lastHeardAt == 0 || p.silent || p.incarnation != m.Counts.Incarnation {
			f.fullUntil.Store(int64(now.Add(fullMessageTime)))
		}
		p.lastHeardAt, p.silent, p.incarnation = now, false, m.Counts.Incarnation
	}
	for _, r := range m.Reached {
		f.planner.Reached(r.Endpoint, r.Model, r.Version)
	}
	f.mu.Unlock()
	f.quota.Heard(now, m.Counts)
	f.crashes.Heard(now, id, m.Crashes)
	for _, l := range m.Loads {
		f.placer.Loading(l.Endpoint, now.Add(time.Duration(l.RemainingMillis)*time.Millisecond))
	}
	for _, r := range m.Reached {
		f.placer.ObserveVersion(r.Endpoint, r.Model, r.Version)
	}
	for _, id := range m.Silent {
		f.placer.ToldSilent(now, id)
	}
	for _, t := range m.Attempts {
		f.placer.TakeIn(now, t)
	}
	for _, s := range m.Seen {
		f.placer.TakeInSeen(now, s)
	}
	for _, v := range m.Named {
		f.placer.NamedBefore(v.Model, v.Version, now.Add(-v.Age()))
	}
}

// announceLeaving tells the peers that this router stops.
func (f *Front) announceLeaving() {
	m := peer.Message{Leaving: true, Counts: quota.Counts{Router: proto.RouterID(f.cfg.Settings.Host), Incarnation: f.incarnation}}
	for range leavingRepeats {
		f.send(m, f.peersAt(near))
		f.send(m, f.peersAt(far))
	}
}

// rank returns this router's place among the routers heard lately, by name.
func (f *Front) rank(now proto.Instant) int {
	const recent = time.Second
	n := 0
	for id, p := range f.peers {
		if string(id) < f.cfg.Settings.Host && p.lastHeardAt != 0 && now.Sub(p.lastHeardAt) < recent {
			n++
		}
	}
	return n
}
