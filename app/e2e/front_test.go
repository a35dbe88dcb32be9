package e2e_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/standin/freeport"
	"github.com/kumquatsill/kumquatsill/standin/hosting"
)

// hostedRouter is a router process as the deploy file starts it, beside a stand-in of the
// platform's store.
type hostedRouter struct {
	t            *testing.T
	cmd          *exec.Cmd
	settingsPath string
	// settings is the content of the settings file.
	settings  map[string]any
	readyAddr string
	exited    chan struct{}
}

func freeAddr(t *testing.T) string {
	t.Helper()
	addr, err := freeport.Addr()
	if err != nil {
		t.Fatal(err)
	}
	return addr
}

// newHostedRouter returns a router with settings that are not written yet, which is not
// started.
func newHostedRouter(t *testing.T, args ...string) *hostedRouter {
	t.Helper()
	store := hosting.NewLogStore()
	store.PutKey("keyed.op", "config", map[string]any{
		"version":  1,
		"services": []any{map[string]any{"name": "plain"}},
		"routes":   []any{map[string]any{"name": "look", "host": "127.0.0.1", "pathPrefix": "/look/", "kind": "safe", "service": "plain", "attempts": 1}},
	})
	server := httptest.NewServer(store)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	_, peerPort, _ := strings.Cut(freeAddr(t), ":")
	port, err := strconv.Atoi(peerPort)
	if err != nil {
		t.Fatal(err)
	}
	r := &hostedRouter{t: t, settingsPath: filepath.Join(t.TempDir(), "boot.json"), readyAddr: freeAddr(t), exited: make(chan struct{})}
	r.settings = map[string]any{
		"nodeName": "front-1", "ipAddress": "127.0.0.1", "zone": "zone-a",
		"listenAddresses":   map[string]string{"front": freeAddr(t), "ready": r.readyAddr},
		"internalPortRange": []int{port, port},
		"bounds":            map[string]any{"gracePeriodS": 1, "budgetWindowS": 10, "contactMs": 1000},
		"platform":          map[string]any{"address": server.Listener.Addr().String(), "form": "log"},
	}
	r.cmd = exec.Command(filepath.Join(binDir, "kumquatsill"), append([]string{"front", "--settings", r.settingsPath}, args...)...)
	return r
}

func (r *hostedRouter) callerAddr() string {
	return r.settings["listenAddresses"].(map[string]string)["front"]
}

func (r *hostedRouter) writeSettings(path string) {
	r.t.Helper()
	data, err := json.Marshal(r.settings)
	if err != nil {
		r.t.Fatal(err)
	}
	if err := os.WriteFile(path, data, 0o600); err != nil {
		r.t.Fatal(err)
	}
}

func (r *hostedRouter) start() {
	r.t.Helper()
	if err := r.cmd.Start(); err != nil {
		r.t.Fatal(err)
	}
	go func() {
		_ = r.cmd.Wait() // ends by a signal
		close(r.exited)
	}()
	r.t.Cleanup(func() {
		_ = r.cmd.Process.Kill()
		<-r.exited
	})
}

// get returns the body of a page, or "" unless the status is 200.
func get(url string) string {
	resp, err := http.Get(url)
	if err != nil {
		return ""
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		return ""
	}
	return string(body) + "\n"
}

// await waits until a condition holds; the router must not exit meanwhile.
func (r *hostedRouter) await(what string, done func() bool) {
	r.t.Helper()
	for end := time.Now().Add(waitTimeout); !done(); time.Sleep(pollInterval) {
		select {
		case <-r.exited:
			r.t.Fatalf("waiting for %s: the router ended: %v", what, r.cmd.ProcessState)
		default:
		}
		if time.Now().After(end) {
			r.t.Fatalf("timed out waiting for %s", what)
		}
	}
}

func (r *hostedRouter) awaitReady() {
	r.t.Helper()
	r.await("readiness", func() bool { return get("http://"+r.readyAddr+"/kumquatsill/readiness") != "" })
}

// deployment returns the arguments of the router and the port and path of its metrics, as
// the deploy file declares them.
func deployment(t *testing.T) (args []string, port, path string) {
	t.Helper()
	data, err := os.ReadFile("../../deploy/system.toml")
	if err != nil {
		t.Fatal(err)
	}
	value := func(key string) string {
		_, rest, _ := strings.Cut(string(data), "\n"+key+` = "`)
		v, _, _ := strings.Cut(rest, `"`)
		return v
	}
	port, path, _ = strings.Cut(value("metrics"), "/")
	return strings.Fields(value("run"))[2:], port, "/" + path
}

