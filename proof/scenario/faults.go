package scenario

import (
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/proof/drive"
	"github.com/kumquatsill/kumquatsill/standin/logsvc"
)

// Fault is a kind of fault that a run can inject.
type Fault struct {
	Name string
	// Inject starts the fault now; it ends by itself.
	Inject func(r *Run)
}

// Faults returns every fault listed on the design page.
func Faults() []Fault {
	return []Fault{
		{"engine-crash", (*Run).crashEngine},
		{"agent-crash", (*Run).crashAgent},
		{"router-crash", (*Run).crashRouter},
		{"router-herd-restart", (*Run).RestartAllRouters},
		{"router-shutdown", (*Run).drainRouter},
		{"events-lost", (*Run).loseEvents},
		{"events-late", (*Run).delayEvents},
		{"events-doubled", (*Run).duplicateEvents},
		{"log-down", (*Run).logDown},
		{"log-silent", (*Run).logSilent},
		{"log-slow", (*Run).logSlow},
		{"append-without-answer", (*Run).loseAppendReplies},
		{"router-paused", (*Run).pauseRouter},
		{"agent-paused", (*Run).pauseAgent},
		{"silent-connection", (*Run).silenceConnection},
		{"messages-late", (*Run).delayMessages},
		{"messages-doubled", (*Run).duplicateMessages},
		{"router-cut-off-from-log", (*Run).cutRouterFromLog},
		{"router-isolated", (*Run).isolateRouter},
		{"lease-holder-paused", (*Run).pauseLeaseHolder},
		{"messages-misdelivered", (*Run).misdeliver},
		{"hot-prefix-shift", (*Run).shiftHotPrefixes},
		{"key-withdrawn", (*Run).withdrawKey},
		{"endpoint-leaves", (*Run).announceLeaving},
		{"operators-race", (*Run).raceOperators},
		{"crashing-request", (*Run).sendCrashing},
		{"host-gone-still-listed", (*Run).loseHost},
		{"fencing-ignored", (*Run).sendStaleOrder},
		{"clock-offset", (*Run).restartWithClockOffset},
		{"wall-clock-step", (*Run).stepWallClock},
		{"failure-domain-lost", (*Run).loseDomain},
	}
}

const (
	// faultDuration is how long a fault of the network or the log lasts.
	faultDuration = 15 * time.Second
	// reconnectDelay is the time after which callers of a crashed router connect to
	// another one.
	reconnectDelay = 300 * time.Millisecond
	// maxLogDelay is the longest delay of a reply from a slow log.
	maxLogDelay = 2 * time.Second
	// maxRouterPause is the longest pause of a router, several times the TTL of a
	// lease.
	maxRouterPause = 20 * time.Second
	// replaceDelay is the time after which a draining router is replaced; it exceeds
	// the duration of any request.
	replaceDelay = time.Minute
)

// Target fixes what faults hit, instead of a random choice.
type Target struct {
	Router   int
	Endpoint proto.EndpointID
	Account  int
}

func (r *Run) pickRouter() int {
	if r.Target != nil {
		return r.Target.Router
	}
	return r.Sim.Rand().IntN(len(r.Routers))
}

func (r *Run) pickAccount() int {
	if r.Target != nil {
		return r.Target.Account
	}
	return r.Sim.Rand().IntN(len(r.accounts))
}

func (r *Run) crashEngine() {
	r.Oracle.EndpointFault(r.now().Add(0))
	id := r.pickEndpoint()
	r.logEvent("engine or service %s crashes", id)
	e := r.Engines[id]
	if e == nil {
		r.Sim.Crash(proto.EngineAddr(id))
		r.Sim.After(time.Second, func() { r.StartEngine(id) })
		return
	}
	before := e.Counts.Crashes
	r.Sim.Call(proto.EngineAddr(id), e.Crash)
	r.crashes += e.Counts.Crashes - before
}

func (r *Run) pickEndpoint() proto.EndpointID {
	if r.Target != nil {
		return r.Target.Endpoint
	}
	return r.randomEndpoint()
}

func (r *Run) randomEndpoint() proto.EndpointID {
	n := r.Sim.Rand().IntN(numEngines + numServices)
	if n < numEngines {
		return EngineID(n)
	}
	return ServiceID(n - numEngines)
}

func (r *Run) crashAgent() {
	r.Oracle.EndpointFault(r.now().Add(0))
	id := r.pickEndpoint()
	r.logEvent("agent %s crashes", id)
	r.Sim.Crash(proto.AgentAddr(id))
	r.Sim.After(time.Second, func() { r.StartAgent(id) })
}

