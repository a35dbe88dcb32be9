package relay

import (
	"time"

	"github.com/kumquatsill/kumquatsill/core/place"
)

// RequestInfo holds what a request states about itself, apart from its route.
type RequestInfo struct {
	// ID identifies this request; when the caller retries, it uses a new ID.
	ID string
	// Key is the secret key of the client account, or "".
	Key string
	// Remaining is how long the caller will wait; 0 if not stated.
	Remaining time.Duration
	Model     string
	// PromptTokens is the length of the prompt and OutputTokens the maximum length
	// of the output. Both are valid only if HasTokens is set.
	PromptTokens, OutputTokens int64
	HasTokens                  bool
	// LengthHint estimates the length of the output in tokens; 0 if not stated.
	LengthHint float64
	// Parts lists the parts of the prompt in order; the last part is specific to
	// this request.
	Parts []place.Part
	// LastEvent is the ID of the last stream event that the caller received. It is
	// valid only if HasLastEvent is set.
	LastEvent    int64
	HasLastEvent bool
}

// Tokens returns the maximum number of tokens that the request may use.
func (c *RequestInfo) Tokens() int64 { return c.PromptTokens + c.OutputTokens }
