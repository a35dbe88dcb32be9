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
	// partBytes is the compressed content of one part, well below the largest record.
	partBytes = 192 << 10
	// maxParts and maxStateBytes bound what a malformed checkpoint can make a node hold.
	maxParts      = 256
	maxStateBytes = 64 << 20
	// maxAssembling is the number of checkpoints of which parts are kept at once.
	maxAssembling    = 4
	checkpointErrors = 20
)

// Checkpoint is one part of the folded state as of an offset. The writer may
// split the state into numbered parts, each a record.
type Checkpoint struct {
	// Writer and AsOf name the checkpoint.
	Writer proto.RouterID `json:"writer"`
	AsOf   proto.Offset   `json:"as_of"`
	// Part counts from 0 to Parts-1.
	Part  int    `json:"part"`
	Parts int    `json:"parts"`
	Data  []byte `json:"data"`
	// Sum is the xxhash of the data of all parts.
	Sum uint64 `json:"sum"`
}

// image is the JSON form of the state.
type image struct {
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

// Checkpoint encodes the state in parts. It fails while records are missing.
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
	for chunk := range slices.Chunk(data, partBytes) {
		parts = append(parts, Checkpoint{Writer: writer, AsOf: s.cur.ConfigOffset, Part: len(parts), Data: chunk, Sum: sum})
	}
	for i := range parts {
		parts[i].Parts = len(parts)
	}
	return parts, nil
}

func (s *State) encode() ([]byte, error) {
	img := image{
		AsOf: s.cur.ConfigOffset, Config: s.cur.Config, Leases: s.cur.Leases, Renewed: s.cur.renewed,
		Routers: s.cur.Routers, Seen: s.seen, LastRemoval: s.cur.LastRemoval,
	}
	if s.extension != nil {
		data, err := s.extension.Export()
		if err != nil {
			return nil, Error.Wrap(err)
		}
		img.Extension = data
	}
	for _, out := range s.cur.History {
		out.Errors = out.Errors[:min(len(out.Errors), checkpointErrors)]
		img.History = append(img.History, out)
	}
	var buf bytes.Buffer
	zip := gzip.NewWriter(&buf)
	if err := json.NewEncoder(zip).Encode(img); err != nil {
		return nil, Error.Wrap(err)
	}
	if err := zip.Close(); err != nil {
		return nil, Error.Wrap(err)
	}
	return buf.Bytes(), nil
}

func decodeImage(data []byte) (image, error) {
	var img image
	zip, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return img, Error.Wrap(err)
	}
	if err := json.NewDecoder(io.LimitReader(zip, maxStateBytes)).Decode(&img); err != nil {
		return img, Error.Wrap(err)
	}
	if img.Config == nil {
		return img, Error.New("the checkpoint has no configuration")
	}
	return img, nil
}

// Restore replaces the state by that of a checkpoint, all of whose parts are
// given. It fails without effect if the parts do not fit together or if the
// state would go backwards.
func (s *State) Restore(parts []Checkpoint) error {
	data, err := join(parts)
	if err != nil {
		return err
	}
	img, err := decodeImage(data)
	if err != nil {
		return err
	}
	if img.AsOf != parts[0].AsOf {
		return Error.New("the checkpoint says offset %d, its content %d", parts[0].AsOf, img.AsOf)
	}
	return s.adopt(img)
}

func join(parts []Checkpoint) ([]byte, error) {
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

// adopt takes over an image, then folds the buffered records after it.
func (s *State) adopt(img image) error {
	next := s.cur.ConfigOffset
	bufferStart := next - proto.Offset(len(s.buffer))
	if s.cur.Complete && img.AsOf <= next {
		return Error.New("the checkpoint is as of offset %d, the state is at %d", img.AsOf, next)
	}
	if img.AsOf < bufferStart || img.Config.Revision < s.cur.Revision {
		return Error.New("records between the checkpoint at %d and offset %d are missing", img.AsOf, bufferStart)
	}
	buffer := s.buffer
	if s.extension != nil && img.Extension != nil {
		if err := s.extension.Import(img.Extension); err != nil {
			return Error.Wrap(err)
		}
	}
	s.replace(img)
	if img.AsOf > next {
		s.tail = tail{}
	}
	for _, rec := range buffer {
		if rec.Offset >= img.AsOf {
			s.Apply(rec)
		}
	}
	s.counters.Restored++
	return nil
}

func (s *State) replace(img image) {
	fresh := NewState(s.checks)
	fresh.counters = s.counters
	fresh.tail = s.tail
	fresh.cur.Config = img.Config
	fresh.cur.Revision = img.Config.Revision
	fresh.cur.ConfigOffset = img.AsOf
	fresh.cur.History = img.History
	fresh.cur.Leases = orEmpty(img.Leases)
	fresh.cur.Routers = orEmpty(img.Routers)
	fresh.cur.renewed = orEmpty(img.Renewed)
	fresh.seen = orEmpty(img.Seen)
	fresh.cur.LastRemoval = img.LastRemoval
	fresh.extension = s.extension
	for id, r := range fresh.cur.Routers {
		if r.Slot != NoSlot {
			fresh.slots[r.Slot] = id
		}
	}
	fresh.cur.Checkpoint, fresh.cur.CheckpointRecord = s.cur.Checkpoint, s.cur.CheckpointRecord
	*s = *fresh
}

func orEmpty[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return map[K]V{}
	}
	return m
}

