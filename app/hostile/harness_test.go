// Package hostile_test runs router processes against clients that exceed the limits. Its
// tests run one at a time: see lockMachine and the target "hostile" of the Makefile.
package hostile_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/standin/freeport"
	"github.com/kumquatsill/kumquatsill/standin/hosting"
)

const (
	// memoryMb and descriptors are the limits in the router's settings, reservedDescriptors
	// how many of the latter are not for this process. The tests derive their bounds from them.
	memoryMb            = 96
	descriptors         = 500
	reservedDescriptors = 200
	// manyDescriptors is the limit where each client takes two descriptors.
	manyDescriptors = 900
	// bodyBytes is the limit for bodies in the configuration.
	bodyBytes = 4 << 20
	// waitTimeout limits each wait for an expected event. It keeps a failing test from
	// hanging and is no bound that a test checks.
	waitTimeout  = 30 * time.Second
	pollInterval = 5 * time.Millisecond
	// heartbeatInterval is the time between two registrations of an endpoint.
	heartbeatInterval = 500 * time.Millisecond
	// killFactor is the multiple of the memory limit at which a router is killed, to protect
	// the machine.
	killFactor = 4
	host       = "h.example"
	crowdKey   = "crowd-key"
	callerKey  = "caller-key"
)

// binary is the path of the built program.
var binary string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	unlock, err := lockMachine()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer unlock()
	dir, err := os.MkdirTemp("", "hostile")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binary = filepath.Join(dir, "kumquatsill")
	// The process under test is built as deployed, without the race detector.
	if out, err := exec.Command("go", "build", "-o", binary, "../cmd/kumquatsill").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "go build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// lockMachine waits until no other run of these tests is in progress on this machine.
func lockMachine() (unlock func(), err error) {
	file, err := os.OpenFile(filepath.Join(os.TempDir(), "kumquatsill-hostile.lock"), os.O_CREATE|os.O_RDWR, 0o666)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX); err != nil {
		return nil, err
	}
	return func() { _ = file.Close() }, nil
}

// router is a router process beside stand-ins of the platform and its endpoints.
type router struct {
	testing.TB
	cmd       *exec.Cmd
	store     *hosting.LogStore
	addr      string
	readyAddr string
	// memoryMb and descriptors are the limits in the settings.
	memoryMb, descriptors int
	exited                chan struct{}
	// stopped ends the registrations and the observation of the process.
	stopped chan struct{}
	wait    sync.WaitGroup
	// peakDescriptors is the largest number of open descriptors that was observed.
	peakDescriptors atomic.Int64
	killed          atomic.Bool
	conns           []net.Conn
	mu              sync.Mutex
}

// startRouter starts a router with the endpoint "plain", which answers at once.
func startRouter(t testing.TB, memoryMb, descriptors int) *router {
	t.Helper()
	r := &router{TB: t, memoryMb: memoryMb, descriptors: descriptors, store: hosting.NewLogStore(), exited: make(chan struct{}), stopped: make(chan struct{})}
	r.configure()
	addrs := make([]string, 3)
	for i := range addrs {
		var err error
		if addrs[i], err = freeport.Addr(); err != nil {
			t.Fatal(err)
		}
	}
	r.addr, r.readyAddr = addrs[0], addrs[1]
	r.startProcess(r.writeSettings(addrs[2]))
	plain := hosting.NewEngine("plain-1", "plain", "")
	r.register(plain, r.listen(plain))
	r.await("an ordinary request", r.callOnce)
	return r
}

func (r *router) configure() {
	route := func(name, kind string) map[string]any {
		return map[string]any{"name": name, "host": host, "pathPrefix": "/" + name + "/", "kind": kind, "service": name, "attempts": 2, "timeoutMs": 30_000}
	}
	service := func(name string) map[string]any { return map[string]any{"name": name} }
	account := func(name, key string) map[string]any {
		return map[string]any{"name": name, "accessKeys": []string{key}, "ratePerS": 0}
	}
	r.store.PutKey("keyed.op", "config", map[string]any{
		"version":  1,
		"routes":   []any{route("plain", "safe"), route("slow", "safe"), route("large", "safe"), route("events", "streaming")},
		"services": []any{service("plain"), service("slow"), service("large"), service("events")},
		"tenants":  []any{account("crowd", crowdKey), account("caller", callerKey)},
		"limits":   map[string]any{"bodyBytes": bodyBytes, "headerBytes": 16_384, "headerTimeoutMs": 3000, "idleTimeoutMs": 15_000},
	})
}

func (r *router) writeSettings(peerAddr string) (path string) {
	r.Helper()
	peer, err := net.ResolveUDPAddr("udp4", peerAddr)
	if err != nil {
		r.Fatal(err)
	}
	data, err := json.Marshal(map[string]any{
		"nodeName": "front-1", "ipAddress": "127.0.0.1", "zone": "zone-a",
		"listenAddresses":     map[string]string{"front": r.addr, "ready": r.readyAddr},
		"internalPortRange":   []int{peer.Port, peer.Port},
		"heartbeatIntervalMs": heartbeatInterval.Milliseconds(),
		"limits":              map[string]any{"memoryMb": r.memoryMb, "fileDescriptors": r.descriptors},
		"bounds":              map[string]any{"gracePeriodS": 1, "budgetWindowS": 10, "retryBudgetRatio": 0.2, "budgetSlack": 50, "contactMs": 1000},
		"platform":            map[string]any{"address": r.listen(r.store), "form": "log"},
	})
	if err != nil {
		r.Fatal(err)
	}
	path = filepath.Join(r.TempDir(), "boot.json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		r.Fatal(err)
	}
	return path
}

