package agent

import (
	"testing"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// Guards against finished attempts that are kept forever, or removed while a router
// may still resume them. The running attempt's expiry is the latest and is set first.
func TestFinishedAttemptsAreDropped(t *testing.T) {
	a := newAgent(t)
	a.Step(second, proto.Envelope{From: routerA, Msg: newGeneration("q#1")})
	for i, id := range []proto.AttemptID{"r#1", "s#1"} {
		now := second * proto.Instant(2+i)
		a.Step(now, proto.Envelope{From: routerA, Msg: newCall(id, proto.Offset(7+i))})
		a.Step(now, proto.Envelope{From: engineE1, Msg: proto.EngineDone{Attempt: id, Status: 200}})
	}
	for now := 3 * second; now < 20*second; now = a.Wake() {
		a.Tick(now)
		for id, ended := range map[proto.AttemptID]proto.Instant{"r#1": 2 * second, "s#1": 3 * second} {
			kept := a.jobs[id] != nil
			if age := now.Sub(ended); kept && age > finishedRetention+expiryGranularity || !kept && age < finishedRetention {
				t.Errorf("%s ended %v ago, kept: %v", id, age, kept)
			}
		}
	}
	if len(a.jobs) != 1 {
		t.Errorf("%d attempts are kept, want only the running one", len(a.jobs))
	}
}
