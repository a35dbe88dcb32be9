package agent

import (
	"maps"
	"slices"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// modelDrain is how long an order waits for runs of the weights that it
// replaces. It is well below the time after which the order is given up.
const modelDrain = 10 * time.Second

// orderLife is how long the engine may take for an order. Without an end the
// agent would refuse the model's requests for ever.
const orderLife = 30 * time.Second

// gate passes orders on to the engine. It refuses old fencing numbers, also
// for engines that would take them.
type gate struct {
	highest proto.Offset
	// pending holds who gave each order that the engine works on.
	pending map[string]*pendingOrder
}

type pendingOrder struct {
	from  proto.Addr
	order proto.Order
	// sent is set once the engine has the order; until is when it gets it
	// although runs of the old weights go on.
	sent  bool
	until proto.Instant
}

func (a *Agent) onOrder(now proto.Instant, from proto.Addr, o proto.Order) {
	if o.Fence < a.gate.highest || o.Endpoint != a.cfg.Endpoint {
		a.stats.StaleOrders++
		a.answerOrder(from, o.ID, false, "the fencing number is older than one already seen")
		return
	}
	a.gate.highest = o.Fence
	if !a.engine.up {
		a.answerOrder(from, o.ID, false, "the engine does not answer")
		return
	}
	if a.gate.pending == nil {
		a.gate.pending = map[string]*pendingOrder{}
	}
	if _, known := a.gate.pending[o.ID]; known {
		return
	}
	a.gate.pending[o.ID] = &pendingOrder{from: from, order: o, until: now.Add(modelDrain)}
	a.passOrders(now)
}

// passOrders hands orders to the engine once no run uses the weights that they
// replace, or after modelDrain.
func (a *Agent) passOrders(now proto.Instant) {
	for _, id := range slices.Sorted(maps.Keys(a.gate.pending)) {
		p := a.gate.pending[id]
		if p.sent && now >= p.until.Add(orderLife) {
			a.dropOrder(id, "the engine did not answer the order")
			continue
		}
		if p.sent || now < p.until && a.usesModel(p.order.Model) {
			continue
		}
		p.sent = true
		if p.order.Fence < a.gate.highest {
			a.dropOrder(id, "an order with a newer fencing number came in between")
			continue
		}
		a.Send(proto.EngineAddr(a.cfg.Endpoint), proto.EngineOrder{Order: p.order})
	}
}

// dropOrder ends an order that the engine will not answer any more.
func (a *Agent) dropOrder(id, detail string) {
	p := a.gate.pending[id]
	delete(a.gate.pending, id)
	a.answerOrder(p.from, id, false, detail)
}

// dropOrders ends all orders when the engine ends: its next life knows none.
func (a *Agent) dropOrders() {
	for _, id := range slices.Sorted(maps.Keys(a.gate.pending)) {
		a.dropOrder(id, "the engine went away")
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

// isChanging reports whether an order to replace a model's weights is under way.
func (a *Agent) isChanging(model string) bool {
	for _, p := range a.gate.pending {
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
	p, ok := a.gate.pending[m.ID]
	if !ok {
		a.stats.StaleOrders++
		return
	}
	delete(a.gate.pending, m.ID)
	a.answerOrder(p.from, m.ID, m.OK, m.Detail)
}

func (a *Agent) answerOrder(to proto.Addr, id string, ok bool, detail string) {
	a.Send(to, proto.OrderDone{Stamp: a.stamp, ID: id, OK: ok, Detail: detail, Fence: a.gate.highest, Report: a.report(nil)})
}
