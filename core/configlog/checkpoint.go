package configlog

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/kumquatsill/kumquatsill/core/note"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

const (
	// maxPartBytes is the size of the compressed data in one part, well below the
	// maximum size of a record.
	maxPartBytes = 192 << 10
	// maxParts and maxStateBytes bound the memory that a malformed checkpoint can
	// take. maxStateBytes is the size of the decompressed state.
	maxParts      = 256
	maxStateBytes = 64 << 20
	// maxAssemblies is the number of incomplete checkpoints whose parts are kept.
	maxAssemblies = 4
	// maxCheckpointErrors is the number of errors that a checkpoint keeps of each
	// refused note.
	maxCheckpointErrors = 20
)

// Checkpoint is one part of a checkpoint: the state after all records below an
// offset. A large state is split into numbered parts, each in a record of its own.
type Checkpoint struct {
	// Writer and AsOf identify the checkpoint. It covers all records below AsOf.
	Writer proto.RouterID `json:"writer"`
	AsOf   proto.Offset   `json:"as_of"`
	// Part is the number of this part, from 0 to Parts-1.
	Part  int    `json:"part"`
	Parts int    `json:"parts"`
	Data  []byte `json:"data"`
	// Sum is the xxhash of the data of all parts together.
	Sum uint64 `json:"sum"`
}

// checkpointState is the JSON form of the state, which a checkpoint holds
// compressed with gzip.
type checkpointState struct {
	AsOf        proto.Offset                    `json:"as_of"`
	Config      *note.Config                    `json:"config"`
	Leases      map[string]LeaseState           `json:"leases"`
	Renewed     map[proto.RouterID]proto.Offset `json:"renewed"`
	Routers     map[proto.RouterID]RouterState  `json:"routers"`
	History     []NoteOutcome                   `json:"history"`
	Seen        map[string]origin               `json:"seen"`
	LastRemoval proto.Offset                    `json:"removed,omitempty"`
	Extension   json.RawMessage                 `json:"extension,omitempty"`
}

// Checkpoint encodes the state as the parts of a checkpoint. It fails while the
// state is incomplete.
func (s *State) Checkpoint(writer proto.RouterID) ([]Checkpoint, error) {
	if !s.cur.Complete {
		return nil, Error.New("the state is incomplete at offset %d", s.cur.ConfigOffset)
	}
	data, err := s.encode()
	if err != nil {
		return nil, err
	}
	var parts []Checkpoint
	sum := xxhash.Sum64(data)
	for chunk := range slices.Chunk(data, maxPartBytes) {
		parts = append(parts, Checkpoint{Writer: writer, AsOf: s.cur.ConfigOffset, Part: len(parts), Data: chunk, Sum: sum})
	}
	for i := range parts {
		parts[i].Parts = len(parts)
	}
	return parts, nil
}

func (s *State) encode() ([]byte, error) {
	saved := checkpointState{
		AsOf: s.cur.ConfigOffset, Config: s.cur.Config, Leases: s.cur.Leases, Renewed: s.cur.renewals,
		Routers: s.cur.Routers, Seen: s.origins, LastRemoval: s.cur.LastRemoval,
	}
	if s.extension != nil {
		data, err := s.extension.Export()
		if err != nil {
			return nil, Error.Wrap(err)
		}
		saved.Extension = data
	}
	for _, out := range s.cur.History {
		out.Errors = out.Errors[:min(len(out.Errors), maxCheckpointErrors)]
		saved.History = append(saved.History, out)
	}
	var buf bytes.Buffer
	zip := gzip.NewWriter(&buf)
	if err := json.NewEncoder(zip).Encode(saved); err != nil {
		return nil, Error.Wrap(err)
	}
	if err := zip.Close(); err != nil {
		return nil, Error.Wrap(err)
	}
	return buf.Bytes(), nil
}

func decodeState(data []byte) (checkpointState, error) {
	var saved checkpointState
	zip, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return saved, Error.Wrap(err)
	}
	if err := json.NewDecoder(io.LimitReader(zip, maxStateBytes)).Decode(&saved); err != nil {
		return saved, Error.Wrap(err)
	}
	if saved.Config == nil {
		return saved, Error.New("the checkpoint has no configuration")
	}
	return saved, nil
}

// Restore replaces the state with that of a checkpoint, given all of its parts in
// order. It fails without effect if the parts do not belong together, if the state
// would go backwards, or if records after the checkpoint are missing.
func (s *State) Restore(parts []Checkpoint) error {
	data, err := joinParts(parts)
	if err != nil {
		return err
	}
	saved, err := decodeState(data)
	if err != nil {
		return err
	}
	if saved.AsOf != parts[0].AsOf {
		return Error.New("the checkpoint says offset %d, its content %d", parts[0].AsOf, saved.AsOf)
	}
	return s.restoreState(saved)
}

