package exchange

import (
	"sync/atomic"

	"github.com/kumquatsill/kumquatsill/core/note"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/core/suspect"
)

// Snapshot is the immutable state that requests are decided on. The router's
// control machine publishes a new one on each change.
type Snapshot struct {
	Config *note.Config
	Stamp  proto.Stamp
	// Ready is set once the router has folded the log up to its head.
	Ready bool
	// Draining is set while the router shuts down.
	Draining bool
	// Funded is set once every bucket has had a holder for longer than new
	// holders start empty, as far as this router has seen. Until then requests
	// may be refused as rate-limited after a start of the whole fleet.
	Funded bool
	// Routers holds the "ip:port" of each registered router.
	Routers map[proto.RouterID]string
	// FreshUntil is when keyed traffic stops unless freshness is proved again.
	FreshUntil proto.Instant
	// Quarantined lists refused fingerprints by client account.
	Quarantined map[QuarantineKey]bool
	// Suspects lists fingerprints that run in a trial only.
	Suspects map[QuarantineKey]bool
}

// QuarantineKey names a fingerprint of a client account.
type QuarantineKey = suspect.Key

// Stats counts what exchanges saw. All fields are safe for concurrent use.
type Stats struct {
	// Late counts messages after the end of a request, Misdelivered those of
	// other attempts or other senders.
	Late, Misdelivered atomic.Int64
	// Repeated and Gaps count chunks out of order.
	Repeated, Gaps atomic.Int64
	// Retries and Reattached count further attempts.
	Retries, Reattached atomic.Int64
	// Silent counts attempts given up after silence.
	Silent atomic.Int64
}
