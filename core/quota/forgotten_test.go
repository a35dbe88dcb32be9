package quota_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/core/quota"
)

// allowedUnits is what an account may spend in a window, with the overage and the slack
// that are granted.
func allowedUnits(limit quota.Limit, window time.Duration) int64 {
	const (
		overage = 0.1
		slack   = 110_000
	)
	return int64((float64(limit.Rate)*window.Seconds()+float64(limit.Burst))*(1+overage)) + slack
}

// surge returns a demand of a fraction of the rate, but for the time of a surge.
func surge(rate int64, usual, multiple float64, from, to time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= from && at < to {
			return usual * multiple * float64(rate)
		}
		return usual * float64(rate)
	}
}

// runRecognizedOrNot runs a test with and without routers that recognize returning requests.
func runRecognizedOrNot(t *testing.T, name string, run func(t *testing.T, recognized bool)) {
	for _, recognized := range []bool{false, true} {
		t.Run(fmt.Sprintf("%s/recognized=%v", name, recognized), func(t *testing.T) { run(t, recognized) })
	}
}

// Guards against each restart of all routers granting the burst again to an account beyond
// its limit (review/5 on kcm-ops).
func TestRestartsOfAllRoutersGrantOneBurst(t *testing.T) {
	const window = 8 * time.Second
	for routers, limit := range map[int]quota.Limit{
		5: {Rate: 46_459, Burst: 68_877}, 27: {Rate: 237_000, Burst: 237_000}, 103: {Rate: 237_000, Burst: 237_000},
	} {
		for _, storeDown := range []bool{false, true} {
			if storeDown && routers > 27 {
				continue
			}
			runRecognizedOrNot(t, fmt.Sprintf("routers=%d/storeDown=%v", routers, storeDown), func(t *testing.T, recognized bool) {
				s := simulation{
					routers: routers, recognized: recognized, limit: limit, duration: 11 * time.Second, latency: 20 * time.Millisecond, storeDown: storeDown,
					demand: surge(limit.Rate, 0.55, 7.5, 3*time.Second, 9500*time.Millisecond), unit: logNormalUnit(2000, 1),
				}
				for i := range 4 {
					at := 3800*time.Millisecond + time.Duration(i)*1800*time.Millisecond
					s.restarts = append(s.restarts, simRestart{at: at, down: 500 * time.Millisecond, count: routers})
				}
				s.run()
				spent, allowed := s.most(window), allowedUnits(limit, window)
				t.Logf("%d units in %v, %d allowed; %d writes of %d bytes in all", spent, window, allowed, s.written, s.bytes)
				if spent > allowed {
					t.Errorf("want at most %d units, spent %d", allowed, spent)
				}
			})
		}
	}
}

// Guards against all routers spending the whole burst at the begin of a surge before they
// hear of each other's spending (kcm-ops-grown, refusals --seed 546044860799: 542,903 units
// in 0.5 s where burst and rate give 355,000).
func TestSurgeStaysWithinLimit(t *testing.T) {
	const window = 8 * time.Second
	limit := quota.Limit{Rate: 237_000, Burst: 237_000}
	for _, routers := range []int{27, 103} {
		for _, latency := range []time.Duration{20 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond} {
			if routers > 27 && latency < 200*time.Millisecond {
				continue
			}
			runRecognizedOrNot(t, fmt.Sprintf("routers=%d/latency=%v", routers, latency), func(t *testing.T, recognized bool) {
				s := simulation{
					routers: routers, recognized: recognized, limit: limit, duration: 12 * time.Second, latency: latency,
					demand: surge(limit.Rate, 0.7, 7.5, 3*time.Second, 12*time.Second), unit: logNormalUnit(2000, 1),
				}
				s.run()
				spent, allowed := s.most(window), allowedUnits(limit, window)
				t.Logf("%d units in %v, %d allowed; %d in 0.5 s", spent, window, allowed, s.most(500*time.Millisecond))
				if spent > allowed {
					t.Errorf("want at most %d units in %v, spent %d", allowed, window, spent)
				}
			})
		}
	}
}

// Guards against refusing an account within its limit, in calm and after restarts of one
// and of all routers: at most for two seconds after a restart of all, or for as long as an
// empty bucket takes to refill if nobody has told what was spent.
func TestAccountWithinItsLimitIsServed(t *testing.T) {
	const restartAt, down, afterStart = 3 * time.Second, 300 * time.Millisecond, 2 * time.Second
	limit := quota.Limit{Rate: 237_000, Burst: 237_000}
	for _, c := range []struct {
		routers, restarted int
		storeDown          bool
	}{
		{5, 0, false}, {5, 1, false}, {5, 5, false}, {5, 5, true},
		{27, 0, false}, {27, 1, false}, {27, 27, false}, {27, 27, true},
		{103, 103, false},
	} {
		for i, usual := range []float64{0.55, 0.8, 0.55, 0.8} {
			s := simulation{
				routers: c.routers, recognized: i >= 2, limit: limit, duration: 6 * time.Second, latency: 20 * time.Millisecond, storeDown: c.storeDown,
				demand: surge(limit.Rate, usual, 1, 0, 0), unit: logNormalUnit(2000, 1), seed: 1,
				restarts: []simRestart{{at: restartAt, down: down, count: c.restarted}},
			}
			allowed := afterStart
			if c.storeDown {
				s.duration = 9 * time.Second
				allowed = time.Duration(float64(limit.Burst) / float64(limit.Rate) / (1 - usual) * float64(time.Second))
			}
			s.run()
			t.Logf("%d routers, %d restarted, store down %v, %.2f of the rate: %d of %d refused after %v, the last at %v",
				c.routers, c.restarted, c.storeDown, usual, s.refusedSince(restartAt), s.asked, restartAt, s.lastRefusal)
			if s.lastRefusal > restartAt+down+allowed {
				t.Errorf("refused at %v", s.lastRefusal)
			}
		}
	}
}

// Guards against refusing an account that spends nearly its whole burst within a few
// moments, because of what its peers may have spent: that is within its limit.
func TestClumpsWithinBurstAreServed(t *testing.T) {
	const pause, clump, settled = 2 * time.Second, 300 * time.Millisecond, 2 * time.Second
	limit := quota.Limit{Rate: 237_000, Burst: 237_000}
	runRecognizedOrNot(t, "clumps", func(t *testing.T, recognized bool) {
		s := simulation{
			routers: 27, recognized: recognized, limit: limit, duration: 14 * time.Second, latency: 20 * time.Millisecond, unit: logNormalUnit(2000, 1),
			demand: func(at time.Duration) float64 {
				if at%pause < clump {
					return 4 * float64(limit.Rate) // 0.9 of the burst beyond the rate
				}
				return 0.35 * float64(limit.Rate)
			},
		}
		s.run()
		if refused := s.refusedSince(settled); refused > 0 {
			t.Errorf("%d of %d requests were refused", refused, s.asked)
		}
	})
}
