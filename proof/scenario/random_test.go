package scenario_test

import (
	"flag"
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/proof/scenario"
)

var (
	firstSeed = flag.Uint64("seed", 1, "first seed of the random runs")
	numSeeds  = flag.Int("seeds", 10, "number of seeds")
)

// Guards against any invariant that breaks under random faults. Replay one
// seed with: go test ./proof/scenario -run Random -seed N -seeds 1
func TestRandomRuns(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+uint64(*numSeeds); seed++ {
		r, err := scenario.Random(seed, time.Minute)
		if err != nil {
			t.Error(err)
			continue
		}
		for i, f := range r.Failures {
			if i == 5 {
				break
			}
			t.Errorf("seed %d at %v: %s: %s", seed, f.At.Sub(0), f.Invariant, f.Detail)
		}
		if len(r.Failures) > 0 {
			for _, e := range r.Events {
				t.Log(e)
			}
		}
		finished := 0
		for _, a := range r.Callers.All() {
			if a.Finish != nil {
				finished++
			}
		}
		if finished == 0 {
			t.Errorf("seed %d: no request of %d was answered", seed, len(r.Callers.All()))
		}
		if testing.Verbose() {
			t.Logf("seed %d: %d of %d answered, %d messages", seed, finished, len(r.Callers.All()), r.World.Delivered)
		}
	}
}
