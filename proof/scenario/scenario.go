// Package scenario runs a small simulated fleet under load and faults and checks it
// with the oracle. The same seed repeats a run exactly.
package scenario

import (
	"fmt"
	"slices"
	"time"

	"github.com/kumquatsill/kumquatsill/core/check"
	"github.com/kumquatsill/kumquatsill/core/configlog"
	"github.com/kumquatsill/kumquatsill/core/limit"
	"github.com/kumquatsill/kumquatsill/core/note"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/proof/drive"
	"github.com/kumquatsill/kumquatsill/proof/fleet"
	"github.com/kumquatsill/kumquatsill/proof/oracle"
	"github.com/kumquatsill/kumquatsill/standin/engine"
	"github.com/kumquatsill/kumquatsill/standin/logsvc"
)

const (
	defaultRouters = 3
	numEngines     = 4
	numServices    = 2
	// defaultSettleTime is how long a run continues after the last fault and request.
	// It exceeds every timeout, so that all requests and faults have ended.
	defaultSettleTime = 3 * time.Minute
	pollInterval      = 100 * time.Millisecond
	// maxRestartTime is the time within which a restarted router must be ready.
	maxRestartTime = 2 * time.Second
)

// EngineLosses is the bound on the number of engines that one request crashes.
const EngineLosses check.Invariant = "engine-losses"

// StaleOrder is the rule that no engine gets an order with an old fencing token.
const StaleOrder check.Invariant = "stale-order"

// Recovery is the rule that every router serves requests again at the end of a run.
const Recovery check.Invariant = "recovery"

// Domains are the failure domains of a run.
var Domains = []proto.Domain{"d0", "d1", "d2"}

// Failure is a failed check.
type Failure struct {
	Invariant check.Invariant
	Detail    string
	At        proto.Instant
}

// Settings describe a run. Zero fields take defaults.
type Settings struct {
	Seed    uint64
	Routers int
	// SettleTime is how long the run continues after the last fault and request.
	SettleTime time.Duration
	// RequestTimeout is the deadline of each request.
	RequestTimeout time.Duration
	// ResumeStreams makes callers of a crashed router resume their streams through
	// another one.
	ResumeStreams bool
	// Alter, if set, replaces each message that is sent, to break a mechanism.
	Alter func(e proto.Envelope) proto.Envelope
	// WrapLimiter, if set, wraps the limiter of each router; the oracle observes the
	// wrapped limiter.
	WrapLimiter func(limit.Limiter) limit.Limiter
}

// Run is one run of a simulated fleet.
type Run struct {
	*fleet.Fleet
	Oracle   *oracle.Oracle
	Failures []Failure
	// Target, if set, fixes what faults hit.
	Target *Target
	// Resumed counts streams that were resumed through another router.
	Resumed int
	// Events is the log of injected faults, shown for a failing seed.
	Events []string
	// Sent, if set, is called with each message when it is sent.
	Sent func(e proto.Envelope)

	settings   Settings
	first      note.Note
	accounts   []note.Account
	keys       map[proto.AccountID]proto.KeyHash
	faultRules []faultRule
	onEnd      map[proto.RequestID]func()
	// logState is the configuration state at the head of the log.
	logState *configlog.State
	// crashed holds the router incarnations that crashed.
	crashed       map[proto.Addr]bool
	logFaultUntil proto.Instant
	// lateReports is set once the report of a crash may arrive after its attempt was
	// given up because no message came; see TestEngineLossesWithLateReports.
	lateReports bool
	// clockOffset is the clock offset of nodes that start from now on.
	clockOffset time.Duration
	wallClock   time.Time
	prefixBase  uint64
	// returnAt is when the operator brings back each endpoint that left by note.
	returnAt map[proto.EndpointID]proto.Instant

	requests, keyCount, notes, orders, crashing, crashes int
}

// faultRule returns the fault of each message until the rule expires.
type faultRule struct {
	until proto.Instant
	rule  func(e proto.Envelope) drive.MessageFault
}

// StartWithoutWait builds a fleet and submits the first note, without waiting for it.
func StartWithoutWait(s Settings) *Run {
	if s.Routers == 0 {
		s.Routers = defaultRouters
	}
	if s.SettleTime == 0 {
		s.SettleTime = defaultSettleTime
	}
	if s.RequestTimeout == 0 {
		s.RequestTimeout = requestTimeout
	}
	r := &Run{
		settings:  s,
		keys:      map[proto.AccountID]proto.KeyHash{},
		returnAt:  map[proto.EndpointID]proto.Instant{},
		onEnd:     map[proto.RequestID]func(){},
		crashed:   map[proto.Addr]bool{},
		logState:  configlog.NewState(nil),
		wallClock: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
	}
	checks := &check.Monitor{OnFail: r.RecordFailure}
	r.first = r.firstNote()
	r.Oracle = oracle.New(checks, map[proto.KeyHash]proto.AccountID{})
	r.Fleet = fleet.Start(fleet.Config{
		Drive:       drive.Config{Seed: s.Seed, MessageFault: r.messageFault, Observe: r.Oracle.Observe, Sent: r.sent, Alter: s.Alter},
		Routers:     s.Routers,
		Domains:     Domains,
		Note:        r.first,
		Log:         logsvc.Config{Seed: s.Seed, OnAppend: r.onAppend},
		Checks:      checks,
		Engine:      engine.Config{CrashOn: CrashPrompt},
		WrapLimiter: r.wrapLimiter,
		ClockOffset: func(proto.Addr) time.Duration { return r.clockOffset },
	})
	r.Callers.OnEnd = func(a *fleet.Response) {
		if f := r.onEnd[a.Request.ID]; f != nil {
			f()
		}
	}
	r.pollRouters()
	return r
}

