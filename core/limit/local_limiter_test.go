package limit

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/core/note"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// Guards against data races between the request path and the control machine,
// and against the same tokens being spent by two goroutines.
func TestSpendInParallel(t *testing.T) {
	l := NewLocalLimiter("r1")
	limits := map[proto.AccountID]note.Account{acct: shop}
	l.SetAccounts(0, limits)
	l.SetHolders(map[Lease]proto.RouterID{{Group: Group(acct), Part: 0}: "r2"})
	var spent atomic.Int64
	var workers sync.WaitGroup
	stop := make(chan struct{})
	for range 4 {
		workers.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				if l.Spend(1, acct, 3).OK {
					spent.Add(3)
				}
			}
		})
	}
	var granted int64
	for i := 0; i < 2000 || spent.Load() == 0; i++ {
		l.SetAccounts(1, limits)
		l.Tick(1)
		for _, e := range l.Take() {
			if m, ok := e.Msg.(proto.GrantRequest); ok && m.Need > 0 {
				granted += m.Need
				reply := proto.GrantReply{Account: acct, Call: m.Call, Tokens: m.Need, Remaining: 1000, Fence: 1}
				in := proto.Envelope{From: e.To, To: e.From, Msg: reply}
				l.Step(1, in)
				l.Step(1, in)
			}
		}
	}
	close(stop)
	workers.Wait()
	if spent.Load() > granted {
		t.Errorf("spent %d of %d granted tokens", spent.Load(), granted)
	}
}

// newFullHolder returns the holder of part 1, whose bucket is full a minute
// after now, and a function that sends it one request and returns the reply.
func newFullHolder(t *testing.T, now proto.Instant) (*Holder, func(now proto.Instant, m proto.GrantRequest) proto.GrantReply) {
	h := NewHolder("r1", Lease{Group: Group(acct), Part: 1}, alwaysHeld{})
	h.SetAccounts(now, map[proto.AccountID]note.Account{acct: shop})
	h.Tick(now)
	return h, func(now proto.Instant, m proto.GrantRequest) proto.GrantReply {
		m.Account, m.Part = acct, 1
		h.Step(now, proto.Envelope{From: proto.RouterAddr("r2"), Msg: m})
		out := h.Take()
		if len(out) != 1 {
			t.Fatalf("%d replies", len(out))
		}
		return out[0].Msg.(proto.GrantReply)
	}
}

// Guards against counting a refund or grant again for each duplicate of its
// message.
func TestDoubledMessagesCountOnce(t *testing.T) {
	now := proto.Instant(time.Minute)
	_, ask := newFullHolder(t, 0)
	first := ask(now, proto.GrantRequest{Call: 1, Need: 10_000})
	again := ask(now, proto.GrantRequest{Call: 1, Need: 10_000})
	if first != again || first.Tokens != 10_000 || first.Remaining != 20_000 {
		t.Errorf("first %+v, again %+v", first, again)
	}
	refund := proto.GrantRequest{Call: 2, Need: 1, Refund: 500, RefundSeq: 1, RefundFence: 1}
	refund.Returned = []proto.ReturnedGrant{{Call: 1, Tokens: 1000}}
	for range 2 {
		if got := ask(now, refund); got.Remaining != 20_000+1000+500-1 {
			t.Errorf("remaining %d", got.Remaining)
		}
	}
}

// Guards against a graceful hand-over that loses the balance, ignores outstanding
// grants, or lets the old holder go on granting tokens.
func TestHandOverCarriesBalance(t *testing.T) {
	now := proto.Instant(time.Minute)
	old, ask := newFullHolder(t, 0)
	ask(now, proto.GrantRequest{Call: 1, Need: 6_000})
	balances := old.Export(now)
	if got := ask(now, proto.GrantRequest{Call: 2, Need: 1}); got.Tokens != 0 || got.Fence != 0 {
		t.Errorf("the old holder replied %+v", got)
	}
	next, ask := newFullHolder(t, now)
	next.Import(now, balances)
	next.Import(now, balances)
	if got := ask(now, proto.GrantRequest{Call: 3, Need: 1}); got.Remaining != 23_999 {
		t.Errorf("remaining %d", got.Remaining)
	}
	if got := ask(now.Add(4*time.Second), proto.GrantRequest{Call: 4, Need: 1}); got.Remaining != 23_998 {
		t.Errorf("remaining %d while old grants are outstanding", got.Remaining)
	}
}

