// Package crash detects what makes requests crash the endpoints that run them: the
// content of a whole request or one part of its prompt. Routers share which endpoints
// closed their connections at the beginning of an answer, and with which traits, as
// well as which traits have run without harm since. A trait that was present at one
// crash after the other, and at no answer between them, is blocked in all routers,
// unless rarer traits explain these crashes. Now and then one request with a blocked
// trait runs as a trial, so that one that was blocked by mistake is released.
package crash

import (
	"slices"
	"sync"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

const (
	// BeginPhase is how long after its first byte an answer counts as having just
	// begun. Requests beyond it did not cause a crash of their endpoint, and those
	// that reach it have shown that their traits do no harm.
	BeginPhase = 500 * time.Millisecond
	// retention is how long a trait is remembered after the last crash or refusal.
	retention = 10 * time.Minute
	// maxEntries bounds the traits that are remembered.
	maxEntries = 4096
	// maxChanges bounds the changes that wait for TakeChanges.
	maxChanges = 256
	// maxRetryAfter bounds the time after which a refused caller may come back.
	maxRetryAfter = 10 * time.Second
	// minRetryAfter keeps callers from coming back while a trial is under way.
	minRetryAfter = 200 * time.Millisecond
)

// Admission is the decision on sending a request.
type Admission struct {
	Allowed bool
	// Trial is set if the request is sent to find out whether its traits still crash
	// endpoints.
	Trial bool
	// Trait, Rounds and RetryAfter tell why a request is refused or tried: a blocked
	// trait, the crashes one after the other under it, and the time to the next trial.
	Trait      Trait
	Rounds     int
	RetryAfter time.Duration
}

// Change is a trait that was blocked or released.
type Change struct {
	Trait   Trait
	Blocked bool
	Rounds  int
	// Crashes is the number of endpoints that crashed under the trait.
	Crashes int
	// Observed is set if this router has observed one of the last crashes or the answer
	// itself, as opposed to having heard of it.
	Observed bool
	// Evidence is all that this router knows of a blocked trait.
	Evidence Evidence
}

const (
	// blameInterval is the minimum time between two decisions of assignBlame.
	blameInterval = 50 * time.Millisecond
	// observedWindow is how long after an observation a change is taken for its result.
	observedWindow = time.Second
	// deciders is the number of last crashes whose observers report that a trait is
	// blocked.
	deciders = 2
)

// Register holds the evidence on traits. It is safe for concurrent use.
type Register struct {
	mu      sync.Mutex
	entries map[Trait]*entry
	// candidates holds the entries for which isCandidate holds.
	candidates map[Trait]*entry
	// blamedAt is when assignBlame decided last.
	blamedAt proto.Instant
	changes  []Change
	log      factLog
}

// NewRegister returns an empty register.
func NewRegister() *Register {
	return &Register{entries: map[Trait]*entry{}, candidates: map[Trait]*entry{}}
}

// ConnectionLost records that an endpoint has crashed at the beginning of the answer to a
// request with these traits: at is when the last byte of the answer came, ended the
// incarnation that the request was sent to.
func (r *Register) ConnectionLost(now, at proto.Instant, ended Incarnation, traits []Trait) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range traits {
		e := r.entry(t)
		if e.crashes.merge(event{id: ended.eventID(), at: at, own: true, untold: true, cleared: at <= e.soundAt}) {
			e.observedAt = now
			r.updateCandidate(now, t, e)
		}
		r.tell(t, e)
	}
}

// Survived records that an answer to a request with these traits, which began at the
// given time, was completed or has gone beyond BeginPhase.
func (r *Register) Survived(now, begunAt proto.Instant, traits []Trait) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range traits {
		if e := r.entries[t]; e != nil && e.markSound(begunAt) {
			e.observedAt = now
			r.updateCandidate(now, t, e)
			r.tell(t, e)
		}
	}
}

// Admit decides whether a request with these traits may be sent to an endpoint. It
// counts a trial as begun.
func (r *Register) Admit(now proto.Instant, traits []Trait) Admission {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.assignBlame(now)
	a, blocked := r.admission(now, traits)
	if a.Allowed {
		r.countSent(traits)
	}
	for _, b := range blocked {
		if a.Allowed {
			b.entry.trials.merge(event{id: trialID(now), at: now, own: true, untold: true})
			b.entry.observedAt = now
			r.tell(b.trait, b.entry)
		} else {
			b.entry.refusedAt = now
			r.tellRefusal(now, b.trait, b.entry)
		}
	}
	return a
}

// Preview returns what Admit would return for a request with these traits. It changes
// nothing.
func (r *Register) Preview(now proto.Instant, traits []Trait) Admission {
	r.mu.Lock()
	defer r.mu.Unlock()
	a, _ := r.admission(now, traits)
	return a
}

