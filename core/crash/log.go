package crash

import (
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

const (
	// maxFacts bounds the facts that are kept to be told. Older ones are no longer told to
	// routers that have not read them.
	maxFacts = 2 * maxEntries
	// maxMoved bounds the facts that are moved to the end of the log for a new one.
	maxMoved = 32
	// refusalRepeatTime is the time after which peers are told again that a trait is refused.
	refusalRepeatTime = time.Minute
)

// Position is a place in a register's log of facts: the number of facts before it.
type Position int64

// fact names what this router tells its peers. What it tells is looked up when it is told.
type fact struct {
	trait Trait
	kind  factKind
	// event is empty for a refusal.
	event EventID
}

type factKind uint8

const (
	crashFact factKind = iota
	trialFact
	refusalFact
)

// factLog holds facts in the order in which they came about, which is the order in which
// peers are told: none waits behind a later one.
type factLog struct {
	first Position
	facts []fact
}

func (l *factLog) end() Position { return l.first + Position(len(l.facts)) }

// drop removes the n oldest facts.
func (l *factLog) drop(n int) { l.facts, l.first = l.facts[n:], l.first+Position(n) }

// addFact adds a fact to the log. If it is full, the oldest one goes, but for those of traits
// that may be blocked, which are told again; mu must be held.
func (r *Register) addFact(f fact) {
	r.log.facts = append(r.log.facts, f)
	for moved := 0; len(r.log.facts) > maxFacts; {
		oldest := r.log.facts[0]
		r.log.drop(1)
		if r.candidates[oldest.trait] != nil && r.isKnown(oldest) && moved < maxMoved {
			r.log.facts = append(r.log.facts, oldest)
			moved++
		}
	}
}

// isKnown reports whether there is still anything to tell of a fact; mu must be held.
func (r *Register) isKnown(f fact) bool {
	e := r.entries[f.trait]
	switch {
	case e == nil:
		return false
	case f.kind == crashFact:
		return e.crashes.find(f.event) != nil
	case f.kind == trialFact:
		return e.trials.find(f.event) != nil
	}
	return e.refusedAt != 0
}

// tell adds what this router has observed of a trait to the log, and what it passes on: the
// events of a trait with several crashes whose observer can no longer tell them; mu must be
// held.
func (r *Register) tell(t Trait, e *entry) {
	passesOn := len(e.crashes) > 1
	for _, id := range e.crashes.takeUntold(passesOn) {
		r.addFact(fact{trait: t, kind: crashFact, event: id})
	}
	for _, id := range e.trials.takeUntold(passesOn) {
		r.addFact(fact{trait: t, kind: trialFact, event: id})
	}
}

// takeUntold returns the events that are to be told and marks them as told.
func (s events) takeUntold(withOrphans bool) []EventID {
	var ids []EventID
	for i := range s {
		if s[i].untold || withOrphans && s[i].orphaned {
			s[i].untold, s[i].orphaned = false, false
			ids = append(ids, s[i].id)
		}
	}
	return ids
}

// ObserverLost has this router pass on what a peer has told that cannot tell it again, as
// it has stopped, started anew or fallen silent.
func (r *Register) ObserverLost(observer proto.RouterID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for t, e := range r.entries {
		e.crashes.orphan(observer)
		e.trials.orphan(observer)
		r.tell(t, e)
	}
}

// tellRefusal adds a refusal to the log unless one was added lately; mu must be held.
func (r *Register) tellRefusal(now proto.Instant, t Trait, e *entry) {
	if e.refusalToldAt == 0 || now.Sub(e.refusalToldAt) >= refusalRepeatTime {
		e.refusalToldAt = now
		r.addFact(fact{trait: t, kind: refusalFact})
	}
}
