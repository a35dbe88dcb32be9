package router

import (
	"time"

	"github.com/kumquatsill/kumquatsill/core/configlog"
	"github.com/kumquatsill/kumquatsill/core/ledger"
	"github.com/kumquatsill/kumquatsill/core/note"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// foldRecord folds one record of the config stream and reports whether the
// state changed.
func (c *Control) foldRecord(now proto.Instant, r proto.Record) bool {
	return c.onFolded(now, c.state.Fold(r))
}

func (c *Control) onFolded(now proto.Instant, result configlog.Result) bool {
	switch result.Outcome {
	case configlog.Stale, configlog.Missing, configlog.Buffered:
		return false
	}
	if result.Record.Kind == configlog.KindLease {
		c.leases.observe(now, c.state.Snapshot())
		c.onLeaseFolded(result)
	}
	if result.Note != nil {
		c.answerNote(*result.Note)
	}
	return true
}

// checkpoint appends the folded state if this router is the first to find
// that the newest checkpoint is getting old.
func (c *Control) checkpoint(now proto.Instant) {
	snap := c.state.Snapshot()
	if !c.ready || !c.checkpointer.Due(now, snap) {
		return
	}
	parts, err := c.state.Checkpoint(c.cfg.ID)
	if err != nil {
		c.stats.CheckpointErrors++
		return
	}
	for _, part := range parts {
		if _, err := c.log.Append(now, proto.StreamConfig, configlog.KindCheckpoint, part); err != nil {
			c.stats.CheckpointErrors++
			return
		}
	}
	c.stats.Checkpoints++
	c.checkpointer.Appended(now, snap)
}

func (c *Control) onNoteSubmit(now proto.Instant, from proto.Addr, m proto.NoteSubmit) {
	n, err := note.Parse(m.Note)
	if err != nil {
		c.Send(from, proto.NoteOutcome{ID: m.ID, Status: proto.NoteRefused, Detail: err.Error()})
		return
	}
	body := configlog.ReleaseNote{Note: n, Router: c.cfg.ID, SubmittedWall: m.SubmittedWall}
	id, err := c.log.Append(now, proto.StreamConfig, configlog.KindReleaseNote, body)
	if err != nil {
		c.Send(from, proto.NoteOutcome{ID: m.ID, Status: proto.NoteRefused, Detail: err.Error()})
		return
	}
	c.notes[id] = submission{id: m.ID, from: from, until: now.Add(noteTimeout)}
}

// answerNote tells the operator what became of a note, once this router has
// folded it.
func (c *Control) answerNote(o configlog.NoteOutcome) {
	out := proto.NoteOutcome{Revision: o.Revision}
	switch o.Result {
	case configlog.NoteAccepted:
		out.Status = proto.NoteAccepted
	case configlog.NoteBeaten:
		out.Status = proto.NoteBeaten
	default:
		out.Status = proto.NoteRefused
	}
	for _, e := range o.Errors {
		out.Problems = append(out.Problems, proto.NoteProblem{Field: e.Field, Problem: e.Problem})
	}
	c.endSubmission(o.ID, out)
}

func (c *Control) endSubmission(record proto.RecordID, out proto.NoteOutcome) {
	s, ok := c.notes[record]
	if !ok {
		return
	}
	delete(c.notes, record)
	out.ID = s.id
	c.Send(s.from, out)
}

// noteFailed answers a submission that the log did not take for certain.
func (c *Control) noteFailed(e ledger.Event) {
	out := proto.NoteOutcome{Status: proto.NoteUnknown, Detail: "the log did not say whether it holds the note; look into the history"}
	switch e.Kind {
	case ledger.EventRefused:
		out.Status, out.Detail = proto.NoteRefused, e.Detail
	case ledger.EventAbsent:
		if e.Final {
			out.Status, out.Detail = proto.NoteRefused, "the log did not take the note"
		}
	}
	c.endSubmission(e.ID, out)
}

func (c *Control) expireNotes(now proto.Instant) {
	for id, s := range c.notes {
		if now >= s.until {
			c.log.Abandon(id)
		}
	}
}

// register announces this router in the log, and again when the log has lost
// it or gave its slot to another.
func (c *Control) register(now proto.Instant) {
	if !c.ready || c.draining || now < c.registerAt {
		return
	}
	snap := c.state.Snapshot()
	own, known := snap.Routers[c.cfg.ID]
	slot := freeSlot(snap, c.cfg.ID)
	if known && (own.Slot != configlog.NoSlot || slot == configlog.NoSlot) {
		return
	}
	c.registerAt = now.Add(registerRetry)
	body := configlog.Registration{Router: c.cfg.ID, Addr: c.cfg.Addr, Domain: c.cfg.Domain, Slot: slot}
	if _, err := c.log.Append(now, proto.StreamConfig, configlog.KindRegistration, body); err != nil {
		c.stats.AppendErrors++
	}
}

// freeSlot picks a static slot that nobody holds. Routers start their search
// at different slots, so that a herd of new ones rarely wants the same.
func freeSlot(snap *configlog.Snapshot, id proto.RouterID) int {
	slots := snap.Config.Policy.StaticSlots
	taken := make([]bool, slots)
	for _, r := range snap.Routers {
		if r.Slot >= 0 && r.Slot < slots {
			taken[r.Slot] = true
		}
	}
	start := int(hashID(string(id)) % uint64(slots))
	for i := range slots {
		if slot := (start + i) % slots; !taken[slot] {
			return slot
		}
	}
	return configlog.NoSlot
}

// removeSilent takes routers off the register from which nothing was heard
// for a long time. While any router says that it cannot read the log, a silent
// one may be serving in the belief of a general outage, and is left alone.
func (c *Control) removeSilent(now proto.Instant) {
	if !c.ready || !c.logReachable(now) || now < c.removeAt || c.fresh.anyCutOff(now) {
		return
	}
	c.removeAt = now.Add(removeInterval + time.Duration(c.rng.Int64N(int64(removeInterval))))
	for id := range c.state.Snapshot().Routers {
		if id == c.cfg.ID || !c.peers.silent(now, id, silentRouterAfter) {
			continue
		}
		body := configlog.Registration{Router: id, Slot: configlog.NoSlot, Gone: true, By: c.cfg.ID}
		if _, err := c.log.Append(now, proto.StreamConfig, configlog.KindRegistration, body); err != nil {
			c.stats.AppendErrors++
		}
	}
}
