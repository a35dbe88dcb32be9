package router

import (
	"github.com/kumquatsill/kumquatsill/core/configlog"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/core/rollout"
)

// updateRollout passes the current configuration to the rollout planner, and
// whether this router may send orders to engines.
func (c *Control) updateRollout(now proto.Instant, state *configlog.Snapshot) {
	c.rollout.Configure(now, state.Config, c.stamp())
	c.checkRolloutLease(now)
}

// checkRolloutLease passes to the planner whether the rollout lease is still
// valid on this router's clock. It runs before each use of the planner.
func (c *Control) checkRolloutLease(now proto.Instant) {
	fence, held := c.leases.byName[rolloutLease].Held(now)
	state, _ := c.leases.byName[rolloutLease].State()
	c.rollout.SetLease(now, fence, held, state.CleanTransfer)
}

func (c *Control) tickRollout(now proto.Instant) {
	c.checkRolloutLease(now)
	c.rollout.Tick(now)
}

func (c *Control) onProbeReply(now proto.Instant, m proto.ProbeReply) {
	if m.Request == rollout.ProbeRequest {
		c.rollout.HandleReport(now, m.Report)
		c.deps.EndpointTable.Observe(now, m.Report)
	}
}
