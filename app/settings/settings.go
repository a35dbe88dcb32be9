// Package settings parses and validates flags and environment variables. It reports
// all invalid settings at once.
package settings

import (
	"fmt"
	"net/netip"
	"os"
	"runtime/debug"
	"strconv"
	"strings"
	"time"

	"github.com/kumquatsill/kumquatsill/app/transport"
)

// Exit codes of the commands.
const (
	ExitOK      = 0
	ExitFailure = 1
	// ExitUsage means that settings, arguments or input files are invalid.
	ExitUsage = 2
	// ExitRefused means that a router refused the operation, so that a retry cannot
	// succeed.
	ExitRefused = 3
	// ExitConflict means that another note based on the same revision took effect
	// first.
	ExitConflict = 4
	// ExitUnreachable means that a router or the log did not respond, so that the
	// outcome may be unknown.
	ExitUnreachable = 5
	// ExitVerificationFailed means that the verification of an audit trail found
	// faults.
	ExitVerificationFailed = 6
	// ExitNotFound means that the requested item does not exist.
	ExitNotFound = 7
)

// ExitError is an error that determines the exit code.
type ExitError struct {
	Code int
	Err  error
}

// Error implements error.
func (e *ExitError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *ExitError) Unwrap() error { return e.Err }

// ExitErrorf returns an *ExitError with a formatted message.
func ExitErrorf(code int, format string, args ...any) error {
	return &ExitError{Code: code, Err: fmt.Errorf(format, args...)}
}

// Error lists all problems of the settings.
type Error struct{ Problems []string }

// Error implements error, one problem a line.
func (e *Error) Error() string { return "bad settings:\n  " + strings.Join(e.Problems, "\n  ") }

// Checker validates settings and collects their problems.
type Checker struct{ problems []string }

// Err returns an *Error if there are problems.
func (c *Checker) Err() error {
	if len(c.problems) == 0 {
		return nil
	}
	return &Error{Problems: c.problems}
}

// Fail adds a problem with a flag.
func (c *Checker) Fail(flag, format string, args ...any) {
	c.problems = append(c.problems, "--"+flag+" "+fmt.Sprintf(format, args...))
}

// FailArgument adds a problem with a positional argument.
func (c *Checker) FailArgument(name, format string, args ...any) {
	c.problems = append(c.problems, "argument "+name+" "+fmt.Sprintf(format, args...))
}

// Required adds a problem if a positional argument is missing.
func (c *Checker) Required(name, value string) {
	if value == "" {
		c.FailArgument(name, "is missing")
	}
}

// NoArgs requires that there are no positional arguments.
func (c *Checker) NoArgs(args []string) {
	for _, a := range args {
		c.problems = append(c.problems, fmt.Sprintf("unexpected argument %q", a))
	}
}

// Name requires an identifier of letters, digits and "._-".
func (c *Checker) Name(flag, value string) {
	if value == "" {
		c.Fail(flag, "is missing")
		return
	}
	for _, r := range value {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
		if !letter && !strings.ContainsRune("._-", r) {
			c.Fail(flag, "is %q, must be letters, digits, dots, dashes or underscores", value)
			return
		}
	}
}

// Listen requires the "ip:port" of a listener. Port 0 selects a free port.
func (c *Checker) Listen(flag, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.Fail(flag, "is %q, must be ip:port", value)
	}
}

// Address requires the "ip:port" of another process.
func (c *Checker) Address(flag, value string) {
	if value == "" {
		c.Fail(flag, "is missing")
		return
	}
	addr, err := netip.ParseAddrPort(value)
	if err != nil || addr.Port() == 0 || addr.Addr().IsUnspecified() {
		c.Fail(flag, "is %q, must be the ip:port of one process", value)
	}
}

// Duration parses a duration such as "30s", which must not be negative.
func (c *Checker) Duration(flag, value string) time.Duration {
	d, err := time.ParseDuration(value)
	if err != nil || d < 0 {
		c.Fail(flag, "is %q, must be a duration such as 30s", value)
	}
	return d
}

// Positive parses a whole number above 0.
func (c *Checker) Positive(flag, value string) int64 {
	n, err := strconv.ParseInt(value, 10, 64)
	if err != nil || n <= 0 {
		c.Fail(flag, "is %q, must be a whole number above 0", value)
	}
	return n
}

// NotNegative checks a flag that must be a whole number of at least 0.
func (c *Checker) NotNegative(flag, value string) int64 {
	n, err := strconv.ParseInt(value, 10, 64)
	if err != nil || n < 0 {
		c.Fail(flag, "is %q, must be a whole number of at least 0", value)
	}
	return n
}

// TLS holds the flags for the TLS files of one side of a connection.
type TLS struct {
	Cert string `long:"cert" env:"CERT" value-name:"FILE" description:"PEM certificate"`
	Key  string `long:"key" env:"KEY" value-name:"FILE" description:"PEM key"`
	CA   string `long:"ca" env:"CA" value-name:"FILE" description:"PEM certificates that verify the other side"`
}

// Files converts the flags to a transport.TLSFiles.
func (t TLS) Files() transport.TLSFiles {
	return transport.TLSFiles{Cert: t.Cert, Key: t.Key, CA: t.CA}
}

// TLS requires that the certificate and key of a group of flags are given together
// and that all given files exist.
func (c *Checker) TLS(group string, t TLS) {
	if (t.Cert == "") != (t.Key == "") {
		c.Fail(group+".cert", "and --%s.key must be given together", group)
	}
	for flag, file := range map[string]string{"cert": t.Cert, "key": t.Key, "ca": t.CA} {
		if file == "" {
			continue
		}
		if _, err := os.Stat(file); err != nil {
			c.Fail(group+"."+flag, "cannot be read: %v", err)
		}
	}
}

// MutualTLS requires all three files or none, since routers and agents verify each
// other's certificates.
func (c *Checker) MutualTLS(group string, t TLS) {
	c.TLS(group, t)
	if t.Cert != "" && t.CA == "" || t.Cert == "" && t.CA != "" {
		c.Fail(group+".ca", "must be given together with --%s.cert and --%s.key", group, group)
	}
}

// Version returns the program's version, its commit if known and the Go version.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	version := info.Main.Version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			version += " " + s.Value
		}
	}
	return version + " " + info.GoVersion
}
