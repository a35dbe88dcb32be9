package quota_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/core/quota"
	"pgregory.net/rapid"
)

const account = proto.AccountID("a")

// fleet simulates trackers that exchange counts over links that can be cut.
type fleet struct {
	now      proto.Instant
	trackers []*quota.Tracker
	cut      map[[2]int]bool
	limit    quota.Limit
	spent    int64
}

func id(i int) proto.RouterID { return proto.RouterID(fmt.Sprint("r", i)) }

func newFleet(n int, limit quota.Limit) *fleet {
	f := &fleet{now: proto.Instant(time.Hour), cut: map[[2]int]bool{}, limit: limit}
	for i := range n {
		f.trackers = append(f.trackers, f.start(i, int64(i)))
	}
	f.exchange()
	f.exchange()
	return f
}

func (f *fleet) start(i int, incarnation int64) *quota.Tracker {
	t := quota.New(f.now, id(i), incarnation)
	t.Configure(f.now, map[proto.AccountID]quota.Limit{account: f.limit})
	for j := range cap(f.trackers) {
		t.AddMember(f.now, id(j))
	}
	t.MembersListed()
	t.RestoreExceeded(f.now, nil) // the store holds no account beyond its limit
	return t
}

// exchange delivers one message from each tracker to every other one, and
// advances the time by one interval.
func (f *fleet) exchange() {
	for i := range f.trackers {
		f.broadcast(i)
	}
	f.now = f.now.Add(quota.Interval)
}

// broadcast delivers one message from a tracker to every other one.
func (f *fleet) broadcast(i int) {
	f.deliver(i, f.trackers[i].Counts(f.now, quota.NewSentState(), true, true))
}

// deliver delivers a message of a tracker to every other one.
func (f *fleet) deliver(i int, counts quota.Counts) {
	for j, to := range f.trackers {
		if i != j && !f.cut[[2]int{i, j}] {
			to.Merge(f.now, counts)
		}
	}
}

func (f *fleet) spend(i int, units int64) bool {
	ok := f.trackers[i].Spend(f.now, account, units).OK
	if ok {
		f.spent += units
	}
	return ok
}

// Guards against refusing an account that stays within its limit when all its
// requests go to one router.
func TestSkewedDemandIsNotRefused(t *testing.T) {
	f := newFleet(4, quota.Limit{Rate: 1000, Burst: 1000})
	for range 50 {
		if !f.spend(0, 190) {
			t.Fatal("refused although the account asks 950 units/s of 1000")
		}
		f.exchange()
	}
}

// Guards against exceeding the limit by more than what routers spend before they
// hear of each other's spending: rate x time + burst, plus up to one burst for
// each of the other routers.
func TestGreedyAccountStaysWithinLimit(t *testing.T) {
	const seconds = 8
	f := newFleet(4, quota.Limit{Rate: 1000, Burst: 1000})
	for range seconds * 5 {
		for i := range f.trackers {
			for f.spend(i, 10) {
			}
		}
		f.exchange()
	}
	limit := int64(1000*seconds+1000) + 3*1000
	if f.spent > limit {
		t.Fatalf("spent %d units in %d s, more than %d", f.spent, seconds, limit)
	}
}

// Guards against both sides of a partition spending the whole rate: whichever
// groups of routers are cut off from each other, in one direction or both, the
// sum of the groups' shares stays within the whole.
func TestSharesAddUpUnderAnyPartition(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(2, 6).Draw(rt, "routers")
		f := newFleet(n, quota.Limit{Rate: 1000, Burst: 1000})
		group := make([]int, n)
		for i := range group {
			group[i] = rapid.IntRange(0, 2).Draw(rt, "group")
		}
		oneWay := rapid.Bool().Draw(rt, "one way")
		for i := range n {
			for j := range n {
				if group[i] < group[j] || group[i] > group[j] && !oneWay {
					f.cut[[2]int{i, j}] = true
				}
			}
		}
		for range 30 {
			f.exchange()
		}
		sum := map[int]float64{}
		total := 0.0
		for i, tr := range f.trackers {
			share, _ := tr.Share(f.now)
			sum[group[i]] = share
		}
		for _, share := range sum {
			total += share
		}
		if total > 1.0001 {
			rt.Fatalf("the shares of the groups %v add up to %.3f", sum, total)
		}
	})
}

