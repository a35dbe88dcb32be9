// Command matrix runs the fault matrix and the random runs and writes the results
// to docs/fault-matrix.md. It fails if a run fails.
package main

import (
	"bytes"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/kumquatsill/kumquatsill/proof/matrix"
)

type options struct {
	Output  string `long:"output" default:"docs/fault-matrix.md" description:"file to write"`
	Seeds   int    `long:"seeds" default:"1000" description:"random runs"`
	Threads int    `long:"threads" default:"4" description:"cells to run at once"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2) // the parser has printed the error
	}
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "matrix:", err)
		os.Exit(1)
	}
}

func run(o options) error {
	if o.Threads < 1 {
		return fmt.Errorf("--threads is %d, must be at least 1", o.Threads)
	}
	if o.Seeds < 0 {
		return fmt.Errorf("--seeds is %d, must be at least 0", o.Seeds)
	}
	cells, err := matrix.Cells()
	if err != nil {
		return err
	}
	pairs, err := matrix.Pairs()
	if err != nil {
		return err
	}
	results := matrix.RunAll(append(cells, pairs...), o.Threads)
	soak, err := matrix.RunSoak(o.Seeds, o.Threads)
	if err != nil {
		return err
	}
	var text bytes.Buffer
	if err := matrix.WriteReport(&text, results[:len(cells)], results[len(cells):], soak); err != nil {
		return err
	}
	if err := os.WriteFile(o.Output, text.Bytes(), 0o644); err != nil {
		return err
	}
	failed := len(soak.FailedSeeds)
	for _, r := range results {
		if r.SkipReason == "" && !r.Passed() {
			failed++
		}
	}
	if failed > 0 {
		return fmt.Errorf("%d cells and random runs failed, see %s", failed, o.Output)
	}
	return nil
}
