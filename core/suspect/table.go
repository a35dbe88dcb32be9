// Package suspect limits what requests that crash endpoints can destroy. A
// fingerprint that was in flight at a crash runs alone, one trial at a time
// in the fleet, and is quarantined after a second crash. The package contains
// no I/O; its types belong to a router's control machine.
package suspect

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/kumquatsill/kumquatsill/core/ledger"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

const (
	// recallGrace is the time that routers need to cancel copies of a new
	// suspect that are in flight, and that the first trial waits.
	recallGrace = time.Second
	// MaxTrialDuration is the longest time that a trial runs, from its request on
	// the clock of the router that runs it.
	MaxTrialDuration = time.Minute
	// voidAfter is the age, from the reading of its record, at which another
	// router takes a trial for void. The margin covers the way to the agent,
	// which ends the attempt after its own timeout.
	voidAfter = MaxTrialDuration + 10*time.Second
	// decideTimeout bounds the wait for a decision of the log.
	decideTimeout = 3 * time.Second
	// holdTimeout is the age of a record at which a router that has not read
	// it has stopped keyed traffic for lack of freshness.
	holdTimeout = 4 * time.Second
	// settledAfter drops a crash whose confirmed record was skipped by a checkpoint.
	settledAfter = 10 * time.Second
	retryAfter   = 2 * time.Second
	// releaseJitter spreads the routers that release an expired entry.
	releaseJitter = 30 * time.Second
	resendEvery   = time.Second
	expireEvery   = time.Second
	// holdPoll is how often a waiting request looks at the other routers.
	holdPoll   = 50 * time.Millisecond
	maxWaiting = 1024
	maxPending = 1024
	// maxGossip bounds the crashes in one beat.
	maxGossip = 64
)

// Log is the part of the log client that a Table uses.
type Log interface {
	Append(now proto.Instant, stream string, kind proto.RecordKind, body any) (proto.RecordID, error)
	SetDeadline(id proto.RecordID, at proto.Instant)
	Abandon(id proto.RecordID)
	Reachable(now proto.Instant) bool
}

// Config connects a Table to its router.
type Config struct {
	Self   proto.Addr
	Router proto.RouterID
	Seed   uint64
	// QuarantineDuration returns Policy.QuarantineDuration. It also is how long a suspicion lasts.
	QuarantineDuration func() time.Duration
	// EngineIncarnation returns the last incarnation that an endpoint's agent reported,
	// and when.
	EngineIncarnation func(proto.EndpointID) (proto.Incarnation, proto.Instant, bool)
	// ReadByAll reports whether every live router has read the config stream
	// beyond an offset.
	ReadByAll func(proto.Offset) bool
}

// Counters count what a Table did.
type Counters struct {
	Crashes, Trials, ClaimsLost, Cleared, Crashed, Refused, Overflow int64
}

// pending is a crash or a trial's end that this router knows and the register
// does not show yet.
type pending struct {
	key  Key
	kind proto.RecordKind
	body any
	id   proto.RecordID
	// confirmed is when the log confirmed the record; 0 before.
	confirmed proto.Instant
	sendAt    proto.Instant
	// heard is set on a peer's crash, which the peer appends.
	heard bool
}

// waiting is a TrialWanted without an answer.
type waiting struct {
	m     proto.TrialWanted
	key   Key
	until proto.Instant
	// id is the trial record that was appended, if any.
	id proto.RecordID
	// failed is the cause of a refusal that waits for the other routers.
	failed proto.Cause
}

// Table decides trials for the exchanges of one router.
type Table struct {
	proto.Outbox
	cfg      Config
	log      Log
	reg      *Register
	rng      *rand.Rand
	pending  []*pending
	waiting  []*waiting
	releases map[Key]release
	// expireAt is when expireEntries looks at the register next.
	expireAt proto.Instant
	counters Counters
	faults   faults
}

// release is a planned release of an expired entry.
type release struct {
	since proto.Offset
	at    proto.Instant
}

// faults switch single rules off, for the tests of the checks.
type faults struct{ skipTrial, voidByTime, skipHold bool }

// New returns a Table that decides on a register which the owner folds.
func New(cfg Config, log Log, reg *Register) *Table {
	return &Table{
		Outbox: proto.NewOutbox(cfg.Self), cfg: cfg, log: log, reg: reg,
		rng: rand.New(rand.NewPCG(cfg.Seed, 0x73757370)), releases: map[Key]release{},
	}
}

// Counters returns the counters.
func (t *Table) Counters() Counters { return t.counters }

