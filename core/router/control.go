// Package router implements a router as a state machine without I/O. It
// consists of a control state machine, which reads the log and exchanges
// heartbeats with other routers, and one exchange per request.
package router

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/kumquatsill/kumquatsill/core/check"
	"github.com/kumquatsill/kumquatsill/core/configlog"
	"github.com/kumquatsill/kumquatsill/core/exchange"
	"github.com/kumquatsill/kumquatsill/core/intent"
	"github.com/kumquatsill/kumquatsill/core/ledger"
	"github.com/kumquatsill/kumquatsill/core/limit"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/core/rollout"
	"github.com/kumquatsill/kumquatsill/core/route"
	"github.com/kumquatsill/kumquatsill/core/suspect"
	"github.com/zeebo/errs"
)

const (
	// housekeepingInterval is the period of the checks of freshness,
	// registrations and unanswered submissions.
	housekeepingInterval = 250 * time.Millisecond
	// submissionTimeout is the longest time that an operator's submission waits
	// for the log.
	submissionTimeout = 10 * time.Second
	// registerRetryInterval is the minimum time between two attempts to
	// register.
	registerRetryInterval = 2 * time.Second
	// routerSilenceTimeout is the time without a heartbeat after which a
	// router is deregistered. minRemoveInterval is the minimum time between
	// two searches for such routers.
	routerSilenceTimeout = time.Minute
	minRemoveInterval    = 5 * time.Second
	// DefaultRetention and DefaultRetainedRecords are the default lower bounds
	// on what the log retains.
	DefaultRetention       = time.Hour
	DefaultRetainedRecords = 100_000
)

// Error is the class of all errors of this package.
var Error = errs.Class("router")

// Config describes a router.
type Config struct {
	ID     proto.RouterID
	Domain proto.Domain
	// Addr is the "ip:port" at which other routers reach this one.
	Addr string
	// Incarnation identifies this run of the process. It must change with
	// every restart.
	Incarnation proto.Incarnation
	Seed        uint64
	Checks      *check.Monitor
	// Retention and RetainedRecords are lower bounds on what the log retains;
	// zero means the default.
	Retention       time.Duration
	RetainedRecords proto.Offset
	// Placement, if set, replaces the default placement policy, so that
	// policies can be compared.
	Placement route.Placer
	// WrapLimiter, if set, wraps the router's limiter, so that its calls can be
	// observed.
	WrapLimiter func(limit.Limiter) limit.Limiter
}

// Control is the control state machine of a router. It applies the config
// stream of the log, exchanges heartbeats with other routers, holds leases and
// publishes the snapshot that requests are decided on. It is the only writer of
// that snapshot, which exchanges read concurrently.
type Control struct {
	proto.Outbox
	cfg   Config
	rng   *rand.Rand
	log   *ledger.Client
	state *configlog.State
	// appliedState is the config state that was last passed to the components
	// of the router.
	appliedState *configlog.Snapshot
	// addrs holds the addresses of the routers in appliedState. The map is
	// part of the published snapshot, so it is replaced and never modified.
	addrs       map[proto.RouterID]string
	fresh       *freshness
	peers       *peers
	submissions map[proto.RecordID]*submission

	deps     *exchange.Deps
	snapshot atomic.Pointer[exchange.Snapshot]
	// ready is set once every record up to the head of the config stream has
	// been applied.
	ready    bool
	draining bool
	// leaving is set once a draining router has started to release its leases
	// and its registration.
	leaving bool

	checkpointer    *configlog.Checkpointer
	leases          *leases
	limits          *limits
	intents         *intent.Table
	suspectRegister *suspect.Register
	rollout         *rollout.Planner
	suspects        *suspect.Table
	// suspectsChanged is set if the suspects have changed since the last
	// snapshot was published.
	suspectsChanged bool
	audit           auditWriter
	// recentRequests holds the last requests that ended here, for operators'
	// queries.
	recentRequests *recentRequests
	// searches are the running searches of the audit stream.
	searches searches
	// now is the time of the last input.
	now            proto.Instant
	housekeepingAt proto.Instant
	registerAt     proto.Instant
	removeAt       proto.Instant
	stats          Stats
}

// Stats counts events of the control state machine.
type Stats struct {
	Checkpoints, CheckpointErrors, AppendErrors, BadReplies, AuditErrors int64
}
