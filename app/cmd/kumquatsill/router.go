package main

import (
	"os"

	"github.com/kumquatsill/kumquatsill/app/api"
	"github.com/kumquatsill/kumquatsill/app/node"
	"github.com/kumquatsill/kumquatsill/app/settings"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

type routerFlags struct {
	Name     string `long:"name" env:"KUMQUATSILL_NAME" description:"name of this router, the same over restarts"`
	Domain   string `long:"domain" env:"KUMQUATSILL_DOMAIN" description:"failure domain of this host"`
	Listen   string `long:"listen" env:"KUMQUATSILL_LISTEN" default:"127.0.0.1:8080" description:"ip:port for callers"`
	Internal string `long:"internal-listen" env:"KUMQUATSILL_INTERNAL_LISTEN" default:"127.0.0.1:8081" description:"ip:port for other routers, operators and metrics"`
	LogAddr  string `long:"log-addr" env:"KUMQUATSILL_LOG_ADDR" description:"ip:port of the log service"`

	Retention string `long:"log-retention" env:"KUMQUATSILL_LOG_RETENTION" default:"1h" description:"least time that the log service keeps a record"`
	Records   string `long:"log-records" env:"KUMQUATSILL_LOG_RECORDS" default:"100000" description:"least number of records that the log service keeps of a stream"`

	MemoryLimit   string `long:"memory-limit" env:"KUMQUATSILL_MEMORY_LIMIT" default:"0" description:"memory limit of the process in bytes, or 0 for that of its control group"`
	MaxBody       string `long:"max-body" env:"KUMQUATSILL_MAX_BODY" default:"8388608" description:"greatest size of a request body, in bytes"`
	MaxAnswer     string `long:"max-answer" env:"KUMQUATSILL_MAX_ANSWER" default:"16777216" description:"greatest size of an answer or stream, in bytes"`
	MaxInFlight   string `long:"max-in-flight" env:"KUMQUATSILL_MAX_IN_FLIGHT" default:"4096" description:"greatest number of requests at once"`
	BodyTimeout   string `long:"body-timeout" env:"KUMQUATSILL_BODY_TIMEOUT" default:"30s" description:"time for a request body to arrive"`
	HeaderTimeout string `long:"header-timeout" env:"KUMQUATSILL_HEADER_TIMEOUT" default:"10s" description:"time for request headers to arrive"`
	WriteTimeout  string `long:"write-timeout" env:"KUMQUATSILL_WRITE_TIMEOUT" default:"20s" description:"time for a caller to take what is written"`
	Timeout       string `long:"timeout" env:"KUMQUATSILL_TIMEOUT" default:"2m" description:"deadline of requests that name none"`
	MaxTimeout    string `long:"max-timeout" env:"KUMQUATSILL_MAX_TIMEOUT" default:"15m" description:"greatest deadline that a caller may name"`

	DrainGrace   string `long:"drain-grace" env:"KUMQUATSILL_DRAIN_GRACE" default:"5s" description:"time after SIGTERM in which new requests are still served"`
	DrainTimeout string `long:"drain-timeout" env:"KUMQUATSILL_DRAIN_TIMEOUT" default:"15m" description:"longest wait for requests in flight after SIGTERM"`

	TLS         settings.TLS `group:"TLS for callers" namespace:"tls" env-namespace:"KUMQUATSILL_TLS"`
	InternalTLS settings.TLS `group:"Mutual TLS between own processes" namespace:"internal-tls" env-namespace:"KUMQUATSILL_INTERNAL_TLS"`
	LogTLS      settings.TLS `group:"TLS to the log service" namespace:"log-tls" env-namespace:"KUMQUATSILL_LOG_TLS"`
}

func routerCommand() settings.Command {
	return settings.Command{
		Name:  "router",
		Short: "Run a router",
		Long: `Run a router on an entry host. It keeps nothing on disk and can be replaced at any time.

Examples:
  kumquatsill router --name r1 --domain zone-a --log-addr 10.0.0.9:7000 --listen 10.0.0.1:8080 --internal-listen 10.0.0.1:8081
  KUMQUATSILL_NAME=r1 KUMQUATSILL_DOMAIN=zone-a KUMQUATSILL_LOG_ADDR=10.0.0.9:7000 kumquatsill router

Exit codes: 0 after a drain, 1 on a failure, 2 on bad settings.`,
		Data: &routerFlags{},
	}
}

// Execute implements flags.Commander.
func (f *routerFlags) Execute(args []string) error {
	cfg, retention, err := f.config(args)
	if err != nil {
		return err
	}
	cfg.Limits.Memory = applyMemoryLimit(cfg.Limits.Memory)
	if cfg.Callers, err = node.Listen(f.Listen, f.TLS.Files()); err != nil {
		return err
	}
	if cfg.Internal, err = node.Listen(f.Internal, f.InternalTLS.Files()); err != nil {
		return err
	}
	cfg.InitMachine(f.Name, proto.Domain(f.Domain), retention)
	r, err := node.NewRouter(*cfg)
	if err != nil {
		return err
	}
	return settings.RunUntilSignal(r)
}

func (f *routerFlags) config(args []string) (*node.RouterConfig, node.LogRetention, error) {
	var c settings.Checker
	c.NoArgs(args)
	c.Name("name", f.Name)
	c.Name("domain", f.Domain)
	c.Listen("listen", f.Listen)
	c.Listen("internal-listen", f.Internal)
	c.Address("log-addr", f.LogAddr)
	c.TLS("tls", f.TLS)
	c.MutualTLS("internal-tls", f.InternalTLS)
	c.TLS("log-tls", f.LogTLS)
	limits := api.DefaultLimits()
	limits.Memory = c.NotNegative("memory-limit", f.MemoryLimit)
	limits.Log = settings.Logger(os.Stderr)
	limits.Body = c.Positive("max-body", f.MaxBody)
	limits.Response = int(c.Positive("max-answer", f.MaxAnswer))
	limits.ConcurrentRequests = c.Positive("max-in-flight", f.MaxInFlight)
	limits.BodyTimeout = c.Duration("body-timeout", f.BodyTimeout)
	limits.HeaderTimeout = c.Duration("header-timeout", f.HeaderTimeout)
	limits.WriteTimeout = c.Duration("write-timeout", f.WriteTimeout)
	limits.Timeout = c.Duration("timeout", f.Timeout)
	limits.MaxTimeout = c.Duration("max-timeout", f.MaxTimeout)
	retention := node.LogRetention{
		MinAge:  c.Duration("log-retention", f.Retention),
		Records: c.Positive("log-records", f.Records),
	}
	return &node.RouterConfig{
		LogAddr:      f.LogAddr,
		Client:       f.InternalTLS.Files(),
		LogClient:    f.LogTLS.Files(),
		Limits:       limits,
		DrainGrace:   c.Duration("drain-grace", f.DrainGrace),
		DrainTimeout: c.Duration("drain-timeout", f.DrainTimeout),
		Log:          settings.Logger(os.Stderr),
	}, retention, c.Err()
}
