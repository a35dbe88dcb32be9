package main

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	flags "github.com/jessevdk/go-flags"
	"github.com/kumquatsill/kumquatsill/app/example"
	"github.com/kumquatsill/kumquatsill/app/settings"
	"github.com/kumquatsill/kumquatsill/core/note"
)

func readOperationsPage(t *testing.T) string {
	t.Helper()
	page, err := os.ReadFile("../../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	return string(page)
}

// tableRows returns the rows of the table under a heading, sorted. A row is its
// first cells, joined by " | ".
func tableRows(page, heading string, cells int) []string {
	_, rest, _ := strings.Cut(page, "\n"+heading+"\n")
	var out []string
	for line := range strings.Lines(rest) {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "#") {
			break
		}
		if !strings.HasPrefix(line, "| `") {
			continue
		}
		parts := strings.Split(strings.Trim(line, "| "), " | ")
		out = append(out, strings.Join(parts[:min(cells, len(parts))], " | "))
	}
	slices.Sort(out)
	return out
}

// flagRows returns the flags that the page lists for a command, including those
// of the shared tables that its section links to.
func flagRows(page, name string) []string {
	heading := "### `" + name + "`"
	out := tableRows(page, heading, 3)
	_, section, _ := strings.Cut(page, "\n"+heading+"\n")
	section, _, _ = strings.Cut(section, "\n#")
	for _, shared := range []string{"Router flags", "Log flags"} {
		if strings.Contains(section, "["+strings.ToLower(shared)+"]") {
			out = append(out, tableRows(page, "### "+shared, 3)...)
		}
	}
	return out
}

// optionRows returns the flags of groups as rows: flag, environment variable,
// default.
func optionRows(groups []*flags.Group) []string {
	code := func(s string) string {
		if s == "" {
			return "-"
		}
		return "`" + s + "`"
	}
	var out []string
	for _, g := range groups {
		for _, o := range g.Options() {
			if o.LongName != "help" && o.LongName != "version" {
				out = append(out, code("--"+o.LongNameWithNamespace())+" | "+code(o.EnvKeyWithNamespace())+" | "+code(strings.Join(o.Default, ",")))
			}
		}
		out = append(out, optionRows(g.Groups())...)
	}
	slices.Sort(out)
	return out
}

// compareRows reports each row that only one of page and code has.
func compareRows(t *testing.T, what string, page, code []string) {
	t.Helper()
	for _, row := range code {
		if !slices.Contains(page, row) {
			t.Errorf("%s: docs/OPERATIONS.md lacks\n| %s |", what, row)
		}
	}
	for _, row := range page {
		if !slices.Contains(code, row) {
			t.Errorf("%s: docs/OPERATIONS.md has a row that the code does not\n| %s |", what, row)
		}
	}
}

// Guards against a flag, environment variable or default that docs/OPERATIONS.md
// leaves out or lists although it is gone, and a command without examples.
func TestPageNamesEveryFlag(t *testing.T) {
	var global settings.Global
	p, err := settings.Parser("kumquatsill", commands(streams{}), &global)
	if err != nil {
		t.Fatal(err)
	}
	page := readOperationsPage(t)
	var walk func(prefix string, list []*flags.Command)
	walk = func(prefix string, list []*flags.Command) {
		for _, c := range list {
			name := prefix + " " + c.Name
			if !strings.Contains(c.LongDescription, "Examples:\n") {
				t.Errorf("%s --help has no examples", name)
			}
			walk(name, c.Commands())
			if len(c.Commands()) == 0 {
				compareRows(t, name, flagRows(page, name), optionRows([]*flags.Group{c.Group}))
			}
		}
	}
	walk("kumquatsill", p.Commands())
}

