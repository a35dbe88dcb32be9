package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"

	"github.com/kumquatsill/kumquatsill/app/auditlog"
	"github.com/kumquatsill/kumquatsill/app/settings"
	"github.com/kumquatsill/kumquatsill/app/transport"
	"github.com/kumquatsill/kumquatsill/core/audit"
)

func auditCommand(s streams) settings.Command {
	p := printer{streams: s}
	return settings.Command{
		Name: "audit", Short: "Export and verify the audit trail",
		Long: `Each router chains the records of its requests by hash and writes them to the audit stream of the log. They never hold content or keys.

Examples:
  kumquatsill audit export --log-addr 10.0.0.9:7000 --output audit.jsonl
  kumquatsill audit verify audit.jsonl` + exitCodes,
		Sub: []settings.Command{
			{Name: "export", Short: "Write the audit stream to a file", Data: &auditExport{printer: p}, Long: `Write all records of the audit stream that the log retains as JSON lines, after a header with the offsets. A file appears only when it is complete.

Examples:
  kumquatsill audit export --log-addr 10.0.0.9:7000 --output audit.jsonl
  kumquatsill audit export --log-addr 10.0.0.9:7000 | gzip > audit.jsonl.gz` + exitCodes},
			{Name: "verify", Short: "Verify an exported file or the log", Data: &auditVerify{printer: p}, Long: `Verify the hash chains of all routers and print every missing, reordered, altered or forked entry. Requests that a router had to drop are counted, since the chain itself records them. The end of a chain whose router did not stop gracefully cannot be checked.

Examples:
  kumquatsill audit verify audit.jsonl
  gunzip -c audit.jsonl.gz | kumquatsill audit verify -
  kumquatsill audit verify --log-addr 10.0.0.9:7000` + exitCodes},
		},
	}
}

// logClientFlags say how to reach the log service.
type logClientFlags struct {
	LogAddr string       `long:"log-addr" env:"KUMQUATSILL_LOG_ADDR" value-name:"IP:PORT" description:"ip:port of the log service"`
	LogTLS  settings.TLS `group:"TLS to the log service" namespace:"log-tls" env-namespace:"KUMQUATSILL_LOG_TLS"`
}

func (f *logClientFlags) check(c *settings.Checker) {
	c.Address("log-addr", f.LogAddr)
	c.TLS("log-tls", f.LogTLS)
}

// open returns a reader of the audit stream in the log service.
func (f *logClientFlags) open() (*auditlog.Log, error) {
	config, err := transport.ClientTLS(f.LogTLS.Files())
	if err != nil {
		return nil, &settings.ExitError{Code: settings.ExitUsage, Err: err}
	}
	return auditlog.NewLog(transport.NewClient(config), f.LogAddr), nil
}

// withAuditExitCode maps errors of package auditlog to exit codes.
func withAuditExitCode(err error) error {
	var unreachable *auditlog.UnreachableError
	var format *auditlog.FormatError
	switch {
	case errors.As(err, &unreachable):
		return &settings.ExitError{Code: settings.ExitUnreachable, Err: err}
	case errors.As(err, &format):
		return &settings.ExitError{Code: settings.ExitUsage, Err: err}
	}
	return err
}

type auditExport struct {
	Output string `long:"output" default:"-" value-name:"FILE" description:"file to write, or - for standard output"`
	printer
	logClientFlags
}

// Execute implements flags.Commander.
func (f *auditExport) Execute(args []string) error {
	var c settings.Checker
	c.NoArgs(args)
	f.check(&c)
	if f.Output == "-" && f.JSON {
		c.Fail("json", "needs --output, since the export itself goes to standard output")
	}
	if err := c.Err(); err != nil {
		return err
	}
	log, err := f.open()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if f.Output == "-" {
		_, err = auditlog.Export(ctx, log, f.out)
		return errors.Join(withAuditExitCode(err), log.Close())
	}
	bounds, err := auditlog.ExportFile(ctx, log, f.Output)
	if err = errors.Join(withAuditExitCode(err), log.Close()); err != nil {
		return err
	}
	return f.show(bounds, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "%d records from offset %d\n", bounds.Head-bounds.First, bounds.First)
	})
}

type auditVerify struct {
	printer
	logClientFlags
	Args struct {
		File string `positional-arg-name:"FILE" description:"exported file, or - for standard input; the log if missing"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (f *auditVerify) Execute(args []string) error {
	var c settings.Checker
	c.NoArgs(args)
	if f.Args.File == "" {
		f.check(&c)
	}
	if err := c.Err(); err != nil {
		return err
	}
	report, err := f.verify()
	if err != nil {
		return withAuditExitCode(err)
	}
	if err := f.show(report, func(w io.Writer) { showAuditReport(w, report) }); err != nil {
		return err
	}
	if !report.OK() {
		return settings.ExitErrorf(settings.ExitVerificationFailed, "the audit trail has %d faults", len(report.Faults)+len(report.Chains.Faults))
	}
	return nil
}

func (f *auditVerify) verify() (auditlog.Report, error) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	switch f.Args.File {
	case "":
		log, err := f.open()
		if err != nil {
			return auditlog.Report{}, err
		}
		report, err := auditlog.Verify(ctx, log)
		return report, errors.Join(err, log.Close())
	case "-":
		return auditlog.Verify(ctx, auditlog.NewFile(f.in))
	}
	file, err := os.Open(f.Args.File)
	if err != nil {
		return auditlog.Report{}, &settings.ExitError{Code: settings.ExitUsage, Err: err}
	}
	defer func() { _ = file.Close() }()
	return auditlog.Verify(ctx, auditlog.NewFile(file))
}

func showAuditReport(w io.Writer, r auditlog.Report) {
	writeTable(w,
		[]string{"records", formatInt(r.Records)},
		[]string{"chains", formatInt(r.Chains.Chains)},
		[]string{"closed chains", formatInt(r.Chains.Closed)},
		[]string{"chains that begin before the log's retention", formatInt(r.Chains.Expired)},
		[]string{"entries", formatInt(r.Chains.Entries)},
		[]string{"requests that routers had to drop", formatInt(r.Chains.Dropped)},
	)
	writeSection(w, "faults of records", []string{"OFFSET", "KIND", "DETAIL"}, rowsOf(r.Faults, func(f auditlog.Fault) []string {
		return []string{formatInt(f.Offset), string(f.Kind), f.Detail}
	}))
	writeSection(w, "faults of chains", []string{"CHAIN", "ENTRY", "KIND", "DETAIL"}, rowsOf(r.Chains.Faults, func(f audit.Fault) []string {
		return []string{string(f.Chain), formatInt(f.Index), string(f.Kind), f.Detail}
	}))
}
