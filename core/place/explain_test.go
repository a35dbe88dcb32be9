package place_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/core/discovery"
	"github.com/kumquatsill/kumquatsill/core/place"
)

// Guards against an explanation that differs from the choice that follows, that changes it,
// or whose components do not add up to the cost; with shares of work that leave, endpoints
// that fail, and ones that were tried.
func TestExplanationIsWhatIsDone(t *testing.T) {
	asked, plain := newDomainFixture(t, true), newDomainFixture(t, true)
	for _, r := range []*fixture{asked, plain} {
		r.report(8, 14, 2)
	}
	for i := range 200 {
		q := asked.query(fmt.Sprint("own", i))
		q.Exclude = append(q.Exclude, engineID(i%10))
		var x place.Explanation
		for range 3 {
			x = asked.placer.Explain(asked.now, q)
		}
		c, expected := asked.choose(q), plain.choose(q)
		if !x.OK || x.Choice.Endpoint.ID != c.Endpoint.ID || x.Choice.ExpectedTTFB != c.ExpectedTTFB || x.Choice.Source != c.Source {
			t.Fatalf("request %d: explained %s, chosen %s", i, x.Choice.Endpoint.ID, c.Endpoint.ID)
		}
		if expected.Endpoint.ID != c.Endpoint.ID {
			t.Fatalf("request %d: chosen %s, without an explanation %s", i, c.Endpoint.ID, expected.Endpoint.ID)
		}
		checkAssessments(t, &x, 10)
		for _, r := range []*fixture{asked, plain} {
			a := r.placer.StartAttempt(r.now, q, c)
			r.now = r.now.Add(20 * time.Millisecond)
			r.placer.EndAttempt(r.now, a, i%7 != 0)
		}
	}
}

// costRounding is the rounding error of the components, of which two are not whole nanoseconds.
const costRounding = 3 * time.Nanosecond

// checkAssessments checks that the components add up to the cost and that the endpoint chosen is the cheapest one.
func checkAssessments(t *testing.T, x *place.Explanation, endpoints int) {
	t.Helper()
	if len(x.Assessments) != endpoints {
		t.Fatalf("%d endpoints explained", len(x.Assessments))
	}
	var chosen *place.Assessment
	for i := range x.Assessments {
		if x.Assessments[i].Choice.Endpoint.ID == x.Choice.Endpoint.ID {
			chosen = &x.Assessments[i]
		}
	}
	for _, a := range x.Assessments {
		own := a.Costs.Wait + a.Costs.Lag + a.Costs.Prefill + a.Costs.Fetch
		switch {
		case a.Excluded != "" && a.Excluded != "tried":
			t.Errorf("%s excluded: %s", a.Choice.Endpoint.ID, a.Excluded)
		case a.Excluded == "" && (a.Costs.Total()-a.Cost).Abs() > costRounding:
			t.Errorf("%s: components %+v add up to %v, cost %v", a.Choice.Endpoint.ID, a.Costs, a.Costs.Total(), a.Cost)
		case a.Excluded == "" && own != a.Choice.ExpectedTTFB:
			t.Errorf("%s: components %v, expected %v", a.Choice.Endpoint.ID, own, a.Choice.ExpectedTTFB)
		case a.Excluded == "" && (a.Costs.Jitter < 0 || a.Costs.Jitter > a.Choice.ExpectedTTFB*3/10+1):
			t.Errorf("%s: jitter of %v for %v", a.Choice.Endpoint.ID, a.Costs.Jitter, a.Choice.ExpectedTTFB)
		case a.Excluded == "" && a.Cost < chosen.Cost:
			t.Errorf("%s at %v is cheaper than the one chosen at %v", a.Choice.Endpoint.ID, a.Cost, chosen.Cost)
		}
	}
}

