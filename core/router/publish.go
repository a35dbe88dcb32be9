package router

import (
	"github.com/kumquatsill/kumquatsill/core/exchange"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// publish makes the present state visible to the request path.
func (c *Control) publish(now proto.Instant) {
	old := c.snapshot.Load()
	next := &exchange.Snapshot{
		Config:     c.state.config,
		Stamp:      c.stamp(),
		Ready:      c.ready,
		Draining:   c.draining,
		FreshUntil: c.fresh.until(now, c.cfg.Domain, c.logReachable(now), c.peers.chosen),
	}
	if old == nil || old.Config != next.Config {
		c.deps.Placement.Configure(now, next.Config)
	}
	c.snapshot.Store(next)
}

func (c *Control) stamp() proto.Stamp {
	return proto.Stamp{Revision: c.state.config.Revision, ConfigOffset: c.state.next}
}

// logReachable reports whether this router itself read the head lately.
func (c *Control) logReachable(now proto.Instant) bool {
	at, ok := c.log.HeadReadAt(proto.StreamConfig)
	return ok && now.Sub(at) <= reachableAge
}

func (c *Control) ownBeat(now proto.Instant, call uint64) proto.PeerBeat {
	return proto.PeerBeat{
		Stamp:        c.stamp(),
		Router:       c.cfg.ID,
		Domain:       c.cfg.Domain,
		Call:         call,
		LogReadAge:   c.fresh.age(now),
		LogReachable: c.logReachable(now),
		Leaving:      c.draining,
	}
}

func (c *Control) beat(now proto.Instant) {
	call := c.peers.next(now)
	for _, id := range c.peers.order() {
		c.Send(proto.RouterAddr(id), c.ownBeat(now, call))
	}
}

func (c *Control) onBeat(now proto.Instant, from proto.Addr, m proto.PeerBeat) {
	c.Send(from, proto.PeerBeatReply{Beat: c.ownBeat(now, m.Call)})
	c.catchUp(from, m.Stamp)
}

func (c *Control) onBeatReply(now proto.Instant, m proto.PeerBeatReply) {
	sent, ok := c.peers.sentAt(m.Beat.Call)
	if !ok {
		return
	}
	c.fresh.peer(now, sent, m.Beat, c.state.next)
	c.catchUp(proto.RouterAddr(m.Beat.Router), m.Beat.Stamp)
}

// catchUp asks a peer that knows more for what is missing.
func (c *Control) catchUp(peer proto.Addr, stamp proto.Stamp) {
	if stamp.ConfigOffset > c.state.next {
		c.Send(peer, proto.StateRequest{From: c.state.next})
	}
}

func (c *Control) onStateRequest(now proto.Instant, from proto.Addr, m proto.StateRequest) {
	c.Send(from, proto.StateReply{
		Stamp: c.stamp(), Records: c.state.after(m.From), Head: c.state.next, LogReadAge: c.fresh.age(now),
	})
}

func (c *Control) onStateReply(now proto.Instant, m proto.StateReply) {
	changed := false
	for _, r := range m.Records {
		changed = c.foldRecord(now, r) || changed
	}
	if changed {
		c.publish(now)
	}
}
