package proto

import "time"

// Class is the kind of work that a request asks for.
type Class string

// Classes of work.
const (
	// ClassGenerate is language-model generation.
	ClassGenerate Class = "generate"
	// ClassCall is a call to a plain service, which runs no model.
	ClassCall Class = "call"
)

// Sampling holds the parameters that determine whether a generation is
// reproducible.
type Sampling struct {
	Temperature float64 `json:"temperature"`
	Seed        *int64  `json:"seed,omitempty"`
}

// Reproducible reports whether the same prompt produces the same tokens on any
// engine with the same model version and adapter.
func (s Sampling) Reproducible() bool { return s.Temperature == 0 || s.Seed != nil }

// Seq numbers the chunks of one stream from 1; 0 means before the first.
type Seq int64

// CallerRequest is a parsed request. The HTTP front end has replaced the
// caller's key with its hash and removed the key from all other fields.
type CallerRequest struct {
	ID             RequestID `json:"id"`
	Key            KeyHash   `json:"key,omitempty"`
	Class          Class     `json:"class"`
	Method         string    `json:"method"`
	Path           string    `json:"path"`
	Query          string    `json:"query,omitempty"`
	Body           []byte    `json:"body,omitempty"`
	ContentType    string    `json:"content_type,omitempty"`
	Model          string    `json:"model,omitempty"`
	Adapter        string    `json:"adapter,omitempty"`
	Stream         bool      `json:"stream,omitempty"`
	Sampling       Sampling  `json:"sampling"`
	MaxTokens      int64     `json:"max_tokens,omitempty"`
	PromptTokens   int64     `json:"prompt_tokens,omitempty"`
	IdempotencyKey string    `json:"idempotency_key,omitempty"`

	// Pieces are the unsalted hashes of the prompt's consecutive pieces,
	// each of api.PieceTokens tokens. A shorter last piece has no hash.
	Pieces []uint64 `json:"pieces,omitempty"`

	// Timeout is the time left until the caller's deadline.
	Timeout time.Duration `json:"timeout_ns,omitempty"`

	// Resume is set when the caller resumes a stream that was interrupted.
	Resume *ResumePoint `json:"resume,omitempty"`

	// Forwarded is set on a request that another router forwarded. A caller
	// cannot set it.
	Forwarded bool `json:"forwarded,omitempty"`

	// ArrivedWall is the wall-clock time of arrival, used only in the audit
	// record.
	ArrivedWall time.Time `json:"arrived_wall"`
}

// ResumePoint is the parsed content of a Last-Event-ID header.
type ResumePoint struct {
	Request RequestID `json:"request"`
	Version string    `json:"version"`
	After   Seq       `json:"after"`
}

// CallerGone tells the router that the caller has disconnected.
type CallerGone struct {
	Request RequestID `json:"request"`
}

// CallerChunk is the next part of a stream.
type CallerChunk struct {
	Request RequestID `json:"request"`
	Seq     Seq       `json:"seq"`
	Version string    `json:"version,omitempty"`
	Text    string    `json:"text"`
}

// CallerFinish ends a request that received its complete response.
type CallerFinish struct {
	Request     RequestID  `json:"request"`
	LastSeq     Seq        `json:"last_seq"`
	Status      int        `json:"status,omitempty"`
	ContentType string     `json:"content_type,omitempty"`
	Body        []byte     `json:"body,omitempty"`
	Usage       Usage      `json:"usage"`
	Endpoint    EndpointID `json:"endpoint,omitempty"`
	// Replayed is set when the response is the recorded outcome of an earlier run.
	Replayed bool `json:"replayed,omitempty"`
}

// CallerRefusal ends a request that received no response or an incomplete one.
type CallerRefusal struct {
	Request    RequestID     `json:"request"`
	Cause      Cause         `json:"cause"`
	Detail     string        `json:"detail"`
	Verdict    Verdict       `json:"verdict"`
	RetryAfter time.Duration `json:"retry_after_ns,omitempty"`
	Limit      *LimitState   `json:"limit,omitempty"`
}

// LimitState holds the values of the rate-limit headers of a response.
type LimitState struct {
	// Burst and Remaining are in tokens.
	Burst     int64 `json:"burst"`
	Remaining int64 `json:"remaining"`
	// Reset is the time until the bucket is full again.
	Reset time.Duration `json:"reset_ns"`
}

// Usage counts the tokens of a generation.
type Usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CachedTokens     int64 `json:"cached_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
}

// Cause identifies the reason for a refusal. Its values are part of the API.
type Cause string

// Refusal causes.
const (
	CauseBadRequest   Cause = "bad-request"
	CauseUnknownRoute Cause = "unknown-route"
	CauseUnknownModel Cause = "unknown-model"
	CauseMissingKey   Cause = "missing-key"
	CauseUnknownKey   Cause = "unknown-key"
	CauseKeyWithdrawn Cause = "key-withdrawn"
	CauseRateLimited  Cause = "rate-limited"
	CauseTooLarge     Cause = "request-too-large"
	CauseNotReady     Cause = "router-not-ready"
	// CauseStale means that the router cannot prove that its configuration is
	// current.
	CauseStale          Cause = "configuration-not-fresh"
	CauseShuttingDown   Cause = "shutting-down"
	CauseNoEndpoint     Cause = "no-endpoint"
	CauseOverload       Cause = "overload"
	CauseDeadline       Cause = "deadline-exceeded"
	CauseEndpointFailed Cause = "endpoint-failed"
	CauseStreamBroken   Cause = "stream-broken"
	CauseNotResumable   Cause = "stream-not-resumable"
	CauseLogUnavailable Cause = "log-unavailable"
	CauseDuplicate      Cause = "duplicate-request"
	CauseKeyTooOld      Cause = "idempotency-key-too-old"
	CauseKeyReused      Cause = "idempotency-key-reused"
	CauseMissingIdemKey Cause = "missing-idempotency-key"
	CauseQuarantined    Cause = "request-quarantined"
	// CauseSuspected means that a request with the same fingerprint was in flight
	// when an endpoint crashed, and that this one may run only in a trial (see
	// TrialWanted).
	CauseSuspected        Cause = "request-suspected"
	CauseCanceled         Cause = "canceled"
	CauseWrongVersion     Cause = "wrong-model-version"
	CauseWrongIncarnation Cause = "wrong-incarnation"
	CauseLeaving          Cause = "endpoint-leaving"
	// CauseCrossed means that a dispatch for one endpoint reached the agent of
	// another.
	CauseCrossed Cause = "crossed-dispatch"
)
