package compare

import (
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/proof/workload"
	"github.com/kumquatsill/kumquatsill/standin/logsvc"
)

// Condition names what happens during a run.
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
	// RestartOne is not in the table: it measures the hit rate of one
	// restarted router against its peers.
	RestartOne Condition = "restart-one"
)

// Conditions lists those of the table.
func Conditions() []Condition {
	return []Condition{Calm, Shift, Restart, Crash, LogDown, DomainLost, Flood}
}

const (
	// warmUp is the part of each run that is not counted.
	warmUp = 15 * time.Second
	// length is the usual time for which requests are sent, drain the time after it
	// in which they end.
	length = 90 * time.Second
	drain  = 25 * time.Second

	shiftEvery  = 4 * time.Second
	faultAt     = 25 * time.Second
	secondFault = 55 * time.Second
	outage      = time.Minute
	floodFactor = 5
	// floodingAccount is the index of the account that floods, one of middle size.
	floodingAccount = 2
)

// workloadOf returns the traffic of a condition.
func workloadOf(s Settings) workload.Config {
	cfg := workload.Config{Seed: s.Seed, Duration: s.LoadDuration}
	switch s.Condition {
	case Shift:
		cfg.ShiftEvery = shiftEvery
	case Flood:
		cfg.Flood, cfg.FloodFactor, cfg.FloodFrom = s.Deployment.Accounts[floodingAccount].ID, floodFactor, faultAt
	}
	return cfg
}

// schedule arranges the faults of a condition; times count from the start of
// the traffic.
func (r *run) schedule(c Condition) {
	w := r.fleet.Sim
	switch c {
	case Restart:
		for _, at := range []time.Duration{faultAt, secondFault} {
			w.After(at, func() {
				for i := range r.fleet.Routers {
					r.restartRouter(i)
				}
			})
		}
	case RestartOne:
		w.After(faultAt, func() {
			r.restartRouter(0)
			r.restarted, r.restartedAt = string(r.fleet.RouterID(0)), r.now()
		})
	case Crash:
		for n, at := range []time.Duration{faultAt, faultAt + 15*time.Second, secondFault} {
			w.After(at, func() { r.crashEngine(n) })
		}
	case LogDown:
		w.After(faultAt, func() { r.fleet.Log.SetOutage(logsvc.Refusing) })
		w.After(faultAt+outage, func() { r.fleet.Log.SetOutage(logsvc.NoOutage) })
	case DomainLost:
		w.After(faultAt, func() { r.loseDomain(r.dep.Domains[0]) })
		w.After(secondFault, func() { r.returnDomain(r.dep.Domains[0]) })
	}
}

// crashEngine crashes one engine, which comes back empty. The message makes
// the driver collect what the crash produced.
func (r *run) crashEngine(n int) {
	id := r.engineIDs[(n*5+1)%len(r.engineIDs)]
	r.fleet.Engines[id].Crash(r.fleet.Sim.Now())
	r.fleet.Sim.Inject(proto.Envelope{From: proto.AgentAddr(id), To: proto.EngineAddr(id), Msg: proto.CacheListRequest{}})
}

func (r *run) loseDomain(d proto.Domain) {
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

func (r *run) returnDomain(d proto.Domain) {
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
