package suspect

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// MaxEntries bounds the register. Above it the suspect that changed least
// recently is dropped, a quarantine only if there is no suspect.
const MaxEntries = 1024

// Entry is the state of one fingerprint. It is a function of the records
// alone, apart from the instants at which this router read them.
type Entry struct {
	Key
	// Since is the offset of the record that made the present state.
	Since proto.Offset `json:"since"`
	// Crashes are the distinct crashes, at most two.
	Crashes     []Crash `json:"crashes,omitempty"`
	Quarantined bool    `json:"quarantined,omitempty"`
	// TTL is the length of an operator's quarantine; 0 means the policy's.
	TTL time.Duration `json:"for_ns,omitempty"`
	// Trial is the offset of the last trial, TrialOn where it ran.
	Trial       proto.Offset `json:"trial,omitempty"`
	TrialTarget Crash        `json:"trial_on,omitempty"`
	// TrialEnded is set if the last trial ended without a result.
	TrialEnded bool `json:"ended,omitempty"`

	seen      proto.Instant
	trialSeen proto.Instant
}

// Register is the fold of the records of this package.
type Register struct {
	entries map[Key]*Entry
	// Dropped counts entries that did not fit.
	Dropped int64
	// Malformed counts records that did not decode.
	Malformed int64
}

// NewRegister returns an empty register.
func NewRegister() *Register { return &Register{entries: map[Key]*Entry{}} }

// Get returns the state of a fingerprint. The caller must not change it.
func (r *Register) Get(k Key) (Entry, bool) {
	e := r.entries[k]
	if e == nil {
		return Entry{}, false
	}
	return *e, true
}

// Len returns the number of entries.
func (r *Register) Len() int { return len(r.entries) }

// Export returns the entries for a checkpoint, ordered by offset.
func (r *Register) Export() []Entry {
	out := make([]Entry, 0, len(r.entries))
	for _, e := range r.entries {
		out = append(out, *e)
	}
	slices.SortFunc(out, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(a.Since, b.Since), cmp.Compare(a.Account, b.Account), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return out
}

// Import replaces the state by that of a checkpoint. Times run from now, so
// they end later here than at routers that read the records.
func (r *Register) Import(now proto.Instant, entries []Entry) {
	clear(r.entries)
	for _, e := range entries {
		e.seen, e.trialSeen = now, now
		r.entries[e.Key] = &e
	}
}

// Apply applies a record and reports the key that it concerns. It reports
// false, without effect, for records of other kinds and malformed ones.
func (r *Register) Apply(now proto.Instant, rec proto.Record) (Key, bool) {
	switch rec.Kind {
	case KindSuspect:
		return fold(r, rec, func(b Suspect) Key { r.crashed(now, rec.Offset, b.Key, b.Crash, false); return b.Key })
	case KindTrial:
		return fold(r, rec, func(b Trial) Key { r.trial(now, rec.Offset, b); return b.Key })
	case KindTrialEnd:
		return fold(r, rec, func(b TrialEnd) Key { r.trialEnd(now, rec.Offset, b); return b.Key })
	case KindQuarantine:
		return fold(r, rec, func(b Quarantine) Key { r.quarantine(now, rec.Offset, b); return b.Key })
	case KindRelease:
		return fold(r, rec, func(b Release) Key { r.release(b); return b.Key })
	}
	return Key{}, false
}

// decode reports whether the body is well-formed.
func decode(rec proto.Record, into any) bool { return json.Unmarshal(rec.Body, into) == nil }

func fold[T any](r *Register, rec proto.Record, apply func(T) Key) (Key, bool) {
	var body T
	if !decode(rec, &body) {
		r.Malformed++
		return Key{}, false
	}
	return apply(body), true
}

// crashed adds a crash. A second one, or one during the fingerprint's own
// trial, quarantines it. Reports of the same crash count once.
func (r *Register) crashed(now proto.Instant, at proto.Offset, k Key, c Crash, alone bool) {
	e := r.entries[k]
	if e == nil {
		e = &Entry{Key: k}
		r.add(e)
	}
	if e.Quarantined || slices.Contains(e.Crashes, c) && !alone {
		return
	}
	if !slices.Contains(e.Crashes, c) {
		e.Crashes = append(e.Crashes, c)
	}
	e.Quarantined = alone || len(e.Crashes) > 1
	e.Since, e.seen = at, now
}

func (r *Register) trial(now proto.Instant, at proto.Offset, b Trial) {
	e := r.entries[b.Key]
	if e == nil || e.Quarantined || e.Trial != b.Previous || at <= e.Trial {
		return
	}
	e.Trial, e.TrialTarget, e.TrialEnded, e.trialSeen = at, b.Target, false, now
	e.Since, e.seen = at, now
}

func (r *Register) trialEnd(now proto.Instant, at proto.Offset, b TrialEnd) {
	e := r.entries[b.Key]
	if b.Result == proto.TrialCrashed {
		r.crashed(now, at, b.Key, b.Crash, e != nil && e.Trial == b.Trial)
		return
	}
	if e == nil || e.Quarantined || e.Trial != b.Trial {
		return
	}
	if b.Result == proto.TrialCleared {
		delete(r.entries, b.Key)
		return
	}
	e.TrialEnded = true
}

func (r *Register) quarantine(now proto.Instant, at proto.Offset, b Quarantine) {
	e := r.entries[b.Key]
	if e == nil {
		e = &Entry{Key: b.Key}
		r.add(e)
	}
	e.Quarantined, e.TTL = true, b.TTL
	e.Since, e.seen = at, now
}

func (r *Register) release(b Release) {
	if e := r.entries[b.Key]; e != nil && (b.Since == 0 || b.Since == e.Since) {
		delete(r.entries, b.Key)
	}
}

func (r *Register) add(e *Entry) {
	if len(r.entries) >= MaxEntries {
		var oldest *Entry
		for _, x := range r.entries {
			if oldest == nil || x.before(oldest) {
				oldest = x
			}
		}
		delete(r.entries, oldest.Key)
		r.Dropped++
	}
	r.entries[e.Key] = e
}

// before orders entries for removal. Offsets differ, except between entries
// of one record, of which there are none.
func (e *Entry) before(o *Entry) bool {
	if e.Quarantined != o.Quarantined {
		return !e.Quarantined
	}
	return e.Since < o.Since
}
