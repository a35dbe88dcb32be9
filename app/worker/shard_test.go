package worker

import (
	"testing"

	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/core/router"
)

// Guards against a trial that is granted to a request that has ended and then
// blocks its fingerprint until the trial expires.
func TestUnusedTrialIsReleased(t *testing.T) {
	control := router.NewControl(router.Config{ID: "r1", Incarnation: "r1", Seed: 1})
	s := newShard(control, 1, func() {})
	s.Step(1, proto.Envelope{From: control.Self(), To: control.Self(), Msg: proto.TrialDecided{Request: "gone", Account: "acme", Trial: 7}})
	out := s.Take()
	if len(out) != 1 || out[0].To != control.Self() {
		t.Fatalf("got %+v", out)
	}
	if m, ok := out[0].Msg.(proto.TrialEnded); !ok || m.Trial != 7 || m.Result != proto.TrialUnused {
		t.Errorf("got %+v", out[0].Msg)
	}
}
