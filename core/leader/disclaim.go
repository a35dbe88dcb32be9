package leader

import (
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// disclaimTime is how long after its last claim a router disclaims it: longer than
// the others wait for the claim to expire.
const disclaimTime = 15 * time.Second

// Disclaimer is the message by which a router tells its peers that it will not act
// under its claims, so that they need not wait until the last one has expired. A
// router that has lost the log, or never learned whether its claim was appended,
// cannot release the lease there. After a disclaimer it acts only under a claim that
// is appended later, which fails if a peer has claimed the lease meanwhile.
type Disclaimer struct {
	// Incarnation and Nonce identify the last claim; all earlier ones of the same
	// incarnation are covered, too.
	Incarnation int64  `json:"life"`
	Nonce       uint64 `json:"nonce"`
	// HasActed is set if this incarnation has ever acted under the lease, the last
	// time SinceActedMillis ago.
	HasActed         bool  `json:"acted,omitempty"`
	SinceActedMillis int64 `json:"acted_ms,omitempty"`
}

// disclaimer is a Disclaimer as received.
type disclaimer struct {
	incarnation int64
	nonce       uint64
	// freeAt is when another router may act.
	freeAt proto.Instant
}

// covers reports whether the sender does not act under a claim.
func (d *disclaimer) covers(c *Claim) bool {
	return c.Incarnation != 0 && c.Incarnation == d.incarnation && c.Nonce <= d.nonce
}

// RecordAction records that this router acts under the lease, for example sends an
// order.
func (l *Lease) RecordAction(now proto.Instant) { l.actedAt = now }

// Disclaimer returns what to tell the peers, or false if there is nothing to
// disclaim: while this router holds the lease or does not know the outcome of a
// claim, and if it has not claimed the lease recently.
func (l *Lease) Disclaimer(now proto.Instant) (Disclaimer, bool) {
	if _, held := l.Held(now); held || l.inFlight || l.nonce == 0 || now.Sub(l.sentAt) > disclaimTime {
		return Disclaimer{}, false
	}
	d := Disclaimer{Incarnation: l.incarnation, Nonce: l.nonce}
	if l.actedAt != 0 {
		d.HasActed, d.SinceActedMillis = true, now.Sub(l.actedAt).Milliseconds()
	}
	return d, true
}

// HandleDisclaimer records a disclaimer of the router on a host and reports whether it
// is new and concerns the last claim that was read. Disclaimers may be repeated and
// reordered.
func (l *Lease) HandleDisclaimer(now proto.Instant, host string, d Disclaimer) bool {
	old, known := l.disclaimed[host]
	if known && old.incarnation == d.Incarnation && old.nonce >= d.Nonce {
		return false
	}
	freeAt := now
	if d.HasActed {
		acted := now.Add(-time.Duration(d.SinceActedMillis) * time.Millisecond)
		freeAt = acted.Add(l.releaseDelay + safetyMargin)
	}
	received := disclaimer{incarnation: d.Incarnation, nonce: d.Nonce, freeAt: freeAt}
	l.disclaimed[host] = received
	return l.lastClaim.Holder == host && received.covers(&l.lastClaim)
}
