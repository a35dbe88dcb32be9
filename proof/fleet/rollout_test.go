package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/core/note"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/proof/drive"
	"github.com/kumquatsill/kumquatsill/proof/fleet"
)

// Guards against a new model version that does not reach all engines, that is
// loaded by more than two of them at once, that two routers roll out
// concurrently, or after which routers still assume the old version.
func TestNewVersionReachesAllEngines(t *testing.T) {
	n := smallNote()
	for _, id := range []proto.EndpointID{"e3", "e4", "e5"} {
		n.Added.Endpoints = append(n.Added.Endpoints, note.Endpoint{
			ID: id, Kind: note.KindEngine, Domain: "d0", Addr: "127.0.0.1:711" + string(id[1]), Models: []string{"assistant"},
		})
	}
	loading := map[string]bool{}
	most := 0
	f := fleet.Start(fleet.Config{
		Drive: drive.Config{Seed: 5, Observe: func(_ proto.Instant, e proto.Envelope) {
			switch m := e.Msg.(type) {
			case proto.EngineOrder:
				loading[m.Order.ID] = true
				most = max(most, len(loading))
			case proto.EngineOrdered:
				delete(loading, m.ID)
			}
		}},
		Routers: 2, Domains: []proto.Domain{"d0", "d1"}, Note: n,
	})
	if !f.WaitReady(1) {
		t.Fatal("the first note is not in force")
	}
	// Both routers learn the old version from their own traffic.
	for i := range f.Routers {
		for n := range 8 {
			req := generation(proto.RequestID(fmt.Sprintf("before-%d-%d", i, n)))
			req.Pieces = []uint64{uint64(n)}
			f.Callers.Send(f.RouterAddr(i), req)
		}
	}
	f.Sim.Run(10 * time.Second)
	f.Submit(0, "second", note.Note{BasedOn: 1, Changed: note.Items{Models: []note.Model{{Name: "assistant", Version: "v2"}}}})
	f.Sim.Run(30 * time.Second)
	for id, e := range f.Engines {
		if v := e.Versions()["assistant"]; v != "v2" {
			t.Errorf("engine %s has version %q; note: %+v", id, v, f.Callers.NoteOutcomes["second"])
		}
	}
	if most != 2 {
		t.Errorf("%d loads at once, want 2", most)
	}
	for i := range f.Routers {
		a := f.Callers.Send(f.RouterAddr(i), generation(proto.RequestID(fmt.Sprintf("after-%d", i))))
		f.Sim.Run(20 * time.Second)
		if a.Finish == nil || a.Chunks[0].Version != "v2" {
			t.Errorf("router %d: response %+v, refusal %+v, want a response of version v2", i, a.Chunks, a.Refusal)
		}
	}
}
