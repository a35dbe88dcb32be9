package compare

import (
	"fmt"
	"strings"
	"time"

	"github.com/kumquatsill/kumquatsill/core/note"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/core/rollout"
	"github.com/kumquatsill/kumquatsill/core/route"
	"github.com/kumquatsill/kumquatsill/proof/drive"
	"github.com/kumquatsill/kumquatsill/proof/fleet"
	"github.com/kumquatsill/kumquatsill/proof/measure"
	"github.com/kumquatsill/kumquatsill/proof/workload"
	"github.com/kumquatsill/kumquatsill/standin/engine"
)

// Settings names one run.
type Settings struct {
	Deployment workload.Deployment
	Condition  Condition
	Policy     Policy
	Seed       uint64
	// LoadDuration is the time for which requests are sent; 0 means 90 s.
	LoadDuration time.Duration
}

// Result is the outcome of one run.
type Result struct {
	Recorder *measure.Recorder
	// RestartedHitRate and PeerHitRate are the hit rates after a restart of one router, if Warm.
	RestartedHitRate, PeerHitRate float64
	Warm                          bool
	// FailedInvariants lists failed invariants.
	FailedInvariants []string
	// Probes counts the probes of agents for requests, over the whole run.
	Probes int
	// DuplicateOrders counts orders that ran more than once.
	DuplicateOrders int
}

// run is a run in progress.
type run struct {
	dep       workload.Deployment
	note      note.Note
	fleet     *fleet.Fleet
	generator *workload.Generator
	recorder  *measure.Recorder
	start     proto.Instant
	engineIDs []proto.EndpointID
	loads     loads
	// waiting maps the id of the message in flight to its request.
	waiting map[proto.RequestID]*pending
	// open counts the requests that have not ended.
	open        int
	resends     int
	probes      int
	restarted   string
	restartedAt time.Duration
}

// pending is a request that has not ended.
type pending struct {
	base    proto.RequestID
	request proto.CallerRequest
	via     int
	first   bool
}

const (
	// lookAgain is the time after which the load balancer looks again for a
	// ready router, noticeAfter the time after which it notices a lost one.
	lookAgain   = 20 * time.Millisecond
	noticeAfter = 10 * time.Millisecond
	// settleFor is the time before traffic starts.
	settleFor = 3 * time.Second
)

// Run carries out one run. It fails if the fleet does not accept the
// deployment's note.
func Run(s Settings) (Result, error) {
	r := &run{dep: s.Deployment, note: s.Deployment.Note(), waiting: map[proto.RequestID]*pending{}}
	if s.LoadDuration == 0 {
		s.LoadDuration = length
	}
	cfg := workloadOf(s)
	r.generator = workload.New(s.Deployment, cfg)
	r.recorder = measure.NewRecorder(measure.Config{Limits: limits(s.Deployment), From: warmUp, Until: s.LoadDuration, Flooding: cfg.Flood})
	var failed []string
	r.build(s, func(text string) { failed = append(failed, text) })
	if !r.fleet.WaitReady(1) {
		return Result{}, fmt.Errorf("compare: the note of %s is not in force: %+v", s.Deployment.Name, r.fleet.Callers.NoteOutcomes)
	}
	w := r.fleet.Sim
	w.Run(settleFor)
	r.start = w.Now()
	r.fleet.Callers.OnEnd = r.ended
	r.schedule(s.Condition)
	r.reportLoads()
	r.nextArrival()
	w.Run(s.LoadDuration)
	w.RunUntil(drain, func() bool { return r.open == 0 })
	r.firstTokens()
	result := Result{Recorder: r.recorder, FailedInvariants: failed, Probes: r.probes, DuplicateOrders: r.fleet.RunCounter.RepeatedOrders()}
	if s.Condition == RestartOne {
		const firstRequests = 100
		result.RestartedHitRate, result.PeerHitRate, result.Warm = r.recorder.HitRatesAfterRestart(r.restarted, r.restartedAt, firstRequests)
	}
	return result, nil
}

func limits(d workload.Deployment) map[proto.AccountID]measure.Limit {
	all := map[proto.AccountID]measure.Limit{}
	for _, a := range d.Accounts {
		all[a.ID] = measure.Limit{Rate: a.Rate, Burst: a.Burst}
	}
	return all
}

