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
	// maxOrigins bounds the processes whose record ids are remembered. An
	// operator's submission counts as a process of its own. At 1,300
	// submissions and 54 restarts a day it covers at least three days.
	maxOrigins = 8192
	// maxBuffered bounds the records that wait for a checkpoint. A checkpoint
	// is appended at once, so that few records lie between its state and itself.
	maxBuffered = 8192
)

// Outcome says what folding did with a record.
type Outcome string

// Outcomes of Fold.
const (
	// Applied records changed the state.
	Applied Outcome = "applied"
	// Duplicate records have an id that was folded before.
	Duplicate Outcome = "duplicate"
	// Stale records have an offset that was folded before.
	Stale Outcome = "stale"
	// Refused records break a rule, are malformed or of unknown kind.
	Refused Outcome = "refused"
	// Beaten records are valid, but another came first.
	Beaten Outcome = "beaten"
	// Missing means that earlier records were skipped; the record is not folded.
	Missing Outcome = "missing"
	// Buffered records wait for a checkpoint.
	Buffered Outcome = "buffered"
)

// Result is what Fold reports about a record.
type Result struct {
	Record  proto.Record
	Outcome Outcome
	Detail  string
	// Note is set for release notes.
	Note *NoteOutcome
}

// Counters count outcomes.
type Counters struct {
	Applied, Duplicates, Stale, Refused, Beaten, Missing, Checkpoints, Restored int64
}

// origin is what is remembered of the record ids of one process. A process
// appends in the order of its ids, so the highest number tells all.
type origin struct {
	Number uint64       `json:"number"`
	Offset proto.Offset `json:"offset"`
}

// State is the folded state. It is not safe for concurrent use; its snapshots are.
type State struct {
	checks *check.Monitor
	// cur is changed in place. A map that a snapshot may share is cloned first.
	cur      Snapshot
	shared   sections
	snapshot *Snapshot
	seen     map[string]origin
	slots    map[int]proto.RouterID
	buffer   []proto.Record
	tail     tail
	parts    assembly
	counters Counters

	extension Extension
}

// sections marks the maps of the state that a snapshot shares.
type sections struct{ leases, routers, renewed bool }

// Extension is further state that is folded from the config stream and kept
// in its checkpoints.
type Extension interface {
	// Owns reports whether records of a kind belong to the extension.
	Owns(kind proto.RecordKind) bool
	// Apply applies a record. Each record comes once, in order.
	Apply(rec proto.Record)
	// Export returns the state for a checkpoint, Import replaces the state by
	// that of a checkpoint.
	Export() (json.RawMessage, error)
	Import(data json.RawMessage) error
}

// SetExtension adds an extension. It is called before the first record is folded.
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
			renewed:          map[proto.RouterID]proto.Offset{},
		},
		seen:  map[string]origin{},
		slots: map[int]proto.RouterID{},
	}
}

// Snapshot returns the state as of now. It costs nothing until the state changes.
func (s *State) Snapshot() *Snapshot {
	if s.snapshot == nil {
		snap := s.cur
		snap.History = slices.Clip(snap.History)
		s.snapshot = &snap
		s.shared = sections{true, true, true}
	}
	return s.snapshot
}

// Counters returns the counters.
func (s *State) Counters() Counters { return s.counters }

// NextOffset returns the offset of the next record to fold.
func (s *State) NextOffset() proto.Offset { return s.cur.ConfigOffset }

// Skip tells that retention removed all records below to. Unless they were
// folded already, the state waits for a checkpoint.
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
// one with a lower offset is ignored, one beyond the next is not folded.
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
	res := s.fold(rec)
	s.count(res.Outcome)
	s.checks.Check(check.NoteMonotonic, s.cur.Revision >= before, func() string {
		return "revision fell at offset " + offsetText(rec.Offset)
	})
	return res
}

func (s *State) fold(rec proto.Record) Result {
	if !s.cur.Complete {
		return s.await(rec)
	}
	if s.duplicate(rec) {
		return Result{Record: rec, Outcome: Duplicate, Detail: "the id was folded before"}
	}
	return s.apply(rec)
}

func (s *State) count(o Outcome) {
	switch o {
	case Applied:
		s.counters.Applied++
	case Duplicate:
		s.counters.Duplicates++
	case Refused:
		s.counters.Refused++
	case Beaten:
		s.counters.Beaten++
	}
}

