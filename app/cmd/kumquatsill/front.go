package main

import (
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/kumquatsill/kumquatsill/app/front"
	"github.com/kumquatsill/kumquatsill/app/settings"
	"github.com/kumquatsill/kumquatsill/platform"
)

const (
	// logFlushTimeout limits the wait for buffered log lines at exit, as does the share
	// of the grace period that logFlushShare divides it into.
	logFlushTimeout = 300 * time.Millisecond
	logFlushShare   = 16
	// domainCostAdaptive and domainCostConstant are the values of --domain-cost.
	domainCostAdaptive = "adaptive"
	domainCostConstant = "constant"
)

type frontFlags struct {
	Settings    string `long:"settings" env:"KUMQUATSILL_BOOT" description:"path of the platform's settings file"`
	MetricsPort uint16 `long:"metrics-port" env:"KUMQUATSILL_METRICS_PORT" description:"port of this host at which metrics are served, beside the address for readiness checks"`
	DomainCost  string `long:"domain-cost" env:"KUMQUATSILL_DOMAIN_COST" default:"adaptive" description:"cost of sending work to other failure domains: adaptive follows the loads that endpoints report, constant does not"`
	LogLevel    string `long:"log-level" env:"KUMQUATSILL_LOG_LEVEL" default:"info" description:"least level of log lines: debug, info, warn or error"`
}

func frontCommand() settings.Command {
	return settings.Command{
		Name:  "front",
		Short: "Run a router on the hosting platform",
		Long: `Run a router on an entry host of the hosting platform. It reads its settings from the
platform's file, its configuration and endpoints from the platform's store, and keeps nothing.
SIGTERM drains it, SIGHUP reads the settings file again.

Examples:
  KUMQUATSILL_BOOT=/etc/kumquatsill/boot.json kumquatsill front
  kumquatsill front --settings boot.json --log-level warn

Exit codes: 0 after a drain, 1 on a failure, 2 on bad settings.`,
		Data: &frontFlags{},
	}
}

// Execute implements flags.Commander.
func (f *frontFlags) Execute(args []string) error {
	var c settings.Checker
	c.NoArgs(args)
	if f.DomainCost != domainCostAdaptive && f.DomainCost != domainCostConstant {
		c.Fail("domain-cost", "is %q, must be %s or %s", f.DomainCost, domainCostAdaptive, domainCostConstant)
	}
	if err := c.Err(); err != nil {
		return err
	}
	// A SIGHUP that arrives while the settings are read for the first time waits here.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	s, err := platform.ReadSettings(f.Settings)
	if err != nil {
		return &settings.Error{Problems: []string{err.Error()}}
	}
	memory := applyMemoryLimit(s.MemoryBytes)
	out := front.NewLogWriter(os.Stdout)
	defer out.Close(min(logFlushTimeout, s.GracePeriod/logFlushShare))
	var level slog.Level
	if err := level.UnmarshalText([]byte(f.LogLevel)); err != nil {
		return &settings.Error{Problems: []string{err.Error()}}
	}
	p, err := front.New(front.Config{
		Settings: s, MetricsPort: f.MetricsPort, SettingsPath: f.Settings, ProcessMemory: memory, LogDropped: out.Dropped,
		AdaptDomainCost: f.DomainCost == domainCostAdaptive,
		Log:             slog.New(slog.NewJSONHandler(out, &slog.HandlerOptions{Level: level})),
	})
	if err != nil {
		return err
	}
	go func() {
		for range hangups {
			p.Reload()
		}
	}()
	return settings.RunUntilSignal(p)
}
