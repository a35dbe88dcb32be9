package router

import (
	"maps"
	"slices"

	"github.com/kumquatsill/kumquatsill/core/configlog"
	"github.com/kumquatsill/kumquatsill/core/intent"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// initIntents creates the intent table once the first release note has set the
// number of shards, which no later note may change.
func (c *Control) initIntents(state *configlog.Snapshot) {
	if c.intents != nil || !c.ready || state.Revision == 0 {
		return
	}
	c.intents = intent.New(intent.Config{
		Self:      c.Self(),
		Router:    c.cfg.ID,
		Shards:    state.Config.Policy.IntentShards,
		Retention: c.cfg.Retention,
		Checks:    c.cfg.Checks,
	}, c.log)
}

// updateIntents passes the registered routers to the intent table if the table
// is new or the routers have changed.
func (c *Control) updateIntents(state *configlog.Snapshot, routersChanged bool) {
	hadTable := c.intents != nil
	c.initIntents(state)
	if c.intents == nil || hadTable && !routersChanged {
		return
	}
	ids := slices.Sorted(maps.Keys(state.Routers))
	if !slices.Contains(ids, c.cfg.ID) {
		ids = append(ids, c.cfg.ID)
	}
	c.intents.SetRouters(ids)
}

// onIntentWanted passes an intent to the intent table, or refuses it while
// there is no table.
func (c *Control) onIntentWanted(now proto.Instant, m proto.IntentWanted) {
	if c.intents == nil {
		c.Send(c.Self(), proto.IntentDecided{
			Request: m.Request, Cause: proto.CauseNotReady, Verdict: proto.NotRun, RetryAfter: registerRetryInterval,
		})
		return
	}
	c.intents.HandleWanted(now, m)
}
