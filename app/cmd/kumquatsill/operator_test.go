package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/kumquatsill/kumquatsill/app/dev"
	"github.com/kumquatsill/kumquatsill/app/operator"
	"github.com/kumquatsill/kumquatsill/app/settings"
	"github.com/kumquatsill/kumquatsill/app/transport"
	"github.com/kumquatsill/kumquatsill/core/note"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/core/suspect"
)

// waitTimeout limits each wait for an expected state. It only keeps a failing test
// from hanging and is no bound that a test checks.
const waitTimeout = 2 * time.Minute

// unreachableAddr is an address at which nothing listens: port 1 is reserved.
const unreachableAddr = "127.0.0.1:1"

// startFleet starts a fleet with two routers in this process.
func startFleet(t *testing.T) *dev.Fleet {
	t.Helper()
	d, err := dev.New(dev.Config{Listen: "127.0.0.1:0", Routers: 2, Engines: 2, Seed: 1, Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := d.Drain(); err != nil {
			t.Errorf("drain: %v", err)
		}
	})
	if err := d.StartAndWait(waitTimeout); err != nil {
		t.Fatal(err)
	}
	return d
}

// result is the exit code and the output of a command.
type result struct {
	code     int
	out, err string
}

func runCLI(input string, args ...string) result {
	var out, errs bytes.Buffer
	code := run(streams{in: strings.NewReader(input), out: &out, err: &errs}, args)
	return result{code, out.String(), errs.String()}
}

func (r result) want(t *testing.T, code int, parts ...string) result {
	t.Helper()
	if r.code != code {
		t.Errorf("exit code %d, want %d\n%s%s", r.code, code, r.out, r.err)
	}
	for _, part := range parts {
		if !strings.Contains(r.out+r.err, part) {
			t.Errorf("no %q in the output:\n%s%s", part, r.out, r.err)
		}
	}
	return r
}

func decodeOutput[T any](t *testing.T, r result) T {
	t.Helper()
	var value T
	if err := json.Unmarshal([]byte(r.out), &value); err != nil {
		t.Fatalf("%v in:\n%s%s", err, r.out, r.err)
	}
	return value
}

func accountJSON(base int, id string) string {
	return fmt.Sprintf(`{"based_on":%d,"author":"ann","reason":"more","added":{"accounts":[{"id":%q,"rate":10,"burst":100}]}}`, base, id)
}

