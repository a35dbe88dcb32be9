// Package leader holds the rules of the lease under which one router at a time
// carries out work for the fleet, such as ordering engines to load weights.
//
// A lease is a topic of the log to which claims are appended, each at the end
// of the topic that the claimant has read, so that of two claims one fails.
// The offset of a claim is its fencing token. The holder counts its time to
// live from before it sent the claim, everybody else counts from when they
// read it, which is later. A claim is made only while there is work.
package leader

import (
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

const (
	// TTL is how long a claim lets its holder act.
	TTL = 2 * time.Second
	// renewBefore is the time left at which a holder with work renews its claim.
	renewBefore = time.Second
	// safetyMargin covers the time between the check of a lease and the arrival of
	// what is sent under it.
	safetyMargin = 250 * time.Millisecond
	// claimStagger separates the claims of routers that see a free lease.
	claimStagger = 120 * time.Millisecond
	// minReadInterval is the least time between two reads of the topic.
	minReadInterval = time.Second
)

// Claim is a record of the lease's topic.
type Claim struct {
	// Holder names the host, not the process: a process that starts again on
	// the same host is the same holder.
	Holder string `json:"holder"`
	// Nonce tells claims of one holder apart.
	Nonce uint64 `json:"nonce"`
	// Released is set in the record with which a holder that stops gives the
	// lease up.
	Released bool `json:"released,omitempty"`
	// Named tells since when versions are named, for routers that start.
	Named []proto.VersionAge `json:"named,omitempty"`
	// WrittenAt is the time of day at the holder in Unix milliseconds. It may
	// be wrong by seconds.
	WrittenAt int64 `json:"written_at,omitempty"`
}

// maxClaimAge bounds what is believed of the time since a claim was written.
const maxClaimAge = 5 * time.Second

// Age returns for how long a version has been named, to a reader at a time of
// day: its age in the claim, and the time since then as far as the times of day
// of two hosts tell.
func (c *Claim) Age(n proto.VersionAge, timeOfDay time.Time) time.Duration {
	since := time.Duration(0)
	if c.WrittenAt > 0 {
		since = min(max(0, timeOfDay.Sub(time.UnixMilli(c.WrittenAt))), maxClaimAge)
	}
	return n.Age() + since
}

// Op says what a lease asks for.
type Op uint8

const (
	// OpNone is to be done now.
	OpNone Op = iota
	// OpRead asks to read the last claim.
	OpRead
	// OpAppend asks to append a claim at Lease.End.
	OpAppend
)

// Lease is one router's view of the lease. It is not safe for concurrent use.
type Lease struct {
	self string
	// takeoverDelay is how long after the last order of one holder the next may give
	// its first, releaseDelay the same after a holder has given the lease up.
	takeoverDelay, releaseDelay time.Duration
	rank                        int

	upToDate  bool
	end       int64
	lastClaim Claim
	// seenAt is when this router first read the last claim.
	seenAt     proto.Instant
	lastReadAt proto.Instant
	// workSince is when the present work came up; 0 if there is none.
	workSince proto.Instant

	fence    int64
	expiry   proto.Instant
	nonce    uint64
	sentAt   proto.Instant
	inFlight bool
}

// New returns the view of a router that has not read the topic.
func New(self string) *Lease { return &Lease{self: self} }

// SetTakeoverDelays sets the time that separates the orders of two holders, and the time
// that separates those of a holder that has given the lease up and the next one.
func (l *Lease) SetTakeoverDelays(takeoverDelay, releaseDelay time.Duration) {
	l.takeoverDelay, l.releaseDelay = takeoverDelay, releaseDelay
}

// SetHasWork records whether there is work, and this router's place in the order in
// which routers claim a free lease.
func (l *Lease) SetHasWork(now proto.Instant, hasWork bool, rank int) {
	l.rank = rank
	switch {
	case !hasWork:
		l.workSince = 0
	case l.workSince == 0:
		l.workSince = now
		l.upToDate = false // the last claim read may be an old one
	}
}

// Held returns the fencing token while this router may act.
func (l *Lease) Held(now proto.Instant) (fence int64, ok bool) {
	return l.fence, l.fence > 0 && now < l.expiry.Add(-safetyMargin)
}

// AppendOffset returns the offset at which to append.
func (l *Lease) AppendOffset() int64 { return l.end }

// Next returns what is to be done now. After Read or Append it returns Nothing
// until the outcome is reported.
func (l *Lease) Next(now proto.Instant) Op {
	if l.workSince == 0 || l.inFlight {
		return OpNone
	}
	if !l.upToDate {
		return l.startRead(now)
	}
	if _, holds := l.Held(now); holds {
		if l.expiry.Sub(now) > renewBefore {
			return OpNone
		}
		return l.startClaim(now)
	}
	if now >= l.claimableAt() {
		return l.startClaim(now)
	}
	return l.startRead(now)
}

// claimableAt returns when this router may claim.
func (l *Lease) claimableAt() proto.Instant {
	stagger := time.Duration(l.rank) * claimStagger
	switch {
	case l.lastClaim.Holder == l.self:
		return l.workSince
	case l.lastClaim.Holder == "":
		return l.workSince.Add(stagger)
	case l.lastClaim.Released:
		return max(l.seenAt.Add(l.releaseDelay), l.workSince).Add(stagger)
	}
	return max(l.seenAt.Add(TTL+l.takeoverDelay+safetyMargin), l.workSince).Add(stagger)
}

func (l *Lease) startRead(now proto.Instant) Op {
	if l.lastReadAt != 0 && now.Sub(l.lastReadAt) < minReadInterval {
		return OpNone
	}
	l.lastReadAt = now
	l.inFlight = true
	return OpRead
}

func (l *Lease) startClaim(now proto.Instant) Op {
	l.sentAt = now
	l.nonce++
	l.inFlight = true
	return OpAppend
}

// ClaimRecord returns the claim to append.
func (l *Lease) ClaimRecord() Claim { return Claim{Holder: l.self, Nonce: l.nonce} }

// ReadSucceeded takes in the end of the topic and its last claim; empty if there is
// none.
func (l *Lease) ReadSucceeded(now proto.Instant, end int64, lastClaim Claim) {
	l.inFlight = false
	if end != l.end || l.seenAt == 0 {
		l.seenAt = now
	}
	l.end, l.lastClaim = end, lastClaim
	l.upToDate = true
}

// ReadFailed records that the topic could not be read.
func (l *Lease) ReadFailed() { l.inFlight = false }

// ClaimSucceeded records that the claim was appended at End.
func (l *Lease) ClaimSucceeded(now proto.Instant, offset int64) {
	l.inFlight = false
	l.upToDate = true
	l.end = offset + 1
	l.lastClaim = l.ClaimRecord()
	l.seenAt = now
	l.fence = offset + 1
	l.expiry = l.sentAt.Add(TTL)
}

// ClaimFailed records that the claim was refused or its outcome is unknown. The
// topic is read again before the next claim.
func (l *Lease) ClaimFailed() {
	l.inFlight = false
	l.upToDate = false
	l.lastReadAt = 0
}

// Release ends the hold and returns the record that tells it, to be appended at
// End. It returns false if this router does not hold the lease.
func (l *Lease) Release(now proto.Instant) (Claim, bool) {
	if _, holds := l.Held(now); !holds {
		return Claim{}, false
	}
	l.nonce++
	l.fence, l.expiry = 0, 0
	return Claim{Holder: l.self, Nonce: l.nonce, Released: true}, true
}

// Invalidate ends the hold, as when an endpoint has seen a greater fencing token.
func (l *Lease) Invalidate() {
	l.fence, l.expiry = 0, 0
	l.upToDate = false
}
