package main

import (
	"fmt"
	"io"
	"strings"

	"github.com/kumquatsill/kumquatsill/app/operator"
	"github.com/kumquatsill/kumquatsill/app/settings"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

func statusCommand(s streams) settings.Command {
	return settings.Command{
		Name: "status", Short: "Show the state of the fleet as one router sees it", Data: &statusFlags{printer: printer{streams: s}},
		Long: `Show the routers, leases, endpoints, quarantines and counters that one router knows, and how fresh its state is. Reports of endpoints are those that this router itself has got.

Examples:
  kumquatsill status --router 10.0.0.1:8081
  kumquatsill status --json` + exitCodes,
	}
}

type statusFlags struct {
	printer
	routerClientFlags
}

// Execute implements flags.Commander.
func (f *statusFlags) Execute(args []string) error {
	reply, err := f.fetch(args)
	if err != nil {
		return err
	}
	return f.show(reply, func(w io.Writer) { showStatus(w, reply) })
}

func (f *statusFlags) fetch(args []string) (proto.StatusReply, error) {
	if err := f.validate(args); err != nil {
		return proto.StatusReply{}, err
	}
	reply, err := callRouter[proto.StatusReply](&f.routerClientFlags, proto.StatusQuery{ID: operator.NewID()})
	if err == nil {
		f.warnStale(reply.Freshness)
	}
	return reply, err
}

func showStatus(w io.Writer, r proto.StatusReply) {
	f := r.Freshness
	writeTable(w,
		[]string{"router", string(f.Router)},
		[]string{"revision", formatInt(f.Stamp.Revision)},
		[]string{"config offset", formatInt(f.Stamp.ConfigOffset)},
		[]string{"configuration read", yesNo(f.Ready)},
		[]string{"draining", yesNo(f.Draining)},
		[]string{"log reachable", yesNo(f.LogReachable)},
		[]string{"general outage", yesNo(f.GeneralOutage)},
		[]string{"age of last complete state", formatAge(f.CaughtUpAge)},
		[]string{"keyed traffic for", formatAge(f.FreshFor)},
	)
	writeSection(w, "routers", []string{"ROUTER", "DOMAIN", "ADDR", "SLOT", "HEARD AGE", "LOG REACHABLE"}, rowsOf(r.Routers, routerRow))
	writeSection(w, "leases", []string{"LEASE", "HOLDER", "FENCE", "TOUCHED", "TTL", "BALANCE", "RELEASED"}, rowsOf(r.Leases, func(l proto.LeaseStatus) []string {
		return []string{l.Name, string(l.Holder), formatInt(l.Fence), formatInt(l.LastUpdate), l.TTL.String(), formatInt(l.Balance), yesNo(l.Released)}
	}))
	writeSection(w, "endpoints", []string{"ENDPOINT", "KIND", "DOMAIN", "ADDR", "REPORT AGE", "RUNNING", "QUEUED", "QUEUED TOKENS", "STATE", "INCARNATION"}, rowsOf(r.Endpoints, endpointRow))
	showSuspects(w, r.Suspects)
	writeSection(w, "counters", []string{"COUNTER", "VALUE"}, rowsOf(r.Counters, func(c proto.Counter) []string {
		return []string{c.Name, formatInt(c.Value)}
	}))
}

func routerRow(r proto.RouterStatus) []string {
	heard := formatAge(r.HeartbeatAge)
	if r.Self {
		heard = "self"
	}
	reachable := yesNo(r.LogReachable)
	if r.HeartbeatAge < 0 {
		reachable = "unknown"
	}
	slot := formatInt(r.Slot)
	if r.Slot < 0 {
		slot = "none"
	}
	return []string{string(r.Router), string(r.Domain), r.Addr, slot, heard, reachable}
}

func endpointRow(e proto.EndpointStatus) []string {
	var state []string
	if e.Leaving || e.Report.Leaving {
		state = append(state, "leaving")
	}
	if e.Report.Down {
		state = append(state, "down")
	}
	return []string{
		string(e.Endpoint), e.Kind, string(e.Domain), e.Addr, formatAge(e.ReportAge), formatInt(e.Report.Running), formatInt(e.Report.Queued),
		formatInt(e.Report.QueuedTokens), strings.Join(state, " "), string(e.Report.Incarnation),
	}
}

func showSuspects(w io.Writer, suspects []proto.SuspectStatus) {
	writeSection(w, "quarantines and suspects", []string{"ACCOUNT", "FINGERPRINT", "STATE", "CRASHED", "SINCE OFFSET"}, rowsOf(suspects, func(s proto.SuspectStatus) []string {
		state := "suspect"
		if s.Quarantined {
			state = "quarantined"
		}
		var crashed []string
		for _, id := range s.Endpoints {
			crashed = append(crashed, string(id))
		}
		return []string{string(s.Account), string(s.Fingerprint), state, strings.Join(crashed, " "), formatInt(s.Since)}
	}))
}

func quarantineCommand(s streams) settings.Command {
	p := printer{streams: s}
	return settings.Command{
		Name: "quarantine", Short: "List and release requests that crash endpoints",
		Long: `A request whose fingerprint crashed two endpoints is refused everywhere until the quarantine expires or is released. After one crash it is a suspect and runs alone.

Examples:
  kumquatsill quarantine list
  kumquatsill quarantine release almacenes-lira 9f86d081884c7d65` + exitCodes,
		Sub: []settings.Command{
			{Name: "list", Short: "List quarantines and suspects", Data: &quarantineList{statusFlags{printer: p}}, Long: `List the fingerprints that are quarantined or suspect.

Examples:
  kumquatsill quarantine list --json` + exitCodes},
			{Name: "release", Short: "Release a quarantine or suspicion", Data: &quarantineRelease{printer: p}, Long: `Release a fingerprint everywhere, through the log. Its next crash counts as the first.

Examples:
  kumquatsill quarantine release almacenes-lira 9f86d081884c7d65 --operator ann` + exitCodes},
		},
	}
}

type quarantineList struct{ statusFlags }

// Execute implements flags.Commander.
func (f *quarantineList) Execute(args []string) error {
	reply, err := f.fetch(args)
	if err != nil {
		return err
	}
	return f.show(reply.Suspects, func(w io.Writer) {
		if len(reply.Suspects) == 0 {
			_, _ = fmt.Fprintln(w, "no fingerprint is quarantined or suspect")
		}
		showSuspects(w, reply.Suspects)
	})
}

type quarantineRelease struct {
	Operator string `long:"operator" env:"USER" description:"name that the log records"`
	printer
	routerClientFlags
	Args struct {
		Account     string `positional-arg-name:"ACCOUNT" description:"client account"`
		Fingerprint string `positional-arg-name:"FINGERPRINT" description:"fingerprint, as listed"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (f *quarantineRelease) Execute(args []string) error {
	if err := f.validate(args, argument{"ACCOUNT", f.Args.Account}, argument{"FINGERPRINT", f.Args.Fingerprint}); err != nil {
		return err
	}
	reply, err := callRouter[proto.QuarantineLifted](&f.routerClientFlags, proto.QuarantineLift{
		ID: proto.RecordID(operator.NewID()), Account: proto.AccountID(f.Args.Account),
		Fingerprint: proto.Fingerprint(f.Args.Fingerprint), Operator: f.Operator,
	})
	if err != nil {
		return err
	}
	if err := f.show(reply, func(w io.Writer) { _, _ = fmt.Fprintln(w, reply.Status) }); err != nil {
		return err
	}
	switch reply.Status {
	case proto.LiftDone:
		return nil
	case proto.LiftAbsent:
		return settings.ExitErrorf(settings.ExitNotFound, "%s", escapeControl(reply.Detail))
	case proto.LiftRefused:
		return settings.ExitErrorf(settings.ExitRefused, "%s", escapeControl(reply.Detail))
	}
	return settings.ExitErrorf(settings.ExitUnreachable, "%s", escapeControl(reply.Detail))
}
