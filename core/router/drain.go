package router

import (
	"github.com/kumquatsill/kumquatsill/core/configlog"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// Drain makes the router refuse new requests; those in flight go on. Call
// Leave once none is left.
func (c *Control) Drain(now proto.Instant) {
	c.draining = true
	c.publishSnapshot(now)
}

// Leave gives back what this router holds in the log: its leases, its slot and
// its place among the routers, and the rest of its audit records. The router
// must be driven on until Left.
func (c *Control) Leave(now proto.Instant) {
	if c.leaving {
		return
	}
	c.leaving = true
	if err := c.audit.trail.Close(); err != nil {
		c.stats.AuditErrors++
	}
	c.releaseLeases(now)
	c.deregister(now)
	c.appendAudit(now)
	c.flush(now)
}

func (c *Control) deregister(now proto.Instant) {
	if _, known := c.state.Snapshot().Routers[c.cfg.ID]; !known {
		return
	}
	body := configlog.Registration{Router: c.cfg.ID, Slot: configlog.NoSlot, Gone: true, By: c.cfg.ID}
	if _, err := c.log.Append(now, proto.StreamConfig, configlog.KindRegistration, body); err != nil {
		c.stats.AppendErrors++
	}
}

// HasLeft reports whether the log has confirmed everything since Leave.
func (c *Control) HasLeft() bool {
	return c.leaving && c.log.Pending() == 0 && c.audit.trail.Empty()
}
