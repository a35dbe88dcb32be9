package crash_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/core/crash"
	"github.com/kumquatsill/kumquatsill/core/peer"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// The bounds of the operators: a fleet has contactTimeout after the fifth crash to stop
// requests with a part that crashes engines, and twice that until sound requests are
// served at least half as often as usual.
const (
	contactTimeout = 3 * time.Second
	maxHarmful     = 3
)

const (
	step        = 10 * time.Millisecond
	engineDown  = 4 * time.Second
	crashDelay  = 100 * time.Millisecond
	sharedParts = 20
	// earlyDelay is the time from a crash to the message of the routers that observe it.
	earlyDelay = 150 * time.Millisecond
)

// run is a request at an engine. Its answer begins at begins and ends at ends; a
// harmful one crashes its engine crashDelay after it begins.
type run struct {
	router       int
	traits       []crash.Trait
	harmful      bool
	begins, ends proto.Instant
	survived     bool
}

type engine struct {
	id        proto.EndpointID
	downUntil proto.Instant
	runs      []*run
}

type delivery struct {
	at        proto.Instant
	from, to  int
	sentAt    proto.Instant
	facts     *crash.Page
	confirmed []peer.Confirmation
}

// fleet simulates routers that share their evidence, and engines that crash.
type fleet struct {
	rng      *rand.Rand
	now      proto.Instant
	routers  []*crash.Register
	facts    []*peer.FactSync
	ids      []proto.RouterID
	indexes  map[proto.RouterID]int
	engines  []*engine
	messages []delivery
	// early lists when routers send messages before the next periodic one.
	early    map[int]proto.Instant
	requests int
	crashes  []proto.Instant
	// harmfulSent lists when requests with the harmful part were sent to an engine by a
	// router in touch.
	harmfulSent []proto.Instant
	// sent and refused count the sound requests since counting began.
	sent, refused int
	faults        faults
}

func newFleet(seed uint64, routers, engines int) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 1)), now: now, early: map[int]proto.Instant{}}
	f.faults = newFaults(routers)
	f.routers, f.facts = make([]*crash.Register, routers), make([]*peer.FactSync, routers)
	f.indexes = map[proto.RouterID]int{}
	for i := range routers {
		f.ids = append(f.ids, routerID(i))
		f.indexes[f.ids[i]] = i
	}
	for i := range routers {
		f.startRouter(i)
	}
	for i := range engines {
		f.engines = append(f.engines, &engine{id: proto.EndpointID(fmt.Sprint("e", i))})
	}
	return f
}

// startRouter starts a router that knows nothing but its peers.
func (f *fleet) startRouter(i int) {
	f.faults.incarnations[i]++
	f.routers[i] = crash.NewRegister()
	f.facts[i] = peer.NewFactSync(f.ids[i], f.faults.incarnations[i], f.routers[i])
	for other := range f.routers {
		if other != i {
			f.facts[i].Add(f.ids[other])
		}
	}
}

// request sends a request with the given part through a random router. All requests
// share their first part.
func (f *fleet) request(part string, harmful bool) {
	f.requests++
	r := &run{router: f.rng.IntN(len(f.routers)), harmful: harmful}
	for f.isSuspended(r.router) {
		r.router = f.rng.IntN(len(f.routers))
	}
	r.traits = []crash.Trait{crash.ContentTrait(proto.Fingerprint(fmt.Sprint(f.requests))), first, crash.PartTrait("m", part)}
	allowed := f.routers[r.router].Admit(f.now, r.traits).Allowed
	if !harmful {
		f.sent++
		if !allowed {
			f.refused++
		}
	}
	if !allowed {
		return
	}
	r.begins = f.now.Add(20*time.Millisecond + f.duration(300*time.Millisecond))
	r.ends = r.begins.Add(200*time.Millisecond + f.duration(3*time.Second))
	start := f.rng.IntN(len(f.engines))
	for i := range f.engines {
		e := f.engines[(start+i)%len(f.engines)]
		if f.now < e.downUntil {
			continue
		}
		e.runs = append(e.runs, r)
		if harmful && f.isInTouch(r.router) {
			f.harmfulSent = append(f.harmfulSent, f.now)
		}
		return
	}
}

func (f *fleet) duration(most time.Duration) time.Duration {
	return time.Duration(f.rng.Int64N(int64(most)))
}

// crash ends an engine and all its runs.
func (f *fleet) crash(e *engine) {
	f.crashes = append(f.crashes, f.now)
	for _, r := range e.runs {
		if r.harmful || f.now < r.begins.Add(crash.BeginPhase) {
			f.lose(r, e.id)
		}
	}
	e.runs, e.downUntil = nil, f.now.Add(engineDown)
	e.id = proto.EndpointID(fmt.Sprintf("%s+", e.id))
}

// advance lets one step of time pass.
func (f *fleet) advance() {
	f.now = f.now.Add(step)
	for _, e := range f.engines {
		var kept []*run
		harmed := false
		for _, r := range e.runs {
			harmed = harmed || r.harmful && f.now >= r.begins.Add(crashDelay)
			if !r.harmful && !r.survived && f.now >= min(r.ends, r.begins.Add(crash.BeginPhase)) {
				r.survived = true
				f.survive(r)
			}
			if f.now < r.ends || r.harmful {
				kept = append(kept, r)
			}
		}
		e.runs = kept
		if harmed {
			f.crash(e)
		}
	}
	f.observeLate()
	f.exchange()
	f.takeChanges()
}

