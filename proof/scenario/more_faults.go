package scenario

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/kumquatsill/kumquatsill/core/note"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/proof/drive"
	"github.com/kumquatsill/kumquatsill/proof/fleet"
)

const (
	// CrashPrompt in a prompt crashes each engine that runs it.
	CrashPrompt = "crash-the-engine"
	// maxResends is how often a caller sends a crashing request again.
	maxResends = 4
	// maxEngineLosses is the number of engines that one request may crash.
	maxEngineLosses = 2
	// absenceTime is how long an endpoint stays away.
	absenceTime = 20 * time.Second
	// wallClockStep is above the age at which an idempotency key is too old.
	wallClockStep = -2 * time.Hour
)

// pauseLeaseHolder pauses a router for longer than its leases live.
func (r *Run) pauseLeaseHolder() {
	r.lateReports = true
	r.Oracle.EndpointFault(r.now().Add(maxRouterPause))
	r.expectLogFault(maxRouterPause)
	i := r.pickRouter()
	r.logEvent("router %d pauses beyond its leases", i)
	r.Sim.Freeze(r.RouterAddr(i), maxRouterPause)
}

// misdeliver brings copies of messages to other nodes of the same role.
func (r *Run) misdeliver() {
	r.logEvent("messages are misdelivered")
	r.InjectMessageFaults(faultDuration, func(e proto.Envelope) drive.MessageFault {
		if !isInternal(e) || r.Sim.Rand().IntN(8) != 0 {
			return drive.MessageFault{}
		}
		wrong := proto.AgentAddr(r.randomEndpoint())
		if e.To.Role == proto.RoleRouter {
			wrong = r.RouterAddr(r.Sim.Rand().IntN(len(r.Routers)))
		}
		if wrong != e.To {
			r.Sim.Misdeliver(e, wrong)
		}
		return drive.MessageFault{}
	})
}

func (r *Run) shiftHotPrefixes() {
	r.logEvent("the hot prefixes shift")
	r.prefixBase += 1000
}

// withdrawKey withdraws the key of an account and gives it a new one.
func (r *Run) withdrawKey() {
	a := r.accounts[r.pickAccount()].ID
	old := r.keys[a]
	r.logEvent("the key of %s is withdrawn", a)
	r.keyCount++
	next := proto.KeyHash(fmt.Sprintf("%064x", 1000+r.keyCount))
	r.Note(r.Sim.Rand().IntN(len(r.Routers)), note.Note{
		Added:     note.Items{Keys: []note.Key{{Hash: next, Account: a}}},
		Withdrawn: note.Withdrawn{Keys: []proto.KeyHash{old}},
	})
}

// announceLeaving submits a note that lets an endpoint leave, and later one
// that brings it back.
func (r *Run) announceLeaving() {
	id := r.pickEndpoint()
	r.logEvent("endpoint %s leaves by note", id)
	r.setLeaving(id, true)
	_, watched := r.returnAt[id]
	r.returnAt[id] = r.Sim.Now().Add(absenceTime)
	if !watched {
		r.Sim.After(absenceTime, func() { r.restoreEndpoint(id) })
	}
}

// restoreEndpoint submits notes that bring an endpoint back when its time has come, as
// an operator does who looks again: the note that lets it leave may be accepted
// late, and one that brings it back may be lost with the log.
func (r *Run) restoreEndpoint(id proto.EndpointID) {
	if r.Sim.Now() >= r.returnAt[id] {
		r.setLeaving(id, false)
	}
	r.Sim.After(absenceTime, func() { r.restoreEndpoint(id) })
}

func (r *Run) setLeaving(id proto.EndpointID, leaving bool) {
	e, ok := r.logState.Snapshot().Config.Endpoints[id]
	if !ok || e.Leaving == leaving {
		return
	}
	e.Leaving = leaving
	r.Note(r.Sim.Rand().IntN(len(r.Routers)), note.Note{Changed: note.Items{Endpoints: []note.Endpoint{e}}})
}

// raceOperators submits different notes on one revision through all routers.
func (r *Run) raceOperators() {
	r.logEvent("operators race")
	for i := range r.Routers {
		r.RaiseLimits(i, i%len(r.accounts))
	}
}

// RaiseLimits submits a note that raises an account's limits through router i.
func (r *Run) RaiseLimits(i, account int) {
	a, ok := r.logState.Snapshot().Config.Accounts[r.accounts[account].ID]
	if !ok {
		return
	}
	a.Rate += 1000
	a.Burst += 10_000
	r.Note(i, note.Note{Changed: note.Items{Accounts: []note.Account{a}}})
}

// sendCrashing sends a request that crashes its engine, and sends it again
// through the routers in turn after each refusal.
func (r *Run) sendCrashing() {
	r.logEvent("a request that crashes its engine is sent")
	r.sendRepeatedly(r.pickRouter(), r.CrashingRequest(r.pickAccount()), maxResends)
}

