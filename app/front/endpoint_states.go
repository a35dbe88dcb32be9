package front

import (
	"time"

	"github.com/kumquatsill/kumquatsill/app/driver"
	"github.com/kumquatsill/kumquatsill/core/discovery"
	"github.com/kumquatsill/kumquatsill/core/endpointstate"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/platform"
)

// limitSharerTimeout is how long after its last message a peer counts as able to use its
// share of an endpoint's limit.
const limitSharerTimeout = 1500 * time.Millisecond

// observeEndpointState records what the head of an answer to a request that was sent to
// an endpoint says about the endpoint that has answered.
func (f *Front) observeEndpointState(now proto.Instant, e *discovery.Endpoint, head platform.ResponseInfo) {
	if head.Endpoint != "" && head.Endpoint != e.ID {
		if e = f.listedEndpoint(head.Endpoint); e == nil {
			return
		}
	}
	report := endpointstate.Report{Leaving: head.Leaving, Pause: head.Pause, SaidAt: time.Now().UnixMilli()}
	report.Limit, report.HasLimit = limitOf(head)
	change := f.endpointStates.Observe(now, endpointstate.EndpointOf(e), report)
	if change.Limit {
		f.log.Info("endpoint limit changed", "endpoint", string(e.ID), "per_s", report.Limit.PerSecond, "named", report.Limit.Named, "observed", true)
	}
	if change.Leaving {
		f.log.Info("endpoint says that it leaves", "endpoint", string(e.ID), "started", e.Started, "observed", true)
	}
	if change.Pause {
		f.log.Info("endpoint takes no requests for a time", "endpoint", string(e.ID), "started", e.Started, "named_ms", report.Pause.Milliseconds())
	}
	if change.Limit || change.Leaving {
		f.requestEarlySend()
	}
}

// limitOf returns the limit that an answer names, or that it names none, and whether it
// tells either. A refusal may name a limit, but only an answer that bears a signature tells
// that it has ended.
func limitOf(head platform.ResponseInfo) (endpointstate.Limit, bool) {
	refusalWithLimit := head.NotExecuted && head.HasLimit
	if head.Misdirected || !head.HasSignature && !refusalWithLimit {
		return endpointstate.Limit{}, false
	}
	return endpointstate.Limit{PerSecond: head.Limit, Named: head.HasLimit}, true
}

// listedEndpoint returns the registration of an endpoint, or nil.
func (f *Front) listedEndpoint(id proto.EndpointID) *discovery.Endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.Snapshot().ByID[id]
}

// observeControlAnswer records what the answer to a control call says about an engine.
func (f *Front) observeControlAnswer(e *discovery.Endpoint, head platform.ResponseInfo) {
	f.observeEndpointState(driver.Now(), e, head)
	if head.HasLoad {
		f.placer.ObserveEndpointLoad(driver.Now(), e, head.Load)
	}
}

// admitControlCall reports whether an engine takes a control call now, and counts it.
func (f *Front) admitControlCall(e *discovery.Endpoint, urgent bool) bool {
	return f.endpointStates.AdmitCall(driver.Now(), endpointstate.EndpointOf(e), urgent)
}

// saysLeaving reports whether an endpoint has said in an answer that it leaves.
func (f *Front) saysLeaving(e *discovery.Endpoint) bool {
	return f.endpointStates.IsLeaving(endpointstate.EndpointOf(e))
}

// isLeaving reports whether an endpoint leaves by its registration or by its answers.
func (f *Front) isLeaving(e *discovery.Endpoint) bool { return e.Leaving || f.saysLeaving(e) }

// mergeEndpointStates applies what a peer has observed.
func (f *Front) mergeEndpointStates(now proto.Instant, notices endpointstate.Notices) {
	changes := f.endpointStates.Merge(now, notices)
	for _, n := range changes.Limits {
		f.log.Info("endpoint limit changed", "endpoint", string(n.Endpoint), "per_s", n.PerSecond, "named", !n.Ended, "observed", false,
			"age_ms", n.AgeMillis)
	}
	for _, n := range changes.Leaving {
		f.log.Info("endpoint says that it leaves", "endpoint", string(n.Endpoint), "started", n.Started, "observed", false,
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

// retainEndpointStates forgets states that end with the registrations of endpoints.
func (f *Front) retainEndpointStates(list *discovery.Snapshot) {
	f.endpointStates.Retain(driver.Now(), func(id proto.EndpointID, started int64) bool {
		e := list.ByID[id]
		return e != nil && e.Started <= started
	})
}
