package configlog

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/kumquatsill/kumquatsill/core/check"
	"github.com/kumquatsill/kumquatsill/core/note"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

const (
	maxHistory = 512
	// maxOrigins bounds the origins whose record ids are remembered. Each process
	// and each submission of an operator is one. With 1,300 submissions and 54
	// restarts a day, an origin is remembered for at least three days.
	maxOrigins = 8192
	// maxBuffered bounds the records that are buffered until a checkpoint is
	// restored. A checkpoint is appended right after its state was encoded, so few
	// records lie between the offset that it covers and its own.
	maxBuffered = 8192
)

// Outcome is the result of applying a record.
type Outcome string

// Outcomes of Apply.
const (
	// Applied records took effect.
	Applied Outcome = "applied"
	// Duplicate records have an id that was applied before.
	Duplicate Outcome = "duplicate"
	// Stale records have an offset that was applied before.
	Stale Outcome = "stale"
	// Refused records break a rule, are malformed or of unknown kind.
	Refused Outcome = "refused"
	// Conflicting records are valid, but a record that came first rules them out.
	Conflicting Outcome = "beaten"
	// Missing means that earlier records are missing; the record is not applied.
	Missing Outcome = "missing"
	// Buffered records are applied once a checkpoint is restored.
	Buffered Outcome = "buffered"
)

// Result is the result of applying a record.
type Result struct {
	Record  proto.Record
	Outcome Outcome
	Detail  string
	// Note is set for a release note that was accepted, refused or conflicting.
	Note *NoteOutcome
}

// Counters count the records by outcome, the complete checkpoints that were read and
// the checkpoints that were restored.
type Counters struct {
	Applied, Duplicates, Stale, Refused, Conflicting, Missing, Checkpoints, Restored int64
}

// origin is the last record of one process. Its records reach the log in the order
// of their numbers, so the highest number is enough to recognise duplicates.
type origin struct {
	Number uint64       `json:"number"`
	Offset proto.Offset `json:"offset"`
}

// State is the state of the config stream up to an offset. It is not safe for
// concurrent use; its snapshots are.
type State struct {
	checks *check.Monitor
	// cur is changed in place. A map that a snapshot shares is cloned first.
	cur      Snapshot
	shared   sharedMaps
	snapshot *Snapshot
	origins  map[string]origin
	slots    map[int]proto.RouterID
	buffer   []proto.Record
	tail     tail
	parts    partAssembler
	counters Counters

	extension Extension
}

// sharedMaps marks the maps of the state that the last snapshot shares.
type sharedMaps struct{ leases, routers, renewals bool }

// Extension is additional state that is derived from the config stream and kept in
// its checkpoints.
type Extension interface {
	// Owns reports whether the extension handles records of a kind.
	Owns(kind proto.RecordKind) bool
	// Apply applies a record. Each record comes once, in order.
	Apply(rec proto.Record)
	// Export returns the state for a checkpoint, Import replaces the state with
	// that of a checkpoint.
	Export() (json.RawMessage, error)
	Import(data json.RawMessage) error
}

// SetExtension sets the extension. It must be called before the first record is
// applied.
func (s *State) SetExtension(e Extension) { s.extension = e }

// NewState returns the state before the first record. checks may be nil.
func NewState(checks *check.Monitor) *State {
	return &State{
		checks: checks,
		cur: Snapshot{
			Config:           note.Empty(),
			Complete:         true,
			Leases:           map[string]LeaseState{},
			Routers:          map[proto.RouterID]RouterState{},
			Checkpoint:       NoOffset,
			CheckpointRecord: NoOffset,
			renewals:         map[proto.RouterID]proto.Offset{},
		},
		origins: map[string]origin{},
		slots:   map[int]proto.RouterID{},
	}
}

// Snapshot returns the current state. It returns the same snapshot until the state
// changes.
func (s *State) Snapshot() *Snapshot {
	if s.snapshot == nil {
		snap := s.cur
		snap.History = slices.Clip(snap.History)
		s.snapshot = &snap
		s.shared = sharedMaps{true, true, true}
	}
	return s.snapshot
}

// Counters returns the counters.
func (s *State) Counters() Counters { return s.counters }

// NextOffset returns the offset of the next record to apply.
func (s *State) NextOffset() proto.Offset { return s.cur.ConfigOffset }

// Skip records that retention removed all records below to. Unless they were applied
// already, the state is incomplete until a checkpoint is restored.
func (s *State) Skip(to proto.Offset) {
	if to <= s.cur.ConfigOffset {
		return
	}
	s.snapshot = nil
	s.cur.Complete = false
	s.cur.ConfigOffset = to
	s.buffer = nil
}

// Apply applies the next record. Records must come in order of their offsets;
// one with a lower offset is ignored, one beyond the next offset is not applied.
func (s *State) Apply(rec proto.Record) Result {
	if rec.Offset < s.cur.ConfigOffset {
		s.counters.Stale++
		return Result{Record: rec, Outcome: Stale, Detail: "the offset was folded before"}
	}
	if rec.Offset > s.cur.ConfigOffset {
		s.counters.Missing++
		return Result{Record: rec, Outcome: Missing, Detail: "offset " + offsetText(s.cur.ConfigOffset) + " is next"}
	}
	before := s.cur.Revision
	s.snapshot = nil
	s.cur.ConfigOffset++
	s.tail.add(rec)
	res := s.applyNext(rec)
	s.count(res.Outcome)
	s.checks.Check(check.NoteMonotonic, s.cur.Revision >= before, func() string {
		return "revision fell at offset " + offsetText(rec.Offset)
	})
	return res
}

