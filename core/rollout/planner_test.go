package rollout

import (
	"fmt"
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/core/note"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

const second = proto.Instant(time.Second)

// fleet is a planner with simulated engines that carry out orders immediately.
type fleet struct {
	planner  *Planner
	versions map[proto.EndpointID]map[string]string
	// silent is set while engines do not respond to orders.
	silent     bool
	maxLoading int
	orders     []proto.Order
}

func newFleet(n int, models ...string) (*fleet, *note.Config) {
	cfg := note.Empty()
	f := &fleet{planner: New(proto.RouterAddr("r")), versions: map[proto.EndpointID]map[string]string{}}
	for i := range n {
		id := proto.EndpointID(fmt.Sprintf("e%d", i))
		cfg.Endpoints[id] = note.Endpoint{ID: id, Kind: note.KindEngine, Models: models}
		f.versions[id] = map[string]string{}
	}
	for _, m := range models {
		cfg.Models[m] = note.Model{Name: m, Version: "v1"}
	}
	return f, cfg
}

func (f *fleet) run(from, to proto.Instant) {
	for now := from; now < to; now += second / 4 {
		f.planner.Tick(now)
		f.maxLoading = max(f.maxLoading, len(f.planner.PendingOrders()))
		for _, e := range f.planner.Take() {
			id := proto.EndpointID(e.To.ID)
			switch m := e.Msg.(type) {
			case proto.Probe:
				f.planner.HandleReport(now, proto.Report{Endpoint: id, Versions: f.versions[id]})
			case proto.Order:
				f.orders = append(f.orders, m)
				if !f.silent {
					f.apply(m)
					f.planner.Done(now, proto.OrderDone{ID: m.ID, OK: true, Report: proto.Report{Endpoint: id, Versions: f.versions[id]}})
				}
			}
		}
	}
}

func (f *fleet) apply(o proto.Order) {
	next := map[string]string{}
	for name, version := range f.versions[o.Endpoint] {
		next[name] = version
	}
	if o.Action == proto.OrderLoad {
		next[o.Model] = o.Version
	} else {
		delete(next, o.Model)
	}
	f.versions[o.Endpoint] = next
}

// Guards against more concurrent loads than the policy allows, and against
// engines that never load the version of the release note.
func TestLoadsAreBounded(t *testing.T) {
	f, cfg := newFleet(6, "m")
	f.planner.Configure(0, cfg, proto.Stamp{})
	f.planner.SetLease(0, 7, true, true)
	f.silent = true
	f.run(0, 10*second)
	if f.maxLoading != cfg.Policy.MaxConcurrentLoads {
		t.Errorf("%d concurrent loads, want %d", f.maxLoading, cfg.Policy.MaxConcurrentLoads)
	}
	f.silent = false
	f.run(10*second, 200*second)
	for id, versions := range f.versions {
		if versions["m"] != "v1" {
			t.Errorf("endpoint %s has version %q", id, versions["m"])
		}
	}
}

// Guards against orders from a router that does not hold the lease, and against
// orders from a new holder while those of the old one may be in progress.
func TestOrdersNeedTheLease(t *testing.T) {
	f, cfg := newFleet(2, "m")
	f.planner.Configure(0, cfg, proto.Stamp{})
	f.run(0, 5*second)
	if len(f.orders) != 0 {
		t.Fatalf("orders without the lease: %v", f.orders)
	}
	f.planner.SetLease(5*second, 9, true, false)
	f.run(5*second, proto.Instant(OrderTimeout))
	if len(f.orders) != 0 {
		t.Errorf("%d orders before the orders of the old holder timed out", len(f.orders))
	}
	f.run(5*second+proto.Instant(OrderTimeout), 100*second)
	if len(f.orders) != 2 || f.orders[0].Fence != 9 {
		t.Errorf("orders %+v, want 2 with fencing token 9", f.orders)
	}
}

// Guards against unloading a model from its last endpoint before another endpoint
// has loaded it.
func TestModelKeepsItsEndpoints(t *testing.T) {
	f, cfg := newFleet(2, "m")
	f.versions["e0"] = map[string]string{"m": "v1"}
	e0 := cfg.Endpoints["e0"]
	e0.Models = nil
	cfg.Endpoints["e0"] = e0
	f.planner.Configure(0, cfg, proto.Stamp{})
	f.planner.SetLease(0, 7, true, true)
	f.run(0, 5*second)
	if len(f.orders) != 2 || f.orders[0].Endpoint != "e1" || f.orders[1].Action != proto.OrderUnload {
		t.Errorf("orders %+v, want the load on e1 before the unload on e0", f.orders)
	}
}

// Guards against a late response to an old order that is taken for the response to
// a new one.
func TestLateAnswerIsIgnored(t *testing.T) {
	f, cfg := newFleet(1, "m")
	f.silent = true
	f.planner.Configure(0, cfg, proto.Stamp{})
	f.planner.SetLease(0, 7, true, true)
	f.run(0, 2*second)
	f.planner.SetLease(2*second, 9, true, true)
	f.run(2*second, 4*second)
	f.planner.Done(4*second, proto.OrderDone{ID: f.orders[0].ID, OK: true, Report: proto.Report{Endpoint: "e0"}})
	if got := f.planner.PendingOrders(); len(got) != 1 || got[0].Fence != 9 {
		t.Errorf("pending %+v, want the order with fencing token 9", got)
	}
}
