// Package upgrade brings model engines to the newest version of their model. A
// Planner decides which engine to ask or to order next; it has no I/O and is
// run by the router that holds the lease for this work.
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
	// quiesceDelay lies between the choice of an engine and its order. Routers
	// send it nothing new meanwhile, and what waits there can begin.
	quiesceDelay = 120 * time.Millisecond
	// unreachableBackoff is the time until an engine that did not answer is tried
	// again; others take its place.
	unreachableBackoff = 1200 * time.Millisecond
	// minTasks is the least number of engines loaded at once.
	minTasks = 2
	// firstPollDelay is the time after an order at which an engine is asked for its
	// version, pollAgain the time between two further questions.
	firstPollDelay = 700 * time.Millisecond
	pollInterval   = 350 * time.Millisecond
	// responseTimeout is how long an answer may take before the engine is asked
	// again.
	responseTimeout = time.Second
	// retryDelay is the time between two tries at an engine that was busy or
	// could not be reached.
	retryDelay = 400 * time.Millisecond
	// loadTimeout is how long an order may take before it is given again.
	loadTimeout = 6 * time.Second
)

// State is what an engine tells of itself.
type State struct {
	Versions map[string]int64
	// Busy is set while an order is carried out.
	Busy bool
	// Orders is the number of orders accepted in this life.
	Orders int64
}

// Kind says what an Action asks for.
type Kind uint8

const (
	// QueryState asks an engine for its State.
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
	// far, so that an order that is carried out late has no effect.
	Orders int64
}

// Outcome is the answer to an order.
type Outcome uint8

const (
	// Accepted orders are being carried out.
	Accepted Outcome = iota
	// Done means that the engine has the version already.
	Done
	// Busy means that another order is in progress or that Orders differs.
	Busy
	// Fenced means that the engine has seen a greater fencing token.
	Fenced
	// Refused means that the engine does not know the order or the version.
	Refused
	// Unknown means that no answer came.
	Unknown
)

var outcomeNames = [...]string{
	Accepted: "accepted", Done: "done", Busy: "busy", Fenced: "fenced", Refused: "refused", Unknown: "unknown",
}

// String returns the name used in logs.
func (o Outcome) String() string { return outcomeNames[o] }

// MaxLoadingFraction returns the part of the engines that may load weights at once, by the
// wait of requests at engines and the age of the newest version. Loads that take
// the last free engines cost callers more than older weights do, until the older
// version must not be used any more.
func MaxLoadingFraction(wait, age, versionLife time.Duration) float64 {
	const (
		lowWait, highWait                     = 80 * time.Millisecond, 250 * time.Millisecond
		highAge, criticalAge                  = 0.4, 0.6 // of the version's life
		maxFraction, midFraction, minFraction = 0.5, 0.35, 0.25
	)
	ageFraction := float64(age) / float64(max(versionLife, 1))
	switch {
	case wait < lowWait:
		return maxFraction
	case wait < highWait || ageFraction > criticalAge:
		return midFraction
	case ageFraction > highAge:
		return (midFraction + minFraction) / 2
	}
	return minFraction
}

type phase uint8

const (
	idle phase = iota
	querying
	ordering
	loading
)

type task struct {
	phase   phase
	started int64
	model   string
	version int64
	// nextAt is when the task goes on.
	nextAt proto.Instant
	// orderedAt is when the order under way was given.
	orderedAt proto.Instant
	state     State
}

// Planner is not safe for concurrent use.
type Planner struct {
	newest map[string]int64
	list   *discovery.Snapshot
	tasks  map[proto.EndpointID]*task
	// backoffUntil holds engines that did not answer.
	backoffUntil map[proto.EndpointID]proto.Instant
	// knownVersions holds versions that engines told beyond what the list says.
	knownVersions map[proto.EndpointID]map[string]int64
}

// New returns a planner without engines.
func New() *Planner {
	return &Planner{
		newest: map[string]int64{}, list: discovery.NewTable().Snapshot(),
		tasks: map[proto.EndpointID]*task{}, knownVersions: map[proto.EndpointID]map[string]int64{},
		backoffUntil: map[proto.EndpointID]proto.Instant{},
	}
}

// Name records the newest version of a model.
func (p *Planner) Name(model string, version int64) {
	p.newest[model] = max(p.newest[model], version)
}

// Update takes in a new list of endpoints.
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

