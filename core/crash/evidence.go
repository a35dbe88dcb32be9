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
)

// EndpointCrash is an endpoint that closed its connections some time ago.
type EndpointCrash struct {
	Endpoint  proto.EndpointID `json:"endpoint"`
	AgeMillis int64            `json:"age_ms"`
}

// Evidence is what one router tells its peers about a trait. Ages are in
// milliseconds, and nil if there was no such event.
type Evidence struct {
	Trait   Trait           `json:"trait"`
	Crashes []EndpointCrash `json:"crashes,omitempty"`
	// Restored is the number of rounds that the sender has read from the store.
	Restored int `json:"restored,omitempty"`
	// Sound is the age of the last answer that began and did no harm.
	Sound   *int64 `json:"sound_ms,omitempty"`
	Trial   *int64 `json:"trial_ms,omitempty"`
	Refused *int64 `json:"refused_ms,omitempty"`
}

// Observations returns what this router has observed lately, for each message to its
// peers.
func (r *Register) Observations(now proto.Instant) []Evidence {
	return r.collect(now, func(e *entry) bool { return e.observedRecently(now) }, (*entry).observations)
}

// State returns the recent observations of this router and all that it knows of blocked
// traits, for routers that have missed earlier messages.
func (r *Register) State(now proto.Instant) []Evidence {
	selected := func(e *entry) bool {
		return e.blocked || e.observedRecently(now) || e.hasOwnCrash() || e.ownSound && now.Sub(e.soundAt) < releaseRepeatTime
	}
	report := func(e *entry, now proto.Instant) Evidence {
		if e.blocked {
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
	type candidate struct {
		trait Trait
		entry *entry
	}
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
	return len(ev.Crashes) == 0 && ev.Restored == 0 && ev.Sound == nil && ev.Trial == nil && ev.Refused == nil
}

// lastAt returns the time of the last event other than an answer that did no harm.
func (ev *Evidence) lastAt(now proto.Instant) proto.Instant {
	last := max(instantOf(now, ev.Trial), instantOf(now, ev.Refused))
	for _, c := range ev.Crashes {
		last = max(last, instantOf(now, &c.AgeMillis))
	}
	return last
}

// Merge applies the evidence of a peer.
func (r *Register) Merge(now proto.Instant, evidence []Evidence) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, ev := range evidence {
		known := r.entries[ev.Trait] != nil
		if !known && ev.Restored == 0 && now.Sub(ev.lastAt(now)) >= retention {
			continue
		}
		if e := r.entry(ev.Trait); e.merge(now, ev) {
			r.updateCandidate(now, ev.Trait, e)
		}
	}
}

func (e *entry) observedRecently(now proto.Instant) bool {
	return e.observedAt != 0 && now.Sub(e.observedAt) < repeatTime
}

func (e *entry) hasOwnCrash() bool {
	return slices.ContainsFunc(e.crashes, func(c endpointCrash) bool { return c.own })
}

// observations returns what this router has observed itself.
func (e *entry) observations(now proto.Instant) Evidence {
	var ev Evidence
	for _, c := range e.crashes {
		if c.own {
			ev.Crashes = append(ev.Crashes, c.report(now))
		}
	}
	if e.ownSound {
		ev.Sound = ageMillis(now, e.soundAt)
	}
	if e.ownTrial {
		ev.Trial = ageMillis(now, e.trialAt)
	}
	return ev
}

// state returns all that this router knows, except for answers that others have
// observed: ages that are passed on again and again grow too small, and a sound answer
// must not seem to follow a crash that it preceded.
func (e *entry) state(now proto.Instant) Evidence {
	ev := e.observations(now)
	ev.Crashes, ev.Restored = nil, e.restored
	ev.Trial, ev.Refused = ageMillis(now, e.trialAt), ageMillis(now, e.refusedAt)
	for _, c := range e.crashes {
		ev.Crashes = append(ev.Crashes, c.report(now))
	}
	return ev
}

func (c endpointCrash) report(now proto.Instant) EndpointCrash {
	return EndpointCrash{Endpoint: c.endpoint, AgeMillis: now.Sub(c.at).Milliseconds()}
}

func ageMillis(now, at proto.Instant) *int64 {
	if at == 0 {
		return nil
	}
	age := now.Sub(at).Milliseconds()
	return &age
}

// instantOf returns the time of an event by its age, or 0 if there was none.
func instantOf(now proto.Instant, ageMillis *int64) proto.Instant {
	if ageMillis == nil {
		return 0
	}
	return now.Add(-time.Duration(*ageMillis) * time.Millisecond)
}

// merge applies the evidence of a peer and reports whether the crashes or the last
// sound answer have changed.
func (e *entry) merge(now proto.Instant, ev Evidence) bool {
	changed := false
	if at := instantOf(now, ev.Sound); at != 0 && e.markSound(at) {
		changed = true
	}
	for _, c := range ev.Crashes {
		if e.addCrash(endpointCrash{endpoint: c.Endpoint, at: instantOf(now, &c.AgeMillis)}) {
			changed = true
		}
	}
	if ev.Restored > e.restored && e.soundAt == 0 {
		e.restore(now, ev.Restored)
		changed = true
	}
	e.startTrial(instantOf(now, ev.Trial), false)
	e.refusedAt = max(e.refusedAt, instantOf(now, ev.Refused))
	return changed
}
