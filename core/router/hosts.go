package router

import (
	"maps"
	"net"
	"slices"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// hostListReceiver is a placement that takes the host list as a hint.
type hostListReceiver interface {
	Listed(now proto.Instant, id proto.EndpointID, live bool)
}

// onHostList passes the platform's host list on to the placement, per
// endpoint. The list lags, so an endpoint that it lacks is only doubted.
func (c *Control) onHostList(now proto.Instant, m proto.HostList) {
	receiver, ok := c.deps.Placement.(hostListReceiver)
	if !ok || len(m.Hosts) == 0 {
		return // an empty list says more about the list than about the hosts
	}
	live := map[string]bool{}
	for _, h := range m.Hosts {
		live[h.Host] = !h.Leaving
	}
	endpoints := c.state.Snapshot().Config.Endpoints
	for _, id := range slices.Sorted(maps.Keys(endpoints)) {
		host, _, err := net.SplitHostPort(endpoints[id].Addr)
		if err != nil {
			continue // note.Check lets no such address through
		}
		receiver.Listed(now, id, live[host])
	}
}