// Guards against counting a peer's spending twice, or not at all, after lost,
// duplicated and delayed messages and a restart of the peer.
func TestCountsSurviveLossRepetitionAndRestart(t *testing.T) {
	f := newFleet(2, quota.Limit{Rate: 1, Burst: 1000})
	f.spend(1, 300)
	late := f.trackers[1].Counts(f.now, quota.NewSentState(), true, true)
	f.spend(1, 200)
	f.exchange()
	f.trackers[0].Merge(f.now, f.trackers[1].Counts(f.now, quota.NewSentState(), true, true))
	f.trackers[0].Merge(f.now, late)
	f.trackers[0].Merge(f.now, f.trackers[1].Counts(f.now, quota.NewSentState(), true, true))
	f.trackers[1] = f.start(1, -99) // the clock has been set back meanwhile
	f.exchange()
	f.spend(1, 10)
	f.exchange()
	f.trackers[0].Merge(f.now, late) // from the previous incarnation
	d := f.trackers[0].Spend(f.now, account, 1)
	if d.Balance < 485 || d.Balance > 495 {
		t.Fatalf("balance %d after spending 510 of 1000", d.Balance)
	}
}

// Guards against refusing an account for long after a partition has healed, when
// the counts of the other side arrive all at once.
func TestBalanceHasAFloor(t *testing.T) {
	f := newFleet(2, quota.Limit{Rate: 1000, Burst: 1000})
	f.trackers[0].Merge(f.now, quota.Counts{Router: id(1), Incarnation: 1, HasHeardMembers: true, HeardMembers: []quota.RouterHash{quota.HashRouter(id(0))}, Spent: map[proto.AccountID]int64{account: 1_000_000}})
	if d := f.trackers[0].Spend(f.now, account, 1); d.RetryAfter > 1100*time.Millisecond {
		t.Fatalf("the account has to wait %v", d.RetryAfter)
	}
}

// Guards against never admitting a request larger than the burst.
func TestRequestBeyondBurstPassesWithFullBucket(t *testing.T) {
	f := newFleet(1, quota.Limit{Rate: 100, Burst: 100})
	if !f.spend(0, 500) {
		t.Fatal("refused with a full bucket")
	}
	if f.spend(0, 1) {
		t.Fatal("allowed although the balance is -400 units")
	}
}

// Guards against never admitting a request as large as the burst, as what peers may have
// spent is needed besides.
func TestRequestBeyondBurstPassesBesidePeers(t *testing.T) {
	f := newFleet(2, quota.Limit{Rate: 100, Burst: 100})
	for range 20 {
		f.spend(0, 5)
		f.spend(1, 5)
		f.exchange()
	}
	for range 20 { // the bucket becomes full
		f.exchange()
	}
	if !f.spend(0, 500) {
		t.Fatal("refused with a full bucket")
	}
}

// Guards against granting the burst to an account beyond its limit that the store or a peer
// names before the configuration is read.
func TestExceededAccountIsKnownBeforeConfiguration(t *testing.T) {
	now := proto.Instant(time.Hour)
	tracker := quota.New(now, "r", 1)
	tracker.RestoreExceeded(now, map[proto.AccountID]int64{account: 0})
	tracker.MembersListed()
	tracker.Configure(now, map[proto.AccountID]quota.Limit{account: {Rate: 100, Burst: 1000}})
	if d := tracker.Spend(now, account, 10); d.OK {
		t.Fatalf("admitted with balance %d", d.Balance)
	}
}

// Guards against naming an account for ever that was removed while it was beyond its limit,
// as each router that starts reads it from the store.
func TestRemovedAccountIsNoLongerNamed(t *testing.T) {
	now := proto.Instant(time.Hour)
	tracker := quota.New(now, "r", 1)
	tracker.Configure(now, map[proto.AccountID]quota.Limit{account: {Rate: 100, Burst: 1000}})
	tracker.RestoreExceeded(now, map[proto.AccountID]int64{"removed": -5})
	if levels := tracker.Exceeded(now); len(levels) != 0 {
		t.Errorf("names %v", levels)
	}
}

