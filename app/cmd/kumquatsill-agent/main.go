// Command kumquatsill-agent runs the agent of one endpoint, a model engine or a plain
// service.
package main

import (
	"os"

	"github.com/kumquatsill/kumquatsill/app/node"
	"github.com/kumquatsill/kumquatsill/app/settings"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

const longDescription = `Run the agent of one endpoint, a model engine or a plain service.

Examples:
  kumquatsill-agent --endpoint e1 --engine-addr 127.0.0.1:9000 --listen 10.0.1.1:8090
  KUMQUATSILL_ENDPOINT=e1 KUMQUATSILL_ENGINE_ADDR=127.0.0.1:9000 kumquatsill-agent

Exit codes: 0 after a drain, 1 on a failure, 2 on bad settings.`

type agentFlags struct {
	Endpoint     string       `long:"endpoint" env:"KUMQUATSILL_ENDPOINT" description:"name of the endpoint in the release note"`
	Listen       string       `long:"listen" env:"KUMQUATSILL_AGENT_LISTEN" default:"127.0.0.1:8090" description:"ip:port for routers, operators and metrics"`
	EngineAddr   string       `long:"engine-addr" env:"KUMQUATSILL_ENGINE_ADDR" description:"ip:port of the engine or plain service"`
	ChecksFence  bool         `long:"checks-fence" env:"KUMQUATSILL_CHECKS_FENCE" description:"the engine itself refuses orders with an old fencing number"`
	DrainGrace   string       `long:"drain-grace" env:"KUMQUATSILL_DRAIN_GRACE" default:"1s" description:"time without new work after which a drained agent stops listening; it refuses what arrives before"`
	DrainTimeout string       `long:"drain-timeout" env:"KUMQUATSILL_DRAIN_TIMEOUT" default:"15m" description:"longest wait for work in flight after SIGTERM"`
	InternalTLS  settings.TLS `group:"Mutual TLS between own processes" namespace:"internal-tls" env-namespace:"KUMQUATSILL_INTERNAL_TLS"`
	EngineTLS    settings.TLS `group:"TLS to the engine" namespace:"engine-tls" env-namespace:"KUMQUATSILL_ENGINE_TLS"`
}

func (f *agentFlags) execute(args []string) error {
	var c settings.Checker
	c.NoArgs(args)
	c.Name("endpoint", f.Endpoint)
	c.Listen("listen", f.Listen)
	c.Address("engine-addr", f.EngineAddr)
	c.MutualTLS("internal-tls", f.InternalTLS)
	c.TLS("engine-tls", f.EngineTLS)
	cfg := node.AgentConfig{
		Endpoint:     proto.EndpointID(f.Endpoint),
		EngineAddr:   f.EngineAddr,
		EngineClient: f.EngineTLS.Files(),
		DrainGrace:   c.Duration("drain-grace", f.DrainGrace),
		DrainTimeout: c.Duration("drain-timeout", f.DrainTimeout),
		Log:          settings.Logger(os.Stderr),
	}
	if err := c.Err(); err != nil {
		return err
	}
	var err error
	if cfg.Internal, err = node.Listen(f.Listen, f.InternalTLS.Files()); err != nil {
		return err
	}
	cfg.InitMachine(f.ChecksFence)
	a, err := node.NewAgent(cfg)
	if err != nil {
		return err
	}
	return settings.RunUntilSignal(a)
}

func main() {
	var f agentFlags
	os.Exit(settings.RunSingleCommand("kumquatsill-agent", longDescription, &f, f.execute, os.Args[1:], os.Stdout, os.Stderr))
}
