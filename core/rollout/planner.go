// Package rollout brings the models, versions and adapters of all engines to
// what the release note in force says. The router that holds the rollout lease
// plans and gives the orders; agents refuse orders with an older fencing
// number, so that a holder that was paused changes nothing any more.
package rollout

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/kumquatsill/kumquatsill/core/note"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

const (
	// ProbeRequest marks the probes by which a planner asks for reports.
	ProbeRequest proto.RequestID = "rollout"
	// probeInterval is the time between two probes of one endpoint whose
	// state is not as it should be, idleInterval of one that is.
	probeInterval     = time.Second
	idleProbeInterval = 30 * time.Second
	// OrderTimeout is how long an order may take. It covers the time for
	// which an agent lets runs of the old weights end.
	OrderTimeout = 20 * time.Second
	// tickInterval is the time between two looks at the plan.
	tickInterval = 500 * time.Millisecond
)

// Planner decides on orders. It is not safe for concurrent use.
type Planner struct {
	proto.Outbox
	cfg       *note.Config
	stamp     proto.Stamp
	fence     proto.Offset
	held      bool
	endpoints map[proto.EndpointID]*endpoint
	// startAt is when the first order under the present fence may be given.
	startAt proto.Instant
	wakeAt  proto.Instant
	stats   Stats
}

// Stats counts what a planner did.
type Stats struct {
	Ordered, Done, Failed, TimedOut, Stale int64
}

// endpoint is what the planner knows of one engine.
type endpoint struct {
	reported bool
	versions map[string]string
	probeAt  proto.Instant
	order    *proto.Order
	// orderDeadline is when the order under way is given up.
	orderDeadline proto.Instant
}

// New returns a planner that gives no orders until Hold.
func New(self proto.Addr) *Planner {
	return &Planner{Outbox: proto.NewOutbox(self), cfg: note.Empty(), endpoints: map[proto.EndpointID]*endpoint{}}
}

// Stats returns the counters.
func (p *Planner) Stats() Stats { return p.stats }

// Configure takes in the configuration in force.
func (p *Planner) Configure(now proto.Instant, cfg *note.Config, stamp proto.Stamp) {
	p.cfg, p.stamp = cfg, stamp
	maps.DeleteFunc(p.endpoints, func(id proto.EndpointID, _ *endpoint) bool { return !p.isEngine(id) })
	for id := range cfg.Endpoints {
		if !p.isEngine(id) {
			continue
		}
		if e := p.endpoints[id]; e != nil {
			e.probeAt = min(e.probeAt, now)
			continue
		}
		p.endpoints[id] = &endpoint{probeAt: now}
	}
	p.wakeAt = now
}

func (p *Planner) isEngine(id proto.EndpointID) bool {
	return p.cfg.Endpoints[id].Kind == note.KindEngine
}

// SetLease tells whether this router holds the rollout lease, and under which
// fencing number. clean is set if the previous holder gave the lease up; else
// its last orders may still be under way and are waited for.
func (p *Planner) SetLease(now proto.Instant, fence proto.Offset, held, clean bool) {
	if held && (!p.held || fence != p.fence) {
		p.startAt = now
		if !clean {
			p.startAt = now.Add(OrderTimeout)
		}
		for _, e := range p.endpoints {
			e.order, e.probeAt = nil, now
		}
		p.wakeAt = now
	}
	p.fence, p.held = fence, held
}

// HandleReport takes in what an agent says about its engine.
func (p *Planner) HandleReport(now proto.Instant, r proto.Report) {
	e := p.endpoints[r.Endpoint]
	if e == nil || r.Down {
		return
	}
	e.reported, e.versions = true, r.Versions
	e.probeAt = now.Add(probeInterval)
	if e.order == nil && len(p.mismatchedModels(r.Endpoint, e)) == 0 {
		e.probeAt = now.Add(idleProbeInterval)
	}
	p.wakeAt = min(p.wakeAt, now)
}

// Done takes in the end of an order.
func (p *Planner) Done(now proto.Instant, m proto.OrderDone) {
	e := p.endpoints[m.Report.Endpoint]
	if e == nil || e.order == nil || e.order.ID != m.ID {
		p.stats.Stale++
		return
	}
	e.order = nil
	if m.OK {
		p.stats.Done++
	} else {
		p.stats.Failed++
	}
	p.HandleReport(now, m.Report)
	if !m.OK {
		// The next try waits for another report.
		e.reported = false
	}
}

