package place_test

import (
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/core/place"
)

// Guards against taking a service for full while most of its endpoints are idle, and against
// taking it for idle while its requests wait, or when its endpoints have not reported lately.
func TestServiceLoad(t *testing.T) {
	const endpoints, slots = 4, 8
	report := func(loads ...place.EndpointLoad) place.ServiceLoad {
		r := newFixture(t, endpoints)
		for i, load := range loads {
			q := r.query("own")
			q.Only = append(q.Only, engineID(i))
			c := r.choose(q)
			a := r.placer.StartAttempt(r.now, q, c)
			r.placer.EndAttempt(r.now, a, true)
			r.placer.ObserveLoad(r.now, a, load)
		}
		return r.placer.ServiceLoad(r.now, "s")
	}
	for name, c := range map[string]struct {
		load  place.ServiceLoad
		want  place.ServiceLoad
		spare bool
	}{
		"idle":                       {report(), place.ServiceLoad{Slots: endpoints * slots}, true},
		"one endpoint queues for it": {report(place.EndpointLoad{Running: 8, Waiting: 1, Slots: slots}), place.ServiceLoad{Slots: 32, Running: 8, Waiting: 1}, true},
		"short of memory":            {report(place.EndpointLoad{Running: 2, Waiting: 3, Slots: slots}), place.ServiceLoad{Slots: 32, Running: 5, Waiting: 3}, false},
		"half full":                  {report(place.EndpointLoad{Running: 8}, place.EndpointLoad{Running: 8}), place.ServiceLoad{Slots: 32, Running: 16}, false},
	} {
		if c.load != c.want || c.load.HasSpare() != c.spare {
			t.Errorf("%s: %+v, spare %v; want %+v, %v", name, c.load, c.load.HasSpare(), c.want, c.spare)
		}
	}
	r := newFixture(t, endpoints)
	a := r.placer.StartAttempt(r.now, r.query("own"), r.choose(r.query("own")))
	r.placer.ObserveLoad(r.now, a, place.EndpointLoad{Running: 8, Waiting: 9})
	r.placer.EndAttempt(r.now, a, true)
	if load := r.placer.ServiceLoad(r.now.Add(time.Minute), "s"); load.Running+load.Waiting > 0 {
		t.Errorf("a minute after the last report: %+v", load)
	}
}
