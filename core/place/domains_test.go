package place_test

import (
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/core/place"
)

// newDomainFixture returns a fixture of 10 engines in two domains whose cost of leaving
// follows the loads.
func newDomainFixture(t *testing.T, adapt bool) *fixture {
	r := newFixture(t, 0)
	r.placer = place.New(place.Config{Domain: "a", Costs: place.DefaultCosts(), Seed: 1, States: r.states, AdaptDomainCost: adapt})
	r.placer.Configure(config(t))
	source := newFixture(t, 10)
	r.table = source.table
	r.placer.Update(r.table.Snapshot())
	return r
}

// report lets all engines of both domains report a number of requests for some seconds.
func (r *fixture) report(seconds int, own, other int) {
	for range seconds * 4 {
		r.now = r.now.Add(250 * time.Millisecond)
		for i := range 10 {
			running := own
			if i%2 == 1 {
				running = other
			}
			q := r.query("report")
			q.Only = append(q.Only, engineID(i))
			c := r.choose(q)
			a := r.placer.StartAttempt(r.now, q, c)
			r.placer.ObserveLoad(r.now, a, place.EndpointLoad{Running: min(running, 8), Waiting: max(0, running-8), Slots: 8})
			r.placer.RecordFirstByte(r.now.Add(c.ExpectedTTFB), a)
			r.placer.EndAttempt(r.now, a, true)
		}
		r.placer.UpdateDomains(r.now)
	}
}

// leaving sends requests without prompts and returns how many leave the domain.
func (r *fixture) leaving(requests int) int {
	n := 0
	for range requests {
		r.now = r.now.Add(time.Millisecond)
		if r.choose(&place.Query{Service: "s", Bytes: 1000}).Endpoint.Domain != "a" {
			n++
		}
	}
	return n
}

// Guards against choices that differ from those of the constant cost where no loads are
// known, against more work that leaves a domain with room, and against an overloaded domain
// whose work stays beside one with room.
func TestDomainCostFollowsLoads(t *testing.T) {
	for _, c := range []struct {
		name       string
		own, other int
		// least and most bound how many more requests leave than at the constant cost.
		least, most int
	}{
		{"unknown", -1, -1, 0, 0}, {"room", 2, 2, -1000, 0}, {"room, other one idle", 4, 0, -1000, 0}, {"near capacity", 7, 1, 0, 0}, {"overloaded", 14, 2, 200, 1000},
	} {
		constant, adaptive := newDomainFixture(t, false), newDomainFixture(t, true)
		if c.own >= 0 {
			constant.report(8, c.own, c.other)
			adaptive.report(8, c.own, c.other)
		}
		before, after := constant.leaving(1000), adaptive.leaving(1000)
		t.Logf("%s: %d of 1000 requests leave at the constant cost, %d at the adaptive one", c.name, before, after)
		if more := after - before; more < c.least || more > c.most {
			t.Errorf("%s: %d of 1000 requests leave at the constant cost, %d at the adaptive one", c.name, before, after)
		}
	}
}
