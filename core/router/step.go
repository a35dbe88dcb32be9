package router

import (
	"math/rand/v2"

	"github.com/kumquatsill/kumquatsill/core/configlog"
	"github.com/kumquatsill/kumquatsill/core/exchange"
	"github.com/kumquatsill/kumquatsill/core/ledger"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/core/rollout"
	"github.com/kumquatsill/kumquatsill/core/route"
)

// NewControl returns a control state machine without state, for a driver that
// runs exchanges in separate goroutines.
func NewControl(cfg Config) *Control {
	rng := rand.New(rand.NewPCG(cfg.Seed, 1))
	self := proto.RouterAddr(cfg.ID)
	c := &Control{
		Outbox:      proto.NewOutbox(self),
		cfg:         cfg,
		rng:         rng,
		log:         ledger.New(ledger.Config{Self: self, Incarnation: cfg.Incarnation, Seed: cfg.Seed}),
		state:       configlog.NewState(cfg.Checks),
		fresh:       newFreshness(),
		peers:       newPeers(cfg.ID, rng),
		submissions: map[proto.RecordID]*submission{},
		audit:       newAuditWriter(cfg),

		recentRequests: newRecentRequests(),
	}
	if cfg.Retention == 0 {
		cfg.Retention = DefaultRetention
	}
	if cfg.RetainedRecords == 0 {
		cfg.RetainedRecords = DefaultRetainedRecords
	}
	if cfg.Placement == nil {
		cfg.Placement = route.NewView(route.ViewConfig{Domain: cfg.Domain, Seed: cfg.Seed})
	}
	c.leases = newLeases(cfg)
	c.rollout = rollout.New(self)
	c.limits = newLimits(cfg, c.leases)
	c.deps = &exchange.Deps{
		Self:          self,
		Snapshot:      c.snapshot.Load,
		Limits:        c.limits.limiter(cfg),
		Placement:     cfg.Placement,
		RetryBudget:   exchange.NewRetryBudget(),
		Stats:         &exchange.Stats{},
		Checks:        cfg.Checks,
		EndpointTable: exchange.NewEndpointTable(),
	}
	c.initSuspects()
	c.checkpointer = configlog.NewCheckpointer(cfg.Retention, cfg.RetainedRecords, cfg.Seed)
	c.log.Follow(proto.StreamConfig, 0)
	c.publishSnapshot(0)
	return c
}

// Deps returns the dependencies that all exchanges of this router share.
func (c *Control) Deps() *exchange.Deps { return c.deps }

// Snapshot returns the state that requests are currently decided on. It is safe
// for concurrent use.
func (c *Control) Snapshot() *exchange.Snapshot { return c.snapshot.Load() }

// Step implements proto.Machine.
func (c *Control) Step(now proto.Instant, in proto.Envelope) {
	c.now = now
	switch m := in.Msg.(type) {
	case proto.LogAppended, proto.LogRecords, proto.LogFailed:
		if !c.onSearchReply(now, in) {
			c.log.Step(now, in)
		}
	case proto.PeerBeat:
		c.onPeerBeat(now, in.From, m)
	case proto.PeerBeatReply:
		c.onPeerBeatReply(now, m)
	case proto.StateRequest:
		c.onStateRequest(now, in.From, m)
	case proto.StateReply:
		c.onStateReply(now, m)
	case proto.NoteSubmit:
		c.onNoteSubmit(now, in.From, m)
	case proto.HistoryQuery, proto.ConfigQuery, proto.StatusQuery, proto.ExplainQuery, proto.QuarantineLift:
		c.onOperator(now, in)
	case proto.GrantRequest, proto.GrantReply, proto.TokenRequest, proto.TokenReply:
		c.limits.step(now, in)
	case proto.HostList:
		c.onHostList(now, m)
	case proto.ProbeReply:
		c.onProbeReply(now, m)
	case proto.OrderDone:
		c.rollout.Done(now, m)
	case proto.PromiseRequest:
		c.onPromiseRequest(now, in.From, m)
	case proto.PromiseReply:
		c.onPromiseReply(now, in.From, m)
	case proto.IntentWanted:
		c.onIntentWanted(now, m)
	case proto.OutcomeKnown:
		if c.intents != nil {
			c.intents.HandleOutcome(now, m)
		}
	case proto.IntentDropped:
		if c.intents != nil {
			c.intents.HandleDropped(now, m)
		}
	case proto.CrashSeen:
		c.suspects.CrashSeen(now, m)
		c.suspectsChanged = true
	case proto.TrialWanted:
		c.suspects.HandleWanted(now, m)
	case proto.TrialEnded:
		c.suspects.TrialEnded(now, m)
		c.suspectsChanged = true
	case proto.RequestEnded:
		c.onRequestEnded(m)
	}
	c.flush(now)
}

