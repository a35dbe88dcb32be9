package upgrade_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/core/discovery"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/core/upgrade"
)

const model = "m"

// engine simulates an engine that carries out one order at a time.
type engine struct {
	version, target int64
	busyUntil       proto.Instant
	orders          int64
	unresponsive    bool
}

// fleet is a planner and its engines.
type fleet struct {
	now     proto.Instant
	planner *upgrade.Planner
	engines map[proto.EndpointID]*engine
	table   *discovery.Table
	// ordered counts the orders that each engine received.
	ordered    map[proto.EndpointID]int
	maxLoading int
	// timeLeft is how long requests may still begin on old versions.
	timeLeft time.Duration
	// sourceRate is the number of engines that load at the same time without
	// slowing each other down; 0 means any number.
	sourceRate int
	// losesOrder reports whether the next order gets lost, which the planner learns
	// after upgrade.OrderTimeout.
	losesOrder func() bool
	unknown    map[proto.EndpointID]proto.Instant
	// eachStep is called after each step of the simulated time.
	eachStep func(step time.Duration, serving int)
}

const (
	loadTime = 800 * time.Millisecond
	step     = 20 * time.Millisecond
)

func newFleet(n int) *fleet {
	f := &fleet{
		now: proto.Instant(time.Hour), planner: upgrade.New(), engines: map[proto.EndpointID]*engine{},
		table: discovery.NewTable(), ordered: map[proto.EndpointID]int{}, timeLeft: time.Hour,
		losesOrder: func() bool { return false }, unknown: map[proto.EndpointID]proto.Instant{},
	}
	for i := range n {
		id := proto.EndpointID(fmt.Sprintf("e%02d", i))
		f.engines[id] = &engine{version: 1}
		f.table.Put(f.now, &discovery.Endpoint{ID: id, Service: "s", Addr: "a", Domain: "d", Slots: 1, Started: 1, Versions: map[string]int64{model: 1}})
	}
	f.planner.Update(f.table.Snapshot())
	return f
}

func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now < end; f.now = f.now.Add(step) {
		loading := f.finishLoads()
		f.reportLostOrders()
		f.maxLoading = max(f.maxLoading, loading)
		if f.eachStep != nil {
			f.eachStep(step, len(f.engines)-loading)
		}
		for _, a := range f.planner.Next(f.now, upgrade.Conditions{
			InFlight: func(proto.EndpointID) int { return 0 },
			TimeLeft: func(string, int64) time.Duration { return f.timeLeft },
		}) {
			f.act(a)
		}
	}
}

// reportLostOrders reports the outcome of orders that got lost.
func (f *fleet) reportLostOrders() {
	for id, at := range f.unknown {
		if f.now >= at {
			delete(f.unknown, id)
			f.planner.HandleOrderOutcome(f.now, id, upgrade.Unknown)
		}
	}
}

// finishLoads ends the loads that are complete, delays the others if too many run at
// once, and returns their number.
func (f *fleet) finishLoads() int {
	loading := 0
	for _, e := range f.engines {
		if e.target > e.version && f.now >= e.busyUntil {
			e.version = e.target
		}
		if e.target > e.version {
			loading++
		}
	}
	if f.sourceRate == 0 || loading <= f.sourceRate {
		return loading
	}
	delay := step - step*time.Duration(f.sourceRate)/time.Duration(loading)
	for _, e := range f.engines {
		e.busyUntil = e.busyUntil.Add(delay)
	}
	return loading
}

func (f *fleet) act(a upgrade.Action) {
	id := a.Endpoint.ID
	e := f.engines[id]
	if e.unresponsive {
		if a.Kind == upgrade.QueryState {
			f.planner.HandleUnreachable(f.now, id)
		} else {
			f.planner.HandleOrderOutcome(f.now, id, upgrade.Unknown)
		}
		return
	}
	busy := e.target > e.version
	if a.Kind == upgrade.QueryState {
		f.planner.HandleState(f.now, id, upgrade.State{Versions: map[string]int64{model: e.version}, Busy: busy, Orders: e.orders})
		return
	}
	f.ordered[id]++
	if f.losesOrder() {
		f.unknown[id] = f.now.Add(upgrade.OrderTimeout)
		return
	}
	if busy || a.Orders != e.orders {
		f.planner.HandleOrderOutcome(f.now, id, upgrade.Busy)
		return
	}
	e.orders++
	e.target, e.busyUntil = a.Version, f.now.Add(loadTime)
	f.planner.HandleOrderOutcome(f.now, id, upgrade.Accepted)
}