// Start builds a fleet for a seed and waits until it is ready.
func Start(seed uint64) (*Run, error) { return StartWith(Settings{Seed: seed}) }

// StartWith builds a fleet and waits until it is ready.
func StartWith(s Settings) (*Run, error) {
	r := StartWithoutWait(s)
	if !r.WaitReady(1) {
		return nil, fmt.Errorf("seed %d: the first note is not in force: %+v", s.Seed, r.Callers.NoteOutcomes)
	}
	return r, nil
}

func (r *Run) wrapLimiter(l limit.Limiter) limit.Limiter {
	if r.settings.WrapLimiter != nil {
		l = r.settings.WrapLimiter(l)
	}
	return r.Oracle.MonitorLimiter(l, r.now)
}

func (r *Run) now() proto.Instant { return r.Sim.Now() }

// RecordFailure records a failed check.
func (r *Run) RecordFailure(inv check.Invariant, detail string) {
	r.Failures = append(r.Failures, Failure{Invariant: inv, Detail: detail, At: r.now()})
}

func (r *Run) firstNote() note.Note {
	var n note.Note
	for i := range 3 {
		a := note.Account{ID: proto.AccountID(fmt.Sprintf("account-%d", i)), Rate: 20_000, Burst: 200_000}
		key := proto.KeyHash(fmt.Sprintf("%064x", i+1))
		r.accounts = append(r.accounts, a)
		r.keys[a.ID] = key
		n.Added.Accounts = append(n.Added.Accounts, a)
		n.Added.Keys = append(n.Added.Keys, note.Key{Hash: key, Account: a.ID})
	}
	n.Added.Models = []note.Model{{Name: "assistant", Version: "v1"}}
	for i := range numEngines {
		n.Added.Endpoints = append(n.Added.Endpoints, note.Endpoint{
			ID: EngineID(i), Kind: note.KindEngine, Domain: Domains[i%len(Domains)],
			Addr: fmt.Sprintf("127.0.0.1:%d", 7100+i), Models: []string{"assistant"}, ChecksFence: i%2 == 0,
		})
	}
	for i := range numServices {
		n.Added.Endpoints = append(n.Added.Endpoints, note.Endpoint{
			ID: ServiceID(i), Kind: note.KindService, Domain: Domains[i%len(Domains)],
			Addr: fmt.Sprintf("127.0.0.1:%d", 7200+i), Service: "orders",
		})
	}
	n.Added.Routes = []note.Route{
		{Method: "POST", Path: "/orders", Service: "orders"},
		{Method: "GET", Path: "/orders/", Service: "orders", Idempotent: true},
	}
	return n
}

// EngineID returns the id of engine i.
func EngineID(i int) proto.EndpointID { return proto.EndpointID(fmt.Sprintf("e%d", i)) }

// ServiceID returns the id of service endpoint i.
func ServiceID(i int) proto.EndpointID { return proto.EndpointID(fmt.Sprintf("s%d", i)) }

// pollRouters passes snapshots of all routers to the oracle every pollInterval.
func (r *Run) pollRouters() {
	for i, router := range r.Routers {
		addr := r.RouterAddr(i)
		r.Sim.Call(addr, func(local proto.Instant) {
			r.Oracle.CheckRouter(r.now(), local, r.RouterID(i), router.Snapshot())
		})
	}
	r.Sim.After(pollInterval, r.pollRouters)
}

func (r *Run) sent(now proto.Instant, e proto.Envelope) {
	r.Oracle.Sent(now, e)
	if r.Sent != nil {
		r.Sent(e)
	}
}

// messageFault combines the faults of all active rules for a message.
func (r *Run) messageFault(now proto.Instant, e proto.Envelope) drive.MessageFault {
	var total drive.MessageFault
	for _, f := range r.faultRules {
		if now > f.until {
			continue
		}
		one := f.rule(e)
		total.Drop = total.Drop || one.Drop
		total.Copies += one.Copies
		total.Delay += one.Delay
	}
	return total
}