func writeFile(t *testing.T, name, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// callUntilServed sends a request until the router has read the log and has
// tokens for the account, and returns the last status.
func callUntilServed(t *testing.T, d *dev.Fleet, key, id string) int {
	t.Helper()
	for end := time.Now().Add(waitTimeout); ; time.Sleep(100 * time.Millisecond) {
		status := sendRequest(t, d, key, id)
		starting := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
		if !starting || time.Now().After(end) {
			return status
		}
	}
}

func sendRequest(t *testing.T, d *dev.Fleet, key, id string) int {
	t.Helper()
	body := `{"model":"assistant","max_tokens":3,"messages":[{"role":"user","content":"Hello"}]}`
	req, err := http.NewRequest(http.MethodPost, "http://"+d.CallerAddr()+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("X-Request-Id", id)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		t.Fatal(err)
	}
	return res.StatusCode
}

// eventually repeats a command until it exits with the code.
func eventually(t *testing.T, code int, args ...string) result {
	t.Helper()
	for end := time.Now().Add(waitTimeout); ; time.Sleep(100 * time.Millisecond) {
		if r := runCLI("", args...); r.code == code || time.Now().After(end) {
			return r.want(t, code)
		}
	}
}

// Guards against a note that takes no effect, that is applied twice when it is
// submitted again, or that another router cannot look up, and against show, check
// and diff that do not match the configuration in force.
func TestNoteCommands(t *testing.T) {
	d := startFleet(t)
	first, second := d.OperatorAddrs()[0], d.OperatorAddrs()[1]
	runCLI(accountJSON(1, "beta"), "note", "submit", "-", "--id", "change-1", "--router", first).want(t, settings.ExitOK, "accepted, revision 2")
	eventually(t, settings.ExitOK, "note", "status", "change-1", "--router", second).want(t, settings.ExitOK, "change-1", "accepted", "ann")
	runCLI(accountJSON(1, "beta"), "note", "submit", "-", "--id", "change-1", "--router", unreachableAddr, "--router", second).want(t, settings.ExitOK, "accepted, revision 2")
	runCLI("", "note", "history", "--router", second).want(t, settings.ExitOK, "dev-note", "change-1")

	base := runCLI("", "note", "show", "--json", "--router", first)
	if got := decodeOutput[note.Config](t, base); got.Revision != 2 || got.Accounts["beta"].Rate != 10 {
		t.Errorf("configuration in force: %+v", got)
	}
	file := writeFile(t, "base.json", base.out)
	runCLI(accountJSON(2, "gamma"), "note", "check", "-", "--base", file).want(t, settings.ExitOK, "can become revision 3")
	runCLI(accountJSON(1, "gamma"), "note", "check", "-", "--base", file).want(t, settings.ExitConflict, "based_on", "revision 2")
	runCLI(accountJSON(2, "beta"), "note", "check", "-", "--router", first).want(t, settings.ExitRefused, "added.accounts[0]", "present already")
	runCLI(accountJSON(2, "gamma"), "note", "submit", "-", "--router", first).want(t, settings.ExitOK, "revision 3")
	diff := decodeOutput[note.Note](t, runCLI("", "note", "diff", file, "--json", "--router", first))
	if diff.BasedOn != 2 || len(diff.Added.Accounts) != 1 || diff.Added.Accounts[0].ID != "gamma" {
		t.Errorf("difference %+v, want the account gamma on revision 2", diff)
	}
	runCLI("", "note", "diff", file, "--router", first).want(t, settings.ExitOK, "from revision 2 to revision 3", "gamma")
	runCLI("", "note", "show", "--router", first).want(t, settings.ExitOK, "revision 3", "engine-1", "/orders", "tail weight")
}

// Guards against two concurrent notes based on the same revision that are both
// reported as accepted, and against a rejection that does not name the note that
// was accepted.
func TestConcurrentNoteSubmissions(t *testing.T) {
	d := startFleet(t)
	var wg sync.WaitGroup
	results := make([]result, 2)
	for i, addr := range d.OperatorAddrs() {
		wg.Go(func() {
			results[i] = runCLI(accountJSON(1, fmt.Sprintf("racer-%d", i)), "note", "submit", "-", "--id", fmt.Sprintf("race-%d", i), "--router", addr)
		})
	}
	wg.Wait()
	winner := 0
	if results[1].code == settings.ExitOK {
		winner = 1
	}
	results[winner].want(t, settings.ExitOK, "accepted, revision 2")
	results[1-winner].want(t, settings.ExitConflict, "beaten", "revision 2 is note race-"+fmt.Sprint(winner))
	runCLI("", "note", "status", fmt.Sprintf("race-%d", 1-winner), "--router", d.OperatorAddrs()[0]).want(t, settings.ExitConflict)
}

// Guards against bad input that is accepted, that is reported only by its first
// fault, or whose exit code is that of another kind of failure.
func TestBadInput(t *testing.T) {
	d := startFleet(t)
	router := d.OperatorAddrs()[0]
	bad := `{"based_on":1,"added":{"accounts":[{"id":"x y","rate":0,"burst":-1}],"keys":[{"hash":"short","account":"nobody"}]}}`
	fields := []string{"added.accounts[0].id", "added.accounts[0].rate", "added.accounts[0].burst", "added.keys[0].hash", "added.keys[0].account"}
	runCLI(bad, "note", "submit", "-", "--router", router).want(t, settings.ExitRefused, fields...)
	runCLI(bad, "note", "check", "-", "--router", router).want(t, settings.ExitRefused, fields...)
	runCLI(accountJSON(1, "beta"), "note", "submit", "-", "--id", "a.1", "--router", router).want(t, settings.ExitRefused, "id must be")
	runCLI(`{"based_on":1,"bogus":1}`, "note", "submit", "-", "--router", router).want(t, settings.ExitUsage, "bogus")
	runCLI(`{"based_on":`, "note", "check", "-", "--empty-base").want(t, settings.ExitUsage, "JSON")
	runCLI("", "note", "check", filepath.Join(t.TempDir(), "none"), "--empty-base").want(t, settings.ExitUsage)
	runCLI("", "note", "submit").want(t, settings.ExitUsage, "FILE is missing")
	runCLI("", "note", "show", "--router", "nowhere", "--timeout", "soon").want(t, settings.ExitUsage, "--router", "--timeout")
	runCLI("", "note", "show", "surplus", "--router", router).want(t, settings.ExitUsage, "surplus")
	runCLI("", "note", "example", "other").want(t, settings.ExitUsage, "pompas")
	runCLI("", "note", "history", "--max", "0").want(t, settings.ExitUsage, "--max")
	runCLI("", "note", "bogus").want(t, settings.ExitUsage)
	runCLI("", "key", "create", "--account", "a b", "--based-on=-1").want(t, settings.ExitUsage, "--account", "--based-on")
	runCLI("", "note", "status", "none", "--router", router).want(t, settings.ExitNotFound)
	runCLI("", "explain", "none", "--router", router).want(t, settings.ExitNotFound, "neither")
	runCLI("", "quarantine", "release", "example", "none", "--router", router).want(t, settings.ExitNotFound)
}

// Guards against an unreachable router or log that is reported as success or
// as a refusal, and against a failed submission that does not say whether the
// note was sent.
func TestUnreachable(t *testing.T) {
	for _, args := range [][]string{
		{"note", "show"}, {"note", "history"}, {"note", "status", "x"}, {"status"}, {"explain", "x"},
		{"quarantine", "list"}, {"quarantine", "release", "a", "f"},
	} {
		runCLI("", append(args, "--router", unreachableAddr)...).want(t, settings.ExitUnreachable, unreachableAddr)
	}
	runCLI(accountJSON(0, "a"), "note", "submit", "-", "--router", unreachableAddr).want(t, settings.ExitUnreachable, "was not sent")
	runCLI("", "audit", "verify", "--log-addr", unreachableAddr).want(t, settings.ExitUnreachable)
	file := filepath.Join(t.TempDir(), "audit.jsonl")
	runCLI("", "audit", "export", "--output", file, "--log-addr", unreachableAddr).want(t, settings.ExitUnreachable)
	if left, err := os.ReadDir(filepath.Dir(file)); err != nil || len(left) > 0 {
		t.Errorf("a failed export left %v, %v", left, err)
	}
}

// Guards against a created key that is not admitted, a hash that does not match
// the secret, and secrets that repeat.
func TestKeyCreate(t *testing.T) {
	d := startFleet(t)
	args := []string{"key", "create", "--account", "example", "--based-on", "1", "--json"}
	key, other := decodeOutput[newKey](t, runCLI("", args...)), decodeOutput[newKey](t, runCLI("", args...))
	if key.Secret == other.Secret || len(key.Secret) < 40 || key.Hash != note.HashKey(key.Secret) {
		t.Errorf("keys %+v and %+v", key, other)
	}
	fragment, err := json.Marshal(key.Note)
	if err != nil {
		t.Fatal(err)
	}
	if strings.Contains(string(fragment), key.Secret) {
		t.Error("the note contains the secret")
	}
	if status := callUntilServed(t, d, key.Secret, "early"); status != http.StatusUnauthorized {
		t.Errorf("status %d before the note, want 401", status)
	}
	runCLI(string(fragment), "note", "submit", "-", "--router", d.OperatorAddrs()[0]).want(t, settings.ExitOK, "revision 2")
	if status := callUntilServed(t, d, key.Secret, "late"); status != http.StatusOK {
		t.Errorf("status %d after the note, want 200", status)
	}
}

// Guards against a request that its own router or another one cannot explain, and
// against a status that leaves out part of the fleet.
func TestExplainAndStatus(t *testing.T) {
	d := startFleet(t)
	if status := callUntilServed(t, d, d.FirstKey(), "refill-1"); status != http.StatusOK {
		t.Fatalf("status %d", status)
	}
	eventually(t, settings.ExitOK, "explain", "refill-1", "--router", d.OperatorAddrs()[0]).want(t, settings.ExitOK, "memory of the router", "engine-", "ran")
	var got proto.ExplainReply
	// Earlier requests with the same id were refused while the fleet started.
	for end := time.Now().Add(waitTimeout); (got.Request == nil || got.Request.Verdict != proto.Ran) && time.Now().Before(end); {
		got = decodeOutput[proto.ExplainReply](t, eventually(t, settings.ExitOK, "explain", "refill-1", "--json", "--router", d.OperatorAddrs()[1]))
	}
	if got.Source != proto.ExplainedByAudit || got.Request.Revision != 1 || len(got.Request.Attempts) != 1 || got.Request.Attempts[0].Reason == "" {
		t.Errorf("the other router explains %+v", got)
	}
	status := decodeOutput[proto.StatusReply](t, runCLI("", "status", "--json", "--router", d.OperatorAddrs()[0]))
	reported := 0
	for _, e := range status.Endpoints {
		if e.ReportAge >= 0 && e.Report.Incarnation != "" {
			reported++
		}
	}
	if len(status.Endpoints) != 3 || reported == 0 || !status.Freshness.Ready || !status.Freshness.LogReachable {
		t.Errorf("status %+v", status)
	}
	page := readOperationsPage(t)
	for _, c := range status.Counters {
		if name := c.Name; !strings.Contains(page, "`"+name+"`") && !strings.HasPrefix(name, "failed_") {
			t.Errorf("docs/OPERATIONS.md does not name the counter %s", name)
		}
	}
	runCLI("", "status", "--router", d.OperatorAddrs()[0]).want(t, settings.ExitOK, "routers (", "endpoints (3)", "counters (")
	runCLI("", "quarantine", "list", "--router", d.OperatorAddrs()[0]).want(t, settings.ExitOK, "no fingerprint")
}

// Guards against a quarantine that the commands cannot release, or that they
// still list afterwards.
func TestQuarantineCommands(t *testing.T) {
	d := startFleet(t)
	body, err := json.Marshal(suspect.Quarantine{Key: suspect.Key{Account: "example", Fingerprint: "f00d"}})
	if err != nil {
		t.Fatal(err)
	}
	reply := make(chan proto.Message, 1)
	log := transport.NewLogClient(transport.NewClient(nil), d.LogAddr(), transport.NewMetrics(metrics.NewSet()), func(env proto.Envelope) bool {
		reply <- env.Msg
		return true
	})
	log.Send(proto.Envelope{From: proto.Addr{Role: proto.RoleOperator}, To: proto.Log, Msg: proto.LogAppend{
		Call: 1, Stream: proto.StreamConfig, Records: []proto.Record{{ID: "test.1", Kind: suspect.KindQuarantine, Body: body}},
	}})
	if got, ok := (<-reply).(proto.LogAppended); !ok {
		t.Fatalf("append: %+v", got)
	}
	if err := log.Stop(); err != nil {
		t.Fatal(err)
	}
	release := []string{"quarantine", "release", "example", "f00d", "--operator", "ann", "--router", d.OperatorAddrs()[0]}
	eventually(t, settings.ExitOK, release...).want(t, settings.ExitOK, "released")
	runCLI("", release...).want(t, settings.ExitNotFound, "neither quarantined nor suspect")
	runCLI("", "quarantine", "list", "--router", d.OperatorAddrs()[0]).want(t, settings.ExitOK, "no fingerprint")
}

// Guards against a callers' listener that accepts operator messages, and against
// an internal listener that accepts them from a sender that is not an operator.
func TestOperatorMessagesOnlyOnInternalListener(t *testing.T) {
	d := startFleet(t)
	client := transport.NewClient(nil)
	defer client.Close()
	query := proto.ConfigQuery{ID: "q"}
	_, err := operator.Call[proto.ConfigReply](t.Context(), operator.New(client, []string{d.CallerAddr()}), query)
	var status *transport.StatusError
	if !errors.As(err, &status) || status.Status/100 != 4 {
		t.Errorf("operator query at the callers' listener: %v, want a 4xx status", err)
	}
	env := proto.Envelope{From: proto.RouterAddr("r"), To: proto.Addr{Role: proto.RoleRouter}, Msg: query}
	err = client.PostEnvelope(t.Context(), d.OperatorAddrs()[0], env, func(proto.Envelope) { t.Error("a router got the reply to an operator query") })
	if !errors.As(err, &status) {
		t.Errorf("operator query from a router: %v, want a refusal", err)
	}
}
