package configlog

import (
	"time"

	"github.com/kumquatsill/kumquatsill/core/note"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// LeaseState is the state of a lease in the log. Each node decides by its own clock
// whether the lease has expired.
type LeaseState struct {
	Holder proto.RouterID `json:"holder,omitempty"`
	// Fence is the fencing token: the offset of the claim or hand-over.
	Fence proto.Offset `json:"fence"`
	// LastUpdate is the offset of the last record that changed or renewed the lease.
	LastUpdate proto.Offset  `json:"touched"`
	TTL        time.Duration `json:"ttl_ns"`
	// Balance is the balance in tokens that the last release or hand-over passed on;
	// 0 after a takeover of an expired lease.
	Balance  int64 `json:"balance,omitempty"`
	Released bool  `json:"released,omitempty"`
	// CleanTransfer is set if the previous holder released the lease, or if there
	// was no previous holder.
	CleanTransfer bool `json:"clean,omitempty"`
	// ReplacedAt is the offset at which another router registered the address of the
	// previous holder, which shows that the process of that holder has ended; 0 if
	// this did not happen.
	ReplacedAt proto.Offset `json:"freed,omitempty"`
	// ReplacedHolder is the previous holder that was replaced at ReplacedAt.
	ReplacedHolder proto.RouterID `json:"freed_from,omitempty"`
}

// RouterState is a registered router.
type RouterState struct {
	Router proto.RouterID `json:"router"`
	Addr   string         `json:"addr"`
	Domain proto.Domain   `json:"domain"`
	// Slot is NoSlot if the router asked for no slot, for one that does not exist,
	// or for one that belongs to another router.
	Slot int `json:"slot"`
	// Offset is the offset of the registration, SlotOffset that of the registration
	// from which on the router has had its slot.
	Offset     proto.Offset `json:"offset"`
	SlotOffset proto.Offset `json:"slot_offset"`
}

// NoteResult is the result of a note.
type NoteResult string

// Results of notes.
const (
	NoteAccepted NoteResult = "accepted"
	NoteRefused  NoteResult = "refused"
	// NoteConflict means that the note is based on a revision that is no longer in
	// force, because another note was accepted first.
	NoteConflict NoteResult = "beaten"
)

// NoteOutcome is one entry of the note history.
type NoteOutcome struct {
	ID     proto.RecordID `json:"id"`
	Offset proto.Offset   `json:"offset"`
	Result NoteResult     `json:"result"`
	// Revision is the revision that the note created, or for a refused or
	// conflicting note the revision in force at the time.
	Revision proto.Revision `json:"revision"`
	BasedOn  proto.Revision `json:"based_on"`
	Author   string         `json:"author,omitempty"`
	Reason   string         `json:"reason,omitempty"`
	// Digest identifies the note's content, see note.Digest. It is empty for a
	// note that did not decode.
	Digest string `json:"digest,omitempty"`
	// Errors lists what is wrong with a refused note. A checkpoint keeps the first
	// 20 only; ErrorCount is the full number.
	Errors        []note.FieldError `json:"errors,omitempty"`
	ErrorCount    int               `json:"error_count,omitempty"`
	Router        proto.RouterID    `json:"router,omitempty"`
	SubmittedWall time.Time         `json:"submitted_wall,omitzero"`
}

// Snapshot is the state at one offset. It is immutable and safe to share.
type Snapshot struct {
	Config   *note.Config
	Revision proto.Revision
	// ConfigOffset is the offset of the next record to apply. All records below it
	// are applied.
	ConfigOffset proto.Offset
	// Complete is false while records are missing because retention removed them.
	Complete bool
	Leases   map[string]LeaseState
	Routers  map[proto.RouterID]RouterState
	// History holds the latest notes, oldest first.
	History []NoteOutcome
	// LastRemoval is the offset of the last record with which a router removed
	// another one, whose process may still run; 0 if there is none.
	LastRemoval proto.Offset
	// Checkpoint is the AsOf offset of the newest checkpoint in the log,
	// CheckpointRecord the offset of the record with its last part. Both are NoOffset
	// if there is no checkpoint.
	Checkpoint       proto.Offset
	CheckpointRecord proto.Offset

	// renewals holds the offset at which each router last renewed all its leases.
	renewals map[proto.RouterID]proto.Offset
}

// Lease returns a lease and whether it exists. Its LastUpdate includes records that
// renewed all leases of the holder.
func (s *Snapshot) Lease(name string) (LeaseState, bool) {
	l, ok := s.Leases[name]
	return withRenewal(l, s.renewals), ok
}

// withRenewal returns l with LastUpdate updated by the holder's last renewal of all its
// leases.
func withRenewal(l LeaseState, renewals map[proto.RouterID]proto.Offset) LeaseState {
	if at, ok := renewals[l.Holder]; ok && !l.Released {
		l.LastUpdate = max(l.LastUpdate, at)
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
