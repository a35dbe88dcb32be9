// Package suspect limits how many endpoints a request can crash. A fingerprint
// that was in flight at a crash becomes a suspect: its requests run only in
// trials, with no other attempt at the endpoint and one trial at a time in the
// fleet. A second crash quarantines it. The package does no I/O; its types are
// part of a router's control machine.
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
	// firstTrialDelay is the delay of the first trial of a new suspect. It gives
	// routers time to cancel the attempts of the suspect that are in flight.
	firstTrialDelay = time.Second
	// MaxTrialDuration bounds a trial. The router that runs it measures it on its
	// own clock, from the request for the trial.
	MaxTrialDuration = time.Minute
	// trialExpiry is how long after reading the trial record another router may
	// consider the trial expired. The margin covers the delivery to the agent,
	// which ends the attempt after its own timeout.
	trialExpiry = MaxTrialDuration + 10*time.Second
	// appendTimeout bounds the append of a trial claim or a release.
	appendTimeout = 3 * time.Second
	// propagationTimeout is the age from which a record counts as known everywhere:
	// a router that has not read it by then has stopped keyed traffic, since its
	// configuration is not fresh.
	propagationTimeout = 4 * time.Second
	// unreadTimeout is how long a confirmed record stays pending without being
	// read. A router that restores a checkpoint skips records.
	unreadTimeout = 10 * time.Second
	retryAfter    = 2 * time.Second
	// releaseJitter bounds the random delay before a router releases an expired
	// entry, so that not all routers append the same release.
	releaseJitter       = 30 * time.Second
	resendInterval      = time.Second
	expiryCheckInterval = time.Second
	// propagationPollInterval is the interval at which the table checks whether
	// all routers have read what a waiting request depends on.
	propagationPollInterval = 50 * time.Millisecond
	maxWaiting              = 1024
	maxPending              = 1024
	// maxSharedCrashes bounds the crashes in one heartbeat to a peer.
	maxSharedCrashes = 64
)

// Log is the part of the log client that a Table needs.
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
	// QuarantineDuration returns Policy.Quarantine, which is also how long a
	// fingerprint remains a suspect.
	QuarantineDuration func() time.Duration
	// EngineIncarnation returns the engine incarnation that an endpoint's agent
	// last reported, and when it did.
	EngineIncarnation func(proto.EndpointID) (proto.Incarnation, proto.Instant, bool)
	// ReadByAll reports whether every live router has read the record at an
	// offset of the config stream.
	ReadByAll func(proto.Offset) bool
}

// Counters counts the events of a Table. ClaimsLost counts trials that another
// router claimed first, Overflow records dropped since too many were pending.
type Counters struct {
	Crashes, Trials, ClaimsLost, Cleared, Crashed, Refused, Overflow int64
}

// pending is a crash or the end of a trial that this router knows of, but whose
// record it has not read from the log yet.
type pending struct {
	key  Key
	kind proto.RecordKind
	body any
	id   proto.RecordID
	// confirmedAt is when the log confirmed the record; 0 before. For a peer's
	// crash it is when the peer last reported it.
	confirmedAt proto.Instant
	sendAt      proto.Instant
	// fromPeer is set for a crash that a peer reported. The peer appends it.
	fromPeer bool
}

// waiting is a TrialWanted without a reply.
type waiting struct {
	wanted   proto.TrialWanted
	key      Key
	deadline proto.Instant
	// id is the trial record being appended for the request, if any.
	id proto.RecordID
	// refusalCause is set if the request is to be refused once all routers know
	// the fingerprint.
	refusalCause proto.Cause
}

// Table decides for the exchanges of one router which trials may run.
type Table struct {
	proto.Outbox
	cfg      Config
	log      Log
	register *Register
	rng      *rand.Rand
	pending  []*pending
	waiting  []*waiting
	releases map[Key]release
	// nextExpiryCheck is when releaseExpired checks the register next.
	nextExpiryCheck proto.Instant
	counters        Counters
	faults          faults
}

// release is a planned release of an expired entry.
type release struct {
	since proto.Offset
	at    proto.Instant
}

// faults disables single rules, so that tests can show that they would detect the
// missing rule.
type faults struct{ skipTrial, skipIncarnationCheck, skipPropagation bool }

// New returns a Table that works on a register. The caller applies the records to
// the register.
func New(cfg Config, log Log, register *Register) *Table {
	return &Table{
		Outbox: proto.NewOutbox(cfg.Self), cfg: cfg, log: log, register: register,
		rng: rand.New(rand.NewPCG(cfg.Seed, 0x73757370)), releases: map[Key]release{},
	}
}

// Counters returns a copy of the counters.
func (t *Table) Counters() Counters { return t.counters }

