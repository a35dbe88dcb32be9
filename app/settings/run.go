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

// Command is one subcommand. Data carries its flags and implements
// flags.Commander, unless the command has subcommands of its own.
type Command struct {
	Name  string
	Short string
	Long  string
	Data  any
	Sub   []Command
}

// adder is a parser or a command.
type adder interface {
	AddCommand(name, short, long string, data any) (*flags.Command, error)
}

func (c Command) addTo(parent adder) error {
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

// RunSingleCommand is Run for a program without subcommands. execute gets the
// positional arguments.
func RunSingleCommand(program, long string, data any, execute func(args []string) error, args []string, stdout, stderr io.Writer) int {
	var global Global
	parser, err := SingleCommandParser(program, long, data, &global)
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
	if text := err.Error(); text != "" {
		_, _ = fmt.Fprintln(stderr, text)
	}
	return ExitCode(err)
}

// ExitCode returns the exit code that an error of a command stands for.
func ExitCode(err error) int {
	var bad *Error
	var coded *ExitError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &bad):
		return ExitUsage
	case errors.As(err, &coded):
		return coded.Code
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