// Snapshot returns the fingerprints to refuse at once and those that have to
// ask by TrialWanted. A quarantine that other routers may not have read yet
// is among the latter, since the refusal has to wait for them.
func (t *Table) Snapshot(now proto.Instant) (quarantined, suspects map[Key]bool) {
	quarantined, suspects = map[Key]bool{}, map[Key]bool{}
	for _, p := range t.pending {
		suspects[p.key] = true
	}
	for k, e := range t.reg.entries {
		if e.Quarantined && t.settled(now, *e) {
			quarantined[k] = true
			delete(suspects, k)
		} else {
			suspects[k] = true
		}
	}
	return quarantined, suspects
}

// settled reports whether every router that serves has read the present
// state of an entry. One that has not stops keyed traffic after holdTimeout.
func (t *Table) settled(now proto.Instant, e Entry) bool {
	return t.faults.skipHold || now.Sub(e.seen) >= holdTimeout || t.cfg.ReadByAll(e.Since)
}

// CrashSeen takes a crash outside a trial, the end of a trial comes as TrialEnded.
func (t *Table) CrashSeen(now proto.Instant, m proto.CrashSeen) {
	if m.Alone {
		return
	}
	t.counters.Crashes++
	key := Key{Account: m.Account, Fingerprint: m.Fingerprint}
	body := Suspect{Key: key, Crash: Crash{Endpoint: m.Endpoint, Incarnation: m.Incarnation}}
	if e, ok := t.reg.Get(key); ok && slices.Contains(e.Crashes, body.Crash) {
		return
	}
	same := func(p *pending) bool { return p.body == any(body) && !p.heard }
	if !slices.ContainsFunc(t.pending, same) {
		t.record(now, &pending{key: key, kind: KindSuspect, body: body})
	}
}

// Crashes returns the crashes that this router knows and that others may not
// have read in the log. They go to the peers with each beat.
func (t *Table) Crashes() []proto.CrashSeen {
	var out []proto.CrashSeen
	add := func(k Key, c Crash) {
		if len(out) < maxGossip {
			out = append(out, proto.CrashSeen{
				Account: k.Account, Fingerprint: k.Fingerprint, Endpoint: c.Endpoint, Incarnation: c.Incarnation,
			})
		}
	}
	for _, p := range t.pending {
		if b, ok := p.body.(Suspect); ok && !p.heard {
			add(b.Key, b.Crash)
		}
	}
	for _, k := range t.sortedKeys() {
		e := t.reg.entries[k]
		if len(e.Crashes) > 0 && !t.cfg.ReadByAll(e.Since) {
			add(k, e.Crashes[0])
		}
	}
	return out
}

// HandlePeerCrashes takes the crashes of a peer's beat. Their fingerprints are suspects
// here for a while, or until the log shows them.
func (t *Table) HandlePeerCrashes(now proto.Instant, crashes []proto.CrashSeen) {
	for _, m := range crashes {
		key := Key{Account: m.Account, Fingerprint: m.Fingerprint}
		body := Suspect{Key: key, Crash: Crash{Endpoint: m.Endpoint, Incarnation: m.Incarnation}}
		if e, ok := t.reg.Get(key); ok && slices.Contains(e.Crashes, body.Crash) {
			continue
		}
		i := slices.IndexFunc(t.pending, func(p *pending) bool { return p.body == any(body) })
		switch {
		case i >= 0 && t.pending[i].heard:
			t.pending[i].confirmed = now
		case i < 0 && len(t.pending) < maxPending:
			t.pending = append(t.pending, &pending{key: key, kind: KindSuspect, body: body, confirmed: now, sendAt: proto.Never, heard: true})
		}
	}
}

// TrialEnded takes the end of a trial.
func (t *Table) TrialEnded(now proto.Instant, m proto.TrialEnded) {
	key := Key{Account: m.Account, Fingerprint: m.Fingerprint}
	body := TrialEnd{Key: key, Trial: m.Trial, Result: m.Result}
	switch m.Result {
	case proto.TrialCrashed:
		t.counters.Crashed++
		body.Crash = Crash{Endpoint: m.Endpoint, Incarnation: m.Incarnation}
	case proto.TrialCleared:
		t.counters.Cleared++
	}
	t.record(now, &pending{key: key, kind: KindTrialEnd, body: body})
}

// record appends a record until the log has it.
func (t *Table) record(now proto.Instant, p *pending) {
	if len(t.pending) >= maxPending {
		t.counters.Overflow++
		return
	}
	t.pending = append(t.pending, p)
	t.send(now, p)
}

func (t *Table) send(now proto.Instant, p *pending) {
	id, err := t.log.Append(now, proto.StreamConfig, p.kind, p.body)
	if err != nil {
		p.sendAt = now.Add(resendEvery)
		return
	}
	p.id, p.sendAt = id, proto.Never
}

