package main

import (
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/kumquatsill/kumquatsill/app/settings"
)

// Guards against verification that accepts an altered, truncated, reordered or
// padded audit file, and against verification that rejects an intact one.
func TestAuditExportAndVerify(t *testing.T) {
	d := startFleet(t)
	for _, id := range []string{"one", "two", "three"} {
		if status := callUntilServed(t, d, d.FirstKey(), id); status != http.StatusOK {
			t.Fatalf("status %d", status)
		}
		// Wait until the request is in the log, so that each request gets its own
		// batch and the file has several lines.
		eventually(t, settings.ExitOK, "explain", id, "--router", d.OperatorAddrs()[1])
	}
	file := filepath.Join(t.TempDir(), "audit.jsonl")
	runCLI("", "audit", "export", "--output", file, "--log-addr", d.LogAddr()).want(t, settings.ExitOK, "records from offset 0")
	runCLI("", "audit", "verify", "--log-addr", d.LogAddr()).want(t, settings.ExitOK, "entries")
	runCLI("", "audit", "verify", file).want(t, settings.ExitOK)
	data, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if strings.Contains(string(data), d.FirstKey()) {
		t.Error("the audit trail holds a key")
	}
	lines := strings.SplitAfter(strings.TrimSuffix(string(data), "\n"), "\n")
	if len(lines) < 4 {
		t.Fatalf("%d lines, want a header and at least three records", len(lines))
	}
	for name, c := range map[string]struct {
		change func([]string) []string
		want   string
	}{
		"altered path": {func(l []string) []string { l[2] = strings.Replace(l[2], `"path":"`, `"path":"/x`, 1); return l }, "altered"},
		"added field":  {func(l []string) []string { l[2] = strings.Replace(l[2], `"chain"`, `"extra":1,"chain"`, 1); return l }, "altered"},
		"no JSON":      {func(l []string) []string { l[2] = "{" + l[2]; return l }, "does not decode"},
		"cut line":     {func(l []string) []string { return slices.Delete(l, 2, 3) }, "missing"},
		"cut end":      {func(l []string) []string { return l[:len(l)-1] }, "missing at the end"},
		"swapped lines": {func(l []string) []string {
			l[2], l[3] = strings.TrimSpace(l[3])+"\n", strings.TrimSpace(l[2])+"\n"
			return l
		}, "reordered"},
		"repeated line": {func(l []string) []string { return slices.Insert(l, 2, l[1]) }, "reordered"},
		"other kind":    {func(l []string) []string { l[2] = strings.Replace(l[2], `"audit_batch"`, `"other"`, 1); return l }, "of kind"},
	} {
		t.Run(name, func(t *testing.T) {
			changed := strings.Join(c.change(slices.Clone(lines)), "")
			if changed == string(data) {
				t.Fatal("the case leaves the file unchanged")
			}
			runCLI("", "audit", "verify", writeFile(t, "audit.jsonl", changed)).want(t, settings.ExitVerificationFailed, c.want)
			runCLI(changed, "audit", "verify", "-", "--json").want(t, settings.ExitVerificationFailed, `"kind"`)
		})
	}
	runCLI("", "audit", "verify", "-").want(t, settings.ExitUsage, "empty")
	runCLI(lines[1], "audit", "verify", "-").want(t, settings.ExitUsage, "header")
	runCLI("", "audit", "verify", filepath.Join(t.TempDir(), "none")).want(t, settings.ExitUsage)
	runCLI("", "audit", "verify").want(t, settings.ExitUsage, "--log-addr is missing")
}
