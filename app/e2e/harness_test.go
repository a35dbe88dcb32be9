package e2e_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/app/dev"
	"github.com/kumquatsill/kumquatsill/app/transport"
	"github.com/kumquatsill/kumquatsill/core/note"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/standin/engine"
	"github.com/kumquatsill/kumquatsill/standin/logsvc"
	"github.com/kumquatsill/kumquatsill/standin/orders"
	"github.com/kumquatsill/kumquatsill/standin/serve"
)

const (
	key = "ks-e2e-0123456789"
	// waitTimeout limits each wait for an expected event. It only keeps a failing
	// test from hanging and is no bound that a test checks.
	waitTimeout  = 30 * time.Second
	pollInterval = 20 * time.Millisecond
)

// binDir is the folder that holds the built programs.
var binDir string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "e2e")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	build := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "../cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "go build: %v\n%s", err, out)
		return 1
	}
	binDir = dir
	return m.Run()
}

// process is a running program.
type process struct {
	cmd *exec.Cmd
	// startLine holds the fields of the log line that ends in "started".
	startLine map[string]string
	exited    chan struct{}
	mu        sync.Mutex
	log       strings.Builder
}

// launch starts a program and waits for its log line that ends in "started".
func launch(t testing.TB, name string, args ...string) *process {
	t.Helper()
	p := &process{cmd: exec.Command(filepath.Join(binDir, name), args...), exited: make(chan struct{})}
	stderr, err := p.cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	started := make(chan map[string]string, 1)
	go p.readLog(stderr, started)
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.exited
		if t.Failed() {
			p.mu.Lock()
			defer p.mu.Unlock()
			t.Logf("%s %v:\n%s", name, args, p.log.String())
		}
	})
	select {
	case p.startLine = <-started:
	case <-p.exited:
		t.Fatalf("%s exited before its start line", name)
	case <-time.After(waitTimeout):
		t.Fatalf("%s printed no start line in time", name)
	}
	return p
}

// readLog collects the process's log, sends the fields of its start line to
// started, and waits for it to exit.
func (p *process) readLog(stderr io.Reader, started chan<- map[string]string) {
	lines := bufio.NewScanner(stderr)
	for lines.Scan() {
		p.mu.Lock()
		p.log.WriteString(lines.Text() + "\n")
		p.mu.Unlock()
		var fields map[string]string
		if json.Unmarshal(lines.Bytes(), &fields) == nil && strings.HasSuffix(fields["msg"], "started") {
			started <- fields
		}
	}
	_ = p.cmd.Wait()
	close(p.exited)
}

func (p *process) waitExit(t testing.TB) int {
	t.Helper()
	select {
	case <-p.exited:
	case <-time.After(waitTimeout):
		t.Fatal("the process did not exit in time")
	}
	return p.cmd.ProcessState.ExitCode()
}

// fleet is two routers and four agents as processes. The stand-ins of the log,
// the engines and the order service run in the test process. Engines 1 and 2
// serve "assistant", engine 3 serves "fast".
type fleet struct {
	t       testing.TB
	routers []*process
	agents  []*process
	hosts   []*serve.Server
	log     *logsvc.Service
	book    *orders.RunCounter
	// orders is the host of the order service.
	orders *serve.Server
}

func startFleet(t testing.TB) *fleet {
	t.Helper()
	f := &fleet{t: t, log: logsvc.New(logsvc.Config{Seed: 1}), book: orders.NewRunCounter()}
	logAddr := f.host(f.log)
	n := note.Note{Added: note.Items{
		Accounts: []note.Account{{ID: "acme", Rate: 10_000_000, Burst: 100_000_000}},
		Keys:     []note.Key{{Hash: note.HashKey(key), Account: "acme"}},
		Models:   []note.Model{{Name: "assistant", Version: "v1"}, {Name: "fast", Version: "v1"}},
		Routes:   []note.Route{{Method: http.MethodPost, Path: "/orders", Service: "orders"}},
	}}
	for i, model := range []string{"assistant", "assistant", "fast"} {
		id := proto.EndpointID(fmt.Sprintf("e%d", i+1))
		cfg := engine.Config{Endpoint: id, Seed: uint64(i), DecodePerToken: 2 * time.Millisecond, Versions: map[string]string{model: "v1"}}
		if model == "fast" {
			cfg = fastEngine(id)
		}
		p := launch(t, "kumquatsill-agent", "--endpoint", string(id), "--listen", "127.0.0.1:0", "--engine-addr", f.host(engine.New(cfg)))
		f.agents = append(f.agents, p)
		n.Added.Endpoints = append(n.Added.Endpoints, note.Endpoint{
			ID: id, Kind: note.KindEngine, Domain: "zone-a", Addr: p.startLine["internal"], Models: []string{model},
		})
	}
	service := launch(t, "kumquatsill-agent", "--endpoint", "o1", "--listen", "127.0.0.1:0", "--engine-addr",
		f.host(orders.New(orders.Config{Endpoint: "o1", RunCounter: f.book})))
	f.orders = f.hosts[len(f.hosts)-1]
	n.Added.Endpoints = append(n.Added.Endpoints, note.Endpoint{
		ID: "o1", Kind: note.KindService, Domain: "zone-a", Addr: service.startLine["internal"], Service: "orders",
	})
	for _, name := range []string{"r1", "r2"} {
		f.routers = append(f.routers, launch(t, "kumquatsill", "router", "--name", name, "--domain", "zone-a",
			"--listen", "127.0.0.1:0", "--internal-listen", "127.0.0.1:0", "--log-addr", logAddr,
			"--body-timeout", "1s", "--write-timeout", "1s", "--drain-grace", "1s"))
	}
	f.submitNote(n)
	return f
}

