package soak

import (
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"time"
)

// Config describes one run.
type Config struct {
	// Binary is the path of the router; settings and logs go to Dir.
	Binary, Dir string
	Seed        uint64
	// FaultDuration is the length of the phase in which faults are injected.
	FaultDuration time.Duration
	Size          Size
	Clients       int
}

// Result holds the outcome of one run.
type Result struct {
	Seed        uint64
	Attempts    int
	Statuses    map[int]int
	FaultCounts map[string]int
	Violations  []Violation
}

const (
	readyTimeout = 20 * time.Second
	// recoveryTimeout is how long the routers may take after the last fault until
	// all of them serve every kind of request.
	recoveryTimeout = 15 * time.Second
	// lastOutageTime is longer than a read of a router waits for a record.
	lastOutageTime = 2500 * time.Millisecond
	// trailingRunTime is the wait for runs that endpoints start after the clients
	// have stopped.
	trailingRunTime = 1500 * time.Millisecond
)

// Run starts a fleet, injects faults under load and checks the guarantees.
func Run(cfg Config) (Result, error) {
	result := Result{Seed: cfg.Seed, Statuses: map[int]int{}}
	f, err := NewFleet(cfg.Binary, cfg.Dir, cfg.Size)
	if err != nil {
		return result, err
	}
	defer f.Close()
	if !f.waitServing(readyTimeout) {
		return result, fmt.Errorf("the fleet is not serving %v after its start", readyTimeout)
	}
	lasting := f.startConditions(rand.New(rand.NewPCG(cfg.Seed, 0xc0)))
	c := startClients(f, cfg.Clients, cfg.Seed)
	result.FaultCounts = f.injectFaults(rand.New(rand.NewPCG(cfg.Seed, 0xfa)), cfg.FaultDuration)
	recovered := f.waitServing(recoveryTimeout)
	if recovered {
		f.lastOutage()
		recovered = f.waitServing(recoveryTimeout)
	}
	attempts := c.end()
	time.Sleep(trailingRunTime)
	o := f.observations(attempts)
	o.conditions = lasting
	result.Violations = o.check()
	f.mu.Lock()
	for _, end := range f.unexpectedExits {
		result.Violations = append(result.Violations, Violation{"no-own-end", end})
	}
	f.mu.Unlock()
	if !recovered {
		f.dumpStacks()
		result.Violations = append(result.Violations, Violation{"recovery", fmt.Sprintf("not all routers are serving %v after the last fault", recoveryTimeout)})
	}
	result.Attempts = len(attempts)
	for _, a := range attempts {
		result.Statuses[a.status]++
	}
	return result, nil
}

// lastOutage takes the store away from routers that all run, and then replaces a key, which
// only routers that follow the store again accept.
func (f *Fleet) lastOutage() {
	f.logFault("last outage of the store")
	f.store.SetDown(true)
	time.Sleep(lastOutageTime)
	f.store.SetDown(false)
	f.replaceKey()
}

// waitServing waits until each router serves every kind of request. It reports
// whether that happened within the limit.
func (f *Fleet) waitServing(limit time.Duration) bool {
	n := 0
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		all := true
		for _, p := range f.routers {
			for _, kind := range requestKinds {
				n++
				all = all && f.probe(p, kind, fmt.Sprintf("probe-%d", n))
			}
		}
		if all {
			return true
		}
	}
	return false
}

// dumpStacks makes the processes write their goroutine stacks to their logs and exit.
func (f *Fleet) dumpStacks() {
	for _, p := range f.routers {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGQUIT)
		p.waitOrKill(time.Second)
	}
}

// probe sends one request and reports whether it was served.
func (f *Fleet) probe(p *process, kind, id string) bool {
	f.mu.Lock()
	key := f.keys[len(f.keys)-1]
	f.mu.Unlock()
	req, err := http.NewRequest(http.MethodPost, "http://"+p.callerAddr+"/"+kind+"/x", strings.NewReader("body"))
	if err != nil {
		return false
	}
	req.Host, req.Close = host, true
	req.Header.Set("Kumquatsill-Attempt-Id", id)
	req.Header.Set("Authorization", "Token "+key)
	if kind == "sheet" || kind == "chat" {
		req.Header.Set("Kumquatsill-Model", "m")
		req.Header.Set("Kumquatsill-Prompt-Prefix", "top:10,"+id+":5")
	}
	client := http.Client{Timeout: 2 * time.Second}
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}

// String returns a summary line and one line for each violation.
func (r Result) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d: %d requests", r.Seed, r.Attempts)
	for _, status := range slices.Sorted(maps.Keys(r.Statuses)) {
		fmt.Fprintf(&b, ", %d x %d", r.Statuses[status], status)
	}
	b.WriteString("; faults:")
	for _, name := range slices.Sorted(maps.Keys(r.FaultCounts)) {
		fmt.Fprintf(&b, " %s %d", name, r.FaultCounts[name])
	}
	for _, v := range r.Violations {
		b.WriteString("\n  BROKEN " + v.String())
	}
	return b.String()
}
