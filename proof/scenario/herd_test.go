package scenario_test

import (
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/proof/fleet"
	"github.com/kumquatsill/kumquatsill/proof/scenario"
)

// Guards against routers that restart together and refuse requests within the
// rate for longer than they need to read the log, because every bucket waits for
// grants of holders that no longer exist.
func TestHerdRestartServesAgainSoon(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		r, err := scenario.Start(seed)
		if err != nil {
			t.Fatal(err)
		}
		r.RestartAllRouters()
		r.Sim.Run(4 * time.Second)
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

// Guards against accounts that are refused within their rate after the router that
// held all parts of their buckets is lost.
func TestLostRouterRefusesNobody(t *testing.T) {
	for i := range 15 {
		seed, lost := uint64(1+i/3), i%3
		r, err := scenario.Start(seed)
		if err != nil {
			t.Fatal(err)
		}
		r.CrashRouter(lost)
		var sent []*fleet.Response
		for range 15 {
			r.Sim.Run(time.Second)
			for account := range 3 {
				sent = append(sent, r.Send((lost+1+account%2)%3, r.Generation(account, 1)))
			}
		}
		r.Sim.Run(20 * time.Second)
		for _, a := range sent {
			if a.Finish == nil {
				t.Errorf("seed %d: request %s of an account at a third of its rate got %+v", seed, a.Request.ID, a.Refusal)
			}
		}
	}
}
