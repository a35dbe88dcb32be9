// Command measure compares the routing policy with baselines and an oracle, for
// both example deployments under all conditions, and prints the results.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/jessevdk/go-flags"
	"github.com/kumquatsill/kumquatsill/proof/compare"
	"github.com/kumquatsill/kumquatsill/proof/workload"
)

type options struct {
	Seed       uint64   `long:"seed" default:"1" description:"First seed"`
	Seeds      int      `long:"seeds" default:"10" description:"Number of consecutive seeds whose requests are pooled"`
	WarmSeeds  int      `long:"warm-seeds" default:"20" description:"Number of seeds for the restart of one router; 0 leaves it out"`
	Parallel   int      `long:"parallel" default:"5" description:"Runs at once"`
	Deployment []string `long:"deployment" description:"Only this deployment (may be repeated)"`
	Condition  []string `long:"condition" description:"Only this condition (may be repeated)"`
	Policy     []string `long:"policy" description:"Only this policy (may be repeated)"`
	Format     string   `long:"format" default:"text" choice:"text" choice:"json" choice:"markdown" description:"Format of the standard output"`
	HTML       string   `long:"html" value-name:"FILE" description:"Also write plots to this HTML page"`
	Note       string   `long:"note" value-name:"DEPLOYMENT" description:"Print the deployment's example release note instead"`
	Quiet      bool     `long:"quiet" description:"No progress on the standard error"`
}

func main() {
	if err := run(os.Args[1:], os.Stdout, os.Stderr); err != nil {
		var flagError *flags.Error
		if errors.As(err, &flagError) && flagError.Type == flags.ErrHelp {
			fmt.Println(err)
			return
		}
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}

func run(args []string, out, progress io.Writer) error {
	var opts options
	parser := flags.NewParser(&opts, flags.HelpFlag|flags.PassDoubleDash)
	rest, err := parser.ParseArgs(args)
	if err != nil {
		return err
	}
	if len(rest) > 0 {
		return fmt.Errorf("unexpected argument %q", rest[0])
	}
	if opts.Note != "" {
		return printNote(out, opts.Note)
	}
	plan, err := opts.plan(progress)
	if err != nil {
		return err
	}
	table, err := compare.Measure(plan)
	if err != nil {
		return err
	}
	if opts.HTML != "" {
		if err := writePage(opts.HTML, table); err != nil {
			return err
		}
	}
	switch opts.Format {
	case "json":
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(table)
	case "markdown":
		return printMarkdown(out, table)
	}
	return printText(out, table)
}

// printNote prints the example release note of a deployment as JSON.
func printNote(out io.Writer, name string) error {
	found, err := selectByName("deployment", []string{name}, workload.Deployments(), func(d workload.Deployment) string { return d.Name })
	if err != nil {
		return err
	}
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(found[0].Note())
}

// plan converts the options to a plan and reports all invalid ones.
func (o options) plan(progress io.Writer) (compare.Plan, error) {
	p := compare.Plan{Seed: o.Seed, Seeds: o.Seeds, WarmSeeds: o.WarmSeeds, Parallel: o.Parallel}
	var errs [4]error
	p.Deployments, errs[0] = selectByName("deployment", o.Deployment, workload.Deployments(), func(d workload.Deployment) string { return d.Name })
	p.Conditions, errs[1] = selectByName("condition", o.Condition, compare.Conditions(), func(c compare.Condition) string { return string(c) })
	p.Policies, errs[2] = selectByName("policy", o.Policy, compare.Policies(), func(p compare.Policy) string { return string(p) })
	if o.Seeds < 1 || o.WarmSeeds < 0 || o.Parallel < 1 {
		errs[3] = errors.New("--seeds and --parallel must be at least 1, --warm-seeds at least 0")
	}
	if !o.Quiet {
		p.Progress = func(done, total int) {
			fmt.Fprintf(progress, "\r%d of %d runs", done, total)
			if done == total {
				fmt.Fprintln(progress)
			}
		}
	}
	return p, errors.Join(errs[:]...)
}

// selectByName returns the items with the given names, or all items if no names
// are given.
func selectByName[T any](what string, names []string, all []T, nameOf func(T) string) ([]T, error) {
	if len(names) == 0 {
		return all, nil
	}
	var known []string
	for _, item := range all {
		known = append(known, nameOf(item))
	}
	var selected []T
	for _, name := range names {
		i := slices.Index(known, name)
		if i < 0 {
			return nil, fmt.Errorf("unknown %s %q, known are %s", what, name, strings.Join(known, ", "))
		}
		selected = append(selected, all[i])
	}
	return selected, nil
}
