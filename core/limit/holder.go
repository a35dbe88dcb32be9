package limit

import (
	"slices"

	"github.com/kumquatsill/kumquatsill/core/check"
	"github.com/kumquatsill/kumquatsill/core/note"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// HeldLease is the holder's view of its lease, by its own clock.
type HeldLease interface {
	// Valid reports whether the lease holds at now.
	Valid(now proto.Instant) bool
	// Fence is the offset of the claim. It stays the same over renewals and
	// changes with every new claim, also one by the same router.
	Fence() proto.Offset
}

// HolderCounts counts what a Holder did, in tokens or messages.
type HolderCounts struct {
	Granted, Returned, Refunded int64
	Requests, NoLease, Unknown  int64
}

// Balance is one account's state in a graceful hand-over, in tokens.
// Outstanding grants of the old holder may still be spent for GrantTTL.
type Balance struct {
	Account     proto.AccountID `json:"account"`
	Balance     int64           `json:"balance"`
	Outstanding int64           `json:"outstanding"`
}

// Holder is the bucket of one part, for every account of a lease group. It
// answers only while its lease is valid.
type Holder struct {
	proto.Outbox
	// Checks, if set, counts checks of the invariant rate-limit.
	Checks *check.Monitor
	lease  Lease
	held   HeldLease

	fence    proto.Offset
	started  bool
	exported bool
	// start is the instant from which buckets of the present fence refill.
	start    proto.Instant
	accounts map[proto.AccountID]note.Account
	buckets  map[proto.AccountID]*bucket

	view     SlotView
	freeFrom []proto.Instant
	// refundSeq is the last refund taken from each router under this fence.
	refundSeq map[proto.RouterID]uint64
	extra     int
	counts    HolderCounts
	stamp     proto.Stamp
}

// SetStamp sets the stamp of outgoing messages.
func (h *Holder) SetStamp(s proto.Stamp) { h.stamp = s }

// NewHolder returns the holder of a lease. It holds no tokens.
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

// SetAccounts replaces the accounts; those of other groups are ignored.
// Changes of rate and burst add no tokens, and a new account starts empty.
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
	rate, burst := partLimit(a, h.extra, len(h.view.Slots))
	if b, ok := h.buckets[id]; ok {
		b.setLimit(now, rate, burst)
		return
	}
	// The account may have been withdrawn a moment ago with grants still out.
	start := max(h.start, now.Add(issueLife))
	h.buckets[id] = newBucket(rate, burst, start)
}

// SetSlots gives the present view of the static slots. The holder of part 0
// counts unclaimed slots while the view is fresh.
func (h *Holder) SetSlots(now proto.Instant, view SlotView) {
	h.refresh(now)
	if h.lease.Part != 0 {
		return
	}
	same := len(view.Slots) == len(h.view.Slots)
	freeFrom := make([]proto.Instant, len(view.Slots))
	for i, s := range view.Slots {
		switch {
		case s.Owner != "":
			freeFrom[i] = proto.Never
		case same && h.view.Slots[i] == s:
			freeFrom[i] = h.freeFrom[i]
		default:
			freeFrom[i] = now.Add(SlotChangeDelay)
		}
	}
	h.view, h.freeFrom = view, freeFrom
	if !same {
		// Shares of slots change with their number, so none counts at present.
		h.setExtra(now, 0)
	}
	h.refresh(now)
}

// refresh applies a change of fence, and the start and end of unclaimed
// slots' shares at the instants at which they are due.
func (h *Holder) refresh(now proto.Instant) {
	if h.held.Valid(now) && (!h.started || h.fence != h.held.Fence()) {
		h.restart(now)
	}
	if h.lease.Part != 0 {
		return
	}
	lapse := h.view.ReadAt.Add(MaxViewAge)
	if h.extra > 0 && now >= lapse {
		h.setExtra(lapse, 0)
	}
	free := 0
	for _, from := range h.freeFrom {
		if from <= now && now < lapse {
			free++
		}
	}
	h.setExtra(now, free)
}

func (h *Holder) setExtra(now proto.Instant, extra int) {
	if h.extra == extra {
		return
	}
	h.extra = extra
	for id, b := range h.buckets {
		b.setLimit(now, rateOf(h, id), burstOf(h, id))
	}
}

func rateOf(h *Holder, id proto.AccountID) int64 {
	rate, _ := partLimit(h.accounts[id], h.extra, len(h.view.Slots))
	return rate
}

func burstOf(h *Holder, id proto.AccountID) int64 {
	_, burst := partLimit(h.accounts[id], h.extra, len(h.view.Slots))
	return burst
}

// restart empties every bucket. The earlier holder's lease has ended by now,
// but its grants live on for GrantTTL, so refill starts only after that.
func (h *Holder) restart(now proto.Instant) {
	h.started, h.exported = true, false
	h.fence = h.held.Fence()
	h.start = now.Add(issueLife)
	clear(h.buckets)
	clear(h.refundSeq)
	for id, a := range h.accounts {
		h.applyLimit(now, id, a)
	}
}

// Step answers a GrantRequest; other messages are ignored. Without a valid
// lease the reply has fence 0 and no tokens.
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
	reply.Remaining = b.whole()
	h.Checks.Check(check.RateLimit, b.within(), func() string {
		return string(req.Account) + ": balance and outstanding grants exceed the part's burst"
	})
	h.reply(in, req, reply)
}

// refund credits tokens at most once, and only as far as the bucket has room.
func (h *Holder) refund(now proto.Instant, b *bucket, from proto.RouterID, req proto.GrantRequest) {
	if req.Refund <= 0 || req.RefundFence != h.fence || req.RefundSeq <= h.refundSeq[from] {
		return
	}
	h.refundSeq[from] = req.RefundSeq
	b.advance(now)
	h.counts.Refunded += b.put(req.Refund)
}

func (h *Holder) reply(in proto.Envelope, req proto.GrantRequest, reply proto.GrantReply) {
	if req.Need > 0 || req.Want > 0 {
		h.Send(in.From, reply)
	}
}

// Tick implements proto.Machine.
func (h *Holder) Tick(now proto.Instant) { h.refresh(now) }

// Wake implements proto.Machine. All state is brought up to date on use.
func (h *Holder) Wake() proto.Instant { return proto.Never }

// Export ends the holder's answers under the present fence and returns the
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
		outstanding := (b.outstanding + micro - 1) / micro
		out = append(out, Balance{Account: id, Balance: b.whole(), Outstanding: outstanding})
	}
	slices.SortFunc(out, func(x, y Balance) int {
		if x.Account < y.Account {
			return -1
		}
		return 1
	})
	return out
}

// Import takes over balances that the previous holder exported under the lease
// that directly preceded this one. Call it when this lease becomes valid; it
// has no effect once a bucket has begun to refill.
func (h *Holder) Import(now proto.Instant, balances []Balance) {
	h.refresh(now)
	if !h.held.Valid(now) || h.exported || now >= h.start {
		return
	}
	for _, s := range balances {
		b, ok := h.buckets[s.Account]
		if !ok || b.last <= now || b.outstanding > 0 {
			continue
		}
		b.last = now
		b.outstanding = max(0, s.Outstanding) * micro
		b.issued = append(b.issued, issue{amount: b.outstanding, expires: now.Add(issueLife)})
		b.balance = max(0, min(s.Balance*micro, b.burst-b.outstanding))
	}
}

// Counts returns what the holder did so far.
func (h *Holder) Counts() HolderCounts { return h.counts }
