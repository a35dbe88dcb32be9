package limit

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/core/note"
	"pgregory.net/rapid"
)

var shop = note.Account{ID: acct, Rate: 10_000, Burst: 100_000}

// abuse runs demand far above the rate at every node under random faults.
func abuse(f *fleet, length time.Duration) {
	for range int(length / step) {
		if f.rng.IntN(40) == 0 {
			f.arrive(f.nodes[f.rng.IntN(len(f.nodes))], 1+f.rng.Int64N(4000), f.rng.Int64N(2)*f.rng.Int64N(2)*500)
		}
		n := f.nodes[f.rng.IntN(len(f.nodes))]
		switch f.rng.IntN(6000) {
		case 0, 1:
			n.paused = f.now.Add(time.Duration(f.rng.Int64N(int64(8 * time.Second))))
		case 2:
			f.start(n)
		case 3:
			n.cut = f.now.Add(time.Duration(f.rng.Int64N(int64(8 * time.Second))))
		case 4:
			if f.rng.IntN(8) == 0 {
				for _, n := range f.nodes {
					f.start(n)
				}
			}
		}
		f.advance()
	}
}

// Guards against any way to spend more than burst + rate x interval under
// lost, late, doubled and crossed messages, pauses, restarts, partitions and
// takeovers.
func TestConservationUnderFaults(t *testing.T) {
	var served int
	rapid.Check(t, func(t *rapid.T) {
		limit := shop
		limit.Burst = limit.Rate * rapid.Int64Range(1, 10).Draw(t, "burst seconds")
		f := newFleet(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 5).Draw(t, "nodes"), limit)
		f.loss = rapid.SampledFrom([]float64{0, 0.02, 0.3}).Draw(t, "loss")
		f.double = rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "double")
		f.maxDelay = rapid.SampledFrom([]time.Duration{2 * step, 100 * step, 7 * time.Second}).Draw(t, "delay")
		abuse(f, 40*time.Second)
		served += f.served
		if f.lowest < -1e-6 {
			t.Fatalf("spent %.0f tokens above rate and burst", -f.lowest)
		}
	})
	if served == 0 {
		t.Fatal("no request was served, so nothing was tested")
	}
}

// Guards against a conservation check that cannot fail: each mutation of the
// mechanism must be caught.
func TestConservationCatchesMutations(t *testing.T) {
	mutations := map[string]func(*fleet){
		"stale grant":               func(f *fleet) { f.staleGrants = true },
		"lease ignored":             func(f *fleet) { f.ignoreLease = true },
		"full start after takeover": func(f *fleet) { f.startFull = true },
	}
	for name, mutate := range mutations {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(20) {
				f := newFleet(seed, 4, shop)
				mutate(f)
				abuse(f, 60*time.Second)
				if f.lowest < -1 {
					t.Logf("seed %d: %.0f tokens above rate and burst", seed, -f.lowest)
					return
				}
			}
			t.Error("not caught by any of 20 seeds")
		})
	}
}

// demand sends requests inside the allowance to the node that pick chooses.
func demand(f *fleet, a *allowance, length time.Duration, pick func() int) {
	rng := rand.New(rand.NewPCG(7, 7))
	next := 200 + rng.Int64N(1800)
	for range int(length / step) {
		a.pass(step)
		for !f.paused(pick()) && a.use(next) {
			f.arrive(f.nodes[pick()], next, 0)
			next = 200 + rng.Int64N(1800)
		}
		f.advance()
	}
}

func (f *fleet) paused(i int) bool { return !f.nodes[i].alive() }

// warm runs until buckets and slots are full.
func (f *fleet) warm() {
	for range int(60 * time.Second / step) {
		f.advance()
	}
	f.level, f.levelAt = float64(f.limit.Burst), f.now
}

func (f *fleet) report(t *testing.T) {
	t.Helper()
	slices.Sort(f.waits)
	t.Logf("served %d, refused %d, messages %d, wait p50 %v p99 %v max %v, lowest %.0f", f.served, f.refused,
		f.messages, f.waits[len(f.waits)/2], f.waits[len(f.waits)*99/100], f.waits[len(f.waits)-1], f.lowest)
}

// Guards against wrongful refusals without faults. The caller stays inside
// 95% of the rate and 90% of the burst and starts by using that whole burst.
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
		t.Run(name, func(t *testing.T) {
			f := newFleet(3, 5, shop)
			f.warm()
			a := &allowance{rate: 0.95 * float64(shop.Rate), burst: 0.9 * float64(shop.Burst), level: 0.9 * float64(shop.Burst)}
			demand(f, a, 2*time.Minute, pattern(f))
			f.report(t)
			if f.refused > 0 || f.lowest < 0 {
				t.Errorf("%d of %d refused, lowest %.0f", f.refused, f.served+f.refused, f.lowest)
			}
		})
	}
}

// Guards against refusals while a holder is lost: below 0.1% over 10 minutes
// at 70% of the rate with a burst of ten seconds of rate, when the holder of a
// part crashes after 2 minutes and stays away.
func TestWrongfulRefusalsWhileHolderIsReplaced(t *testing.T) {
	f := newFleet(5, 5, shop)
	f.warm()
	a := &allowance{rate: 0.7 * float64(shop.Rate), burst: 2000}
	pick := func() int { return 3 + f.rng.IntN(2) }
	demand(f, a, 2*time.Minute, pick)
	crashed := f.nodes[f.owner[0]]
	crashed.paused = f.now.Add(time.Hour)
	demand(f, a, 8*time.Minute, pick)
	f.report(t)
	if f.owner[0] == crashed.index {
		t.Error("the holder was not replaced")
	}
	if share := float64(f.refused) / float64(f.served+f.refused); share >= 0.001 {
		t.Errorf("%.3f%% refused", 100*share)
	}
}
