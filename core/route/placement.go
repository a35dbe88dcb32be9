// Package route decides which endpoint serves a request.
package route

import (
	"time"

	"github.com/kumquatsill/kumquatsill/core/note"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// Query describes the request to place.
type Query struct {
	Account proto.AccountID
	Class   proto.Class
	// Service is set for plain calls, Model for generation.
	Service string
	Model   string
	Version string
	Adapter string
	// Blocks are the salted chain hashes of the prompt's pieces.
	Blocks       []proto.BlockHash
	PromptTokens int64
	// Timeout is the time left to the caller's deadline; 0 means none.
	Timeout time.Duration
	// Exclude lists endpoints that this request must not go to again.
	Exclude []proto.EndpointID
}

// Choice is the outcome of a placement.
type Choice struct {
	Endpoint proto.EndpointID
	// MatchedBlocks is the number of leading blocks that the endpoint is expected to hold.
	MatchedBlocks int
	ImportFrom    *proto.KVSource
	// ExpectedDelay is the expected time to first token.
	ExpectedDelay time.Duration
	// ProbeEndpoints lists agents to ask first, where what is known is too old. The
	// caller may dispatch to Endpoint without asking.
	ProbeEndpoints []proto.EndpointID
	// Reason explains the choice in the audit record.
	Reason string
}

// Placer is the request path's view of the endpoints. It is safe for
// concurrent use, except that only one goroutine may call Configure.
type Placer interface {
	// Configure applies a new configuration.
	Configure(now proto.Instant, cfg *note.Config)
	// Choose picks an endpoint. It returns a cause if none can take the request.
	Choose(now proto.Instant, q Query) (Choice, proto.Cause)
	// AttemptStarted and AttemptEnded count the router's own work in flight.
	AttemptStarted(now proto.Instant, endpoint proto.EndpointID, q Query)
	AttemptEnded(now proto.Instant, endpoint proto.EndpointID, q Query)
	// Observe takes in what an agent reported about itself and about the
	// blocks of a request.
	Observe(now proto.Instant, report proto.Report, blocks []proto.BlockHash)
	// ObserveFailure counts evidence that an endpoint does not answer.
	ObserveFailure(now proto.Instant, endpoint proto.EndpointID)
}
