package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/kumquatsill/kumquatsill/standin/freeport"
	"github.com/kumquatsill/kumquatsill/standin/hosting"
)

const (
	zone              = "zone-a"
	host              = "rig.example"
	heartbeatInterval = 1200 * time.Millisecond
	startTimeout      = 10 * time.Second
)

// bounds are those of the site kcm-ops.
var bounds = map[string]any{
	"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "acknowledgeMs": 4000, "catchUpS": 4, "drainMs": 2000, "gracePeriodS": 8,
	"lossSlackMs": 200, "configurationMs": 2000, "rollbackSlackMs": 250, "outerBoundMs": 5000, "revokeWhenPartitioned": false, "revokeMs": 5000,
	"retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 56, "quotaWindowS": 8, "quotaOverage": 0.1, "quotaSlack": 110000,
	"recoveryS": 12, "transitMs": 120, "reuseWindowS": 10, "fencingEnforced": true, "leaseMs": 3000, "thawMs": 300, "versionMs": 8000,
	"versionAllMs": 11000,
}

// router is one process of the deploy file's role.
type router struct {
	name, settingsPath, logPath string
	callerAddr, readinessAddr   string
	cmd                         *exec.Cmd
	done                        chan struct{}
}

// endpoint is an engine that registers itself in the store.
type endpoint struct {
	id   string
	addr string
	// registration returns the value of its record.
	registration func() map[string]any
}

// fleet is a small deployment.
type fleet struct {
	root, dir string
	store     *hosting.LogStore
	storeAddr string
	proxy     *proxy
	routers   []*router
	record    *record

	mu        sync.Mutex
	endpoints []*endpoint
	revision  int64
	versions  int64
	config    map[string]any
	stop      chan struct{}
}

// newFleet starts the stand-in of the store behind a proxy.
func newFleet(root, dir string, rec *record) (*fleet, error) {
	f := &fleet{root: root, dir: dir, store: hosting.NewLogStore(), record: rec, stop: make(chan struct{}), versions: 1}
	addr, err := serve(f.store)
	if err != nil {
		return nil, err
	}
	f.storeAddr = addr
	if f.proxy, err = newProxy(addr); err != nil {
		return nil, err
	}
	go f.heartbeats()
	return f, nil
}

func serve(h http.Handler) (string, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(ln) }() // ends with the program
	return ln.Addr().String(), nil
}

// addEngine starts an engine of the project's own stand-in.
func (f *fleet) addEngine(id, service, model string) (*hosting.Engine, error) {
	e := hosting.NewEngine(id, service, model)
	addr, err := serve(e)
	if err != nil {
		return nil, err
	}
	f.addEndpoint(&endpoint{id: id, addr: addr, registration: func() map[string]any { return e.Registration(addr, zone, "ready") }})
	return e, nil
}

func (f *fleet) addEndpoint(e *endpoint) {
	f.mu.Lock()
	f.endpoints = append(f.endpoints, e)
	f.mu.Unlock()
	f.store.PutKey("keyed.servers", e.id, e.registration())
}

// heartbeats renews the registrations where they change, as engines do.
func (f *fleet) heartbeats() {
	last := map[string]string{}
	for {
		f.mu.Lock()
		endpoints := append([]*endpoint(nil), f.endpoints...)
		f.mu.Unlock()
		for _, e := range endpoints {
			r := e.registration()
			seq := r["sequence"]
			delete(r, "sequence")
			text, _ := json.Marshal(r) // plain values cannot fail
			r["sequence"] = seq
			if last[e.id] != string(text) {
				last[e.id] = string(text)
				f.store.PutKey("keyed.servers", e.id, r)
			}
		}
		select {
		case <-f.stop:
			return
		case <-time.After(heartbeatInterval / 4):
		}
	}
}

// route returns a route of a configuration.
func route(name, kind, service string, timeoutMs, targetMs int, resumable bool) map[string]any {
	return map[string]any{"name": name, "host": host, "pathPrefix": "/" + name + "/", "kind": kind, "timeoutMs": timeoutMs, "targetLatencyMs": targetMs,
		"gapTargetMs": 400, "service": service, "attempts": 2, "priority": 1, "public": false, "resumable": resumable, "stickySessions": service == "llm"}
}

