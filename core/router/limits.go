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

// limits holds both sides of rate limiting: the local limiter that the requests
// of this router spend from, and the buckets that it manages while it holds
// their leases.
type limits struct {
	local   *limit.LocalLimiter
	holders map[limit.Lease]*limit.Holder
	buckets []limit.Lease
	// lastGrantAt is when each router last granted tokens to this one.
	lastGrantAt map[proto.RouterID]proto.Instant
	// config and assigned are the values last passed to the limiter and holders.
	config   *note.Config
	assigned map[limit.Lease]proto.RouterID
	// bucketHolders holds the current holder of each bucket and since when this
	// router has known it as the holder.
	bucketHolders map[limit.Lease]bucketHolder
}

// bucketHolder is a router that holds a bucket, and since when.
type bucketHolder struct {
	holder proto.RouterID
	since  proto.Instant
}

// fundedAfter is how long a bucket must have had the same holder to count as
// funded: the time that a new holder waits before it refills the bucket
// (GrantTTL and a margin), and the time that the refill takes.
const fundedAfter = limit.GrantTTL + time.Second

func newLimits(cfg Config, ls *leases) *limits {
	l := &limits{
		local:         limit.NewLocalLimiter(cfg.ID),
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

// limiter returns the limiter that exchanges spend tokens from.
func (l *limits) limiter(cfg Config) limit.Limiter {
	if cfg.WrapLimiter != nil {
		return cfg.WrapLimiter(l.local)
	}
	return l.local
}

// configure passes a changed config state to the limiter and the holders.
func (l *limits) configure(now proto.Instant, snap *configlog.Snapshot, stamp proto.Stamp) {
	if snap.Config != l.config {
		l.config = snap.Config
		l.setAccounts(now, snap.Config.Accounts)
	}
	l.local.SetStamp(stamp)
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
		l.local.SetHolders(assigned)
	}
}

func (l *limits) setAccounts(now proto.Instant, accounts map[proto.AccountID]note.Account) {
	l.local.SetAccounts(now, accounts)
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

// isFunded reports whether every bucket has had its holder for long enough to
// contain tokens.
func (l *limits) isFunded(now proto.Instant) bool {
	for _, b := range l.buckets {
		if h, ok := l.bucketHolders[b]; !ok || now.Sub(h.since) < fundedAfter {
			return false
		}
	}
	return true
}

// setSlots passes on the owners of the static slots and the age of that data.
func (l *limits) setSlots(now proto.Instant, view limit.SlotView) {
	l.local.SetSlots(now, view)
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

// step passes a message to the local limiter or to the bucket that it is for.
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
	l.local.Step(now, in)
}

func (l *limits) tick(now proto.Instant) {
	l.local.Tick(now)
	for _, b := range l.buckets {
		l.holders[b].Tick(now)
	}
}

func (l *limits) take() []proto.Envelope {
	out := l.local.Take()
	for _, b := range l.buckets {
		out = append(out, l.holders[b].Take()...)
	}
	return out
}

// skipGrantWait lets buckets refill without delay after a restart of all
// routers. Otherwise a new holder waits until the grants of the former one have
// expired. If the former holder was replaced at its address, it can grant
// nothing more, and once every router has said that it holds none of its grants
// the wait is unnecessary.
func (c *Control) skipGrantWait(now proto.Instant, state *configlog.Snapshot) {
	if state.LastRemoval != 0 {
		return // a router that another one deregistered may still be running
	}
	for _, b := range c.limits.buckets {
		l, ok := state.Lease(bucketLease(b))
		if !ok || l.ReplacedAt == 0 || l.Holder != c.cfg.ID || !c.noGrantsLeft(now, state, l) {
			continue
		}
		c.limits.holders[b].Import(now, emptyBalances(state, b))
	}
}

// noGrantsLeft reports whether no router holds a grant of the former holder of a
// lease.
func (c *Control) noGrantsLeft(now proto.Instant, state *configlog.Snapshot, l configlog.LeaseState) bool {
	for id, r := range state.Routers {
		if id == c.cfg.ID || r.Offset >= l.ReplacedAt {
			continue
		}
		if !c.peers.hasNoGrants(id, l.ReplacedHolder, l.ReplacedAt) {
			return false
		}
	}
	return !c.limits.mayHoldGrant(now, l.ReplacedHolder)
}

// recordGrant records when a router granted tokens to this one.
func (l *limits) recordGrant(now proto.Instant, from proto.Addr, m proto.GrantReply) {
	if m.Tokens > 0 {
		l.lastGrantAt[proto.RouterID(from.ID)] = now
	}
}

// mayHoldGrant reports whether a grant of the given holder may still be valid.
func (l *limits) mayHoldGrant(now proto.Instant, holder proto.RouterID) bool {
	at, ok := l.lastGrantAt[holder]
	return ok && now.Sub(at) <= limit.GrantTTL
}

// grantsFromRemoved lists the routers that are no longer registered but whose
// grants this one may still hold.
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

// OnTickNeeded sets a function that the request path calls when the control state
// machine needs a tick without delay. It must be set before the first request.
// A single-threaded driver does not need it, because Wake then returns a time
// that has come.
func (c *Control) OnTickNeeded(f func()) { c.limits.local.OnTickNeeded = f }
