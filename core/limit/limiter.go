// Package limit keeps every client account inside its rate and burst across
// the fleet, without refusing what is inside.
package limit

import (
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// Decision is the outcome of a request for tokens.
type Decision struct {
	OK bool
	// Reason explains the decision in the audit record.
	Reason string
	// RetryAfter is set on a refusal.
	RetryAfter time.Duration
	State      proto.LimitState
}

// Limiter is the request path's view of an account's tokens. It is safe for
// concurrent use.
type Limiter interface {
	// Spend takes tokens from what this router may spend for the account, all
	// or none.
	Spend(now proto.Instant, account proto.AccountID, tokens int64) Decision
	// Refund gives back tokens that were taken and not used.
	Refund(now proto.Instant, account proto.AccountID, tokens int64)
}
