package router

import (
	"encoding/json"
	"errors"

	"github.com/kumquatsill/kumquatsill/core/ledger"
	"github.com/kumquatsill/kumquatsill/core/note"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

const kindNote proto.RecordKind = "note"

// fold is the state folded from the config stream.
type fold struct {
	config  *note.Config
	next    proto.Offset
	records []proto.Record
	ids     map[proto.RecordID]proto.NoteOutcome
}

func newFold() *fold { return &fold{config: note.Empty(), ids: map[proto.RecordID]proto.NoteOutcome{}} }

func (f *fold) after(from proto.Offset) []proto.Record {
	for i, r := range f.records {
		if r.Offset >= from {
			return f.records[i:]
		}
	}
	return nil
}

func (c *Control) foldRecord(_ proto.Instant, r proto.Record) bool {
	f := c.state
	if r.Offset < f.next {
		return false
	}
	f.next = r.Offset + 1
	f.records = append(f.records, r)
	if r.Kind != kindNote {
		return true
	}
	outcome, seen := f.ids[r.ID]
	if !seen {
		outcome = f.apply(r)
		f.ids[r.ID] = outcome
	}
	c.answerNote(outcome)
	return true
}

func (f *fold) apply(r proto.Record) proto.NoteOutcome {
	out := proto.NoteOutcome{ID: r.ID, Status: proto.NoteRefused, Revision: f.config.Revision}
	var n note.Note
	if err := json.Unmarshal(r.Body, &n); err != nil {
		out.Detail = err.Error()
		return out
	}
	next, err := note.Apply(f.config, n)
	var bad *note.CheckError
	switch {
	case errors.As(err, &bad):
		for _, p := range bad.Fields {
			out.Problems = append(out.Problems, proto.NoteProblem{Field: p.Field, Problem: p.Problem})
		}
	case err != nil:
		out.Detail = err.Error()
	default:
		f.config = next
		out.Status, out.Revision = proto.NoteAccepted, next.Revision
	}
	return out
}

func (c *Control) onNoteSubmit(now proto.Instant, from proto.Addr, m proto.NoteSubmit) {
	id, err := c.log.Append(now, proto.StreamConfig, kindNote, m.Note)
	if err != nil {
		c.Send(from, proto.NoteOutcome{ID: m.ID, Status: proto.NoteRefused, Detail: err.Error()})
		return
	}
	c.notes[id] = submission{from: from, id: m.ID, until: now.Add(noteTimeout)}
}

func (c *Control) answerNote(o proto.NoteOutcome) {
	s, ok := c.notes[o.ID]
	if !ok {
		return
	}
	delete(c.notes, o.ID)
	o.ID = s.id
	c.Send(s.from, o)
}

func (c *Control) noteFailed(e ledger.Event) {
	status := proto.NoteUnknown
	if e.Kind == ledger.EventRefused {
		status = proto.NoteRefused
	}
	c.answerNote(proto.NoteOutcome{ID: e.ID, Status: status, Detail: e.Detail})
}

func (c *Control) expireNotes(now proto.Instant) {
	for id, s := range c.notes {
		if now >= s.until {
			c.answerNote(proto.NoteOutcome{ID: id, Status: proto.NoteUnknown, Detail: "the log did not answer in time"})
		}
	}
}
