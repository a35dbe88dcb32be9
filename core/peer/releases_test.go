package peer

import (
	"fmt"
	"testing"

	"github.com/kumquatsill/kumquatsill/core/canary"
	"github.com/kumquatsill/kumquatsill/core/quota"
)

// Guards against reports of rollouts that are lost when a message is split.
func TestReportsOfRolloutsArePacked(t *testing.T) {
	m := Message{Counts: quota.Counts{Router: "r1"}}
	for i := range 40 {
		m.Releases = append(m.Releases, canary.Report{Service: fmt.Sprint("service-", i), To: "v2", Routes: []canary.RouteEvidence{{Route: "r"}}})
	}
	datagrams, err := Pack(m)
	if err != nil {
		t.Fatal(err)
	}
	services := map[string]bool{}
	for _, part := range decodeAll(t, datagrams, PacketBytes) {
		for _, r := range part.Releases {
			services[r.Service] = len(r.Routes) == 1
		}
	}
	if len(services) != 40 {
		t.Errorf("%d reports", len(services))
	}
}
