package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/kumquatsill/kumquatsill/app/operator"
	"github.com/kumquatsill/kumquatsill/app/settings"
	"github.com/kumquatsill/kumquatsill/app/transport"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// exitCodes is the section on exit codes at the end of each help text.
const exitCodes = `

Exit codes: 0 success, 1 other failure, 2 bad settings, arguments or input, 3 refused, 4 beaten by another note, 5 router or log unreachable or outcome unknown, 6 verification found faults, 7 not found.`

// streams are the standard input, output and error of a command.
type streams struct {
	in       io.Reader
	out, err io.Writer
}

// printer writes the result of a command as text or as JSON.
type printer struct {
	JSON bool `long:"json" description:"print JSON for scripts"`
	streams
}

// show prints value as JSON with --json, otherwise by calling text.
func (p *printer) show(value any, text func(w io.Writer)) error {
	if p.JSON {
		return p.printJSON(value)
	}
	text(p.out)
	return nil
}

func (p *printer) printJSON(value any) error {
	out := json.NewEncoder(p.out)
	out.SetIndent("", "  ")
	return out.Encode(value)
}

// writeTable writes rows of cells in aligned columns.
func writeTable(w io.Writer, rows ...[]string) {
	out := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	for _, row := range rows {
		for i := range row {
			row[i] = escapeControl(row[i])
		}
		_, _ = fmt.Fprintln(out, strings.Join(row, "\t"))
	}
	_ = out.Flush()
}

// escapeControl escapes non-printable characters, so that text from the network
// cannot control the terminal or break the columns of a table.
func escapeControl(text string) string {
	quoted := strconv.Quote(text)
	return strings.ReplaceAll(quoted[1:len(quoted)-1], `\"`, `"`)
}

func formatInt[N ~int | ~int64](n N) string { return strconv.FormatInt(int64(n), 10) }

// formatAge formats the time since an event; a negative d means that the event
// never happened.
func formatAge(d time.Duration) string {
	if d < 0 {
		return "never"
	}
	return d.Round(time.Millisecond).String()
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// routerClientFlags say which routers a command queries and how.
type routerClientFlags struct {
	Routers []string     `long:"router" env:"KUMQUATSILL_ROUTER" env-delim:"," default:"127.0.0.1:8081" value-name:"IP:PORT" description:"internal listener of a router; give several to ask the next when one does not answer"`
	Timeout string       `long:"timeout" default:"30s" description:"longest wait for the answer"`
	TLS     settings.TLS `group:"Mutual TLS to routers" namespace:"internal-tls" env-namespace:"KUMQUATSILL_INTERNAL_TLS"`
}

func (f *routerClientFlags) check(c *settings.Checker) {
	for _, addr := range f.Routers {
		c.Address("router", addr)
	}
	c.Duration("timeout", f.Timeout)
	c.MutualTLS("internal-tls", f.TLS)
}

// argument is a positional argument of a command.
type argument struct{ name, value string }

// validate checks the flags, and that exactly the required positional arguments are given.
func (f *routerClientFlags) validate(args []string, required ...argument) error {
	var c settings.Checker
	c.NoArgs(args)
	f.check(&c)
	for _, a := range required {
		c.Required(a.name, a.value)
	}
	return c.Err()
}

// callRouter sends a message to the routers given by the flags, in order, until
// one replies. The flags must have passed validate or check.
func callRouter[R proto.Message](f *routerClientFlags, m proto.Message) (R, error) {
	var zero R
	config, err := transport.ClientTLS(f.TLS.Files())
	if err != nil {
		return zero, &settings.ExitError{Code: settings.ExitUsage, Err: err}
	}
	timeout, err := time.ParseDuration(f.Timeout)
	if err != nil {
		return zero, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	client := operator.New(transport.NewClient(config), f.Routers)
	defer client.Close()
	reply, err := operator.Call[R](ctx, client, m)
	return reply, withExitCode(err)
}

// withExitCode maps errors of operator.Call to exit codes.
func withExitCode(err error) error {
	var unreachable *operator.UnreachableError
	var status *transport.StatusError
	switch {
	case errors.As(err, &unreachable):
		return &settings.ExitError{Code: settings.ExitUnreachable, Err: err}
	case errors.As(err, &status):
		return &settings.ExitError{Code: settings.ExitRefused, Err: err}
	}
	return err
}

// readInput reads a file, or standard input for "-".
func (s streams) readInput(name string) ([]byte, error) {
	var data []byte
	var err error
	if name == "-" {
		data, err = io.ReadAll(s.in)
	} else {
		data, err = os.ReadFile(name)
	}
	if err != nil {
		return nil, &settings.ExitError{Code: settings.ExitUsage, Err: err}
	}
	return data, nil
}

// warnStale writes a warning to the error output if the router that answered may
// have incomplete or outdated state.
func (s streams) warnStale(f proto.Freshness) {
	switch {
	case !f.Ready:
		_, _ = fmt.Fprintf(s.err, "warning: router %s has not read the whole log yet\n", escapeControl(string(f.Router)))
	case !f.LogReachable:
		_, _ = fmt.Fprintf(s.err, "warning: router %s cannot read the log; its state was last complete %s ago\n", escapeControl(string(f.Router)), formatAge(f.CaughtUpAge))
	}
}
