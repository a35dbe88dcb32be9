package router

import (
	"maps"
	"slices"
	"time"

	"github.com/kumquatsill/kumquatsill/core/configlog"
	"github.com/kumquatsill/kumquatsill/core/limit"
	"github.com/kumquatsill/kumquatsill/core/note"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// limits holds both sides of the rate limits: the wallet that this router
// spends from, and the buckets of the leases that it may hold.
type limits struct {
	wallet  *limit.LocalLimiter
	holders map[limit.Lease]*limit.Holder
	buckets []limit.Lease
	// lastGrantAt is when a router last granted tokens.
	lastGrantAt map[proto.RouterID]proto.Instant
	// config and assigned are what the parts were last given.
	config   *note.Config
	assigned map[limit.Lease]proto.RouterID
	// bucketHolders is since when this router has seen each bucket with its holder.
	bucketHolders map[limit.Lease]bucketHolder
}

// bucketHolder is one holder's time with a bucket.
type bucketHolder struct {
	holder proto.RouterID
	since  proto.Instant
}

// fundedAfter is the time with a holder after which a bucket counts as funded:
// the wait of a new holder before refill (GrantTTL and a margin), and time for
// the buckets to fill.
const fundedAfter = limit.GrantTTL + time.Second

func newLimits(cfg Config, ls *leases) *limits {
	l := &limits{
		wallet:        limit.NewLocalLimiter(cfg.ID),
		holders:       map[limit.Lease]*limit.Holder{},
		buckets:       bucketLeases(),
		lastGrantAt:   map[proto.RouterID]proto.Instant{},
		bucketHolders: map[limit.Lease]bucketHolder{},
	}
	for _, b := range l.buckets {
		l.holders[b] = limit.NewHolder(cfg.ID, b, ls.byName[bucketLease(b)])
	}
	return l
}

// limiter returns what exchanges spend from.
func (l *limits) limiter(cfg Config) limit.Limiter {
	if cfg.WrapLimiter != nil {
		return cfg.WrapLimiter(l.wallet)
	}
	return l.wallet
}

// configure takes in a new folded state.
func (l *limits) configure(now proto.Instant, snap *configlog.Snapshot, stamp proto.Stamp) {
	if snap.Config != l.config {
		l.config = snap.Config
		l.setAccounts(now, snap.Config.Accounts)
	}
	l.wallet.SetStamp(stamp)
	assigned := map[limit.Lease]proto.RouterID{}
	for _, b := range l.buckets {
		l.holders[b].SetStamp(stamp)
		if state, ok := snap.Lease(bucketLease(b)); ok && !state.Released {
			assigned[b] = state.Holder
		}
		l.observeHolder(now, b, assigned[b])
	}
	if l.assigned == nil || !maps.Equal(assigned, l.assigned) {
		l.assigned = assigned
		l.wallet.SetHolders(assigned)
	}
}

func (l *limits) setAccounts(now proto.Instant, accounts map[proto.AccountID]note.Account) {
	l.wallet.SetAccounts(now, accounts)
	for _, b := range l.buckets {
		l.holders[b].SetAccounts(now, accounts)
	}
}

func (l *limits) observeHolder(now proto.Instant, b limit.Lease, holder proto.RouterID) {
	switch {
	case holder == "":
		delete(l.bucketHolders, b)
	case l.bucketHolders[b].holder != holder:
		l.bucketHolders[b] = bucketHolder{holder: holder, since: now}
	}
}

// isFunded reports whether every bucket had its holder for long enough to
// have tokens.
func (l *limits) isFunded(now proto.Instant) bool {
	for _, b := range l.buckets {
		if t, ok := l.bucketHolders[b]; !ok || now.Sub(t.since) < fundedAfter {
			return false
		}
	}
	return true
}

// setSlots passes on who owns which static slot, and how fresh that is.
func (l *limits) setSlots(now proto.Instant, view limit.SlotView) {
	l.wallet.SetSlots(now, view)
	for _, b := range l.buckets {
		l.holders[b].SetSlots(now, view)
	}
}

func slotView(snap *configlog.Snapshot, readAt proto.Instant, outage bool) limit.SlotView {
	view := limit.SlotView{Slots: make([]limit.Slot, snap.Config.Policy.StaticSlots), ReadAt: readAt, Outage: outage}
	for id, r := range snap.Routers {
		if r.Slot >= 0 && r.Slot < len(view.Slots) {
			view.Slots[r.Slot] = limit.Slot{Owner: id, ChangeOffset: r.SlotOffset}
		}
	}
	return view
}

// step passes a message to the side that it is for.
func (l *limits) step(now proto.Instant, in proto.Envelope) {
	if m, ok := in.Msg.(proto.GrantRequest); ok {
		if h := l.holders[limit.Lease{Group: limit.Group(m.Account), Part: m.Part}]; h != nil {
			h.Step(now, in)
		}
		return
	}
	if m, ok := in.Msg.(proto.GrantReply); ok {
		l.recordGrant(now, in.From, m)
	}
	l.wallet.Step(now, in)
}

func (l *limits) tick(now proto.Instant) {
	l.wallet.Tick(now)
	for _, b := range l.buckets {
		l.holders[b].Tick(now)
	}
}

func (l *limits) take() []proto.Envelope {
	out := l.wallet.Take()
	for _, b := range l.buckets {
		out = append(out, l.holders[b].Take()...)
	}
	return out
}

// skipGrantWait lets buckets refill at once after a restart of all routers. A
// new holder otherwise waits until the grants of the previous one have run
// out. If that one was replaced at its address, it can give no more, and once
// every router has said that it holds none of its grants there is nothing to
// wait for.
func (c *Control) skipGrantWait(now proto.Instant, state *configlog.Snapshot) {
	if state.Removed != 0 {
		return // a router that was removed by another may still run
	}
	for _, b := range c.limits.buckets {
		l, ok := state.Lease(bucketLease(b))
		if !ok || l.Freed == 0 || l.Holder != c.cfg.ID || !c.noGrantsLeft(now, state, l) {
			continue
		}
		c.limits.holders[b].Import(now, emptyBalances(state, b))
	}
}

// noGrantsLeft reports whether nobody holds a grant of a lease's former holder.
func (c *Control) noGrantsLeft(now proto.Instant, state *configlog.Snapshot, l configlog.LeaseState) bool {
	for id, r := range state.Routers {
		if id == c.cfg.ID || r.Offset >= l.Freed {
			continue
		}
		if !c.peers.hasNoGrants(id, l.FreedFrom, l.Freed) {
			return false
		}
	}
	return !c.limits.mayHoldGrant(now, l.FreedFrom)
}

// recordGrant notes from whom this router has grants.
func (l *limits) recordGrant(now proto.Instant, from proto.Addr, m proto.GrantReply) {
	if m.Tokens > 0 {
		l.lastGrantAt[proto.RouterID(from.ID)] = now
	}
}

// mayHoldGrant reports whether a grant of a holder may not have run out.
func (l *limits) mayHoldGrant(now proto.Instant, holder proto.RouterID) bool {
	at, ok := l.lastGrantAt[holder]
	return ok && now.Sub(at) <= limit.GrantTTL
}

// grantsFromRemoved lists former routers of which this one may hold a grant.
func (l *limits) grantsFromRemoved(now proto.Instant, registered map[proto.RouterID]configlog.RouterState) []proto.RouterID {
	var gone []proto.RouterID
	for id := range l.lastGrantAt {
		if !l.mayHoldGrant(now, id) {
			delete(l.lastGrantAt, id)
			continue
		}
		if _, ok := registered[id]; !ok {
			gone = append(gone, id)
		}
	}
	slices.Sort(gone)
	return gone
}

func emptyBalances(state *configlog.Snapshot, b limit.Lease) []limit.Balance {
	var balances []limit.Balance
	for id := range state.Config.Accounts {
		if limit.Group(id) == b.Group {
			balances = append(balances, limit.Balance{Account: id})
		}
	}
	return balances
}

// OnUrgent sets what the request path calls when the control machine should
// be ticked without delay. It must be set before the first request; a driver
// with one thread needs none, as Wake says the same.
func (c *Control) OnUrgent(f func()) { c.limits.wallet.OnUrgent = f }
