// Package agent implements the agent, a process that runs next to one endpoint. It
// owns the queue in front of the engine, an exact index of the engine's prefix
// cache and the open streams, and it makes the final checks before anything runs.
package agent

import (
	"time"

	"github.com/kumquatsill/kumquatsill/core/check"
	"github.com/kumquatsill/kumquatsill/core/prefix"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/core/queue"
)

const (
	heartbeatInterval = time.Second
	// idleTickInterval is the interval of ticks while the agent is idle. They let it
	// tell a pause of the process from a lack of input.
	idleTickInterval = time.Second
	// pauseThreshold is the time without a tick or message after which the process
	// counts as having been paused. Routers abandon a silent attempt after the same
	// time.
	pauseThreshold = 3 * time.Second
	// refuseAfterPause is how long dispatches are refused after a pause. It covers
	// the time to read the messages that arrived during the pause.
	refuseAfterPause = 100 * time.Millisecond
	// detachedRetention is how long a stream without a router is kept, so that
	// another router can resume it.
	detachedRetention = 10 * time.Second
	// finishedRetention is how long a finished job and its chunks are kept.
	finishedRetention = 10 * time.Second
	// expiryGranularity is what expiry times of finished jobs are rounded up to, so
	// that one pass removes many of them.
	expiryGranularity = 100 * time.Millisecond
	// maxEndedAttempts bounds the set of ended attempts.
	maxEndedAttempts = 1 << 14
	// maxIntents bounds the sets of accepted and started intents. They detect
	// repeated dispatches of calls that may not be repeated.
	maxIntents = 1 << 17
	// maxBufferedBytes bounds the chunks buffered for one stream.
	maxBufferedBytes = 4 << 20
	// defaultBatchSize is the number of concurrent runs if the engine reports none.
	defaultBatchSize = 8
	// queueTimeoutMargin is how long before its deadline a queued job is refused, so
	// that the refusal reaches the router in time.
	queueTimeoutMargin = 50 * time.Millisecond
	// endpointRetryAfter is the delay that refusals suggest before a retry at this
	// endpoint.
	endpointRetryAfter = time.Second
)

// Config identifies an agent.
type Config struct {
	Endpoint proto.EndpointID
	// Incarnation identifies this run of the agent process. It must be unique to
	// the run.
	Incarnation proto.Incarnation
	Seed        uint64
	// ChecksFence is set if the engine itself refuses old fencing tokens.
	ChecksFence bool
	Checks      *check.Monitor
}

// Stats counts the events of an agent. /debug/state shows it under these field
// names. Crossed counts dispatches for another endpoint.
type Stats struct {
	Dispatched, Refused, Duplicates, Crossed int64
	Finished, Crashed, Reattached            int64
	StaleEvents, StaleOrders                 int64
}

// Agent implements proto.Machine.
type Agent struct {
	proto.Outbox
	cfg   Config
	stamp proto.Stamp
	stats Stats

	engine engineState
	index  *prefix.Index
	queue  *queue.Queue
	orders orders

	// jobs holds the queued, running and recently finished jobs by the attempt that
	// is currently attached.
	jobs map[proto.AttemptID]*job
	// streams holds the jobs of streams, for routers that resume one.
	streams map[streamKey]*job
	// runs holds the running jobs by runID.
	runs          map[proto.AttemptID]*job
	endedAttempts *recentSet[proto.AttemptID]
	// acceptedIntents holds the intents that were queued or started, startedIntents
	// those that were sent to the engine.
	acceptedIntents *recentSet[intentID]
	startedIntents  *recentSet[intentID]
	running         int
	// draining is set by a shutdown. leaving is set by the release note that took
	// effect at leavingOffset.
	draining      bool
	leaving       bool
	leavingOffset proto.Offset
	nextHeartbeat proto.Instant
	// lastInputAt is the time of the last tick or message. Dispatches are refused
	// until refuseUntil, which a pause sets.
	lastInputAt proto.Instant
	refuseUntil proto.Instant
	// nextExpiry is a lower bound of the expiry times of the jobs. It is maintained
	// because a search is expensive: thousands of jobs are kept for
	// finishedRetention.
	nextExpiry proto.Instant
}

// intentID identifies an intent by its position in the log.
type intentID struct {
	stream string
	offset proto.Offset
}

// New returns an agent whose engine is down until it reports EngineUp.
func New(cfg Config) *Agent {
	return &Agent{
		Outbox:          proto.NewOutbox(proto.AgentAddr(cfg.Endpoint)),
		cfg:             cfg,
		index:           prefix.New(""),
		queue:           queue.New(queue.Config{}),
		jobs:            map[proto.AttemptID]*job{},
		streams:         map[streamKey]*job{},
		runs:            map[proto.AttemptID]*job{},
		endedAttempts:   newRecentSet[proto.AttemptID](maxEndedAttempts),
		acceptedIntents: newRecentSet[intentID](maxIntents),
		startedIntents:  newRecentSet[intentID](maxIntents),
		nextHeartbeat:   proto.Never,

		nextExpiry: proto.Never,
	}
}

// Stats returns a copy of the counters.
func (a *Agent) Stats() Stats { return a.stats }

// QueuedTokens returns the number of uncached prompt tokens of the queued jobs.
func (a *Agent) QueuedTokens() int64 { return a.queue.Tokens() }