// Guards against charging for requests that did not run.
func TestRefund(t *testing.T) {
	f := newFleet(1, quota.Limit{Rate: 1, Burst: 100})
	f.spend(0, 100)
	f.trackers[0].Refund(f.now, account, 100)
	if !f.spend(0, 100) {
		t.Fatal("the refund is missing")
	}
}

// Guards against reserving a share indefinitely for a router that is gone for
// good.
func TestSilentMemberIsRemoved(t *testing.T) {
	f := newFleet(2, quota.Limit{Rate: 1000, Burst: 1000})
	f.now = f.now.Add(2 * time.Second)
	if share, _ := f.trackers[0].Share(f.now); share != 0.5 {
		t.Fatalf("share %v, want 0.5 with one of two routers silent", share)
	}
	f.now = f.now.Add(time.Minute)
	if share, _ := f.trackers[0].Share(f.now); share != 1 {
		t.Fatalf("share %v, want 1 a minute after the other router was last heard", share)
	}
}

// Guards against incremental messages that lose counts: counts that were sent
// before are omitted, and a lost message is made up for by the next complete one.
func TestIncrementalMessages(t *testing.T) {
	f := newFleet(2, quota.Limit{Rate: 1, Burst: 1000})
	to := quota.NewSentState()
	f.trackers[1].Counts(f.now, to, true, false)
	if c := f.trackers[1].Counts(f.now, to, false, false); len(c.Spent) != 0 || c.HeardMembers != nil {
		t.Fatalf("%+v repeats what was sent before", c)
	}
	f.spend(1, 300)
	f.trackers[1].Counts(f.now, to, false, false) // lost
	f.trackers[0].Merge(f.now, f.trackers[1].Counts(f.now, to, false, false))
	for range 5 {
		f.trackers[0].Merge(f.now, f.trackers[1].Counts(f.now, to, true, false))
	}
	if d := f.trackers[0].Spend(f.now, account, 1); d.Balance > 700 {
		t.Fatalf("balance %d after the peer has spent 300 of 1000", d.Balance)
	}
}

// Guards against refusing accounts within their limit after a restart of all
// routers, until the buckets have refilled (incident e4c4 of pompas-sur: 90
// refusals in 4 s).
func TestRestartOfAllRoutersLeavesTheBurst(t *testing.T) {
	f := &fleet{now: proto.Instant(time.Hour), cut: map[[2]int]bool{}, limit: quota.Limit{Rate: 100, Burst: 1000}}
	f.trackers = make([]*quota.Tracker, 0, 4)
	for i := range 4 {
		f.trackers = append(f.trackers, f.start(i, int64(i)))
	}
	if d := f.trackers[0].Spend(f.now, account, 1); d.Balance > 250 {
		t.Fatalf("balance %d before any other router was heard", d.Balance)
	}
	f.exchange()
	f.exchange()
	if !f.spend(0, 900) {
		t.Fatal("refused 0.4 s after the restart of all routers")
	}
}

// Guards against refusing accounts at a restarted router that charges what its
// peers have spent since their own start, as these counts arrive piece by piece
// (incident 8551 of kcm-ops: balances of -139,564).
func TestRestartedRouterDoesNotChargeOldSpending(t *testing.T) {
	f := newFleet(2, quota.Limit{Rate: 1000, Burst: 1000})
	for range 50 {
		f.spend(1, 150)
		f.exchange()
	}
	to := quota.NewSentState()
	f.trackers[1].Counts(f.now, to, true, true)
	f.trackers[0] = f.start(0, 99)
	f.trackers[0].Merge(f.now, f.trackers[1].Counts(f.now, to, true, false)) // contains no counts, as none has changed
	f.spend(1, 100)
	f.trackers[0].Merge(f.now, f.trackers[1].Counts(f.now, to, false, false))
	f.now = f.now.Add(quota.Interval)
	if d := f.trackers[0].Spend(f.now, account, 500); !d.OK {
		t.Fatalf("refused with balance %d", d.Balance)
	}
	f.trackers[1].Spend(f.now, account, 300)
	f.trackers[0].Merge(f.now, f.trackers[1].Counts(f.now, to, false, false))
	if d := f.trackers[0].Spend(f.now, account, 500); d.OK {
		t.Fatalf("a peer's spending after the restart was not charged, balance %d", d.Balance)
	}
}
