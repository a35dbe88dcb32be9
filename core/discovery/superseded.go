package discovery

import (
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// supersededTimeout is how long a registration of an earlier incarnation has to be the last
// one before it counts. A delayed one is followed by the next heartbeat of the later
// incarnation, or removed if that has ended. Otherwise the start time of the listed
// registration is wrong.
const supersededTimeout = 10 * time.Second

// supersededEndpoint is a registration of an earlier incarnation than the listed one.
type supersededEndpoint struct {
	endpoint *Endpoint
	// since is when it was first seen to be the last registration, or 0.
	since proto.Instant
}

// applyDueSuperseded lists the endpoints whose last registration is one of an earlier
// incarnation for supersededTimeout while the registry is reachable. It reports whether the
// list changed. An endpoint that has announced that it leaves stays as it is.
func (t *Table) applyDueSuperseded(now proto.Instant) bool {
	changed := false
	for id, s := range t.superseded {
		if s.since == 0 {
			s.since = now
		}
		waitsSince := max(s.since, t.lastFailedRead, t.recoveredAt)
		if t.recoveredAt < t.lastFailedRead || now.Sub(waitsSince) < supersededTimeout || t.endpoints[id].Leaving {
			continue
		}
		t.endpoints[id] = s.endpoint
		t.snapshot = nil
		delete(t.superseded, id)
		changed = true
	}
	return changed
}
