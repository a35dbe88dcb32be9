package router

import (
	"time"

	"github.com/kumquatsill/kumquatsill/core/configlog"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// applyRecord folds one record of the config stream and reports whether the
// state changed.
func (c *Control) applyRecord(now proto.Instant, r proto.Record) bool {
	return c.onRecordApplied(now, c.state.Fold(r))
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

// appendCheckpoint appends the folded state if this router is the first to find
// that the newest appendCheckpoint is getting old.
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

// register announces this router in the log, and again when the log has lost
// it or gave its slot to another.
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

// freeSlot picks a static slot that nobody holds. Routers start their search
// at different slots, so that a herd of new ones rarely wants the same.
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

// removeSilentRouters takes routers off the register from which nothing was heard
// for a long time. While any router says that it cannot read the log, a silent
// one may be serving in the belief of a general outage, and is left alone.
func (c *Control) removeSilentRouters(now proto.Instant) {
	if !c.ready || !c.logReachable(now) || now < c.removeAt || c.fresh.anyPeerWithoutLog(now) {
		return
	}
	c.removeAt = now.Add(minRemoveInterval + time.Duration(c.rng.Int64N(int64(minRemoveInterval))))
	silent := c.peers.silentPeers(now, routerSilenceTimeout)
	if len(silent) > max(1, len(c.peers.selected)/4) {
		return // a partition, in which those behind it may go on serving
	}
	for _, id := range silent {
		body := configlog.Registration{Router: id, Slot: configlog.NoSlot, Gone: true, By: c.cfg.ID}
		if _, err := c.log.Append(now, proto.StreamConfig, configlog.KindRegistration, body); err != nil {
			c.stats.AppendErrors++
		}
	}
}
