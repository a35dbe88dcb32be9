package suspect

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// MaxEntries bounds the register. A full register evicts the suspect that changed
// least recently, and a quarantined fingerprint only if it holds no suspects.
const MaxEntries = 1024

// Entry is the state of one fingerprint. It depends only on the records, except
// for the unexported times at which this router read them.
type Entry struct {
	Key
	// Since is the offset of the record that set the current state.
	Since proto.Offset `json:"since"`
	// Crashes are the distinct crashes, at most two.
	Crashes     []Crash `json:"crashes,omitempty"`
	Quarantined bool    `json:"quarantined,omitempty"`
	// TTL is the duration of a quarantine that an operator set. 0 stands for the
	// duration in the policy.
	TTL time.Duration `json:"for_ns,omitempty"`
	// Trial is the offset of the last trial, TrialTarget the engine incarnation
	// that ran it.
	Trial       proto.Offset `json:"trial,omitempty"`
	TrialTarget Crash        `json:"trial_on,omitempty"`
	// TrialEnded is set if the last trial ended without running the request.
	TrialEnded bool `json:"ended,omitempty"`

	// readAt is when this router read the record at Since, trialReadAt when it
	// read the one at Trial.
	readAt      proto.Instant
	trialReadAt proto.Instant
}

// Register is the state that results from applying the records of this package
// in order.
type Register struct {
	entries map[Key]*Entry
	// Dropped counts the entries that were evicted because the register was full.
	Dropped int64
	// Malformed counts the records that could not be decoded.
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

// Import replaces the state with that of a checkpoint. Entries count as read now,
// so timeouts end later here than at routers that read the records themselves.
func (r *Register) Import(now proto.Instant, entries []Entry) {
	clear(r.entries)
	for _, e := range entries {
		e.readAt, e.trialReadAt = now, now
		r.entries[e.Key] = &e
	}
}

// Apply applies a record and returns the key that it concerns. It returns false
// for records of other kinds and for malformed ones, which it ignores.
func (r *Register) Apply(now proto.Instant, rec proto.Record) (Key, bool) {
	switch rec.Kind {
	case KindSuspect:
		return applyBody(r, rec, func(b Suspect) Key { r.addCrash(now, rec.Offset, b.Key, b.Crash, false); return b.Key })
	case KindTrial:
		return applyBody(r, rec, func(b Trial) Key { r.startTrial(now, rec.Offset, b); return b.Key })
	case KindTrialEnd:
		return applyBody(r, rec, func(b TrialEnd) Key { r.endTrial(now, rec.Offset, b); return b.Key })
	case KindQuarantine:
		return applyBody(r, rec, func(b Quarantine) Key { r.quarantine(now, rec.Offset, b); return b.Key })
	case KindRelease:
		return applyBody(r, rec, func(b Release) Key { r.release(b); return b.Key })
	}
	return Key{}, false
}

// decode unmarshals the body of a record and reports whether it is well-formed.
func decode(rec proto.Record, into any) bool { return json.Unmarshal(rec.Body, into) == nil }

// applyBody decodes the body of a record and passes it to apply.
func applyBody[T any](r *Register, rec proto.Record, apply func(T) Key) (Key, bool) {
	var body T
	if !decode(rec, &body) {
		r.Malformed++
		return Key{}, false
	}
	return apply(body), true
}

// addCrash adds a crash. A second distinct crash, or one during the fingerprint's
// own trial, quarantines the fingerprint. Several reports of a crash count once.
func (r *Register) addCrash(now proto.Instant, offset proto.Offset, k Key, c Crash, inTrial bool) {
	e := r.entries[k]
	if e == nil {
		e = &Entry{Key: k}
		r.add(e)
	}
	if e.Quarantined || slices.Contains(e.Crashes, c) && !inTrial {
		return
	}
	if !slices.Contains(e.Crashes, c) {
		e.Crashes = append(e.Crashes, c)
	}
	e.Quarantined = inTrial || len(e.Crashes) > 1
	e.Since, e.readAt = offset, now
}

// startTrial applies a trial record, unless another trial was claimed before it.
func (r *Register) startTrial(now proto.Instant, offset proto.Offset, b Trial) {
	e := r.entries[b.Key]
	if e == nil || e.Quarantined || e.Trial != b.Previous || offset <= e.Trial {
		return
	}
	e.Trial, e.TrialTarget, e.TrialEnded, e.trialReadAt = offset, b.Target, false, now
	e.Since, e.readAt = offset, now
}

func (r *Register) endTrial(now proto.Instant, offset proto.Offset, b TrialEnd) {
	e := r.entries[b.Key]
	if b.Result == proto.TrialCrashed {
		r.addCrash(now, offset, b.Key, b.Crash, e != nil && e.Trial == b.Trial)
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

func (r *Register) quarantine(now proto.Instant, offset proto.Offset, b Quarantine) {
	e := r.entries[b.Key]
	if e == nil {
		e = &Entry{Key: b.Key}
		r.add(e)
	}
	e.Quarantined, e.TTL = true, b.TTL
	e.Since, e.readAt = offset, now
}

func (r *Register) release(b Release) {
	if e := r.entries[b.Key]; e != nil && (b.Since == 0 || b.Since == e.Since) {
		delete(r.entries, b.Key)
	}
}

// add inserts an entry and evicts another one if the register is full.
func (r *Register) add(e *Entry) {
	if len(r.entries) >= MaxEntries {
		var victim *Entry
		for _, candidate := range r.entries {
			if victim == nil || candidate.evictedBefore(victim) {
				victim = candidate
			}
		}
		delete(r.entries, victim.Key)
		r.Dropped++
	}
	r.entries[e.Key] = e
}

// evictedBefore is the order of eviction. It has no ties, since no record changes
// more than one entry and so each entry has another value of Since.
func (e *Entry) evictedBefore(other *Entry) bool {
	if e.Quarantined != other.Quarantined {
		return !e.Quarantined
	}
	return e.Since < other.Since
}
