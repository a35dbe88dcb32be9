// Package limit keeps every client account inside its rate and burst across
// the fleet, without refusing what is inside.
package limit

import (
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// Decision is the outcome of a request for tokens.
//
// With OK, the tokens are taken. With Wait above 0, nothing was taken and the
// request is neither admitted nor refused: the Wallet has queued a request to
// the holders, and the request machine calls Spend again with the same
// arguments when Wallet.TakeChanged names the account or after Wait, whichever
// is first. It bounds the whole wait by the request's deadline and by MaxWait,
// and then refuses with cause rate-limited, verdict not_run and RetryAfter.
// With neither, the request is refused in the same way at once.
type Decision struct {
	OK bool
	// Reason explains the decision in the audit record.
	Reason string
	// Wait is above 0 if a holder may still have enough tokens.
	Wait time.Duration
	// RetryAfter is set unless OK.
	RetryAfter time.Duration
	State      proto.LimitState
}

// Limiter is the request path's view of an account's tokens. It is safe for
// concurrent use.
type Limiter interface {
	// Spend takes tokens from what this router may spend for the account, all
	// or none. The spending counts at now.
	Spend(now proto.Instant, account proto.AccountID, tokens int64) Decision
	// Refund gives back tokens that were taken and not used.
	Refund(now proto.Instant, account proto.AccountID, tokens int64)
}