// Tick implements proto.Machine.
func (c *Control) Tick(now proto.Instant) {
	c.now = now
	c.log.Tick(now)
	if now >= c.peers.heartbeatAt {
		c.sendHeartbeats(now)
	}
	if now >= c.housekeepingAt {
		c.housekeepingAt = now.Add(housekeepingInterval)
		c.expireSubmissions(now)
		c.register(now)
		c.removeSilentRouters(now)
		c.appendCheckpoint(now)
		c.appendAudit(now)
		c.publishSnapshot(now)
	}
	if c.intents != nil {
		c.intents.Tick(now)
	}
	c.suspects.Tick(now)
	c.tickSearches(now)
	c.advanceLeases(now)
	c.limits.tick(now)
	c.tickRollout(now)
	c.flush(now)
}

// Wake implements proto.Machine.
func (c *Control) Wake() proto.Instant {
	wake := proto.Earliest(c.log.Wake(), c.peers.heartbeatAt, c.housekeepingAt, c.searches.wake())
	if c.intents != nil {
		wake = min(wake, c.intents.Wake())
	}
	return proto.Earliest(wake, c.suspects.Wake(c.now), c.leases.wakeAt, c.limits.local.Wake(), c.rollout.Wake())
}

// flush processes the events of the log client, publishes a new snapshot if
// they changed the state, and collects the outgoing messages of all components.
func (c *Control) flush(now proto.Instant) {
	changed := false
	for _, e := range c.log.Events() {
		changed = c.onLogEvent(now, e) || changed
	}
	if at, ok := c.log.HeadReadAt(proto.StreamConfig); ok {
		c.fresh.markCaughtUp(at)
		if !c.ready && c.state.Snapshot().Complete {
			c.ready = true
			changed = true
		}
	}
	if changed || c.suspectsChanged {
		c.publishSnapshot(now)
	}
	c.Forward(c.suspects.Take())
	c.Forward(c.limits.take())
	c.Forward(c.rollout.Take())
	if c.intents != nil {
		c.Forward(c.intents.Take())
	}
	c.Forward(c.log.Take())
}

// onLogEvent processes one event of the log client and reports whether the
// config state changed.
func (c *Control) onLogEvent(now proto.Instant, e ledger.Event) bool {
	switch e.Stream {
	case proto.StreamConfig:
		return c.onConfigEvent(now, e)
	case proto.StreamAudit:
		c.onAuditEvent(e)
	default:
		if c.intents != nil {
			c.intents.Event(now, e)
		}
	}
	return false
}

func (c *Control) onConfigEvent(now proto.Instant, e ledger.Event) bool {
	if e.Kind != ledger.EventRecord && e.Kind != ledger.EventGap {
		c.suspects.Event(now, e)
	}
	switch e.Kind {
	case ledger.EventRecord:
		return c.applyRecord(now, e.Record)
	case ledger.EventGap:
		c.state.Skip(e.Offset)
	case ledger.EventRefused, ledger.EventUnknown, ledger.EventAbsent:
		c.onSubmissionFailed(e)
		c.onLeaseAppendUnconfirmed(e)
	}
	return false
}
