package limit

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/core/check"
	"github.com/kumquatsill/kumquatsill/core/note"
	"pgregory.net/rapid"
)

var shop = note.Account{ID: acct, Rate: 10_000, Burst: 100_000}

// TestMain fixes the seed and number of cases unless they are set by flags such
// as -rapid.seed and -rapid.checks.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "60", "rapid.nofailfile": "true"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			if err := f.Value.Set(value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}

// runPhases alternates at random between steady demand, no demand, so that buckets
// fill up, and demand far above the rate at all nodes, under random faults.
func runPhases(f *fleet, length time.Duration) {
	const steady, overload = 0, 1
	phase, until := steady, f.now
	for range int(length / step) {
		if f.now >= until {
			phase = f.rng.IntN(3)
			until = f.now.Add(2*time.Second + time.Duration(f.rng.Int64N(int64(12*time.Second))))
		}
		switch {
		case phase == steady && f.rng.IntN(40) == 0:
			f.arrive(f.nodes[f.rng.IntN(len(f.nodes))], 1+f.rng.Int64N(400), f.rng.Int64N(2)*100)
		case phase == overload && f.rng.IntN(3) == 0:
			f.arrive(f.nodes[f.rng.IntN(len(f.nodes))], 1+f.rng.Int64N(300), 0)
		}
		f.injectFault()
		f.advance()
	}
}

// injectFault injects a random fault, on average every 4 s.
func (f *fleet) injectFault() {
	n := f.nodes[f.rng.IntN(len(f.nodes))]
	until := f.now.Add(time.Duration(f.rng.Int64N(int64(15 * time.Second))))
	switch f.rng.IntN(40_000) {
	case 0, 1:
		n.pausedUntil = until
	case 2:
		f.start(n)
	case 3:
		n.networkCutUntil, n.logCutUntil = until, until
	case 4, 5:
		n.logCutUntil = until
	case 6:
		f.handOver(f.rng.IntN(Parts), f.rng.IntN(len(f.nodes)))
	case 7:
		if f.rng.IntN(6) == 0 {
			for _, n := range f.nodes {
				f.start(n)
			}
		}
	case 8:
		f.slots = make([]Slot, 1+f.rng.IntN(6))
		for i := range f.slots {
			f.fence++
			f.slots[i] = Slot{ChangeOffset: f.fence, Owner: f.nodes[f.rng.IntN(len(f.nodes))].id}
		}
	case 9:
		limit := f.limit
		limit.Rate, limit.Burst = limit.Rate/(1+f.rng.Int64N(2)), limit.Burst/(1+f.rng.Int64N(2))
		n.configure(limit)
	}
}

// Guards against spending more than burst + rate x interval under lost, delayed,
// duplicated and reordered messages, pauses, restarts, partitions and takeovers.
func TestConservationUnderFaults(t *testing.T) {
	var served int
	var lows []int
	rapid.Check(t, func(t *rapid.T) {
		limit := shop
		limit.Burst = limit.Rate * rapid.Int64Range(1, 10).Draw(t, "burst seconds")
		f := newFleet(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 5).Draw(t, "nodes"), limit)
		f.loss = rapid.SampledFrom([]float64{0, 0.02, 0.3}).Draw(t, "loss")
		f.duplication = rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "double")
		f.maxDelay = rapid.SampledFrom([]time.Duration{2 * step, 100 * step, 7 * time.Second}).Draw(t, "delay")
		runPhases(f, 60*time.Second)
		served += f.served
		lows = append(lows, int(f.minLevel))
		if f.minLevel < -0.001 {
			t.Fatalf("spent %.0f tokens above rate and burst", -f.minLevel)
		}
		if c := f.checks.Counts(check.RateLimit); c.Checked == 0 || c.Failed > 0 {
			t.Fatalf("checks of the invariant: %+v", c)
		}
	})
	t.Logf("lowest level of each run: %v", lows)
	if served == 0 {
		t.Fatal("no request was served, so nothing was tested")
	}
}

// Guards against a conservation check that cannot fail: it must detect a holder
// that starts with a full bucket right after a takeover.
func TestConservationCatchesFullStart(t *testing.T) {
	for seed := range uint64(20) {
		f := newFleet(seed, 4, shop)
		f.startFull = true
		runPhases(f, 90*time.Second)
		if f.minLevel < -1 {
			t.Logf("seed %d: %.0f tokens above rate and burst", seed, -f.minLevel)
			return
		}
	}
	t.Error("not detected with any of 20 seeds")
}

// overload sends requests to all nodes, far above the rate, for 10 s.
func overload(f *fleet) {
	for range int(10 * time.Second / step) {
		for _, n := range f.nodes {
			f.arrive(n, 50, 0)
		}
		f.advance()
	}
}

// Guards against a holder that grants tokens after its lease has ended, to
// limiters that do not know the new holder either, and against a check that would
// not detect it.
func TestReplacedHolderGrantsNothing(t *testing.T) {
	for _, ignore := range []bool{false, true} {
		f := newFleet(1, 5, shop)
		f.warmUp()
		f.ignoreLeaseExpiry = ignore
		old := f.nodes[f.owner[1]]
		old.logCutUntil, f.nodes[4].logCutUntil = f.now.Add(time.Hour), f.now.Add(time.Hour)
		f.warmUp()
		if f.owner[1] == old.index {
			t.Fatal("the holder was not replaced")
		}
		overload(f)
		t.Logf("lease ignored %v: lowest %.0f", ignore, f.minLevel)
		if broken := f.minLevel < -0.001; broken != ignore {
			t.Errorf("lease ignored %v: limit broken %v, lowest %.0f", ignore, broken, f.minLevel)
		}
	}
}

