// Package soak runs real router processes on a stand-in for the hosting
// platform, injects faults from outside the processes, and checks the
// guarantees given to callers and endpoints.
package soak

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/kumquatsill/kumquatsill/standin/freeport"
	"github.com/kumquatsill/kumquatsill/standin/hosting"
)

const (
	zone              = "zone-a"
	gracePeriod       = 4 * time.Second
	heartbeatInterval = 300 * time.Millisecond
	maxConfigDelay    = 2 * time.Second
	// maxPortChoices limits how often the ports of a router are chosen.
	maxPortChoices = 5
	// startPoll is the time between two looks at a router that starts.
	startPoll = 5 * time.Millisecond
	// defaultMemoryMb is the memory limit of a router in MiB.
	defaultMemoryMb = 134
	host            = "soak.example"
)

// process is a router and its current process.
type process struct {
	name, settingsPath                  string
	callerAddr, readinessAddr, peerAddr string
	cmd                                 *exec.Cmd
	done                                chan struct{}
	mu                                  sync.Mutex
	// disturbedAt is when the process was last started or sent a signal, disturbances
	// when that has happened so far.
	disturbedAt  time.Time
	disturbances []time.Time
	// exitExpected is set once the process has been sent a terminating signal.
	exitExpected bool
}

// endpoint is a model engine or plain service behind a proxy.
type endpoint struct {
	engine *hosting.Engine
	proxy  *proxy
	server *http.Server
	state  string
}

// Fleet runs router processes, endpoints and the stand-in for the platform.
type Fleet struct {
	binary, dir string
	memoryMb    int
	store       *hosting.LogStore
	storeProxy  *proxy
	storeServer *http.Server
	routers     []*process
	endpoints   []*endpoint
	stop        chan struct{}
	wait        sync.WaitGroup
	faultLog    *os.File
	// chooseAddr returns an address that a router listens on later.
	chooseAddr func() (string, error)
	// publishing orders the writes of configurations.
	publishing sync.Mutex

	mu       sync.Mutex
	revision int64
	version  int64
	keys     []string
	// revoked maps each withdrawn key to the time of its withdrawal.
	revoked map[string]time.Time
	// unexpectedExits lists processes that exited without a terminating signal.
	unexpectedExits []string
}

// Size holds the number of router processes and endpoints of a fleet.
type Size struct {
	Routers, Engines, Plain int
	// MemoryMb is the memory limit in the settings of the routers; 0 means defaultMemoryMb.
	MemoryMb int
}

