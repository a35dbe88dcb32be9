package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"

	"github.com/kumquatsill/kumquatsill/app/load"
	"github.com/kumquatsill/kumquatsill/app/settings"
	"github.com/kumquatsill/kumquatsill/app/transport"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/proof/workload"
)

func loadCommand(s streams) settings.Command {
	return settings.Command{
		Name: "load", Short: "Replay a deployment's workload and report the measures", Data: &loadFlags{printer: printer{streams: s}},
		Long: `Replay the workload of a deployment as its callers, over HTTP, and report the five measures as far as callers see them. The fleet needs the accounts, model and routes of "note example", and a key for each account. Ctrl-C ends the run with a report of what was done.

Examples:
  kumquatsill load --deployment karoo --key-file keys.txt --router 10.0.0.1:8080 --router 10.0.0.2:8080
  kumquatsill load --deployment pompas --key-file keys.txt --flood casa-recargas --html report.html --json` + exitCodes,
	}
}

type loadFlags struct {
	Deployment    string       `long:"deployment" description:"workload to replay, pompas or karoo; required"`
	Routers       []string     `long:"router" env:"KUMQUATSILL_LOAD_ROUTER" env-delim:"," default:"127.0.0.1:8080" value-name:"IP:PORT" description:"callers' listener of a router; several are used in turn"`
	Keys          []string     `long:"key" value-name:"ACCOUNT=KEY" description:"key of an account; other users of the host can see it, so prefer --key-file"`
	KeyFile       string       `long:"key-file" value-name:"FILE" description:"file with one ACCOUNT=KEY a line; empty lines and lines that begin with # are skipped"`
	Seed          string       `long:"seed" default:"1" description:"seed of the workload"`
	Duration      string       `long:"duration" default:"1m" description:"length of the workload"`
	TimeLimit     string       `long:"time-limit" default:"10m" description:"longest time of the whole run; what is in flight then is cut"`
	MaxRequests   string       `long:"max-requests" default:"100000" description:"greatest number of requests"`
	Rate          string       `long:"rate" description:"requests per second in total; the deployment's own if missing"`
	Concurrency   string       `long:"concurrency" default:"256" description:"greatest number of requests in flight; further ones wait and are sent late"`
	Flood         string       `long:"flood" value-name:"ACCOUNT" description:"account that sends above its rate"`
	FloodFactor   string       `long:"flood-factor" default:"5" description:"what it sends, as a multiple of its rate in the example note"`
	ShiftEvery    string       `long:"shift-every" default:"0s" description:"time after which other prefixes become hot; 0 for never"`
	ExampleLimits bool         `long:"example-limits" description:"the accounts have the rates and bursts of the example note, by which to judge refusals"`
	HTML          string       `long:"html" value-name:"FILE" description:"also write the report with plots to this HTML page"`
	TLS           settings.TLS `group:"TLS to routers" namespace:"tls" env-namespace:"KUMQUATSILL_LOAD_TLS"`
	printer
}