func fastEngine(id proto.EndpointID) engine.Config {
	return engine.Config{
		Endpoint: id, Seed: 2, Versions: map[string]string{"fast": "v1"},
		// Faster output would overload the stand-in under the race detector.
		DecodePerToken: 200 * time.Microsecond,
	}
}

// host serves a stand-in on loopback and returns its address.
func (f *fleet) host(m proto.Machine) string {
	host := serve.New(m)
	f.hosts = append(f.hosts, host)
	server := httptest.NewServer(host)
	f.t.Cleanup(func() {
		host.Close()
		server.CloseClientConnections()
		server.Close()
	})
	return server.Listener.Addr().String()
}

// submitNote submits the first note and waits until both routers have applied it
// and have tokens for the account.
func (f *fleet) submitNote(n note.Note) {
	f.t.Helper()
	client := transport.NewClient(nil)
	defer client.Close()
	r := f.routers[0].startLine
	f.waitFor("the note to be accepted", func() bool {
		outcome, err := dev.Submit(context.Background(), client, proto.RouterID(r["id"]), r["internal"], "first", n)
		if err == nil && outcome.Status == proto.NoteRefused {
			f.t.Fatalf("note refused: %+v", outcome)
		}
		return err == nil && outcome.Status == proto.NoteAccepted
	})
	for _, r := range f.routers {
		f.waitFor("tokens at "+r.startLine["id"], func() bool {
			state := f.getInternal(r, "/debug/state")
			return strings.Contains(state, `"revision": 1,`) && strings.Contains(state, `"ready": true`) && strings.Contains(state, `"funded": true`)
		})
	}
}

// waitFor polls until a condition holds, at most for waitTimeout.
func (f *fleet) waitFor(what string, done func() bool) {
	f.t.Helper()
	for end := time.Now().Add(waitTimeout); !done(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			f.t.Fatalf("timed out waiting for %s", what)
		}
	}
}

// getInternal returns a page of a process's internal listener, or "" on failure.
func (f *fleet) getInternal(p *process, path string) string {
	res, err := http.Get("http://" + p.startLine["internal"] + path)
	if err != nil {
		return ""
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return ""
	}
	return string(body)
}

// completionBody returns the body of a completion request.
func completionBody(model, prompt string, tokens int) string {
	return fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":true,"temperature":0}`, model, prompt, tokens)
}

// expectedTokens returns the tokens that every stand-in engine generates for a
// prompt.
func expectedTokens(prompt string, tokens int) []string {
	body := engine.Prompt([]byte(completionBody("", prompt, 0)))
	var out []string
	for seq := range tokens {
		out = append(out, engine.Token(body, "v1", "", proto.Sampling{}, proto.Seq(seq+1)))
	}
	return out
}

// stream is the part of a streamed response that was received.
type stream struct {
	status int
	tokens []string
	lastID string
	done   bool
	body   string
}

// streamCompletion sends a request and reads the streamed response. onToken, if
// set, is called after each token.
func streamCompletion(addr, body, lastID, key string, onToken func(n int)) (stream, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return stream{}, err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	if lastID != "" {
		req.Header.Set("Last-Event-ID", lastID)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return stream{}, err
	}
	defer func() { _ = res.Body.Close() }()
	s := stream{status: res.StatusCode}
	if res.StatusCode != http.StatusOK {
		text, err := io.ReadAll(res.Body)
		s.body = string(text)
		return s, err
	}
	return s, s.read(res.Body, onToken)
}

func (s *stream) read(body io.Reader, onToken func(n int)) error {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		s.body = lines.Text()
		if id, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			s.lastID = id
		}
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			s.done = true
			continue
		}
		var part struct{ Choices []struct{ Text string } }
		if err := json.Unmarshal([]byte(data), &part); err != nil {
			return err
		}
		if len(part.Choices) == 1 && part.Choices[0].Text != "" {
			s.tokens = append(s.tokens, part.Choices[0].Text)
			if onToken != nil {
				onToken(len(s.tokens))
			}
		}
	}
	return lines.Err()
}

func (p *process) signal(t testing.TB, s syscall.Signal) {
	t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		t.Fatal(err)
	}
}