// Guards against refusing all requests of an account while no part has a holder,
// and against spending from a slot when the view of the slots is too old.
func TestStaticShareServesWithoutHolders(t *testing.T) {
	l := NewLocalLimiter("r1")
	l.SetAccounts(0, map[proto.AccountID]note.Account{acct: shop})
	view := SlotView{Slots: []Slot{{Owner: "r1", ChangeOffset: 4}, {Owner: "r2", ChangeOffset: 5}}}
	l.SetSlots(0, view)
	// Views may be up to 4 s old, and grants based on them are valid for 5 s.
	view.ReadAt = proto.Instant(9 * time.Second)
	l.SetSlots(view.ReadAt, view)
	if l.Spend(view.ReadAt, acct, 1).OK {
		t.Error("spent from a slot whose tokens grants of part 0 may still include")
	}
	view.ReadAt = proto.Instant(time.Minute)
	l.SetSlots(view.ReadAt, view)
	if d := l.Spend(view.ReadAt, acct, 5000); !d.OK {
		t.Errorf("refused: %+v", d)
	}
	if l.Spend(view.ReadAt.Add(MaxViewAge), acct, 1).OK {
		t.Error("spent from a slot without a fresh view")
	}
	view.Outage = true
	l.SetSlots(view.ReadAt, view)
	if d := l.Spend(view.ReadAt.Add(MaxViewAge), acct, 1); !d.OK {
		t.Errorf("refused in a general outage: %+v", d)
	}
	if d := l.Spend(view.ReadAt.Add(MaxViewAge), acct, 1<<40); d.OK || d.Wait > 0 || d.RetryAfter <= 0 || d.State.Burst != shop.Burst {
		t.Errorf("above burst: %+v", d)
	}
}

// Guards against adding an unclaimed slot to part 0 while its former owner may
// still spend from it, without a fresh view, or after a claim.
func TestUnclaimedSlotsCountToPartZero(t *testing.T) {
	h := NewHolder("r1", Lease{Group: Group(acct), Part: 0}, alwaysHeld{})
	h.SetAccounts(0, map[proto.AccountID]note.Account{acct: shop})
	free := []Slot{{}, {}}
	claimed := []Slot{{Owner: "r3", ChangeOffset: 7}, {}}
	steps := []struct {
		name  string
		at    time.Duration
		slots []Slot
		burst int64
	}{
		{"first view", 0, free, 30_000},
		{"former owner may be stale", 9 * time.Second, free, 30_000},
		{"both free", 60 * time.Second, free, 40_000},
		{"view not fresh", 64 * time.Second, nil, 30_000},
		{"fresh again", 65 * time.Second, free, 40_000},
		{"one claimed", 66 * time.Second, claimed, 35_000},
		{"released", 67 * time.Second, []Slot{{ChangeOffset: 8}, {}}, 35_000},
	}
	for _, s := range steps {
		now := proto.Instant(s.at)
		if s.slots != nil {
			h.SetSlots(now, SlotView{Slots: s.slots, ReadAt: now})
		}
		h.Tick(now)
		b := h.buckets[acct]
		if b.advance(now); b.burst != s.burst*microPerToken || b.balance > b.burst {
			t.Errorf("%s: burst %d, balance %d, want burst %d", s.name, b.burst/microPerToken, b.balance/microPerToken, s.burst)
		}
	}
}