// Execute implements flags.Commander.
func (f *loadFlags) Execute(args []string) error {
	cfg, err := f.config(args)
	if err != nil {
		return err
	}
	if cfg.TLS, err = transport.ClientTLS(f.TLS.Files()); err != nil {
		return err
	}
	scheme := "http"
	if cfg.TLS != nil {
		scheme = "https"
	}
	cfg.Progress = f.err
	for _, addr := range f.Routers {
		cfg.Routers = append(cfg.Routers, scheme+"://"+addr)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	rep := load.Run(ctx, cfg)
	// A second signal ends the program at once.
	stop()
	if err := f.show(rep, func(w io.Writer) { showLoadReport(w, rep) }); err != nil {
		return err
	}
	if err := f.writeHTML(rep); err != nil {
		return err
	}
	switch {
	case rep.Unreachable():
		return settings.ExitErrorf(settings.ExitUnreachable, "no router answered")
	case rep.AllRefused():
		return settings.ExitErrorf(settings.ExitRefused, "the routers refused all requests")
	}
	return nil
}

func (f *loadFlags) config(args []string) (load.Config, error) {
	var c settings.Checker
	c.NoArgs(args)
	cfg := load.Config{
		Seed:          uint64(c.Positive("seed", f.Seed)),
		Duration:      c.Duration("duration", f.Duration),
		TimeLimit:     c.Duration("time-limit", f.TimeLimit),
		MaxRequests:   int(c.Positive("max-requests", f.MaxRequests)),
		Concurrency:   int(c.Positive("concurrency", f.Concurrency)),
		Flood:         proto.AccountID(f.Flood),
		FloodFactor:   parseRate(&c, "flood-factor", f.FloodFactor),
		ShiftEvery:    c.Duration("shift-every", f.ShiftEvery),
		ExampleLimits: f.ExampleLimits,
	}
	for _, addr := range f.Routers {
		c.Address("router", addr)
	}
	c.TLS("tls", f.TLS)
	if cfg.Duration == 0 {
		c.Fail("duration", "must be above 0")
	}
	if cfg.TimeLimit == 0 {
		c.Fail("time-limit", "must be above 0")
	}
	if info, err := os.Stat(filepath.Dir(f.HTML)); f.HTML != "" && (err != nil || !info.IsDir()) {
		c.Fail("html", "is %q, whose directory cannot be found", f.HTML)
	}
	cfg.Keys = f.keys(&c)
	f.setDeployment(&c, &cfg)
	return cfg, c.Err()
}

func parseRate(c *settings.Checker, flag, value string) float64 {
	v, err := strconv.ParseFloat(value, 64)
	if err != nil || !load.ValidRate(v) {
		c.Fail(flag, "is %q, must be a number above 0", value)
	}
	return v
}

// setDeployment sets the workload and its rate. It checks that each account has
// a key, and that the flooding account and the accounts of keys exist.
func (f *loadFlags) setDeployment(c *settings.Checker, cfg *load.Config) {
	var names []string
	for _, d := range workload.Deployments() {
		names = append(names, d.Name)
		if d.Name == f.Deployment {
			cfg.Deployment = d
		}
	}
	cfg.Rate = cfg.Deployment.Traffic.Rate
	if f.Rate != "" {
		cfg.Rate = parseRate(c, "rate", f.Rate)
	}
	if cfg.Deployment.Name == "" {
		c.Fail("deployment", "is %q, must be one of %v", f.Deployment, names)
		return
	}
	var accounts []proto.AccountID
	for _, a := range cfg.Deployment.Accounts {
		accounts = append(accounts, a.ID)
		if cfg.Keys[a.ID] == "" {
			c.Fail("key", "of account %s is missing", a.ID)
		}
	}
	if cfg.Flood != "" && !slices.Contains(accounts, cfg.Flood) {
		c.Fail("flood", "is %q, must be one of %v", f.Flood, accounts)
	}
	for account := range cfg.Keys {
		if !slices.Contains(accounts, account) {
			c.Fail("key", "is for %q, must be for one of %v", account, accounts)
		}
	}
}

// keys reads the keys of the accounts. Problems give the position of an entry,
// never its text, which may be a key.
func (f *loadFlags) keys(c *settings.Checker) map[proto.AccountID]string {
	keys := map[proto.AccountID]string{}
	add := func(flag, place, entry string) {
		account, key, ok := strings.Cut(entry, "=")
		switch {
		case !ok || account == "" || key == "":
			c.Fail(flag, "%s must be ACCOUNT=KEY", place)
		case strings.ContainsFunc(key, func(r rune) bool { return r <= ' ' || r > '~' }):
			c.Fail(flag, "%s must have a key of visible ASCII characters", place)
		case keys[proto.AccountID(account)] != "":
			c.Fail(flag, "%s is a second key of %q", place, account)
		default:
			keys[proto.AccountID(account)] = key
		}
	}
	for i, entry := range f.Keys {
		add("key", fmt.Sprintf("number %d", i+1), entry)
	}
	if f.KeyFile == "" {
		return keys
	}
	data, err := os.ReadFile(f.KeyFile)
	if err != nil {
		c.Fail("key-file", "cannot be read: %v", err)
	}
	number := 0
	for line := range strings.Lines(string(data)) {
		number++
		if line = strings.TrimSpace(line); line != "" && !strings.HasPrefix(line, "#") {
			add("key-file", fmt.Sprintf("line %d", number), line)
		}
	}
	return keys
}

func (f *loadFlags) writeHTML(rep load.Report) error {
	if f.HTML == "" {
		return nil
	}
	file, err := os.Create(f.HTML)
	if err != nil {
		return err
	}
	if err := rep.WritePage(file); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}

func showLoadReport(w io.Writer, rep load.Report) {
	writeTable(w, rep.Summary()...)
	writeSection(w, "accounts", load.AccountHead, rep.AccountRows())
	writeSection(w, "refusals", load.RefusalHead, rep.RefusalRows())
}
