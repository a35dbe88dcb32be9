package proto

import "time"

// The messages in this file are passed between an exchange, which handles one
// request, and the control machine of the same router. They are never sent over
// the network.

// IntentWanted asks the control machine to log the intent to run a
// non-idempotent call.
type IntentWanted struct {
	Request RequestID `json:"request"`
	Account AccountID `json:"account"`
	// Key is the hash of the account's idempotency key.
	Key         string      `json:"key"`
	Fingerprint Fingerprint `json:"fingerprint"`
	// KeyAge is the time since the key's creation, or 0 if the key does not
	// contain its creation time.
	KeyAge time.Duration `json:"key_age_ns,omitempty"`
}

// IntentDropped tells the control machine that a request ended before it acted
// on an IntentDecided: it has dispatched nothing and will dispatch nothing.
type IntentDropped struct {
	Request RequestID `json:"request"`
}

// IntentDecided answers IntentWanted. The call may be dispatched only if
// Intent is set.
type IntentDecided struct {
	Request RequestID `json:"request"`
	Intent  *Intent   `json:"intent,omitempty"`
	// Outcome is the recorded response of an earlier run with the same key.
	Outcome    *CallerFinish `json:"outcome,omitempty"`
	Cause      Cause         `json:"cause,omitempty"`
	Verdict    Verdict       `json:"verdict"`
	RetryAfter time.Duration `json:"retry_after_ns,omitempty"`
	// ForwardTo is set if this router does not follow the key's intent stream:
	// it names a router that does, to which the request is sent as an
	// IntentForward.
	ForwardTo RouterID `json:"forward,omitempty"`
}

// OutcomeKnown asks the control machine to log the outcome of an intent.
type OutcomeKnown struct {
	Request RequestID     `json:"request"`
	Account AccountID     `json:"account"`
	Intent  Intent        `json:"intent"`
	Verdict Verdict       `json:"verdict"`
	Finish  *CallerFinish `json:"finish,omitempty"`
}

// CrashSeen tells the control machine that an endpoint crashed while an attempt
// with this fingerprint was in flight.
type CrashSeen struct {
	Request     RequestID   `json:"request"`
	Account     AccountID   `json:"account"`
	Fingerprint Fingerprint `json:"fingerprint"`
	Endpoint    EndpointID  `json:"endpoint"`
	Incarnation Incarnation `json:"incarnation"`
	// Alone is set when no other attempt ran at the same time.
	Alone bool `json:"alone"`
}

// TrialWanted asks the control machine for permission to run a trial: an attempt
// of a suspect request, with no other attempt at the same time. A request is
// suspect if one with the same fingerprint was in flight when an endpoint crashed.
type TrialWanted struct {
	Request     RequestID   `json:"request"`
	Account     AccountID   `json:"account"`
	Fingerprint Fingerprint `json:"fingerprint"`
	// Endpoint is where the trial will run. Incarnation is the last known
	// incarnation of its engine, or empty if none is known.
	Endpoint    EndpointID  `json:"endpoint"`
	Incarnation Incarnation `json:"incarnation,omitempty"`
	// AwaitPropagation asks for a reply once every router knows the suspect,
	// instead of a trial.
	AwaitPropagation bool `json:"hold,omitempty"`
}

// TrialDecided answers TrialWanted.
type TrialDecided struct {
	Request RequestID `json:"request"`
	// OK allows the attempt. If Trial is not 0, it is the offset of the trial
	// record: the attempt must run alone and end within TimeLimit of the
	// TrialWanted.
	OK bool `json:"ok"`
	// Account and Fingerprint identify the suspect of a granted trial.
	Account     AccountID     `json:"account,omitempty"`
	Fingerprint Fingerprint   `json:"fingerprint,omitempty"`
	Trial       Offset        `json:"trial,omitempty"`
	TimeLimit   time.Duration `json:"for_ns,omitempty"`
	// Cause and RetryAfter are set if the trial was refused; nothing has run
	// for it.
	Cause      Cause         `json:"cause,omitempty"`
	RetryAfter time.Duration `json:"retry_after_ns,omitempty"`
}

// TrialResult is the outcome of a trial.
type TrialResult string

// Trial results.
const (
	// TrialCleared means that the request ran to completion and the endpoint did
	// not crash.
	TrialCleared TrialResult = "cleared"
	// TrialCrashed means that the endpoint crashed.
	TrialCrashed TrialResult = "crashed"
	// TrialUnused means that the request was not run.
	TrialUnused TrialResult = "unused"
)

// TrialEnded reports the result of a trial to the control machine. It is not
// sent if the result is unknown.
type TrialEnded struct {
	Request     RequestID   `json:"request"`
	Account     AccountID   `json:"account"`
	Fingerprint Fingerprint `json:"fingerprint"`
	Trial       Offset      `json:"trial"`
	Result      TrialResult `json:"result"`
	Endpoint    EndpointID  `json:"endpoint"`
	Incarnation Incarnation `json:"incarnation,omitempty"`
}

// AttemptSummary describes one attempt in an audit record.
type AttemptSummary struct {
	Attempt  AttemptID  `json:"attempt"`
	Endpoint EndpointID `json:"endpoint"`
	// Reason tells why the router chose the endpoint.
	Reason  string  `json:"reason"`
	Cause   Cause   `json:"cause,omitempty"`
	Verdict Verdict `json:"verdict"`
}

// RequestEnded is the audit record of one request.
type RequestEnded struct {
	Request  RequestID `json:"request"`
	Account  AccountID `json:"account,omitempty"`
	Class    Class     `json:"class"`
	Path     string    `json:"path"`
	Model    string    `json:"model,omitempty"`
	Version  string    `json:"version,omitempty"`
	Revision Revision  `json:"revision"`
	Arrived  time.Time `json:"arrived"`
	// RateReason tells why the rate limit admitted or refused the request.
	RateReason string           `json:"rate,omitempty"`
	Attempts   []AttemptSummary `json:"attempts,omitempty"`
	Verdict    Verdict          `json:"verdict"`
	Cause      Cause            `json:"cause,omitempty"`
	Usage      Usage            `json:"usage"`
	// FirstToken and Total are measured from the arrival of the request.
	FirstToken time.Duration `json:"first_token_ns,omitempty"`
	Total      time.Duration `json:"total_ns"`
}