// NewFleet starts a fleet from a built router binary. Settings and logs go to dir.
func NewFleet(binary, dir string, size Size) (*Fleet, error) {
	f := &Fleet{
		binary: binary, dir: dir, memoryMb: size.MemoryMb, store: hosting.NewLogStore(), stop: make(chan struct{}), version: 1,
		revoked: map[string]time.Time{}, chooseAddr: freeport.Addr,
	}
	var err error
	if f.faultLog, err = os.Create(filepath.Join(dir, "faults.log")); err != nil {
		return nil, err
	}
	server, addr, err := listen(f.store)
	if err != nil {
		return nil, err
	}
	f.storeServer = server
	if f.storeProxy, err = newProxy(addr); err != nil {
		return nil, err
	}
	for i := range size.Engines + size.Plain {
		service, model := "llm", "m"
		if i >= size.Engines {
			service, model = "plain", ""
		}
		if err := f.addEndpoint(hosting.NewEngine(fmt.Sprint("i-", i), service, model)); err != nil {
			return nil, err
		}
	}
	f.keys = []string{"key0"}
	f.PublishConfig()
	f.wait.Add(1)
	go f.registerEndpoints()
	for i := range size.Routers {
		if err := f.addRouter(i); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func listen(h http.Handler) (*http.Server, string, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(ln) }() // returns when the server is closed
	return s, ln.Addr().String(), nil
}

func (f *Fleet) addEndpoint(e *hosting.Engine) error {
	server, addr, err := listen(e)
	if err != nil {
		return err
	}
	p, err := newProxy(addr)
	if err != nil {
		return err
	}
	f.endpoints = append(f.endpoints, &endpoint{engine: e, proxy: p, server: server, state: "ready"})
	return nil
}

// registerEndpoints renews the registration of each endpoint at every heartbeat
// until the fleet is closed.
func (f *Fleet) registerEndpoints() {
	defer f.wait.Done()
	for {
		for _, e := range f.endpoints {
			f.mu.Lock()
			state := e.state
			f.mu.Unlock()
			if state != "gone" {
				f.store.PutKey("keyed.servers", e.engine.ID, e.engine.Registration(e.proxy.addr(), zone, state))
			}
		}
		select {
		case <-f.stop:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// setState changes the state that an endpoint registers; "gone" removes its entry.
func (f *Fleet) setState(e *endpoint, state string) {
	f.mu.Lock()
	e.state = state
	f.mu.Unlock()
	if state == "gone" {
		f.store.PutKey("keyed.servers", e.engine.ID, nil)
	}
}

// addRouter starts a router for the first time. If another process has taken one of its
// ports since they were chosen, it chooses others.
func (f *Fleet) addRouter(i int) error {
	p := &process{name: fmt.Sprint("front-", i), settingsPath: filepath.Join(f.dir, fmt.Sprintf("front-%d.json", i))}
	f.routers = append(f.routers, p)
	for range maxPortChoices {
		if err := f.writeSettings(p); err != nil {
			return err
		}
		if err := f.startRouter(p); err != nil {
			return err
		}
		if !f.portsTaken(p) {
			return nil
		}
		f.mu.Lock()
		f.unexpectedExits = nil
		f.mu.Unlock()
	}
	return fmt.Errorf("%s: ports were taken %d times", p.name, maxPortChoices)
}

// portsTaken waits until a router has started or exited, and reports whether it exited because
// another process listens on one of its ports.
func (f *Fleet) portsTaken(p *process) bool {
	for {
		exited := false
		select {
		case <-p.done:
			exited = true
		case <-time.After(startPoll):
		}
		log, err := os.ReadFile(f.logPath(p))
		if exited {
			return err == nil && bytes.Contains(log, []byte(syscall.EADDRINUSE.Error()))
		}
		if err == nil && bytes.Contains(log, []byte(`"msg":"started"`)) {
			return false
		}
	}
}

func (f *Fleet) logPath(p *process) string { return filepath.Join(f.dir, p.name+".log") }

// writeSettings chooses the addresses of a router and writes its settings file.
func (f *Fleet) writeSettings(p *process) error {
	for _, addr := range []*string{&p.callerAddr, &p.readinessAddr, &p.peerAddr} {
		var err error
		if *addr, err = f.chooseAddr(); err != nil {
			return err
		}
	}
	_, port, _ := net.SplitHostPort(p.peerAddr)
	number, _ := strconv.Atoi(port) // the port was chosen as a number
	settings, err := json.Marshal(map[string]any{
		"nodeName": p.name, "ipAddress": "127.0.0.1", "zone": zone,
		"listenAddresses": map[string]string{"front": p.callerAddr, "ready": p.readinessAddr}, "internalPortRange": []int{number, number},
		"limits": map[string]any{"memoryMb": cmp.Or(f.memoryMb, defaultMemoryMb), "fileDescriptors": 4096}, "heartbeatIntervalMs": heartbeatInterval.Milliseconds(),
		"bounds": map[string]any{"gracePeriodS": gracePeriod.Seconds(), "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 52,
			"leaseMs": 1000, "fencingEnforced": true, "versionMs": 8000, "drainMs": 1500, "contactMs": 1500},
		"platform": map[string]any{"address": f.storeProxy.addr(), "form": "log"},
	})
	if err != nil {
		return err
	}
	return os.WriteFile(p.settingsPath, settings, 0o600)
}

func (f *Fleet) startRouter(p *process) error {
	log, err := os.OpenFile(f.logPath(p), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd = exec.Command(f.binary, "front", "--settings", p.settingsPath)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.recordDisturbance()
	p.exitExpected = false
	if err := p.cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	p.done = done
	cmd := p.cmd
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		p.mu.Lock()
		if !p.exitExpected {
			f.recordUnexpectedExit(p, err)
		}
		p.mu.Unlock()
		close(done)
	}()
	return nil
}

// recordUnexpectedExit records a process that exited without a terminating signal.
func (f *Fleet) recordUnexpectedExit(p *process, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unexpectedExits = append(f.unexpectedExits, fmt.Sprintf("%s: %v", p.name, err))
}

// signal sends a signal to the router's process.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordDisturbance()
	p.exitExpected = p.exitExpected || s == syscall.SIGKILL || s == syscall.SIGTERM || s == syscall.SIGQUIT
	_ = p.cmd.Process.Signal(s) // the process may have exited already
}

// waitOrKill waits for the process to exit, and kills it after the limit.
func (p *process) waitOrKill(limit time.Duration) (inTime bool) {
	select {
	case <-p.done:
		return true
	case <-time.After(limit):
	}
	p.signal(syscall.SIGKILL)
	<-p.done
	return false
}

// undisturbedFor returns the time since the process was last started or sent a signal.
func (p *process) undisturbedFor() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.disturbedAt)
}

// recordDisturbance records that the process is started or sent a signal; mu must be held.
func (p *process) recordDisturbance() {
	p.disturbedAt = time.Now()
	p.disturbances = append(p.disturbances, p.disturbedAt)
}

// disturbedBetween reports whether the process was started or sent a signal within a time.
func (p *process) disturbedBetween(from, to time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.disturbances, func(at time.Time) bool { return !at.Before(from) && !at.After(to) })
}

