package shell

import (
	"errors"

	"github.com/kumquatsill/kumquatsill/app/driver"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// Agent runs an agent's machine over the network.
type Agent struct {
	driver  *driver.Driver
	engine  *EngineClient
	inbound *Inbound
	metrics *Metrics
}

// NewAgent returns an agent shell that is not yet running.
func NewAgent(endpoint proto.EndpointID, m proto.Machine, client *Client, engineAddr string, metrics *Metrics) *Agent {
	a := &Agent{metrics: metrics}
	a.driver = driver.New(m, a.deliver)
	a.inbound = NewInbound(proto.AgentAddr(endpoint), metrics, a.driver.Step)
	a.engine = NewEngineClient(client, engineAddr, endpoint, metrics, a.driver.Step)
	return a
}

// Start starts the machine and the connection to the engine.
func (a *Agent) Start() {
	a.driver.Start()
	a.engine.Start()
}

// Stop ends both.
func (a *Agent) Stop() error {
	err := a.driver.Stop()
	return errors.Join(err, a.engine.Stop())
}

// Inbound returns the handler for envelopes of routers.
func (a *Agent) Inbound() *Inbound { return a.inbound }

// Do runs f in the machine's goroutine.
func (a *Agent) Do(f func(now proto.Instant)) bool { return a.driver.Do(f) }

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
