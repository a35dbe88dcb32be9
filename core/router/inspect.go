package router

import (
	"github.com/kumquatsill/kumquatsill/core/exchange"
	"github.com/kumquatsill/kumquatsill/core/lease"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// RequestStep returns the current step of a request in flight, and false if
// the request has ended or is unknown to this router.
func (r *Router) RequestStep(id proto.RequestID) (exchange.Step, bool) {
	x := r.exchanges[id]
	if x == nil {
		return exchange.StepDone, false
	}
	return x.CurrentStep(), true
}

// LeaseStep returns the current step of a lease in this router's view, and
// whether this router holds the lease.
func (r *Router) LeaseStep(now proto.Instant, name string) (lease.Step, bool) {
	l := r.control.leases.byName[name]
	if l == nil {
		return lease.StepUnheld, false
	}
	return l.Step(now), l.Valid(now)
}