func (r *Run) crashRouter() {
	i := r.pickRouter()
	r.logEvent("router %d crashes", i)
	r.CrashAndRestartRouter(i, 2*time.Second)
}

// CrashAndRestartRouter crashes router i and restarts it after restartAfter.
func (r *Run) CrashAndRestartRouter(i int, restartAfter time.Duration) {
	addr := r.RouterAddr(i)
	r.crashed[addr] = true
	r.CrashRouter(i)
	if r.settings.ResumeStreams {
		r.Sim.After(reconnectDelay, func() { r.resumeStreams(addr) })
	}
	r.Sim.After(restartAfter, func() { r.restartRouter(i) })
}

// resumeStreams resumes the streams that the crash of a router broke.
func (r *Run) resumeStreams(router proto.Addr) {
	for _, a := range r.Callers.All() {
		if a.Router == router {
			r.ResumeStream(a)
		}
	}
}

func (r *Run) restartRouter(i int) {
	if r.Sim.Alive(r.RouterAddr(i)) {
		return
	}
	r.StartRouter(i)
	r.checkRestart(i)
}

// RestartAllRouters crashes all routers and restarts each of them a second later.
func (r *Run) RestartAllRouters() {
	r.logEvent("all routers restart")
	for i := range r.Routers {
		r.CrashAndRestartRouter(i, time.Second)
	}
}

// drainRouter shuts a running router down gracefully and replaces it.
func (r *Run) drainRouter() {
	i := r.pickRouter()
	if !r.Sim.Alive(r.RouterAddr(i)) {
		return
	}
	r.DrainAndReplace(i)
}

// DrainAndReplace shuts router i down gracefully and starts a new one in its
// place after replaceDelay.
func (r *Run) DrainAndReplace(i int) {
	r.logEvent("router %d shuts down", i)
	r.Oracle.RouterStopping(r.RouterAddr(i), r.now())
	r.DrainRouter(i)
	r.Sim.After(replaceDelay, func() { r.restartRouter(i) })
}

func isCacheEvent(e proto.Envelope) bool {
	_, ok := e.Msg.(proto.CacheEvents)
	return ok
}

func (r *Run) loseEvents() {
	r.logEvent("cache events are lost")
	r.InjectMessageFaults(faultDuration, func(e proto.Envelope) drive.MessageFault {
		return drive.MessageFault{Drop: isCacheEvent(e) && r.Sim.Rand().IntN(3) == 0}
	})
}

func (r *Run) delayEvents() {
	r.logEvent("cache events are delayed")
	r.InjectMessageFaults(faultDuration, func(e proto.Envelope) drive.MessageFault {
		if !isCacheEvent(e) {
			return drive.MessageFault{}
		}
		return drive.MessageFault{Delay: time.Duration(r.Sim.Rand().Int64N(int64(3 * time.Second)))}
	})
}

func (r *Run) duplicateEvents() {
	r.logEvent("cache events are duplicated")
	r.InjectMessageFaults(faultDuration, func(e proto.Envelope) drive.MessageFault {
		if !isCacheEvent(e) {
			return drive.MessageFault{}
		}
		return drive.MessageFault{Copies: 1}
	})
}

func (r *Run) logDown() {
	r.expectLogFault(faultDuration)
	r.logEvent("the log refuses calls")
	r.Log.SetOutage(logsvc.Refusing)
	r.Sim.After(faultDuration, func() { r.Log.SetOutage(logsvc.NoOutage) })
}

func (r *Run) logSilent() {
	r.expectLogFault(2 * faultDuration)
	r.logEvent("the log does not reply")
	r.Log.SetOutage(logsvc.Silent)
	r.Sim.After(2*faultDuration, func() { r.Log.SetOutage(logsvc.NoOutage) })
}

func (r *Run) logSlow() {
	r.expectLogFault(faultDuration)
	r.logEvent("the log is slow")
	r.InjectMessageFaults(faultDuration, func(e proto.Envelope) drive.MessageFault {
		if e.From.Role != proto.RoleLog {
			return drive.MessageFault{}
		}
		return drive.MessageFault{Delay: time.Duration(r.Sim.Rand().Int64N(int64(maxLogDelay)))}
	})
}

func (r *Run) loseAppendReplies() {
	r.expectLogFault(faultDuration)
	r.logEvent("replies to appends are lost")
	r.InjectMessageFaults(faultDuration, func(e proto.Envelope) drive.MessageFault {
		_, ok := e.Msg.(proto.LogAppended)
		return drive.MessageFault{Drop: ok && r.Sim.Rand().IntN(2) == 0}
	})
}