// publish writes the next revision of the configuration and returns when the store had it.
func (f *fleet) publish(keys []string, routes ...map[string]any) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision += 3
	f.config = map[string]any{
		"version": f.revision, "routes": routes,
		"services": []any{
			map[string]any{"name": "llm", "healthCheckPath": "/health", "connectionLimit": 370, "protocol": "h1",
				"engine": map[string]any{"slots": 64, "cacheTokens": 105402, "tokenCacheBytes": 163840, "linkMbps": 550000.0, "concurrencyLimit": 12, "models": []any{map[string]any{"name": "m"}}}},
			map[string]any{"name": "plain", "healthCheckPath": "/health", "connectionLimit": 110, "protocol": "h1"},
		},
		"limits":  map[string]any{"headerBytes": 16384, "bodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "t1", "accessKeys": keys, "priority": 1, "unit": "tokens", "uncachedTokens": 200, "isolated": false, "ratePerS": 104374, "burst": 104374}},
	}
	f.store.PutKey("keyed.op", "config", f.config)
	return time.Now()
}

// nameVersion names the next version of the weights.
func (f *fleet) nameVersion() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.versions++
	f.store.PutKey("keyed.op", "version/m", map[string]any{"model": "m", "version": f.versions})
}

// startRouters starts routers with the command of the deploy file, and waits until they are ready.
func (f *fleet) startRouters(n int) error {
	for i := range n {
		if err := f.startRouter(i); err != nil {
			return err
		}
	}
	for _, r := range f.routers {
		if err := r.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) startRouter(i int) error {
	ip := fmt.Sprintf("127.77.0.%d", 11+i)
	ports := make([]string, 3)
	for j := range ports {
		addr, err := freeport.Addr()
		if err != nil {
			return err
		}
		_, ports[j], _ = net.SplitHostPort(addr)
	}
	name := fmt.Sprintf("front-%d", i+1)
	r := &router{name: name, settingsPath: filepath.Join(f.dir, name+".json"), logPath: filepath.Join(f.dir, name+".log"),
		callerAddr: ip + ":" + ports[0], readinessAddr: ip + ":" + ports[1]}
	var peerPort int
	_, _ = fmt.Sscan(ports[2], &peerPort) // a port is a number
	settings, err := json.Marshal(map[string]any{
		"nodeName": name, "role": "router", "machineClass": "front", "serves": []string{"front"}, "ipAddress": ip, "zone": zone, "region": "r",
		"zones": map[string]string{zone: "r"}, "listenAddresses": map[string]string{"front": r.callerAddr, "ready": r.readinessAddr},
		"internalPortRange": []int{peerPort, peerPort}, "firstStart": true, "countsTowardTolerance": false,
		"limits":    map[string]any{"processorShare": 0.304, "cores": 1, "memoryMb": 284, "fileDescriptors": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"discovery": "platform", "entry": "virtual_address", "heartbeatIntervalMs": heartbeatInterval.Milliseconds(),
		"contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "kvcache", "stream", "engine", "tenants", "quota", "platform"},
		"bounds":    bounds,
		"platform":  map[string]any{"address": f.proxy.addr(), "form": "log", "writesPerS": 400, "readsPerS": 2000, "keep_s": 300},
	})
	if err != nil {
		return err
	}
	if err := os.WriteFile(r.settingsPath, settings, 0o600); err != nil {
		return err
	}
	f.routers = append(f.routers, r)
	return f.launch(r)
}

// launch starts the process of a router.
func (f *fleet) launch(r *router) error {
	log, err := os.OpenFile(r.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	r.cmd = exec.Command(filepath.Join(f.root, "target", "kumquatsill"), "front", "--metrics-port", "9464")
	r.cmd.Dir = f.root
	r.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "KUMQUATSILL_BOOT=" + r.settingsPath}
	r.cmd.Stdout, r.cmd.Stderr = log, log
	r.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := r.cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	r.done = done
	go func(cmd *exec.Cmd) {
		_ = cmd.Wait()
		_ = log.Close()
		close(done)
	}(r.cmd)
	return nil
}

func (r *router) awaitReady() error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := http.Get("http://" + r.readinessAddr + "/kumquatsill/readiness")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
	}
	return fmt.Errorf("%s is not ready", r.name)
}

// close ends all processes that were started.
func (f *fleet) close() {
	close(f.stop)
	for _, r := range f.routers {
		if r.cmd == nil || r.cmd.Process == nil {
			continue
		}
		_ = r.cmd.Process.Signal(syscall.SIGCONT)
		_ = r.cmd.Process.Kill()
		<-r.done
	}
}
