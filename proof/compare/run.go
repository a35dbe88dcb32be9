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

// Settings describes one run.
type Settings struct {
	Deployment workload.Deployment
	Condition  Condition
	Policy     Policy
	Seed       uint64
	// LoadDuration is the time for which requests are sent; 0 means 90 s.
	LoadDuration time.Duration
}

// Result holds the measurements of one run.
type Result struct {
	Recorder *measure.Recorder
	// RestartedHitRate and PeerHitRate are the hit rates of a restarted router
	// and of its peers. They are valid only if Warm is set.
	RestartedHitRate, PeerHitRate float64
	Warm                          bool
	// FailedInvariants describes the first failure of each invariant.
	FailedInvariants []string
	// Probes counts the agent probes for requests over the whole run.
	Probes int
	// DuplicateOrders counts orders that ran more than once.
	DuplicateOrders int
}

// run is the state of a run in progress.
type run struct {
	dep       workload.Deployment
	note      note.Note
	fleet     *fleet.Fleet
	generator *workload.Generator
	recorder  *measure.Recorder
	start     proto.Instant
	engineIDs []proto.EndpointID
	loads     loads
	// inFlight maps the ID of each sent request message to its request.
	inFlight map[proto.RequestID]*pending
	// unfinished counts the requests that have not ended.
	unfinished  int
	resends     int
	probes      int
	restarted   string
	restartedAt time.Duration
}

// pending is a request that has not ended. router is the index of the router to
// which it was last sent.
type pending struct {
	// base is the ID under which the request was first sent.
	base    proto.RequestID
	request proto.CallerRequest
	router  int
	// hasFirst is set once the first token is recorded.
	hasFirst bool
}

const (
	// retryInterval is the time after which the load balancer looks again for a
	// ready router, detectionDelay the time until it detects a crashed one.
	retryInterval  = 20 * time.Millisecond
	detectionDelay = 10 * time.Millisecond
	// settleTime is the time between readiness and the start of the load.
	settleTime = 3 * time.Second
)

// Run executes one run. It returns an error if the release note of the deployment
// does not take effect.
func Run(s Settings) (Result, error) {
	r := &run{dep: s.Deployment, note: s.Deployment.Note(), inFlight: map[proto.RequestID]*pending{}}
	if s.LoadDuration == 0 {
		s.LoadDuration = defaultLoadDuration
	}
	cfg := workloadConfig(s)
	r.generator = workload.New(s.Deployment, cfg)
	r.recorder = measure.NewRecorder(measure.Config{Limits: accountLimits(s.Deployment), From: warmUp, Until: s.LoadDuration, Flooding: cfg.Flood})
	var failed []string
	r.build(s, func(text string) { failed = append(failed, text) })
	if !r.fleet.WaitReady(1) {
		return Result{}, fmt.Errorf("compare: the note of %s is not in force: %+v", s.Deployment.Name, r.fleet.Callers.NoteOutcomes)
	}
	sim := r.fleet.Sim
	sim.Run(settleTime)
	r.start = sim.Now()
	r.fleet.Callers.OnEnd = r.handleEnd
	r.scheduleFaults(s.Condition)
	r.reportLoads()
	r.scheduleNextArrival()
	sim.Run(s.LoadDuration)
	sim.RunUntil(drainTime, func() bool { return r.unfinished == 0 })
	r.recordFirstTokens()
	result := Result{Recorder: r.recorder, FailedInvariants: failed, Probes: r.probes, DuplicateOrders: r.fleet.RunCounter.RepeatedOrders()}
	if s.Condition == RestartOne {
		const firstRequests = 100
		result.RestartedHitRate, result.PeerHitRate, result.Warm = r.recorder.HitRatesAfterRestart(r.restarted, r.restartedAt, firstRequests)
	}
	return result, nil
}

// accountLimits returns the limits of the accounts of a deployment.
func accountLimits(d workload.Deployment) map[proto.AccountID]measure.Limit {
	all := map[proto.AccountID]measure.Limit{}
	for _, a := range d.Accounts {
		all[a.ID] = measure.Limit{Rate: a.Rate, Burst: a.Burst}
	}
	return all
}

// build starts the simulated fleet with the placement of the policy. fail receives
// the first failure of each invariant.
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
	r.fleet.Checks.OnFail = firstFailures(fail)
}

// placer returns the placement of one router. The setup cost rules out cache
// imports, which the baselines do not have, so that only placement is compared.
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

// now returns the time since the start of the load.
func (r *run) now() time.Duration { return r.fleet.Sim.Now().Sub(r.start) }

