package router

import (
	"time"

	"github.com/kumquatsill/kumquatsill/core/configlog"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// applyRecord applies one record of the config stream and reports whether the
// state changed.
func (c *Control) applyRecord(now proto.Instant, r proto.Record) bool {
	return c.onRecordApplied(now, c.state.Apply(r))
}

func (c *Control) onRecordApplied(now proto.Instant, result configlog.Result) bool {
	switch result.Outcome {
	case configlog.Stale, configlog.Missing, configlog.Buffered:
		return false
	}
	if result.Record.Kind == configlog.KindLease {
		c.leases.observe(now, c.state.Snapshot())
		c.onLeaseApplied(result)
	}
	if result.Note != nil {
		c.answerNote(*result.Note)
	}
	c.onOperatorRecord(result)
	return true
}

// appendCheckpoint appends the applied state as a checkpoint when one is due.
// The delay until then is random, so that usually only one router appends it.
func (c *Control) appendCheckpoint(now proto.Instant) {
	snap := c.state.Snapshot()
	if !c.ready || !c.checkpointer.Due(now, snap) {
		return
	}
	parts, err := c.state.Checkpoint(c.cfg.ID)
	if err != nil {
		c.stats.CheckpointErrors++
		return
	}
	for _, part := range parts {
		if _, err := c.log.Append(now, proto.StreamConfig, configlog.KindCheckpoint, part); err != nil {
			c.stats.CheckpointErrors++
			return
		}
	}
	c.stats.Checkpoints++
	c.checkpointer.Appended(now, snap)
}

// register registers this router in the log, and again if the registration is
// lost from the log or its slot was given to another router.
func (c *Control) register(now proto.Instant) {
	if !c.ready || c.draining || now < c.registerAt {
		return
	}
	snap := c.state.Snapshot()
	own, known := snap.Routers[c.cfg.ID]
	slot := freeSlot(snap, c.cfg.ID)
	if known && (own.Slot != configlog.NoSlot || slot == configlog.NoSlot) {
		return
	}
	c.registerAt = now.Add(registerRetryInterval)
	body := configlog.Registration{Router: c.cfg.ID, Addr: c.cfg.Addr, Domain: c.cfg.Domain, Slot: slot}
	if _, err := c.log.Append(now, proto.StreamConfig, configlog.KindRegistration, body); err != nil {
		c.stats.AppendErrors++
	}
}

// freeSlot picks a static slot that is not taken. Routers start the search at
// different slots, so that many new routers at once rarely pick the same one.
func freeSlot(snap *configlog.Snapshot, id proto.RouterID) int {
	slots := snap.Config.Policy.StaticSlots
	taken := make([]bool, slots)
	for _, r := range snap.Routers {
		if r.Slot >= 0 && r.Slot < slots {
			taken[r.Slot] = true
		}
	}
	start := int(hashID(string(id)) % uint64(slots))
	for i := range slots {
		if slot := (start + i) % slots; !taken[slot] {
			return slot
		}
	}
	return configlog.NoSlot
}

// removeSilentRouters deregisters routers that have not been heard from for
// routerSilenceTimeout. While any router reports that it cannot read the log, it
// removes none, as a silent router may still be serving because it assumes a
// general outage.
func (c *Control) removeSilentRouters(now proto.Instant) {
	if !c.ready || !c.logReachable(now) || now < c.removeAt || c.fresh.anyPeerWithoutLog(now) {
		return
	}
	c.removeAt = now.Add(minRemoveInterval + time.Duration(c.rng.Int64N(int64(minRemoveInterval))))
	silent := c.peers.silentPeers(now, routerSilenceTimeout)
	if len(silent) > max(1, len(c.peers.selected)/4) {
		return // a network partition; the routers behind it may still be serving
	}
	for _, id := range silent {
		body := configlog.Registration{Router: id, Slot: configlog.NoSlot, Remove: true, Writer: c.cfg.ID}
		if _, err := c.log.Append(now, proto.StreamConfig, configlog.KindRegistration, body); err != nil {
			c.stats.AppendErrors++
		}
	}
}
