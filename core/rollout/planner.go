// Package rollout brings the models, versions and adapters of all engines to the
// state that the current release note describes. The router that holds the
// rollout lease issues the orders. Agents reject orders with an older fencing
// token, so orders from a former holder that was paused have no effect.
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
	// ProbeRequest is the request ID of the probes that a planner sends.
	ProbeRequest proto.RequestID = "rollout"
	// probeInterval is the time between two probes of an endpoint whose state
	// differs from the release note, idleProbeInterval of one that matches it.
	probeInterval     = time.Second
	idleProbeInterval = 30 * time.Second
	// OrderTimeout is how long an order may take. It includes the time that an
	// agent gives requests on the old weights to finish.
	OrderTimeout = 20 * time.Second
	// tickInterval is the time between two comparisons of the reported state
	// with the release note.
	tickInterval = 500 * time.Millisecond
)

// Planner compares the reported state of the engines with the configuration and
// issues orders. It is not safe for concurrent use.
type Planner struct {
	proto.Outbox
	cfg       *note.Config
	stamp     proto.Stamp
	fence     proto.Offset
	held      bool
	endpoints map[proto.EndpointID]*endpoint
	// startAt is when the first order under the current fencing token may be
	// issued.
	startAt proto.Instant
	wakeAt  proto.Instant
	stats   Stats
}

// Stats counts orders by their result. Stale counts results of orders that are
// no longer in progress.
type Stats struct {
	Ordered, Done, Failed, TimedOut, Stale int64
}

// endpoint is what the planner knows about one engine.
type endpoint struct {
	// reported is set once a report has arrived since the last order
	// that failed or timed out.
	reported bool
	versions map[string]string
	// probeAt is when the next probe is due.
	probeAt proto.Instant
	// order is the order in progress, if any.
	order *proto.Order
	// orderDeadline is when the current order times out.
	orderDeadline proto.Instant
}

// New returns a Planner that issues no orders until SetLease reports that this
// router holds the lease.
func New(self proto.Addr) *Planner {
	return &Planner{Outbox: proto.NewOutbox(self), cfg: note.Empty(), endpoints: map[proto.EndpointID]*endpoint{}}
}

// Stats returns a copy of the counters.
func (p *Planner) Stats() Stats { return p.stats }

// Configure replaces the configuration.
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

// SetLease sets whether this router holds the rollout lease, and its fencing
// token. clean is set if the previous holder released the lease. Otherwise its
// last orders may still be in progress, and this router waits for OrderTimeout
// before it issues its own.
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

// HandleReport handles an agent's report on its engine.
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

// Done handles the result of an order.
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
		// The next attempt waits for another report.
		e.reported = false
	}
}

// Wake returns when Tick must be called next, or proto.Never.
func (p *Planner) Wake() proto.Instant {
	if !p.held {
		return proto.Never
	}
	return p.wakeAt
}

// Tick sends the probes and issues the orders that are due.
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

// issueNext issues the next order to an endpoint, if one is due and allowed.
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

// mismatchedModels returns the models of an endpoint that differ from the
// configuration. Models to load come before models to unload, so that a model
// gains an endpoint before another model loses one.
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

// nextOrder returns the order that brings a model of an endpoint to its configured
// state. It returns false if the endpoint is still needed to serve the model.
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

// canUnload reports whether enough endpoints other than the given one serve the
// model.
func (p *Planner) canUnload(model string, except proto.EndpointID) bool {
	m, ok := p.cfg.Models[model]
	if !ok {
		return true // the model was removed from the configuration
	}
	serving := 0
	for id, e := range p.endpoints {
		assigned := slices.Contains(p.cfg.Endpoints[id].Models, model)
		if id != except && assigned && e.reported && e.order == nil && e.versions[model] == m.Version {
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

// PendingOrders returns the orders in progress, sorted by ID, for operators.
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
