package soak

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// Mutation is a change to the router's source that breaks one guarantee. A run
// with it shows whether the checks detect the violation.
type Mutation struct {
	// Guarantee names the guarantee that the run must report as broken.
	Guarantee string
	edits     []edit
}

// edit replaces a text that occurs exactly once in a file. The path is relative
// to the root of the workspace.
type edit struct{ file, old, new string }

// Mutations holds one mutation for each guarantee.
var Mutations = []Mutation{
	{"at-most-once", []edit{{"core/relay/relay.go", "ran > 0 && !r.route.Repeatable()", "false"}}},
	{"true-not-run", []edit{{"app/front/serve.go", "status = http.StatusBadGateway", "status = http.StatusServiceUnavailable"}}},
	{"answer-match", []edit{{"app/front/response.go", "body: body, release", "body: []byte(strings.ToUpper(string(body))), release"}}},
	{"stream-integrity", []edit{{"app/front/response.go", "if errors.Is(err, io.EOF) {", "if err != nil {"}}},
	{"key-secrecy", []edit{{"platform/headers.go", "perConnection[name], name == headerAuthorization, ", "perConnection[name], "}}},
	{"account-binding", []edit{{"platform/headers.go", "h.Set(headerAccount, string(a.Account))", "h.Set(headerAccount, \"\")"}}},
	{"cache-isolation", []edit{{"app/front/serve.go", "x.info.Model, version, x.front", "x.info.Model, 1, x.front"}}},
	{"key-withdrawal", []edit{{"app/front/watch.go", "old != nil && cfg.Revision <= old.Revision", "old != nil"}}},
	{"recovery", []edit{{"app/front/watch.go", "		backoff = min(", "		return nil\n		backoff = min("}}},
	{"harmful-part", []edit{{"core/crash/entry.go", "blockThreshold = 3", "blockThreshold = 3000"}}},
	{"endpoint-limit", []edit{{"core/endpointstate/senders.go", "return rate / float64(senders)", "return 50 * rate / float64(senders)"}}},
	{"leaving-endpoint", []edit{{"platform/headers.go", "info.Leaving = ", "info.Leaving = false && "}}},
	{"endpoint-pause", []edit{{"platform/headers.go", "info.Pause = decodePause", "_ = decodePause"}}},
	{"no-own-end", []edit{{"app/cmd/kumquatsill/front.go", "		for range hangups {", "		for range hangups {\n			os.Exit(3)"}}},
}

// Build builds the mutated router into dir and returns the path of the binary.
// It fails unless each text to replace occurs exactly once in its file.
func (m *Mutation) Build(root, dir string) (string, error) {
	overlay := struct{ Replace map[string]string }{map[string]string{}}
	for i, e := range m.edits {
		path := filepath.Join(root, e.file)
		data, err := os.ReadFile(path)
		if err != nil {
			return "", err
		}
		if n := strings.Count(string(data), e.old); n != 1 {
			return "", fmt.Errorf("mutation of %s: the text %q occurs %d times in %s, want once", m.Guarantee, e.old, n, e.file)
		}
		mutant := filepath.Join(dir, fmt.Sprintf("mutant-%d.go", i))
		if err := os.WriteFile(mutant, []byte(strings.Replace(string(data), e.old, e.new, 1)), 0o600); err != nil {
			return "", err
		}
		overlay.Replace[path] = mutant
	}
	data, err := json.Marshal(overlay)
	if err != nil {
		return "", err
	}
	list := filepath.Join(dir, "overlay.json")
	if err := os.WriteFile(list, data, 0o600); err != nil {
		return "", err
	}
	return build(dir, "-overlay", list)
}

// Build builds the router into dir and returns the path of the binary.
func Build(dir string) (string, error) { return build(dir) }

func build(dir string, flags ...string) (string, error) {
	binary := filepath.Join(dir, "kumquatsill")
	args := append([]string{"build", "-o", binary}, flags...)
	out, err := exec.Command("go", append(args, "github.com/kumquatsill/kumquatsill/app/cmd/kumquatsill")...).CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w\n%s", err, out)
	}
	return binary, nil
}

// DetectedBy reports whether a result has a violation of the mutation's guarantee.
func (m *Mutation) DetectedBy(r Result) bool {
	for _, v := range r.Violations {
		if v.Guarantee == m.Guarantee {
			return true
		}
	}
	return false
}
