// Command capacity measures how the cost of each role grows with the size of a
// fleet and prints the tables of docs/CAPACITY.md.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/kumquatsill/kumquatsill/proof/capacity"
)

type options struct {
	Read      string        `long:"read" value-name:"FILE" description:"make the tables from saved results instead of measuring"`
	Bench     string        `long:"bench" value-name:"FILE" description:"take the Go benchmarks from the output of 'go test -run XXX -bench Capacity ./proof/capacity', '-' for standard input; needs --read"`
	Save      string        `long:"save" value-name:"FILE" description:"save the results as JSON"`
	Page      string        `long:"page" value-name:"FILE" description:"replace the tables on this page"`
	Format    string        `long:"format" choice:"text" choice:"json" choice:"markdown" default:"text" description:"form of the tables on standard output"`
	BenchTime time.Duration `long:"benchtime" default:"200ms" description:"time of each Go benchmark"`
}

func main() {
	var o options
	parser := flags.NewParser(&o, flags.Default)
	parser.LongDescription = "Measures how the cost of each role grows with the size of a fleet and extrapolates it to the target size."
	rest, err := parser.Parse()
	var flagError *flags.Error
	switch {
	case errors.As(err, &flagError) && flagError.Type == flags.ErrHelp:
		return
	case err != nil:
		os.Exit(2)
	case len(rest) > 0:
		fmt.Fprintf(os.Stderr, "unexpected argument %q\n", rest[0])
		os.Exit(2)
	}
	if err := run(o, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(o options, out io.Writer) error {
	r, err := loadResults(o)
	if err != nil {
		return err
	}
	tables, err := r.Tables()
	if err != nil {
		return err
	}
	if err := saveResults(o.Save, r); err != nil {
		return err
	}
	if err := updatePage(o.Page, tables); err != nil {
		return err
	}
	switch o.Format {
	case "json":
		return capacity.WriteTablesJSON(out, tables)
	case "markdown":
		return capacity.WriteMarkdown(out, tables)
	}
	return capacity.WriteText(out, tables)
}

func loadResults(o options) (capacity.Results, error) {
	if o.Read == "" {
		if o.Bench != "" {
			return capacity.Results{}, errors.New("--bench needs --read for the other measurements")
		}
		return capacity.Measure(o.BenchTime, func(format string, args ...any) {
			fmt.Fprintf(os.Stderr, "measuring "+format+"\n", args...)
		})
	}
	r, err := readResults(o.Read)
	if err != nil || o.Bench == "" {
		return r, err
	}
	series, err := readBench(o.Bench)
	if err != nil {
		return r, err
	}
	return r, r.Replace(series)
}

func readResults(name string) (capacity.Results, error) {
	f, err := os.Open(name)
	if err != nil {
		return capacity.Results{}, err
	}
	defer f.Close()
	return capacity.ReadJSON(f)
}

func readBench(name string) ([]capacity.Series, error) {
	if name == "-" {
		return capacity.ParseBench(os.Stdin)
	}
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return capacity.ParseBench(f)
}

func saveResults(name string, r capacity.Results) error {
	if name == "" {
		return nil
	}
	f, err := os.Create(name)
	if err != nil {
		return err
	}
	if err := capacity.WriteJSON(f, r); err != nil {
		f.Close()
		return err
	}
	return f.Close()
}

func updatePage(name string, tables []capacity.Table) error {
	if name == "" {
		return nil
	}
	old, err := os.ReadFile(name)
	if err != nil {
		return err
	}
	page, err := capacity.ReplaceTables(string(old), tables)
	if err != nil {
		return err
	}
	return os.WriteFile(name, []byte(page), 0o644)
}
