package configlog

import (
	"time"

	"github.com/kumquatsill/kumquatsill/core/note"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// LeaseState is what the log says about a lease. Whether it has expired is
// for each node to decide by its own clock.
type LeaseState struct {
	Holder proto.RouterID `json:"holder,omitempty"`
	// Fence is the offset of the claim or hand-over, the fencing number.
	Fence proto.Offset `json:"fence"`
	// Touched is the offset of the last record that changed or renewed the lease.
	Touched proto.Offset  `json:"touched"`
	TTL     time.Duration `json:"ttl_ns"`
	// Balance came with the release or hand-over before Fence; 0 after a takeover.
	Balance  int64 `json:"balance,omitempty"`
	Released bool  `json:"released,omitempty"`
	// CleanTransfer is set if the previous holder gave the lease up, or there was none.
	CleanTransfer bool `json:"clean,omitempty"`
	// ReplacedAt is the offset at which the previous holder was replaced by another
	// router at its address, and so was known to have ended; 0 if it was not.
	ReplacedAt proto.Offset `json:"freed,omitempty"`
	// ReplacedHolder is the holder that was replaced at ReplacedAt.
	ReplacedHolder proto.RouterID `json:"freed_from,omitempty"`
}

// RouterState is a registered router.
type RouterState struct {
	Router proto.RouterID `json:"router"`
	Addr   string         `json:"addr"`
	Domain proto.Domain   `json:"domain"`
	// Slot is NoSlot if another router holds the slot that was wanted.
	Slot int `json:"slot"`
	// Offset is where the router registered, SlotOffset where it got the slot.
	Offset     proto.Offset `json:"offset"`
	SlotOffset proto.Offset `json:"slot_offset"`
}

// NoteResult says what became of a note.
type NoteResult string

// Results of notes.
const (
	NoteAccepted NoteResult = "accepted"
	NoteRefused  NoteResult = "refused"
	NoteBeaten   NoteResult = "beaten"
)

// NoteOutcome is one entry of the note history.
type NoteOutcome struct {
	ID     proto.RecordID `json:"id"`
	Offset proto.Offset   `json:"offset"`
	Result NoteResult     `json:"result"`
	// Revision is the one that the note became, or for a note that was
	// refused or beaten the one in force at the time.
	Revision proto.Revision `json:"revision"`
	BasedOn  proto.Revision `json:"based_on"`
	Author   string         `json:"author,omitempty"`
	Reason   string         `json:"reason,omitempty"`
	// Digest identifies the note's content, see note.Digest. It is empty for a
	// note that did not decode.
	Digest string `json:"digest,omitempty"`
	// Errors lists what is wrong with a refused note. Entries that went
	// through a checkpoint keep the first 20; ErrorCount is the full number.
	Errors        []note.FieldError `json:"errors,omitempty"`
	ErrorCount    int               `json:"error_count,omitempty"`
	Router        proto.RouterID    `json:"router,omitempty"`
	SubmittedWall time.Time         `json:"submitted_wall,omitzero"`
}

// Snapshot is the state at one offset. It is immutable and safe to share.
type Snapshot struct {
	Config   *note.Config
	Revision proto.Revision
	// ConfigOffset is the offset of the next record to fold: all before are folded.
	ConfigOffset proto.Offset
	// Complete is unset while records are missing that retention removed.
	Complete bool
	Leases   map[string]LeaseState
	Routers  map[proto.RouterID]RouterState
	// History holds the latest notes, oldest first.
	History []NoteOutcome
	// LastRemoval is the offset of the last record by which one router removed
	// another, which may still run; 0 if there is none.
	LastRemoval proto.Offset
	// Checkpoint is the offset up to which the newest checkpoint in the log
	// holds the state, CheckpointAt the offset of its last part; NoOffset if none.
	Checkpoint       proto.Offset
	CheckpointRecord proto.Offset

	renewed map[proto.RouterID]proto.Offset
}

// Lease returns a lease. Its Touched covers renewals of all leases of the holder.
func (s *Snapshot) Lease(name string) (LeaseState, bool) {
	l, ok := s.Leases[name]
	return touched(l, s.renewed), ok
}

func touched(l LeaseState, renewed map[proto.RouterID]proto.Offset) LeaseState {
	if at, ok := renewed[l.Holder]; ok && !l.Released {
		l.Touched = max(l.Touched, at)
	}
	return l
}

// Note returns the outcome of a note by its record id, if it is in the history.
func (s *Snapshot) Note(id proto.RecordID) (NoteOutcome, bool) {
	for i := len(s.History) - 1; i >= 0; i-- {
		if s.History[i].ID == id {
			return s.History[i], true
		}
	}
	return NoteOutcome{}, false
}
