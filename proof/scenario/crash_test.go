package scenario_test

import (
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/proof/scenario"
)

// Guards against engines that crash one after the other under requests of which no two
// are alike, but which have the same harmful text in common: once five have crashed and
// all routers have had the time to hear of it, three more may.
func TestUnlikeCrashingRequestsAreStopped(t *testing.T) {
	const (
		contactTime = 4 * time.Second
		requests    = 30
	)
	r, err := scenario.Start(1)
	if err != nil {
		t.Fatal(err)
	}
	crashes := func() int {
		n := 0
		for i := range r.Engines {
			n += r.Engines[i].Counts.Crashes
		}
		return n
	}
	for i := 0; i < requests && crashes() < 5; i++ {
		r.Send(i%len(r.Routers), r.CrashingRequest(0))
		r.Sim.Run(time.Second)
	}
	r.Sim.Run(contactTime)
	before := crashes()
	for i := range requests {
		r.Send(i%len(r.Routers), r.CrashingRequest(0))
		r.Sim.Run(time.Second)
	}
	if n := crashes() - before; n > 3 {
		t.Errorf("%d more engines crashed under %d requests, %d before", n, requests, before)
	}
}
