// Package agent is the process beside one endpoint: it owns the queue in front
// of the engine, the exact index of the engine's prefix cache and the open
// streams, and it is the last check before anything runs.
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
	// idleTick is the time between two looks at the clock of an idle agent.
	idleTick = time.Second
	// pauseLimit is the time without an input that shows a pause. It is the
	// silence after which routers give an attempt up.
	pauseLimit = 3 * time.Second
	// refuseAfterPause covers the reading of what waited during a pause.
	refuseAfterPause = 100 * time.Millisecond
	// detachedFor is how long a stream without a router is kept for a
	// router that asks for the rest.
	detachedFor = 10 * time.Second
	// finishedFor is how long the chunks of a finished stream are kept.
	finishedFor = 10 * time.Second
	// expiryStep is the grid of the expiries of finished jobs, so that many
	// are dropped in one pass.
	expiryStep = 100 * time.Millisecond
	// maxClosed bounds the memory of ended attempts.
	maxClosed = 1 << 14
	// maxIntents bounds the memory of calls that may not be repeated.
	maxIntents = 1 << 17
	// maxStreamBytes bounds the chunks that are kept for one stream.
	maxStreamBytes = 4 << 20
	// defaultBatch is the number of runs at once until the engine states its own.
	defaultBatch = 8
	// queueTimeoutMargin is the time before the deadline at which waiting work
	// is refused, so that the refusal still reaches the router in time.
	queueTimeoutMargin = 50 * time.Millisecond
	endpointRetryAfter = time.Second
)

// Config identifies an agent.
type Config struct {
	Endpoint proto.EndpointID
	// Incarnation is this life of the agent; two lives must differ.
	Incarnation proto.Incarnation
	Seed        uint64
	// ChecksFence is set if the engine itself refuses old fencing numbers.
	ChecksFence bool
	Checks      *check.Monitor
}

// Stats counts what an agent saw.
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
	gate   gate

	// jobs holds queued, running and recently finished work by the attempt
	// that is attached now.
	jobs map[proto.AttemptID]*job
	// streams finds the job of a stream for a router that resumes it.
	streams map[streamKey]*job
	// runs finds the job of an engine run.
	runs    map[proto.AttemptID]*job
	closed  *recent[proto.AttemptID]
	intents *recent[intentID]
	started *recent[intentID]
	running int
	// draining is set by a shutdown, leaving by a release note as of leavingAt.
	draining  bool
	leaving   bool
	leavingAt proto.Offset
	beatAt    proto.Instant
	// seenAt is the time of the last input, refuseUntil the end of the time
	// after a pause in which dispatches are refused.
	seenAt      proto.Instant
	refuseUntil proto.Instant
	// expireAt is no later than the first expiry of a job. The jobs are not
	// searched for it: thousands are kept for finishedFor.
	expireAt proto.Instant
}

// intentID names an intent by its place in the log.
type intentID struct {
	stream string
	offset proto.Offset
}

// New returns an agent that waits for its engine.
func New(cfg Config) *Agent {
	return &Agent{
		Outbox:  proto.NewOutbox(proto.AgentAddr(cfg.Endpoint)),
		cfg:     cfg,
		index:   prefix.New(""),
		queue:   queue.New(queue.Config{}),
		jobs:    map[proto.AttemptID]*job{},
		streams: map[streamKey]*job{},
		runs:    map[proto.AttemptID]*job{},
		closed:  newRecent[proto.AttemptID](maxClosed),
		intents: newRecent[intentID](maxIntents),
		started: newRecent[intentID](maxIntents),
		beatAt:  proto.Never,

		expireAt: proto.Never,
	}
}

// Stats returns the counters.
func (a *Agent) Stats() Stats { return a.stats }

// QueuedTokens returns the prompt work that waits at the agent, in tokens.
func (a *Agent) QueuedTokens() int64 { return a.queue.Tokens() }

// Drain makes the agent refuse new work; what it has accepted goes on.
func (a *Agent) Drain() { a.draining = true }

