package crash_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/core/crash"
	"github.com/kumquatsill/kumquatsill/core/peer"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// faults holds what disturbs the routers of a fleet, and the store that outlasts them.
type faults struct {
	suspendedAt, suspendedUntil []proto.Instant
	incarnations                []int64
	// disturbedAt is when each router was last suspended or restarted.
	disturbedAt []proto.Instant
	// late holds what each suspended router observes when it wakes.
	late [][]func()
	// clocks holds each router's view of the clock of each other one.
	clocks map[[2]int]*peer.Clock
	store  map[crash.Trait]crash.Evidence
	writes int
}

func newFaults(routers int) faults {
	return faults{
		suspendedAt: make([]proto.Instant, routers), suspendedUntil: make([]proto.Instant, routers),
		incarnations: make([]int64, routers), disturbedAt: make([]proto.Instant, routers),
		late: make([][]func(), routers), clocks: map[[2]int]*peer.Clock{}, store: map[crash.Trait]crash.Evidence{},
	}
}

func (x *faults) clock(m delivery) *peer.Clock {
	pair := [2]int{m.from, m.to}
	if x.clocks[pair] == nil {
		x.clocks[pair] = &peer.Clock{}
	}
	return x.clocks[pair]
}

func (f *fleet) isSuspended(router int) bool { return f.now < f.faults.suspendedUntil[router] }

// isInTouch reports whether a router has been undisturbed for contactTimeout.
func (f *fleet) isInTouch(router int) bool {
	return f.faults.disturbedAt[router] == 0 || f.now.Sub(f.faults.disturbedAt[router]) >= contactTimeout
}

// lose lets the router of a run observe the crash of its engine.
func (f *fleet) lose(r *run, ended proto.EndpointID) {
	f.observe(r.router, func() {
		connectionLost(f.routers[r.router], f.now, ended, r.traits)
		f.early[r.router] = f.now.Add(earlyDelay)
	})
}

func (f *fleet) survive(r *run) {
	f.observe(r.router, func() { f.routers[r.router].Survived(f.now, r.begins, r.traits) })
}

// observe lets a router observe something, when it wakes if it is suspended.
func (f *fleet) observe(router int, event func()) {
	if f.isSuspended(router) {
		f.faults.late[router] = append(f.faults.late[router], event)
		return
	}
	event()
}

func (f *fleet) observeLate() {
	for i, events := range f.faults.late {
		if f.isSuspended(i) {
			continue
		}
		for _, event := range events {
			event()
		}
		f.faults.late[i] = nil
	}
}

// takeChanges writes what has been blocked and released to the store.
func (f *fleet) takeChanges() {
	for i, r := range f.routers {
		if f.isSuspended(i) {
			continue
		}
		for _, c := range r.TakeChanges(f.now) {
			if !c.Observed {
				continue
			}
			f.faults.writes++
			delete(f.faults.store, c.Trait)
			if c.Blocked {
				f.faults.store[c.Trait] = c.Evidence
			}
		}
	}
}

func (f *fleet) suspend(router int) {
	f.faults.suspendedAt[router], f.faults.suspendedUntil[router] = f.now, f.now.Add(longestSuspension)
	f.faults.disturbedAt[router] = f.now.Add(longestSuspension)
}

// restart replaces a router by one that knows only what the store holds.
func (f *fleet) restart(router int) {
	f.startRouter(router)
	f.faults.late[router], f.faults.suspendedUntil[router] = nil, 0
	f.faults.disturbedAt[router] = f.now
	for _, e := range f.engines {
		for _, r := range e.runs {
			r.survived = r.survived || r.router == router // its connections are gone
		}
	}
	for t, stored := range f.faults.store {
		stored.Trait = t
		f.routers[router].Merge(f.now, f.now, "", []crash.Evidence{stored})
	}
}

// playDisturbed plays a load while one router in ten, or one, is suspended, and one is
// restarted every few seconds.
func (f *fleet) playDisturbed(d time.Duration, rate int, p pattern) {
	for n, end := 0, f.now.Add(d); f.now < end; n++ {
		for range 1 + len(f.routers)/10 {
			f.suspend(f.rng.IntN(len(f.routers)))
		}
		if n%3 == 2 {
			f.restart(f.rng.IntN(len(f.routers)))
		}
		f.play(300*time.Millisecond+f.duration(time.Second), rate, p)
		p.burst = 0
		f.play(longestSuspension, rate, p)
	}
}

// Pattern: requests with one harmful part, while routers are suspended and restarted, and
// then all are restarted at once.
// Guards against a fleet that releases the part because a router wakes, or forgets it, and
// against refusing sound requests more than without the faults.
func TestDisturbedFleetStopsAHarmfulPart(t *testing.T) {
	patterns := map[string]pattern{"dense": {interval: 50 * time.Millisecond}, "steady": {interval: 350 * time.Millisecond}}
	for name, p := range patterns {
		for _, size := range []struct{ routers, engines, rate, seeds int }{{3, 12, 40, 4}, {27, 60, 150, 1}, {103, 180, 200, 1}} {
			t.Run(fmt.Sprint(name, "/", size.routers), func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(size.seeds) {
					f := newFleet(seed, size.routers, size.engines)
					f.play(2*time.Second, size.rate, pattern{})
					f.playDisturbed(16*time.Second, size.rate, p)
					refused, sent := f.refused, f.sent
					for i := range f.routers {
						f.restart(i)
					}
					f.play(10*time.Second, size.rate, p)
					if len(f.crashes) < 3 {
						t.Fatalf("seed %d: only %d crashes", seed, len(f.crashes))
					}
					late := f.sentAfter(f.crashes[min(4, len(f.crashes)-1)].Add(contactTimeout))
					if late > maxHarmful {
						t.Errorf("seed %d: %d harmful requests sent later than %v after the fifth crash, %d crashes", seed, late, contactTimeout, len(f.crashes))
					}
					if f.refused > f.sent/2 {
						t.Errorf("seed %d: %d of %d sound requests refused", seed, f.refused, f.sent)
					}
					t.Logf("seed %d: %d crashes, %d late, %d of %d sound requests refused, %d of %d after the restart, %d writes", seed, len(f.crashes), late, refused, sent, f.refused-refused, f.sent-sent, f.faults.writes)
				}
			})
		}
	}
}
