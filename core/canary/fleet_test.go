package canary_test

import (
	"flag"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/core/canary"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// simSeeds is the number of runs of each simulation.
var simSeeds = flag.Int("seeds", 1, "number of runs of each simulation of a fleet")

// Guards against a release that fails all requests, or turns bad under load, and exceeds its
// bounds in fleets of 27 and 103 routers.
func TestExposureInFleets(t *testing.T) {
	for _, routers := range []int{27, 103} {
		for name, behave := range map[string]func(simRequest) bool{
			"always": func(simRequest) bool { return true },
			"often":  func(r simRequest) bool { return r.random < 0.1 },
			"load":   func(r simRequest) bool { return r.running >= 3 },
		} {
			t.Run(fmt.Sprint(routers, " ", name), func(t *testing.T) {
				t.Parallel()
				seeds := uint64(*simSeeds)
				sum, most, latest := int64(0), int64(0), time.Duration(0)
				for seed := range uint64(*simSeeds) {
					s := newSim(t, routers, seed)
					s.behave = func(r simRequest) response {
						if r.release == "v2" && behave(r) {
							return failing(r)
						}
						return response{canary.Answered, r.usual}
					}
					s.warmUp(5 * time.Second)
					s.run(simDuration + time.Second)
					s.checkBounds()
					if s.stored.State != canary.RolledBack {
						t.Errorf("seed %d: %+v", seed, s.stored)
					}
					sum, most, latest = sum+s.exposed, max(most, s.exposed), max(latest, s.storeAt)
				}
				t.Logf("exposed %d at most, %d on average, rolled back after %v at most", most, sum/int64(seeds), latest)
			})
		}
		t.Run(fmt.Sprint(routers, " good"), func(t *testing.T) {
			t.Parallel()
			latest, sampled := time.Duration(0), int64(math.MaxInt64)
			for seed := range uint64(*simSeeds) {
				s := newSim(t, routers, seed)
				s.warmUp(5 * time.Second)
				s.run(6 * time.Second)
				sampled = min(sampled, s.exposed)
				s.run(6 * time.Second)
				if s.stored.State != canary.Completed {
					t.Errorf("seed %d: %+v", seed, s.stored)
				}
				latest = max(latest, s.storeAt)
			}
			t.Logf("completed after %v at most, %d requests sampled in 6 s at least", latest, sampled)
		})
	}
}

// Guards against routers that exceed the exposure bound because they do not hear each other,
// or because they restart and forget what they have sent.
func TestExposureWithoutContact(t *testing.T) {
	for name, disturb := range map[string]func(*sim){
		"all messages lost": func(s *sim) { s.loss = 1 },
		"restarts": func(s *sim) {
			for i := range s.routers {
				s.after(time.Duration(i%12)*time.Second/2, func() { s.restart(i) })
			}
		},
		"new routers": func(s *sim) {
			for i := range 20 {
				s.after(2*time.Second, func() {
					s.routers = append(s.routers, &simRouter{id: proto.RouterID(fmt.Sprint("new", i))})
					s.restart(len(s.routers) - 1)
				})
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSim(t, 27, 3)
			s.holder = -1 // no verdict of a holder
			s.behave = func(r simRequest) response {
				if r.release == "v2" && s.loss == 1 {
					return failing(r)
				}
				return response{canary.Answered, r.usual}
			}
			s.warmUp(5 * time.Second)
			disturb(s)
			s.run(simDuration + 2*time.Second)
			if bound := simBounds.ExposureShare*float64(s.requests) + simBounds.ExposureSlack; float64(s.exposed) > bound {
				t.Errorf("%d of %d requests at the new release, more than %.0f", s.exposed, s.requests, bound)
			}
			t.Logf("exposed %d of %d", s.exposed, s.requests)
		})
	}
}

// Guards against a router without contact to its peers, or a new one, that sends requests to
// the new release.
func TestRouterWithoutContactSendsNothing(t *testing.T) {
	t.Parallel()
	s := newSim(t, 3, 1)
	for _, r := range s.routers {
		r.cut = true
	}
	s.warmUp(5 * time.Second)
	s.run(simDuration)
	if s.exposed > 0 {
		t.Errorf("%d requests", s.exposed)
	}
	if s.stored.State == canary.Completed {
		t.Errorf("%+v", s.stored)
	}
}

// Guards against incidents that have nothing to do with the release and roll back a good one.
func TestUnrelatedIncidents(t *testing.T) {
	for name, incident := range map[string]func(simRequest) response{
		"one new endpoint crashes": func(r simRequest) response {
			if r.release == "v2" && r.endpoint == 3 && r.at > 3*time.Second && r.at < 5*time.Second {
				return failing(r)
			}
			return response{canary.Answered, r.usual}
		},
		"one new endpoint is slow": func(r simRequest) response {
			if r.release == "v2" && r.endpoint == 3 {
				return response{canary.Answered, 4 * r.usual}
			}
			return response{canary.Answered, r.usual}
		},
		"a third of all endpoints is slow": func(r simRequest) response {
			if r.endpoint%3 == 0 && r.at > 2*time.Second && r.at < 7*time.Second {
				return response{canary.Answered, 4 * r.usual}
			}
			return response{canary.Answered, r.usual}
		},
		"a failure domain is lost": func(r simRequest) response {
			if r.endpoint%3 == 1 && r.at > 4*time.Second && r.at < 6*time.Second {
				return failing(r)
			}
			return response{canary.Answered, r.usual}
		},
		"some of all responses fail": func(r simRequest) response {
			if r.random < 0.1 {
				return failing(r)
			}
			return response{canary.Answered, r.usual}
		},
		"first responses are slow": func(r simRequest) response {
			if r.release == "v2" && r.at < 500*time.Millisecond && r.random < 0.1 {
				return response{canary.Answered, 4 * r.usual}
			}
			return response{canary.Answered, r.usual}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(*simSeeds) {
				s := newSim(t, 27, seed)
				s.behave = incident
				s.warmUp(5 * time.Second)
				s.run(simDuration)
				if s.stored.State != canary.Completed {
					t.Errorf("seed %d: %+v after %v", seed, s.stored, s.storeAt)
				}
			}
		})
	}
}

