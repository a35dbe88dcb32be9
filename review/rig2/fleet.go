package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Figures of the settings of a small deployment, as `fleetbench wire` shows them.
const (
	memoryMb    = 134
	descriptors = 4200
	gracePeriod = 8 * time.Second
)

// router is one machine that runs the role of the deploy file.
type router struct {
	name, zone, ip      string
	frontAddr, readyURL string
	settings            string
	log                 *os.File

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// fleet is what one case starts.
type fleet struct {
	root, dir string
	store     *logStore
	routers   []*router
	record    *record
	// runs counts the requests that engines ran, by engine.
	runs *counts
}

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	must(err)
	return &record{start: time.Now(), file: f}
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func must(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		endAll()
		os.Exit(2)
	}
}

// started holds the processes that this one has started.
var started struct {
	sync.Mutex
	processes []*os.Process
}

// endAll ends all processes that this one has started.
func endAll() {
	started.Lock()
	defer started.Unlock()
	for _, p := range started.processes {
		_ = p.Signal(syscall.SIGCONT)
		_ = p.Kill()
	}
}

func newFleet(folder string) *fleet {
	root, err := filepath.Abs(filepath.Join(folder, "..", ".."))
	must(err)
	dir, err := os.MkdirTemp("", "review-case-")
	must(err)
	return &fleet{root: root, dir: dir, store: newStore(), record: newRecord(filepath.Join(folder, "record.txt")), runs: newCounts()}
}

// addRouter writes the settings of a router at a loopback address of its own.
func (f *fleet) addRouter(name, zone, ip string) *router {
	port := func() string {
		ln := listen(ip)
		defer func() { _ = ln.Close() }()
		return ln.Addr().String()
	}
	front, ready, peer := port(), port(), port()
	_, text, _ := net.SplitHostPort(peer)
	peerPort, _ := strconv.Atoi(text)
	settings := map[string]any{
		"nodeName": name, "role": "router", "machineClass": "front", "serves": []string{"front"}, "ipAddress": ip,
		"zone": zone, "region": "cl-centro", "zones": map[string]string{"cl-centro-a": "cl-centro", "cl-centro-b": "cl-centro", "cl-centro-c": "cl-centro"},
		"listenAddresses": map[string]string{"front": front, "ready": ready}, "internalPortRange": []int{peerPort, peerPort},
		"seedNodes": []string{}, "firstStart": true, "countsTowardTolerance": false,
		"limits":        map[string]any{"processorShare": 0.304, "cores": 1, "memoryMb": memoryMb, "fileDescriptors": descriptors, "linkMbps": 1000.0, "diskMb": 0},
		"dataDirectory": nil, "discovery": "platform", "entry": "virtual_address", "heartbeatIntervalMs": 1200,
		"contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "kvcache", "stream", "engine", "tenants", "quota", "platform"},
		"faultTolerance": map[string]int{"machines": 2, "zones": 0, "regions": 0},
		"bounds": map[string]any{"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "acknowledgeMs": 4000, "catchUpS": 4, "drainMs": 2000,
			"gracePeriodS": gracePeriod.Seconds(), "lossSlackMs": 200, "configurationMs": 2000, "rollbackSlackMs": 250, "outerBoundMs": 5000,
			"revokeWhenPartitioned": false, "revokeMs": 5000, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 52, "quotaWindowS": 8,
			"quotaOverage": 0.1, "quotaSlack": 110000, "recoveryS": 12, "transitMs": 120, "reuseWindowS": 10, "fencingEnforced": true,
			"leaseMs": 3000, "thawMs": 300, "versionMs": 8000, "versionAllMs": 11000},
		"platform": map[string]any{"address": f.store.addr, "form": "log", "writesPerS": 400, "readsPerS": 2000, "parts": 8, "appendMs": 4.0,
			"partitionMbS": 20.0, "readMbS": 80.0, "recordBytes": 262144, "callBytes": 2097152, "keep_s": 300, "partitionMb": 200, "lifetimeFloorMs": 1000},
	}
	data, err := json.MarshalIndent(settings, "", "  ")
	must(err)
	r := &router{name: name, zone: zone, ip: ip, frontAddr: front, readyURL: "http://" + ready + "/kumquatsill/readiness",
		settings: filepath.Join(f.dir, name+".json")}
	must(os.WriteFile(r.settings, data, 0o600))
	r.log, err = os.Create(filepath.Join(f.dir, name+".log"))
	must(err)
	f.routers = append(f.routers, r)
	return r
}

// command returns the words of `run` in the deploy file.
func (f *fleet) command() []string {
	file, err := os.Open(filepath.Join(f.root, "deploy", "system.toml"))
	must(err)
	defer func() { _ = file.Close() }()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		if words, ok := strings.CutPrefix(lines.Text(), "run = "); ok {
			return strings.Fields(strings.Trim(words, `"`))
		}
	}
	must(fmt.Errorf("deploy/system.toml names no program"))
	return nil
}

// startRouter starts the process of a router.
func (f *fleet) startRouter(r *router) {
	words := f.command()
	cmd := exec.Command(filepath.Join(f.root, words[0]), words[1:]...)
	cmd.Dir = f.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "KUMQUATSILL_BOOT=" + r.settings}
	cmd.Stdout, cmd.Stderr = r.log, r.log
	must(cmd.Start())
	started.Lock()
	started.processes = append(started.processes, cmd.Process)
	started.Unlock()
	done := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	r.mu.Lock()
	r.cmd, r.done = cmd, done
	r.mu.Unlock()
	f.record.line("%s started", r.name)
}

// awaitReady waits until a router says that it is ready.
func (f *fleet) awaitReady(r *router) {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := client.Get(r.readyURL)
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			f.record.line("%s ready", r.name)
			return
		}
	}
	must(fmt.Errorf("%s is not ready", r.name))
}

func (r *router) pid() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cmd.Process.Pid
}

func (r *router) signal(s syscall.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.cmd.Process.Signal(s)
}

func (r *router) ended() chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.done
}

// memoryKB returns a field of /proc/PID/status, such as VmRSS, or 0.
func (r *router) memoryKB(field string) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.pid()))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, field+":"); ok {
			n, _ := strconv.Atoi(strings.Fields(rest)[0])
			return n
		}
	}
	return 0
}

// close ends all processes and removes the temporary folder, unless KEEP is set.
func (f *fleet) close() {
	endAll()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("logs:", f.dir)
	}
}
