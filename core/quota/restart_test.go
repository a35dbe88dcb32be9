package quota_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/core/quota"
)

// listDelay is how long after its start a router reads the list of routers.
const listDelay = 150 * time.Millisecond

// overloadedRestart plays an account that asks for a multiple of its rate at all routers
// alike, while some routers restart at the same moment. All routers send their counts in
// every interval for fullTime after that, and in every second one otherwise. It returns the
// most units that were spent within a window.
func overloadedRestart(routers, restarted int, limit quota.Limit, demand float64, downTime, fullTime, window time.Duration) int64 {
	const (
		unit     = 4_000
		step     = 10 * time.Millisecond
		restarts = 10 * time.Second
		duration = 20 * time.Second
	)
	f := newFleet(routers, limit)
	perStep := demand * float64(limit.Rate) / unit * step.Seconds()
	asked, calls := 0.0, 0
	var spentBy []int64
	for i := range int(duration / step) {
		at := time.Duration(i) * step
		down := at >= restarts && at < restarts+downTime
		if at == restarts+downTime {
			for r := range restarted {
				f.trackers[r] = quota.New(f.now, id(r), int64(1000+r))
				f.trackers[r].Configure(f.now, map[proto.AccountID]quota.Limit{account: limit})
			}
		}
		if at == restarts+downTime+listDelay {
			for r := range restarted {
				f.listMembers(r)
			}
		}
		for asked += perStep; asked >= 1; asked-- {
			calls++
			if r := calls % routers; !down || r >= restarted {
				f.spend(r, unit)
			}
		}
		spentBy = append(spentBy, f.spent)
		f.now = f.now.Add(step)
		for r := range f.trackers {
			// Far peers are sent to every second interval, each router at its own offset.
			interval := 2 * quota.Interval
			if at >= restarts+downTime && at < restarts+downTime+fullTime {
				interval = quota.Interval
			}
			if (i+17*r)%int(interval/step) == 0 && (!down || r >= restarted) {
				f.broadcast(r)
			}
		}
	}
	most, steps := int64(0), int(window/step)
	for i := range len(spentBy) - steps {
		most = max(most, spentBy[i+steps]-spentBy[i])
	}
	return most
}

// Guards against routers that restart together each granting a burst to an account that
// the others know to be beyond its limit (pompas-sur-grown, refusals --seed 277945585294:
// 961,496 units in 8 s, 898,478 allowed).
func TestRestartGrantsNoBurstToOverloadedAccount(t *testing.T) {
	const (
		rate, burst    = 61_793, 222_454
		window         = 8 * time.Second
		overage, slack = 0.1, 110_000
	)
	allowed := int64((rate*window.Seconds()+burst)*(1+overage)) + slack
	for _, fullTime := range []time.Duration{0, 1500 * time.Millisecond} {
		for _, restarted := range []int{5, 15, 24} {
			spent := overloadedRestart(25, restarted, quota.Limit{Rate: rate, Burst: burst}, 30, time.Second, fullTime, window)
			t.Logf("%d of 25 routers restart, counts in every interval for %v: %d units in %v", restarted, fullTime, spent, window)
			if spent > allowed {
				t.Errorf("want at most %d", allowed)
			}
		}
	}
}

// listMembers tells a tracker of all members.
func (f *fleet) listMembers(i int) {
	for j := range f.trackers {
		f.trackers[i].AddMember(f.now, id(j))
	}
	f.trackers[i].MembersListed()
}

// Guards against refusing accounts at the only router of a fleet, until others that do not
// exist have had time to tell what they know.
func TestOnlyRouterGrantsTheBurstAtOnce(t *testing.T) {
	f := &fleet{now: proto.Instant(time.Hour), limit: quota.Limit{Rate: 100, Burst: 1000}}
	f.trackers = append(make([]*quota.Tracker, 0, 1), f.start(0, 1))
	if !f.spend(0, 900) {
		t.Error("refused although there is no other router")
	}
}

// Guards against messages beyond the size of a datagram when many accounts are beyond their
// limits.
func TestExceededAccountsAreBounded(t *testing.T) {
	now := proto.Instant(time.Hour)
	tracker := quota.New(now, "r", 1)
	limits := map[proto.AccountID]quota.Limit{}
	for i := range 1200 {
		limits[proto.AccountID(fmt.Sprint("account-", i))] = quota.Limit{Rate: 10, Burst: 10}
	}
	tracker.Configure(now, limits)
	tracker.MembersListed()
	now = now.Add(3 * time.Second)
	for id := range limits {
		tracker.Spend(now, id, 1000)
	}
	if n := len(tracker.Counts(now, quota.NewSentState(), true, true).Exceeded); n != 100 {
		t.Errorf("%d accounts", n)
	}
}
