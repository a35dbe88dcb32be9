package canary_test

import (
	"reflect"
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/core/canary"
)

// Guards against a preview that differs from the permit that follows, or that reserves a
// request for the new release, draws a random number or creates evidence: two tables are
// played alike, of which one is asked for previews.
func TestPreviewChangesNothing(t *testing.T) {
	asked, plain := newSingle("v1", "v2"), newSingle("v1", "v2")
	allowed := map[string]int{}
	play := func(d time.Duration) {
		for end := asked.now.Add(d); asked.now < end; {
			q := canary.Query{Service: simService, Route: "a", IsFirst: true}
			var preview *canary.Permit
			for range 3 {
				preview = asked.table.Preview(asked.now, q)
				preview.Cancel()
				asked.table.Preview(asked.now, canary.Query{Service: "unknown", Route: "b", IsFirst: true})
			}
			permit, expected := asked.table.Admit(asked.now, q), plain.table.Admit(plain.now, q)
			if preview.View() != permit.View() || permit.View() != expected.View() {
				t.Fatalf("preview %+v, permit %+v, without previews %+v", preview.View(), permit.View(), expected.View())
			}
			allowed[permit.View().Allowed]++
			permit.Cancel()
			expected.Cancel()
			asked.run(10 * time.Millisecond)
			plain.run(10 * time.Millisecond)
			if a, p := asked.table.Views(asked.now), plain.table.Views(plain.now); !reflect.DeepEqual(a, p) {
				t.Fatalf("views %+v, without previews %+v", a, p)
			}
		}
	}
	play(100 * time.Millisecond)
	asked.order("v2", 1)
	plain.order("v2", 1)
	play(5 * time.Second)
	if allowed["established"] == 0 || allowed["new"] == 0 {
		t.Errorf("permits: %v", allowed)
	}
}
