package quota_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/core/quota"
)

// crowd is the outcome of an account far beyond its limit with many callers.
type crowd struct {
	asked, served, refusals int
	promises, finalTimes    int
	returned, kept          int
}

// playCrowd plays callers that ask for a multiple of the rate at all routers of a fleet alike,
// and return once to any router when they were promised a time. They wait for at most
// remaining in all.
func playCrowd(f *fleet, demand float64, duration, remaining time.Duration) crowd {
	const (
		unit = 1_500
		step = 10 * time.Millisecond
	)
	var c crowd
	random := rand.New(rand.NewPCG(1, 2))
	sent := make([]*quota.SentState, len(f.trackers))
	for r := range sent {
		sent[r] = quota.NewSentState()
	}
	returning := map[time.Duration]int{}
	due := 0.0
	for at := time.Duration(0); at < duration; at += step {
		for due += demand * float64(f.limit.Rate) / unit * step.Seconds(); due >= 1; due-- {
			c.asked++
			d := f.trackers[random.IntN(len(f.trackers))].Admit(f.now, account, quota.Request{Units: unit, Key: random.Uint64(), Remaining: remaining})
			switch {
			case d.OK:
				c.served++
				f.spent += unit
			case d.Promised:
				c.refusals++
				c.promises++
				returning[(at+d.RetryAfter).Truncate(step)]++
			default:
				c.refusals++
				c.finalTimes++
			}
		}
		for range returning[at] {
			d := f.trackers[random.IntN(len(f.trackers))].Admit(f.now, account, quota.Request{Units: unit, Key: random.Uint64(), Remaining: remaining / 2, Returning: true})
			if c.returned++; !d.OK {
				c.refusals++
				continue
			}
			c.kept++
			c.served++
			f.spent += unit
		}
		f.now = f.now.Add(step)
		for r, t := range f.trackers {
			if tick := int(at/step) + 17*r; tick%int(2*quota.Interval/step) == 0 {
				full := tick%int(10*quota.Interval/step) == 0
				f.deliver(r, t.Counts(f.now, sent[r], full, false))
			}
		}
	}
	return c
}

// Guards against callers of an account far beyond its limit that are all told the same time
// and refused again when they return, while new requests take what has accrued (6,614
// refusals in a day, told 188 ms for a debt of seconds), also where one router of 29 is
// parted from the others.
func TestPromisesToACrowdAreKept(t *testing.T) {
	const (
		rate, burst         = 412_000, 412_000
		duration, remaining = 20 * time.Second, 6 * time.Second
		minKept             = 0.85
		minServed           = 0.8
	)
	for _, parted := range []bool{false, true} {
		f := newFleet(29, quota.Limit{Rate: rate, Burst: burst})
		if parted {
			for other := range 28 {
				f.cut[[2]int{28, other}], f.cut[[2]int{other, 28}] = true, true
			}
		}
		c := playCrowd(f, 6, duration, remaining)
		t.Logf("parted %v: %+v, %d units", parted, c, f.spent)
		if kept := float64(c.kept) / float64(c.returned); kept < minKept {
			t.Errorf("parted %v: %.2f of the promises were kept, want at least %v", parted, kept, minKept)
		}
		if allowed := allowedUnits(f.limit, duration); f.spent > allowed {
			t.Errorf("parted %v: %d units, %d allowed", parted, f.spent, allowed)
		}
		if want := int64(minServed * rate * duration.Seconds()); f.spent < want {
			t.Errorf("parted %v: %d units, want at least %d", parted, f.spent, want)
		}
	}
}

// Guards against a balance that was promised to one request and taken by a new one, against a
// promise that holds it for ever, and against a promise beyond what the caller waits.
func TestPromisedBalanceIsKeptForItsRequest(t *testing.T) {
	const rate, remaining = 1000, 6 * time.Second
	fresh := func(key uint64) quota.Request { return quota.Request{Units: 500, Key: key, Remaining: remaining} }
	start := func() (*fleet, *quota.Tracker, quota.Decision) {
		f := newFleet(1, quota.Limit{Rate: rate, Burst: 1000})
		f.trackers[0].Spend(f.now, account, 1000)
		d := f.trackers[0].Admit(f.now, account, fresh(1))
		if d.OK || !d.Promised || d.RetryAfter != 500*time.Millisecond {
			t.Fatalf("first refusal: %+v", d)
		}
		f.now = f.now.Add(d.RetryAfter)
		return f, f.trackers[0], d
	}
	f, tracker, _ := start()
	if d := tracker.Admit(f.now, account, fresh(2)); d.OK || !d.Promised || d.RetryAfter < 500*time.Millisecond {
		t.Errorf("new request at the promised time: %+v", d)
	}
	if d := tracker.Admit(f.now, account, fresh(1)); !d.OK || !d.Returning {
		t.Errorf("returning request: %+v", d)
	}
	f, tracker, _ = start()
	f.now = f.now.Add(time.Second)
	if d := tracker.Admit(f.now, account, fresh(2)); !d.OK {
		t.Errorf("new request after the promise has expired: %+v", d)
	}
	f, tracker, _ = start()
	for key := range uint64(3) {
		tracker.Admit(f.now, account, fresh(key+2))
	}
	f.now = f.now.Add(time.Minute)
	if levels := tracker.Exceeded(f.now); len(levels) > 0 {
		t.Errorf("still beyond its limit without any request: %v", levels)
	}
	f, tracker, _ = start()
	for key := uint64(2); ; key++ {
		d := tracker.Admit(f.now, account, fresh(key))
		if d.Promised && d.RetryAfter > remaining/3 || !d.Promised && d.RetryAfter <= remaining/3 {
			t.Fatalf("request %d: %+v", key, d)
		}
		if !d.Promised {
			break
		}
	}
}
