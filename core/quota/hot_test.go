package quota_test

import (
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/core/quota"
)

// Guards against an account that exceeds its limit when refused callers come
// back: all routers name about the same time, and each of them spends the whole
// balance before it hears of the others. What is owed beyond the burst is
// forgiven (kcm-ops-grown, mix --seed 892863164803: 0.9 million units in 0.1 s).
func TestReturningCallersStayWithinLimit(t *testing.T) {
	const (
		routers, rate, burst = 27, 412_000, 412_000
		callers, unit        = 600, 1_500 // that come back together
		pause                = 1400 * time.Millisecond
		step                 = 100 * time.Millisecond
		window               = 8 * time.Second
		overage, slack       = 0.1, 110_000
	)
	f := newFleet(routers, quota.Limit{Rate: rate, Burst: burst})
	for at := time.Duration(0); at < window; at += step {
		if at%pause == 0 {
			for i := range callers {
				f.spend(i%routers, unit)
			}
		}
		f.now = f.now.Add(step)
		if at%(2*quota.Interval) == 0 { // as far peers are told
			for r := range f.trackers {
				f.tell(r)
			}
		}
	}
	if allowed := int64((rate*window.Seconds()+burst)*(1+overage)) + slack; f.spent > allowed {
		t.Fatalf("%d units in %v, allowed are %d", f.spent, window, allowed)
	}
	t.Logf("%d units in %v", f.spent, window)
}

// Guards against an account that asks six times its rate for a while and is
// refused what lies within its limit, whether all routers serve it alike or one
// of them serves most of it.
func TestOverloadedAccountGetsItsRate(t *testing.T) {
	const (
		routers, rate, burst = 27, 412_000, 412_000
		unit                 = 1_500
		step                 = 10 * time.Millisecond
		length               = 20 * time.Second
		least                = 0.8
	)
	for name, routerOf := range map[string]func(n int) int{
		"alike": func(n int) int { return n % routers },
		"one": func(n int) int {
			if n%10 > 0 {
				return 0
			}
			return n / 10 % routers
		},
	} {
		f := newFleet(routers, quota.Limit{Rate: rate, Burst: burst})
		calls := 0
		for i := range int(length / step) {
			for range 6 * rate / unit / int(time.Second/step) {
				calls++
				f.spend(routerOf(calls), unit)
			}
			f.now = f.now.Add(step)
			for r := range f.trackers {
				// Far peers are told every second interval, each at its own time.
				if (i+17*r)%int(2*quota.Interval/step) == 0 {
					f.tell(r)
				}
			}
		}
		if want := int64(least * rate * length.Seconds()); f.spent < want {
			t.Errorf("%s: %d units in %v, want %d", name, f.spent, length, want)
		}
		t.Logf("%s: %d units, the rate is worth %d", name, f.spent, int64(rate*length.Seconds()))
	}
}