// Close stops everything that the fleet has started.
func (f *Fleet) Close() {
	close(f.stop)
	f.wait.Wait()
	for _, p := range f.routers {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		<-p.done
	}
	for _, e := range f.endpoints {
		e.proxy.close()
		_ = e.server.Close()
	}
	f.storeProxy.close()
	_ = f.storeServer.Close()
	_ = f.faultLog.Close()
}

// PublishConfig writes the next revision of the configuration to the store.
func (f *Fleet) PublishConfig() {
	f.publishing.Lock()
	defer f.publishing.Unlock()
	f.mu.Lock()
	f.revision++
	revision, keys := f.revision, append([]string(nil), f.keys...)
	f.mu.Unlock()
	route := func(name, kind, service string, resumable bool) map[string]any {
		return map[string]any{"name": name, "host": host, "pathPrefix": "/" + name + "/", "kind": kind, "timeoutMs": 4000, "targetLatencyMs": 300,
			"gapTargetMs": 300, "service": service, "attempts": 2, "resumable": resumable, "stickySessions": service == "llm"}
	}
	f.store.PutKey("keyed.op", "config", map[string]any{
		"version": revision,
		"routes": []any{route("order", "unsafe", "plain", false), route("look", "safe", "plain", false),
			route("sheet", "streaming", "llm", true), route("chat", "streaming", "llm", false)},
		"services": []any{map[string]any{"name": "llm", "engine": map[string]any{"slots": 8, "cacheTokens": 90000, "models": []any{map[string]any{"name": "m"}}}},
			map[string]any{"name": "plain"}},
		"limits":  map[string]any{"bodyBytes": 100_000},
		"tenants": []any{map[string]any{"name": "t1", "accessKeys": keys, "unit": "tokens", "uncachedTokens": 10, "ratePerS": 100_000, "burst": 100_000}},
	})
}

// replaceKey adds a key and withdraws the oldest one if there are more than two.
func (f *Fleet) replaceKey() {
	f.mu.Lock()
	f.keys = append(f.keys, fmt.Sprint("key", f.revision))
	if len(f.keys) > 2 {
		f.revoked[f.keys[0]] = time.Now()
		f.keys = f.keys[1:]
	}
	f.mu.Unlock()
	f.PublishConfig()
}

// announceVersion announces the next version of the model.
func (f *Fleet) announceVersion() {
	f.mu.Lock()
	f.version++
	version := f.version
	f.mu.Unlock()
	f.store.PutKey("keyed.op", "version/m", map[string]any{"model": "m", "version": version})
}