// InjectMessageFaults applies a rule to all messages for the duration d.
func (r *Run) InjectMessageFaults(d time.Duration, rule func(e proto.Envelope) drive.MessageFault) {
	r.faultRules = append(r.faultRules, faultRule{until: r.now().Add(d), rule: rule})
}

// expectLogFault records that routers may be unable to read the log for the
// duration d.
func (r *Run) expectLogFault(d time.Duration) {
	r.logFaultUntil = max(r.logFaultUntil, r.now().Add(d))
}

// checkRestart checks that a router that was started while the log was reachable is
// ready within maxRestartTime.
func (r *Run) checkRestart(i int) {
	id := r.RouterID(i)
	if r.now() < r.logFaultUntil {
		return
	}
	r.Sim.After(maxRestartTime, func() {
		if r.RouterID(i) == id && r.Sim.Alive(r.RouterAddr(i)) && r.now() >= r.logFaultUntil {
			r.Oracle.CheckRestarted(r.RouterAddr(i), r.Routers[i].Snapshot())
		}
	})
}

func (r *Run) logEvent(format string, args ...any) {
	r.Events = append(r.Events, fmt.Sprintf("%8.3fs ", r.now().Sub(0).Seconds())+fmt.Sprintf(format, args...))
}

// Finish lets all requests and faults end, and applies the final checks.
func (r *Run) Finish() {
	r.Sim.Run(r.settings.SettleTime)
	for _, a := range r.Callers.All() {
		r.checkOutcome(a)
	}
	if n := r.RunCounter.RepeatedOrders(); n > 0 {
		r.RecordFailure(check.AtMostOnce, fmt.Sprintf("%d orders ran more than once", n))
	}
	r.checkEngines()
	r.checkRecovery()
}

// checkOutcome checks that a request got exactly one outcome. A request through a
// router that crashed gets none, and its caller sends it again.
func (r *Run) checkOutcome(a *fleet.Response) {
	if !a.Done() && r.Sim.Alive(a.Router) {
		r.RecordFailure(check.AnswerMatch, fmt.Sprintf("request %s did not end", a.Request.ID))
	}
	if !a.Done() && r.Fleet.Drained[a.Router] && a.SentAt < r.Oracle.StoppingSince(a.Router) {
		r.RecordFailure(check.GracefulStop, fmt.Sprintf("request %s did not end before its router completed a graceful shutdown", a.Request.ID))
	}
	if a.ExtraMessages > 0 {
		r.RecordFailure(check.AnswerMatch, fmt.Sprintf("request %s got %d messages after its end", a.Request.ID, a.ExtraMessages))
	}
	if !r.crashed[a.Router] {
		r.Oracle.CheckEnded(a.Request.ID, a.Done())
	}
}

// checkEngines checks how many engines the crashing requests have crashed, and that
// no engine got an order with an old fencing token.
func (r *Run) checkEngines() {
	crashes := -r.crashes
	for i := range numEngines {
		counts := r.Engines[EngineID(i)].Counts
		crashes += counts.Crashes
		if counts.StaleOrders > 0 {
			r.RecordFailure(StaleOrder, fmt.Sprintf("%s got %d orders with an old fencing token", EngineID(i), counts.StaleOrders))
		}
	}
	if crashes > maxEngineLosses*r.crashing && !r.lateReports {
		r.RecordFailure(EngineLosses, fmt.Sprintf("%d crashing requests crashed %d engines", r.crashing, crashes))
	}
}

// recoveryTimeout is far longer than a small request takes in an idle fleet.
const recoveryTimeout = 10 * time.Second

// checkRecovery checks that after all faults every running router has the newest
// revision and serves a generation and a call that is not idempotent.
func (r *Run) checkRecovery() {
	var last []*fleet.Response
	for i, router := range r.Routers {
		if !r.Sim.Alive(r.RouterAddr(i)) {
			continue
		}
		if s := router.Snapshot(); s.Draining {
			continue
		} else if !s.Ready || s.Config.Revision != r.logState.Snapshot().Revision {
			r.RecordFailure(Recovery, fmt.Sprintf("router %s is at revision %d of %d, ready: %t",
				r.RouterID(i), s.Config.Revision, r.logState.Snapshot().Revision, s.Ready))
		}
		last = append(last, r.Send(i, r.Generation(0, 1)), r.Send(i, r.Order(1, fmt.Sprintf("last-%d", i))))
	}
	r.Sim.RunUntil(recoveryTimeout, func() bool {
		return !slices.ContainsFunc(last, func(a *fleet.Response) bool { return !a.Done() })
	})
	for _, a := range last {
		if a.Finish == nil {
			r.RecordFailure(Recovery, fmt.Sprintf("request %s through %v is not served after all faults: %+v", a.Request.ID, a.Router, a.Refusal))
		}
	}
}

// Key returns the key of an account.
func (r *Run) Key(account int) proto.KeyHash { return r.keys[r.accounts[account].ID] }
