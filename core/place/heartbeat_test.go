package place_test

import (
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// Guards against requests to an engine without heartbeat while others can take
// them.
func TestEngineWithoutHeartbeatIsAvoided(t *testing.T) {
	r := newFixture(t, 2)
	first := r.choose(r.query("x")).Endpoint.ID
	for offset := range int64(2) {
		for i := range 2 {
			r.placer.ObserveRegistration(r.now, engineID(i), at(1+offset), false)
		}
	}
	r.now = r.now.Add(4 * time.Second)
	for i := range 2 {
		if engineID(i) != first {
			r.placer.ObserveRegistration(r.now, engineID(i), at(3), false)
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
		r.placer.ObserveRegistration(r.now, engineID(i), at(1), true)
		r.placer.ObserveRegistration(r.now, engineID(i), at(1), false) // read again with a listing
		r.placer.ObserveRegistration(r.now, engineID(i), at(1), false)
	}
	first := r.choose(r.query("x")).Endpoint.ID
	r.now = r.now.Add(4 * time.Second)
	for i := range 2 {
		if engineID(i) != first {
			r.placer.ObserveRegistration(r.now, engineID(i), at(2), true)
		}
	}
	if c := r.choose(r.query("x")); c.Endpoint.ID != first {
		t.Fatal("an engine with an unchanged registration lost its requests")
	}
}

// Guards against an engine that counts as silent because the registry was restored from an
// older copy and has assigned lower offsets to its later heartbeats.
func TestHeartbeatsCountAfterRestore(t *testing.T) {
	r := newFixture(t, 2)
	first := r.choose(r.query("x")).Endpoint.ID
	for offset := range int64(2) {
		for i := range 2 {
			r.placer.ObserveRegistration(r.now, engineID(i), at(100+offset), false)
		}
	}
	r.now = r.now.Add(4 * time.Second)
	for i := range 2 {
		offset := int64(200)
		if engineID(i) == first {
			offset = 3
		}
		r.placer.ObserveRegistration(r.now, engineID(i), proto.LogPosition{Era: 2, Offset: offset}, false)
	}
	if c := r.choose(r.query("x")); c.Endpoint.ID != first {
		t.Fatal("an engine whose heartbeats go on after the restore lost its requests")
	}
}

// Guards against expecting heartbeats from an engine because restores have repeated its
// registration.
func TestRestoreIsNoHeartbeat(t *testing.T) {
	r := newFixture(t, 2)
	first := r.choose(r.query("x")).Endpoint.ID
	r.placer.ObserveRegistration(r.now, first, at(5), true)
	for era := range int64(3) {
		r.placer.ObserveRegistration(r.now, first, proto.LogPosition{Era: 2 + era, Offset: 5}, false)
	}
	r.now = r.now.Add(4 * time.Second)
	for i := range 2 {
		if engineID(i) != first {
			r.placer.ObserveRegistration(r.now, engineID(i), at(6), true)
		}
	}
	if c := r.choose(r.query("x")); c.Endpoint.ID != first {
		t.Fatal("an engine with an unchanged registration lost its requests")
	}
}

// at returns a position in the first era.
func at(offset int64) proto.LogPosition { return proto.LogPosition{Era: 1, Offset: offset} }
