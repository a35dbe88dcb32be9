package front

import (
	"context"
	"encoding/json"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/kumquatsill/kumquatsill/app/driver"
	"github.com/kumquatsill/kumquatsill/core/peer"
	"github.com/kumquatsill/kumquatsill/core/place"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/core/quota"
	"github.com/kumquatsill/kumquatsill/platform"
)

const (
	// registerInterval is the time between two writes of this router's
	// registration, in case its record was deleted.
	registerInterval = time.Minute
	// membersInterval is the time between two reads of the registered routers.
	// Routers that start announce themselves to those that they have read.
	membersInterval = 30 * time.Second
	// leavingRepeats is the number of times that a router announces that it
	// leaves, as datagrams may be lost.
	leavingRepeats = 2
)

// peerState is the address and the liveness of another router.
type peerState struct {
	addr        netip.AddrPort
	domain      proto.Domain
	lastHeardAt proto.Instant
	incarnation int64
	silent      bool
	clock       peer.Clock
}

// registration is the value of a router's record in the topic of routers.
type registration struct {
	Addr        string       `json:"addr"`
	Domain      proto.Domain `json:"domain"`
	Incarnation int64        `json:"life"`
}

// followRouters keeps this router registered and reads the registrations of the
// others. It does both at once when the store was restored from an older copy.
func (f *Front) followRouters(ctx context.Context) error {
	w := &topicFollower{front: f, topic: platform.TopicRouters, apply: forEach(f.applyRouter)}
	var registeredAt time.Time
	var registeredIn int64
	for ctx.Err() == nil {
		era, restored := f.store.Era()
		pause := membersInterval
		if registeredIn != era || time.Since(registeredAt) >= registerInterval {
			if newEra, err := f.putRegistration(ctx); err != nil {
				f.log.Warn("registration failed", "error", err.Error())
				pause = time.Second
			} else {
				registeredAt, registeredIn = time.Now(), newEra
			}
		}
		if err := w.read(ctx); err != nil {
			f.log.Debug("router registrations not read", "error", err.Error())
			pause = time.Second
		} else {
			f.quota.MembersListed()
			f.routersListed.Store(true)
		}
		sleepUntilClosed(ctx, pause, restored)
	}
	return nil
}

// putRegistration registers this router and returns the era of the store that has accepted
// the registration.
func (f *Front) putRegistration(ctx context.Context) (era int64, err error) {
	value, err := json.Marshal(registration{Addr: f.cfg.Settings.PeerAddr, Domain: f.cfg.Settings.Domain, Incarnation: f.incarnation})
	if err != nil {
		return 0, Error.Wrap(err)
	}
	return f.store.Put(ctx, platform.TopicRouters, f.cfg.Settings.Host, value)
}

func (f *Front) applyRouter(now proto.Instant, r platform.Record) {
	id := proto.RouterID(r.Key)
	if _, isStatus := platform.RolloutService(r); isStatus || r.Key == f.cfg.Settings.Host || r.Key == "" {
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
		f.log.Warn("router registration ignored", "router", r.Key, "error", err.Error())
		return
	}
	f.addPeer(now, id, reg.Addr, reg.Domain)
}

// addPeer adds a router or updates its address; mu must be held.
func (f *Front) addPeer(now proto.Instant, id proto.RouterID, addr string, domain proto.Domain) {
	ap, err := netip.ParseAddrPort(addr)
	if err != nil {
		f.log.Warn("router registration ignored", "router", string(id), "addr", addr, "error", err.Error())
		return
	}
	if old := f.peers[id]; old != nil && old.addr == ap {
		return
	}
	f.metrics.domainBytes.setPeer(f.peers[id], ap, domain)
	f.peers[id] = &peerState{addr: ap, domain: domain}
	f.quota.AddMember(now, id)
	f.facts.Add(id)
	f.log.Info("router added", "router", string(id), "addr", addr)
}

// removePeer removes a router; mu must be held.
func (f *Front) removePeer(id proto.RouterID) {
	if p := f.peers[id]; p != nil {
		f.metrics.domainBytes.removePeer(p)
		delete(f.peers, id)
		f.facts.Remove(id)
		f.log.Info("router left", "router", string(id))
	}
	f.quota.RemoveMember(id)
}

