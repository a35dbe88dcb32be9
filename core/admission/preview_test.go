package admission_test

import (
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/core/admission"
	"github.com/kumquatsill/kumquatsill/core/place"
)

// Guards against a preview that differs from the admission that follows, or that takes
// credit, a position for the retry, or counts as an arrival: two controllers are played alike,
// of which one is asked for previews.
func TestPreviewChangesNothing(t *testing.T) {
	full := func() place.ServiceLoad { return place.ServiceLoad{Slots: slots, Running: slots, Waiting: 5} }
	asked, plain, now := admission.New(), admission.New(), start
	refused, admitted := 0, 0
	for i := range 1500 {
		now = now.Add(step)
		q := admission.Request{Service: "s", Rank: 1, Remaining: 3 * time.Second, Tokens: int64(i % 5 * 1000), Returning: i%9 == 0}
		var preview admission.Decision
		for range 3 {
			preview = asked.Preview(now, q, full)
		}
		d := asked.Admit(now, q, full)
		if expected := plain.Admit(now, q, full); preview != d || d != expected {
			t.Fatalf("request %d: preview %+v, admission %+v, without previews %+v", i, preview, d, expected)
		}
		if d.OK {
			admitted++
		} else {
			refused++
		}
		for _, c := range []*admission.Controller{asked, plain} {
			c.Admit(now, admission.Request{Service: "s"}, full)
			c.Record(now, "s", 0, admission.Late)
			c.Record(now, "s", 1, admission.InTime)
			c.Evaluate(now, func(string) place.ServiceLoad { return full() })
		}
	}
	if refused == 0 || admitted == 0 {
		t.Errorf("%d refused, %d admitted", refused, admitted)
	}
}
