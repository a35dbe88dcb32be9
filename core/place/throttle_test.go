package place_test

import (
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/core/place"
	"github.com/kumquatsill/kumquatsill/core/throttle"
)

// nameLimit lets an engine name a limit of one request per second.
func (r *fixture) nameLimit(i int) {
	e := r.table.Snapshot().ByID[engineID(i)]
	r.limits.Observe(r.now, throttle.Endpoint{ID: e.ID, Started: e.Started, Domain: e.Domain}, throttle.Limit{PerSecond: 1, Named: true})
}

// Guards against requests to an engine beyond the limit that it names, and against
// leaving it out altogether.
func TestEngineBeyondItsLimitIsLeftOut(t *testing.T) {
	r := newFixture(t, 2)
	first := r.choose(r.query("x")).Endpoint.ID
	for i := range 2 {
		if engineID(i) == first {
			r.nameLimit(i)
		}
	}
	chosen := 0
	for range 100 {
		r.now = r.now.Add(100 * time.Millisecond)
		q := r.query("x")
		c := r.choose(q)
		r.placer.StartAttempt(r.now, q, c)
		if c.Endpoint.ID == first {
			chosen++
		}
	}
	if chosen < 5 || chosen > 11 {
		t.Fatalf("chosen %d times in 10 s", chosen)
	}
}

// Guards against a refusal that does not tell when an engine may take the request.
func TestAllEnginesBeyondTheirLimits(t *testing.T) {
	r := newFixture(t, 2)
	r.nameLimit(0)
	r.nameLimit(1)
	c, ok := r.placer.Choose(r.now, r.query("x"))
	if ok || c.Throttled != 2 || c.ThrottledFor <= 0 || c.ThrottledFor > time.Second {
		t.Fatalf("ok %t, throttled %d, wait %v", ok, c.Throttled, c.ThrottledFor)
	}
}

// Guards against an engine that stays limited after its limit has ended, because another
// one is always a little cheaper and nobody asks.
func TestEngineWithALimitIsAskedNowAndThen(t *testing.T) {
	r := newFixture(t, 2)
	first := r.choose(r.query("x")).Endpoint.ID
	other := -1
	for i := range 2 {
		if engineID(i) != first {
			other = i
		}
	}
	r.nameLimit(other)
	for range 50 {
		r.now = r.now.Add(100 * time.Millisecond)
		if r.choose(&place.Query{Service: "s", Model: model, Salt: r.query("x").Salt}).Endpoint.ID == engineID(other) {
			return
		}
	}
	t.Fatal("not asked within 5 s")
}