// admission decides on a request with these traits, and returns those of them that are
// blocked; mu must be held.
func (r *Register) admission(now proto.Instant, traits []Trait) (a Admission, blocked []candidate) {
	a.Allowed = true
	for _, t := range traits {
		e := r.entries[t]
		if e == nil || !e.blocked || now.Sub(e.lastAt()) >= retention {
			continue
		}
		blocked = append(blocked, candidate{t, e})
		wait := e.nextTrial().Sub(now)
		if a.Trait == "" || wait > a.RetryAfter {
			a = Admission{Allowed: wait <= 0, Trial: wait <= 0, Trait: t, Rounds: e.rounds(), RetryAfter: wait}
		}
	}
	a.RetryAfter = min(max(a.RetryAfter, minRetryAfter), maxRetryAfter)
	return a, blocked
}

// IsBlocked reports whether Admit would refuse a request with these traits, or admit it as a
// trial only. It changes nothing.
func (r *Register) IsBlocked(now proto.Instant, traits []Trait) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(traits, func(t Trait) bool {
		e := r.entries[t]
		return e != nil && e.blocked && now.Sub(e.lastAt()) < retention
	})
}

// TrialNotRun records that the trial of a request with these traits has not run, so that
// it says nothing about them.
func (r *Register) TrialNotRun(traits []Trait) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range traits {
		if e := r.entries[t]; e != nil && e.blocked {
			e.trials.clearLastOwn()
			r.tell(t, e)
		}
	}
}

// countSent counts a request that is let through; mu must be held.
func (r *Register) countSent(traits []Trait) {
	for _, t := range traits {
		if e := r.entries[t]; e != nil {
			e.sent++
		}
	}
}

// TakeChanges returns the traits that were blocked or released since the last call.
// One that stays blocked after a further crash is returned again.
func (r *Register) TakeChanges(now proto.Instant) []Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.assignBlame(now)
	changes := r.changes
	r.changes = nil
	return changes
}

// Expire forgets the traits whose retention is over, and what there was to tell of them.
func (r *Register) Expire(now proto.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for t, e := range r.entries {
		if now.Sub(e.lastAt()) >= retention {
			r.remove(now, t, e)
		}
	}
	n := 0
	for n < len(r.log.facts) && !r.isKnown(r.log.facts[n]) {
		n++
	}
	r.log.drop(n)
}

// remove forgets a trait; mu must be held.
func (r *Register) remove(now proto.Instant, t Trait, e *entry) {
	delete(r.entries, t)
	delete(r.candidates, t)
	r.setBlocked(now, t, e, false)
}

// updateCandidate adds or removes the candidate after its evidence has changed; mu must
// be held.
func (r *Register) updateCandidate(now proto.Instant, t Trait, e *entry) {
	if e.isCandidate() {
		r.candidates[t] = e
		return
	}
	delete(r.candidates, t)
	r.setBlocked(now, t, e, false)
}

// setBlocked blocks or releases a trait; mu must be held.
func (r *Register) setBlocked(now proto.Instant, t Trait, e *entry, blocked bool) {
	rounds := e.rounds()
	if blocked == e.blocked && (!blocked || rounds <= e.reportedRounds) {
		return
	}
	e.blocked, e.reportedRounds = blocked, rounds
	c := Change{Trait: t, Blocked: blocked, Rounds: rounds, Crashes: len(e.crashes.counted()), Observed: e.isObserver(now)}
	if blocked {
		c.Evidence = e.state(now)
		c.Evidence.Trait = t
	}
	r.addChange(c)
}

// isObserver reports whether this router has observed what a change follows from.
func (e *entry) isObserver(now proto.Instant) bool {
	if e.observedWithin(observedWindow, now) {
		return true
	}
	counted := e.crashes.counted()
	last := counted[max(0, len(counted)-deciders):]
	return slices.ContainsFunc(last, func(c event) bool { return c.own })
}

func (r *Register) addChange(c Change) {
	if len(r.changes) < maxChanges {
		r.changes = append(r.changes, c)
	}
}

// entry returns the entry of a trait and creates it if there is none. If the register
// is full, it replaces the entry that is of least use; mu must be held.
func (r *Register) entry(t Trait) *entry {
	if e := r.entries[t]; e != nil {
		return e
	}
	if len(r.entries) >= maxEntries {
		r.evict()
	}
	e := &entry{}
	r.entries[t] = e
	return e
}

// evict removes the entry that was used least recently, one that is no candidate if
// there is any; mu must be held.
func (r *Register) evict() {
	var victim Trait
	var worst *entry
	worstIsCandidate := false
	for t, e := range r.entries {
		isCandidate := r.candidates[t] != nil
		if worst == nil || worstIsCandidate && !isCandidate || worstIsCandidate == isCandidate && e.lastAt() < worst.lastAt() {
			victim, worst, worstIsCandidate = t, e, isCandidate
		}
	}
	delete(r.entries, victim)
	delete(r.candidates, victim)
}
