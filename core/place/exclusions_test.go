package place_test

import (
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/core/endpointstate"
	"github.com/kumquatsill/kumquatsill/core/place"
)

// observe records what an engine says about itself.
func (r *fixture) observe(i int, report endpointstate.Report) {
	e := r.table.Snapshot().ByID[engineID(i)]
	r.states.Observe(r.now, endpointstate.EndpointOf(e), report)
}

// nameLimit lets an engine name a limit of one request per second.
func (r *fixture) nameLimit(i int) {
	r.observe(i, endpointstate.Report{Limit: endpointstate.Limit{PerSecond: 1, Named: true}, HasLimit: true})
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

// Guards against requests to an engine that leaves where another one takes them, and
// against refusing them at once where all leave.
func TestLeavingEngineIsTheLastResort(t *testing.T) {
	r := newFixture(t, 2)
	r.states.SetDrainTimeout(time.Second)
	first := r.choose(r.query("x"))
	for i := range 2 {
		if engineID(i) == first.Endpoint.ID {
			r.observe(i, endpointstate.Report{Leaving: true})
		}
	}
	c := r.choose(r.query("x"))
	if c.Endpoint.ID == first.Endpoint.ID || c.Candidates != 1 || c.Excluded.String() != "leaving:1" {
		t.Errorf("chose %s of %d, excluded %q", c.Endpoint.ID, c.Candidates, c.Excluded.String())
	}
	r.observe(0, endpointstate.Report{Leaving: true})
	r.observe(1, endpointstate.Report{Leaving: true})
	r.choose(r.query("x"))
	r.now = r.now.Add(time.Second)
	if c, ok := r.placer.Choose(r.now, r.query("x")); ok || c.Excluded.Leaving() != 2 {
		t.Errorf("chose %v after the drain time, excluded %q", c.Endpoint, c.Excluded.String())
	}
}

// Guards against requests to an engine that takes none for a time, and against a refusal
// that does not tell the least time that is left.
func TestPausedEnginesAreLeftOut(t *testing.T) {
	r := newFixture(t, 2)
	r.observe(0, endpointstate.Report{Pause: 3 * time.Second})
	if c := r.choose(r.query("x")); c.Endpoint.ID != engineID(1) || c.Excluded.String() != "pause:1" {
		t.Errorf("chose %s, excluded %q", c.Endpoint.ID, c.Excluded.String())
	}
	r.observe(1, endpointstate.Report{Pause: 2 * time.Second})
	c, ok := r.placer.Choose(r.now, r.query("x"))
	if n, wait := c.Excluded.Paused(); ok || n != 2 || wait != 2*time.Second {
		t.Errorf("ok %t, %d paused, wait %v", ok, n, wait)
	}
}

// Guards against a refusal that does not tell when an engine may take the request.
func TestAllEnginesBeyondTheirLimits(t *testing.T) {
	r := newFixture(t, 2)
	r.nameLimit(0)
	r.nameLimit(1)
	c, ok := r.placer.Choose(r.now, r.query("x"))
	if n, wait := c.Excluded.Limited(); ok || n != 2 || wait <= 0 || wait > time.Second {
		t.Fatalf("ok %t, %d beyond their limits, wait %v", ok, n, wait)
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
