package router

import (
	"time"

	"github.com/kumquatsill/kumquatsill/core/configlog"
	"github.com/kumquatsill/kumquatsill/core/limit"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// limits holds both sides of the rate limits: the wallet that this router
// spends from, and the buckets of the leases that it may hold.
type limits struct {
	wallet  *limit.Wallet
	holders map[limit.Lease]*limit.Holder
	order   []limit.Lease
	// held is since when this router has seen each bucket with its holder.
	held map[limit.Lease]tenure
}

// tenure is one holder's time with a bucket.
type tenure struct {
	holder proto.RouterID
	since  proto.Instant
}

// fundedAfter is the time with a holder after which a bucket counts as funded:
// the wait of a new holder before refill (GrantTTL and a margin), and time for
// the buckets to fill.
const fundedAfter = limit.GrantTTL + time.Second

func newLimits(cfg Config, ls *leases) *limits {
	l := &limits{
		wallet:  limit.NewWallet(cfg.ID),
		holders: map[limit.Lease]*limit.Holder{},
		order:   bucketLeases(),
		held:    map[limit.Lease]tenure{},
	}
	for _, b := range l.order {
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
	l.wallet.SetAccounts(now, snap.Config.Accounts)
	l.wallet.SetStamp(stamp)
	holders := map[limit.Lease]proto.RouterID{}
	for _, b := range l.order {
		l.holders[b].SetAccounts(now, snap.Config.Accounts)
		l.holders[b].SetStamp(stamp)
		if state, ok := snap.Lease(bucketLease(b)); ok && !state.Released {
			holders[b] = state.Holder
		}
		l.observeHolder(now, b, holders[b])
	}
	l.wallet.SetHolders(holders)
}

func (l *limits) observeHolder(now proto.Instant, b limit.Lease, holder proto.RouterID) {
	switch {
	case holder == "":
		delete(l.held, b)
	case l.held[b].holder != holder:
		l.held[b] = tenure{holder: holder, since: now}
	}
}

// isFunded reports whether every bucket had its holder for long enough to
// have tokens.
func (l *limits) isFunded(now proto.Instant) bool {
	for _, b := range l.order {
		if t, ok := l.held[b]; !ok || now.Sub(t.since) < fundedAfter {
			return false
		}
	}
	return true
}

// setSlots passes on who owns which static slot, and how fresh that is.
func (l *limits) setSlots(now proto.Instant, view limit.SlotView) {
	l.wallet.SetSlots(now, view)
	for _, b := range l.order {
		l.holders[b].SetSlots(now, view)
	}
}

func slotView(snap *configlog.Snapshot, readAt proto.Instant, outage bool) limit.SlotView {
	view := limit.SlotView{Slots: make([]limit.Slot, snap.Config.Policy.StaticSlots), ReadAt: readAt, Outage: outage}
	for id, r := range snap.Routers {
		if r.Slot >= 0 && r.Slot < len(view.Slots) {
			view.Slots[r.Slot] = limit.Slot{Owner: id, Claimed: r.SlotOffset}
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
	l.wallet.Step(now, in)
}

func (l *limits) tick(now proto.Instant) {
	l.wallet.Tick(now)
	for _, b := range l.order {
		l.holders[b].Tick(now)
	}
}

func (l *limits) take() []proto.Envelope {
	out := l.wallet.Take()
	for _, b := range l.order {
		out = append(out, l.holders[b].Take()...)
	}
	return out
}

// OnUrgent sets what the request path calls when the control machine should
// be ticked without delay. It must be set before the first request; a driver
// with one thread needs none, as Wake says the same.
func (c *Control) OnUrgent(f func()) { c.limits.wallet.OnUrgent = f }