// Guards against an explanation of streams and of large requests that differs from the choice
// that follows, that changes it, or that lacks the costs of lateness and of memory.
func TestExplanationOfPacedStreams(t *testing.T) {
	const engines = 3
	slow := usualEngine
	slow.interval, slow.token, slow.slowdown = 3*slow.interval, 3*slow.token, 250
	asked, plain := newFixture(t, engines), newFixture(t, engines)
	for _, r := range []*fixture{asked, plain} {
		r.placer.Configure(pacedConfig(t))
		r.teach([]simulated{usualEngine, usualEngine, slow})
	}
	late, full, slowed := 0, 0, 0
	for i := range 60 {
		q := asked.stream(fmt.Sprint("own", i), 6000)
		q.Size = place.Size{PromptTokens: 6000, MaxOutput: 3000, LengthHint: 3000}
		var x place.Explanation
		for range 3 {
			x = asked.placer.Explain(asked.now, q)
		}
		c, expected := asked.choose(q), plain.choose(q)
		if !x.OK || x.Choice.Endpoint.ID != c.Endpoint.ID || x.Choice.ExpectedTTFB != c.ExpectedTTFB || x.Choice.MemoryWait != c.MemoryWait {
			t.Fatalf("request %d: explained %s, chosen %s", i, x.Choice.Endpoint.ID, c.Endpoint.ID)
		}
		if expected.Endpoint.ID != c.Endpoint.ID {
			t.Fatalf("request %d: chosen %s, without an explanation %s", i, c.Endpoint.ID, expected.Endpoint.ID)
		}
		checkAssessments(t, &x, engines)
		for _, a := range x.Assessments {
			if prefill := time.Duration(a.Choice.PrefillTokens) * a.TokenTime; a.Costs.Prefill != prefill || a.TokenTime <= 0 {
				t.Fatalf("%s: prefill of %v at %v per token", a.Choice.Endpoint.ID, a.Costs.Prefill, a.TokenTime)
			}
			if a.Costs.Lateness > 0 {
				late++
			}
			if a.Costs.Memory > 0 && a.Choice.MemoryWait > 0 {
				full++
			}
			if a.Slowdown > 0 {
				slowed++
			}
		}
		asked.placer.StartAttempt(asked.now, q, c)
		plain.placer.StartAttempt(plain.now, q, c)
	}
	if late == 0 || full == 0 || slowed == 0 {
		t.Errorf("%d assessments with lateness, %d with full memory, %d with a slowdown", late, full, slowed)
	}
}

// Guards against an explanation that leaves out endpoints excluded by their memory or by their
// release, and against one after a first choice that differs from the second choice.
func TestExplanationOfExclusions(t *testing.T) {
	r := newFixture(t, 2)
	huge := r.sized("huge", 95_000, 100)
	for i := range 2 {
		r.placer.ObserveEndpointLoad(r.now, r.table.Snapshot().ByID[engineID(i)], place.EndpointLoad{Slots: 8, Slowdown: 100})
	}
	check := func(q *place.Query, want string) {
		t.Helper()
		x := r.placer.Explain(r.now, q)
		if c, ok := r.placer.Choose(r.now, q); ok || x.OK || x.Choice.Excluded != c.Excluded || len(x.Assessments) != 2 {
			t.Errorf("chosen %v, explained %v with %d endpoints", ok, x.OK, len(x.Assessments))
		}
		for _, a := range x.Assessments {
			if a.Excluded != want {
				t.Errorf("%s excluded by %q, want %q", a.Choice.Endpoint.ID, a.Excluded, want)
			}
		}
	}
	check(huge, "memory")
	q := r.query("own")
	q.Allows = func(*discovery.Endpoint) bool { return false }
	check(q, "release")
	for i := range 50 {
		preview := r.placer.Preview()
		q := r.query(fmt.Sprint("own", i))
		q.Parts = q.Parts[2:]
		var explained []place.Choice
		for range 3 {
			explained = append(explained, preview.Explain(r.now, q).Choice)
		}
		for n, want := range explained {
			if c := r.choose(q); c.Endpoint.ID != want.Endpoint.ID {
				t.Errorf("choice %d: explained %s, chosen %s", n, want.Endpoint.ID, c.Endpoint.ID)
			}
		}
	}
}
