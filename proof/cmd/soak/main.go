// Command soak runs router processes on a stand-in for the hosting platform,
// injects faults and checks what clients and endpoints observed.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	flags "github.com/jessevdk/go-flags"
	"github.com/kumquatsill/kumquatsill/proof/soak"
)

type options struct {
	Seed          uint64        `long:"seed" default:"1" description:"first seed"`
	Seeds         int           `long:"seeds" default:"1" description:"number of seeds"`
	FaultDuration time.Duration `long:"faults" default:"12s" description:"time in which faults are injected"`
	Routers       int           `long:"routers" default:"3" description:"router processes"`
	Engines       int           `long:"engines" default:"4" description:"model engines"`
	Plain         int           `long:"plain" default:"2" description:"plain endpoints"`
	Clients       int           `long:"clients" default:"16" description:"clients that send requests"`
	// Mutations is the root of the workspace whose source is mutated.
	Mutations string `long:"mutations" description:"run the program with a fault for each promise instead, from the workspace at this path; each must be noticed"`
	Only      string `long:"only" description:"with --mutations: run only the fault for this promise"`
	Dir       string `long:"dir" description:"folder for settings and logs, kept for seeds that fail"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	failed, err := run(o)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	if failed > 0 {
		os.Exit(1)
	}
}

func run(o options) (failed int, err error) {
	if o.Dir == "" {
		if o.Dir, err = os.MkdirTemp("", "soak"); err != nil {
			return 0, err
		}
	}
	if o.Mutations != "" {
		return runMutations(o)
	}
	binary, err := soak.Build(o.Dir)
	if err != nil {
		return 0, err
	}
	for i := range o.Seeds {
		seed := o.Seed + uint64(i)
		dir := filepath.Join(o.Dir, fmt.Sprint("seed-", seed))
		if err := os.MkdirAll(dir, 0o700); err != nil {
			return failed, err
		}
		r, err := soak.Run(o.config(binary, dir, seed))
		if err != nil {
			return failed, fmt.Errorf("seed %d: %w", seed, err)
		}
		fmt.Println(r)
		if len(r.Violations) > 0 {
			failed++
			fmt.Println("  logs in", dir)
			continue
		}
		if err := os.RemoveAll(dir); err != nil {
			return failed, err
		}
	}
	fmt.Printf("%d seeds, %d failed\n", o.Seeds, failed)
	return failed, nil
}

func (o *options) config(binary, dir string, seed uint64) soak.Config {
	return soak.Config{
		Binary: binary, Dir: dir, Seed: seed, FaultDuration: o.FaultDuration, Clients: o.Clients,
		Size: soak.Size{Routers: o.Routers, Engines: o.Engines, Plain: o.Plain},
	}
}

// runMutations runs each mutation with one seed after the other until it is
// detected. It returns the number of mutations that no seed detected.
func runMutations(o options) (failed int, err error) {
	root, err := filepath.Abs(o.Mutations)
	if err != nil {
		return 0, err
	}
	mutations := soak.Mutations
	if o.Only != "" {
		mutations = slices.DeleteFunc(slices.Clone(mutations), func(m soak.Mutation) bool { return m.Guarantee != o.Only })
		if len(mutations) == 0 {
			return 0, fmt.Errorf("there is no fault for the promise %q", o.Only)
		}
	}
	for _, m := range mutations {
		dir := filepath.Join(o.Dir, m.Guarantee)
		if err := os.MkdirAll(dir, 0o700); err != nil {
			return failed, err
		}
		binary, err := m.Build(root, dir)
		if err != nil {
			return failed, err
		}
		detected := false
		for i := 0; i < o.Seeds && !detected; i++ {
			seed := o.Seed + uint64(i)
			r, err := soak.Run(o.config(binary, dir, seed))
			detected = m.DetectedBy(r)
			if err != nil && !detected {
				return failed, fmt.Errorf("%s, seed %d: %w", m.Guarantee, seed, err)
			}
			fmt.Printf("%s: seed %d, %d requests, noticed: %t\n", m.Guarantee, seed, r.Attempts, detected)
		}
		if !detected {
			failed++
		}
	}
	fmt.Printf("%d mutations, %d not noticed\n", len(mutations), failed)
	return failed, nil
}
