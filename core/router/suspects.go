package router

import (
	"maps"
	"time"

	"github.com/kumquatsill/kumquatsill/core/configlog"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/core/suspect"
)

// startSuspects builds the table of requests that crashed endpoints.
func (c *Control) startSuspects() {
	c.suspectRegister = suspect.NewRegister()
	c.suspects = suspect.New(suspect.Config{
		Self:       c.Self(),
		Router:     c.cfg.ID,
		Seed:       c.cfg.Seed,
		Quarantine: c.quarantineTime,
		Life:       c.engineLife,
		ReadByAll:  c.readByAll,
	}, c.log, c.suspectRegister)
}

// engineLife returns the last incarnation of an endpoint's engine.
func (c *Control) engineLife(id proto.EndpointID) (proto.Incarnation, proto.Instant, bool) {
	life, ok := c.deps.Lives.Of(id)
	return life.Engine, life.Seen, ok
}

// readByAll reports whether every router that this one talks to has read the
// config stream beyond an offset.
func (c *Control) readByAll(offset proto.Offset) bool {
	for id := range maps.Keys(c.peers.chosen) {
		if c.peers.offsets[id] <= offset {
			return false
		}
	}
	return c.state.Next() > offset
}

// foldSuspect passes a folded record on to the register and the table.
func (c *Control) foldSuspect(now proto.Instant, result configlog.Result) {
	if key, ok := c.suspectRegister.Fold(now, result.Record); ok {
		c.suspects.Folded(now, key, result.Record)
		c.suspectsChanged = true
	}
}

func (c *Control) quarantineTime() time.Duration {
	return time.Duration(c.state.Snapshot().Config.Policy.Quarantine)
}
