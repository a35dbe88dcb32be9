package crash

import (
	"cmp"
	"slices"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

const (
	// repeatTime is how long what a router has observed is part of each of its
	// messages, as messages may be lost.
	repeatTime = 2500 * time.Millisecond
	// releaseRepeatTime is how long a message to routers that have missed earlier ones
	// tells of a trait that did no harm.
	releaseRepeatTime = 30 * time.Second
	// maxSharedTraits and maxSharedCrashes bound the size of a message.
	maxSharedTraits  = 128
	maxSharedCrashes = 200
	// maxAge bounds the ages in messages.
	maxAge = 24 * time.Hour
)

// Event is a crash or a trial some time ago.
type Event struct {
	ID        EventID `json:"id"`
	AgeMillis int64   `json:"age_ms"`
	// Cleared is set if an answer that began later did no harm.
	Cleared bool `json:"cleared,omitempty"`
}

// Evidence is what one router tells its peers about a trait. It may be read late, often
// and in any order.
type Evidence struct {
	Trait   Trait   `json:"trait"`
	Crashes []Event `json:"crash_events,omitempty"`
	Trials  []Event `json:"trial_events,omitempty"`
	// RefusedMillis is the age of the last refusal in milliseconds, nil if there was none.
	RefusedMillis *int64 `json:"refused_ms,omitempty"`
}

// Observations returns what this router has observed lately, for each message to its
// peers.
func (r *Register) Observations(now proto.Instant) []Evidence {
	return r.collect(now, func(e *entry) bool { return e.observedWithin(repeatTime, now) }, (*entry).observations)
}

// State returns the recent observations of this router and all that it knows of traits
// with several rounds of crashes, for routers that have missed earlier messages.
func (r *Register) State(now proto.Instant) []Evidence {
	selected := func(e *entry) bool {
		return e.rounds() > 1 || e.hasOwnCrash() || e.observedWithin(releaseRepeatTime, now)
	}
	report := func(e *entry, now proto.Instant) Evidence {
		if e.rounds() > 1 {
			return e.state(now)
		}
		return e.observations(now)
	}
	return r.collect(now, selected, report)
}

// importance orders the traits in a message: those with several rounds by their number,
// then those that did no harm, and last the many that were present at one crash.
func (e *entry) importance() int {
	switch n := e.rounds(); {
	case n > 1:
		return n
	case n == 0:
		return 1
	}
	return 0
}

// collect returns the evidence on the selected traits, the most important ones first.
func (r *Register) collect(now proto.Instant, selected func(*entry) bool, report func(*entry, proto.Instant) Evidence) []Evidence {
	r.mu.Lock()
	defer r.mu.Unlock()
	var chosen []candidate
	for t, e := range r.entries {
		if selected(e) {
			chosen = append(chosen, candidate{t, e})
		}
	}
	slices.SortFunc(chosen, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.entry.importance(), a.entry.importance()), cmp.Compare(b.entry.lastAt(), a.entry.lastAt()), cmp.Compare(a.trait, b.trait))
	})
	var evidence []Evidence
	crashes := 0
	for _, c := range chosen {
		ev := report(c.entry, now)
		crashes += len(ev.Crashes)
		if len(evidence) == maxSharedTraits || crashes > maxSharedCrashes {
			break
		}
		if !ev.isEmpty() {
			ev.Trait = c.trait
			evidence = append(evidence, ev)
		}
	}
	return evidence
}

func (ev *Evidence) isEmpty() bool {
	return len(ev.Crashes) == 0 && len(ev.Trials) == 0 && ev.RefusedMillis == nil
}

// lastAt returns the time of the last event.
func (ev *Evidence) lastAt(sentAt proto.Instant) proto.Instant {
	last := instantOf(sentAt, ev.RefusedMillis)
	for _, e := range slices.Concat(ev.Crashes, ev.Trials) {
		last = max(last, instantOf(sentAt, &e.AgeMillis))
	}
	return last
}

// Merge applies the evidence of a peer, or of an earlier run, which bears ages as of
// sentAt. If sentAt is not known, a later time may stand for it.
func (r *Register) Merge(now, sentAt proto.Instant, evidence []Evidence) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, ev := range evidence {
		if r.entries[ev.Trait] == nil && now.Sub(ev.lastAt(sentAt)) >= retention {
			continue
		}
		if e := r.entry(ev.Trait); e.merge(now, sentAt, ev) {
			r.updateCandidate(now, ev.Trait, e)
		}
	}
}

// merge applies the evidence of a peer and reports whether the crashes have changed.
func (e *entry) merge(now, sentAt proto.Instant, ev Evidence) bool {
	changed := false
	for _, c := range ev.Crashes {
		changed = c.mergeInto(&e.crashes, sentAt) || changed
		if !c.Cleared && e.crashes.repeatCleared(c.ID) {
			e.observedAt = now // the sender has missed that the crash does not count
		}
	}
	for _, t := range ev.Trials {
		t.mergeInto(&e.trials, sentAt)
	}
	if e.soundAt != 0 && e.markSound(e.soundAt) {
		e.observedAt = now
	}
	e.refusedAt = max(e.refusedAt, instantOf(sentAt, ev.RefusedMillis))
	return changed
}

func (ev Event) mergeInto(s *events, sentAt proto.Instant) bool {
	return ev.ID != "" && s.merge(event{id: ev.ID, at: instantOf(sentAt, &ev.AgeMillis), cleared: ev.Cleared})
}

func (e *entry) observedWithin(d time.Duration, now proto.Instant) bool {
	return e.observedAt != 0 && now.Sub(e.observedAt) < d
}

func (e *entry) hasOwnCrash() bool {
	return slices.ContainsFunc(e.crashes, func(c event) bool { return c.own && !c.cleared })
}

// observations returns what this router has observed itself.
func (e *entry) observations(now proto.Instant) Evidence {
	isOther := func(known event) bool { return !known.own }
	return Evidence{
		Crashes: slices.DeleteFunc(slices.Clone(e.crashes), isOther).report(now),
		Trials:  slices.DeleteFunc(slices.Clone(e.trials), isOther).report(now),
	}
}

// state returns all that this router knows.
func (e *entry) state(now proto.Instant) Evidence {
	ev := Evidence{Crashes: e.crashes.report(now), Trials: e.trials.report(now)}
	if e.refusedAt != 0 {
		age := now.Sub(e.refusedAt).Milliseconds()
		ev.RefusedMillis = &age
	}
	return ev
}

func (s events) report(now proto.Instant) []Event {
	var report []Event
	for _, e := range s {
		report = append(report, Event{ID: e.id, AgeMillis: now.Sub(e.at).Milliseconds(), Cleared: e.cleared})
	}
	return report
}

// instantOf returns the time of an event by its age as of sentAt, or 0 if there was none.
func instantOf(sentAt proto.Instant, ageMillis *int64) proto.Instant {
	if ageMillis == nil {
		return 0
	}
	return sentAt.Add(-time.Duration(min(max(0, *ageMillis), maxAge.Milliseconds())) * time.Millisecond)
}
