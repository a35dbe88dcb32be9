// Package router is the state machine of a whole router: a control machine
// that follows the log and talks to its peers, and one exchange per request.
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
	// housekeepingInterval is the time between two looks at freshness,
	// registrations and unanswered submissions.
	housekeepingInterval = 250 * time.Millisecond
	// submissionTimeout is how long a submission waits for the log.
	submissionTimeout = 10 * time.Second
	// registerRetryInterval is the time between two attempts to register.
	registerRetryInterval = 2 * time.Second
	// routerSilenceTimeout is the silence after which a router is taken off the
	// register, removeInterval the least time between two such looks.
	routerSilenceTimeout = time.Minute
	minRemoveInterval    = 5 * time.Second
	// DefaultRetention and DefaultRetainedRecords are the least that the log
	// is expected to keep.
	DefaultRetention       = time.Hour
	DefaultRetainedRecords = 100_000
)

// Error is the class of all errors of this package.
var Error = errs.Class("router")

// Config identifies a router.
type Config struct {
	ID     proto.RouterID
	Domain proto.Domain
	// Addr is the router's own "ip:port", as its peers reach it.
	Addr string
	// Incarnation is this life of the router; two lives must differ.
	Incarnation proto.Incarnation
	Seed        uint64
	Checks      *check.Monitor
	// Retention and RetainedRecords are the least that the log keeps; zero
	// fields take the defaults.
	Retention       time.Duration
	RetainedRecords proto.Offset
	// Placement replaces the default placement, for comparisons.
	Placement route.Placer
	// WrapLimiter, if set, returns the limiter to use instead of the router's
	// own, for observation.
	WrapLimiter func(limit.Limiter) limit.Limiter
}

// Control is the part of a router that follows the log and the peers. It is
// the only writer of the router's snapshot.
type Control struct {
	proto.Outbox
	cfg   Config
	rng   *rand.Rand
	log   *ledger.Client
	state *configlog.State
	// appliedState is the folded state that the parts were last given.
	appliedState *configlog.Snapshot
	// addrs are the addresses of the routers in applied. It is never changed
	// once it is published.
	addrs       map[proto.RouterID]string
	fresh       *freshness
	peers       *peers
	submissions map[proto.RecordID]*submission

	deps     *exchange.Deps
	snapshot atomic.Pointer[exchange.Snapshot]
	// ready is set once the folded state reached the head of the log.
	ready    bool
	draining bool
	// leaving is set once a draining router has given up what it held.
	leaving bool

	checkpointer    *configlog.Checkpointer
	leases          *leases
	limits          *limits
	intents         *intent.Table
	suspectRegister *suspect.Register
	rollout         *rollout.Planner
	suspects        *suspect.Table
	// suspectsChanged asks for a new snapshot.
	suspectsChanged bool
	audit           auditWriter
	// recentRequests answers operators who ask about one request.
	recentRequests *recentRequests
	// searches look for requests in the audit stream.
	searches searches
	// now is the time of the last input.
	now            proto.Instant
	housekeepingAt proto.Instant
	registerAt     proto.Instant
	removeAt       proto.Instant
	stats          Stats
}

// Stats counts what the control machine did.
type Stats struct {
	Checkpoints, CheckpointErrors, AppendErrors, BadReplies, AuditErrors int64
}
