package fleet_test

import (
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// Guards against a stale host list that takes working endpoints out of service:
// the list is only a hint.
func TestHostListAloneExcludesNoEndpoint(t *testing.T) {
	f := startSmall(t, 6)
	list := proto.HostList{Hosts: []proto.HostState{{Host: "10.9.9.9"}}}
	for i := range f.Routers {
		f.Sim.Inject(proto.Envelope{From: proto.Addr{Role: proto.RoleHosts}, To: f.RouterAddr(i), Msg: list})
	}
	f.Sim.Run(time.Second)
	a := f.Callers.Send(f.RouterAddr(0), generation("q1"))
	f.Sim.Run(20 * time.Second)
	if a.Finish == nil {
		t.Errorf("refused because the host list has no endpoint: %+v", a.Refusal)
	}
}
