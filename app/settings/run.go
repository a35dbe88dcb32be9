package settings

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	flags "github.com/jessevdk/go-flags"
)

// Global are the flags of a whole program.
type Global struct {
	Version bool `long:"version" description:"print the version and exit"`
}

// Command is one subcommand. Data carries its flags and implements flags.Commander.
type Command struct {
	Name  string
	Short string
	Long  string
	Data  flags.Commander
}

// Run parses the arguments, runs the command and returns the exit code.
func Run(program string, commands []Command, args []string, stdout, stderr io.Writer) int {
	var global Global
	parser := flags.NewNamedParser(program, flags.HelpFlag|flags.PassDoubleDash)
	parser.SubcommandsOptional = true
	_, err := parser.AddGroup("Options", "", &global)
	for _, c := range commands {
		if err == nil {
			_, err = parser.AddCommand(c.Name, c.Short, c.Long, c.Data)
		}
	}
	if err != nil {
		return report(err, stdout, stderr)
	}
	if _, err := parser.ParseArgs(args); err != nil {
		return report(err, stdout, stderr)
	}
	switch {
	case global.Version:
		_, _ = fmt.Fprintln(stdout, program, Version())
	case parser.Active == nil:
		parser.WriteHelp(stderr)
		return ExitUsage
	}
	return ExitOK
}

// RunSingle is Run for a program without subcommands. execute gets the
// positional arguments.
func RunSingle(program, long string, data any, execute func(args []string) error, args []string, stdout, stderr io.Writer) int {
	var global Global
	parser := flags.NewNamedParser(program, flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = long
	_, err := parser.AddGroup("Options", "", &global)
	if err == nil {
		_, err = parser.AddGroup("Settings", "", data)
	}
	var rest []string
	if err == nil {
		rest, err = parser.ParseArgs(args)
	}
	if err == nil && global.Version {
		_, _ = fmt.Fprintln(stdout, program, Version())
		return ExitOK
	}
	if err == nil {
		err = execute(rest)
	}
	return report(err, stdout, stderr)
}

func report(err error, stdout, stderr io.Writer) int {
	if err == nil {
		return ExitOK
	}
	var usage *flags.Error
	if errors.As(err, &usage) {
		if usage.Type == flags.ErrHelp {
			_, _ = fmt.Fprintln(stdout, usage.Message)
			return ExitOK
		}
		_, _ = fmt.Fprintln(stderr, usage.Message)
		return ExitUsage
	}
	_, _ = fmt.Fprintln(stderr, err)
	var bad *Error
	if errors.As(err, &bad) {
		return ExitUsage
	}
	return ExitFailure
}

// Logger returns the program's log: one JSON object a line.
func Logger(w io.Writer) *slog.Logger { return slog.New(slog.NewJSONHandler(w, nil)) }

// Process is a running program part.
type Process interface {
	Start()
	// Failed is closed when a part has ended by itself, Err says why.
	Failed() <-chan struct{}
	Err() error
	Drain() error
}

// RunUntilSignal starts a process and drains it on SIGTERM or SIGINT. A
// second signal ends the program at once.
func RunUntilSignal(p Process) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	p.Start()
	select {
	case <-ctx.Done():
		stop()
		return p.Drain()
	case <-p.Failed():
		return errors.Join(p.Err(), p.Drain())
	}
}
