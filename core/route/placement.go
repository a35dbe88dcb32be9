// Package route decides which endpoint serves a request.
package route

import (
	"time"

	"github.com/kumquatsill/kumquatsill/core/note"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// Query describes a request to be placed.
type Query struct {
	Account proto.AccountID
	Class   proto.Class
	// Service is set for plain calls, Model for generations.
	Service string
	Model   string
	Version string
	Adapter string
	// Blocks holds the salted chain hashes of the prompt's pieces, as returned by
	// ChainHashes.
	Blocks       []proto.BlockHash
	PromptTokens int64
	// Timeout is the time left until the caller's deadline; 0 means no deadline.
	Timeout time.Duration
	// Exclude lists endpoints that this request must not go to again.
	Exclude []proto.EndpointID
}

// Choice is the outcome of a placement.
type Choice struct {
	Endpoint proto.EndpointID
	// MatchedBlocks is the number of leading blocks that the endpoint is expected to
	// cache.
	MatchedBlocks int
	// ImportFrom is the KV cache to import more blocks from, or nil.
	ImportFrom *proto.KVSource
	// ExpectedDelay is the expected time to first token of a generation, or the
	// expected time until a plain call starts.
	ExpectedDelay time.Duration
	// ProbeEndpoints lists endpoints whose agents should be probed first because
	// what is known of them is missing or too old. Dispatching to Endpoint without
	// a probe is allowed.
	ProbeEndpoints []proto.EndpointID
	// Reason explains the choice in the audit record.
	Reason string
}

// Placer chooses endpoints for requests. It is safe for concurrent use, except that
// only one goroutine may call Configure.
type Placer interface {
	// Configure applies a new configuration.
	Configure(now proto.Instant, cfg *note.Config)
	// Choose chooses an endpoint. It returns a cause if none can take the request.
	Choose(now proto.Instant, q Query) (Choice, proto.Cause)
	// AttemptStarted and AttemptEnded count this router's attempts in flight.
	AttemptStarted(now proto.Instant, endpoint proto.EndpointID, q Query)
	AttemptEnded(now proto.Instant, endpoint proto.EndpointID, q Query)
	// Observe records an agent's report of its load and of how many of the blocks of
	// a request its engine caches.
	Observe(now proto.Instant, report proto.Report, blocks []proto.BlockHash)
	// ObserveFailure records that an endpoint did not respond.
	ObserveFailure(now proto.Instant, endpoint proto.EndpointID)
}
