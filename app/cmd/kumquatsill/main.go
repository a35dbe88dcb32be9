// Command kumquatsill runs a router and holds the command-line tools for
// operators and callers.
package main

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/kumquatsill/kumquatsill/app/settings"
)

// commands lists the subcommands; each is defined in its own file.
func commands(s streams) []settings.Command {
	return []settings.Command{
		routerCommand(),
		frontCommand(),
		devCommand(),
		noteCommand(s),
		keyCommand(s),
		statusCommand(s),
		explainCommand(s),
		quarantineCommand(s),
		auditCommand(s),
		loadCommand(s),
	}
}

func run(s streams, args []string) int {
	return settings.Run("kumquatsill", commands(s), args, s.out, s.err)
}

func main() {
	// The platform may send SIGHUP at any time, and its default action ends the
	// process. Commands that can reload their settings install a handler. Builds
	// with cgo ignore it from the start (hangup.go).
	signal.Ignore(syscall.SIGHUP)
	os.Exit(run(streams{in: os.Stdin, out: os.Stdout, err: os.Stderr}, os.Args[1:]))
}
