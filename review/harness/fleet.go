package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Settings of the small deployment kcm-ops, except for addresses.
const (
	heartbeatInterval = 1200 * time.Millisecond
	// entryLifetime is how long the store keeps the entry of an engine that is silent.
	entryLifetime = 3 * heartbeatInterval
	contactTime   = 3 * time.Second
	gracePeriod   = 8 * time.Second
	memoryMB      = 284
)

var zones = []string{"midrand-a", "midrand-b", "centurion"}

// Router is one router process.
type Router struct {
	Name, Caller, Ready string
	settings            string
	cmd                 *exec.Cmd
	done                chan struct{}
}

// Fleet runs the store, the engines and the router processes of one case.
type Fleet struct {
	Store   *Store
	Routers []*Router
	Engines []*Engine

	binary, dir string
	server      *http.Server
	record      *os.File
	begun       time.Time
	mu          sync.Mutex
}

// NewFleet starts the store. The record goes to record.txt in the working directory.
func NewFleet(binary string) *Fleet {
	dir, err := os.MkdirTemp("", "review")
	check(err)
	record, err := os.Create("record.txt")
	check(err)
	return &Fleet{Store: NewStore(), binary: binary, dir: dir, record: record, begun: time.Now()}
}

// Record writes a line to the record, with the time since the start of the case.
func (f *Fleet) Record(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, _ = fmt.Fprintf(f.record, "%8.3f %s\n", time.Since(f.begun).Seconds(), fmt.Sprintf(format, args...))
}

// AddEngine starts an engine.
func (f *Fleet) AddEngine(e *Engine) {
	e.Start(f.Store)
	f.Engines = append(f.Engines, e)
}

// StartRouters starts n routers and waits until all are ready, and for the time after
// which they are in touch.
func (f *Fleet) StartRouters(n int, memory int) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	check(err)
	f.server = &http.Server{Handler: f.Store}
	go func() { _ = f.server.Serve(ln) }()
	var listeners []net.Listener
	for i := range n {
		var addrs []string
		for range 3 {
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			check(err)
			listeners = append(listeners, l)
			addrs = append(addrs, l.Addr().String())
		}
		r := &Router{Name: fmt.Sprintf("front-%s-%d", zones[i%len(zones)], i/len(zones)+1), Caller: addrs[0], Ready: addrs[1]}
		r.settings = filepath.Join(f.dir, r.Name+".json")
		data, err := json.Marshal(settings(r, zones[i%len(zones)], addrs[2], ln.Addr().String(), memory))
		check(err)
		check(os.WriteFile(r.settings, data, 0o600))
		f.Routers = append(f.Routers, r)
	}
	for _, l := range listeners {
		_ = l.Close()
	}
	for _, r := range f.Routers {
		f.Start(r)
	}
	f.WaitReady()
	time.Sleep(contactTime + 500*time.Millisecond)
}

func settings(r *Router, zone, peer, store string, memory int) map[string]any {
	_, text, _ := net.SplitHostPort(peer)
	port, _ := strconv.Atoi(text)
	return map[string]any{
		"nodeName": r.Name, "role": "router", "machineClass": "front", "serves": []string{"front"}, "ipAddress": "127.0.0.1",
		"zone": zone, "region": "gauteng", "zones": map[string]string{"midrand-a": "gauteng", "midrand-b": "gauteng", "centurion": "gauteng"},
		"listenAddresses": map[string]string{"front": r.Caller, "ready": r.Ready}, "internalPortRange": []int{port, port},
		"seedNodes": []string{}, "firstStart": true, "countsTowardTolerance": false,
		"limits":        map[string]any{"processorShare": 0.304, "cores": 1, "memoryMb": memory, "fileDescriptors": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"dataDirectory": nil, "discovery": "platform", "entry": "virtual_address", "heartbeatIntervalMs": heartbeatInterval.Milliseconds(),
		"contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "kvcache", "stream", "engine", "tenants", "quota", "platform"},
		"faultTolerance": map[string]int{"machines": 2, "zones": 0, "regions": 0},
		"bounds": map[string]any{"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "acknowledgeMs": 4000, "catchUpS": 4, "drainMs": 2000,
			"gracePeriodS": 8, "lossSlackMs": 200, "configurationMs": 2000, "rollbackSlackMs": 250, "outerBoundMs": 5000,
			"revokeWhenPartitioned": false, "revokeMs": 5000, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 56,
			"quotaWindowS": 8, "quotaOverage": 0.1, "quotaSlack": 110000, "recoveryS": 12, "transitMs": 120, "reuseWindowS": 10,
			"fencingEnforced": true, "leaseMs": 3000, "thawMs": 300, "versionMs": 8000, "versionAllMs": 11000},
		"platform": map[string]any{"address": store, "form": "log", "writesPerS": 400, "readsPerS": 2000, "parts": 8, "appendMs": 4.0,
			"partitionMbS": 20.0, "readMbS": 80.0, "recordBytes": 262144, "callBytes": 2097152, "keep_s": 300, "partitionMb": 200, "lifetimeFloorMs": 1000},
	}
}

// Start starts a router with the command of the deploy file.
func (f *Fleet) Start(r *Router) {
	log, err := os.OpenFile(filepath.Join(f.dir, r.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	r.cmd = exec.Command(f.binary, "front")
	r.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.dir, "KUMQUATSILL_BOOT=" + r.settings}
	r.cmd.Stdout, r.cmd.Stderr = log, log
	r.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(r.cmd.Start())
	done := make(chan struct{})
	r.done = done
	cmd := r.cmd
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(done)
	}()
	f.Record("%s starts", r.Name)
}

// Kill kills a router and waits for its end.
func (f *Fleet) Kill(r *Router) {
	f.Record("%s is killed", r.Name)
	_ = r.cmd.Process.Kill()
	<-r.done
}

// WaitReady waits until all routers say that they are ready.
func (f *Fleet) WaitReady() {
	for _, r := range f.Routers {
		for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(20 * time.Millisecond) {
			resp, err := http.Get("http://" + r.Ready + "/kumquatsill/readiness")
			if err == nil {
				_ = resp.Body.Close()
			}
			if err == nil && resp.StatusCode == http.StatusOK {
				break
			}
			if time.Now().After(deadline) {
				f.Close()
				fmt.Fprintln(os.Stderr, r.Name, "is not ready")
				os.Exit(exitNotRun)
			}
		}
	}
}

// ResidentMB returns the resident memory of a router.
func (r *Router) ResidentMB() float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	var kb float64
	for _, line := range splitLines(data) {
		if _, err := fmt.Sscanf(line, "VmRSS: %f kB", &kb); err == nil {
			return kb / 1024
		}
	}
	return 0
}

// Close ends everything that the fleet has started.
func (f *Fleet) Close() {
	for _, r := range f.Routers {
		if r.cmd != nil {
			_ = r.cmd.Process.Signal(syscall.SIGCONT)
			_ = r.cmd.Process.Kill()
			<-r.done
		}
	}
	for _, e := range f.Engines {
		e.Close()
	}
	if f.server != nil {
		_ = f.server.Close()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("logs:", f.dir)
	}
	_ = f.record.Close()
}