// duplicate remembers the id of a record and reports whether it came before.
func (s *State) duplicate(rec proto.Record) bool {
	name, number := splitID(rec.ID)
	old, ok := s.seen[name]
	if ok && number <= old.Number {
		return true
	}
	s.seen[name] = origin{Number: number, Offset: rec.Offset}
	if len(s.seen) > maxOrigins {
		s.forgetOrigins()
	}
	return false
}

// splitID takes "process.number" apart; another form is a process of its own.
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

// forgetOrigins drops the half of the processes that appended longest ago.
func (s *State) forgetOrigins() {
	names := slices.SortedFunc(maps.Keys(s.seen), func(a, b string) int {
		return cmp.Compare(s.seen[a].Offset, s.seen[b].Offset)
	})
	for _, name := range names[:len(names)/2] {
		delete(s.seen, name)
	}
}

func (s *State) apply(rec proto.Record) Result {
	switch rec.Kind {
	case KindReleaseNote:
		return s.releaseNote(rec)
	case KindLease:
		return decoded(rec, s.lease)
	case KindRegistration:
		return decoded(rec, s.registration)
	case KindCheckpoint:
		return decoded(rec, s.checkpointPart)
	}
	if s.extension != nil && s.extension.Owns(rec.Kind) {
		s.extension.Apply(rec)
		return Result{Record: rec, Outcome: Applied}
	}
	return Result{Record: rec, Outcome: Refused, Detail: "unknown kind " + string(rec.Kind)}
}

// decoded applies a record of one kind. apply returns why it did not.
func decoded[B any](rec proto.Record, apply func(proto.Offset, B) (Outcome, string)) Result {
	var body B
	if err := json.Unmarshal(rec.Body, &body); err != nil {
		return Result{Record: rec, Outcome: Refused, Detail: "malformed: " + err.Error()}
	}
	outcome, detail := apply(rec.Offset, body)
	return Result{Record: rec, Outcome: outcome, Detail: detail}
}

func (s *State) releaseNote(rec proto.Record) Result {
	var body ReleaseNote
	dec := json.NewDecoder(bytes.NewReader(rec.Body))
	// A field that this version does not know must not be dropped in silence.
	dec.DisallowUnknownFields()
	if err := dec.Decode(&body); err != nil {
		out := s.remember(rec, body, NoteRefused)
		out.Errors = []note.FieldError{{Field: "note", Problem: err.Error()}}
		return s.noted(rec, out, Refused)
	}
	if n := body.Note; n.BasedOn < s.cur.Revision {
		return s.noted(rec, s.remember(rec, body, NoteBeaten), Beaten)
	}
	next, err := note.Apply(s.cur.Config, body.Note)
	if err != nil {
		out := s.remember(rec, body, NoteRefused)
		var fields *note.ValidationError
		if errors.As(err, &fields) {
			out.Errors = fields.Fields
		}
		return s.noted(rec, out, Refused)
	}
	s.cur.Config = next
	s.cur.Revision = next.Revision
	return s.noted(rec, s.remember(rec, body, NoteAccepted), Applied)
}

func (s *State) remember(rec proto.Record, body ReleaseNote, result NoteResult) NoteOutcome {
	return NoteOutcome{
		ID: rec.ID, Offset: rec.Offset, Result: result, Revision: s.cur.Revision, BasedOn: body.Note.BasedOn,
		Author: body.Note.Author, Reason: body.Note.Reason, Router: body.Router, SubmittedWall: body.SubmittedWall,
		Digest: note.Digest(body.Note),
	}
}

func (s *State) noted(rec proto.Record, out NoteOutcome, outcome Outcome) Result {
	out.ErrorCount = len(out.Errors)
	if len(s.cur.History) >= maxHistory {
		s.cur.History = slices.Clone(s.cur.History[len(s.cur.History)-maxHistory/2:])
	}
	s.cur.History = append(s.cur.History, out)
	detail := string(out.Result) + ", revision " + strconv.FormatInt(int64(out.Revision), 10)
	return Result{Record: rec, Outcome: outcome, Detail: detail, Note: &out}
}

func offsetText(o proto.Offset) string { return strconv.FormatInt(int64(o), 10) }

// own returns m, cloned if a snapshot shares it.
func own[K comparable, V any](m map[K]V, shared *bool) map[K]V {
	if !*shared {
		return m
	}
	*shared = false
	return maps.Clone(m)
}
