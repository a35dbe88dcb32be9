package locality_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/core/locality"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

const (
	domains  = 3
	slots    = 200 // per domain
	service  = 500 * time.Millisecond
	target   = 400 * time.Millisecond
	tick     = 50 * time.Millisecond
	duration = 60 * time.Second
)

// policy chooses the domain of a request of a router in domain own, by the loads that the
// router sees.
type policy func(s *simulation, r *simRouter, now proto.Instant, seen [domains]float64) int

// simulation moves requests through one queue for each domain.
type simulation struct {
	rng *rand.Rand
	age time.Duration
	// engines is the number of engines of a domain of which one reports its load to a router
	// between two updates; 1 if all do.
	engines  int
	capacity [domains]float64
	held     [domains]float64
	history  [][domains]float64
}

type simRouter struct {
	own        int
	controller *locality.Controller
}

func domainName(i int) proto.Domain { return proto.Domain(fmt.Sprint("d", i)) }

// figures are the results of one simulation after an overload has begun.
type figures struct {
	// settled is the longest time from a change of the load until no domain queues any
	// more. A domain queues if it holds a tenth more than its slots, averaged over a second.
	settled time.Duration
	// oscillations counts the reversals of the flow out of the overloaded domain by more
	// than a tenth of its demand.
	oscillations int
	// idle is the part of the capacity, over the whole time, that was idle while a domain
	// queued.
	idle float64
}

// run simulates routers under a load: the demand by domain as a multiple of the capacity,
// and the capacity, by time.
func run(routers, engines int, age time.Duration, choose policy, load func(at time.Duration) (demand, capacity [domains]float64)) figures {
	s := &simulation{rng: rand.New(rand.NewPCG(1, uint64(routers))), age: age, engines: engines}
	fleet := make([]*simRouter, routers)
	for i := range fleet {
		fleet[i] = &simRouter{own: i % domains, controller: locality.New(domainName(i % domains))}
	}
	var f figures
	var queuedAt, changedAt, idleTime float64
	var flow, extreme, direction float64
	var previous, average [domains]float64
	for at := time.Duration(0); at < duration; at += tick {
		now := proto.Instant(time.Hour).Add(at)
		demand, capacity := load(at)
		if s.capacity = capacity; demand != previous {
			f.settled = max(f.settled, time.Duration(max(0, queuedAt-changedAt)*float64(time.Second)))
			changedAt, queuedAt, previous, extreme, direction = at.Seconds(), at.Seconds(), demand, flow, 0
		}
		left := s.step(now, fleet, demand, choose)
		flow += 0.05 * (left - flow)
		if change := flow - extreme; direction == 0 && math.Abs(change) > 0.1 || change*direction < -0.1 {
			if direction != 0 {
				f.oscillations++
			}
			direction, extreme = math.Copysign(1, change), flow
		} else if change*direction > 0 {
			extreme = flow
		}
		queued, idle, total := 0.0, 0.0, 0.0
		for d := range domains {
			average[d] += 0.05 * (s.held[d]/capacity[d] - average[d])
			queued += max(0, average[d]-1.1)
			idle += max(0, 0.9*capacity[d]-s.held[d])
			total += capacity[d]
		}
		if queued > 0 {
			queuedAt = at.Seconds()
			idleTime += idle / total
		}
	}
	f.settled = max(f.settled, time.Duration(max(0, queuedAt-changedAt)*float64(time.Second)))
	f.idle = idleTime / float64(duration/tick)
	return f
}

// step simulates one tick and returns the part of the most loaded domain's arrivals that
// left it.
func (s *simulation) step(now proto.Instant, fleet []*simRouter, demand [domains]float64, choose policy) float64 {
	s.history = append(s.history, s.held)
	var hottest, arrived, left = 0, 0.0, 0.0
	for d := range demand {
		if demand[d]/s.capacity[d] > demand[hottest]/s.capacity[hottest] {
			hottest = d
		}
	}
	for i, r := range fleet {
		// Half of the routers see newer states than the others.
		seen := s.history[max(0, len(s.history)-1-int(s.age/tick)/(1+i/domains%2))]
		if len(s.history)%5 == i%5 {
			r.observe(s, now, seen)
		}
		expected := demand[r.own] * float64(tick) / float64(service) / float64((len(fleet)+domains-1-r.own)/domains)
		n := int(expected)
		if s.rng.Float64() < expected-float64(n) {
			n++
		}
		for range n {
			r.controller.ObserveArrival(locality.Arrival{Service: "s", Bytes: 2000, Target: target, Expected: wait(seen[r.own], s.capacity[r.own])})
			to := choose(s, r, now, seen)
			s.held[to]++
			if r.own == hottest {
				arrived++
				if to != hottest {
					left++
				}
			}
		}
	}
	for d := range s.held {
		s.held[d] -= min(s.held[d], s.capacity[d]) * float64(tick) / float64(service)
	}
	return left / max(1, arrived)
}

