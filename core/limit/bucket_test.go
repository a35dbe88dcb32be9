package limit

import (
	"fmt"
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/core/note"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"pgregory.net/rapid"
)

// Guards against creating tokens by a change of limits, rounding, duplicated
// messages or expiry: balance plus outstanding stays within the burst, and a
// change of limits never increases the balance.
func TestBucketNeverCreatesTokens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBucket(1000*microPerToken, 5000*microPerToken, 0)
		now := proto.Instant(0)
		var inflow, outflow int64
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			elapsed := rapid.Int64Range(0, int64(3*time.Second)).Draw(t, "elapsed")
			now += proto.Instant(elapsed)
			inflow += b.rate / int64(time.Second/time.Microsecond) * (elapsed/1000 + 1)
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				outflow += b.issue(now, "r", rapid.Uint64Range(1, 9).Draw(t, "call"), 0, 900) * microPerToken
			case 1:
				b.settle(now, "r", []proto.ReturnedGrant{{Call: rapid.Uint64Range(1, 9).Draw(t, "call"), Tokens: 1 << 40}})
			case 2:
				b.advance(now)
				before := b.balance
				rate := rapid.Int64Range(1, 3000).Draw(t, "rate") * microPerToken
				b.setLimit(now, rate, rate*rapid.Int64Range(1, 5).Draw(t, "seconds"))
				if b.balance > before {
					t.Fatalf("the change of limits added %d", b.balance-before)
				}
			case 3:
				b.deduct(rapid.Int64Range(0, 900).Draw(t, "take"))
			}
			var open int64
			for _, i := range b.issued {
				open += i.amount
			}
			if open != b.outstanding || b.balance < 0 || b.balance > max(0, b.burst-b.outstanding) || b.balance > inflow {
				t.Fatalf("balance %d, outstanding %d (sum %d), burst %d, inflow %d", b.balance, b.outstanding, open, b.burst, inflow)
			}
		}
	})
}

// Guards against the limits of parts and slots adding up to more than the
// account's limit.
func TestSharesAddUpToAtMostTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := note.Account{Rate: rapid.Int64Range(1, 1e9).Draw(t, "rate"), Burst: rapid.Int64Range(1, 1e10).Draw(t, "burst")}
		slots := rapid.IntRange(1, 400).Draw(t, "slots")
		extra := rapid.IntRange(0, slots).Draw(t, "extra")
		rate, burst := partLimit(a, extra, slots)
		for range Parts - 1 {
			r, b := partLimit(a, 0, slots)
			rate, burst = rate+r, burst+b
		}
		r, b := slotLimit(a, slots)
		rate, burst = rate+r*int64(slots-extra), burst+b*int64(slots-extra)
		if rate > a.Rate*microPerToken || burst > a.Burst*microPerToken {
			t.Fatalf("rate %d of %d, burst %d of %d", rate, a.Rate*microPerToken, burst, a.Burst*microPerToken)
		}
	})
}

type alwaysHeld struct{}

func (alwaysHeld) Valid(proto.Instant) bool { return true }
func (alwaysHeld) Fence() proto.Offset      { return 1 }

func manyAccounts(n int) map[proto.AccountID]note.Account {
	accounts := map[proto.AccountID]note.Account{}
	for i := range n {
		id := proto.AccountID(fmt.Sprintf("account-%d", i))
		accounts[id] = note.Account{ID: id, Rate: 1 << 30, Burst: 1 << 33}
	}
	return accounts
}

func BenchmarkSpendParallel(b *testing.B) {
	for _, n := range []int{1, 120} {
		b.Run(fmt.Sprintf("accounts=%d", n), func(b *testing.B) {
			l := NewLocalLimiter("r1")
			l.SetAccounts(0, manyAccounts(n))
			var ids []proto.AccountID
			for id, a := range *l.accounts.Load() {
				ids = append(ids, id)
				a.grants = []grant{{left: 1 << 60, total: 1 << 60, requested: 0, expires: proto.Never}}
			}
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for i := 0; pb.Next(); i++ {
					if d := l.Spend(1, ids[i%n], 1); !d.OK {
						b.Error(d.Reason)
					}
				}
			})
		})
	}
}

func BenchmarkHolderStep(b *testing.B) {
	h := NewHolder("r1", Lease{Group: Group("account-0"), Part: 1}, alwaysHeld{})
	h.SetAccounts(0, manyAccounts(1200))
	h.Tick(0)
	now := proto.Instant(time.Minute)
	req := proto.GrantRequest{Account: "account-0", Part: 1, Need: 10}
	b.ReportAllocs()
	for i := range b.N {
		now = now.Add(time.Millisecond)
		req.Call = uint64(i) + 1
		req.Returned = []proto.ReturnedGrant{{Call: uint64(i)}}
		h.Step(now, proto.Envelope{From: proto.RouterAddr("r2"), Msg: req})
		if len(h.Take()) != 1 {
			b.Fatal("no reply")
		}
	}
}

// BenchmarkMemory reports the bytes allocated for a LocalLimiter and one Holder.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{5, 120, 1200} {
		accounts := manyAccounts(n)
		view := SlotView{Slots: make([]Slot, 8)}
		view.Slots[0].Owner = "r1"
		b.Run(fmt.Sprintf("accounts=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				l := NewLocalLimiter("r1")
				l.SetSlots(0, view)
				l.SetAccounts(0, accounts)
				h := NewHolder("r1", Lease{}, alwaysHeld{})
				h.SetAccounts(0, accounts)
			}
		})
	}
}
