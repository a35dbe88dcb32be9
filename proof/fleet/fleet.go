// Package fleet runs routers, agents and stand-ins for the external systems in a
// simulation, for tests and measurements.
package fleet

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/kumquatsill/kumquatsill/core/agent"
	"github.com/kumquatsill/kumquatsill/core/check"
	"github.com/kumquatsill/kumquatsill/core/limit"
	"github.com/kumquatsill/kumquatsill/core/note"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/core/route"
	"github.com/kumquatsill/kumquatsill/core/router"
	"github.com/kumquatsill/kumquatsill/proof/drive"
	"github.com/kumquatsill/kumquatsill/standin/engine"
	"github.com/kumquatsill/kumquatsill/standin/logsvc"
	"github.com/kumquatsill/kumquatsill/standin/orders"
)

// Config describes a fleet; fields other than Routers may be zero.
type Config struct {
	Drive   drive.Config
	Routers int
	Domains []proto.Domain
	// Note is the first release note. Each of its endpoints gets an agent and an
	// engine or service.
	Note note.Note
	Log  logsvc.Config
	// Checks counts the checks of the invariants; nil means a new monitor.
	Checks *check.Monitor
	// Engine is the template for the settings of the engines.
	Engine engine.Config
	// Placement, if set, returns the placer of each router.
	Placement func(index int, cfg route.ViewConfig) route.Placer
	// WrapLimiter, if set, wraps the limiter of each router, to observe it.
	WrapLimiter func(limit.Limiter) limit.Limiter
	// ClockOffset, if set, returns the offset of a node's local clock.
	ClockOffset func(addr proto.Addr) time.Duration
}

// Fleet holds the parts of a simulated fleet.
type Fleet struct {
	Sim        *drive.Sim
	Log        *logsvc.Service
	Checks     *check.Monitor
	Callers    *Callers
	RunCounter *orders.RunCounter
	Engines    map[proto.EndpointID]*engine.Engine
	Agents     map[proto.EndpointID]*agent.Agent
	Routers    []*router.Router
	// Drained holds the routers that have completed a graceful shutdown.
	Drained map[proto.Addr]bool

	cfg       Config
	endpoints map[proto.EndpointID]note.Endpoint
	starts    int
	routerIDs []proto.RouterID
}

// Start builds the fleet and submits the first note through router 0 after a
// second. The caller runs the simulation until Ready returns true.
func Start(cfg Config) *Fleet {
	f := &Fleet{
		Sim:        drive.New(cfg.Drive),
		Log:        logsvc.New(cfg.Log),
		Checks:     cfg.Checks,
		RunCounter: orders.NewRunCounter(),
		Engines:    map[proto.EndpointID]*engine.Engine{},
		Agents:     map[proto.EndpointID]*agent.Agent{},
		Drained:    map[proto.Addr]bool{},
		cfg:        cfg,
		endpoints:  map[proto.EndpointID]note.Endpoint{},
	}
	if f.Checks == nil {
		f.Checks = &check.Monitor{}
	}
	f.Callers = newCallers(f.Sim)
	f.Sim.Add(proto.Log, f.Log, 0)
	f.Sim.AddRoleHandler(proto.RoleCaller, f.Callers)
	f.Sim.AddRoleHandler(proto.RoleOperator, f.Callers)
	f.Routers = make([]*router.Router, cfg.Routers)
	f.routerIDs = make([]proto.RouterID, cfg.Routers)
	for i := range f.Routers {
		f.StartRouter(i)
	}
	for _, e := range cfg.Note.Added.Endpoints {
		f.endpoints[e.ID] = e
		f.StartEngine(e.ID)
		f.StartAgent(e.ID)
	}
	f.Sim.After(time.Second, func() { f.Submit(0, "first", cfg.Note) })
	return f
}

// RouterID returns the id of the current incarnation of router i.
func (f *Fleet) RouterID(i int) proto.RouterID { return f.routerIDs[i] }

// RouterAddr returns the address of the current incarnation of router i.
func (f *Fleet) RouterAddr(i int) proto.Addr { return proto.RouterAddr(f.routerIDs[i]) }

// RouterDomain returns the failure domain of router i.
func (f *Fleet) RouterDomain(i int) proto.Domain {
	if len(f.cfg.Domains) == 0 {
		return "d0"
	}
	return f.cfg.Domains[i%len(f.cfg.Domains)]
}

