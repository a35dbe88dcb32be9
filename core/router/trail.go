package router

import (
	"time"

	"github.com/kumquatsill/kumquatsill/core/audit"
	"github.com/kumquatsill/kumquatsill/core/ledger"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// auditInterval is the time between two batches. With 320 routers it keeps
// the audit stream at 64 appends/s.
const auditInterval = 5 * time.Second

// auditWriter passes the records of ended requests on to the log.
type auditWriter struct {
	trail *audit.Trail
	// batch is the append under way, empty if there is none.
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

// appendAudit sends the next batch, at once while the router drains.
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

// onAuditEvent takes in what became of a batch. One whose fate is unknown is
// sent again: a doubled batch is recognised by its hashes.
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
