package front

import (
	"time"

	"github.com/kumquatsill/kumquatsill/core/discovery"
	"github.com/kumquatsill/kumquatsill/core/endpointstate"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/platform"
)

// limitSharerTimeout is how long after its last message a peer counts as able to use its
// share of an endpoint's limit.
const limitSharerTimeout = 1500 * time.Millisecond

// observeLimit records the limit that an answer names, or that it names none. A refusal
// may name a limit, but only an answer that bears a signature tells that it has ended.
func (f *Front) observeLimit(now proto.Instant, e *discovery.Endpoint, head platform.ResponseInfo) {
	refusalWithLimit := head.NotExecuted && head.HasLimit
	if head.Misdirected || !head.HasSignature && !refusalWithLimit {
		return
	}
	limit := endpointstate.Limit{PerSecond: head.Limit, Named: head.HasLimit}
	report := endpointstate.Report{Limit: limit, HasLimit: true}
	if change := f.endpointStates.Observe(now, stateKey(e), report); !change.Limit {
		return
	}
	f.log.Info("endpoint limit changed", "endpoint", string(e.ID), "per_s", limit.PerSecond, "named", limit.Named, "observed", true)
	f.requestEarlySend()
}

func stateKey(e *discovery.Endpoint) endpointstate.Endpoint {
	return endpointstate.Endpoint{ID: e.ID, Started: e.Started, Domain: e.Domain}
}

// mergeLimits applies the limits that a peer has observed.
func (f *Front) mergeLimits(now proto.Instant, notices []endpointstate.Notice) {
	for _, n := range f.endpointStates.Merge(now, notices) {
		f.log.Info("endpoint limit changed", "endpoint", string(n.Endpoint), "per_s", n.PerSecond, "named", !n.Ended, "observed", false,
			"age_ms", n.AgeMillis)
	}
}

// updateLimitSharers sets the routers that share the limits of endpoints; mu must be
// held.
func (f *Front) updateLimitSharers(now proto.Instant) {
	var routers []endpointstate.Router
	for id, p := range f.peers {
		if p.lastHeardAt != 0 && now.Sub(p.lastHeardAt) < limitSharerTimeout {
			routers = append(routers, endpointstate.Router{ID: id, Domain: p.domain})
		}
	}
	f.endpointStates.SetRouters(routers)
}

// forgetLimits forgets the limits of endpoints that are no longer listed.
func (f *Front) forgetLimits(list *discovery.Snapshot) {
	f.endpointStates.Retain(func(id proto.EndpointID, started int64) bool {
		e := list.ByID[id]
		return e != nil && e.Started <= started
	})
}
