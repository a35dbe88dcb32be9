// Package upgrade brings model engines to the newest version of their model. A
// Planner decides which engine to query and which to order to load weights
// next. It performs no I/O and is run by the router that holds the lease for
// upgrades.
package upgrade

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/kumquatsill/kumquatsill/core/discovery"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

const (
	// quiesceDelay is the time between the choice of an engine and its order.
	// Meanwhile routers send it no new requests and those queued there can start.
	quiesceDelay = 120 * time.Millisecond
	// unreachableBackoff is the time until an engine that did not respond is
	// tried again. Meanwhile other engines use its place.
	unreachableBackoff = 1200 * time.Millisecond
	// firstPollFraction is the fraction of the expected load time after which the
	// engine's version is queried first, pollInterval the time between further
	// queries.
	firstPollFraction = 0.6
	pollInterval      = 100 * time.Millisecond
	// reportLag is how old the state that an engine reports may be.
	reportLag = 600 * time.Millisecond
	// OrderTimeout is how long to wait for the response to an order. Engines accept
	// an order at once and carry it out later. One that is accepted after this time
	// has no effect if a later one was accepted before.
	OrderTimeout = 300 * time.Millisecond
	// orderResultTimeout and responseTimeout are how long to wait for the outcome of
	// an order and of a query before the engine is queried again.
	orderResultTimeout = OrderTimeout + 200*time.Millisecond
	responseTimeout    = 1400 * time.Millisecond
	// retryDelay is the time between two attempts at an engine that was busy or
	// unreachable.
	retryDelay = 400 * time.Millisecond
	// loadTimeout is how long an order may take before it is sent again.
	loadTimeout = 6 * time.Second
)

// State is the state that an engine reports.
type State struct {
	// Versions holds the loaded version of each model.
	Versions map[string]int64
	// Busy is set while the engine carries out an order.
	Busy bool
	// Orders is the number of orders accepted in this incarnation.
	Orders int64
}

// Kind is the kind of an Action.
type Kind uint8

const (
	// QueryState queries an engine's State.
	QueryState Kind = iota
	// Order orders an engine to load a version.
	Order
)

// Action is one message to an engine.
type Action struct {
	Kind     Kind
	Endpoint *discovery.Endpoint
	Model    string
	Version  int64
	// Orders is the number of orders that the engine must have accepted so
	// far, so that an order that arrives late has no effect.
	Orders int64
}

// Outcome is the result of an order.
type Outcome uint8

const (
	// Accepted means that the engine carries out the order.
	Accepted Outcome = iota
	// Done means that the engine has the version already.
	Done
	// Busy means that another order is in progress or that the number of
	// accepted orders differs from Action.Orders.
	Busy
	// Fenced means that the engine has seen a greater fencing token.
	Fenced
	// Refused means that the engine does not know the order or the version.
	Refused
	// Unknown means that no response was received.
	Unknown
)

var outcomeNames = [...]string{
	Accepted: "accepted", Done: "done", Busy: "busy", Fenced: "fenced", Refused: "refused", Unknown: "unknown",
}

// String returns the name used in logs.
func (o Outcome) String() string { return outcomeNames[o] }

// phase is the state of a task.
type phase uint8

const (
	// idle has nothing in progress: no query was sent yet, or an order timed out.
	idle phase = iota
	// querying waits for the engine's state.
	querying
	// ordering waits until the order can be sent.
	ordering
	// loading waits for the engine to load the weights.
	loading
)

// task is the upgrade of one engine.
type task struct {
	phase   phase
	started int64
	// model and version are those of the last order.
	model   string
	version int64
	// nextAt is when the next message to the engine is due.
	nextAt proto.Instant
	// orderedAt is when the current order was sent.
	orderedAt proto.Instant
	// rounds is the number of rounds of planning since, loads the sum of the
	// numbers of engines that were loading in each.
	rounds, loads int
	// accepted is set from the acceptance of the order until the load was seen
	// to be complete.
	accepted bool
	state    State
}

// Planner decides which engines are upgraded next. It is not safe for concurrent
// use.
type Planner struct {
	// newest holds the newest version of each model.
	newest map[string]int64
	list   *discovery.Snapshot
	// tasks holds the upgrades in progress.
	tasks map[proto.EndpointID]*task
	// backoffUntil holds until when engines that did not respond are not tried
	// again.
	backoffUntil map[proto.EndpointID]proto.Instant
	// knownVersions holds versions that engines reported and that their
	// registration may not show yet.
	knownVersions map[proto.EndpointID]map[string]int64
	// saysLeaving reports whether an engine has said that it leaves.
	saysLeaving func(*discovery.Endpoint) bool
	pace        pace
}