// scheduleNextArrival schedules the next request of the workload, which schedules
// the one after it in turn.
func (r *run) scheduleNextArrival() {
	a, ok := r.generator.Next()
	if !ok {
		return
	}
	r.fleet.Sim.After(a.At-r.now(), func() {
		r.arrive(a)
		r.scheduleNextArrival()
	})
}

// arrive records and sends a request of the workload.
func (r *run) arrive(a workload.Arrival) {
	p := &pending{base: a.Request.ID, request: a.Request}
	sent := measure.Sent{At: r.now(), Request: a.Request.ID, Account: a.Account, Class: a.Request.Class, TokenCost: a.Cost}
	router, ok := r.pickRouter()
	if ok {
		sent.Router = string(r.fleet.RouterID(router))
	}
	r.recorder.Add(sent)
	r.unfinished++
	r.send(p)
}

// pickRouter picks a random router that serves requests, as a load balancer with
// health checks does. It returns false if there is none.
func (r *run) pickRouter() (int, bool) {
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

// send sends a request to a router as soon as one is ready.
func (r *run) send(p *pending) {
	router, ok := r.pickRouter()
	if !ok {
		r.fleet.Sim.After(retryInterval, func() { r.send(p) })
		return
	}
	p.router = router
	r.inFlight[p.request.ID] = p
	r.fleet.Callers.Send(r.fleet.RouterAddr(router), p.request)
}

func (r *run) restartRouter(i int) {
	r.stopRouter(i)
	r.fleet.StartRouter(i)
}

// stopRouter crashes a router. Callers resend the requests that it had not
// completed.
func (r *run) stopRouter(i int) {
	addr := r.fleet.RouterAddr(i)
	r.fleet.CrashRouter(i)
	for _, resp := range r.fleet.Callers.All() {
		if resp.Done() || resp.Router != addr {
			continue
		}
		if p := r.inFlight[resp.Request.ID]; p != nil {
			r.resend(p, resp)
		}
	}
}

// resend sends a request again under a new ID. A stream is resumed after the last
// chunk that the caller received.
func (r *run) resend(p *pending, resp *fleet.Response) {
	delete(r.inFlight, p.request.ID)
	r.recordFirstToken(p, resp)
	if n := len(resp.Chunks); n > 0 {
		stream := p.request.ID
		if p.request.Resume != nil {
			stream = p.request.Resume.Request
		}
		p.request.Resume = &proto.ResumePoint{Request: stream, Version: resp.Chunks[n-1].Version, After: resp.Chunks[n-1].Seq}
	}
	r.resends++
	p.request.ID = proto.RequestID(fmt.Sprintf("%s~%d", p.base, r.resends))
	r.fleet.Sim.After(detectionDelay, func() { r.send(p) })
}

// baseOf returns the ID under which a request was first sent.
func baseOf(id proto.RequestID) proto.RequestID {
	base, _, _ := strings.Cut(string(id), "~")
	return proto.RequestID(base)
}

// recordFirstToken records the first token of a request, once.
func (r *run) recordFirstToken(p *pending, resp *fleet.Response) {
	if len(resp.Chunks) > 0 && !p.hasFirst {
		p.hasFirst = true
		r.recorder.Add(measure.FirstToken{At: resp.FirstChunkAt.Sub(r.start), Request: p.base})
	}
}

// handleEnd records the end of a request.
func (r *run) handleEnd(resp *fleet.Response) {
	p := r.inFlight[resp.Request.ID]
	if p == nil {
		return
	}
	delete(r.inFlight, resp.Request.ID)
	r.unfinished--
	r.recordFirstToken(p, resp)
	if resp.Finish != nil {
		r.recorder.Add(measure.Completed{At: r.now(), Request: p.base, Usage: resp.Finish.Usage})
		return
	}
	r.recorder.Add(measure.Refused{At: r.now(), Request: p.base, Cause: resp.Refusal.Cause, Verdict: resp.Refusal.Verdict})
}

// recordFirstTokens records the first tokens of responses that have not ended.
func (r *run) recordFirstTokens() {
	for _, resp := range r.fleet.Callers.All() {
		if p := r.inFlight[resp.Request.ID]; p != nil {
			r.recordFirstToken(p, resp)
		}
	}
}

// observe is called for each message at its delivery, before the receiver handles
// it. It records the probes and the starts of generations.
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

// reportLoads periodically samples the load of all endpoints and publishes it to
// all routers after loadReportDelay.
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
	r.fleet.Sim.After(loadReportDelay, func() {
		r.loads.round++
		r.loads.prefill = sample
	})
	r.fleet.Sim.After(loadReportInterval, r.reportLoads)
}