const (
	// farPeriod is the number of intervals between messages to routers of other
	// failure domains, as traffic between failure domains is expensive.
	farPeriod = 2
	// fullPeriod is the number of intervals between full messages, which also
	// carry the sender's address, the routers that it hears, all that it knows of
	// the states of endpoints, and the announced versions.
	fullPeriod = 10
	// fullMessageTime is how long every periodic message is full after the start
	// of this router or of a peer, so that routers soon know who receives whose
	// messages.
	fullMessageTime = 1500 * time.Millisecond
	// maxPeersAllNear is the number of peers up to which all count as near:
	// what they report about prompt parts saves more than the traffic costs.
	maxPeersAllNear = 8
	// minEarlyInterval is the minimum time between two early messages, and
	// minEarlyIntervalPerPeer the minimum time per peer. The latter limits the
	// datagrams that a router sends early to 670 a second regardless of the
	// size of the fleet.
	minEarlyInterval        = 40 * time.Millisecond
	minEarlyIntervalPerPeer = 1500 * time.Microsecond
)

// earlyInterval returns the minimum time between two early messages to that
// many peers.
func earlyInterval(peers int) time.Duration {
	return max(minEarlyInterval, time.Duration(peers)*minEarlyIntervalPerPeer)
}

// sentStates holds, for near and far peers, which counts were sent to them.
type sentStates struct{ near, far *quota.SentState }

// sendPeerMessages sends periodic and early messages to all peers.
func (f *Front) sendPeerMessages(ctx context.Context) error {
	tick := time.NewTicker(quota.Interval)
	defer tick.Stop()
	sent := sentStates{near: quota.NewSentState(), far: quota.NewSentState()}
	var earlyTimer <-chan time.Time
	var lastEarly proto.Instant
	for n := 0; ; {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			n++
			f.sendPeriodic(driver.Now(), sent, n)
			f.sendFacts(driver.Now())
		case <-f.earlySend:
			if earlyTimer == nil {
				earlyTimer = time.After(lastEarly.Add(earlyInterval(f.peerCount())).Sub(driver.Now()))
			}
		case <-earlyTimer:
			earlyTimer, lastEarly = nil, driver.Now()
			f.sendEarly(lastEarly)
			f.sendFacts(lastEarly)
		}
	}
}

// sendPeriodic sends the n-th periodic message.
func (f *Front) sendPeriodic(now proto.Instant, sent sentStates, n int) {
	complete := now < proto.Instant(f.fullUntil.Load())
	full := complete || n%fullPeriod == 0
	m := f.newMessage(now, full)
	f.addOutcomes(now, n, &m)
	m.Counts = f.quota.Counts(now, sent.near, full, complete)
	m.Attempts = f.placer.TakeAttemptNotices()
	m.Seen = f.placer.TakeSeen(now)
	m.Confirmed = f.takeConfirmations(near)
	m.Domains = f.domainSummaries(now, n, near)
	f.send(m, f.peersAt(near))
	m.Seen = nil
	if n%farPeriod == 0 || full {
		m.Domains = f.domainSummaries(now, n, far)
		m.Confirmed = f.takeConfirmations(far)
		m.Counts = f.quota.Counts(now, sent.far, full, complete)
		m.Attempts = firstPrefills(m.Attempts)
		f.sendFar(now, m)
	}
}

// sendEarly reports attempts and load orders that have just begun, and changed states of
// endpoints.
func (f *Front) sendEarly(now proto.Instant) {
	m := f.emptyMessage()
	m.SentAt = now
	ordered := f.loadingChanged.Swap(false)
	if ordered {
		f.mu.Lock()
		m.Loads, m.VersionLoaded = f.loadingEngines(now), f.loadedVersions()
		f.mu.Unlock()
	}
	m.Attempts = f.placer.TakeAttemptNotices()
	notices := f.endpointStates.Changes(now)
	m.SetNotices(notices)
	released := f.rolloutsChanged.Swap(false)
	if released {
		m.Releases = f.rollouts.Reports(now)
	}
	incidents, more := f.placer.TakeIncidents(now, f.receivers())
	if m.Incidents = incidents; more {
		f.requestEarlySend()
	}
	isForAll := released || ordered || !notices.IsEmpty() || len(incidents) > 0
	if !isForAll && len(m.Attempts) == 0 {
		return
	}
	f.send(m, f.peersAt(near))
	m.Attempts = firstPrefills(m.Attempts)
	if isForAll || len(m.Attempts) > 0 {
		f.sendFar(now, m)
	}
}

// firstPrefills returns the attempts that compute many shared tokens which could
// not be fetched. Far routers need to know only of these, so that they do not
// compute the parts again.
func firstPrefills(attempts []place.AttemptNotice) []place.AttemptNotice {
	return slices.DeleteFunc(slices.Clone(attempts), func(t place.AttemptNotice) bool { return !t.FirstPrefill })
}

// distance selects the peers that a message is sent to.
type distance uint8

const (
	near distance = iota
	far
)

