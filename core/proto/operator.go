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
	// ID makes a submission that is sent again, also through another router,
	// count once. It becomes the id of the log record and has no dot.
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

// HistoryQuery asks for the latest notes, or for one of them.
type HistoryQuery struct {
	ID string `json:"id"`
	// Note limits the answer to the note that was submitted under this id.
	Note RecordID `json:"note,omitempty"`
	// Max is the greatest number of notes wanted; 0 means all that are kept.
	Max int `json:"max,omitempty"`
}

// NoteEntry is one note of the history.
type NoteEntry struct {
	ID     RecordID   `json:"id"`
	Offset Offset     `json:"offset"`
	Status NoteStatus `json:"status"`
	// Revision is the revision that the note became, or for a note that was
	// refused or beaten the one in force at the time.
	Revision Revision `json:"revision"`
	BasedOn  Revision `json:"based_on"`
	Author   string   `json:"author,omitempty"`
	Reason   string   `json:"reason,omitempty"`
	// Problems may be cut after a checkpoint; ProblemCount is the full number.
	Problems      []NoteProblem `json:"problems,omitempty"`
	ProblemCount  int           `json:"problem_count,omitempty"`
	Router        RouterID      `json:"router,omitempty"`
	SubmittedWall time.Time     `json:"submitted_wall,omitzero"`
}

// HistoryReply answers a HistoryQuery, oldest note first.
type HistoryReply struct {
	ID      string      `json:"id"`
	Entries []NoteEntry `json:"entries"`
	// Pending is set if this router still waits for the log's word on the note.
	Pending   bool      `json:"waiting,omitempty"`
	Freshness Freshness `json:"freshness"`
}

// ConfigQuery asks for the configuration in force.
type ConfigQuery struct {
	ID string `json:"id"`
}

// ConfigReply answers a ConfigQuery.
type ConfigReply struct {
	ID string `json:"id"`
	// Config is the JSON form of a note.Config.
	Config    json.RawMessage `json:"config"`
	Freshness Freshness       `json:"freshness"`
}

// Freshness says how far a router's answer can be relied on.
type Freshness struct {
	Stamp  Stamp    `json:"stamp"`
	Router RouterID `json:"router"`
	// Ready is set once the config stream was read to its head. The router may
	// not serve yet: it reads the intent streams after that.
	Ready    bool `json:"ready"`
	Draining bool `json:"draining,omitempty"`
	// CaughtUpAge is the time since the folded state was known to hold all that
	// the log held; -1 before the first such moment.
	CaughtUpAge time.Duration `json:"proof_age_ns"`
	// FreshFor is the time after which keyed traffic stops without a new proof.
	FreshFor     time.Duration `json:"fresh_for_ns"`
	LogReachable bool          `json:"log_reachable"`
	// GeneralOutage is set while a majority of the routers cannot read the log.
	GeneralOutage bool `json:"general_outage,omitempty"`
}

// StatusQuery asks a router for what it knows of the fleet.
type StatusQuery struct {
	ID string `json:"id"`
}

// AgeUnknown is the age of something that was never heard.
const AgeUnknown time.Duration = -1

// RouterStatus is one registered router.
type RouterStatus struct {
	Router RouterID `json:"router"`
	Addr   string   `json:"addr"`
	Domain Domain   `json:"domain"`
	// Slot is the static slot, -1 for none.
	Slot int `json:"slot"`
	// Self marks the router that answers.
	Self bool `json:"self,omitempty"`
	// HeartbeatAge is the time since its last beat, or AgeUnknown. A router hears
	// only the peers that it exchanges beats with.
	HeartbeatAge time.Duration `json:"heard_age_ns"`
	// LogReachable is what that beat said.
	LogReachable bool `json:"log_reachable"`
}

// LeaseStatus is what the log says about one lease.
type LeaseStatus struct {
	Name     string        `json:"name"`
	Holder   RouterID      `json:"holder"`
	Fence    Offset        `json:"fence"`
	Touched  Offset        `json:"touched"`
	TTL      time.Duration `json:"ttl_ns"`
	Balance  int64         `json:"balance,omitempty"`
	Released bool          `json:"released,omitempty"`
}