// Drain makes the agent refuse new dispatches. Accepted jobs continue.
func (a *Agent) Drain() { a.draining = true }

// Drained reports whether all accepted jobs have ended.
func (a *Agent) Drained() bool {
	for _, j := range a.jobs {
		if !j.ended {
			return false
		}
	}
	return true
}

// Step implements proto.Machine.
func (a *Agent) Step(now proto.Instant, in proto.Envelope) {
	a.detectPause(now)
	if in.From.Role == proto.RoleEngine {
		a.stepEngine(now, in.Msg)
	} else {
		a.stepRouter(now, in.From, in.Msg)
	}
	a.forwardOrders(now)
	a.schedule(now)
}

func (a *Agent) stepRouter(now proto.Instant, from proto.Addr, msg proto.Message) {
	switch m := msg.(type) {
	case proto.Dispatch:
		a.updateStamp(m.Stamp)
		a.onDispatch(now, from, m)
	case proto.Cancel:
		a.updateStamp(m.Stamp)
		a.onCancel(m.Attempt)
	case proto.Probe:
		a.updateStamp(m.Stamp)
		a.Send(from, proto.ProbeReply{Stamp: a.stamp, Request: m.Request, Report: a.report(m.Blocks)})
	case proto.EndpointLeaving:
		a.updateStamp(m.Stamp)
		a.onLeaving(m)
	case proto.Order:
		a.updateStamp(m.Stamp)
		a.onOrder(now, from, m)
	case proto.ConnLost:
		a.onConnLost(now, m.Attempt)
	}
}

func (a *Agent) stepEngine(now proto.Instant, msg proto.Message) {
	switch m := msg.(type) {
	case proto.EngineUp:
		a.onEngineUp(now, m)
	case proto.EngineDown:
		a.onEngineDown()
	case proto.EngineToken:
		a.onToken(now, m)
	case proto.EngineDone:
		a.onDone(now, m)
	case proto.EngineFailed:
		a.onFailed(m)
	case proto.CacheEvents:
		a.index.Events(m)
		a.resyncIndex(now)
	case proto.CacheList:
		a.index.List(m)
		a.resyncIndex(now)
	case proto.LoadReport:
		a.onLoad(now, m)
	case proto.EngineOrdered:
		a.onOrdered(m)
	}
}

// detectPause detects that the process was suspended. Messages that arrived
// meanwhile are outdated: their routers have abandoned the attempts, and the
// endpoint may have been told to leave since.
func (a *Agent) detectPause(now proto.Instant) {
	if a.lastInputAt != 0 && now.Sub(a.lastInputAt) > pauseThreshold {
		a.refuseUntil = now.Add(refuseAfterPause)
	}
	a.lastInputAt = now
}

// updateStamp keeps the highest stamp, so that any agent can tell a router that
// the router's configuration is outdated.
func (a *Agent) updateStamp(s proto.Stamp) {
	if s.ConfigOffset > a.stamp.ConfigOffset {
		a.stamp = s
	}
}

// onLeaving applies the newest release note that a router has reported.
func (a *Agent) onLeaving(m proto.EndpointLeaving) {
	if m.Stamp.ConfigOffset < a.leavingOffset {
		return
	}
	a.leavingOffset = m.Stamp.ConfigOffset
	a.leaving = m.Leaving
}

// Tick implements proto.Machine.
func (a *Agent) Tick(now proto.Instant) {
	a.detectPause(now)
	a.expireJobs(now)
	if now >= a.nextHeartbeat {
		a.sendHeartbeats(now)
	}
	a.resyncIndex(now)
	a.forwardOrders(now)
	a.schedule(now)
}

// Wake implements proto.Machine.
func (a *Agent) Wake() proto.Instant {
	wake := min(a.nextHeartbeat, a.queue.Wake(), a.nextExpiry, a.lastInputAt.Add(idleTickInterval))
	for _, p := range a.orders.pending {
		if p.sent {
			wake = min(wake, p.drainDeadline.Add(orderTimeout))
		} else {
			wake = min(wake, p.drainDeadline)
		}
	}
	if a.index.NeedsList() && a.engine.up {
		wake = min(wake, a.engine.listAt)
	}
	return wake
}

// sendHeartbeats sends a heartbeat for every attached attempt that has not ended.
func (a *Agent) sendHeartbeats(now proto.Instant) {
	a.nextHeartbeat = proto.Never
	for _, j := range a.sortedJobs() {
		if j.ended || !j.attached() {
			continue
		}
		a.Send(j.router, proto.Heartbeat{Stamp: a.stamp, Attempt: j.attempt, LastSeq: j.currentSeq, Report: a.report(j.dispatch.Blocks)})
		a.nextHeartbeat = now.Add(heartbeatInterval)
	}
}

// report returns the load of the endpoint and how many of the blocks it has cached.
func (a *Agent) report(blocks []proto.BlockHash) proto.Report {
	return proto.Report{
		Endpoint:      a.cfg.Endpoint,
		Incarnation:   a.engine.incarnation,
		AgentInstance: a.cfg.Incarnation,
		QueuedTokens:  a.queue.Tokens() + a.prefillTokens(),
		Running:       a.running,
		Queued:        a.queue.Len(),
		MatchedBlocks: a.index.Lookup(a.engine.incarnation, blocks),
		Leaving:       a.draining || a.leaving,
		Down:          !a.engine.up,
		Versions:      a.engine.versions,
	}
}
