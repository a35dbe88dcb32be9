package router

import (
	"maps"
	"slices"

	"github.com/kumquatsill/kumquatsill/core/configlog"
	"github.com/kumquatsill/kumquatsill/core/exchange"
	"github.com/kumquatsill/kumquatsill/core/note"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// publishSnapshot passes the current state to the components of the router and
// makes it visible to the request path.
func (c *Control) publishSnapshot(now proto.Instant) {
	old := c.snapshot.Load()
	state := c.state.Snapshot()
	c.applyState(now, state)
	c.limits.setSlots(now, slotView(state, c.fresh.caughtUpAt, c.isLogOutage(now)))
	c.skipGrantWait(now, state)
	quarantined, suspects := c.suspects.Snapshot(now)
	c.suspectsChanged = false
	next := &exchange.Snapshot{
		Config:      state.Config,
		Stamp:       c.stamp(),
		Ready:       c.isReady(state),
		Draining:    c.draining,
		Quarantined: quarantined,
		Suspects:    suspects,
		Funded:      c.limits.isFunded(now),
		Routers:     c.addrs,
		FreshUntil:  c.fresh.freshUntil(now, c.isLogOutage(now)),
	}
	if old == nil || old.Config != next.Config {
		c.deps.Placement.Configure(now, next.Config)
	}
	c.snapshot.Store(next)
	if old != nil && old.Config != next.Config {
		c.notifyLeaving(old.Config, next.Config)
	}
}

// notifyLeaving tells the agents of endpoints whose Leaving flag has changed. A
// router that starts notifies every leaving endpoint, as the agent may have
// restarted in the meantime.
func (c *Control) notifyLeaving(old, next *note.Config) {
	for _, id := range slices.Sorted(maps.Keys(next.Endpoints)) {
		if leaving := next.Endpoints[id].Leaving; leaving != old.Endpoints[id].Leaving {
			c.Send(proto.AgentAddr(id), proto.EndpointLeaving{Stamp: c.stamp(), Leaving: leaving})
		}
	}
}

// isReady reports whether requests can be decided: the config stream is applied
// up to its head, and so are the intents of calls that must not be repeated.
func (c *Control) isReady(state *configlog.Snapshot) bool {
	if !c.ready {
		return false
	}
	return state.Revision == 0 || c.intents != nil && c.intents.Ready()
}

// applyState passes a changed config state to the components that depend on it.
func (c *Control) applyState(now proto.Instant, state *configlog.Snapshot) {
	if c.appliedState == state {
		return
	}
	// Most records renew a lease and change neither the routers nor the
	// configuration. Without this check, the updates below would take more CPU
	// time than everything else in a fleet of 320 routers.
	routersChanged := c.appliedState == nil || !maps.Equal(c.appliedState.Routers, state.Routers)
	c.appliedState = state
	c.addrs = routerAddrs(state)
	c.updateIntents(state, routersChanged)
	c.leases.observe(now, state)
	c.limits.configure(now, state, c.stamp())
	c.updateRollout(now, state)
	if routersChanged {
		c.peers.update(now, state.Routers)
		c.fresh.retainPeers(c.peers.selected)
	}
}

func routerAddrs(state *configlog.Snapshot) map[proto.RouterID]string {
	addrs := make(map[proto.RouterID]string, len(state.Routers))
	for id, r := range state.Routers {
		addrs[id] = r.Addr
	}
	return addrs
}

func (c *Control) stamp() proto.Stamp {
	s := c.state.Snapshot()
	return proto.Stamp{Revision: s.Revision, ConfigOffset: s.ConfigOffset}
}

// peersIncludeAllRouters reports whether this router exchanges heartbeats with
// every registered router. Otherwise it cannot know what a majority of them
// reports: if the fleet is partitioned into two regions, the sampled routers
// may all be on one side.
func (c *Control) peersIncludeAllRouters() bool {
	others := len(c.state.Snapshot().Routers)
	if _, registered := c.state.Snapshot().Routers[c.cfg.ID]; registered {
		others--
	}
	return len(c.peers.selected) == others
}

// isLogOutage reports whether there is a general outage of the log: this router
// cannot reach it, and the reports of its peers meet isGeneralOutage. A router
// that does not exchange heartbeats with all others assumes that there is none.
func (c *Control) isLogOutage(now proto.Instant) bool {
	return !c.logReachable(now) && c.peersIncludeAllRouters() && c.fresh.isGeneralOutage(now, c.cfg.Domain, c.state.NextOffset(), c.peers.selected)
}

// logReachable reports whether the log responded to this router recently. A slow
// log still responds and accepts notes, so it must not count as an outage.
// Whether its responses are recent enough is decided by the freshness check.
func (c *Control) logReachable(now proto.Instant) bool {
	at, ok := c.log.LastResponseAt()
	return ok && now.Sub(at) <= maxLogResponseAge
}

func (c *Control) newHeartbeat(now proto.Instant, round uint64) proto.PeerBeat {
	return proto.PeerBeat{
		Stamp:        c.stamp(),
		Router:       c.cfg.ID,
		Domain:       c.cfg.Domain,
		Call:         round,
		LogReadAge:   c.fresh.caughtUpAge(now),
		LogReachable: c.logReachable(now),
		Leaving:      c.draining,
		Crashes:      c.suspects.Crashes(),
		GrantsFrom:   c.limits.grantsFromRemoved(now, c.state.Snapshot().Routers),
	}
}

func (c *Control) sendHeartbeats(now proto.Instant) {
	round := c.peers.startRound(now)
	for _, id := range c.peers.sortedIDs() {
		c.Send(proto.RouterAddr(id), c.newHeartbeat(now, round))
	}
}

func (c *Control) onPeerBeat(now proto.Instant, from proto.Addr, m proto.PeerBeat) {
	c.Send(from, proto.PeerBeatReply{Beat: c.newHeartbeat(now, m.Call)})
	c.processHeartbeat(now, m)
	c.requestMissing(now, from, m.Stamp)
}

func (c *Control) onPeerBeatReply(now proto.Instant, m proto.PeerBeatReply) {
	sent, ok := c.peers.sentAt(m.Beat.Call)
	if !ok {
		return
	}
	c.processHeartbeat(now, m.Beat)
	c.fresh.recordPeerReport(now, sent, m.Beat, c.state.NextOffset())
	c.requestMissing(now, proto.RouterAddr(m.Beat.Router), m.Beat.Stamp)
}

// processHeartbeat processes what a heartbeat says about the peer that sent it.
func (c *Control) processHeartbeat(now proto.Instant, beat proto.PeerBeat) {
	c.peers.recordHeartbeat(now, beat)
	if len(beat.Crashes) > 0 {
		c.suspects.HandlePeerCrashes(now, beat.Crashes)
		c.suspectsChanged = true
	}
}

// requestMissing asks a peer that has applied more of the config stream for the
// missing records while the log is unreachable.
func (c *Control) requestMissing(now proto.Instant, peer proto.Addr, stamp proto.Stamp) {
	if stamp.ConfigOffset > c.state.NextOffset() && !c.logReachable(now) {
		c.Send(peer, proto.StateRequest{From: c.state.NextOffset()})
	}
}

func (c *Control) onStateRequest(now proto.Instant, from proto.Addr, m proto.StateRequest) {
	records, err := c.state.RecordsSince(m.From, c.cfg.ID)
	if err != nil {
		return // the state is incomplete; the peer asks another router
	}
	c.Send(from, proto.StateReply{
		Stamp: c.stamp(), Records: records, Head: c.state.NextOffset(), LogReadAge: c.fresh.caughtUpAge(now),
	})
}

func (c *Control) onStateReply(now proto.Instant, m proto.StateReply) {
	results, err := c.state.ApplyReply(m.Records)
	if err != nil {
		c.stats.BadReplies++
		return
	}
	changed := false
	for _, r := range results {
		changed = c.onRecordApplied(now, r) || changed
	}
	if changed {
		c.publishSnapshot(now)
	}
}
