package place_test

import (
	"fmt"
	"testing"
	"time"

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
		checkAssessments(t, &x)
		for _, r := range []*fixture{asked, plain} {
			a := r.placer.StartAttempt(r.now, q, c)
			r.now = r.now.Add(20 * time.Millisecond)
			r.placer.EndAttempt(r.now, a, i%7 != 0)
		}
	}
}

// checkAssessments checks that the endpoint chosen is the cheapest one.
func checkAssessments(t *testing.T, x *place.Explanation) {
	t.Helper()
	if len(x.Assessments) != 10 {
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
		case a.Excluded == "" && own != a.Choice.ExpectedTTFB:
			t.Errorf("%s: components %v, expected %v", a.Choice.Endpoint.ID, own, a.Choice.ExpectedTTFB)
		case a.Excluded == "" && (a.Costs.Jitter < 0 || a.Costs.Jitter > a.Choice.ExpectedTTFB*3/10+1):
			t.Errorf("%s: jitter of %v for %v", a.Choice.Endpoint.ID, a.Costs.Jitter, a.Choice.ExpectedTTFB)
		case a.Excluded == "" && a.Costs.Total() < chosen.Costs.Total():
			t.Errorf("%s at %v is cheaper than the one chosen at %v", a.Choice.Endpoint.ID, a.Costs.Total(), chosen.Costs.Total())
		}
	}
}
