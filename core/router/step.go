package router

import (
	"math/rand/v2"

	"github.com/kumquatsill/kumquatsill/core/exchange"
	"github.com/kumquatsill/kumquatsill/core/ledger"
	"github.com/kumquatsill/kumquatsill/core/limit"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/core/route"
)

// unlimited admits everything. It stands here until the buckets are in place.
type unlimited struct{}

func (unlimited) Spend(proto.Instant, proto.AccountID, int64) limit.Decision {
	return limit.Decision{OK: true, Reason: "no limit"}
}

func (unlimited) Refund(proto.Instant, proto.AccountID, int64) {}

func newControl(cfg Config) *Control {
	rng := rand.New(rand.NewPCG(cfg.Seed, 1))
	self := proto.RouterAddr(cfg.ID)
	c := &Control{
		Outbox: proto.NewOutbox(self),
		cfg:    cfg,
		rng:    rng,
		log:    ledger.New(ledger.Config{Self: self, Incarnation: cfg.Incarnation, Seed: cfg.Seed}),
		state:  newFold(),
		fresh:  newFreshness(),
		peers:  newPeers(cfg.ID, rng),
		notes:  map[proto.RecordID]submission{},
	}
	if cfg.Placement == nil {
		cfg.Placement = route.NewView(route.ViewConfig{Domain: cfg.Domain, Seed: cfg.Seed})
	}
	if cfg.Limits == nil {
		cfg.Limits = unlimited{}
	}
	c.deps = &exchange.Deps{
		Self:      self,
		Snapshot:  c.snapshot.Load,
		Limits:    cfg.Limits,
		Placement: cfg.Placement,
		Budget:    exchange.NewBudget(),
		Stats:     &exchange.Stats{},
		Checks:    cfg.Checks,
	}
	c.log.Follow(proto.StreamConfig, 0)
	c.publish(0)
	return c
}

// Deps returns what exchanges of this router share.
func (c *Control) Deps() *exchange.Deps { return c.deps }

// Snapshot returns the state in force. It is safe for concurrent use.
func (c *Control) Snapshot() *exchange.Snapshot { return c.snapshot.Load() }

// Drain makes the router refuse new requests; those in flight go on.
func (c *Control) Drain(now proto.Instant) {
	c.draining = true
	c.publish(now)
}

// Step implements proto.Machine.
func (c *Control) Step(now proto.Instant, in proto.Envelope) {
	switch m := in.Msg.(type) {
	case proto.LogAppended, proto.LogRecords, proto.LogFailed:
		c.log.Step(now, in)
	case proto.PeerBeat:
		c.onBeat(now, in.From, m)
	case proto.PeerBeatReply:
		c.onBeatReply(now, m)
	case proto.StateRequest:
		c.onStateRequest(now, in.From, m)
	case proto.StateReply:
		c.onStateReply(now, m)
	case proto.NoteSubmit:
		c.onNoteSubmit(now, in.From, m)
	}
	c.settle(now)
}

// Tick implements proto.Machine.
func (c *Control) Tick(now proto.Instant) {
	c.log.Tick(now)
	if now >= c.peers.beatAt {
		c.beat(now)
	}
	if now >= c.workAt {
		c.workAt = now.Add(housekeepingInterval)
		c.expireNotes(now)
		c.publish(now)
	}
	c.settle(now)
}

// Wake implements proto.Machine.
func (c *Control) Wake() proto.Instant {
	return proto.Earliest(c.log.Wake(), c.peers.beatAt, c.workAt)
}

// settle takes in what the log client reports and passes its messages on.
func (c *Control) settle(now proto.Instant) {
	changed := false
	for _, e := range c.log.Events() {
		changed = c.onLogEvent(now, e) || changed
	}
	if at, ok := c.log.HeadReadAt(proto.StreamConfig); ok {
		c.fresh.headRead(at)
		changed = changed || !c.ready
		c.ready = true
	}
	if changed {
		c.publish(now)
	}
	c.Forward(c.log.Take())
}

func (c *Control) onLogEvent(now proto.Instant, e ledger.Event) bool {
	switch e.Kind {
	case ledger.EventRecord:
		return e.Stream == proto.StreamConfig && c.foldRecord(now, e.Record)
	case ledger.EventRefused, ledger.EventUnknown, ledger.EventAbsent:
		c.noteFailed(e)
	}
	return false
}