// CrashingRequest returns a request that crashes each engine that runs it.
func (r *Run) CrashingRequest(account int) proto.CallerRequest {
	req := r.Generation(account, uint64(r.requests))
	req.Body = []byte(fmt.Sprintf(`{"prompt":"%s %d"}`, CrashPrompt, r.requests))
	req.Sampling = proto.Sampling{}
	r.crashing++
	return req
}

func (r *Run) sendRepeatedly(via int, req proto.CallerRequest, left int) {
	r.Oracle.EndpointFault(r.now().Add(r.settings.RequestTimeout))
	a := r.Send(via, req)
	r.onEnd[req.ID] = func() {
		if left == 0 || a.Refusal == nil {
			return
		}
		r.requests++
		again := req
		again.ID = proto.RequestID(fmt.Sprintf("c%d", r.requests))
		r.Sim.After(time.Second, func() { r.sendRepeatedly((via+1)%len(r.Routers), again, left-1) })
	}
}

// loseHost takes an agent and its engine away without a trace for a while,
// as when a host dies that is still listed.
func (r *Run) loseHost() {
	id := r.pickEndpoint()
	r.logEvent("the host of %s is gone", id)
	r.loseEndpoint(id)
}

func (r *Run) loseEndpoint(id proto.EndpointID) {
	r.Oracle.EndpointFault(r.now().Add(faultDuration))
	agent := proto.AgentAddr(id)
	r.Sim.Crash(agent)
	r.Sim.Crash(proto.EngineAddr(id))
	r.InjectMessageFaults(faultDuration, func(e proto.Envelope) drive.MessageFault { return drive.MessageFault{Drop: e.To == agent} })
	r.Sim.After(faultDuration, func() {
		if !r.Sim.Alive(agent) {
			r.StartEngine(id)
			r.StartAgent(id)
		}
	})
}

// loseDomain takes a whole failure domain away.
func (r *Run) loseDomain() {
	domain := r.RouterDomain(r.pickRouter())
	r.logEvent("failure domain %s is lost", domain)
	for i := range r.Routers {
		if r.RouterDomain(i) == domain && r.Sim.Alive(r.RouterAddr(i)) {
			r.CrashAndRestartRouter(i, faultDuration)
		}
	}
	endpoints := r.logState.Snapshot().Config.Endpoints
	for _, id := range slices.Sorted(maps.Keys(endpoints)) {
		if endpoints[id].Domain == domain {
			r.loseEndpoint(id)
		}
	}
}

// sendStaleOrder gives an engine that ignores fencing numbers an order of
// the present lease and then, as a paused holder would, one of an older one.
func (r *Run) sendStaleOrder() {
	id := EngineID(1)
	r.logEvent("a holder with an old fencing number gives %s orders", id)
	agent := proto.AgentAddr(id)
	order := proto.Order{Fence: 2, Action: proto.OrderLoad, Endpoint: id, Model: "assistant"}
	order.Version = r.modelVersion()
	r.orders++
	order.ID = fmt.Sprintf("order-%d", r.orders)
	r.Sim.Inject(proto.Envelope{From: r.RouterAddr(r.pickRouter()), To: agent, Msg: order})
	r.orders++
	order.ID, order.Fence, order.Version = fmt.Sprintf("order-%d", r.orders), 1, "stale"
	from := r.RouterAddr(r.pickRouter())
	r.Sim.After(time.Second, func() { r.Sim.Inject(proto.Envelope{From: from, To: agent, Msg: order}) })
}

// restartWithClockOffset restarts a router on a host whose clock has another origin.
func (r *Run) restartWithClockOffset() {
	i := r.pickRouter()
	r.logEvent("router %d restarts with another clock", i)
	r.clockOffset = time.Duration(r.Sim.Rand().Int64N(int64(72 * time.Hour)))
	r.CrashAndRestartRouter(i, time.Second)
}

// stepWallClock makes the wall clock of arrivals jump.
func (r *Run) stepWallClock() {
	r.logEvent("the wall clock steps")
	r.wallClock = r.wallClock.Add(wallClockStep)
}

func (r *Run) modelVersion() string {
	if m, ok := r.logState.Snapshot().Config.Models["assistant"]; ok {
		return m.Version
	}
	return "v1"
}

// ResumeStream continues a broken stream through another running router,
// as a caller with Last-Event-ID does. It reports whether it could.
func (r *Run) ResumeStream(a *fleet.Response) (*fleet.Response, bool) {
	req := a.Request
	if a.Done() || len(a.Chunks) == 0 || !req.Sampling.Reproducible() || req.Resume != nil {
		return nil, false
	}
	last := a.Chunks[len(a.Chunks)-1]
	for i := range r.Routers {
		if r.RouterAddr(i) == a.Router || !r.Sim.Alive(r.RouterAddr(i)) {
			continue
		}
		r.requests++
		req.ID = proto.RequestID(fmt.Sprintf("r%d", r.requests))
		req.Resume = &proto.ResumePoint{Request: a.Request.ID, Version: last.Version, After: last.Seq}
		r.Resumed++
		return r.Send(i, req), true
	}
	return nil, false
}
