package crash

import (
	"iter"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

const (
	// maxPageBytes bounds the JSON form of a page, so that a message with it fits into one
	// packet.
	maxPageBytes = 1100
	// reportBytes and traitBytes are what a report and a trait add to a page beside their
	// identifiers.
	reportBytes = 35
	traitBytes  = 12
)

// Page is a section of the log of a router's facts. Pages may be read late, often and in
// any order.
type Page struct {
	// First is set if the sender has nothing to tell from before the page.
	First bool `json:"first,omitempty"`
	// From and To are the positions before the first and after the last fact.
	From    Position `json:"from"`
	To      Position `json:"to"`
	Crashes []Report `json:"crashes,omitempty"`
	Trials  []Report `json:"trials,omitempty"`
	// Refused maps blocked traits to the age of the last refusal in milliseconds.
	Refused map[Trait]int64 `json:"refused,omitempty"`
}

// Report is one crash or trial with traits of the requests that it happened to. They are
// mapped to its age under the trait in milliseconds.
type Report struct {
	ID     EventID         `json:"id"`
	Traits map[Trait]int64 `json:"traits,omitempty"`
	// Cleared holds the traits under which it does not count, as an answer that began
	// later did no harm.
	Cleared map[Trait]int64 `json:"cleared,omitempty"`
}

// First returns the position before the first fact that this router still tells.
func (r *Register) First() Position {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.log.first
}

// End returns the position after the last fact that this router tells.
func (r *Register) End() Position {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.log.end()
}

// Page returns the section of the log from a position on that fits into one message.
func (r *Register) Page(now proto.Instant, from Position) Page {
	r.mu.Lock()
	defer r.mu.Unlock()
	from = min(max(from, r.log.first), r.log.end())
	w := pageWriter{page: Page{First: from == r.log.first, From: from, To: from}, now: now}
	for _, f := range r.log.facts[from-r.log.first:] {
		if !w.add(f, r.entries[f.trait]) {
			break
		}
		w.page.To++
	}
	return w.page
}

// pageWriter fills a page.
type pageWriter struct {
	page  Page
	now   proto.Instant
	bytes int
}

// add adds a fact, or nothing if its entry or event is gone, and reports whether it fits.
func (w *pageWriter) add(f fact, e *entry) bool {
	if e == nil {
		return true
	}
	switch f.kind {
	case crashFact:
		return w.addEvent(&w.page.Crashes, f.trait, e.crashes.find(f.event))
	case trialFact:
		return w.addEvent(&w.page.Trials, f.trait, e.trials.find(f.event))
	default:
		return w.addRefusal(f.trait, e)
	}
}

func (w *pageWriter) addEvent(reports *[]Report, t Trait, e *event) bool {
	if e == nil {
		return true
	}
	i := 0
	for i < len(*reports) && (*reports)[i].ID != e.id {
		i++
	}
	bytes := len(t) + traitBytes
	if i == len(*reports) {
		bytes += len(e.id) + reportBytes
	}
	if !w.reserve(bytes) {
		return false
	}
	if i == len(*reports) {
		*reports = append(*reports, Report{ID: e.id})
	}
	(*reports)[i].put(t, *e, w.now)
	return true
}

func (w *pageWriter) addRefusal(t Trait, e *entry) bool {
	if !w.reserve(len(t) + traitBytes) {
		return false
	}
	if w.page.Refused == nil {
		w.page.Refused = map[Trait]int64{}
	}
	w.page.Refused[t] = w.now.Sub(e.refusedAt).Milliseconds()
	return true
}

// reserve reports whether so many bytes fit, as the first ones always do.
func (w *pageWriter) reserve(bytes int) bool {
	fits := w.bytes == 0 || w.bytes+bytes <= maxPageBytes
	w.bytes += bytes
	return fits
}

// put adds a trait to the report of an event.
func (r *Report) put(t Trait, e event, now proto.Instant) {
	ages := &r.Traits
	if e.cleared {
		ages = &r.Cleared
	}
	if *ages == nil {
		*ages = map[Trait]int64{}
	}
	(*ages)[t] = now.Sub(e.at).Milliseconds()
}

// Evidence returns what the page tells, by trait.
func (p *Page) Evidence() []Evidence {
	var evidence []Evidence
	for _, r := range p.Crashes {
		for t, e := range r.events() {
			evidence = append(evidence, Evidence{Trait: t, Crashes: []Event{e}})
		}
	}
	for _, r := range p.Trials {
		for t, e := range r.events() {
			evidence = append(evidence, Evidence{Trait: t, Trials: []Event{e}})
		}
	}
	for t, age := range p.Refused {
		evidence = append(evidence, Evidence{Trait: t, RefusedMillis: &age})
	}
	return evidence
}

// events yields the event as it is under each trait.
func (r Report) events() iter.Seq2[Trait, Event] {
	return func(yield func(Trait, Event) bool) {
		for t, age := range r.Traits {
			if !yield(t, Event{ID: r.ID, AgeMillis: age}) {
				return
			}
		}
		for t, age := range r.Cleared {
			if !yield(t, Event{ID: r.ID, AgeMillis: age, Cleared: true}) {
				return
			}
		}
	}
}
