package router

import (
	"github.com/kumquatsill/kumquatsill/core/exchange"
	"github.com/kumquatsill/kumquatsill/core/lease"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// RequestStep returns the step of a request in flight, and false once it has
// ended or if this router does not know it.
func (r *Router) RequestStep(id proto.RequestID) (exchange.Step, bool) {
	x := r.exchanges[id]
	if x == nil {
		return exchange.StepDone, false
	}
	return x.Current(), true
}

// LeaseStep returns the step of a lease as this router sees it, and whether
// the router holds it.
func (r *Router) LeaseStep(now proto.Instant, name string) (lease.Step, bool) {
	l := r.control.leases.byName[name]
	if l == nil {
		return lease.StepUnheld, false
	}
	return l.Step(now), l.Valid(now)
}
