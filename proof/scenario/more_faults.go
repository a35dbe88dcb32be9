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
	// CrashPrompt is a prompt text that crashes each engine that runs it.
	CrashPrompt = "crash-the-engine"
	// maxResends is how often a caller sends a crashing request again.
	maxResends = 4
	// maxEngineLosses is the largest number of engines that one request may crash.
	maxEngineLosses = 2
	// absenceTime is the time between the notes that let an endpoint leave and return.
	absenceTime = 20 * time.Second
	// wallClockStep moves the wall clock back by more than the age at which an
	// idempotency key is too old.
	wallClockStep = -2 * time.Hour
)

// pauseLeaseHolder pauses a router for longer than the TTL of its leases.
func (r *Run) pauseLeaseHolder() {
	r.lateReports = true
	r.Oracle.EndpointFault(r.now().Add(maxRouterPause))
	r.expectLogFault(maxRouterPause)
	i := r.pickRouter()
	r.logEvent("router %d pauses until after its leases expire", i)
	r.Sim.Freeze(r.RouterAddr(i), maxRouterPause)
}

// misdeliver delivers copies of messages to other nodes of the same role.
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

// announceLeaving submits a note that marks an endpoint as leaving, and another
// one later that takes the mark back.
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

// restoreEndpoint brings an endpoint back by a note once its return is due, and
// checks again after each absenceTime, as an operator would: the note that lets
// the endpoint leave may be accepted late, and the note that brings it back may
// be lost during an outage of the log.
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

// raceOperators submits different notes with the same base revision through all
// routers.
func (r *Run) raceOperators() {
	r.logEvent("operators submit notes concurrently")
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

// sendCrashing sends a request that crashes its engine. After each refusal it
// sends the request again through the next router.
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

// loseHost removes an agent and its engine for a while, as when a host fails that
// is still listed. Messages to the agent are lost without an error: no host is
// left to refuse the connection.
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

// loseDomain removes all routers and endpoints of a failure domain for a while.
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

// sendStaleOrder sends an engine that does not check fencing tokens an order under
// the current lease and then, as a paused holder would, an order under an older
// lease.
func (r *Run) sendStaleOrder() {
	id := EngineID(1)
	r.logEvent("a lease holder with an old fencing token sends orders to %s", id)
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

// restartWithClockOffset restarts a router on a host whose clock has a different
// origin.
func (r *Run) restartWithClockOffset() {
	i := r.pickRouter()
	r.logEvent("router %d restarts with another clock", i)
	r.clockOffset = time.Duration(r.Sim.Rand().Int64N(int64(72 * time.Hour)))
	r.CrashAndRestartRouter(i, time.Second)
}

// stepWallClock moves the wall clock used for arrival times back.
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

// ResumeStream resumes a broken stream through another running router, as a caller
// with Last-Event-ID does. It reports whether the stream could be resumed.
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