// joinParts verifies that the parts make up one checkpoint and returns its data.
func joinParts(parts []Checkpoint) ([]byte, error) {
	if len(parts) == 0 || len(parts) != parts[0].Parts {
		return nil, Error.New("the checkpoint is not whole: %d parts", len(parts))
	}
	var data []byte
	for i, p := range parts {
		if p.Part != i || p.AsOf != parts[0].AsOf || p.Writer != parts[0].Writer {
			return nil, Error.New("part %d does not belong to the checkpoint", i)
		}
		data = append(data, p.Data...)
	}
	if xxhash.Sum64(data) != parts[0].Sum {
		return nil, Error.New("the checksum of the checkpoint does not match")
	}
	return data, nil
}

// restoreState replaces the state with a saved one and applies the buffered records
// that follow it.
func (s *State) restoreState(saved checkpointState) error {
	next := s.cur.ConfigOffset
	bufferStart := next - proto.Offset(len(s.buffer))
	if s.cur.Complete && saved.AsOf <= next {
		return Error.New("the checkpoint is as of offset %d, the state is at %d", saved.AsOf, next)
	}
	if saved.AsOf < bufferStart || saved.Config.Revision < s.cur.Revision {
		return Error.New("records between the checkpoint at %d and offset %d are missing", saved.AsOf, bufferStart)
	}
	buffer := s.buffer
	if s.extension != nil && saved.Extension != nil {
		if err := s.extension.Import(saved.Extension); err != nil {
			return Error.Wrap(err)
		}
	}
	s.replace(saved)
	if saved.AsOf > next {
		s.tail = tail{}
	}
	for _, rec := range buffer {
		if rec.Offset >= saved.AsOf {
			s.Apply(rec)
		}
	}
	s.counters.Restored++
	return nil
}

// replace sets the state to a saved one. It keeps the counters, the latest records,
// the extension and the position of the newest checkpoint.
func (s *State) replace(saved checkpointState) {
	fresh := NewState(s.checks)
	fresh.counters = s.counters
	fresh.tail = s.tail
	fresh.cur.Config = saved.Config
	fresh.cur.Revision = saved.Config.Revision
	fresh.cur.ConfigOffset = saved.AsOf
	fresh.cur.History = saved.History
	fresh.cur.Leases = nonNil(saved.Leases)
	fresh.cur.Routers = nonNil(saved.Routers)
	fresh.cur.renewals = nonNil(saved.Renewed)
	fresh.origins = nonNil(saved.Seen)
	fresh.cur.LastRemoval = saved.LastRemoval
	fresh.extension = s.extension
	for id, r := range fresh.cur.Routers {
		if r.Slot != NoSlot {
			fresh.slots[r.Slot] = id
		}
	}
	fresh.cur.Checkpoint, fresh.cur.CheckpointRecord = s.cur.Checkpoint, s.cur.CheckpointRecord
	*s = *fresh
}

func nonNil[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return map[K]V{}
	}
	return m
}

// bufferRecord keeps a record while the state is incomplete. The record with the
// last part of a checkpoint restores the state from that checkpoint.
func (s *State) bufferRecord(rec proto.Record) Result {
	s.buffer = append(s.buffer, rec)
	if len(s.buffer) > maxBuffered {
		s.buffer = slices.Clone(s.buffer[maxBuffered/2:])
	}
	if rec.Kind != KindCheckpoint {
		return Result{Record: rec, Outcome: Buffered}
	}
	res := decodeAndApply(rec, s.applyCheckpointPart)
	if res.Outcome == Applied && !s.cur.Complete {
		res.Outcome = Buffered
	}
	return res
}

// partAssembler collects the parts of checkpoints that are not complete yet.
type partAssembler struct{ sets [][]Checkpoint }