// Drained reports whether no accepted work is left.
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
	a.noticePause(now)
	if in.From.Role == proto.RoleEngine {
		a.stepEngine(now, in.Msg)
	} else {
		a.stepRouter(now, in.From, in.Msg)
	}
	a.passOrders(now)
	a.schedule(now)
}

func (a *Agent) stepRouter(now proto.Instant, from proto.Addr, msg proto.Message) {
	switch m := msg.(type) {
	case proto.Dispatch:
		a.learn(m.Stamp)
		a.onDispatch(now, from, m)
	case proto.Cancel:
		a.learn(m.Stamp)
		a.onCancel(m.Attempt)
	case proto.Probe:
		a.learn(m.Stamp)
		a.Send(from, proto.ProbeReply{Stamp: a.stamp, Request: m.Request, Report: a.report(m.Blocks)})
	case proto.EndpointLeaving:
		a.learn(m.Stamp)
		a.onLeaving(m)
	case proto.Order:
		a.learn(m.Stamp)
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

// noticePause finds out that the process was suspended. What waits for it then
// was sent long ago: its routers have given it up, and the endpoint may be
// leaving since.
func (a *Agent) noticePause(now proto.Instant) {
	if a.seenAt != 0 && now.Sub(a.seenAt) > pauseLimit {
		a.refuseUntil = now.Add(refuseAfterPause)
	}
	a.seenAt = now
}

// learn keeps the highest stamp, so that routers that are behind find out
// from any agent.
func (a *Agent) learn(s proto.Stamp) {
	if s.ConfigOffset > a.stamp.ConfigOffset {
		a.stamp = s
	}
}

// onLeaving follows the newest release note that a router tells about.
func (a *Agent) onLeaving(m proto.EndpointLeaving) {
	if m.Stamp.ConfigOffset < a.leavingAt {
		return
	}
	a.leavingAt = m.Stamp.ConfigOffset
	a.leaving = m.Leaving
}

// Tick implements proto.Machine.
func (a *Agent) Tick(now proto.Instant) {
	a.noticePause(now)
	a.expire(now)
	if now >= a.beatAt {
		a.beat(now)
	}
	a.resyncIndex(now)
	a.passOrders(now)
	a.schedule(now)
}

// Wake implements proto.Machine.
func (a *Agent) Wake() proto.Instant {
	wake := min(a.beatAt, a.queue.Wake(), a.expireAt, a.seenAt.Add(idleTick))
	for _, p := range a.gate.pending {
		if p.sent {
			wake = min(wake, p.until.Add(orderLife))
		} else {
			wake = min(wake, p.until)
		}
	}
	if a.index.NeedsList() && a.engine.up {
		wake = min(wake, a.engine.listAt)
	}
	return wake
}

// beat sends a heartbeat on every attached attempt that is not over.
func (a *Agent) beat(now proto.Instant) {
	a.beatAt = proto.Never
	for _, j := range a.sortedJobs() {
		if j.ended || !j.attached() {
			continue
		}
		a.Send(j.router, proto.Heartbeat{Stamp: a.stamp, Attempt: j.attempt, LastSeq: j.last, Report: a.report(j.dispatch.Blocks)})
		a.beatAt = now.Add(heartbeatInterval)
	}
}

// report says how busy the endpoint is and how many of the blocks it holds.
func (a *Agent) report(blocks []proto.BlockHash) proto.Report {
	return proto.Report{
		Endpoint:      a.cfg.Endpoint,
		Incarnation:   a.engine.incarnation,
		AgentInstance: a.cfg.Incarnation,
		QueuedTokens:  a.queue.Tokens() + a.prefilling(),
		Running:       a.running,
		Queued:        a.queue.Len(),
		MatchedBlocks: a.index.Lookup(a.engine.incarnation, blocks),
		Leaving:       a.draining || a.leaving,
		Down:          !a.engine.up,
		Versions:      a.engine.versions,
	}
}
