package agent

import "github.com/kumquatsill/kumquatsill/core/proto"

// gate passes orders on to the engine. It refuses old fencing numbers, also
// for engines that would take them.
type gate struct {
	highest proto.Offset
	// pending holds who gave each order that the engine works on.
	pending map[string]pendingOrder
}

type pendingOrder struct {
	from  proto.Addr
	fence proto.Offset
}

func (a *Agent) onOrder(from proto.Addr, o proto.Order) {
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
		a.gate.pending = map[string]pendingOrder{}
	}
	a.gate.pending[o.ID] = pendingOrder{from: from, fence: o.Fence}
	a.Send(proto.EngineAddr(a.cfg.Endpoint), proto.EngineOrder{Order: o})
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
