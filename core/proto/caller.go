package proto

import "time"

// Class separates the two kinds of work that a router carries.
type Class string

// Classes of work.
const (
	// ClassGenerate is language-model generation.
	ClassGenerate Class = "generate"
	// ClassCall is a call of a plain service.
	ClassCall Class = "call"
)

// Sampling holds the parameters that decide whether a generation can be repeated exactly.
type Sampling struct {
	Temperature float64 `json:"temperature"`
	Seed        *int64  `json:"seed,omitempty"`
}

// Reproducible reports whether the same prompt gives the same tokens again
// on any engine with the same model version and adapter.
func (s Sampling) Reproducible() bool { return s.Temperature == 0 || s.Seed != nil }

// Seq numbers the chunks of one stream from 1; 0 means before the first.
type Seq int64

// CallerRequest is a parsed request. The shell has replaced the caller's key
// by its hash and removed it from everything else.
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

	// Pieces are hashes of the prompt's consecutive pieces of PieceTokens
	// tokens, without salt. A last, shorter piece has no hash.
	Pieces []uint64 `json:"pieces,omitempty"`

	// Timeout is the time left to the caller's deadline.
	Timeout time.Duration `json:"timeout_ns,omitempty"`

	// Resume is set when the caller continues a stream that broke.
	Resume *ResumePoint `json:"resume,omitempty"`

	// Forwarded is set on a request that another router forwarded. It never
	// comes from a caller.
	Forwarded bool `json:"forwarded,omitempty"`

	// ArrivedWall is the wall time of arrival, for the audit record only.
	ArrivedWall time.Time `json:"arrived_wall"`
}

// ResumePoint is the content of a Last-Event-ID header.
type ResumePoint struct {
	Request RequestID `json:"request"`
	Version string    `json:"version"`
	After   Seq       `json:"after"`
}

// CallerGone tells the router that the caller hung up.
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

// CallerFinish ends a request that was answered in full.
type CallerFinish struct {
	Request     RequestID  `json:"request"`
	LastSeq     Seq        `json:"last_seq"`
	Status      int        `json:"status,omitempty"`
	ContentType string     `json:"content_type,omitempty"`
	Body        []byte     `json:"body,omitempty"`
	Usage       Usage      `json:"usage"`
	Endpoint    EndpointID `json:"endpoint,omitempty"`
	// Replayed is set when the answer is the recorded outcome of an earlier run.
	Replayed bool `json:"replayed,omitempty"`
}

// CallerRefusal ends a request that was not, or not fully, answered.
type CallerRefusal struct {
	Request    RequestID     `json:"request"`
	Cause      Cause         `json:"cause"`
	Detail     string        `json:"detail"`
	Verdict    Verdict       `json:"verdict"`
	RetryAfter time.Duration `json:"retry_after_ns,omitempty"`
	Limit      *LimitState   `json:"limit,omitempty"`
}

// LimitState fills the rate-limit headers of an answer.
type LimitState struct {
	// Burst and Remaining are in tokens.
	Burst     int64 `json:"burst"`
	Remaining int64 `json:"remaining"`
	// Reset is the time until the bucket is full again.
	Reset time.Duration `json:"reset_ns"`
}

// Usage counts tokens.
type Usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CachedTokens     int64 `json:"cached_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
}

// Cause is the stable name of the reason for a refusal.
type Cause string

// Causes of refusals.
const (
	CauseBadRequest       Cause = "bad-request"
	CauseUnknownRoute     Cause = "unknown-route"
	CauseUnknownModel     Cause = "unknown-model"
	CauseMissingKey       Cause = "missing-key"
	CauseUnknownKey       Cause = "unknown-key"
	CauseKeyWithdrawn     Cause = "key-withdrawn"
	CauseRateLimited      Cause = "rate-limited"
	CauseTooLarge         Cause = "request-too-large"
	CauseNotReady         Cause = "router-not-ready"
	CauseStale            Cause = "configuration-not-fresh"
	CauseShuttingDown     Cause = "shutting-down"
	CauseNoEndpoint       Cause = "no-endpoint"
	CauseOverload         Cause = "overload"
	CauseDeadline         Cause = "deadline-exceeded"
	CauseEndpointFailed   Cause = "endpoint-failed"
	CauseStreamBroken     Cause = "stream-broken"
	CauseNotResumable     Cause = "stream-not-resumable"
	CauseLogUnavailable   Cause = "log-unavailable"
	CauseDuplicate        Cause = "duplicate-request"
	CauseKeyTooOld        Cause = "idempotency-key-too-old"
	CauseKeyReused        Cause = "idempotency-key-reused"
	CauseMissingIdemKey   Cause = "missing-idempotency-key"
	CauseQuarantined      Cause = "request-quarantined"
	CauseSuspected        Cause = "request-suspected"
	CauseCanceled         Cause = "canceled"
	CauseWrongVersion     Cause = "wrong-model-version"
	CauseWrongIncarnation Cause = "wrong-incarnation"
	CauseLeaving          Cause = "endpoint-leaving"
	CauseCrossed          Cause = "crossed-dispatch"
)