// Guards against a metric or log line that docs/OPERATIONS.md leaves out or lists
// although it is gone.
func TestPageNamesEveryMetricAndLogLine(t *testing.T) {
	metric := regexp.MustCompile(`^kumquatsill_[a-z_]+`)
	metrics, lines := map[string]bool{}, map[string]bool{}
	for _, file := range parseSources(t) {
		ast.Inspect(file, func(n ast.Node) bool {
			switch n := n.(type) {
			case *ast.BasicLit:
				if name := metric.FindString(stringLiteral(n)); name != "" {
					metrics["`"+name+"`"] = true
				}
			case *ast.CallExpr:
				if line := logLine(n); line != "" {
					lines["`"+line+"`"] = true
				}
			}
			return true
		})
	}
	if len(metrics) < 10 || len(lines) < 5 {
		t.Fatalf("found only %d metrics and %d log lines in the code; the search must be broken", len(metrics), len(lines))
	}
	page := readOperationsPage(t)
	compareRows(t, "metrics", tableRows(page, "## Metrics", 1), slices.Sorted(maps.Keys(metrics)))
	compareRows(t, "log lines", tableRows(page, "## Log lines", 1), slices.Sorted(maps.Keys(lines)))
}

// stringLiteral returns the value of a string literal, or "" for other nodes.
func stringLiteral(n ast.Node) string {
	lit, ok := n.(*ast.BasicLit)
	if !ok || lit.Kind != token.STRING {
		return ""
	}
	value, err := strconv.Unquote(lit.Value)
	if err != nil {
		return ""
	}
	return value
}

// logLine returns the message of a call to a logger, or "" for other calls.
func logLine(call *ast.CallExpr) string {
	method, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || len(call.Args) == 0 || !slices.Contains([]string{"Debug", "Info", "Warn", "Error"}, method.Sel.Name) {
		return ""
	}
	return stringLiteral(call.Args[0])
}

// parseSources parses the source files under app and core, without tests.
func parseSources(t *testing.T) []*ast.File {
	t.Helper()
	var files []*ast.File
	for _, root := range []string{"../..", "../../../core"} {
		err := filepath.WalkDir(root, func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
			files = append(files, file)
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return files
}

// Guards against an exit code that docs/OPERATIONS.md or the help texts leave out.
func TestPageNamesEveryExitCode(t *testing.T) {
	codes := []int{settings.ExitOK, settings.ExitFailure, settings.ExitUsage, settings.ExitRefused, settings.ExitConflict, settings.ExitUnreachable, settings.ExitVerificationFailed, settings.ExitNotFound}
	var want []string
	for _, code := range codes {
		want = append(want, "`"+strconv.Itoa(code)+"`")
		if !strings.Contains(exitCodes, strconv.Itoa(code)+" ") {
			t.Errorf("the help text does not name exit code %d", code)
		}
	}
	compareRows(t, "exit codes", tableRows(readOperationsPage(t), "## Exit codes", 1), want)
}

// Guards against shell completion that leaves out subcommands.
func TestCompletion(t *testing.T) {
	t.Setenv("GO_FLAGS_COMPLETION", "1")
	var global settings.Global
	p, err := settings.Parser("kumquatsill", commands(streams{}), &global)
	if err != nil {
		t.Fatal(err)
	}
	var items []string
	p.CompletionHandler = func(found []flags.Completion) {
		for _, c := range found {
			items = append(items, c.Item)
		}
	}
	if _, err := p.ParseArgs([]string{"note", "s"}); err != nil {
		t.Fatal(err)
	}
	if !slices.Equal(items, []string{"show", "status", "submit"}) {
		t.Errorf("completions of \"note s\": %v", items)
	}
}

// Guards against example notes that a router would refuse, or that differ from
// the deployments that the design page describes.
func TestExampleNotes(t *testing.T) {
	engines := map[string]int{example.Pompas: 18, example.Karoo: 12}
	for _, name := range example.DeploymentNames {
		n := decodeOutput[note.Note](t, runCLI("", "note", "example", name).want(t, settings.ExitOK))
		cfg, err := note.Apply(note.Empty(), n)
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		perKind, domains := map[note.EndpointKind]int{}, map[string]int{}
		for _, e := range cfg.Endpoints {
			perKind[e.Kind]++
			domains[string(e.Domain)]++
		}
		if perKind[note.KindEngine] != engines[name] || perKind[note.KindService] != 3 || len(domains) != 3 || len(cfg.Accounts) != 5 {
			t.Errorf("%s: endpoints %v, domains %v, %d accounts", name, perKind, domains, len(cfg.Accounts))
		}
		if tail := cfg.Policy.TTFTWeight > cfg.Policy.CacheHitWeight; tail != (name == example.Pompas) {
			t.Errorf("%s: policy %+v", name, cfg.Policy)
		}
	}
}
