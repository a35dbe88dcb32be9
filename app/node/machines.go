package node

import (
	"encoding/hex"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"
	"github.com/kumquatsill/kumquatsill/core/agent"
	"github.com/kumquatsill/kumquatsill/core/check"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/core/router"
)

// newIncarnation returns a unique identifier of one run of a process.
func newIncarnation(name string) proto.Incarnation {
	id := uuid.New()
	return proto.Incarnation(name + "-" + hex.EncodeToString(id[:6]))
}

// routerState is the content of /debug/state of a router.
type routerState struct {
	ID           proto.RouterID `json:"id"`
	Revision     proto.Revision `json:"revision"`
	ConfigOffset proto.Offset   `json:"config_offset"`
	Ready        bool           `json:"ready"`
	Funded       bool           `json:"funded"`
	Draining     bool           `json:"draining"`
	InFlight     int            `json:"in_flight"`
	Accounts     int            `json:"accounts"`
	Endpoints    int            `json:"endpoints"`
	Quarantined  int            `json:"quarantined"`
	Exchanges    exchangeState  `json:"exchanges"`
}

type exchangeState struct {
	Late         int64 `json:"late"`
	Misdelivered int64 `json:"misdelivered"`
	Repeated     int64 `json:"repeated"`
	Gaps         int64 `json:"gaps"`
	Retries      int64 `json:"retries"`
	Reattached   int64 `json:"reattached"`
	Silent       int64 `json:"silent"`
}

// LogRetention is a lower bound on what the log service retains. Zero fields
// select the defaults of the state machine.
type LogRetention struct {
	MinAge  time.Duration
	Records int64
}

// InitMachine creates a router machine and sets the fields that depend on it. The
// name is kept across restarts; the router's ID is new at each.
func (cfg *RouterConfig) InitMachine(name string, domain proto.Domain, log LogRetention) {
	incarnation := newIncarnation(name)
	cfg.ID = proto.RouterID(incarnation)
	cfg.Checks = &check.Monitor{}
	cfg.Control = router.NewControl(router.Config{
		ID: cfg.ID, Domain: domain, Addr: cfg.Internal.Addr().String(),
		Incarnation: incarnation, Seed: rand.Uint64(), Checks: cfg.Checks,
		Retention: log.MinAge, RetainedRecords: proto.Offset(log.Records),
	})
}

func newRouterState(id proto.RouterID, c *router.Control, inFlight int) routerState {
	s := c.Snapshot()
	stats := c.Deps().Stats
	return routerState{
		ID: id, Revision: s.Stamp.Revision, ConfigOffset: s.Stamp.ConfigOffset,
		Ready: s.Ready, Funded: s.Funded, Draining: s.Draining, InFlight: inFlight,
		Accounts: len(s.Config.Accounts), Endpoints: len(s.Config.Endpoints), Quarantined: len(s.Quarantined),
		Exchanges: exchangeState{
			Late: stats.Late.Load(), Misdelivered: stats.Misdelivered.Load(), Repeated: stats.Repeated.Load(),
			Gaps: stats.Gaps.Load(), Retries: stats.Retries.Load(), Reattached: stats.Reattached.Load(),
			Silent: stats.Silent.Load(),
		},
	}
}

// InitMachine creates an agent machine and sets the fields that depend on it.
func (cfg *AgentConfig) InitMachine(checksFence bool) {
	cfg.Checks = &check.Monitor{}
	m := agent.New(agent.Config{
		Endpoint: cfg.Endpoint, Incarnation: newIncarnation(string(cfg.Endpoint)),
		Seed: rand.Uint64(), ChecksFence: checksFence, Checks: cfg.Checks,
	})
	cfg.Machine = m
	cfg.StartDrain = func(proto.Instant) { m.Drain() }
	cfg.Drained = m.Drained
	cfg.State = func() any { return m.Stats() }
}
