package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"syscall"
	"time"

	"github.com/kumquatsill/kumquatsill/standin/hosting"
)

// fault is one kind of fault that a run injects.
type fault struct {
	name string
	// inject starts the fault. It returns the function that ends it, or nil if
	// nothing has to be undone.
	inject func(f *Fleet, rng *rand.Rand) func()
}

func pickRouter(f *Fleet, rng *rand.Rand) *process    { return f.routers[rng.IntN(len(f.routers))] }
func pickEndpoint(f *Fleet, rng *rand.Rand) *endpoint { return f.endpoints[rng.IntN(len(f.endpoints))] }

// faults lists all kinds of faults.
var faults = []fault{
	{"router_kill", func(f *Fleet, rng *rand.Rand) func() {
		p := pickRouter(f, rng)
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		<-p.done
		return func() { f.restart(p) }
	}},
	{"router_kill_all", func(f *Fleet, _ *rand.Rand) func() {
		for _, p := range f.routers {
			p.signal(syscall.SIGCONT)
			p.signal(syscall.SIGKILL)
		}
		return func() {
			for _, p := range f.routers {
				f.restart(p)
			}
		}
	}},
	{"router_pause", func(f *Fleet, rng *rand.Rand) func() {
		p := pickRouter(f, rng)
		p.signal(syscall.SIGSTOP)
		return func() { p.signal(syscall.SIGCONT) }
	}},
	{"router_stop", func(f *Fleet, rng *rand.Rand) func() {
		p := pickRouter(f, rng)
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGTERM)
		return func() {
			p.waitOrKill(gracePeriod + time.Second)
			f.restart(p)
		}
	}},
	{"router_hangup", func(f *Fleet, rng *rand.Rand) func() {
		// Until the process has installed its handler, SIGHUP terminates it.
		if p := pickRouter(f, rng); p.undisturbedFor() > startupTime {
			p.signal(syscall.SIGHUP)
		}
		return nil
	}},
	{"store_down", func(f *Fleet, _ *rand.Rand) func() {
		f.store.SetDown(true)
		return func() { f.store.SetDown(false) }
	}},
	{"store_forgets", func(f *Fleet, _ *rand.Rand) func() {
		f.store.Truncate("keyed.servers")
		return nil
	}},
	{"store_path", func(f *Fleet, rng *rand.Rand) func() { return injectConnectionFault(f.storeProxy, rng) }},
	{"endpoint_path", func(f *Fleet, rng *rand.Rand) func() { return injectConnectionFault(pickEndpoint(f, rng).proxy, rng) }},
	{"endpoint_fails", func(f *Fleet, rng *rand.Rand) func() {
		service := pickEndpoint(f, rng).engine.Service
		f.failRuns(service, everyThirdRun(rng.IntN(4)))
		return func() { f.failRuns(service, func(int) hosting.Failure { return hosting.NoFailure }) }
	}},
	{"endpoint_leaves", func(f *Fleet, rng *rand.Rand) func() {
		e := pickEndpoint(f, rng)
		f.setState(e, []string{"draining", "gone"}[rng.IntN(2)])
		return func() { f.setState(e, "ready") }
	}},
	{"new_weights", func(f *Fleet, _ *rand.Rand) func() {
		f.announceVersion()
		return nil
	}},
	{"new_key", func(f *Fleet, _ *rand.Rand) func() {
		f.replaceKey()
		return nil
	}},
}

// everyThirdRun fails each third run, by the kinds of failure in turn, so that even
// a short fault shows each of them to requests of each kind.
func everyThirdRun(first int) func(run int) hosting.Failure {
	return func(run int) hosting.Failure {
		if run%3 != 0 {
			return hosting.NoFailure
		}
		return hosting.Failure(1 + (first+run/3)%hosting.NumFailures)
	}
}

// failRuns sets how the runs of all endpoints of a service fail. A failure on a
// single endpoint would hit too few of the requests that may run only once.
func (f *Fleet) failRuns(service string, how func(run int) hosting.Failure) {
	for _, e := range f.endpoints {
		if e.engine.Service == service {
			e.engine.SetFailure(how)
		}
	}
}

// injectConnectionFault sets a random fault on a proxy and returns the function
// that clears it.
func injectConnectionFault(p *proxy, rng *rand.Rand) func() {
	p.setFault(ConnectionFault(1 + rng.IntN(4)))
	return func() { p.setFault(NoFault) }
}

// logFault writes a line to the fault log of the run.
func (f *Fleet) logFault(what string) {
	_, _ = fmt.Fprintln(f.faultLog, time.Now().UTC().Format("15:04:05.000"), what) // the log is informational; losing a line is harmless
}

// restart starts a router again, after killing its process if it still runs.
func (f *Fleet) restart(p *process) {
	select {
	case <-p.done:
	default:
		p.signal(syscall.SIGKILL)
		<-p.done
	}
	if err := f.startRouter(p); err != nil {
		panic(fmt.Sprintf("restarting router %s: %v", p.name, err))
	}
}

const (
	minFaultGap, maxFaultGap           = 50 * time.Millisecond, 900 * time.Millisecond
	minFaultDuration, maxFaultDuration = 100 * time.Millisecond, 2500 * time.Millisecond
	// startupTime is how long a process may take to install its signal handlers.
	startupTime = 100 * time.Millisecond
	// maxActiveFaults is the number of faults that may be active at once.
	maxActiveFaults = 3
)

func randomDuration(rng *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(rng.Int64N(int64(high-low)))
}

// injectFaults injects faults for the duration d and then ends all of them. It
// returns how often each kind was injected. A router fault ends all active
// faults first: a process that is being stopped, for example, cannot be paused.
func (f *Fleet) injectFaults(rng *rand.Rand, d time.Duration) map[string]int {
	counts := map[string]int{}
	type activeFault struct {
		name  string
		until time.Time
		end   func()
	}
	var active []activeFault
	finish := func(all bool) {
		kept := active[:0]
		for _, l := range active {
			if all || time.Now().After(l.until) {
				f.logFault("end of " + l.name)
				l.end()
			} else {
				kept = append(kept, l)
			}
		}
		active = kept
	}
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(randomDuration(rng, minFaultGap, maxFaultGap))
		finish(len(active) >= maxActiveFaults)
		kind := faults[rng.IntN(len(faults))]
		if strings.HasPrefix(kind.name, "router_") {
			finish(true)
		}
		counts[kind.name]++
		f.logFault(kind.name)
		if stop := kind.inject(f, rng); stop != nil {
			active = append(active, activeFault{kind.name, time.Now().Add(randomDuration(rng, minFaultDuration, maxFaultDuration)), stop})
		}
	}
	finish(true)
	return counts
}
