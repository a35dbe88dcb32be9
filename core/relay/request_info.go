package relay

import (
	"time"

	"github.com/kumquatsill/kumquatsill/core/place"
)

// RequestInfo is what a caller's request says of itself, apart from its route.
type RequestInfo struct {
	// ID names the request; each try of a caller has its own.
	ID string
	// Key is the secret of the caller's account, or "".
	Key string
	// Remaining is how long the caller will wait; 0 if it does not tell.
	Remaining time.Duration
	Model     string
	// PromptTokens and OutputTokens are the tokens of the prompt and the most
	// of the answer, if HasTokens is set.
	PromptTokens, OutputTokens int64
	HasTokens                  bool
	// Parts are the parts of the prompt, the request's own last.
	Parts []place.Part
	// LastEvent is the last event of the stream that the caller has, if
	// HasLastEvent is set.
	LastEvent    int64
	HasLastEvent bool
}

// Tokens returns the tokens that the request may use at most.
func (c *RequestInfo) Tokens() int64 { return c.PromptTokens + c.OutputTokens }
