package endpointstate_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/core/endpointstate"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// The bound of the operators: from contactTimeout after a limit was first named, an
// endpoint gets in no window more than one and a half times what the limit allows, and
// boundSlack, from routers that have passed on such an answer tellTime before or earlier.
const (
	contactTimeout = 3 * time.Second
	window         = 4 * time.Second
	tellTime       = 500 * time.Millisecond
	boundSlack     = 5
)

const (
	step         = 10 * time.Millisecond
	period       = 400 * time.Millisecond
	earlyDelay   = 150 * time.Millisecond
	transitTime  = 50 * time.Millisecond
	aliveTimeout = 1500 * time.Millisecond
)

// router is a router of the simulated fleet.
type router struct {
	endpointstate.Router
	tracker *endpointstate.Tracker
	heard   map[int]proto.Instant
	early   proto.Instant
	toldAt  proto.Instant
	down    bool
}

type message struct {
	at       proto.Instant
	from, to int
	notices  endpointstate.Notices
}

type answer struct {
	at     proto.Instant
	router int
	limit  endpointstate.Limit
}

// fleet simulates routers that all want to send to one endpoint that names a limit.
type fleet struct {
	rng      *rand.Rand
	now      proto.Instant
	routers  []*router
	messages []message
	answers  []answer
	limit    endpointstate.Limit
	// sent lists when requests were sent, counted those by routers that were told.
	sent, counted []proto.Instant
}

func newFleet(seed uint64, size, domains int) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 1)), now: now}
	for i := range size {
		r := &router{Router: endpointstate.Router{ID: proto.RouterID(fmt.Sprint("r", i)), Domain: proto.Domain(fmt.Sprint("d", i%domains))}, heard: map[int]proto.Instant{}}
		r.tracker = endpointstate.New(r.Router)
		f.routers = append(f.routers, r)
	}
	return f
}

// play lets time pass. Requests come at a rate that is spread over the routers.
func (f *fleet) play(d time.Duration, rate float64) {
	for end := f.now.Add(d); f.now < end; f.now = f.now.Add(step) {
		f.receive()
		f.exchange()
		for want := rate * step.Seconds(); want > 0; want-- {
			if f.rng.Float64() < want {
				f.request(f.rng.IntN(len(f.routers)))
			}
		}
	}
}

func (f *fleet) request(i int) {
	r := f.routers[i]
	if r.down || !r.tracker.Check(f.now, endpoint).OK {
		return
	}
	r.tracker.Take(f.now, endpoint)
	f.sent = append(f.sent, f.now)
	if r.toldAt != 0 && f.now.Sub(r.toldAt) >= tellTime {
		f.counted = append(f.counted, f.now)
	}
	delay := 30*time.Millisecond + time.Duration(f.rng.Int64N(int64(300*time.Millisecond)))
	f.answers = append(f.answers, answer{at: f.now.Add(delay), router: i, limit: f.limit})
}

// receive handles the answers and messages that are due.
func (f *fleet) receive() {
	var answers []answer
	for _, a := range f.answers {
		r := f.routers[a.router]
		switch {
		case a.at > f.now:
			answers = append(answers, a)
		case observeLimit(r.tracker, f.now, endpoint, a.limit):
			r.early = f.now.Add(earlyDelay)
			fallthrough
		default:
			if a.at <= f.now && a.limit.Named && r.toldAt == 0 {
				r.toldAt = f.now
			}
		}
	}
	f.answers = answers
	var messages []message
	for _, m := range f.messages {
		if m.at > f.now {
			messages = append(messages, m)
			continue
		}
		to := f.routers[m.to]
		to.heard[m.from] = f.now
		to.tracker.Merge(f.now, m.notices)
	}
	f.messages = messages
}

// exchange sends the messages that are due, of which one in twenty is lost, and updates
// which routers are alive.
func (f *fleet) exchange() {
	tick := int(f.now.Sub(now) / step)
	for i, r := range f.routers {
		periodic := (tick+i)%int(period/step) == 0
		early := r.early != 0 && f.now >= r.early
		if r.down || !periodic && !early {
			continue
		}
		r.early = 0
		notices := r.tracker.Changes(f.now)
		if (tick+i)%int(5*period/step) == 0 {
			notices = r.tracker.State(f.now)
		}
		for to := range f.routers {
			if to != i && f.rng.IntN(20) > 0 {
				f.messages = append(f.messages, message{f.now.Add(time.Duration(f.rng.Int64N(int64(transitTime)))), i, to, notices})
			}
		}
		var alive []endpointstate.Router
		for id, at := range r.heard {
			if f.now.Sub(at) < aliveTimeout {
				alive = append(alive, f.routers[id].Router)
			}
		}
		r.tracker.SetRouters(alive)
	}
}

// most returns the greatest number of the given times in a window that ends at from or
// later.
func most(times []proto.Instant, from proto.Instant) int {
	greatest, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= window {
			first++
		}
		if at >= from {
			greatest = max(greatest, i-first+1)
		}
	}
	return greatest
}

// Pattern: an endpoint names a limit far below what all routers together want to send
// (incident endpoint-limit), while one of them is replaced. Guards against a sum that grows with
// the number of routers, and against a limit that is hardly used.
func TestFleetKeepsALimitTogether(t *testing.T) {
	for _, size := range []struct {
		routers, domains, seeds int
		rate                    float64
	}{{3, 3, 20, 60}, {5, 3, 20, 60}, {27, 1, 3, 200}, {103, 5, 1, 1000}} {
		for _, limit := range []float64{0.3, 1, 1.6, 8, 30} {
			t.Run(fmt.Sprint(size.routers, "/", limit), func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(size.seeds) {
					f := newFleet(seed, size.routers, size.domains)
					f.play(3*time.Second, size.rate)
					f.limit = named(limit)
					firstNamed := f.now
					f.play(8*time.Second, size.rate)
					f.routers[int(seed)%size.routers].down = true
					f.play(12*time.Second, size.rate)
					bound := int(1.5*limit*window.Seconds()) + boundSlack
					if got := most(f.counted, firstNamed.Add(contactTimeout)); got > bound {
						t.Errorf("seed %d: %d requests in %v, %d are allowed", seed, got, window, bound)
					}
					used := 0
					for _, at := range f.sent {
						if at >= f.now.Add(-10*time.Second) {
							used++
						}
					}
					if float64(used) < 10*limit/2-1 {
						t.Errorf("seed %d: only %d requests in 10 s", seed, used)
					}
				}
			})
		}
	}
}

// Pattern: the limit ends after a while. Guards against routers that never hear of it.
func TestFleetLearnsOfTheEnd(t *testing.T) {
	for _, size := range []int{3, 103} {
		f := newFleet(1, size, 3)
		f.limit = named(1)
		f.play(6*time.Second, 60)
		f.limit = endpointstate.Limit{}
		f.play(6*time.Second, 60)
		for _, r := range f.routers {
			if !r.tracker.Check(f.now, endpoint).OK {
				t.Errorf("%d routers: %s is still throttled", size, r.ID)
			}
		}
	}
}