// peersAt returns the addresses of the peers at a distance. Peers of the own
// failure domain are near; in a small fleet all peers are.
func (f *Front) peersAt(d distance) []netip.AddrPort {
	f.mu.Lock()
	defer f.mu.Unlock()
	var addrs []netip.AddrPort
	for _, p := range f.peers {
		if f.isNear(p) == (d == near) {
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

// emptyMessage returns a message that only names its sender.
func (f *Front) emptyMessage() peer.Message {
	return peer.Message{Counts: quota.Counts{Router: proto.RouterID(f.cfg.Settings.Host), Incarnation: f.incarnation}}
}

// newMessage returns the content common to all peers, without counts and
// attempts.
func (f *Front) newMessage(now proto.Instant, full bool) peer.Message {
	m := peer.Message{SentAt: now, Silent: f.placer.Silent(now), Releases: f.rollouts.Reports(now)}
	f.mu.Lock()
	m.Loads, m.VersionLoaded = f.loadingEngines(now), f.loadedVersions()
	if d, ok := f.lease.Disclaimer(now); ok {
		m.LeaseDisclaimer = &d
	}
	f.mu.Unlock()
	if !full {
		m.SetNotices(f.endpointStates.Changes(now))
		return m
	}
	m.Addr, m.Domain = f.cfg.Settings.PeerAddr, f.cfg.Settings.Domain
	m.SetNotices(f.endpointStates.State(now))
	m.AnnouncedVersions = f.placer.AnnouncedVersions(now)
	return m
}

// send sends a message to each of the addresses.
func (f *Front) send(m peer.Message, to []netip.AddrPort) {
	for _, data := range f.pack(m) {
		f.sendDatagram(data, to)
	}
}

// pack returns the datagrams of a message, without what fits into none.
func (f *Front) pack(m peer.Message) [][]byte {
	datagrams, err := peer.Pack(m)
	if err != nil {
		f.log.Error("part of a peer message not encoded", "error", err.Error())
	}
	return datagrams
}

func (f *Front) sendDatagram(data []byte, to []netip.AddrPort) {
	for _, addr := range to {
		if _, err := f.peerConn.WriteToUDPAddrPort(data, addr); err != nil {
			f.metrics.peerSendErrors.Inc()
			continue
		}
		f.metrics.domainBytes.sent(addr, len(data))
	}
}

// markSilentPeers marks and logs the routers that have fallen silent; mu must
// be held.
func (f *Front) markSilentPeers(now proto.Instant) {
	const silence = 2 * time.Second
	for id, p := range f.peers {
		if p.lastHeardAt == 0 || p.silent || now.Sub(p.lastHeardAt) < silence {
			continue
		}
		p.silent = true
		f.facts.Silent(id)
		share, members := f.quota.Share(now)
		f.log.Warn("router silent", "router", string(id), "for", now.Sub(p.lastHeardAt).String(), "share", share, "members", members)
	}
}

// expireLoading removes loads that should have ended and reported versions that
// the registrations show by now; mu must be held.
func (f *Front) expireLoading(now proto.Instant) {
	maps.DeleteFunc(f.loading, func(_ proto.EndpointID, until proto.Instant) bool { return now >= until })
	list := f.table.Snapshot()
	maps.DeleteFunc(f.reportedVersions, func(id proto.EndpointID, v platform.AnnouncedVersion) bool {
		e := list.ByID[id]
		return e == nil || e.Versions[v.Model] >= v.Version
	})
}

// loadingEngines returns the engines that are loading weights; mu must be held.
func (f *Front) loadingEngines(now proto.Instant) []peer.Load {
	var loading []peer.Load
	for id, until := range f.loading {
		if now < until {
			loading = append(loading, peer.Load{Endpoint: id, RemainingMillis: until.Sub(now).Milliseconds()})
		}
	}
	return loading
}

// loadedVersions returns the versions that engines have reported and that
// their registrations may not show yet; mu must be held.
func (f *Front) loadedVersions() []peer.VersionLoaded {
	var reportedVersions []peer.VersionLoaded
	for id, v := range f.reportedVersions {
		reportedVersions = append(reportedVersions, peer.VersionLoaded{Endpoint: id, Model: v.Model, Version: v.Version})
	}
	return reportedVersions
}

// announceLeaving tells the peers that this router leaves.
func (f *Front) announceLeaving() {
	m := f.emptyMessage()
	m.Leaving = true
	for range leavingRepeats {
		f.send(m, f.peersAt(near))
		f.send(m, f.peersAt(far))
	}
}

// rank returns the number of routers that were heard recently and precede this
// router by name; mu must be held.
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