func (r *Run) pauseRouter() {
	r.lateReports = true
	r.Oracle.EndpointFault(r.now().Add(maxRouterPause))
	r.expectLogFault(maxRouterPause)
	i := r.pickRouter()
	r.logEvent("router %d pauses", i)
	r.Sim.Freeze(r.RouterAddr(i), time.Duration(r.Sim.Rand().Int64N(int64(maxRouterPause))))
}

func (r *Run) pauseAgent() {
	r.lateReports = true
	r.Oracle.EndpointFault(r.now().Add(faultDuration))
	id := r.pickEndpoint()
	r.logEvent("agent %s pauses", id)
	r.Sim.Freeze(proto.AgentAddr(id), time.Duration(r.Sim.Rand().Int64N(int64(10*time.Second))))
}

// silenceConnection drops all messages of the attempts that are currently open
// between one router and one agent; new attempts work.
func (r *Run) silenceConnection() {
	r.lateReports = true
	r.Oracle.EndpointFault(r.now().Add(faultDuration))
	i, id := r.pickRouter(), r.pickEndpoint()
	router, agent := r.RouterAddr(i), proto.AgentAddr(id)
	r.logEvent("connections between router %d and agent %s go silent", i, id)
	began := r.now()
	opened := map[proto.AttemptID]bool{}
	r.InjectMessageFaults(faultDuration, func(e proto.Envelope) drive.MessageFault {
		if d, ok := e.Msg.(proto.Dispatch); ok && r.now() > began {
			opened[d.Attempt] = true
		}
		between := e.From == router && e.To == agent || e.From == agent && e.To == router
		attempt, ok := attemptOf(e.Msg)
		return drive.MessageFault{Drop: between && ok && !opened[attempt]}
	})
}

func attemptOf(m proto.Message) (proto.AttemptID, bool) {
	switch m := m.(type) {
	case proto.Dispatch:
		return m.Attempt, true
	case proto.Cancel:
		return m.Attempt, true
	case proto.Accepted:
		return m.Attempt, true
	case proto.Chunk:
		return m.Attempt, true
	case proto.Heartbeat:
		return m.Attempt, true
	case proto.Finish:
		return m.Attempt, true
	case proto.AttemptRefused:
		return m.Attempt, true
	}
	return "", false
}

// isInternal reports whether a message goes from a router or agent to another one.
func isInternal(e proto.Envelope) bool {
	own := func(role proto.Role) bool { return role == proto.RoleRouter || role == proto.RoleAgent }
	return own(e.From.Role) && own(e.To.Role)
}

func (r *Run) delayMessages() {
	r.Oracle.EndpointFault(r.now().Add(faultDuration))
	r.logEvent("messages are delayed")
	r.lateReports = true
	r.InjectMessageFaults(faultDuration, func(e proto.Envelope) drive.MessageFault {
		if !isInternal(e) || r.Sim.Rand().IntN(10) != 0 {
			return drive.MessageFault{}
		}
		return drive.MessageFault{Delay: time.Duration(r.Sim.Rand().Int64N(int64(5 * time.Second)))}
	})
}

func (r *Run) duplicateMessages() {
	r.logEvent("messages are duplicated")
	r.InjectMessageFaults(faultDuration, func(e proto.Envelope) drive.MessageFault {
		if !isInternal(e) || r.Sim.Rand().IntN(4) != 0 {
			return drive.MessageFault{}
		}
		return drive.MessageFault{Copies: 1}
	})
}

func (r *Run) cutRouterFromLog() {
	r.expectLogFault(faultDuration)
	router := r.RouterAddr(r.pickRouter())
	r.logEvent("%v is cut off from the log", router)
	r.InjectMessageFaults(faultDuration, func(e proto.Envelope) drive.MessageFault {
		return drive.MessageFault{Drop: e.From == router && e.To == proto.Log || e.From == proto.Log && e.To == router}
	})
}

func (r *Run) isolateRouter() {
	r.expectLogFault(faultDuration)
	router := r.RouterAddr(r.pickRouter())
	r.logEvent("%v is isolated from the log and the other routers", router)
	isPeer := func(a proto.Addr) bool { return a == proto.Log || a.Role == proto.RoleRouter }
	r.InjectMessageFaults(faultDuration, func(e proto.Envelope) drive.MessageFault {
		return drive.MessageFault{Drop: e.From == router && isPeer(e.To) || e.To == router && isPeer(e.From)}
	})
}