func (r *router) startProcess(settingsPath string) {
	r.Helper()
	r.cmd = exec.Command(binary, "front", "--settings", settingsPath, "--log-level", "warn")
	log, err := os.Create(filepath.Join(filepath.Dir(settingsPath), "log"))
	if err != nil {
		r.Fatal(err)
	}
	r.cmd.Stdout, r.cmd.Stderr = log, log
	if err := r.cmd.Start(); err != nil {
		r.Fatal(err)
	}
	r.wait.Add(1)
	go r.observe()
	go func() {
		_ = r.cmd.Wait() // ends by a signal
		close(r.exited)
	}()
	r.Cleanup(func() {
		close(r.stopped)
		for _, c := range r.conns {
			_ = c.Close()
		}
		_ = r.cmd.Process.Kill()
		<-r.exited
		r.wait.Wait()
		_ = log.Close()
		if data, _ := os.ReadFile(log.Name()); r.Failed() && len(data) > 0 {
			r.Logf("end of the router's log:\n%s", data[max(0, len(data)-2000):])
		}
	})
}

// listen serves a stand-in on loopback and returns its address.
func (r *router) listen(h http.Handler) (addr string) {
	server := httptest.NewServer(h)
	r.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server.Listener.Addr().String()
}

// register keeps an endpoint registered until the test ends.
func (r *router) register(e *hosting.Engine, addr string) {
	r.wait.Add(1)
	go func() {
		defer r.wait.Done()
		for {
			r.store.PutKey("keyed.servers", e.ID, e.Registration(addr, "zone-a", "ready"))
			select {
			case <-r.stopped:
				return
			case <-time.After(heartbeatInterval):
			}
		}
	}()
}

// observe records the descriptors of the process and kills one that takes far too much memory.
func (r *router) observe() {
	defer r.wait.Done()
	for {
		if open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", r.cmd.Process.Pid)); err == nil {
			r.peakDescriptors.Store(max(r.peakDescriptors.Load(), int64(len(open))))
		}
		if r.memoryPeak() > killFactor*r.memoryMb<<10 {
			r.killed.Store(true)
			_ = r.cmd.Process.Kill()
			return
		}
		select {
		case <-r.stopped:
			return
		case <-r.exited:
			return
		case <-time.After(pollInterval):
		}
	}
}

// memoryPeak returns the largest resident memory of the process so far in KiB.
func (r *router) memoryPeak() int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	kilobytes := 0
	if _, line, ok := strings.Cut(string(status), "VmHWM:"); ok {
		_, _ = fmt.Sscan(line, &kilobytes) // 0 if the process has ended
	}
	return kilobytes
}

// await waits until a condition holds or the process has ended.
func (r *router) await(what string, done func() bool) {
	r.Helper()
	for end := time.Now().Add(waitTimeout); !done(); time.Sleep(pollInterval) {
		select {
		case <-r.exited:
			r.Fatalf("waiting for %s: the router ended: %v, killed for its memory: %v", what, r.cmd.ProcessState, r.killed.Load())
		default:
		}
		if time.Now().After(end) {
			r.Errorf("timed out waiting for %s", what)
			return
		}
	}
}

var requests atomic.Int64

// head returns the head of a request up to the lines that say how its body is sent.
func head(path, key string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Token %s\r\nKumquatsill-Attempt-Id: r%d\r\n", path, host, key, requests.Add(1))
}

// callOnce sends one ordinary request and reports whether it was answered.
func (r *router) callOnce() bool {
	c, err := net.Dial("tcp4", r.addr)
	if err != nil {
		return false
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(waitTimeout / 4))
	if _, err := io.WriteString(c, head("/plain/x", callerKey)+"Content-Length: 4\r\n\r\nbody"); err != nil {
		return false
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}

// crowd runs clients at the same time and returns when each of them has done its part. Their
// connections stay open until the test ends.
func (r *router) crowd(size int, dial func() (net.Conn, error), client func(i int, c net.Conn)) {
	r.Helper()
	var clients sync.WaitGroup
	for i := range size {
		clients.Add(1)
		go func() {
			defer clients.Done()
			c, err := dial()
			if err != nil {
				return
			}
			r.mu.Lock()
			r.conns = append(r.conns, c)
			r.mu.Unlock()
			_ = c.SetWriteDeadline(time.Now().Add(waitTimeout))
			client(i, c)
		}()
	}
	clients.Wait()
}

func (r *router) dial() (net.Conn, error) { return net.Dial("tcp4", r.addr) }

// check checks that the process lives, that it has stayed under its limits, and that it
// answers an ordinary request beside the connections that are still open.
func (r *router) check() {
	r.Helper()
	r.await("an ordinary request beside the crowd", r.callOnce)
	memory, open, limit := r.memoryPeak()>>10, r.peakDescriptors.Load(), int64(r.descriptors-reservedDescriptors)
	r.Logf("peak memory %d MB of %d, %d descriptors of %d", memory, r.memoryMb, open, limit)
	if memory > r.memoryMb {
		r.Errorf("peak memory %d MB, the limit is %d MB", memory, r.memoryMb)
	}
	if open > limit {
		r.Errorf("%d descriptors, the limit is %d", open, limit)
	}
}