// RecordApplied takes a record of the config stream after the register folded it.
// The owner calls it for every record, in order.
func (t *Table) RecordApplied(now proto.Instant, key Key, rec proto.Record) {
	t.pending = slices.DeleteFunc(t.pending, func(p *pending) bool {
		return p.id == rec.ID || p.heard && p.key == key
	})
	if rec.Kind == KindTrial {
		t.trialFolded(now, key, rec)
	}
	t.review(now, key)
}

// Event takes an event of the log client about an append to the config stream.
func (t *Table) Event(now proto.Instant, ev ledger.Event) {
	for _, p := range t.pending {
		if p.id != ev.ID || p.id == "" {
			continue
		}
		switch ev.Kind {
		case ledger.EventConfirmed:
			p.confirmed = now
		case ledger.EventAbsent, ledger.EventRefused, ledger.EventUnknown:
			p.id, p.sendAt = "", now.Add(resendEvery)
		}
	}
	if ev.Kind == ledger.EventAbsent || ev.Kind == ledger.EventRefused || ev.Kind == ledger.EventUnknown {
		for _, w := range t.waiting {
			if w.id == ev.ID && w.id != "" {
				w.id, w.failed = "", proto.CauseLogUnavailable
			}
		}
	}
}

// Tick applies the passage of time.
func (t *Table) Tick(now proto.Instant) {
	t.pending = slices.DeleteFunc(t.pending, func(p *pending) bool {
		return p.confirmed != 0 && now.Sub(p.confirmed) >= settledAfter
	})
	for _, p := range t.pending {
		if p.id == "" && !p.heard && !now.Before(p.sendAt) {
			t.send(now, p)
		}
	}
	for _, w := range slices.Clone(t.waiting) {
		t.expire(now, w)
	}
	t.expireEntries(now)
}

func (t *Table) expire(now proto.Instant, w *waiting) {
	over := !now.Before(w.until)
	if over && w.id != "" {
		t.log.Abandon(w.id)
		w.id, w.failed = "", proto.CauseLogUnavailable
	}
	if w.id != "" {
		return
	}
	e, _ := t.reg.Get(w.key)
	switch {
	case t.decide(now, w):
	case w.id != "" || now.Before(w.until):
		return
	case w.m.AwaitPropagation:
		t.allow(w, proto.TrialDecided{})
	case e.Quarantined:
		t.refuse(w, proto.CauseQuarantined)
	default:
		t.refuse(w, proto.CauseLogUnavailable)
	}
	t.drop(w)
}

// expireEntries releases through the log what is older than the quarantine,
// so that the register stays a function of the records.
func (t *Table) expireEntries(now proto.Instant) {
	if now.Before(t.expireAt) || len(t.reg.entries) == 0 {
		return
	}
	t.expireAt = now.Add(expireEvery)
	for k, r := range t.releases {
		if e := t.reg.entries[k]; e == nil || e.Since != r.since {
			delete(t.releases, k)
		}
	}
	for _, k := range t.sortedKeys() {
		e := t.reg.entries[k]
		r, planned := t.releases[k]
		if !planned {
			life := cmp.Or(e.TTL, t.cfg.QuarantineDuration())
			jitter := time.Duration(t.rng.Int64N(int64(releaseJitter)))
			r = release{since: e.Since, at: e.seen.Add(life + jitter)}
		}
		if !now.Before(r.at) {
			id, err := t.log.Append(now, proto.StreamConfig, KindRelease, Release{Key: k, Since: e.Since, By: "expiry"})
			if err == nil {
				t.log.SetDeadline(id, now.Add(decideTimeout))
			}
			r.at = now.Add(releaseJitter) // it is tried again if it does not get through
		}
		t.releases[k] = r
	}
}

func (t *Table) sortedKeys() []Key {
	keys := make([]Key, 0, len(t.reg.entries))
	for k := range t.reg.entries {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b Key) int {
		return cmp.Or(cmp.Compare(a.Account, b.Account), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return keys
}

// Wake returns when Tick is needed next. Requests that wait for the other
// routers ask for a look at their progress every 50 ms.
func (t *Table) Wake(now proto.Instant) proto.Instant {
	wake := proto.Never
	for _, p := range t.pending {
		if p.id == "" {
			wake = min(wake, p.sendAt)
		}
		if p.confirmed != 0 {
			wake = min(wake, p.confirmed.Add(settledAfter))
		}
	}
	for _, w := range t.waiting {
		wake = min(wake, w.until)
		if w.id == "" {
			wake = min(wake, now.Add(holdPoll))
		}
	}
	if len(t.reg.entries) > 0 {
		wake = min(wake, t.expireAt)
	}
	return wake
}