func (r *run) build(s Settings, fail func(string)) {
	domains := map[string]proto.Domain{}
	for _, e := range r.note.Added.Endpoints {
		domains[string(e.ID)] = e.Domain
		if e.Kind == note.KindEngine {
			r.engineIDs = append(r.engineIDs, e.ID)
		}
	}
	shared := &oracle{dep: r.dep}
	domainOf := func(a proto.Addr) proto.Domain {
		if a.Role == proto.RoleRouter {
			var index int
			if _, err := fmt.Sscanf(a.ID, "r%d-", &index); err == nil {
				return r.dep.Domains[index%len(r.dep.Domains)]
			}
		}
		return domains[a.ID]
	}
	r.fleet = fleet.Start(fleet.Config{
		Drive: drive.Config{
			Seed:    s.Seed,
			Latency: fleet.Latency(domainOf, r.dep.InterDomainDelay, r.dep.CallerDelay),
			Observe: r.observe,
		},
		Routers: r.dep.Routers,
		Domains: r.dep.Domains,
		Note:    r.note,
		Engine: engine.Config{
			BatchSize: r.dep.Engine.BatchSize, CacheBlocks: r.dep.Engine.CacheBlocks,
			PrefillPerToken: r.dep.Engine.PrefillPerToken, DecodePerToken: r.dep.Engine.DecodePerToken,
		},
		Placement: func(index int, cfg route.ViewConfig) route.Placer { return r.placer(s.Policy, shared, index, cfg) },
	})
	shared.fleet = r.fleet
	r.fleet.Checks.OnFail = failures(fail)
}

// placer makes the placement of one router. Imports are priced out, as the
// baselines have none: the comparison is of placement alone.
func (r *run) placer(p Policy, shared *oracle, index int, cfg route.ViewConfig) route.Placer {
	switch p {
	case RoundRobin:
		return newRoundRobin(index)
	case LeastLoaded:
		return newLeastLoaded(index, &r.loads)
	case WholeHash:
		return newWholeHash(index)
	case Oracle:
		return newOracle(index, shared)
	}
	cfg.Costs = route.Costs{PrefillToken: r.dep.Engine.PrefillPerToken, CrossDomain: 2 * r.dep.InterDomainDelay, ImportSetup: time.Hour}
	return route.NewView(cfg)
}

// now is the time since the start of the traffic.
func (r *run) now() time.Duration { return r.fleet.Sim.Now().Sub(r.start) }

func (r *run) nextArrival() {
	a, ok := r.generator.Next()
	if !ok {
		return
	}
	r.fleet.Sim.After(a.At-r.now(), func() {
		r.arrive(a)
		r.nextArrival()
	})
}

func (r *run) arrive(a workload.Arrival) {
	p := &pending{base: a.Request.ID, request: a.Request}
	sent := measure.Sent{At: r.now(), Request: a.Request.ID, Account: a.Account, Class: a.Request.Class, TokenCost: a.Cost}
	via, ok := r.ready()
	if ok {
		sent.Router = string(r.fleet.RouterID(via))
	}
	r.recorder.Add(sent)
	r.open++
	r.send(p)
}

// ready picks a router that serves, as the load balancer's health checks do.
func (r *run) ready() (int, bool) {
	var routers []int
	for i := range r.fleet.Routers {
		if !r.fleet.Sim.Alive(r.fleet.RouterAddr(i)) {
			continue
		}
		s := r.fleet.Routers[i].Snapshot()
		if s.Ready && r.fleet.Sim.Now().Before(s.FreshUntil) {
			routers = append(routers, i)
		}
	}
	if len(routers) == 0 {
		return 0, false
	}
	return routers[r.fleet.Sim.Rand().IntN(len(routers))], true
}

// send passes a request to a router as soon as one is ready.
func (r *run) send(p *pending) {
	via, ok := r.ready()
	if !ok {
		r.fleet.Sim.After(lookAgain, func() { r.send(p) })
		return
	}
	p.via = via
	r.waiting[p.request.ID] = p
	r.fleet.Callers.Send(r.fleet.RouterAddr(via), p.request)
}

func (r *run) restartRouter(i int) {
	r.stopRouter(i)
	r.fleet.StartRouter(i)
}