// StartRouter starts or restarts router i without state.
func (f *Fleet) StartRouter(i int) {
	f.starts++
	id := proto.RouterID(fmt.Sprintf("r%d-%d", i, f.starts))
	f.routerIDs[i] = id
	cfg := router.Config{
		ID:          id,
		Domain:      f.RouterDomain(i),
		Addr:        fmt.Sprintf("10.0.0.%d:80", i+1),
		Incarnation: proto.Incarnation(id),
		Seed:        f.cfg.Drive.Seed*1000 + uint64(f.starts),
		Checks:      f.Checks,
		WrapLimiter: f.cfg.WrapLimiter,
	}
	view := route.ViewConfig{Domain: cfg.Domain, Seed: cfg.Seed}
	if f.cfg.Placement != nil {
		cfg.Placement = f.cfg.Placement(i, view)
	}
	f.Routers[i] = router.New(cfg)
	f.addNode(proto.RouterAddr(id), f.Routers[i])
}

// CrashRouter crashes router i.
func (f *Fleet) CrashRouter(i int) { f.Sim.Crash(f.RouterAddr(i)) }

// DrainRouter starts a graceful shutdown of router i and removes the router once
// it has drained.
func (f *Fleet) DrainRouter(i int) {
	addr, r := f.RouterAddr(i), f.Routers[i]
	f.Sim.Call(addr, r.Drain)
	var wait func()
	wait = func() {
		switch {
		case !f.Sim.Alive(addr):
		case r.Drained():
			f.Drained[addr] = true
			f.Sim.Crash(addr)
		default:
			f.Sim.After(drainPollInterval, wait)
		}
	}
	f.Sim.After(drainPollInterval, wait)
}

// drainPollInterval is the interval at which a draining router is polled.
const drainPollInterval = 100 * time.Millisecond

// StartAgent starts or restarts the agent of an endpoint.
func (f *Fleet) StartAgent(id proto.EndpointID) {
	f.starts++
	a := agent.New(agent.Config{
		Endpoint:    id,
		Incarnation: proto.Incarnation(fmt.Sprintf("%s-%d", id, f.starts)),
		Seed:        f.cfg.Drive.Seed*1000 + uint64(f.starts),
		ChecksFence: f.endpoints[id].ChecksFence,
		Checks:      f.Checks,
	})
	f.Agents[id] = a
	f.addNode(proto.AgentAddr(id), a)
	// The engine or service announces itself to an agent that sends it a message.
	f.Sim.Inject(proto.Envelope{From: proto.AgentAddr(id), To: proto.EngineAddr(id), Msg: proto.CacheListRequest{}})
}

// StartEngine starts the engine or plain service of an endpoint.
func (f *Fleet) StartEngine(id proto.EndpointID) {
	e := f.endpoints[id]
	if e.Kind == note.KindService {
		f.starts++
		f.addNode(proto.EngineAddr(id), orders.New(orders.Config{
			Endpoint: id, Incarnation: proto.Incarnation(fmt.Sprintf("s%s-%d", id, f.starts)), RunCounter: f.RunCounter,
		}))
		return
	}
	cfg := f.cfg.Engine
	cfg.Endpoint = id
	cfg.ChecksFence = e.ChecksFence
	cfg.Seed = f.cfg.Drive.Seed
	cfg.Versions = map[string]string{}
	for _, m := range f.cfg.Note.Added.Models {
		cfg.Versions[m.Name] = m.Version
	}
	f.Engines[id] = engine.New(cfg)
	f.addNode(proto.EngineAddr(id), f.Engines[id])
}

func (f *Fleet) addNode(addr proto.Addr, m proto.Machine) {
	var offset time.Duration
	if f.cfg.ClockOffset != nil {
		offset = f.cfg.ClockOffset(addr)
	}
	f.Sim.Add(addr, m, offset)
}

// Submit submits a note with the given id through router i.
func (f *Fleet) Submit(i int, id proto.RecordID, n note.Note) {
	body, err := json.Marshal(n)
	if err != nil {
		panic(err) // notes always marshal
	}
	f.Sim.Inject(proto.Envelope{
		From: proto.Addr{Role: proto.RoleOperator, ID: string(id)},
		To:   f.RouterAddr(i),
		Msg:  proto.NoteSubmit{ID: id, Note: body},
	})
}

// Ready reports whether at least one router is running and all running routers
// are ready at the given or a later revision.
func (f *Fleet) Ready(revision proto.Revision) bool {
	running := 0
	for i, r := range f.Routers {
		if !f.Sim.Alive(f.RouterAddr(i)) {
			continue
		}
		s := r.Snapshot()
		if !s.Ready || s.Config.Revision < revision {
			return false
		}
		running++
	}
	return running > 0
}

// warmUpTime is the time until token buckets and static slots are in use.
const warmUpTime = 20 * time.Second

// WaitReady runs the simulation until Ready returns true, and then until the token
// buckets of the first accounts have tokens. It reports false if the fleet was not
// ready within a minute.
func (f *Fleet) WaitReady(revision proto.Revision) bool {
	if !f.Sim.RunUntil(time.Minute, func() bool { return f.Ready(revision) }) {
		return false
	}
	f.Sim.Run(warmUpTime)
	return true
}