// EndpointStatus is one endpoint of the note in force.
type EndpointStatus struct {
	Endpoint EndpointID `json:"endpoint"`
	Kind     string     `json:"kind"`
	Domain   Domain     `json:"domain"`
	Addr     string     `json:"addr"`
	// Leaving is what the release note says.
	Leaving bool `json:"leaving,omitempty"`
	// ReportAge is the age of Report, or AgeUnknown if the router has none.
	ReportAge time.Duration `json:"report_age_ns"`
	Report    Report        `json:"report"`
}

// SuspectStatus is one fingerprint that crashed endpoints.
type SuspectStatus struct {
	Account     AccountID    `json:"account"`
	Fingerprint Fingerprint  `json:"fingerprint"`
	Quarantined bool         `json:"quarantined"`
	Endpoints   []EndpointID `json:"endpoints,omitempty"`
	// Since is the offset of the record that made the present state.
	Since Offset `json:"since"`
}

// Counter is one named count since the start of the router.
type Counter struct {
	Name  string `json:"name"`
	Value int64  `json:"value"`
}

// StatusReply answers a StatusQuery.
type StatusReply struct {
	ID        string           `json:"id"`
	Freshness Freshness        `json:"freshness"`
	Routers   []RouterStatus   `json:"routers"`
	Leases    []LeaseStatus    `json:"leases"`
	Endpoints []EndpointStatus `json:"endpoints"`
	Suspects  []SuspectStatus  `json:"suspects"`
	Counters  []Counter        `json:"counters"`
}

// ExplainQuery asks what became of one request.
type ExplainQuery struct {
	ID string `json:"id"`
	// Request is the id that the router gave the request, or the caller's own.
	Request RequestID `json:"request"`
}

// ExplainSource says where a router found a request.
type ExplainSource string

// Sources of explanations.
const (
	// ExplainedByRouter is the memory of the router that was asked.
	ExplainedByRouter ExplainSource = "router"
	// ExplainedByAudit is the audit stream of the log.
	ExplainedByAudit ExplainSource = "audit"
)

// ExplainReply answers an ExplainQuery.
type ExplainReply struct {
	ID string `json:"id"`
	// Request is nil if the request was not found.
	Request *RequestEnded `json:"request,omitempty"`
	Source  ExplainSource `json:"source,omitempty"`
	// Router is the router that served the request.
	Router RouterID `json:"router,omitempty"`
	// Offset and Index are where the audit stream holds the request.
	Offset Offset `json:"offset,omitempty"`
	Index  int64  `json:"index,omitempty"`
	// Incomplete is set if the audit stream could not be searched to its
	// beginning, so that the request may be in it.
	Incomplete bool   `json:"incomplete,omitempty"`
	Detail     string `json:"detail,omitempty"`
}

// QuarantineLift asks a router to end a quarantine or a suspicion.
type QuarantineLift struct {
	// ID makes an order that is sent again count once. It has no dot.
	ID          RecordID    `json:"id"`
	Account     AccountID   `json:"account"`
	Fingerprint Fingerprint `json:"fingerprint"`
	Operator    string      `json:"operator,omitempty"`
}

// LiftStatus is the fate of a QuarantineLift.
type LiftStatus string

// Fates of a QuarantineLift.
const (
	LiftDone LiftStatus = "released"
	// LiftAbsent means that the fingerprint is neither quarantined nor suspect.
	LiftAbsent  LiftStatus = "absent"
	LiftRefused LiftStatus = "refused"
	// LiftUnknown means that the log did not say in time whether it holds the order.
	LiftUnknown LiftStatus = "unknown"
)

// QuarantineLifted answers a QuarantineLift.
type QuarantineLifted struct {
	ID     RecordID   `json:"id"`
	Status LiftStatus `json:"status"`
	Detail string     `json:"detail,omitempty"`
}