// Snapshot returns the fingerprints to refuse at once and those for which a
// TrialWanted is needed. A quarantine that other routers may not have read yet is
// among the latter, since the refusal must wait for them.
func (t *Table) Snapshot(now proto.Instant) (quarantined, suspects map[Key]bool) {
	quarantined, suspects = map[Key]bool{}, map[Key]bool{}
	for _, p := range t.pending {
		suspects[p.key] = true
	}
	for k, e := range t.register.entries {
		if e.Quarantined && t.isPropagated(now, *e) {
			quarantined[k] = true
			delete(suspects, k)
		} else {
			suspects[k] = true
		}
	}
	return quarantined, suspects
}

// isPropagated reports whether every serving router has read the current state of
// an entry. A router that has not stops keyed traffic within propagationTimeout.
func (t *Table) isPropagated(now proto.Instant, e Entry) bool {
	return t.faults.skipPropagation || now.Sub(e.readAt) >= propagationTimeout || t.cfg.ReadByAll(e.Since)
}

// CrashSeen handles a crash outside a trial. A crash in a trial is reported by
// TrialEnded.
func (t *Table) CrashSeen(now proto.Instant, m proto.CrashSeen) {
	if m.Alone {
		return
	}
	t.counters.Crashes++
	key := Key{Account: m.Account, Fingerprint: m.Fingerprint}
	body := Suspect{Key: key, Crash: Crash{Endpoint: m.Endpoint, Incarnation: m.Incarnation}}
	if e, ok := t.register.Get(key); ok && slices.Contains(e.Crashes, body.Crash) {
		return
	}
	same := func(p *pending) bool { return p.body == any(body) && !p.fromPeer }
	if !slices.ContainsFunc(t.pending, same) {
		t.addPending(now, &pending{key: key, kind: KindSuspect, body: body})
	}
}

// Crashes returns the crashes that this router knows of and other routers may not
// have read from the log. Every heartbeat to a peer contains them.
func (t *Table) Crashes() []proto.CrashSeen {
	var out []proto.CrashSeen
	add := func(k Key, c Crash) {
		if len(out) < maxSharedCrashes {
			out = append(out, proto.CrashSeen{
				Account: k.Account, Fingerprint: k.Fingerprint, Endpoint: c.Endpoint, Incarnation: c.Incarnation,
			})
		}
	}
	for _, p := range t.pending {
		if b, ok := p.body.(Suspect); ok && !p.fromPeer {
			add(b.Key, b.Crash)
		}
	}
	for _, k := range t.sortedKeys() {
		e := t.register.entries[k]
		if len(e.Crashes) > 0 && !t.cfg.ReadByAll(e.Since) {
			add(k, e.Crashes[0])
		}
	}
	return out
}

// HandlePeerCrashes handles the crashes in a peer's heartbeat. Their fingerprints
// are suspects until the records are read from the log, or for unreadTimeout after
// the last heartbeat that contains them.
func (t *Table) HandlePeerCrashes(now proto.Instant, crashes []proto.CrashSeen) {
	for _, m := range crashes {
		key := Key{Account: m.Account, Fingerprint: m.Fingerprint}
		body := Suspect{Key: key, Crash: Crash{Endpoint: m.Endpoint, Incarnation: m.Incarnation}}
		if e, ok := t.register.Get(key); ok && slices.Contains(e.Crashes, body.Crash) {
			continue
		}
		i := slices.IndexFunc(t.pending, func(p *pending) bool { return p.body == any(body) })
		switch {
		case i >= 0 && t.pending[i].fromPeer:
			t.pending[i].confirmedAt = now
		case i < 0 && len(t.pending) < maxPending:
			t.pending = append(t.pending, &pending{key: key, kind: KindSuspect, body: body, confirmedAt: now, sendAt: proto.Never, fromPeer: true})
		}
	}
}

// TrialEnded handles the end of a trial.
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
	t.addPending(now, &pending{key: key, kind: KindTrialEnd, body: body})
}

// addPending appends a record to the log and keeps it until it is read back, so
// that a failed append is repeated.
func (t *Table) addPending(now proto.Instant, p *pending) {
	if len(t.pending) >= maxPending {
		t.counters.Overflow++
		return
	}
	t.pending = append(t.pending, p)
	t.appendPending(now, p)
}

func (t *Table) appendPending(now proto.Instant, p *pending) {
	id, err := t.log.Append(now, proto.StreamConfig, p.kind, p.body)
	if err != nil {
		p.sendAt = now.Add(resendInterval)
		return
	}
	p.id, p.sendAt = id, proto.Never
}

