package proto

import (
	"encoding/json"
	"time"
)

// RoleOperator is the role of an operator's tool that talks to a router.
const RoleOperator Role = "operator"

// NoteSubmit asks a router to append a release note. The note is passed on as
// the operator wrote it.
type NoteSubmit struct {
	// ID makes a submission that is sent again count once.
	ID   RecordID        `json:"id"`
	Note json.RawMessage `json:"note"`
	// SubmittedWall is for the history only.
	SubmittedWall time.Time `json:"submitted_wall,omitzero"`
}

// NoteStatus is the fate of a submitted note.
type NoteStatus string

// Fates of a note.
const (
	NoteAccepted NoteStatus = "accepted"
	NoteRefused  NoteStatus = "refused"
	// NoteBeaten means that another note took effect on the same base.
	NoteBeaten NoteStatus = "beaten"
	// NoteUnknown means that the log did not say in time whether it holds the note.
	NoteUnknown NoteStatus = "unknown"
)

// NoteProblem is one thing wrong with a note.
type NoteProblem struct {
	Field   string `json:"field"`
	Problem string `json:"problem"`
}

// NoteOutcome answers a NoteSubmit.
type NoteOutcome struct {
	ID     RecordID   `json:"id"`
	Status NoteStatus `json:"status"`
	// Revision is the revision that the note became, or the one that beat it.
	Revision Revision      `json:"revision"`
	Problems []NoteProblem `json:"problems,omitempty"`
	Detail   string        `json:"detail,omitempty"`
}
