package router

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/kumquatsill/kumquatsill/core/configlog"
	"github.com/kumquatsill/kumquatsill/core/lease"
	"github.com/kumquatsill/kumquatsill/core/ledger"
	"github.com/kumquatsill/kumquatsill/core/limit"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

const (
	// rolloutLease is the lease of the router that sends orders to engines.
	rolloutLease = "rollout"
	// takeoverStagger is the time between the attempts of successive routers to
	// claim a free lease, so that they do not all claim it at once.
	takeoverStagger = time.Second
	// singleRouterDelay is how long the only registered router waits for others
	// before it claims leases.
	singleRouterDelay = 2 * time.Second
	// minLeaseInterval is the minimum time between two checks of the leases.
	// Wake of a lease that waits for other routers may return a time that has
	// come.
	minLeaseInterval = 20 * time.Millisecond
	// extendInterval is the time between two rounds of promise requests during
	// an outage of the log.
	extendInterval = time.Second
)

// leases holds this router's view of all leases.
type leases struct {
	self   proto.RouterID
	names  []string
	byName map[string]*managedLease
	// pending maps each append in progress to the leases that its record
	// updates.
	pending  map[proto.RecordID][]*managedLease
	extendAt proto.Instant
	// wakeAt is when the leases must be checked next.
	wakeAt proto.Instant
	// registeredAt is when this router first saw its own registration.
	registeredAt proto.Instant
	// claimingSince is when this router began to claim leases.
	claimingSince proto.Instant
	lastCall      uint64
	// rankedRouters holds the routers from which the ranks were computed.
	rankedRouters map[proto.RouterID]configlog.RouterState
}

// managedLease is a lease together with this router's data about it.
type managedLease struct {
	*lease.Lease
	name string
	// group and part identify the lease among the parts of one group, which
	// should be held by different routers.
	group string
	part  int
	// lastUpdate is the offset of the last record on the lease. freeAt is when the
	// lease may be claimed unless another record follows.
	lastUpdate proto.Offset
	freeAt     proto.Instant
	// rank is the position of this router among the candidates for the lease.
	rank int
}

// Valid implements limit.HeldLease.
func (ml *managedLease) Valid(now proto.Instant) bool {
	_, ok := ml.Held(now)
	return ok
}

// Fence implements limit.HeldLease.
func (ml *managedLease) Fence() proto.Offset {
	state, _ := ml.State()
	return state.Fence
}

func bucketLease(l limit.Lease) string { return fmt.Sprintf("bucket/%d/%d", l.Group, l.Part) }

func bucketLeases() []limit.Lease {
	var all []limit.Lease
	for g := range limit.Groups {
		for p := range limit.Parts {
			all = append(all, limit.Lease{Group: g, Part: p})
		}
	}
	return all
}

func newLeases(cfg Config) *leases {
	l := &leases{self: cfg.ID, byName: map[string]*managedLease{}, pending: map[proto.RecordID][]*managedLease{}}
	for _, b := range bucketLeases() {
		l.add(lease.Config{Name: bucketLease(b), Self: cfg.ID, Seed: cfg.Seed}, fmt.Sprintf("bucket/%d", b.Group), b.Part)
	}
	l.add(lease.Config{Name: rolloutLease, Self: cfg.ID, Seed: cfg.Seed}, rolloutLease, 0)
	return l
}

func (l *leases) add(cfg lease.Config, group string, part int) {
	l.names = append(l.names, cfg.Name)
	l.byName[cfg.Name] = &managedLease{Lease: lease.New(cfg), name: cfg.Name, group: group, part: part, lastUpdate: configlog.NoOffset}
}

// observe updates the leases from a changed config state.
func (l *leases) observe(now proto.Instant, snap *configlog.Snapshot) {
	l.rank(snap)
	for _, name := range l.names {
		ml := l.byName[name]
		ml.Observe(now, snap)
		state, known := snap.Lease(name)
		if known && state.LastUpdate != ml.lastUpdate {
			ml.lastUpdate = state.LastUpdate
			ml.freeAt = now.Add(state.TTL)
			if state.Released {
				ml.freeAt = now
			}
		}
	}
}

// rank recomputes this router's ranks if the registered routers changed.
func (l *leases) rank(snap *configlog.Snapshot) {
	if l.rankedRouters != nil && maps.Equal(l.rankedRouters, snap.Routers) {
		return
	}
	l.rankedRouters = snap.Routers
	for _, name := range l.names {
		l.byName[name].rank = rankOf(l.self, l.byName[name].group, l.byName[name].part, snap)
	}
}

// rankOf returns the position of a router among the candidates for a lease. The
// candidates are ordered by a hash, so that leases spread over the routers and
// every router knows whose turn it is. The parts of a group start at different
// positions of the same order: if one router held all parts, its loss would
// leave the accounts of the group without tokens.
func rankOf(self proto.RouterID, group string, part int, snap *configlog.Snapshot) int {
	own := hashID(group + "/" + string(self))
	place, others := 0, 0
	for id := range snap.Routers {
		if id == self {
			continue
		}
		others++
		if hashID(group+"/"+string(id)) < own {
			place++
		}
	}
	n := others + 1
	return ((place-part)%n + n) % n
}

