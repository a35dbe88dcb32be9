package proto

import "time"

// EngineRun asks an engine to run a generation.
type EngineRun struct {
	Attempt      AttemptID   `json:"attempt"`
	StreamID     string      `json:"stream_id"`
	Model        string      `json:"model"`
	Version      string      `json:"version"`
	Adapter      string      `json:"adapter,omitempty"`
	Body         []byte      `json:"body,omitempty"`
	Sampling     Sampling    `json:"sampling"`
	MaxTokens    int64       `json:"max_tokens"`
	PromptTokens int64       `json:"prompt_tokens"`
	Blocks       []BlockHash `json:"blocks,omitempty"`
	// ReusableBlocks is the number of leading blocks that the engine may reuse
	// from its cache.
	ReusableBlocks int       `json:"reuse"`
	ResumeAfter    Seq       `json:"resume_after,omitempty"`
	Priority       int       `json:"priority,omitempty"`
	Import         *KVSource `json:"import,omitempty"`
}

// EngineCall asks a plain service to run one call.
type EngineCall struct {
	Attempt     AttemptID     `json:"attempt"`
	Method      string        `json:"method"`
	Path        string        `json:"path"`
	Query       string        `json:"query,omitempty"`
	Body        []byte        `json:"body,omitempty"`
	ContentType string        `json:"content_type,omitempty"`
	Account     AccountID     `json:"account,omitempty"`
	Timeout     time.Duration `json:"timeout_ns"`
}

// EngineCancel stops a run or a call.
type EngineCancel struct {
	Attempt AttemptID `json:"attempt"`
}

// EngineToken is the next part of a run's output.
type EngineToken struct {
	Attempt AttemptID `json:"attempt"`
	Seq     Seq       `json:"seq"`
	Text    string    `json:"text"`
}

// EngineDone ends a run or a call.
type EngineDone struct {
	Attempt     AttemptID `json:"attempt"`
	LastSeq     Seq       `json:"last_seq"`
	Status      int       `json:"status,omitempty"`
	ContentType string    `json:"content_type,omitempty"`
	Body        []byte    `json:"body,omitempty"`
	Usage       Usage     `json:"usage"`
}

// EngineFailed ends a run or a call without a response.
type EngineFailed struct {
	Attempt AttemptID `json:"attempt"`
	Cause   Cause     `json:"cause"`
	Verdict Verdict   `json:"verdict"`
	// Crashed is set when the engine process crashed.
	Crashed bool `json:"crashed,omitempty"`
}

// EngineUp reports that an engine responds, with its current incarnation.
type EngineUp struct {
	Incarnation Incarnation       `json:"incarnation"`
	Versions    map[string]string `json:"versions,omitempty"`
	Adapters    []string          `json:"adapters,omitempty"`
	// BatchSize is the number of runs that the engine decodes concurrently.
	BatchSize int `json:"batch_size"`
}

// EngineDown reports that the engine does not respond.
type EngineDown struct {
	Incarnation Incarnation `json:"incarnation"`
}

// CacheEvent is one change to the contents of an engine's cache.
type CacheEvent struct {
	Seq     uint64      `json:"seq"`
	Added   []BlockHash `json:"added,omitempty"`
	Evicted []BlockHash `json:"evicted,omitempty"`
	Cleared bool        `json:"cleared,omitempty"`
}

// CacheEvents is a batch of cache events of one engine incarnation.
type CacheEvents struct {
	Incarnation Incarnation  `json:"incarnation"`
	Events      []CacheEvent `json:"events"`
}

// CacheListRequest asks an engine for all cached blocks, after a gap in the
// cache events.
type CacheListRequest struct{}

// CacheList is the full content of an engine's cache as of the event with
// sequence number AsOf.
type CacheList struct {
	Incarnation Incarnation `json:"incarnation"`
	AsOf        uint64      `json:"as_of"`
	Blocks      []BlockHash `json:"blocks"`
}

// LoadReport is an engine's own report of its load, which lags behind.
type LoadReport struct {
	Incarnation   Incarnation `json:"incarnation"`
	Running       int         `json:"running"`
	PrefillTokens int64       `json:"prefill_tokens"`
}

// EngineOrder forwards an Order to an engine.
type EngineOrder struct {
	Order Order `json:"order"`
}

// EngineOrdered answers an EngineOrder.
type EngineOrdered struct {
	ID       string            `json:"id"`
	OK       bool              `json:"ok"`
	Detail   string            `json:"detail,omitempty"`
	Versions map[string]string `json:"versions,omitempty"`
	Adapters []string          `json:"adapters,omitempty"`
}
