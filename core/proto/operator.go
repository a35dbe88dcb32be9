package proto

import (
	"encoding/json"
	"time"
)

// RoleOperator is the role of an operator's tool that sends queries and commands
// to a router.
const RoleOperator Role = "operator"

// NoteSubmit asks a router to append a release note to the log. The note is
// logged as the operator wrote it.
type NoteSubmit struct {
	// ID makes the submission idempotent, even if it is repeated through another
	// router. It becomes the ID of the log record and must not contain a dot.
	ID   RecordID        `json:"id"`
	Note json.RawMessage `json:"note"`
	// SubmittedWall is the wall-clock time of submission, used only in the
	// history.
	SubmittedWall time.Time `json:"submitted_wall,omitzero"`
}

// NoteStatus is the outcome of a submitted note.
type NoteStatus string

// Outcomes of a submitted note.
const (
	NoteAccepted NoteStatus = "accepted"
	NoteRefused  NoteStatus = "refused"
	// NoteConflict means that another note based on the same revision was accepted
	// first.
	NoteConflict NoteStatus = "beaten"
	// NoteUnknown means that the log did not confirm or reject the note in time.
	NoteUnknown NoteStatus = "unknown"
)

// NoteProblem describes one invalid field of a note.
type NoteProblem struct {
	Field   string `json:"field"`
	Problem string `json:"problem"`
}

// NoteOutcome answers a NoteSubmit.
type NoteOutcome struct {
	ID     RecordID   `json:"id"`
	Status NoteStatus `json:"status"`
	// Revision is the revision that the note created, or for NoteConflict the one
	// that was accepted first.
	Revision Revision      `json:"revision"`
	Problems []NoteProblem `json:"problems,omitempty"`
	Detail   string        `json:"detail,omitempty"`
}

// HistoryQuery asks for the latest notes or for one specific note.
type HistoryQuery struct {
	ID string `json:"id"`
	// Note limits the reply to the note that was submitted with this ID.
	Note RecordID `json:"note,omitempty"`
	// Max is the maximum number of notes in the reply; 0 means all retained
	// notes.
	Max int `json:"max,omitempty"`
}

// NoteEntry is one note in the history.
type NoteEntry struct {
	ID     RecordID   `json:"id"`
	Offset Offset     `json:"offset"`
	Status NoteStatus `json:"status"`
	// Revision is the revision that the note created, or for a refused or
	// conflicting note the revision in force at the time.
	Revision Revision `json:"revision"`
	BasedOn  Revision `json:"based_on"`
	Author   string   `json:"author,omitempty"`
	Reason   string   `json:"reason,omitempty"`
	// Problems may be truncated after a checkpoint. ProblemCount is the full
	// number.
	Problems      []NoteProblem `json:"problems,omitempty"`
	ProblemCount  int           `json:"problem_count,omitempty"`
	Router        RouterID      `json:"router,omitempty"`
	SubmittedWall time.Time     `json:"submitted_wall,omitzero"`
}