// Guards against a verdict that is lost when the holder of the lease is killed after it and
// before the status.
func TestHolderKilledBetweenVerdictAndStatus(t *testing.T) {
	for _, bad := range []bool{false, true} {
		t.Run(fmt.Sprint("bad ", bad), func(t *testing.T) {
			t.Parallel()
			s := newSim(t, 27, 1)
			s.behave = func(r simRequest) response {
				if bad && r.release == "v2" {
					return failing(r)
				}
				return response{canary.Answered, r.usual}
			}
			s.warmUp(5 * time.Second)
			for s.phase(1) != "moving" && s.phase(1) != "stopped" && s.now.Sub(s.ordered) < simDuration {
				s.run(50 * time.Millisecond)
			}
			s.holder, s.stored = -1, canary.Status{State: canary.Running, To: "v2"}
			for _, r := range s.routers {
				s.readStatus(r)
			}
			s.restart(0)
			s.run(3 * time.Second)
			s.holder = 1
			s.run(2 * time.Second)
			if want := map[bool]canary.State{false: canary.Completed, true: canary.RolledBack}[bad]; s.stored.State != want {
				t.Errorf("%+v", s.stored)
			}
		})
	}
}

// Guards against data loss in the store that loses a status for good, or changes it.
func TestStatusSurvivesDataLoss(t *testing.T) {
	t.Parallel()
	s := newSim(t, 3, 1)
	s.warmUp(5 * time.Second)
	s.run(simDuration)
	if s.stored.State != canary.Completed {
		t.Fatalf("%+v", s.stored)
	}
	for _, lost := range []canary.Status{{}, {State: canary.Running, To: "v2"}, {State: canary.RolledBack, To: "v2"}} {
		s.stored = lost
		for _, r := range s.routers {
			r.table.HandleStatus(s.now, simService, lost)
		}
		s.run(time.Second)
		if s.stored.State != canary.Completed {
			t.Errorf("%+v instead of %+v", s.stored, lost)
		}
	}
}