// stopRouter crashes a router; its callers send again what it had not answered.
func (r *run) stopRouter(i int) {
	addr := r.fleet.RouterAddr(i)
	r.fleet.CrashRouter(i)
	for _, a := range r.fleet.Callers.All() {
		if a.Done() || a.Router != addr {
			continue
		}
		if p := r.waiting[a.Request.ID]; p != nil {
			r.resend(p, a)
		}
	}
}

// resend sends a request again under a new id. A stream goes on after the
// last part that the caller has.
func (r *run) resend(p *pending, a *fleet.Response) {
	delete(r.waiting, p.request.ID)
	r.takeFirst(p, a)
	if n := len(a.Chunks); n > 0 {
		stream := p.request.ID
		if p.request.Resume != nil {
			stream = p.request.Resume.Request
		}
		p.request.Resume = &proto.ResumePoint{Request: stream, Version: a.Chunks[n-1].Version, After: a.Chunks[n-1].Seq}
	}
	r.resends++
	p.request.ID = proto.RequestID(fmt.Sprintf("%s~%d", p.base, r.resends))
	r.fleet.Sim.After(noticeAfter, func() { r.send(p) })
}

func baseOf(id proto.RequestID) proto.RequestID {
	base, _, _ := strings.Cut(string(id), "~")
	return proto.RequestID(base)
}

func (r *run) takeFirst(p *pending, a *fleet.Response) {
	if len(a.Chunks) > 0 && !p.first {
		p.first = true
		r.recorder.Add(measure.FirstToken{At: a.FirstChunkAt.Sub(r.start), Request: p.base})
	}
}

// ended takes in the end of a request.
func (r *run) ended(a *fleet.Response) {
	p := r.waiting[a.Request.ID]
	if p == nil {
		return
	}
	delete(r.waiting, a.Request.ID)
	r.open--
	r.takeFirst(p, a)
	if a.Finish != nil {
		r.recorder.Add(measure.Completed{At: r.now(), Request: p.base, Usage: a.Finish.Usage})
		return
	}
	r.recorder.Add(measure.Refused{At: r.now(), Request: p.base, Cause: a.Refusal.Cause, Verdict: a.Refusal.Verdict})
}

// firstTokens takes in the answers that are still under way.
func (r *run) firstTokens() {
	for _, a := range r.fleet.Callers.All() {
		if p := r.waiting[a.Request.ID]; p != nil {
			r.takeFirst(p, a)
		}
	}
}

// observe sees each message at its delivery, before the receiver does.
func (r *run) observe(_ proto.Instant, e proto.Envelope) {
	if m, ok := e.Msg.(proto.Probe); ok && m.Request != rollout.ProbeRequest {
		r.probes++
	}
	m, ok := e.Msg.(proto.EngineRun)
	if !ok || r.fleet == nil || r.start == 0 {
		return
	}
	id := proto.EndpointID(e.To.ID)
	if !alive(r.fleet, id) {
		return
	}
	tokens := func(blocks int) int64 { return min(m.PromptTokens, int64(blocks)*engine.BlockTokens) }
	hit := tokens(min(r.fleet.Engines[id].Held(m.Blocks), max(0, m.ReusableBlocks)))
	held := int64(0)
	for _, other := range r.engineIDs {
		if alive(r.fleet, other) {
			held = max(held, tokens(r.fleet.Engines[other].Held(m.Blocks)))
		}
	}
	r.recorder.Add(measure.PrefillStarted{
		At: r.now(), Request: baseOf(m.Attempt.Request()), Prompt: m.PromptTokens, Computed: m.PromptTokens - hit, Held: held,
	})
}

// reportLoads gives all routers the load of every endpoint, with a lag.
func (r *run) reportLoads() {
	now := r.fleet.Sim.Now()
	sample := map[proto.EndpointID]int64{}
	for _, id := range r.engineIDs {
		if !alive(r.fleet, id) {
			continue
		}
		backlog := int64(r.fleet.Engines[id].PrefillBacklog(now) / r.dep.Engine.PrefillPerToken)
		sample[id] = backlog + r.fleet.Agents[id].QueuedTokens()
	}
	r.fleet.Sim.After(loadLag, func() {
		r.loads.round++
		r.loads.prefill = sample
	})
	r.fleet.Sim.After(loadEvery, r.reportLoads)
}