// New returns a Planner without engines.
func New() *Planner {
	return &Planner{
		newest: map[string]int64{}, list: discovery.NewTable().Snapshot(),
		tasks: map[proto.EndpointID]*task{}, knownVersions: map[proto.EndpointID]map[string]int64{},
		backoffUntil: map[proto.EndpointID]proto.Instant{},
		saysLeaving:  func(*discovery.Endpoint) bool { return false },
	}
}

// SetSaysLeaving sets the function that reports whether an engine has said that it
// leaves, whatever its registration says. Such engines get no orders.
func (p *Planner) SetSaysLeaving(f func(*discovery.Endpoint) bool) { p.saysLeaving = f }

func (p *Planner) isLeaving(e *discovery.Endpoint) bool { return e.Leaving || p.saysLeaving(e) }

// RecordVersion records the newest version of a model.
func (p *Planner) RecordVersion(model string, version int64) {
	p.newest[model] = max(p.newest[model], version)
}

// Update replaces the list of endpoints. It drops the tasks and known versions of
// engines that restarted or are no longer listed.
func (p *Planner) Update(list *discovery.Snapshot) {
	for id, e := range list.ByID {
		if old := p.list.ByID[id]; old != nil && old.Started != e.Started {
			delete(p.tasks, id)
			delete(p.knownVersions, id)
		}
	}
	for id := range p.tasks {
		if list.ByID[id] == nil {
			delete(p.tasks, id)
		}
	}
	maps.DeleteFunc(p.knownVersions, func(id proto.EndpointID, _ map[string]int64) bool { return list.ByID[id] == nil })
	p.list = list
}

// LoadTime returns how long an engine is expected to take for a load.
func (p *Planner) LoadTime() time.Duration { return p.pace.loadTime() }

// VersionLoaded records that an engine has loaded a version of a model.
func (p *Planner) VersionLoaded(now proto.Instant, id proto.EndpointID, model string, version int64) {
	if t := p.tasks[id]; t != nil && t.phase == loading && t.model == model && version >= t.version && t.accepted {
		t.accepted = false
		p.pace.observe(now.Sub(t.orderedAt), t.meanConcurrent())
	}
	if p.knownVersions[id] == nil {
		p.knownVersions[id] = map[string]int64{}
	}
	p.knownVersions[id][model] = max(p.knownVersions[id][model], version)
}

// version returns the version of a model that an engine is known to have loaded.
func (p *Planner) version(e *discovery.Endpoint, model string) int64 {
	return max(e.Versions[model], p.knownVersions[e.ID][model])
}

// OutdatedEngines returns the engines that lack the newest version of a model
// that they serve, ordered by ID. The actions have no Kind yet.
func (p *Planner) OutdatedEngines() []Action {
	var outdated []Action
	for _, id := range slices.Sorted(maps.Keys(p.list.ByID)) {
		e := p.list.ByID[id]
		if p.isLeaving(e) {
			continue
		}
		for _, model := range slices.Sorted(maps.Keys(e.Versions)) {
			if newest := p.newest[model]; p.version(e, model) < newest {
				outdated = append(outdated, Action{Endpoint: e, Model: model, Version: newest})
				break
			}
		}
	}
	return outdated
}

// DropTasks forgets all upgrades in progress. It is called while the router does
// not hold the lease, for example after losing it.
func (p *Planner) DropTasks() { clear(p.tasks) }

// Next returns the messages to send now. The caller must hold the lease.
func (p *Planner) Next(now proto.Instant, c Conditions) []Action {
	outdated := p.OutdatedEngines()
	p.dropFinished(outdated)
	available := p.maxTasks(outdated, c) - len(p.tasks)
	slices.SortStableFunc(outdated, func(a, b Action) int {
		return cmp.Or(
			cmp.Compare(p.taskRank(a.Endpoint.ID), p.taskRank(b.Endpoint.ID)),
			// Versions may be announced faster than all engines can load them.
			// The engines with the oldest weights go first, so that none is
			// left behind.
			cmp.Compare(p.version(a.Endpoint, a.Model), p.version(b.Endpoint, b.Model)),
			cmp.Compare(c.InFlight(a.Endpoint.ID), c.InFlight(b.Endpoint.ID)),
		)
	})
	var actions []Action
	for _, want := range outdated {
		t := p.tasks[want.Endpoint.ID]
		if t == nil {
			if available <= 0 || now < p.backoffUntil[want.Endpoint.ID] {
				continue
			}
			available--
			t = &task{started: want.Endpoint.Started}
			p.tasks[want.Endpoint.ID] = t
		}
		if a, ok := t.next(now, want); ok {
			actions = append(actions, a)
		}
	}
	p.countLoads()
	return actions
}

// countLoads adds the current number of loads to the statistics of each of them.
func (p *Planner) countLoads() {
	n := 0
	for _, t := range p.tasks {
		if t.phase == loading {
			n++
		}
	}
	for _, t := range p.tasks {
		t.rounds++
		t.loads += n
	}
}