// Guards against a deploy file that declares no address of metrics, or one at which the
// router that it starts does not answer, and against counters and histograms that are missing.
func TestDeclaredMetricsAddress(t *testing.T) {
	t.Parallel()
	args, port, path := deployment(t)
	r := newHostedRouter(t, args...)
	// An address of its own keeps the declared port free of other processes.
	ip := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))
	r.settings["ipAddress"] = ip
	r.writeSettings(r.settingsPath)
	r.start()
	r.awaitReady()
	req, err := http.NewRequest(http.MethodGet, "http://"+r.callerAddr()+"/look/1", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Kumquatsill-Attempt-Id", "a1")
	resp, err := http.DefaultClient.Do(req)
	if err != nil || resp.Body.Close() != nil || resp.StatusCode != http.StatusServiceUnavailable {
		t.Fatalf("a service without endpoints: %v, %v", resp, err)
	}
	page := get("http://" + ip + ":" + port + path)
	for _, want := range []string{`kumquatsill_refusals_total{reason="no_endpoint"} 1`,
		`kumquatsill_request_duration_seconds_count{kind="idempotent",priority="0",outcome="refuse"} 1`, "kumquatsill_requests_in_flight 0", "kumquatsill_log_lines_dropped_total 0"} {
		if !strings.Contains(page, "\n"+want+"\n") {
			t.Errorf("%s%s lacks %s:\n%s", port, path, want, page)
		}
	}
}

// Guards against a router that does not serve because its port for metrics is taken.
func TestTakenMetricsPortIsLeft(t *testing.T) {
	t.Parallel()
	taken, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = taken.Close() }()
	_, port, _ := strings.Cut(taken.Addr().String(), ":")
	r := newHostedRouter(t, "--metrics-port", port)
	r.writeSettings(r.settingsPath)
	r.start()
	r.awaitReady()
}

// Guards against a router that ends by SIGPIPE when the reader of its log goes away, and
// against lines that are lost without being counted.
func TestRouterOutlivesTheReaderOfItsLog(t *testing.T) {
	t.Parallel()
	r := newHostedRouter(t)
	r.writeSettings(r.settingsPath)
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	r.cmd.Stdout = writer
	r.start()
	_ = writer.Close()
	if line, err := bufio.NewReader(reader).ReadString('\n'); err != nil {
		t.Fatalf("%q, %v", line, err)
	}
	_ = reader.Close()
	r.awaitReady()
	for range 3 { // each refusal is one line
		resp, err := http.Get("http://" + r.callerAddr() + "/none/1")
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
	}
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("metrics:\n%s", get("http://"+r.readyAddr+"/metrics"))
		}
	})
	r.await("dropped lines are counted", func() bool {
		_, count, _ := strings.Cut(get("http://"+r.readyAddr+"/metrics"), "\nkumquatsill_log_lines_dropped_total ")
		count, _, _ = strings.Cut(count, "\n")
		n, _ := strconv.Atoi(count) // 0 if there is none
		return n >= 3
	})
}

// Guards against a router that ends by a SIGHUP that arrives before its handler stands.
func TestHangupDuringTheStart(t *testing.T) {
	t.Parallel()
	for range 5 {
		r := newHostedRouter(t)
		r.writeSettings(r.settingsPath)
		// The runtime reports the first package that is initialized, long before main.
		r.cmd.Env = append(os.Environ(), "GODEBUG=inittrace=1")
		stderr, err := r.cmd.StderrPipe()
		if err != nil {
			t.Fatal(err)
		}
		r.start()
		if _, err := bufio.NewReader(stderr).ReadString('\n'); err != nil {
			t.Fatal(err)
		}
		if err := r.cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		go func() { _, _ = io.Copy(io.Discard, stderr) }() // ends with the process
		r.awaitReady()
	}
}

// Guards against a SIGHUP that is lost because it arrives while the router reads its
// settings for the first time, so that it goes on with the old ones.
func TestHangupWhileSettingsAreRead(t *testing.T) {
	t.Parallel()
	r := newHostedRouter(t)
	if err := syscall.Mkfifo(r.settingsPath, 0o600); err != nil {
		t.Fatal(err)
	}
	out, err := r.cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	r.start()
	fifo, err := os.OpenFile(r.settingsPath, os.O_WRONLY, 0) // waits until the router reads
	if err != nil {
		t.Fatal(err)
	}
	old, err := json.Marshal(r.settings)
	if err != nil {
		t.Fatal(err)
	}
	r.settings["heartbeatIntervalMs"] = 1234
	next := r.settingsPath + ".next"
	r.writeSettings(next)
	if err := os.Rename(next, r.settingsPath); err != nil {
		t.Fatal(err)
	}
	if err := r.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	if _, err := fifo.Write(old); err != nil {
		t.Fatal(err)
	}
	_ = fifo.Close()
	reloaded := make(chan struct{})
	go func() {
		for lines := bufio.NewScanner(out); lines.Scan(); {
			if strings.Contains(lines.Text(), `"settings reloaded","changed":true`) {
				close(reloaded)
				return
			}
		}
	}()
	select {
	case <-reloaded:
	case <-r.exited:
		t.Fatalf("the router ended: %v", r.cmd.ProcessState)
	case <-time.After(5 * time.Second):
		t.Fatal("the new settings are not in force")
	}
}
