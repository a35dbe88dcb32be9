package crash

import (
	"slices"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// maxAge bounds the ages in evidence.
const maxAge = 24 * time.Hour

// Event is a crash or a trial some time ago.
type Event struct {
	ID        EventID `json:"id"`
	AgeMillis int64   `json:"age_ms"`
	// Cleared is set if an answer that began later did no harm.
	Cleared bool `json:"cleared,omitempty"`
}

// Evidence is what is known about a trait. It may be read late, often and in any order.
type Evidence struct {
	Trait   Trait   `json:"trait"`
	Crashes []Event `json:"crash_events,omitempty"`
	Trials  []Event `json:"trial_events,omitempty"`
	// RefusedMillis is the age of the last refusal in milliseconds, nil if there was none.
	RefusedMillis *int64 `json:"refused_ms,omitempty"`
}

// lastAt returns the time of the last event.
func (ev *Evidence) lastAt(sentAt proto.Instant) proto.Instant {
	last := instantOf(sentAt, ev.RefusedMillis)
	for _, e := range slices.Concat(ev.Crashes, ev.Trials) {
		last = max(last, instantOf(sentAt, &e.AgeMillis))
	}
	return last
}

// Merge applies the evidence of a peer, or of the store if observer is empty, which bears
// ages as of sentAt. If sentAt is not known, a later time may stand for it.
func (r *Register) Merge(now, sentAt proto.Instant, observer proto.RouterID, evidence []Evidence) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, ev := range evidence {
		if r.entries[ev.Trait] == nil && now.Sub(ev.lastAt(sentAt)) >= retention {
			continue
		}
		e := r.entry(ev.Trait)
		if e.merge(now, sentAt, observer, ev) {
			r.updateCandidate(now, ev.Trait, e)
		}
		r.tell(ev.Trait, e)
	}
}

// merge applies evidence and reports whether the crashes have changed.
func (e *entry) merge(now, sentAt proto.Instant, observer proto.RouterID, ev Evidence) bool {
	changed := false
	for _, c := range ev.Crashes {
		changed = c.mergeInto(&e.crashes, sentAt, observer) || changed
	}
	for _, t := range ev.Trials {
		t.mergeInto(&e.trials, sentAt, observer)
	}
	if e.soundAt != 0 && e.markSound(e.soundAt) {
		e.observedAt, changed = now, true
	}
	e.refusedAt = max(e.refusedAt, instantOf(sentAt, ev.RefusedMillis))
	return changed
}

func (ev Event) mergeInto(s *events, sentAt proto.Instant, observer proto.RouterID) bool {
	return ev.ID != "" && s.merge(event{id: ev.ID, at: instantOf(sentAt, &ev.AgeMillis), cleared: ev.Cleared, observer: observer})
}

func (e *entry) observedWithin(d time.Duration, now proto.Instant) bool {
	return e.observedAt != 0 && now.Sub(e.observedAt) < d
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