// pauseWithGrants pauses a node that holds grants until all buckets are full
// again, and then overloads all nodes.
func pauseWithGrants(f *fleet) {
	f.warmUp()
	n := f.nodes[4]
	f.arrive(n, 80_000, 0)
	for len(n.limiter.accountState(acct).grants) == 0 {
		f.advance()
		if f.served > 0 {
			panic("the request was admitted before the pause")
		}
	}
	f.requests = nil
	n.pausedUntil = f.now.Add(30 * time.Second)
	for f.now < n.pausedUntil {
		f.advance()
	}
	overload(f)
}

// Guards against spending grants that have expired while the router was paused,
// and against a check that would not detect it.
func TestPausedRouterLosesItsGrants(t *testing.T) {
	for _, stale := range []bool{false, true} {
		f := newFleet(1, 5, shop)
		f.staleGrants = stale
		pauseWithGrants(f)
		t.Logf("stale grants %v: lowest %.0f", stale, f.minLevel)
		if broken := f.minLevel < -0.001; broken != stale {
			t.Errorf("stale grants %v: limit broken %v, lowest %.0f", stale, broken, f.minLevel)
		}
	}
}

// demand sends requests within the allowance to the node that pick chooses.
func demand(f *fleet, a *allowance, length time.Duration, pick func() int) {
	rng := rand.New(rand.NewPCG(7, 7))
	next := 200 + rng.Int64N(1800)
	for range int(length / step) {
		a.accrue(step)
		if a.bursty && rng.IntN(500) > 0 {
			f.advance()
			continue
		}
		for !f.paused(pick()) && a.spend(next) {
			f.arrive(f.nodes[pick()], next, 0)
			next = 200 + rng.Int64N(1800)
		}
		f.advance()
	}
}

func (f *fleet) paused(i int) bool { return !f.nodes[i].alive() }

// warmUp runs until buckets and slots are full.
func (f *fleet) warmUp() {
	for range int(60 * time.Second / step) {
		f.advance()
	}
	f.shadowLevel, f.shadowAt = float64(f.limit.Burst), f.now
}

func (f *fleet) logSummary(t *testing.T) {
	t.Helper()
	slices.Sort(f.waits)
	t.Logf("served %d, refused %d, messages %d, wait p50 %v p99 %v max %v, lowest %.0f", f.served, f.refused,
		f.messages, f.waits[len(f.waits)/2], f.waits[len(f.waits)*99/100], f.waits[len(f.waits)-1], f.minLevel)
}

// Guards against refusing requests within the limit when there are no faults. The
// caller stays within 95% of the rate and 90% of the burst and starts by spending
// that whole burst.
func TestNoWrongfulRefusalWithoutFaults(t *testing.T) {
	patterns := map[string]func(f *fleet) func() int{
		"one router": func(f *fleet) func() int { return func() int { return 4 } },
		"skewed": func(f *fleet) func() int {
			return func() int { return min(f.rng.IntN(5), f.rng.IntN(5), f.rng.IntN(5)) }
		},
		"even":   func(f *fleet) func() int { return func() int { return f.rng.IntN(5) } },
		"shifts": func(f *fleet) func() int { return func() int { return int(f.now/3e9) % 5 } },
	}
	for name, pattern := range patterns {
		for _, seconds := range []int64{1, 10} {
			t.Run(fmt.Sprintf("%s, burst of %d s", name, seconds), func(t *testing.T) {
				limit := shop
				limit.Burst = limit.Rate * seconds
				f := newFleet(3, 5, limit)
				f.warmUp()
				burst := 0.9 * float64(limit.Burst)
				demand(f, &allowance{rate: 0.95 * float64(limit.Rate), burst: burst, level: burst}, 2*time.Minute, pattern(f))
				f.logSummary(t)
				if f.refused > 0 || f.minLevel < 0 {
					t.Errorf("%d of %d refused, lowest %.0f", f.refused, f.served+f.refused, f.minLevel)
				}
			})
		}
	}
}

// Guards against refusing 0.1% or more of the requests within the limit when a
// holder is lost: over 10 minutes at 70% of the rate, with a burst of ten seconds
// of rate. Requests come in batches every 0.5 s on average, of up to 2 s of rate,
// at two routers. The holder of a part crashes after 2 minutes and stays down.
func TestWrongfulRefusalsWhileHolderIsReplaced(t *testing.T) {
	f := newFleet(5, 5, shop)
	f.warmUp()
	a := &allowance{rate: 0.7 * float64(shop.Rate), burst: 2 * float64(shop.Rate), bursty: true}
	pick := func() int { return 3 + f.rng.IntN(2) }
	demand(f, a, 2*time.Minute, pick)
	crashed := f.nodes[f.owner[0]]
	crashed.pausedUntil = f.now.Add(time.Hour)
	demand(f, a, 8*time.Minute, pick)
	f.logSummary(t)
	if f.owner[0] == crashed.index {
		t.Error("the holder was not replaced")
	}
	if share := float64(f.refused) / float64(f.served+f.refused); share >= 0.001 {
		t.Errorf("%.3f%% refused", 100*share)
	}
}
