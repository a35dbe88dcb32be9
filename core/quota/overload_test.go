package quota_test

import (
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/core/quota"
)

// Guards against an account exceeding its limit when refused callers retry: all
// routers return about the same RetryAfter, so the callers retry together and
// each router spends the whole balance before it hears of the others. Spending
// below a balance of minus the burst is never charged (kcm-ops-grown, mix --seed
// 892863164803: 0.9 million units in 0.1 s).
func TestReturningCallersStayWithinLimit(t *testing.T) {
	const (
		routers, rate, burst = 27, 412_000, 412_000
		callers, unit        = 600, 1_500 // callers that retry together, units of each
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
		if at%(2*quota.Interval) == 0 { // as often as far peers are sent to
			for r := range f.trackers {
				f.broadcast(r)
			}
		}
	}
	if allowed := int64((rate*window.Seconds()+burst)*(1+overage)) + slack; f.spent > allowed {
		t.Fatalf("%d units in %v, want at most %d", f.spent, window, allowed)
	}
	t.Logf("%d units in %v", f.spent, window)
}

// Guards against an account that asks for six times its rate getting less than
// 80% of its rate, whether its requests are spread evenly over the routers or
// 90% of them go to one.
func TestOverloadedAccountGetsItsRate(t *testing.T) {
	const (
		routers, rate, burst = 27, 412_000, 412_000
		unit                 = 1_500
		step                 = 10 * time.Millisecond
		duration             = 20 * time.Second
		minFraction          = 0.8
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
		for i := range int(duration / step) {
			for range 6 * rate / unit / int(time.Second/step) {
				calls++
				f.spend(routerOf(calls), unit)
			}
			f.now = f.now.Add(step)
			for r := range f.trackers {
				// Far peers are sent to every second interval, each router at its own
				// offset.
				if (i+17*r)%int(2*quota.Interval/step) == 0 {
					f.broadcast(r)
				}
			}
		}
		if want := int64(minFraction * rate * duration.Seconds()); f.spent < want {
			t.Errorf("%s: %d units in %v, want at least %d", name, f.spent, duration, want)
		}
		t.Logf("%s: %d units, rate x time is %d", name, f.spent, int64(rate*duration.Seconds()))
	}
}
