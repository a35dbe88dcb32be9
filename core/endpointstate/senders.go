package endpointstate

import (
	"cmp"
	"math"

	"github.com/cespare/xxhash/v2"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// maxSenders bounds the number of routers that share a limit.
const maxSenders = 1000

// share returns this router's part of a rate, or 0 if others share all of it. Each router
// may send one request beyond its rate, so no more of them share a limit than it allows
// requests in a second. Those of the endpoint's failure domain come first; mu must be
// held.
func (t *Tracker) share(e Endpoint, rate float64) float64 {
	before := 0
	for _, r := range t.routers {
		if precedes(e, r, t.self) {
			before++
		}
	}
	senders := min(int(math.Ceil(min(rate, maxSenders))), len(t.routers)+1)
	if before >= senders {
		return 0
	}
	return rate / float64(senders)
}

// precedes reports whether router a comes before router b in sharing an endpoint's limit.
func precedes(e Endpoint, a, b Router) bool {
	if aNear, bNear := a.Domain == e.Domain, b.Domain == e.Domain; aNear != bNear {
		return aNear
	}
	return cmp.Or(cmp.Compare(weight(e.ID, b.ID), weight(e.ID, a.ID)), cmp.Compare(a.ID, b.ID)) < 0
}

// weight orders the routers for an endpoint by rendezvous hashing.
func weight(endpoint proto.EndpointID, router proto.RouterID) uint64 {
	return xxhash.Sum64String(string(endpoint) + "\x00" + string(router))
}