// add takes a part and returns all parts of its checkpoint, in order, once none is
// missing. If too many checkpoints are incomplete, the oldest one is dropped.
func (a *partAssembler) add(c Checkpoint) []Checkpoint {
	i := slices.IndexFunc(a.sets, func(set []Checkpoint) bool {
		return set[0].Writer == c.Writer && set[0].AsOf == c.AsOf && set[0].Parts == c.Parts && set[0].Sum == c.Sum
	})
	if i < 0 {
		a.sets = append(a.sets, nil)
		i = len(a.sets) - 1
	}
	if !slices.ContainsFunc(a.sets[i], func(p Checkpoint) bool { return p.Part == c.Part }) {
		a.sets[i] = append(a.sets[i], c)
	}
	set := a.sets[i]
	if len(set) == c.Parts {
		a.sets = slices.Delete(a.sets, i, i+1)
		slices.SortFunc(set, func(a, b Checkpoint) int { return a.Part - b.Part })
		return set
	}
	if len(a.sets) > maxAssemblies {
		a.sets = slices.Delete(a.sets, 0, 1)
	}
	return nil
}

// applyCheckpointPart handles one part of a checkpoint. The last part that is missing
// restores the state if it is incomplete.
func (s *State) applyCheckpointPart(at proto.Offset, c Checkpoint) (Outcome, string) {
	if c.Parts < 1 || c.Parts > maxParts || c.Part < 0 || c.Part >= c.Parts || c.AsOf < 0 || c.AsOf > at {
		return Refused, "the checkpoint part is malformed"
	}
	if s.cur.Complete {
		c.Data = nil // the state is complete and needs only the checkpoint's offsets
	}
	parts := s.parts.add(c)
	if parts == nil {
		return Applied, ""
	}
	if !s.cur.Complete {
		// The buffered records include this one; restoring applies it again.
		if err := s.Restore(parts); err != nil {
			return Refused, err.Error()
		}
		s.recordCheckpoint(at, c.AsOf)
		return Applied, "adopted"
	}
	s.recordCheckpoint(at, c.AsOf)
	return Applied, ""
}

// recordCheckpoint remembers the newest checkpoint. at is the offset of its last part.
func (s *State) recordCheckpoint(at, asOf proto.Offset) {
	if asOf <= s.cur.Checkpoint {
		return
	}
	s.counters.Checkpoints++
	s.cur.Checkpoint = asOf
	s.cur.CheckpointRecord = at
}

// Checkpointer decides when a node appends a checkpoint. Its delays are random, so
// that one node appends a checkpoint first and the others, which see it in the log,
// do not append one too.
type Checkpointer struct {
	rng *rand.Rand
	// interval and records are a quarter of the log's retention, in time and in
	// number of records.
	interval time.Duration
	records  proto.Offset
	// asOf is the newest checkpoint in the log when the next one was scheduled.
	asOf      proto.Offset
	due       proto.Instant
	dueOffset proto.Offset
	started   bool
}

// NewCheckpointer returns a Checkpointer for a log that keeps records for at
// least the given time and number of records.
func NewCheckpointer(retention time.Duration, records proto.Offset, seed uint64) *Checkpointer {
	return &Checkpointer{
		rng:      rand.New(rand.NewPCG(seed, 0x636b7074)),
		interval: max(retention/4, 1),
		records:  max(records/4, 1),
	}
}

// Due reports whether the node should append a checkpoint of the snapshot now.
func (c *Checkpointer) Due(now proto.Instant, snap *Snapshot) bool {
	if !snap.Complete || snap.ConfigOffset == 0 {
		return false
	}
	if !c.started || snap.Checkpoint != c.asOf {
		c.reschedule(now, snap)
	}
	return now >= c.due || snap.ConfigOffset >= c.dueOffset
}

// Wake returns when Due should be called next.
func (c *Checkpointer) Wake() proto.Instant {
	if !c.started {
		return proto.Never
	}
	return c.due
}

// Appended records that the node has appended a checkpoint. If it does not show up
// in the log, the next one is due after a tenth of the interval, in time or in
// records.
func (c *Checkpointer) Appended(now proto.Instant, snap *Snapshot) {
	c.due = now.Add(c.interval / 10)
	c.dueOffset = snap.ConfigOffset + c.records/10 + 1
}

// reschedule sets when the next checkpoint is due: after 80 % to 100 % of the
// interval, in time or in records.
func (c *Checkpointer) reschedule(now proto.Instant, snap *Snapshot) {
	minFraction := 0.8
	if !c.started {
		// The age of a checkpoint that exists at the start is unknown, so the first
		// delay may be short. Otherwise nodes that keep restarting together would
		// never append a checkpoint.
		minFraction = 0.05
	}
	fraction := minFraction + (1-minFraction)*c.rng.Float64()
	c.started = true
	c.asOf = snap.Checkpoint
	c.due = now.Add(time.Duration(fraction * float64(c.interval)))
	c.dueOffset = max(snap.Checkpoint, 0) + proto.Offset(fraction*float64(c.records)) + 1
}
