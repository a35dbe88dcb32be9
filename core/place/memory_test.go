package place_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/core/place"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// sized returns a query of a request with its sizes; the shared parts take 6,300 tokens.
func (r *fixture) sized(own string, tokens, output int64) *place.Query {
	q := r.query(own)
	q.Parts[2].Tokens = tokens
	q.Size = place.Size{PromptTokens: 6300 + tokens, MaxOutput: output, LengthHint: float64(output)}
	return q
}

// Guards against large requests that are sent to an endpoint whose memory is full of
// running ones, and against memory that stays in use after they have ended.
func TestLargeRequestsAvoidFullMemory(t *testing.T) {
	r := newFixture(t, 3) // engines 0 and 2 are in the router's domain, 90,000 tokens each
	occupy := r.sized("first", 70_000, 1000)
	occupy.Only = []proto.EndpointID{engineID(0)}
	c := r.choose(occupy)
	a := r.placer.StartAttempt(r.now, occupy, c)
	r.now = r.now.Add(c.ExpectedTTFB)
	r.placer.RecordFirstByte(r.now, a)
	large := r.sized("large", 30_000, 1000)
	if c := r.choose(large); c.Endpoint.ID == engineID(0) || c.MemoryWait != 0 {
		t.Errorf("goes to %s with a wait of %v", c.Endpoint.ID, c.MemoryWait)
	}
	large.Only = occupy.Only
	if c := r.choose(large); c.MemoryWait <= 0 {
		t.Error("no wait is expected at the full endpoint")
	}
	if small := r.sized("small", 3_000, 1000); r.choose(small).Endpoint.ID != engineID(0) {
		t.Error("a request that fits does not go to the endpoint that holds its shared parts")
	}
	r.placer.EndAttempt(r.now, a, true)
	if c := r.choose(large); c.MemoryWait != 0 {
		t.Errorf("a wait of %v after the running request has ended", c.MemoryWait)
	}
}

// Guards against shared parts that are counted once for each request.
func TestSharedPartsAreCountedOnce(t *testing.T) {
	r := newFixture(t, 1)
	var running []*place.Attempt
	for n := range 20 { // together 20 x 7,300 tokens, of which 6,300 are shared
		q := r.sized(fmt.Sprint("own", n), 900, 100)
		c := r.choose(q)
		if c.MemoryWait != 0 {
			t.Fatalf("a wait of %v for request %d", c.MemoryWait, n)
		}
		running = append(running, r.placer.StartAttempt(r.now, q, c))
	}
	for _, a := range running[:19] {
		r.placer.EndAttempt(r.now, a, true)
	}
	q := r.sized("large", 81_500, 100) // fits only with the shared parts of the last one
	if c := r.choose(q); c.MemoryWait != 0 {
		t.Errorf("a wait of %v", c.MemoryWait)
	}
}

// Guards against peers' attempts that take no memory, or take it for ever.
func TestPeersAttemptsTakeMemoryForAWhile(t *testing.T) {
	r := newFixture(t, 1)
	notice := place.AttemptNotice{Endpoint: engineID(0), Started: 1, ReadyInMillis: 100, PrefillTokens: 60_000}
	r.placer.HandleAttemptNotice(r.now, notice)
	q := r.sized("large", 40_000, 100)
	if c := r.choose(q); c.MemoryWait == 0 {
		t.Error("no wait is expected")
	}
	r.now = r.now.Add(10 * time.Second)
	if c := r.choose(q); c.MemoryWait != 0 {
		t.Errorf("a wait of %v after the peer's attempt must have ended", c.MemoryWait)
	}
	r.placer.HandleAttemptNotice(r.now, notice)
	again := *r.table.Snapshot().ByID[engineID(0)]
	again.Started = 2
	r.put(&again)
	if c := r.choose(q); c.MemoryWait != 0 {
		t.Errorf("a wait of %v at the endpoint's next incarnation", c.MemoryWait)
	}
}

// Guards against length hints that are trusted though the outputs are much longer.
func TestLengthHintsAreCorrected(t *testing.T) {
	r := newFixture(t, 1)
	q := r.sized("short", 100, 8000)
	q.Size.LengthHint = 1000
	for range 200 {
		a := r.placer.StartAttempt(r.now, q, r.choose(q))
		r.placer.ObserveOutput(r.now, a, 4000)
		r.placer.EndAttempt(r.now, a, true)
	}
	for range 18 { // 18 x 1,000 tokens fit, 18 x 4,000 don't
		r.placer.StartAttempt(r.now, q, r.choose(q))
	}
	large := r.sized("large", 20_000, 16)
	if c := r.choose(large); c.MemoryWait == 0 {
		t.Error("no wait is expected")
	}
}

// Guards against a prompt that is sent from endpoint to endpoint though none can ever take
// it, and against refusing it where endpoints may take it.
func TestPromptLargerThanTheMemoryIsExcluded(t *testing.T) {
	r := newFixture(t, 2)
	q := r.sized("huge", 95_000, 100)
	r.choose(q)
	e := r.table.Snapshot().ByID[engineID(0)]
	r.placer.ObserveEndpointLoad(r.now, e, place.EndpointLoad{Slots: 8, Slowdown: 100})
	c, ok := r.placer.Choose(r.now, q)
	if ok || c.Excluded.String() != "memory:2" {
		t.Errorf("%v, excluded %q", ok, c.Excluded.String())
	}
}

// Guards against sums that overflow, and a ledger that stays wrong, after a caller stated
// absurd sizes.
func TestAbsurdSizesDoNotHarmTheLedger(t *testing.T) {
	r := newFixture(t, 1)
	for _, size := range []place.Size{
		{PromptTokens: math.MaxInt64, MaxOutput: math.MaxInt64, LengthHint: math.MaxFloat64},
		{PromptTokens: 1, MaxOutput: -5, LengthHint: 3},
	} {
		q := r.sized("absurd", 100, 100)
		q.Size = size
		a := r.placer.StartAttempt(r.now, q, r.choose(q))
		q = r.sized("sound", 1000, 100)
		if c := r.choose(q); c.MemoryWait < 0 || c.MemoryWait > time.Second {
			t.Errorf("a wait of %v beside %+v", c.MemoryWait, size)
		}
		r.placer.ObserveOutput(r.now, a, 10)
		r.placer.EndAttempt(r.now, a, true)
		if c := r.choose(q); c.MemoryWait != 0 {
			t.Errorf("a wait of %v after %+v", c.MemoryWait, size)
		}
	}
}
