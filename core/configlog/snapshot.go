package configlog

import (
	"strings"
	"time"

	"github.com/kumquatsill/kumquatsill/core/note"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// Subject names a fingerprint of an account.
type Subject struct {
	Account     proto.AccountID   `json:"account"`
	Fingerprint proto.Fingerprint `json:"fingerprint"`
}

// MarshalText lets a Subject be the key of a JSON object.
func (s Subject) MarshalText() ([]byte, error) {
	return []byte(string(s.Account) + "/" + string(s.Fingerprint)), nil
}

// UnmarshalText is the inverse of MarshalText. An account's name has no slash.
func (s *Subject) UnmarshalText(text []byte) error {
	account, fingerprint, ok := strings.Cut(string(text), "/")
	if !ok {
		return Error.New("subject %q has no fingerprint", text)
	}
	*s = Subject{Account: proto.AccountID(account), Fingerprint: proto.Fingerprint(fingerprint)}
	return nil
}

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

// Crash is one crash of an endpoint with a suspect in flight.
type Crash struct {
	Endpoint    proto.EndpointID  `json:"endpoint"`
	Incarnation proto.Incarnation `json:"incarnation"`
	Alone       bool              `json:"alone,omitempty"`
	Offset      proto.Offset      `json:"offset"`
}

// QuarantineState is a quarantine in force.
type QuarantineState struct {
	For    time.Duration `json:"for_ns"`
	Reason string        `json:"reason,omitempty"`
	Offset proto.Offset  `json:"offset"`
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
	Complete    bool
	Leases      map[string]LeaseState
	Routers     map[proto.RouterID]RouterState
	Suspects    map[Subject][]Crash
	Quarantines map[Subject]QuarantineState
	// History holds the latest notes, oldest first.
	History []NoteOutcome
	// Checkpoint is the offset up to which the newest checkpoint in the log
	// holds the state, CheckpointAt the offset of its last part; NoOffset if none.
	Checkpoint   proto.Offset
	CheckpointAt proto.Offset

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
