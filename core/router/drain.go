package router

import (
	"github.com/kumquatsill/kumquatsill/core/configlog"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// Drain makes the router refuse new requests. Requests in flight continue; the
// caller calls Leave after the last one.
func (c *Control) Drain(now proto.Instant) {
	c.draining = true
	c.publishSnapshot(now)
}

// Leave releases the leases of this router, deregisters it together with its
// static slot, and appends the remaining audit records. The driver must
// continue to run the router until HasLeft returns true.
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
	body := configlog.Registration{Router: c.cfg.ID, Slot: configlog.NoSlot, Remove: true, Writer: c.cfg.ID}
	if _, err := c.log.Append(now, proto.StreamConfig, configlog.KindRegistration, body); err != nil {
		c.stats.AppendErrors++
	}
}

// HasLeft reports whether the log has confirmed every record that Leave caused.
func (c *Control) HasLeft() bool {
	return c.leaving && c.log.Pending() == 0 && c.audit.trail.Empty()
}