// await keeps a record while the state is incomplete, and adopts a
// checkpoint as soon as it is whole.
func (s *State) await(rec proto.Record) Result {
	s.buffer = append(s.buffer, rec)
	if len(s.buffer) > maxBuffered {
		s.buffer = slices.Clone(s.buffer[maxBuffered/2:])
	}
	if rec.Kind != KindCheckpoint {
		return Result{Record: rec, Outcome: Buffered}
	}
	res := decoded(rec, s.checkpointPart)
	if res.Outcome == Applied && !s.cur.Complete {
		res.Outcome = Buffered
	}
	return res
}

// assembly holds the parts of checkpoints that are not whole yet.
type assembly struct{ sets [][]Checkpoint }

// add returns all parts of a checkpoint once the last one came.
func (a *assembly) add(c Checkpoint) []Checkpoint {
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
	if len(a.sets) > maxAssembling {
		a.sets = slices.Delete(a.sets, 0, 1)
	}
	return nil
}

func (s *State) checkpointPart(at proto.Offset, c Checkpoint) (Outcome, string) {
	if c.Parts < 1 || c.Parts > maxParts || c.Part < 0 || c.Part >= c.Parts || c.AsOf < 0 || c.AsOf > at {
		return Refused, "the checkpoint part is malformed"
	}
	if s.cur.Complete {
		c.Data = nil // only the position of a checkpoint matters
	}
	parts := s.parts.add(c)
	if parts == nil {
		return Applied, ""
	}
	if !s.cur.Complete {
		// The buffered records include this one; adopting folds it again.
		if err := s.Restore(parts); err != nil {
			return Refused, err.Error()
		}
		s.noteCheckpoint(at, c.AsOf)
		return Applied, "adopted"
	}
	s.noteCheckpoint(at, c.AsOf)
	return Applied, ""
}

func (s *State) noteCheckpoint(at, asOf proto.Offset) {
	if asOf <= s.cur.Checkpoint {
		return
	}
	s.counters.Checkpoints++
	s.cur.Checkpoint = asOf
	s.cur.CheckpointRecord = at
}

// Checkpointer decides when a node appends a checkpoint. Nodes decide at
// different times, so that one is first and the others see its checkpoint.
type Checkpointer struct {
	rng *rand.Rand
	// quarter and records are a quarter of the retention.
	quarter time.Duration
	records proto.Offset
	asOf    proto.Offset
	due     proto.Instant
	dueAt   proto.Offset
	started bool
}

// NewCheckpointer returns a Checkpointer for a log that keeps records for at
// least the given time and number of records.
func NewCheckpointer(retention time.Duration, records proto.Offset, seed uint64) *Checkpointer {
	return &Checkpointer{
		rng:     rand.New(rand.NewPCG(seed, 0x636b7074)),
		quarter: max(retention/4, 1),
		records: max(records/4, 1),
	}
}

// Due reports whether the node has to append a checkpoint of the snapshot now.
func (c *Checkpointer) Due(now proto.Instant, snap *Snapshot) bool {
	if !snap.Complete || snap.ConfigOffset == 0 {
		return false
	}
	if !c.started || snap.Checkpoint != c.asOf {
		c.restart(now, snap)
	}
	return now >= c.due || snap.ConfigOffset >= c.dueAt
}

// Wake returns when Due has to be asked next.
func (c *Checkpointer) Wake() proto.Instant {
	if !c.started {
		return proto.Never
	}
	return c.due
}

// Appended tells that the node has appended a checkpoint. The next is not due
// before the log shows this one or a tenth of the time has passed.
func (c *Checkpointer) Appended(now proto.Instant, snap *Snapshot) {
	c.due = now.Add(c.quarter / 10)
	c.dueAt = snap.ConfigOffset + c.records/10 + 1
}

func (c *Checkpointer) restart(now proto.Instant, snap *Snapshot) {
	low := 0.8
	if !c.started {
		// The age of a checkpoint that was there at the start is unknown, so
		// the first wait may be short. Nodes that keep restarting together
		// would else never reach the time of a checkpoint.
		low = 0.05
	}
	f := low + (1-low)*c.rng.Float64()
	c.started = true
	c.asOf = snap.Checkpoint
	c.due = now.Add(time.Duration(f * float64(c.quarter)))
	c.dueAt = max(snap.Checkpoint, 0) + proto.Offset(f*float64(c.records)) + 1
}