// RecordApplied handles a record of the config stream that has been applied to the
// register. The caller calls it for every such record, in order.
func (t *Table) RecordApplied(now proto.Instant, key Key, rec proto.Record) {
	t.pending = slices.DeleteFunc(t.pending, func(p *pending) bool {
		return p.id == rec.ID || p.fromPeer && p.key == key
	})
	if rec.Kind == KindTrial {
		t.onTrialApplied(now, key, rec)
	}
	t.decideWaiting(now, key)
}

// Event handles an event of the log client about an append to the config stream.
func (t *Table) Event(now proto.Instant, ev ledger.Event) {
	for _, p := range t.pending {
		if p.id != ev.ID || p.id == "" {
			continue
		}
		switch ev.Kind {
		case ledger.EventConfirmed:
			p.confirmedAt = now
		case ledger.EventAbsent, ledger.EventRefused, ledger.EventUnknown:
			p.id, p.sendAt = "", now.Add(resendInterval)
		}
	}
	if ev.Kind == ledger.EventAbsent || ev.Kind == ledger.EventRefused || ev.Kind == ledger.EventUnknown {
		for _, w := range t.waiting {
			if w.id == ev.ID && w.id != "" {
				w.id, w.refusalCause = "", proto.CauseLogUnavailable
			}
		}
	}
}

// Tick handles everything that is due: repeated appends, timeouts and releases.
func (t *Table) Tick(now proto.Instant) {
	t.pending = slices.DeleteFunc(t.pending, func(p *pending) bool {
		return p.confirmedAt != 0 && now.Sub(p.confirmedAt) >= unreadTimeout
	})
	for _, p := range t.pending {
		if p.id == "" && !p.fromPeer && !now.Before(p.sendAt) {
			t.appendPending(now, p)
		}
	}
	for _, w := range slices.Clone(t.waiting) {
		t.expireWaiting(now, w)
	}
	t.releaseExpired(now)
}

// expireWaiting decides a waiting request again, and finally at its deadline.
func (t *Table) expireWaiting(now proto.Instant, w *waiting) {
	over := !now.Before(w.deadline)
	if over && w.id != "" {
		t.log.Abandon(w.id)
		w.id, w.refusalCause = "", proto.CauseLogUnavailable
	}
	if w.id != "" {
		return
	}
	e, _ := t.register.Get(w.key)
	switch {
	case t.decide(now, w):
	case w.id != "" || now.Before(w.deadline):
		return
	case w.wanted.AwaitPropagation:
		t.allow(w, proto.TrialDecided{})
	case e.Quarantined:
		t.refuse(w, proto.CauseQuarantined)
	default:
		t.refuse(w, proto.CauseLogUnavailable)
	}
	t.removeWaiting(w)
}

// releaseExpired appends a release for each entry that is older than its
// quarantine. It goes through the log, so that the register depends only on the
// records.
func (t *Table) releaseExpired(now proto.Instant) {
	if now.Before(t.nextExpiryCheck) || len(t.register.entries) == 0 {
		return
	}
	t.nextExpiryCheck = now.Add(expiryCheckInterval)
	for k, r := range t.releases {
		if e := t.register.entries[k]; e == nil || e.Since != r.since {
			delete(t.releases, k)
		}
	}
	for _, k := range t.sortedKeys() {
		e := t.register.entries[k]
		r, planned := t.releases[k]
		if !planned {
			ttl := cmp.Or(e.TTL, t.cfg.QuarantineDuration())
			jitter := time.Duration(t.rng.Int64N(int64(releaseJitter)))
			r = release{since: e.Since, at: e.readAt.Add(ttl + jitter)}
		}
		if !now.Before(r.at) {
			id, err := t.log.Append(now, proto.StreamConfig, KindRelease, Release{Key: k, Since: e.Since, By: "expiry"})
			if err == nil {
				t.log.SetDeadline(id, now.Add(appendTimeout))
			}
			r.at = now.Add(releaseJitter) // next try, if the release is not applied by then
		}
		t.releases[k] = r
	}
}

func (t *Table) sortedKeys() []Key {
	keys := make([]Key, 0, len(t.register.entries))
	for k := range t.register.entries {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b Key) int {
		return cmp.Or(cmp.Compare(a.Account, b.Account), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return keys
}

// Wake returns when Tick is due next. While a request waits for the other routers,
// that is every 50 ms.
func (t *Table) Wake(now proto.Instant) proto.Instant {
	wake := proto.Never
	for _, p := range t.pending {
		if p.id == "" {
			wake = min(wake, p.sendAt)
		}
		if p.confirmedAt != 0 {
			wake = min(wake, p.confirmedAt.Add(unreadTimeout))
		}
	}
	for _, w := range t.waiting {
		wake = min(wake, w.deadline)
		if w.id == "" {
			wake = min(wake, now.Add(propagationPollInterval))
		}
	}
	if len(t.register.entries) > 0 {
		wake = min(wake, t.nextExpiryCheck)
	}
	return wake
}
