package engine

import (
	"slices"

	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/standin/kv"
)

// order schedules an order. An order with an outdated fencing token is rejected if
// ChecksFence is set, and only counted otherwise.
func (e *Engine) order(from proto.Addr, o proto.Order) {
	stale := o.Fence < e.fence
	if stale {
		e.Counts.StaleOrders++
	}
	if stale && e.cfg.ChecksFence {
		e.out.Send(e.now, from, proto.EngineOrdered{ID: o.ID, Detail: "the fencing number is older than one seen before", Versions: e.copyVersions()})
		return
	}
	e.fence = max(e.fence, o.Fence)
	at := e.now
	if o.Action == proto.OrderLoad {
		at = e.cfg.Weights.Reserve(e.now)
	}
	e.instance.orders = append(e.instance.orders, order{from: from, msg: o, at: at})
}

// finishOrders applies the orders that are due and reports their outcomes.
func (e *Engine) finishOrders() {
	if e.instance == nil {
		return
	}
	e.instance.orders = slices.DeleteFunc(e.instance.orders, func(o order) bool {
		if e.now.Before(o.at) {
			return false
		}
		e.applyOrder(o.msg)
		if !e.out.NoResponse() {
			e.out.Send(e.now, o.from, proto.EngineOrdered{
				ID: o.msg.ID, OK: true, Versions: e.copyVersions(), Adapters: slices.Clone(e.adapters),
			})
		}
		return true
	})
}

func (e *Engine) applyOrder(o proto.Order) {
	isAdapter := func(a string) bool { return a == o.Adapter }
	switch {
	case o.Action == proto.OrderLoad && o.Adapter != "":
		e.adapters = append(slices.DeleteFunc(e.adapters, isAdapter), o.Adapter)
	case o.Action == proto.OrderUnload && o.Adapter != "":
		e.adapters = slices.DeleteFunc(e.adapters, isAdapter)
	case o.Action == proto.OrderLoad && e.versions[o.Model] != o.Version:
		e.versions[o.Model] = o.Version
		e.clearCache()
	case o.Action == proto.OrderUnload:
		delete(e.versions, o.Model)
		e.clearCache()
	}
}

// clearCache empties the cache after a change of the loaded weights and reports it
// to the agent.
func (e *Engine) clearCache() {
	e.instance.cache = kv.NewLRU(e.cfg.CacheBlocks)
	e.instance.eventSeq++
	event := proto.CacheEvent{Seq: e.instance.eventSeq, Cleared: true}
	batch := proto.CacheEvents{Incarnation: e.instance.incarnation, Events: []proto.CacheEvent{event}}
	e.out.SendAfter(e.now, e.cfg.EventDelay, e.agent, batch)
}