// Reached records that an engine told a version of a model.
func (p *Planner) Reached(id proto.EndpointID, model string, version int64) {
	if p.knownVersions[id] == nil {
		p.knownVersions[id] = map[string]int64{}
	}
	p.knownVersions[id][model] = max(p.knownVersions[id][model], version)
}

// version returns the version that an engine is known to have.
func (p *Planner) version(e *discovery.Endpoint, model string) int64 {
	return max(e.Versions[model], p.knownVersions[e.ID][model])
}

// OutdatedEngines returns the engines that lack the newest version of a model that they
// run, ordered by id.
func (p *Planner) OutdatedEngines() []Action {
	var outdated []Action
	for _, id := range slices.Sorted(maps.Keys(p.list.ByID)) {
		e := p.list.ByID[id]
		if e.Leaving {
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

// DropTasks drops what is under way, as when the lease is lost.
func (p *Planner) DropTasks() { clear(p.tasks) }

// Next returns the messages to send now. The caller holds the lease. Share is
// the part of the engines that may be out of service for a load at once: some
// wait for runs to finish while others load. Work returns the number of requests
// at an engine; an engine with little work loads soonest.
func (p *Planner) Next(now proto.Instant, fraction float64, load func(proto.EndpointID) int) []Action {
	outdated := p.OutdatedEngines()
	p.dropFinished(outdated)
	available := p.maxTasks(fraction) - len(p.tasks)
	slices.SortStableFunc(outdated, func(a, b Action) int {
		return cmp.Or(
			cmp.Compare(p.taskRank(a.Endpoint.ID), p.taskRank(b.Endpoint.ID)),
			// Versions may be named faster than all engines can follow; the
			// oldest weights go first, so that no engine is left behind.
			cmp.Compare(p.version(a.Endpoint, a.Model), p.version(b.Endpoint, b.Model)),
			cmp.Compare(load(a.Endpoint.ID), load(b.Endpoint.ID)),
		)
	})
	var out []Action
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
			out = append(out, a)
		}
	}
	return out
}

// taskRank puts engines with a task first.
func (p *Planner) taskRank(id proto.EndpointID) int {
	if p.tasks[id] != nil {
		return 0
	}
	return 1
}

func (p *Planner) dropFinished(outdated []Action) {
	isOutdated := map[proto.EndpointID]bool{}
	for _, a := range outdated {
		isOutdated[a.Endpoint.ID] = true
	}
	maps.DeleteFunc(p.tasks, func(id proto.EndpointID, _ *task) bool { return !isOutdated[id] })
}

// maxTasks returns how many engines may be under way at once.
func (p *Planner) maxTasks(fraction float64) int {
	engines := 0
	for _, e := range p.list.ByID {
		if len(e.Versions) > 0 && !e.Leaving {
			engines++
		}
	}
	return max(minTasks, int(fraction*float64(engines)+0.5))
}

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
		t.orderedAt = now
		t.phase, t.nextAt = loading, now.Add(responseTimeout)
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

// HandleState takes in the state that an engine told, and reports whether the engine
// is to be ordered next.
func (p *Planner) HandleState(now proto.Instant, id proto.EndpointID, s State) bool {
	for model, version := range s.Versions {
		p.Reached(id, model, version)
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

// handleLoadState decides whether an order under way is still being carried out.
func (t *task) handleLoadState(now proto.Instant, s State) {
	t.nextAt = now.Add(pollInterval)
	if s.Busy {
		return
	}
	// A newer version may have been named while this one was loaded.
	if s.Versions[t.model] >= t.version {
		t.phase, t.nextAt = ordering, now
		return
	}
	// The state is some hundred ms old, so an order that was just accepted may
	// not show in it yet.
	if now.Sub(t.orderedAt) > firstPollDelay+pollInterval {
		t.phase, t.nextAt = ordering, now
	}
}

// HandleOrderOutcome takes in the answer to an order.
func (p *Planner) HandleOrderOutcome(now proto.Instant, id proto.EndpointID, o Outcome) {
	t := p.tasks[id]
	if t == nil {
		return
	}
	switch o {
	case Accepted:
		t.nextAt = now.Add(firstPollDelay)
	case Done:
		p.Reached(id, t.model, t.version)
	default:
		t.phase, t.nextAt = querying, now.Add(retryDelay)
	}
}

// HandleUnreachable records that an engine did not tell its state. An engine that is
// loading keeps its place.
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
