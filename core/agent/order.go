package agent

import (
	"maps"
	"slices"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// orderDrainTimeout is how long an order waits for the runs that use the weights to
// be replaced. It is well below the time after which the sender abandons the order.
const orderDrainTimeout = 10 * time.Second

// orderTimeout is how long the engine may take to execute an order, counted from the
// order's drainDeadline. Without a limit the agent could refuse the model's requests
// forever.
const orderTimeout = 30 * time.Second

// orders holds the orders for the engine. Orders with an old fencing token are
// refused here, since not every engine checks it.
type orders struct {
	highestFence proto.Offset
	// pending holds the orders that wait for runs to end or are being executed, by
	// id.
	pending map[string]*pendingOrder
}

type pendingOrder struct {
	from  proto.Addr
	order proto.Order
	// sent is set once the order was sent to the engine. At drainDeadline it is
	// sent even if runs still use the old weights.
	sent          bool
	drainDeadline proto.Instant
}

func (a *Agent) onOrder(now proto.Instant, from proto.Addr, o proto.Order) {
	if o.Fence < a.orders.highestFence || o.Endpoint != a.cfg.Endpoint {
		a.stats.StaleOrders++
		a.sendOrderDone(from, o.ID, false, "the fencing number is older than one already seen")
		return
	}
	a.orders.highestFence = o.Fence
	if !a.engine.up {
		a.sendOrderDone(from, o.ID, false, "the engine does not answer")
		return
	}
	if a.orders.pending == nil {
		a.orders.pending = map[string]*pendingOrder{}
	}
	if _, known := a.orders.pending[o.ID]; known {
		return
	}
	a.orders.pending[o.ID] = &pendingOrder{from: from, order: o, drainDeadline: now.Add(orderDrainTimeout)}
	a.forwardOrders(now)
}

// forwardOrders sends orders to the engine once no run uses the weights that they
// replace, or after orderDrainTimeout. It fails orders that exceed orderTimeout.
func (a *Agent) forwardOrders(now proto.Instant) {
	for _, id := range slices.Sorted(maps.Keys(a.orders.pending)) {
		p := a.orders.pending[id]
		if p.sent && now >= p.drainDeadline.Add(orderTimeout) {
			a.failOrder(id, "the engine did not answer the order")
			continue
		}
		if p.sent || now < p.drainDeadline && a.usesModel(p.order.Model) {
			continue
		}
		p.sent = true
		if p.order.Fence < a.orders.highestFence {
			a.failOrder(id, "an order with a newer fencing number came in between")
			continue
		}
		a.Send(proto.EngineAddr(a.cfg.Endpoint), proto.EngineOrder{Order: p.order})
	}
}

// failOrder ends a pending order without success.
func (a *Agent) failOrder(id, detail string) {
	p := a.orders.pending[id]
	delete(a.orders.pending, id)
	a.sendOrderDone(p.from, id, false, detail)
}

// failOrders ends all pending orders when the engine stops, since its next
// incarnation does not know them.
func (a *Agent) failOrders() {
	for _, id := range slices.Sorted(maps.Keys(a.orders.pending)) {
		a.failOrder(id, "the engine went away")
	}
}

func (a *Agent) usesModel(model string) bool {
	for _, j := range a.runs {
		if j.dispatch.Class == proto.ClassGenerate && j.dispatch.Model == model {
			return true
		}
	}
	return false
}

// hasPendingOrder reports whether an order to replace a model's weights is pending.
func (a *Agent) hasPendingOrder(model string) bool {
	for _, p := range a.orders.pending {
		if p.order.Model == model {
			return true
		}
	}
	return false
}

func (a *Agent) onOrdered(m proto.EngineOrdered) {
	if m.OK {
		a.engine.versions = m.Versions
		a.engine.adapters = m.Adapters
	}
	p, ok := a.orders.pending[m.ID]
	if !ok {
		a.stats.StaleOrders++
		return
	}
	delete(a.orders.pending, m.ID)
	a.sendOrderDone(p.from, m.ID, m.OK, m.Detail)
}

func (a *Agent) sendOrderDone(to proto.Addr, id string, ok bool, detail string) {
	a.Send(to, proto.OrderDone{Stamp: a.stamp, ID: id, OK: ok, Detail: detail, Fence: a.orders.highestFence, Report: a.report(nil)})
}
