// Command kumquatsill is the router and the tools of operators and callers.
package main

import (
	"os"

	"github.com/kumquatsill/kumquatsill/app/settings"
)

// commands lists the subcommands; each is defined in its own file.
func commands() []settings.Command {
	return []settings.Command{
		routerCommand(),
		devCommand(),
	}
}

func main() {
	os.Exit(settings.Run("kumquatsill", commands(), os.Args[1:], os.Stdout, os.Stderr))
}
