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
}
