package main

import (
	"fmt"
	"os"
	"slices"

	"github.com/kumquatsill/kumquatsill/app/dev"
	"github.com/kumquatsill/kumquatsill/app/example"
	"github.com/kumquatsill/kumquatsill/app/settings"
)

type devFlags struct {
	Listen     string `long:"listen" default:"127.0.0.1:8080" description:"ip:port of the first router for callers"`
	Routers    string `long:"routers" default:"2" description:"number of routers"`
	Engines    string `long:"engines" default:"3" description:"number of stand-in engines"`
	Seed       string `long:"seed" default:"1" description:"seed of the stand-ins and of the keys"`
	Deployment string `long:"deployment" description:"start with the accounts, model and routes of a deployment, pompas or karoo, and print a line that loads it"`
}

func devCommand() settings.Command {
	return settings.Command{
		Name:  "dev",
		Short: "Run routers, agents and stand-ins in one process",
		Long: `Run routers, agents and stand-ins of the outside systems in one process, on loopback, with an example note. Prints a key and a curl line that streams an answer.

Examples:
  kumquatsill dev
  kumquatsill dev --listen 127.0.0.1:9000 --engines 6
  kumquatsill dev --deployment pompas`,
		Data: &devFlags{},
	}
}

// Execute implements flags.Commander.
func (f *devFlags) Execute(args []string) error {
	var c settings.Checker
	c.NoArgs(args)
	c.Listen("listen", f.Listen)
	if f.Deployment != "" && !slices.Contains(example.DeploymentNames, f.Deployment) {
		c.Fail("deployment", "is %q, must be one of %v", f.Deployment, example.DeploymentNames)
	}
	cfg := dev.Config{
		Deployment: f.Deployment,
		Listen:     f.Listen,
		Routers:    int(c.Positive("routers", f.Routers)),
		Engines:    int(c.Positive("engines", f.Engines)),
		Seed:       uint64(c.Positive("seed", f.Seed)),
		Log:        settings.Logger(os.Stderr),
	}
	if err := c.Err(); err != nil {
		return err
	}
	d, err := dev.New(cfg)
	if err != nil {
		return err
	}
	d.OnReady = func() { fmt.Print(d.Usage()) }
	return settings.RunUntilSignal(d)
}
