package limit

import (
	"slices"

	"github.com/kumquatsill/kumquatsill/core/check"
	"github.com/kumquatsill/kumquatsill/core/note"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// HeldLease is the state of a lease as known to the router that may hold it.
type HeldLease interface {
	// Valid reports whether this router holds the lease at now, by its own clock.
	Valid(now proto.Instant) bool
	// Fence returns the fencing token, which is the log offset of the claim.
	// Renewals keep it; every new claim changes it, even by the same router.
	Fence() proto.Offset
}

// HolderCounts holds a Holder's counters.
type HolderCounts struct {
	// Granted, Returned and Refunded count tokens.
	Granted, Returned, Refunded int64
	// Requests counts messages, NoLease those received without a valid lease or
	// after Export, and Unknown those for unknown accounts.
	Requests, NoLease, Unknown int64
}

// Balance is the state of one account's bucket in a graceful hand-over, in
// tokens. Outstanding grants of the old holder may still be spent for GrantTTL.
type Balance struct {
	Account     proto.AccountID `json:"account"`
	Balance     int64           `json:"balance"`
	Outstanding int64           `json:"outstanding"`
}

// Holder serves the buckets of one part for all accounts of a lease group. It
// grants tokens only while its lease is valid.
type Holder struct {
	proto.Outbox
	// Checks, if set, counts checks of the invariant rate-limit.
	Checks *check.Monitor
	lease  Lease
	held   HeldLease

	fence   proto.Offset
	started bool
	// exported is set once the balances were exported under the current
	// fencing token.
	exported bool
	// refillFrom is when buckets start to refill under the current fencing
	// token.
	refillFrom proto.Instant
	accounts   map[proto.AccountID]note.Account
	buckets    map[proto.AccountID]*bucket

	view SlotView
	// countFrom is when each slot starts to count as unclaimed; Never for a
	// claimed one.
	countFrom []proto.Instant
	// refundSeq is the sequence number of the last refund credited from each
	// router under the current fencing token.
	refundSeq map[proto.RouterID]uint64
	// unclaimed is the number of unclaimed slots included in the limits.
	unclaimed int
	counts    HolderCounts
	stamp     proto.Stamp
}

// SetStamp sets the stamp of outgoing messages.
func (h *Holder) SetStamp(s proto.Stamp) { h.stamp = s }

// NewHolder returns the holder of a lease, without any tokens.
func NewHolder(self proto.RouterID, lease Lease, held HeldLease) *Holder {
	return &Holder{
		Outbox:   proto.NewOutbox(proto.RouterAddr(self)),
		lease:    lease,
		held:     held,
		accounts: map[proto.AccountID]note.Account{},
		buckets:  map[proto.AccountID]*bucket{},

		refundSeq: map[proto.RouterID]uint64{},
	}
}

// SetAccounts replaces the accounts; those of other groups are ignored. Changes
// of rate and burst add no tokens, and a new account starts with an empty bucket.
func (h *Holder) SetAccounts(now proto.Instant, accounts map[proto.AccountID]note.Account) {
	h.refresh(now)
	for id := range h.buckets {
		if _, ok := accounts[id]; !ok {
			delete(h.buckets, id)
		}
	}
	clear(h.accounts)
	for id, a := range accounts {
		if Group(id) != h.lease.Group {
			continue
		}
		h.accounts[id] = a
		h.applyLimit(now, id, a)
	}
}

func (h *Holder) applyLimit(now proto.Instant, id proto.AccountID, a note.Account) {
	rate, burst := partLimit(a, h.unclaimed, len(h.view.Slots))
	if b, ok := h.buckets[id]; ok {
		b.setLimit(now, rate, burst)
		return
	}
	// The account may have been removed recently and have outstanding grants.
	refillFrom := max(h.refillFrom, now.Add(grantLifetime))
	h.buckets[id] = newBucket(rate, burst, refillFrom)
}

// SetSlots sets the view of the static slots. The holder of part 0 adds the
// limits of unclaimed slots to its own while the view is not older than
// MaxViewAge.
func (h *Holder) SetSlots(now proto.Instant, view SlotView) {
	h.refresh(now)
	if h.lease.Part != 0 {
		return
	}
	same := len(view.Slots) == len(h.view.Slots)
	countFrom := make([]proto.Instant, len(view.Slots))
	for i, s := range view.Slots {
		switch {
		case s.Owner != "":
			countFrom[i] = proto.Never
		case same && h.view.Slots[i] == s:
			countFrom[i] = h.countFrom[i]
		default:
			countFrom[i] = now.Add(SlotChangeDelay)
		}
	}
	h.view, h.countFrom = view, countFrom
	if !same {
		// The limit of each slot depends on their number, so none counts for now.
		h.setUnclaimed(now, 0)
	}
	h.refresh(now)
}

// refresh applies a change of the fencing token, and adds or removes the
// limits of unclaimed slots that are due by now. A view that has become too
// old removes them as of that time, so that no tokens of those slots are
// credited after it.
func (h *Holder) refresh(now proto.Instant) {
	if h.held.Valid(now) && (!h.started || h.fence != h.held.Fence()) {
		h.resetBuckets(now)
	}
	if h.lease.Part != 0 {
		return
	}
	staleAt := h.view.ReadAt.Add(MaxViewAge)
	if h.unclaimed > 0 && now >= staleAt {
		h.setUnclaimed(staleAt, 0)
	}
	counted := 0
	for _, from := range h.countFrom {
		if from <= now && now < staleAt {
			counted++
		}
	}
	h.setUnclaimed(now, counted)
}

func (h *Holder) setUnclaimed(now proto.Instant, unclaimed int) {
	if h.unclaimed == unclaimed {
		return
	}
	h.unclaimed = unclaimed
	for id, b := range h.buckets {
		b.setLimit(now, rateOf(h, id), burstOf(h, id))
	}
}

func rateOf(h *Holder, id proto.AccountID) int64 {
	rate, _ := partLimit(h.accounts[id], h.unclaimed, len(h.view.Slots))
	return rate
}

func burstOf(h *Holder, id proto.AccountID) int64 {
	_, burst := partLimit(h.accounts[id], h.unclaimed, len(h.view.Slots))
	return burst
}

// resetBuckets empties all buckets for a new fencing token. The lease of the
// previous holder has ended, but its grants are valid for up to GrantTTL more,
// so buckets start to refill only after that.
func (h *Holder) resetBuckets(now proto.Instant) {
	h.started, h.exported = true, false
	h.fence = h.held.Fence()
	h.refillFrom = now.Add(grantLifetime)
	clear(h.buckets)
	clear(h.refundSeq)
	for id, a := range h.accounts {
		h.applyLimit(now, id, a)
	}
}

// Step handles a GrantRequest; other messages are ignored. Without a valid lease
// and after Export the reply has fence 0 and no tokens. A request that asks for
// no tokens gets no reply.
func (h *Holder) Step(now proto.Instant, in proto.Envelope) {
	req, ok := in.Msg.(proto.GrantRequest)
	if !ok || req.Part != h.lease.Part || Group(req.Account) != h.lease.Group {
		return
	}
	h.counts.Requests++
	h.refresh(now)
	reply := proto.GrantReply{Stamp: h.stamp, Part: req.Part, Call: req.Call}
	if !h.held.Valid(now) || h.exported {
		h.counts.NoLease++
		h.reply(in, req, reply)
		return
	}
	reply.Fence = h.fence
	b, ok := h.buckets[req.Account]
	if !ok {
		h.counts.Unknown++
		h.reply(in, req, reply)
		return
	}
	from := proto.RouterID(in.From.ID)
	h.counts.Returned += b.settle(now, from, req.Returned)
	h.refund(now, b, from, req)
	if req.Need > 0 || req.Want > 0 {
		reply.Tokens = b.issue(now, from, req.Call, req.Need, req.Want)
		h.counts.Granted += reply.Tokens
	}
	reply.Remaining = b.wholeTokens()
	h.Checks.Check(check.RateLimit, b.withinBurst(), func() string {
		return string(req.Account) + ": balance and outstanding grants exceed the part's burst"
	})
	h.reply(in, req, reply)
}

// refund credits a refund at most once, and only up to the burst.
func (h *Holder) refund(now proto.Instant, b *bucket, from proto.RouterID, req proto.GrantRequest) {
	if req.Refund <= 0 || req.RefundFence != h.fence || req.RefundSeq <= h.refundSeq[from] {
		return
	}
	h.refundSeq[from] = req.RefundSeq
	b.advance(now)
	h.counts.Refunded += b.credit(req.Refund)
}

func (h *Holder) reply(in proto.Envelope, req proto.GrantRequest, reply proto.GrantReply) {
	if req.Need > 0 || req.Want > 0 {
		h.Send(in.From, reply)
	}
}

// Tick implements proto.Machine.
func (h *Holder) Tick(now proto.Instant) { h.refresh(now) }

// Wake implements proto.Machine. Ticks are not needed, as all state is updated
// on use.
func (h *Holder) Wake() proto.Instant { return proto.Never }

// Export stops granting tokens under the current fencing token and returns the
// balances for the log record of a graceful hand-over. It returns nil without
// a valid lease.
func (h *Holder) Export(now proto.Instant) []Balance {
	h.refresh(now)
	if !h.held.Valid(now) || h.exported {
		return nil
	}
	h.exported = true
	out := make([]Balance, 0, len(h.buckets))
	for id, b := range h.buckets {
		b.advance(now)
		outstanding := (b.outstanding + microPerToken - 1) / microPerToken
		out = append(out, Balance{Account: id, Balance: b.wholeTokens(), Outstanding: outstanding})
	}
	slices.SortFunc(out, func(x, y Balance) int {
		if x.Account < y.Account {
			return -1
		}
		return 1
	})
	return out
}

// Import sets the balances that the previous holder exported under the lease
// that directly preceded this one. Call it when this lease becomes valid; it has
// no effect on buckets that have started to refill.
func (h *Holder) Import(now proto.Instant, balances []Balance) {
	h.refresh(now)
	if !h.held.Valid(now) || h.exported || now >= h.refillFrom {
		return
	}
	for _, s := range balances {
		b, ok := h.buckets[s.Account]
		if !ok || b.refilledAt <= now || b.outstanding > 0 {
			continue
		}
		b.refilledAt = now
		b.outstanding = max(0, s.Outstanding) * microPerToken
		b.issued = append(b.issued, issue{amount: b.outstanding, expires: now.Add(grantLifetime)})
		b.balance = max(0, min(s.Balance*microPerToken, b.burst-b.outstanding))
	}
}

// Counts returns the counters.
func (h *Holder) Counts() HolderCounts { return h.counts }
