package scenario_test

import (
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/proof/scenario"
)

// Guards against routers that restart at the same time and then refuse
// requests inside the rate for longer than they need to read the log, since
// every bucket waits for grants of holders that are gone.
func TestHerdRestartServesAgainSoon(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		r, err := scenario.Start(seed)
		if err != nil {
			t.Fatal(err)
		}
		r.RestartAllRouters()
		r.World.Run(4 * time.Second)
		a := r.Send(0, r.Generation(0, 1))
		b := r.Send(1, r.Generation(1, 2))
		r.Finish()
		if a.Finish == nil || b.Finish == nil {
			t.Errorf("seed %d: refused 3 s after the restart: %+v, %+v", seed, a.Refusal, b.Refusal)
		}
		for _, f := range r.Failures {
			t.Errorf("seed %d: %s: %s", seed, f.Invariant, f.Detail)
		}
	}
}