// meanConcurrent returns the mean number of engines that were loading at the same
// time as this one, itself included.
func (t *task) meanConcurrent() int {
	return max(1, (t.loads+t.rounds/2)/max(1, t.rounds))
}

// taskRank is a sort key that puts engines with a task first.
func (p *Planner) taskRank(id proto.EndpointID) int {
	if p.tasks[id] != nil {
		return 0
	}
	return 1
}

// dropFinished drops the tasks of engines that are no longer outdated.
func (p *Planner) dropFinished(outdated []Action) {
	isOutdated := map[proto.EndpointID]bool{}
	for _, a := range outdated {
		isOutdated[a.Endpoint.ID] = true
	}
	maps.DeleteFunc(p.tasks, func(id proto.EndpointID, _ *task) bool { return !isOutdated[id] })
}

// maxTasks returns how many engines may be upgraded at the same time, which
// includes engines that finish their queues before they load.
func (p *Planner) maxTasks(outdated []Action, c Conditions) int {
	var timesLeft []time.Duration
	for _, a := range outdated {
		timesLeft = append(timesLeft, c.TimeLeft(a.Model, p.version(a.Endpoint, a.Model)))
	}
	return p.pace.maxTasks(p.engineCount(), timesLeft)
}

// engineCount returns the number of model engines that are not leaving.
func (p *Planner) engineCount() int {
	engines := 0
	for _, e := range p.list.ByID {
		if len(e.Versions) > 0 && !p.isLeaving(e) {
			engines++
		}
	}
	return engines
}

// next returns the message to the engine that is due, if any.
func (t *task) next(now proto.Instant, want Action) (Action, bool) {
	if now < t.nextAt {
		return Action{}, false
	}
	switch t.phase {
	case ordering:
		if t.state.Busy {
			break
		}
		t.model, t.version = want.Model, want.Version
		t.orderedAt, t.rounds, t.loads, t.accepted = now, 0, 0, false
		t.phase, t.nextAt = loading, now.Add(orderResultTimeout)
		want.Kind, want.Orders = Order, t.state.Orders
		return want, true
	case loading:
		if now.Sub(t.orderedAt) > loadTimeout {
			t.phase = idle
		}
	}
	if t.phase != loading {
		t.phase = querying
	}
	t.nextAt = now.Add(responseTimeout)
	want.Kind = QueryState
	return want, true
}

// HandleState handles the state that an engine reported. It returns true if the
// engine will be ordered next.
func (p *Planner) HandleState(now proto.Instant, id proto.EndpointID, s State) bool {
	for model, version := range s.Versions {
		p.VersionLoaded(now, id, model, version)
	}
	t := p.tasks[id]
	if t == nil {
		return false
	}
	t.state = s
	if t.phase == loading {
		t.handleLoadState(now, s)
		return t.phase == ordering
	}
	if s.Busy {
		t.phase, t.nextAt = querying, now.Add(retryDelay)
		return false
	}
	t.phase, t.nextAt = ordering, now.Add(quiesceDelay)
	return true
}

// handleLoadState decides from the engine's state whether the current order is
// still in progress.
func (t *task) handleLoadState(now proto.Instant, s State) {
	t.nextAt = now.Add(pollInterval)
	if s.Busy {
		return
	}
	// The load is complete, but a newer version may have been announced since.
	if s.Versions[t.model] >= t.version {
		t.phase, t.nextAt = ordering, now
		return
	}
	// The reported state is some hundred ms old, so it may not show an order
	// that was just accepted.
	if now.Sub(t.orderedAt) > reportLag {
		t.phase, t.nextAt = ordering, now
	}
}

// HandleOrderOutcome handles the result of an order.
func (p *Planner) HandleOrderOutcome(now proto.Instant, id proto.EndpointID, o Outcome) {
	t := p.tasks[id]
	if t == nil {
		return
	}
	switch o {
	case Accepted:
		t.accepted = true
		t.nextAt = now.Add(time.Duration(firstPollFraction * float64(p.pace.loadTime())))
	case Done:
		p.VersionLoaded(now, id, t.model, t.version)
	case Unknown:
		// The engine may be loading; its state shows it.
		t.phase, t.nextAt = querying, now
	default:
		t.phase, t.nextAt = querying, now.Add(retryDelay)
	}
}

// HandleUnreachable records that an engine's state could not be read. An engine
// that is loading keeps its task.
func (p *Planner) HandleUnreachable(now proto.Instant, id proto.EndpointID) {
	t := p.tasks[id]
	if t == nil {
		return
	}
	if t.phase == loading && now.Sub(t.orderedAt) <= loadTimeout {
		t.nextAt = now.Add(retryDelay)
		return
	}
	delete(p.tasks, id)
	p.backoffUntil[id] = now.Add(unreachableBackoff)
}