// wait returns the time until a domain begins a new request.
func wait(held, capacity float64) time.Duration {
	return time.Duration(max(0, held-capacity) / capacity * float64(service))
}

func (r *simRouter) observe(s *simulation, now proto.Instant, seen [domains]float64) {
	var capacities []locality.Capacity
	for d := range seen {
		n := int(s.capacity[d])
		capacities = append(capacities, locality.Capacity{Service: "s", Domain: domainName(d), Slots: n, Usable: n})
		load, part := seen[d]/float64(n), n/s.engines
		if s.engines > 1 {
			load = max(0, load+s.rng.NormFloat64()*math.Sqrt(load/float64(part)))
		}
		r.controller.ObserveLoad(now.Add(-s.age), locality.Load{Service: "s", Domain: domainName(d), Occupied: int(math.Round(load * float64(part))), Slots: part})
	}
	r.controller.Update(now, capacities)
}

// byShares is the policy of the package.
func byShares(s *simulation, r *simRouter, now proto.Instant, _ [domains]float64) int {
	decision := r.controller.Decide(now, locality.Request{Service: "s", Bytes: 2000}, s.rng.Float64)
	for d := range domains {
		if decision != nil && domainName(d) == decision.To {
			return d
		}
	}
	return r.own
}

// byCost sends each request to where it is expected to begin first, with a constant cost
// for leaving and a random addition.
func byCost(s *simulation, r *simRouter, _ proto.Instant, seen [domains]float64) int {
	best, least := r.own, math.Inf(1)
	for d := range domains {
		cost := float64(wait(seen[d], s.capacity[d])) * (1 + 0.3*s.rng.Float64())
		if d != r.own {
			cost += float64(16 * time.Millisecond)
		}
		if cost < least {
			best, least = d, cost
		}
	}
	return best
}

// movingPeak is a demand of 1.3 times the capacity that moves to the next domain every 20
// seconds, beside 0.6 elsewhere.
func movingPeak(at time.Duration) (demand, capacity [domains]float64) {
	for d := range domains {
		demand[d], capacity[d] = 0.6*slots, slots
	}
	demand[int(at/(20*time.Second))%domains] = 1.3 * slots
	return demand, capacity
}

// halfLost loses half of the engines of one domain after ten seconds.
func halfLost(at time.Duration) (demand, capacity [domains]float64) {
	for d := range domains {
		demand[d], capacity[d] = 0.65*slots, slots
	}
	if at >= 10*time.Second {
		capacity[0] = slots / 2
		demand[0] += 1e-9 // marks the change
	}
	return demand, capacity
}

// Guards against routers that overload a neighbour together, swing between domains, or
// leave capacity idle beside a domain that queues, at each size of the fleet and age of the
// view.
func TestSimulation(t *testing.T) {
	for _, c := range []struct {
		name    string
		load    func(time.Duration) (demand, capacity [domains]float64)
		age     time.Duration
		settled time.Duration
		idle    float64
		engines int
	}{
		{"moving peak", movingPeak, 200 * time.Millisecond, 6 * time.Second, 0.03, 1},
		{"moving peak", movingPeak, time.Second, 12 * time.Second, 0.08, 1},
		{"moving peak", movingPeak, 2 * time.Second, 19 * time.Second, 0.13, 1},
		{"half lost", halfLost, 200 * time.Millisecond, 5 * time.Second, 0.02, 1},
		{"half lost", halfLost, time.Second, 9 * time.Second, 0.03, 1},
		{"half lost", halfLost, 2 * time.Second, 14 * time.Second, 0.05, 1},
		{"moving peak, few reports", movingPeak, 200 * time.Millisecond, 18 * time.Second, 0.1, 20},
		{"half lost, few reports", halfLost, 200 * time.Millisecond, 18 * time.Second, 0.05, 20},
	} {
		for _, routers := range []int{3, 27, 103} {
			if c.engines > 1 && routers == 3 {
				continue // a router with a third of all requests has reports of all engines
			}
			shares := run(routers, c.engines, c.age, byShares, c.load)
			if testing.Verbose() {
				cost := run(routers, c.engines, c.age, byCost, c.load) // for docs/design/locality.md
				t.Logf("%s, %d routers, view %v: settled %.1fs (by cost %.1fs), %d oscillations (%d), idle %.3f (%.3f)", c.name, routers, c.age,
					shares.settled.Seconds(), cost.settled.Seconds(), shares.oscillations, cost.oscillations, shares.idle, cost.idle)
			}
			if shares.settled > c.settled || shares.oscillations > 6 || shares.idle > c.idle {
				t.Errorf("%s, %d routers, view of %v: %+v", c.name, routers, c.age, shares)
			}
		}
	}
}
