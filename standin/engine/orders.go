package engine

import (
	"slices"

	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/standin/kv"
)

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
	e.life.orders = append(e.life.orders, order{from: from, msg: o, at: at})
}

func (e *Engine) finishOrders() {
	if e.life == nil {
		return
	}
	e.life.orders = slices.DeleteFunc(e.life.orders, func(o order) bool {
		if e.now.Before(o.at) {
			return false
		}
		e.apply(o.msg)
		if !e.out.NoResponse() {
			e.out.Send(e.now, o.from, proto.EngineOrdered{
				ID: o.msg.ID, OK: true, Versions: e.copyVersions(), Adapters: slices.Clone(e.adapters),
			})
		}
		return true
	})
}

func (e *Engine) apply(o proto.Order) {
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

func (e *Engine) clearCache() {
	e.life.cache = kv.NewLRU(e.cfg.CacheBlocks)
	e.life.eventSeq++
	event := proto.CacheEvent{Seq: e.life.eventSeq, Cleared: true}
	batch := proto.CacheEvents{Incarnation: e.life.incarnation, Events: []proto.CacheEvent{event}}
	e.out.SendAfter(e.now, e.cfg.EventDelay, e.agent, batch)
}
