package compare

import (
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/proof/workload"
	"github.com/kumquatsill/kumquatsill/standin/logsvc"
)

// Condition is the name of the load and fault scenario of a run.
type Condition string

// The conditions of the comparison.
const (
	Calm       Condition = "calm"
	Shift      Condition = "hot-shift"
	Restart    Condition = "restart-all"
	Crash      Condition = "engine-crash"
	LogDown    Condition = "log-down"
	DomainLost Condition = "domain-lost"
	Flood      Condition = "flood"
	// RestartOne compares the hit rate of one restarted router with that of its
	// peers. It has no rows in the table.
	RestartOne Condition = "restart-one"
)

// Conditions returns the conditions that have rows in the table.
func Conditions() []Condition {
	return []Condition{Calm, Shift, Restart, Crash, LogDown, DomainLost, Flood}
}

const (
	// warmUp is the time at the start of the load whose requests are not counted.
	warmUp = 15 * time.Second
	// defaultLoadDuration is the time for which requests are sent by default,
	// drainTime the maximum time after it in which they may end.
	defaultLoadDuration = 90 * time.Second
	drainTime           = 25 * time.Second

	shiftEvery        = 4 * time.Second
	faultTime         = 25 * time.Second
	secondFaultTime   = 55 * time.Second
	logOutageDuration = time.Minute
	floodFactor       = 5
	// floodingAccount is the index of the flooding account, which has a medium
	// share of the traffic.
	floodingAccount = 2
)

// workloadConfig returns the workload of a run.
func workloadConfig(s Settings) workload.Config {
	cfg := workload.Config{Seed: s.Seed, Duration: s.LoadDuration}
	switch s.Condition {
	case Shift:
		cfg.ShiftEvery = shiftEvery
	case Flood:
		cfg.Flood, cfg.FloodFactor, cfg.FloodFrom = s.Deployment.Accounts[floodingAccount].ID, floodFactor, faultTime
	}
	return cfg
}

// scheduleFaults schedules the faults of a condition, at times relative to the
// start of the load.
func (r *run) scheduleFaults(c Condition) {
	sim := r.fleet.Sim
	switch c {
	case Restart:
		for _, at := range []time.Duration{faultTime, secondFaultTime} {
			sim.After(at, func() {
				for i := range r.fleet.Routers {
					r.restartRouter(i)
				}
			})
		}
	case RestartOne:
		sim.After(faultTime, func() {
			r.restartRouter(0)
			r.restarted, r.restartedAt = string(r.fleet.RouterID(0)), r.now()
		})
	case Crash:
		for n, at := range []time.Duration{faultTime, faultTime + 15*time.Second, secondFaultTime} {
			sim.After(at, func() { r.crashEngine(n) })
		}
	case LogDown:
		sim.After(faultTime, func() { r.fleet.Log.SetOutage(logsvc.Refusing) })
		sim.After(faultTime+logOutageDuration, func() { r.fleet.Log.SetOutage(logsvc.NoOutage) })
	case DomainLost:
		sim.After(faultTime, func() { r.crashDomain(r.dep.Domains[0]) })
		sim.After(secondFaultTime, func() { r.restartDomain(r.dep.Domains[0]) })
	}
}

// crashEngine crashes one engine, which restarts with an empty cache. The
// injected message makes the simulation collect the output of the crash.
func (r *run) crashEngine(n int) {
	id := r.engineIDs[(n*5+1)%len(r.engineIDs)]
	r.fleet.Engines[id].Crash(r.fleet.Sim.Now())
	r.fleet.Sim.Inject(proto.Envelope{From: proto.AgentAddr(id), To: proto.EngineAddr(id), Msg: proto.CacheListRequest{}})
}

// crashDomain crashes all endpoints and routers of a failure domain.
func (r *run) crashDomain(d proto.Domain) {
	for _, id := range r.endpointsOf(d) {
		r.fleet.Sim.Crash(proto.AgentAddr(id))
		r.fleet.Sim.Crash(proto.EngineAddr(id))
	}
	for i := range r.fleet.Routers {
		if r.fleet.RouterDomain(i) == d {
			r.stopRouter(i)
		}
	}
}

// restartDomain starts the endpoints and routers of a failure domain again.
func (r *run) restartDomain(d proto.Domain) {
	for _, id := range r.endpointsOf(d) {
		r.fleet.StartEngine(id)
		r.fleet.StartAgent(id)
	}
	for i := range r.fleet.Routers {
		if r.fleet.RouterDomain(i) == d {
			r.fleet.StartRouter(i)
		}
	}
}

func (r *run) endpointsOf(d proto.Domain) []proto.EndpointID {
	var ids []proto.EndpointID
	for _, e := range r.note.Added.Endpoints {
		if e.Domain == d {
			ids = append(ids, e.ID)
		}
	}
	return ids
}
