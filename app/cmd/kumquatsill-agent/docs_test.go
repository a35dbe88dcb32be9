package main

import (
	"os"
	"strings"
	"testing"

	flags "github.com/jessevdk/go-flags"
	"github.com/kumquatsill/kumquatsill/app/settings"
)

// Guards against docs/OPERATIONS.md missing a flag, environment variable or default
// of the agent, or listing one that no longer exists.
func TestPageNamesEveryFlag(t *testing.T) {
	data, err := os.ReadFile("../../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	var f agentFlags
	var global settings.Global
	p, err := settings.SingleCommandParser("kumquatsill-agent", longDescription, &f, &global)
	if err != nil {
		t.Fatal(err)
	}
	_, section, _ := strings.Cut(string(data), "\n### `kumquatsill-agent`\n")
	section, _, _ = strings.Cut(section, "\n#")
	count := 0
	var walk func(groups []*flags.Group)
	walk = func(groups []*flags.Group) {
		for _, g := range groups {
			walk(g.Groups())
			for _, o := range g.Options() {
				if o.LongName == "version" || o.LongName == "help" {
					continue
				}
				count++
				row := "| `--" + o.LongNameWithNamespace() + "` | `" + o.EnvKeyWithNamespace() + "` | "
				if d := strings.Join(o.Default, ","); d != "" {
					row += "`" + d + "` |"
				} else {
					row += "- |"
				}
				if !strings.Contains(section, row) {
					t.Errorf("docs/OPERATIONS.md lacks\n%s", row)
				}
			}
		}
	}
	walk(p.Groups())
	if named := strings.Count(section, "| `--"); named != count {
		t.Errorf("docs/OPERATIONS.md names %d flags, the agent has %d", named, count)
	}
}