// Wake returns when Tick is needed next.
func (p *Planner) Wake() proto.Instant {
	if !p.held {
		return proto.Never
	}
	return p.wakeAt
}

// Tick asks for missing reports and gives the orders that are due.
func (p *Planner) Tick(now proto.Instant) {
	if !p.held || now < p.wakeAt {
		return
	}
	p.wakeAt = now.Add(tickInterval)
	for _, id := range p.sortedIDs() {
		p.probe(now, id)
	}
	if now < p.startAt {
		return
	}
	for _, id := range p.sortedIDs() {
		p.issueNext(now, id)
	}
}

func (p *Planner) sortedIDs() []proto.EndpointID { return slices.Sorted(maps.Keys(p.endpoints)) }

func (p *Planner) probe(now proto.Instant, id proto.EndpointID) {
	e := p.endpoints[id]
	if e.order != nil && now >= e.orderDeadline {
		p.stats.TimedOut++
		e.order, e.reported = nil, false
	}
	if now < e.probeAt {
		return
	}
	e.probeAt = now.Add(probeInterval)
	p.Send(proto.AgentAddr(id), proto.Probe{Stamp: p.stamp, Request: ProbeRequest})
}

// issueNext gives the next order to an endpoint, if one is due and allowed.
func (p *Planner) issueNext(now proto.Instant, id proto.EndpointID) {
	e := p.endpoints[id]
	if !e.reported || e.order != nil || p.ordersInFlight() >= p.cfg.Policy.MaxConcurrentLoads {
		return
	}
	for _, model := range p.mismatchedModels(id, e) {
		if o, ok := p.nextOrder(id, e, model); ok {
			p.issue(now, e, o)
			return
		}
	}
}

// mismatchedModels returns the models that are not as they should be, missing ones
// first, so that a model gains an endpoint before another loses one.
func (p *Planner) mismatchedModels(id proto.EndpointID, e *endpoint) []string {
	var load, unload []string
	wanted := p.cfg.Endpoints[id].Models
	for _, name := range wanted {
		if m, ok := p.cfg.Models[name]; ok && e.versions[name] != m.Version {
			load = append(load, name)
		}
	}
	for name := range e.versions {
		if !slices.Contains(wanted, name) {
			unload = append(unload, name)
		}
	}
	slices.Sort(unload)
	return append(load, unload...)
}

func (p *Planner) nextOrder(id proto.EndpointID, e *endpoint, model string) (proto.Order, bool) {
	o := proto.Order{Stamp: p.stamp, Fence: p.fence, Endpoint: id, Model: model}
	if slices.Contains(p.cfg.Endpoints[id].Models, model) {
		o.Action, o.Version = proto.OrderLoad, p.cfg.Models[model].Version
	} else {
		o.Action, o.Version = proto.OrderUnload, e.versions[model]
		if !p.canUnload(model, id) {
			return proto.Order{}, false
		}
	}
	o.ID = fmt.Sprintf("%d/%s/%s/%s/%s", p.fence, id, o.Action, model, o.Version)
	return o, true
}

// canUnload reports whether enough other endpoints serve a model without one.
func (p *Planner) canUnload(model string, without proto.EndpointID) bool {
	m, ok := p.cfg.Models[model]
	if !ok {
		return true // the model is withdrawn
	}
	serving := 0
	for id, e := range p.endpoints {
		assigned := slices.Contains(p.cfg.Endpoints[id].Models, model)
		if id != without && assigned && e.reported && e.order == nil && e.versions[model] == m.Version {
			serving++
		}
	}
	return serving >= max(1, m.MinEndpoints)
}

func (p *Planner) ordersInFlight() int {
	n := 0
	for _, e := range p.endpoints {
		if e.order != nil {
			n++
		}
	}
	return n
}

func (p *Planner) issue(now proto.Instant, e *endpoint, o proto.Order) {
	p.stats.Ordered++
	e.order, e.orderDeadline = &o, now.Add(OrderTimeout)
	p.Send(proto.AgentAddr(o.Endpoint), o)
}

// PendingOrders lists the orders under way, for the operators.
func (p *Planner) PendingOrders() []proto.Order {
	var orders []proto.Order
	for _, e := range p.endpoints {
		if e.order != nil {
			orders = append(orders, *e.order)
		}
	}
	slices.SortFunc(orders, func(a, b proto.Order) int { return cmp.Compare(a.ID, b.ID) })
	return orders
}