func (s *State) applyNext(rec proto.Record) Result {
	if !s.cur.Complete {
		return s.bufferRecord(rec)
	}
	if s.isDuplicate(rec) {
		return Result{Record: rec, Outcome: Duplicate, Detail: "the id was folded before"}
	}
	return s.dispatch(rec)
}

// count counts an outcome; Apply counts the stale and missing records itself.
func (s *State) count(o Outcome) {
	switch o {
	case Applied:
		s.counters.Applied++
	case Duplicate:
		s.counters.Duplicates++
	case Refused:
		s.counters.Refused++
	case Conflicting:
		s.counters.Conflicting++
	}
}

// isDuplicate reports whether the id of a record was applied before, and remembers it.
func (s *State) isDuplicate(rec proto.Record) bool {
	name, number := splitID(rec.ID)
	old, ok := s.origins[name]
	if ok && number <= old.Number {
		return true
	}
	s.origins[name] = origin{Number: number, Offset: rec.Offset}
	if len(s.origins) > maxOrigins {
		s.evictOrigins()
	}
	return false
}

// splitID splits a record id of the form "process.number". An id of another form is
// an origin of its own, with the number 0.
func splitID(id proto.RecordID) (string, uint64) {
	i := strings.LastIndexByte(string(id), '.')
	if i < 0 {
		return string(id), 0
	}
	n, err := strconv.ParseUint(string(id[i+1:]), 10, 64)
	if err != nil {
		return string(id), 0
	}
	return string(id[:i]), n
}

// evictOrigins drops the half of the origins that appended longest ago.
func (s *State) evictOrigins() {
	names := slices.SortedFunc(maps.Keys(s.origins), func(a, b string) int {
		return cmp.Compare(s.origins[a].Offset, s.origins[b].Offset)
	})
	for _, name := range names[:len(names)/2] {
		delete(s.origins, name)
	}
}

// dispatch applies a record according to its kind.
func (s *State) dispatch(rec proto.Record) Result {
	switch rec.Kind {
	case KindReleaseNote:
		return s.applyReleaseNote(rec)
	case KindLease:
		return decodeAndApply(rec, s.applyLease)
	case KindRegistration:
		return decodeAndApply(rec, s.applyRegistration)
	case KindCheckpoint:
		return decodeAndApply(rec, s.applyCheckpointPart)
	}
	if s.extension != nil && s.extension.Owns(rec.Kind) {
		s.extension.Apply(rec)
		return Result{Record: rec, Outcome: Applied}
	}
	return Result{Record: rec, Outcome: Refused, Detail: "unknown kind " + string(rec.Kind)}
}

// decodeAndApply decodes the body of a record and applies it. apply returns the
// outcome and its detail.
func decodeAndApply[B any](rec proto.Record, apply func(proto.Offset, B) (Outcome, string)) Result {
	var body B
	if err := json.Unmarshal(rec.Body, &body); err != nil {
		return Result{Record: rec, Outcome: Refused, Detail: "malformed: " + err.Error()}
	}
	outcome, detail := apply(rec.Offset, body)
	return Result{Record: rec, Outcome: outcome, Detail: detail}
}

func (s *State) applyReleaseNote(rec proto.Record) Result {
	var body ReleaseNote
	dec := json.NewDecoder(bytes.NewReader(rec.Body))
	// A field that this version does not know must not be ignored silently.
	dec.DisallowUnknownFields()
	if err := dec.Decode(&body); err != nil {
		out := s.newNoteOutcome(rec, body, NoteRefused)
		out.Errors = []note.FieldError{{Field: "note", Problem: err.Error()}}
		return s.addToHistory(rec, out, Refused)
	}
	if n := body.Note; n.BasedOn < s.cur.Revision {
		return s.addToHistory(rec, s.newNoteOutcome(rec, body, NoteConflict), Conflicting)
	}
	next, err := note.Apply(s.cur.Config, body.Note)
	if err != nil {
		out := s.newNoteOutcome(rec, body, NoteRefused)
		var fields *note.ValidationError
		if errors.As(err, &fields) {
			out.Errors = fields.Fields
		}
		return s.addToHistory(rec, out, Refused)
	}
	s.cur.Config = next
	s.cur.Revision = next.Revision
	return s.addToHistory(rec, s.newNoteOutcome(rec, body, NoteAccepted), Applied)
}

// newNoteOutcome returns the history entry of a note.
func (s *State) newNoteOutcome(rec proto.Record, body ReleaseNote, result NoteResult) NoteOutcome {
	return NoteOutcome{
		ID: rec.ID, Offset: rec.Offset, Result: result, Revision: s.cur.Revision, BasedOn: body.Note.BasedOn,
		Author: body.Note.Author, Reason: body.Note.Reason, Router: body.Router, SubmittedWall: body.SubmittedWall,
		Digest: note.Digest(body.Note),
	}
}

// addToHistory appends an entry to the note history and returns the result for its
// record. When the history is full, its older half is dropped first.
func (s *State) addToHistory(rec proto.Record, out NoteOutcome, outcome Outcome) Result {
	out.ErrorCount = len(out.Errors)
	if len(s.cur.History) >= maxHistory {
		s.cur.History = slices.Clone(s.cur.History[len(s.cur.History)-maxHistory/2:])
	}
	s.cur.History = append(s.cur.History, out)
	detail := string(out.Result) + ", revision " + strconv.FormatInt(int64(out.Revision), 10)
	return Result{Record: rec, Outcome: outcome, Detail: detail, Note: &out}
}

func offsetText(o proto.Offset) string { return strconv.FormatInt(int64(o), 10) }

// cloneIfShared returns m, or a clone if a snapshot shares it.
func cloneIfShared[K comparable, V any](m map[K]V, shared *bool) map[K]V {
	if !*shared {
		return m
	}
	*shared = false
	return maps.Clone(m)
}
