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

func readPage(t *testing.T) string {
	t.Helper()
	page, err := os.ReadFile("../../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	return string(page)
}

// rows returns the first cells of the table under a heading, joined by " | ".
func rows(page, heading string, cells int) []string {
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

// flagRows returns the flags that the page names for a command, with those of
// the shared tables to which its section points.
func flagRows(page, name string) []string {
	heading := "### `" + name + "`"
	out := rows(page, heading, 3)
	_, section, _ := strings.Cut(page, "\n"+heading+"\n")
	section, _, _ = strings.Cut(section, "\n#")
	for _, shared := range []string{"Router flags", "Log flags"} {
		if strings.Contains(section, "["+strings.ToLower(shared)+"]") {
			out = append(out, rows(page, "### "+shared, 3)...)
		}
	}
	return out
}

// options returns the flags of a group as rows: flag, environment variable, default.
func options(groups []*flags.Group) []string {
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
		out = append(out, options(g.Groups())...)
	}
	slices.Sort(out)
	return out
}

func compare(t *testing.T, what string, page, code []string) {
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

// Guards against a flag, environment variable or default that the page for
// operators lacks or still names, and a command without examples or exit codes.
func TestPageNamesEveryFlag(t *testing.T) {
	var global settings.Global
	p, err := settings.Parser("kumquatsill", commands(streams{}), &global)
	if err != nil {
		t.Fatal(err)
	}
	page := readPage(t)
	var walk func(prefix string, list []*flags.Command)
	walk = func(prefix string, list []*flags.Command) {
		for _, c := range list {
			name := prefix + " " + c.Name
			if !strings.Contains(c.LongDescription, "Examples:\n") {
				t.Errorf("%s --help has no examples", name)
			}
			walk(name, c.Commands())
			if len(c.Commands()) == 0 {
				compare(t, name, flagRows(page, name), options([]*flags.Group{c.Group}))
			}
		}
	}
	walk("kumquatsill", p.Commands())
}

// Guards against a metric or log line that the page lacks or still names.
func TestPageNamesEveryMetricAndLogLine(t *testing.T) {
	metric := regexp.MustCompile(`^kumquatsill_[a-z_]+`)
	metrics, lines := map[string]bool{}, map[string]bool{}
	for _, file := range sources(t) {
		ast.Inspect(file, func(n ast.Node) bool {
			switch n := n.(type) {
			case *ast.BasicLit:
				if name := metric.FindString(text(n)); name != "" {
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
		t.Fatalf("found %d metrics and %d log lines in the code, the search is broken", len(metrics), len(lines))
	}
	page := readPage(t)
	compare(t, "metrics", rows(page, "## Metrics", 1), slices.Sorted(maps.Keys(metrics)))
	compare(t, "log lines", rows(page, "## Log lines", 1), slices.Sorted(maps.Keys(lines)))
}

func text(n ast.Node) string {
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

// logLine returns the message of a call to a logger.
func logLine(call *ast.CallExpr) string {
	method, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || len(call.Args) == 0 || !slices.Contains([]string{"Debug", "Info", "Warn", "Error"}, method.Sel.Name) {
		return ""
	}
	return text(call.Args[0])
}

// sources parses the program's files, without tests.
func sources(t *testing.T) []*ast.File {
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

// Guards against an exit code that the page lacks.
func TestPageNamesEveryExitCode(t *testing.T) {
	codes := []int{settings.ExitOK, settings.ExitFailure, settings.ExitUsage, settings.ExitRefused, settings.ExitConflict, settings.ExitUnreachable, settings.ExitVerificationFailed, settings.ExitNotFound}
	var want []string
	for _, code := range codes {
		want = append(want, "`"+strconv.Itoa(code)+"`")
		if !strings.Contains(exitCodes, strconv.Itoa(code)+" ") {
			t.Errorf("the help text does not name exit code %d", code)
		}
	}
	compare(t, "exit codes", rows(readPage(t), "## Exit codes", 1), want)
}

// Guards against completion that does not know a subcommand.
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

// Guards against example notes that a router would refuse or that do not
// match the deployments of the design page.
func TestExampleNotes(t *testing.T) {
	engines := map[string]int{example.Pompas: 18, example.Karoo: 12}
	for _, name := range example.DeploymentNames {
		n := decodeOutput[note.Note](t, cli("", "note", "example", name).want(t, settings.ExitOK))
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
