package transport

import (
	"errors"
	"sync/atomic"
	"time"

	"github.com/kumquatsill/kumquatsill/app/driver"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// Agent runs an agent's machine and connects it to routers and to the engine.
type Agent struct {
	driver  *driver.Driver
	engine  *EngineClient
	inbound *Inbound
	metrics *Metrics
	// lastDispatch is the arrival time of the last Dispatch, nil before the first.
	lastDispatch atomic.Pointer[time.Time]
}

// NewAgent returns an agent that Start starts.
func NewAgent(endpoint proto.EndpointID, m proto.Machine, client *Client, engineAddr string, metrics *Metrics) *Agent {
	a := &Agent{metrics: metrics}
	a.driver = driver.New(m, a.deliver)
	a.inbound = NewInbound(proto.AgentAddr(endpoint), metrics, a.receive)
	a.engine = NewEngineClient(client, engineAddr, endpoint, metrics, a.driver.Step)
	return a
}

// Start starts the machine and the connection to the engine.
func (a *Agent) Start() {
	a.driver.Start()
	a.engine.Start()
}

// Stop stops the machine and the connection to the engine.
func (a *Agent) Stop() error {
	err := a.driver.Stop()
	return errors.Join(err, a.engine.Stop())
}

// Inbound returns the handler for envelopes from routers.
func (a *Agent) Inbound() *Inbound { return a.inbound }

// receive passes a router's message on to the machine.
func (a *Agent) receive(env proto.Envelope) bool {
	if _, ok := env.Msg.(proto.Dispatch); ok {
		now := time.Now()
		a.lastDispatch.Store(&now)
	}
	return a.driver.Step(env)
}

// LastDispatch returns the arrival time of the last Dispatch, or the zero time if
// none has arrived.
func (a *Agent) LastDispatch() time.Time {
	if at := a.lastDispatch.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// Do runs f in the machine's goroutine.
func (a *Agent) Do(f func(now proto.Instant)) bool { return a.driver.Do(f) }

// deliver sends a message of the machine to its receiver.
func (a *Agent) deliver(env proto.Envelope) {
	switch env.To.Role {
	case proto.RoleEngine:
		a.engine.Send(env)
	case proto.RoleRouter:
		if !a.inbound.Deliver(env) {
			a.metrics.Undeliverable.Inc()
		}
	default:
		a.metrics.Undeliverable.Inc()
	}
}
