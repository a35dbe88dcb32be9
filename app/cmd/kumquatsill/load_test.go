package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/kumquatsill/kumquatsill/app/settings"
)

// Guards against reporting only the first bad flag, and against error messages
// that contain a key.
func TestLoadListsAllBadFlags(t *testing.T) {
	keys := filepath.Join(t.TempDir(), "keys")
	if err := os.WriteFile(keys, []byte("# keys\n\nvaal=good-key-of-vaal\nsecret-without-account\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	r := runCLI("", "load", "--deployment", "karoo", "--key-file", keys, "--key", "tshwane=secret text", "--key", "nobody=k1", "--rate", "NaN",
		"--concurrency", "0", "--duration", "soon", "--time-limit", "0s", "--router", "nowhere", "--flood", "nobody", "--html", "/missing/x.html", "extra")
	r.want(t, settings.ExitUsage, "--key-file line 4", "--key number 1", `--key is for "nobody"`, "--key of account head-office is missing", "--rate", "--concurrency",
		"--duration", "--time-limit", "--router", "--flood", "--html", `"extra"`)
	if strings.Contains(r.err, "secret") || strings.Contains(r.err, "account vaal") {
		t.Errorf("the output holds a key, or reports a given key as missing:\n%s", r.err)
	}
	runCLI("", "load", "--deployment", "other").want(t, settings.ExitUsage, `--deployment is "other"`)
	runCLI("", "dev", "--deployment", "other").want(t, settings.ExitUsage, `--deployment is "other"`)
}

// Guards against a run that got no response but exits with success, or without
// its report and HTML page.
func TestLoadWithoutRouter(t *testing.T) {
	html := filepath.Join(t.TempDir(), "report.html")
	args := []string{"load", "--deployment", "karoo", "--router", unreachableAddr, "--max-requests", "3", "--rate", "1000", "--html", html}
	for _, id := range []string{"head-office", "west-rand", "east-rand", "tshwane", "vaal"} {
		args = append(args, "--key", id+"=key-of-"+id+"-0123456789")
	}
	runCLI("", args...).want(t, settings.ExitUnreachable, "router-unreachable  not_run  3", "prefix hit rate", "not visible", "3 sent")
	page, err := os.ReadFile(html)
	if err != nil || !strings.Contains(string(page), "router-unreachable") {
		t.Errorf("page: %v\n%s", err, page)
	}
}
