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

// Global holds the flags that apply to the program as a whole.
type Global struct {
	Version bool `long:"version" description:"print the version and exit"`
}

// Command is a subcommand. Data is a struct of its flags that implements
// flags.Commander, unless the command has subcommands itself.
type Command struct {
	Name  string
	Short string
	Long  string
	Data  any
	Sub   []Command
}

// commandAdder is implemented by parsers and commands.
type commandAdder interface {
	AddCommand(name, short, long string, data any) (*flags.Command, error)
}

// addTo adds the command and its subcommands to parent.
func (c Command) addTo(parent commandAdder) error {
	data := c.Data
	if data == nil {
		data = &struct{}{}
	}
	added, err := parent.AddCommand(c.Name, c.Short, c.Long, data)
	for _, sub := range c.Sub {
		if err == nil {
			err = sub.addTo(added)
		}
	}
	return err
}

// Parser returns the parser of a program with subcommands.
func Parser(program string, commands []Command, global *Global) (*flags.Parser, error) {
	parser := flags.NewNamedParser(program, flags.HelpFlag|flags.PassDoubleDash)
	parser.SubcommandsOptional = true
	_, err := parser.AddGroup("Options", "", global)
	for _, c := range commands {
		if err == nil {
			err = c.addTo(parser)
		}
	}
	return parser, err
}

// Run parses the arguments, runs the command and returns the exit code.
func Run(program string, commands []Command, args []string, stdout, stderr io.Writer) int {
	var global Global
	parser, err := Parser(program, commands, &global)
	if err != nil {
		return printError(err, stdout, stderr)
	}
	if _, err := parser.ParseArgs(args); err != nil {
		return printError(err, stdout, stderr)
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

// SingleCommandParser returns the parser of a program without subcommands.
func SingleCommandParser(program, long string, data any, global *Global) (*flags.Parser, error) {
	parser := flags.NewNamedParser(program, flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = long
	_, err := parser.AddGroup("Options", "", global)
	if err == nil {
		_, err = parser.AddGroup("Settings", "", data)
	}
	return parser, err
}

// RunSingleCommand is like Run for a program without subcommands. It passes the
// positional arguments to execute.
func RunSingleCommand(program, long string, data any, execute func(args []string) error, args []string, stdout, stderr io.Writer) int {
	var global Global
	parser, err := SingleCommandParser(program, long, data, &global)
	var positional []string
	if err == nil {
		positional, err = parser.ParseArgs(args)
	}
	if err == nil && global.Version {
		_, _ = fmt.Fprintln(stdout, program, Version())
		return ExitOK
	}
	if err == nil {
		err = execute(positional)
	}
	return printError(err, stdout, stderr)
}

// printError prints an error, or the help that was asked for, and returns the exit
// code.
func printError(err error, stdout, stderr io.Writer) int {
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
	if text := err.Error(); text != "" {
		_, _ = fmt.Fprintln(stderr, text)
	}
	return ExitCode(err)
}

// ExitCode returns the exit code for the error that a command returned.
func ExitCode(err error) int {
	var settingsErr *Error
	var exitErr *ExitError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &settingsErr):
		return ExitUsage
	case errors.As(err, &exitErr):
		return exitErr.Code
	}
	return ExitFailure
}

// Logger returns a logger that writes one JSON object per line.
func Logger(w io.Writer) *slog.Logger { return slog.New(slog.NewJSONHandler(w, nil)) }

// Process is a long-running process such as a router or an agent.
type Process interface {
	Start()
	// Failed is closed when the process has failed or stopped by itself. Err returns
	// the reason.
	Failed() <-chan struct{}
	Err() error
	Drain() error
}

// RunUntilSignal starts a process and drains it on SIGTERM or SIGINT, or when it has
// failed. A second signal terminates the program at once. A process whose log has lost its
// reader goes on.
func RunUntilSignal(p Process) error {
	signal.Ignore(syscall.SIGPIPE)
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
