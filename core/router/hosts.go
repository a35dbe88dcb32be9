package router

import (
	"maps"
	"net"
	"slices"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// hostListReceiver is implemented by placements that use the platform's host
// list as a hint.
type hostListReceiver interface {
	ObserveHostList(now proto.Instant, id proto.EndpointID, live bool)
}

// onHostList tells the placement for each endpoint whether its host is in the
// platform's host list and not leaving. The list lags behind, so this is only a
// hint and does not rule an endpoint out.
func (c *Control) onHostList(now proto.Instant, m proto.HostList) {
	receiver, ok := c.deps.Placement.(hostListReceiver)
	if !ok || len(m.Hosts) == 0 {
		return // an empty list is more likely a fault of the list than a loss of all hosts
	}
	live := map[string]bool{}
	for _, h := range m.Hosts {
		live[h.Host] = !h.Leaving
	}
	endpoints := c.state.Snapshot().Config.Endpoints
	for _, id := range slices.Sorted(maps.Keys(endpoints)) {
		host, _, err := net.SplitHostPort(endpoints[id].Addr)
		if err != nil {
			continue // note.Validate accepts no such address
		}
		receiver.ObserveHostList(now, id, live[host])
	}
}