// HistoryReply answers a HistoryQuery, oldest note first.
type HistoryReply struct {
	ID      string      `json:"id"`
	Entries []NoteEntry `json:"entries"`
	// Pending is set while this router waits for the log to confirm or reject
	// the note.
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

// Freshness describes how current the state behind a router's reply is.
type Freshness struct {
	Stamp  Stamp    `json:"stamp"`
	Router RouterID `json:"router"`
	// Ready is set once the router has read the config stream to its head. The
	// router may not serve requests yet, because it reads the intent streams
	// after that.
	Ready    bool `json:"ready"`
	Draining bool `json:"draining,omitempty"`
	// CaughtUpAge is the time since the router's state was last known to include
	// every record of the log, or -1 if it never was.
	CaughtUpAge time.Duration `json:"proof_age_ns"`
	// FreshFor is the time left until the router stops serving requests that need
	// a key. It is extended whenever the router catches up with the log.
	FreshFor     time.Duration `json:"fresh_for_ns"`
	LogReachable bool          `json:"log_reachable"`
	// GeneralOutage is set while the majority of the routers cannot read the log.
	GeneralOutage bool `json:"general_outage,omitempty"`
}

// StatusQuery asks a router for its view of the fleet.
type StatusQuery struct {
	ID string `json:"id"`
}

// AgeUnknown is the age of a heartbeat or report that was never received.
const AgeUnknown time.Duration = -1

// RouterStatus describes one registered router.
type RouterStatus struct {
	Router RouterID `json:"router"`
	Addr   string   `json:"addr"`
	Domain Domain   `json:"domain"`
	// Slot is the slot of the rate limits' static share that the router owns, or -1
	// for none.
	Slot int `json:"slot"`
	// Self is set for the router that sends the reply.
	Self bool `json:"self,omitempty"`
	// HeartbeatAge is the time since its last heartbeat, or AgeUnknown. In a
	// large fleet a router exchanges heartbeats with only some of the others and
	// knows no age for the rest.
	HeartbeatAge time.Duration `json:"heard_age_ns"`
	// LogReachable is the value from that heartbeat.
	LogReachable bool `json:"log_reachable"`
}

// LeaseStatus is the state of one lease according to the log.
type LeaseStatus struct {
	Name   string   `json:"name"`
	Holder RouterID `json:"holder"`
	Fence  Offset   `json:"fence"`
	// LastUpdate is the offset of the last record that changed or renewed the lease.
	LastUpdate Offset        `json:"touched"`
	TTL        time.Duration `json:"ttl_ns"`
	Balance    int64         `json:"balance,omitempty"`
	Released   bool          `json:"released,omitempty"`
}

// EndpointStatus describes one endpoint of the configuration in force.
type EndpointStatus struct {
	Endpoint EndpointID `json:"endpoint"`
	Kind     string     `json:"kind"`
	Domain   Domain     `json:"domain"`
	Addr     string     `json:"addr"`
	// Leaving is the value from the release note.
	Leaving bool `json:"leaving,omitempty"`
	// ReportAge is the age of Report, or AgeUnknown if the router has no report.
	ReportAge time.Duration `json:"report_age_ns"`
	Report    Report        `json:"report"`
}

// SuspectStatus describes one fingerprint whose requests crashed endpoints.
type SuspectStatus struct {
	Account     AccountID    `json:"account"`
	Fingerprint Fingerprint  `json:"fingerprint"`
	Quarantined bool         `json:"quarantined"`
	Endpoints   []EndpointID `json:"endpoints,omitempty"`
	// Since is the offset of the record that led to the current state.
	Since Offset `json:"since"`
}

// Counter is a named counter that starts at 0 when the router starts.
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

// ExplainQuery asks for the audit record of one request.
type ExplainQuery struct {
	ID string `json:"id"`
	// Request is the ID assigned by the router or by the caller.
	Request RequestID `json:"request"`
}

// ExplainSource is the place where a router found a request.
type ExplainSource string

// Explanation sources.
const (
	// ExplainedByRouter is the memory of the queried router.
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
	// Offset and Index locate the request in the audit stream: Offset is that of
	// the log record, Index that of the entry in the hash chain of its router.
	Offset Offset `json:"offset,omitempty"`
	Index  int64  `json:"index,omitempty"`
	// Incomplete is set if the request was not found but the audit stream could
	// not be searched to its beginning, so the stream may still contain it.
	Incomplete bool   `json:"incomplete,omitempty"`
	Detail     string `json:"detail,omitempty"`
}

// QuarantineLift asks a router to release a fingerprint that is quarantined or
// suspect.
type QuarantineLift struct {
	// ID makes the command idempotent. It must not contain a dot.
	ID          RecordID    `json:"id"`
	Account     AccountID   `json:"account"`
	Fingerprint Fingerprint `json:"fingerprint"`
	Operator    string      `json:"operator,omitempty"`
}

// LiftStatus is the outcome of a QuarantineLift.
type LiftStatus string

// Outcomes of a QuarantineLift.
const (
	LiftDone LiftStatus = "released"
	// LiftAbsent means that the fingerprint was neither quarantined nor suspect.
	LiftAbsent  LiftStatus = "absent"
	LiftRefused LiftStatus = "refused"
	// LiftUnknown means that the log did not confirm or reject the command in
	// time.
	LiftUnknown LiftStatus = "unknown"
)

// QuarantineLifted answers a QuarantineLift.
type QuarantineLifted struct {
	ID     RecordID   `json:"id"`
	Status LiftStatus `json:"status"`
	Detail string     `json:"detail,omitempty"`
}
