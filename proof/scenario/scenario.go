// Package scenario runs a small fleet under load and faults in virtual time,
// with the oracle watching. A run is repeated exactly by its seed.
package scenario

import (
	"fmt"
	"time"

	"github.com/kumquatsill/kumquatsill/core/check"
	"github.com/kumquatsill/kumquatsill/core/limit"
	"github.com/kumquatsill/kumquatsill/core/note"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/proof/drive"
	"github.com/kumquatsill/kumquatsill/proof/fleet"
	"github.com/kumquatsill/kumquatsill/proof/oracle"
	"github.com/kumquatsill/kumquatsill/standin/logsvc"
)

const (
	numRouters  = 3
	numEngines  = 4
	numServices = 2
	// quietTime is how long a run goes on after the last fault and request,
	// so that everything comes to its end: longer than any timeout.
	quietTime = 3 * time.Minute
	pollEvery = 100 * time.Millisecond
)

// Domains are the failure domains of a run.
var Domains = []proto.Domain{"d0", "d1", "d2"}

// Failure is one check that failed.
type Failure struct {
	Invariant check.Invariant
	Detail    string
	At        proto.Instant
}

// Run is one run of a fleet.
type Run struct {
	*fleet.Fleet
	Oracle   *oracle.Oracle
	Failures []Failure

	seed     uint64
	accounts []note.Account
	keys     map[proto.AccountID]proto.KeyHash
	fates    []fateRule
	requests int
	// Log of what was done, for a failing seed.
	Events []string
}

// fateRule decides on messages until it ends.
type fateRule struct {
	until proto.Instant
	rule  func(e proto.Envelope) drive.Fate
}

// Start builds a fleet for a seed and waits until it serves.
func Start(seed uint64) (*Run, error) {
	r := &Run{seed: seed, keys: map[proto.AccountID]proto.KeyHash{}}
	checks := &check.Set{OnFail: r.fail}
	first := r.firstNote()
	owners := map[proto.KeyHash]proto.AccountID{}
	for _, k := range first.Added.Keys {
		owners[k.Hash] = k.Account
	}
	r.Oracle = oracle.New(checks, owners)
	r.Fleet = fleet.Start(fleet.Config{
		Drive:       drive.Config{Seed: seed, Fate: r.fate, Observe: r.Oracle.Observe},
		Routers:     numRouters,
		Domains:     Domains,
		Note:        first,
		Log:         logsvc.Config{Seed: seed},
		Checks:      checks,
		WrapLimiter: func(l limit.Limiter) limit.Limiter { return r.Oracle.Watch(l, r.now) },
	})
	for _, a := range r.accounts {
		r.Oracle.SetAccount(0, a)
	}
	if !r.WaitReady(1) {
		return nil, fmt.Errorf("seed %d: the first note is not in force: %+v", seed, r.Callers.Notes)
	}
	r.poll()
	return r, nil
}

func (r *Run) now() proto.Instant { return r.World.Now() }

func (r *Run) fail(inv check.Invariant, detail string) {
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

// EngineID names engine i.
func EngineID(i int) proto.EndpointID { return proto.EndpointID(fmt.Sprintf("e%d", i)) }

// ServiceID names service endpoint i.
func ServiceID(i int) proto.EndpointID { return proto.EndpointID(fmt.Sprintf("s%d", i)) }

// poll looks at all routers again and again.
func (r *Run) poll() {
	for i, router := range r.Routers {
		if r.World.Alive(r.RouterAddr(i)) {
			r.Oracle.Router(r.now(), r.now(), r.RouterID(i), router.Snapshot())
		}
	}
	r.World.After(pollEvery, r.poll)
}

// fate applies the rules in force to a message.
func (r *Run) fate(now proto.Instant, e proto.Envelope) drive.Fate {
	var total drive.Fate
	for _, f := range r.fates {
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

// During applies a rule to messages for a while.
func (r *Run) During(d time.Duration, rule func(e proto.Envelope) drive.Fate) {
	r.fates = append(r.fates, fateRule{until: r.now().Add(d), rule: rule})
}

func (r *Run) event(format string, args ...any) {
	r.Events = append(r.Events, fmt.Sprintf("%8.3fs ", r.now().Sub(0).Seconds())+fmt.Sprintf(format, args...))
}

// Finish lets everything come to its end and applies the checks that need that.
func (r *Run) Finish() {
	r.World.Run(quietTime)
	for _, a := range r.Callers.All() {
		r.checkEnd(a)
	}
	if n := r.Book.Doubles(); n > 0 {
		r.fail(check.AtMostOnce, fmt.Sprintf("%d orders ran more than once", n))
	}
}

// checkEnd checks that a request got exactly one end. A request through a
// router that crashed gets none, and is sent again by its caller.
func (r *Run) checkEnd(a *fleet.Answer) {
	if !a.Done() && r.World.Alive(a.Router) {
		r.fail(check.AnswerMatch, fmt.Sprintf("request %s has no end", a.Request.ID))
	}
	if !a.Done() && r.Fleet.Drained[a.Router] && a.Sent < r.Oracle.StoppingSince(a.Router) {
		r.fail(check.GracefulStop, fmt.Sprintf("request %s was left without an end by a graceful shutdown", a.Request.ID))
	}
	if a.Extra > 0 {
		r.fail(check.AnswerMatch, fmt.Sprintf("request %s got %d messages after its end", a.Request.ID, a.Extra))
	}
}

// Key returns the key of an account.
func (r *Run) Key(account int) proto.KeyHash { return r.keys[r.accounts[account].ID] }
