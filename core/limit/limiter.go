// Package limit enforces a rate and burst per client account across the fleet,
// without refusing requests that are within them.
//
// The token bucket of each account is split into Parts parts and a static
// share. Accounts are hashed into Groups lease groups; the router that holds the
// lease of a part of a group serves that part for all accounts of the group
// (Holder) and grants tokens from it to other routers. The static share is
// divided into slots, each owned by one router, which can spend its tokens
// even while no holder is reachable. On every router a LocalLimiter spends tokens
// that were granted to it or come from its own slot, and requests more from the
// holders and then from the owners of other slots.
package limit

import (
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// Decision is the result of Spend.
//
// If OK is set, the tokens have been spent. If Wait is above 0, nothing was
// spent and the request is neither admitted nor refused: the LocalLimiter has
// queued a request to the holders, and its caller calls Spend again with the
// same arguments when LocalLimiter.TakeReady returns the account or after Wait,
// whichever is first. The caller bounds the total wait by the request's deadline
// and by MaxWait, and then refuses with cause rate-limited, verdict not_run and
// RetryAfter. Otherwise the request is refused in the same way at once.
type Decision struct {
	OK bool
	// Reason explains the decision in the audit record.
	Reason string
	// Wait is above 0 if the holders may still have enough tokens.
	Wait time.Duration
	// RetryAfter is the estimated time until the tokens are available. It is set
	// unless OK is.
	RetryAfter time.Duration
	State      proto.LimitState
}

// Limiter is the interface by which the request path spends tokens. It is safe
// for concurrent use.
type Limiter interface {
	// Spend spends tokens of the account at now, all of them or none.
	Spend(now proto.Instant, account proto.AccountID, tokens int64) Decision
	// Refund returns tokens that were spent but not used.
	Refund(now proto.Instant, account proto.AccountID, tokens int64)
}