func (f *fleet) versions() []int64 {
	var v []int64
	for _, e := range f.engines {
		v = append(v, e.version)
	}
	slices.Sort(v)
	return v
}

// Guards against engines that are never upgraded, and against more engines out of
// service at the same time than allowed.
func TestAllEnginesReachTheVersion(t *testing.T) {
	f := newFleet(18)
	f.planner.RecordVersion(model, 2)
	f.run(6 * time.Second)
	if v := f.versions(); v[0] != 2 {
		t.Fatalf("versions %v after 6 s", v)
	}
	if f.maxLoading > 9 {
		t.Fatalf("%d of 18 engines loaded at once", f.maxLoading)
	}
	for id, n := range f.ordered {
		if n != 1 {
			t.Errorf("%s received %d orders", id, n)
		}
	}
}

// Guards against tasks that stop when a newer version is announced while an engine
// loads: in the run quiet-1 at pompas-sur nothing was ordered for 3 s.
func TestNewerVersionIsOrderedAfterTheOneUnderWay(t *testing.T) {
	f := newFleet(4)
	f.planner.RecordVersion(model, 2)
	f.run(500 * time.Millisecond)
	f.planner.RecordVersion(model, 3)
	f.run(5 * time.Second)
	if v := f.versions(); v[0] != 3 {
		t.Fatalf("versions %v after 5 s", v)
	}
}

// Guards against engines that are never upgraded while versions are announced
// faster than all engines can load them: the oldest weights must go first.
func TestOldestWeightsGoFirst(t *testing.T) {
	f := newFleet(18)
	for v := int64(2); v <= 6; v++ {
		f.planner.RecordVersion(model, v)
		f.run(1500 * time.Millisecond)
	}
	if v := f.versions(); v[0] < 3 {
		t.Fatalf("versions %v: some engine was never upgraded", v)
	}
}

// Guards against unresponsive engines that keep others from loading. In the run
// scale-1 at pompas-sur, 5 of 18 engines did not respond.
func TestUnresponsiveEnginesDoNotBlockOthers(t *testing.T) {
	f := newFleet(8)
	for i := range 4 {
		f.engines[proto.EndpointID(fmt.Sprintf("e%02d", i))].unresponsive = true
	}
	f.planner.RecordVersion(model, 2)
	f.run(4 * time.Second)
	if v := f.versions(); v[4] != 2 {
		t.Fatalf("versions %v: engines that respond were not upgraded", v)
	}
}

// Guards against an order that got no response and is carried out after newer
// ones: each order carries the number of orders accepted before it.
func TestOrderCarriesAcceptedCount(t *testing.T) {
	f := newFleet(2)
	e := f.engines["e00"]
	e.orders = 7
	f.planner.RecordVersion(model, 2)
	f.run(3 * time.Second)
	if e.version != 2 || e.orders != 8 {
		t.Fatalf("version %d after %d orders", e.version, e.orders)
	}
}

// Guards against ordering an engine that is leaving, and against not upgrading one
// that has restarted with older weights.
func TestLeavingAndRestartedEngines(t *testing.T) {
	f := newFleet(2)
	leaving := *f.table.Snapshot().ByID["e00"]
	leaving.Leaving = true
	f.table.Put(f.now, &leaving)
	f.planner.Update(f.table.Snapshot())
	f.planner.RecordVersion(model, 2)
	f.run(3 * time.Second)
	if f.ordered["e00"] != 0 || f.engines["e01"].version != 2 {
		t.Fatalf("orders %v", f.ordered)
	}
	f.engines["e01"] = &engine{version: 1}
	again := *f.table.Snapshot().ByID["e01"]
	again.Started = 2
	f.table.Put(f.now, &again)
	f.planner.Update(f.table.Snapshot())
	f.run(3 * time.Second)
	if f.engines["e01"].version != 2 {
		t.Fatal("the engine that restarted was not upgraded")
	}
}