// isTurnToClaim reports whether it is this router's turn to claim a free lease.
// A lease that was never held counts as free from claimFrom on.
func (ml *managedLease) isTurnToClaim(now, claimFrom proto.Instant) bool {
	return now >= max(ml.freeAt, claimFrom).Add(time.Duration(ml.rank)*takeoverStagger)
}

// advanceLeases appends the claims and renewals that are due. All renewals share
// one record.
func (c *Control) advanceLeases(now proto.Instant) {
	c.leases.wakeAt = proto.Never
	if !c.ready || c.leaving {
		return
	}
	if !c.mayClaim(now) {
		return
	}
	var renewals []*managedLease
	for _, name := range c.leases.names {
		ml := c.leases.byName[name]
		rec, ok := ml.NextRecord(now, ml.isTurnToClaim(now, c.leases.claimingSince))
		switch {
		case !ok:
		case rec.Action == configlog.LeaseRenew:
			renewals = append(renewals, ml)
		default:
			c.appendLease(now, rec, ml)
		}
	}
	if len(renewals) > 0 {
		c.appendLease(now, configlog.Lease{Action: configlog.LeaseRenew, Holder: c.cfg.ID, TTL: lease.DefaultTTL}, renewals...)
	}
	c.extendLeases(now)
	c.leases.wakeAt = max(c.leases.wake(), now.Add(minLeaseInterval))
}

// mayClaim reports whether this router is registered and has had time to see
// the others. Otherwise the first router of a new fleet would claim every lease.
func (c *Control) mayClaim(now proto.Instant) bool {
	routers := c.state.Snapshot().Routers
	if _, registered := routers[c.cfg.ID]; !registered {
		return false
	}
	if c.leases.registeredAt == 0 {
		c.leases.registeredAt = now
	}
	if len(routers) == 1 && now < c.leases.registeredAt.Add(singleRouterDelay) {
		return false
	}
	if c.leases.claimingSince == 0 {
		c.leases.claimingSince = now
	}
	return true
}

func (c *Control) appendLease(now proto.Instant, rec configlog.Lease, updated ...*managedLease) {
	id, err := c.log.Append(now, proto.StreamConfig, configlog.KindLease, rec)
	if err != nil {
		c.stats.AppendErrors++
		return
	}
	c.log.SetDeadline(id, now.Add(lease.DefaultTTL))
	c.leases.pending[id] = updated
	for _, ml := range updated {
		ml.AppendSent(now, id, rec)
	}
}

// onLeaseApplied tells the leases that a lease record of this router was applied.
func (c *Control) onLeaseApplied(result configlog.Result) {
	updated, ok := c.leases.pending[result.Record.ID]
	if !ok {
		return
	}
	delete(c.leases.pending, result.Record.ID)
	for _, ml := range updated {
		ml.RecordApplied(result)
	}
}

// onLeaseAppendUnconfirmed processes an append that ended without confirmation.
func (c *Control) onLeaseAppendUnconfirmed(e ledger.Event) {
	updated, ok := c.leases.pending[e.ID]
	if !ok {
		return
	}
	final := e.Kind == ledger.EventRefused || e.Kind == ledger.EventAbsent && e.Final
	if final {
		delete(c.leases.pending, e.ID)
	}
	for _, ml := range updated {
		ml.AppendFailed(e.ID, final)
	}
}

// extendLeases asks the other routers for promises while the log is unreachable.
func (c *Control) extendLeases(now proto.Instant) {
	if c.logReachable(now) || now < c.leases.extendAt {
		return
	}
	c.leases.extendAt = now.Add(extendInterval)
	snap := c.state.Snapshot()
	for _, name := range c.leases.names {
		c.leases.lastCall++
		req, routers, ok := c.leases.byName[name].RequestPromises(now, c.leases.lastCall, snap)
		if !ok {
			continue
		}
		slices.SortFunc(routers, cmp.Compare[proto.RouterID])
		for _, id := range routers {
			c.Send(proto.RouterAddr(id), req)
		}
	}
}

func (c *Control) onPromiseRequest(now proto.Instant, from proto.Addr, m proto.PromiseRequest) {
	ml := c.leases.byName[m.Lease]
	if ml == nil {
		return
	}
	c.Send(from, ml.HandlePromiseRequest(now, m, c.logReachable(now)))
}

func (c *Control) onPromiseReply(now proto.Instant, from proto.Addr, m proto.PromiseReply) {
	if ml := c.leases.byName[m.Lease]; ml != nil {
		ml.HandlePromiseReply(now, proto.RouterID(from.ID), m)
	}
}

// releaseLeases releases the leases that this router holds, so that others can
// claim them without waiting for their expiry.
func (c *Control) releaseLeases(now proto.Instant) {
	for _, name := range c.leases.names {
		ml := c.leases.byName[name]
		if rec, ok := ml.Release(now, 0); ok {
			c.appendLease(now, rec, ml)
		}
	}
}

// wake returns the earliest time at which a lease must be checked.
func (l *leases) wake() proto.Instant {
	wake := proto.Never
	for _, name := range l.names {
		ml := l.byName[name]
		wake = min(wake, ml.Wake(ml.rank == 0))
	}
	return wake
}
