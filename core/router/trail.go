package router

import (
	"time"

	"github.com/kumquatsill/kumquatsill/core/audit"
	"github.com/kumquatsill/kumquatsill/core/ledger"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// auditInterval is the time between two audit batches. With 320 routers it
// limits the audit stream to 64 appends/s.
const auditInterval = 5 * time.Second

// auditWriter appends the audit records of ended requests to the log, in
// batches.
type auditWriter struct {
	trail *audit.Trail
	// batch is the id of the append in progress, empty if there is none.
	batch  proto.RecordID
	nextAt proto.Instant
}

func newAuditWriter(cfg Config) auditWriter {
	return auditWriter{trail: audit.NewTrail(cfg.Incarnation, cfg.ID)}
}

func (c *Control) onRequestEnded(m proto.RequestEnded) {
	c.recentRequests.add(m)
	if err := c.audit.trail.Add(m); err != nil {
		c.stats.AuditErrors++
	}
}

// appendAudit appends the next batch after auditInterval, or without delay
// while the router drains.
func (c *Control) appendAudit(now proto.Instant) {
	if c.audit.batch != "" || (now < c.audit.nextAt && !c.draining) {
		return
	}
	batch, ok := c.audit.trail.Next()
	if !ok {
		return
	}
	c.audit.nextAt = now.Add(auditInterval)
	id, err := c.log.Append(now, proto.StreamAudit, audit.KindBatch, batch)
	if err != nil {
		c.stats.AuditErrors++
		c.audit.trail.Retry()
		return
	}
	c.audit.batch = id
}

// onAuditEvent processes the outcome of a batch. A batch whose outcome is
// unknown is appended again; a duplicate is recognized by its hashes.
func (c *Control) onAuditEvent(e ledger.Event) {
	if e.ID != c.audit.batch || e.ID == "" {
		return
	}
	c.audit.batch = ""
	if e.Kind == ledger.EventConfirmed {
		c.audit.trail.Confirm()
		return
	}
	c.audit.trail.Retry()
}