// exchange delivers messages and sends those that are due. One in twenty is lost.
func (f *fleet) exchange() {
	left := f.messages[:0]
	for _, m := range f.messages {
		if m.at <= f.now && !f.isSuspended(m.to) {
			f.deliver(m)
		} else {
			left = append(left, m)
		}
	}
	f.messages = left
	tick := int(f.now.Sub(now) / step)
	for i := range f.routers {
		const interval = int(400 * time.Millisecond / step)
		early, isEarly := f.early[i]
		isPeriodic := (tick+i)%interval == 0
		if f.isSuspended(i) || !isPeriodic && (!isEarly || f.now < early) {
			continue
		}
		delete(f.early, i)
		if isPeriodic {
			f.hearPeers(i)
			f.confirm(i)
		}
		due, _ := f.facts[i].Due(f.now)
		for _, d := range due {
			for _, to := range d.To {
				f.post(delivery{from: i, to: f.indexes[to], facts: &d.Page})
			}
		}
	}
}

func (f *fleet) post(m delivery) {
	if f.rng.IntN(20) > 0 {
		m.at, m.sentAt = f.now.Add(f.duration(50*time.Millisecond)), f.now
		f.messages = append(f.messages, m)
	}
}

func (f *fleet) deliver(m delivery) {
	from := f.ids[m.from]
	f.facts[m.to].Confirmed(f.now, from, m.confirmed)
	if m.facts != nil {
		f.facts[m.to].Read(f.now, f.faults.clock(m).Convert(f.now, m.sentAt), from, m.facts)
	}
}

// confirm sends what a router has to confirm.
func (f *fleet) confirm(router int) {
	confirmed := f.facts[router].TakeConfirmations(func(proto.RouterID) bool { return true })
	for to := range f.routers {
		if len(confirmed) > 0 && to != router {
			f.post(delivery{from: router, to: to, confirmed: confirmed})
		}
	}
}

// hearPeers lets a router learn which others send messages.
func (f *fleet) hearPeers(router int) {
	for other := range f.routers {
		switch {
		case other == router:
		case f.isSuspended(other) && f.now.Sub(f.faults.suspendedAt[other]) >= silence:
			f.facts[router].Silent(f.ids[other])
		default:
			f.facts[router].Heard(f.ids[other], f.faults.incarnations[other])
		}
	}
}

// pattern is a load of harmful requests: first a burst, then one at each interval.
type pattern struct {
	burst    int
	interval time.Duration
}

// play sends sound requests at a rate and harmful ones by a pattern.
func (f *fleet) play(d time.Duration, rate int, p pattern) {
	for range p.burst {
		f.request("bad", true)
	}
	nextHarmful := f.now.Add(p.interval)
	for end := f.now.Add(d); f.now < end; f.advance() {
		for range rate / int(time.Second/step) {
			f.request(fmt.Sprint("good", f.rng.IntN(sharedParts)), false)
		}
		if f.rng.IntN(int(time.Second/step)) < rate%int(time.Second/step) {
			f.request(fmt.Sprint("good", f.rng.IntN(sharedParts)), false)
		}
		if p.interval > 0 && f.now >= nextHarmful {
			f.request("bad", true)
			nextHarmful = f.now.Add(p.interval/2 + f.duration(p.interval))
		}
	}
}

// sentAfter returns how many harmful requests were sent after a time.
func (f *fleet) sentAfter(at proto.Instant) int {
	n := 0
	for _, sent := range f.harmfulSent {
		if sent > at {
			n++
		}
	}
	return n
}

// Pattern: requests with one harmful part come at all routers, densely, in a burst or
// now and then, among sound requests that share their first part (incident crashing-part).
// Guards against engines that crash one after the other, and against refusing the sound
// requests.
func TestFleetStopsAHarmfulPart(t *testing.T) {
	patterns := map[string]pattern{
		"dense": {interval: 50 * time.Millisecond}, "steady": {interval: 350 * time.Millisecond},
		"burst, then rare": {burst: 5, interval: 4 * time.Second}, "rare": {interval: 20 * time.Second},
	}
	for name, p := range patterns {
		for _, size := range []struct{ routers, engines, rate, seeds int }{{3, 12, 40, 5}, {103, 180, 400, 1}} {
			t.Run(fmt.Sprint(name, "/", size.routers), func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(size.seeds) {
					f := newFleet(seed, size.routers, size.engines)
					f.play(2*time.Second, size.rate, pattern{})
					f.play(20*time.Second+8*p.interval, size.rate, p)
					if len(f.crashes) < 3 {
						t.Fatalf("seed %d: only %d crashes", seed, len(f.crashes))
					}
					bound := f.crashes[min(4, len(f.crashes)-1)].Add(contactTimeout)
					if n := f.sentAfter(bound); n > maxHarmful {
						t.Errorf("seed %d: %d harmful requests sent later than %v after the fifth crash, %d crashes", seed, n, contactTimeout, len(f.crashes))
					}
					f.sent, f.refused = 0, 0
					f.play(10*time.Second, size.rate, pattern{interval: p.interval})
					if f.refused > f.sent/2 {
						t.Errorf("seed %d: %d of %d sound requests refused", seed, f.refused, f.sent)
					}
				}
			})
		}
	}
}

// Pattern: all engines crash together, again and again, for a reason of their own.
// Guards against refusing sound requests that were running there.
func TestFleetServesAfterCrashesOfAllEngines(t *testing.T) {
	for seed := range uint64(20) {
		f := newFleet(seed, 5, 12)
		for range 4 {
			f.play(engineDown+time.Second, 40, pattern{})
			for _, e := range f.engines {
				f.crash(e)
			}
		}
		f.play(engineDown+2*time.Second, 40, pattern{})
		f.sent, f.refused = 0, 0
		f.play(5*time.Second, 40, pattern{})
		if f.refused > f.sent/2 {
			t.Errorf("seed %d: %d of %d sound requests refused", seed, f.refused, f.sent)
		}
	}
}
