package exchange

import (
	"sync/atomic"

	"github.com/kumquatsill/kumquatsill/core/note"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/core/suspect"
)

// Snapshot is the immutable state that decisions about requests are based on. The
// router's control machine publishes a new one on every change.
type Snapshot struct {
	Config *note.Config
	Stamp  proto.Stamp
	// Ready is set once the router has applied the log up to its head.
	Ready bool
	// Draining is set while the router is shutting down.
	Draining bool
	// Funded is set once, as far as this router has seen, every bucket has had a
	// holder for longer than the period in which new holders have no tokens. Until
	// then, requests may be refused as rate-limited after the whole fleet starts.
	Funded bool
	// Routers maps each registered router to its "ip:port".
	Routers map[proto.RouterID]string
	// FreshUntil is when the router stops serving requests that need a key, unless
	// it confirms before then that its configuration is current.
	FreshUntil proto.Instant
	// Quarantined is the set of fingerprints that are refused, by client account.
	Quarantined map[QuarantineKey]bool
	// Suspects is the set of fingerprints that may run only in a trial.
	Suspects map[QuarantineKey]bool
}

// QuarantineKey identifies a fingerprint of a client account.
type QuarantineKey = suspect.Key

// Stats holds counters of the exchanges of a router. All fields are safe for
// concurrent use.
type Stats struct {
	// Late counts messages that arrived after their request or step had ended,
	// Misdelivered those that belong to another request or attempt or come from an
	// unexpected sender.
	Late, Misdelivered atomic.Int64
	// Repeated counts chunks received more than once, Gaps missing chunks that were
	// detected.
	Repeated, Gaps atomic.Int64
	// Retries counts retries at other endpoints, Reattached those that continue a
	// stream at the same endpoint.
	Retries, Reattached atomic.Int64
	// Silent counts attempts that timed out because no message arrived.
	Silent atomic.Int64
}
