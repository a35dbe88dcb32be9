package proto

import "time"

// The messages of this file pass between an exchange and the control machine
// of the same router. They never cross the network.

// IntentWanted asks the control machine to log the intent of a call that may
// not be repeated.
type IntentWanted struct {
	Request RequestID `json:"request"`
	Account AccountID `json:"account"`
	// Key is the hash of the account's idempotency key.
	Key         string      `json:"key"`
	Fingerprint Fingerprint `json:"fingerprint"`
	// KeyAge is the time since the key's creation, if the key carries it; else 0.
	KeyAge time.Duration `json:"key_age_ns,omitempty"`
}

// IntentDropped tells the control machine that a request ended before it
// acted on an IntentDecided: nothing was and nothing will be dispatched for it.
type IntentDropped struct {
	Request RequestID `json:"request"`
}

// IntentDecided answers IntentWanted. The call may be dispatched only if
// Intent is set.
type IntentDecided struct {
	Request RequestID `json:"request"`
	Intent  *Intent   `json:"intent,omitempty"`
	// Outcome is the recorded answer of an earlier run of the same key.
	Outcome    *CallerFinish `json:"outcome,omitempty"`
	Cause      Cause         `json:"cause,omitempty"`
	Verdict    Verdict       `json:"verdict"`
	RetryAfter time.Duration `json:"retry_after_ns,omitempty"`
	// ForwardTo names a router that follows the key's intent stream, where this
	// one does not. The request goes there as an IntentForward.
	ForwardTo RouterID `json:"forward,omitempty"`
}

// OutcomeKnown asks the control machine to log how an intent ended.
type OutcomeKnown struct {
	Request RequestID     `json:"request"`
	Account AccountID     `json:"account"`
	Intent  Intent        `json:"intent"`
	Verdict Verdict       `json:"verdict"`
	Finish  *CallerFinish `json:"finish,omitempty"`
}

// CrashSeen tells the control machine that an endpoint died while an attempt
// with this fingerprint was in flight.
type CrashSeen struct {
	Request     RequestID   `json:"request"`
	Account     AccountID   `json:"account"`
	Fingerprint Fingerprint `json:"fingerprint"`
	Endpoint    EndpointID  `json:"endpoint"`
	Incarnation Incarnation `json:"incarnation"`
	// Alone is set when the attempt ran with no other beside it.
	Alone bool `json:"alone"`
}

// TrialWanted asks the control machine for the right to run a suspect alone.
type TrialWanted struct {
	Request     RequestID   `json:"request"`
	Account     AccountID   `json:"account"`
	Fingerprint Fingerprint `json:"fingerprint"`
	// Endpoint is where the trial will run, Incarnation the last known life of
	// its engine, empty if none is known.
	Endpoint    EndpointID  `json:"endpoint"`
	Incarnation Incarnation `json:"incarnation,omitempty"`
	// AwaitPropagation asks for no trial, but to be told when every router knows the suspect.
	AwaitPropagation bool `json:"hold,omitempty"`
}

// TrialDecided answers TrialWanted.
type TrialDecided struct {
	Request RequestID `json:"request"`
	// OK allows the attempt. If Trial is not 0 it is the offset of the trial
	// record, and the attempt runs alone and ends within For of TrialWanted.
	OK bool `json:"ok"`
	// Account and Fingerprint name the suspect of a granted trial.
	Account     AccountID     `json:"account,omitempty"`
	Fingerprint Fingerprint   `json:"fingerprint,omitempty"`
	Trial       Offset        `json:"trial,omitempty"`
	TimeLimit   time.Duration `json:"for_ns,omitempty"`
	// Cause and RetryAfter are set on a refusal; nothing was run for it.
	Cause      Cause         `json:"cause,omitempty"`
	RetryAfter time.Duration `json:"retry_after_ns,omitempty"`
}

// TrialResult says how a trial ended.
type TrialResult string

// Results of trials.
const (
	// TrialCleared means that the endpoint survived the whole request.
	TrialCleared TrialResult = "cleared"
	// TrialCrashed means that the endpoint crashed.
	TrialCrashed TrialResult = "crashed"
	// TrialUnused means that the request did not run.
	TrialUnused TrialResult = "unused"
)

// TrialEnded tells the control machine how a trial ended. A trial whose end
// is not known has no TrialEnded.
type TrialEnded struct {
	Request     RequestID   `json:"request"`
	Account     AccountID   `json:"account"`
	Fingerprint Fingerprint `json:"fingerprint"`
	Trial       Offset      `json:"trial"`
	Result      TrialResult `json:"result"`
	Endpoint    EndpointID  `json:"endpoint"`
	Incarnation Incarnation `json:"incarnation,omitempty"`
}

// AttemptSummary is one attempt in an audit record.
type AttemptSummary struct {
	Attempt  AttemptID  `json:"attempt"`
	Endpoint EndpointID `json:"endpoint"`
	Reason   string     `json:"reason"`
	Cause    Cause      `json:"cause,omitempty"`
	Verdict  Verdict    `json:"verdict"`
}

// RequestEnded carries the audit record of one request.
type RequestEnded struct {
	Request    RequestID        `json:"request"`
	Account    AccountID        `json:"account,omitempty"`
	Class      Class            `json:"class"`
	Path       string           `json:"path"`
	Model      string           `json:"model,omitempty"`
	Version    string           `json:"version,omitempty"`
	Revision   Revision         `json:"revision"`
	Arrived    time.Time        `json:"arrived"`
	RateReason string           `json:"rate,omitempty"`
	Attempts   []AttemptSummary `json:"attempts,omitempty"`
	Verdict    Verdict          `json:"verdict"`
	Cause      Cause            `json:"cause,omitempty"`
	Usage      Usage            `json:"usage"`
	// FirstToken and Total are times since arrival.
	FirstToken time.Duration `json:"first_token_ns,omitempty"`
	Total      time.Duration `json:"total_ns"`
}
