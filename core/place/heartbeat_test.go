package place_test

import (
	"testing"
	"time"
)

// Guards against requests to an engine without heartbeat while others can take
// them.
func TestEngineWithoutHeartbeatIsAvoided(t *testing.T) {
	r := newFixture(t, 2)
	first := r.choose(r.query("x")).Endpoint.ID
	for offset := range int64(2) {
		for i := range 2 {
			r.placer.ObserveRegistration(r.now, engineID(i), 1+offset, false)
		}
	}
	r.now = r.now.Add(4 * time.Second)
	for i := range 2 {
		if engineID(i) != first {
			r.placer.ObserveRegistration(r.now, engineID(i), 3, false)
		}
	}
	if c := r.choose(r.query("x")); c.Endpoint.ID == first {
		t.Fatal("an engine without heartbeat for 4 s got a request")
	}
}

// Guards against crowding after a weight change at a registry that shows changed
// registrations only: the engines that changed last are not the only healthy ones.
func TestUnchangedRegistrationIsNoMissedHeartbeat(t *testing.T) {
	r := newFixture(t, 2)
	for i := range 2 {
		r.placer.ObserveRegistration(r.now, engineID(i), 1, true)
		r.placer.ObserveRegistration(r.now, engineID(i), 1, false) // read again with a listing
		r.placer.ObserveRegistration(r.now, engineID(i), 1, false)
	}
	first := r.choose(r.query("x")).Endpoint.ID
	r.now = r.now.Add(4 * time.Second)
	for i := range 2 {
		if engineID(i) != first {
			r.placer.ObserveRegistration(r.now, engineID(i), 2, true)
		}
	}
	if c := r.choose(r.query("x")); c.Endpoint.ID != first {
		t.Fatal("an engine with an unchanged registration lost its requests")
	}
}
