// Package leader implements the lease under which one router at a time carries
// out work for the fleet, such as ordering engines to load weights.
//
// The lease is a topic of the log to which routers append claims. An append is
// conditional on the end of the topic that the claimant has read, so only one
// of two concurrent claims succeeds. The position after a claim is its fencing
// token. If the log is restored from an older copy, it assigns offsets again under
// a newer era, which makes later tokens greater; see Lease.ObserveEra.
//
// The holder counts the time to live from when it sent the claim; all other routers
// count from when they read it, which is later. Routers claim the lease only while
// there is work.
package leader

import (
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

const (
	// TTL is how long a claim lets its holder act, counted from when it was sent.
	TTL = 2 * time.Second
	// renewBefore is how long before the expiry a holder with work renews its claim.
	renewBefore = time.Second
	// safetyMargin allows for the time between the check of the lease and the
	// arrival of a message that is sent under it.
	safetyMargin = 250 * time.Millisecond
	// claimStagger is the delay per rank between the claims of routers that see
	// a free lease.
	claimStagger = 120 * time.Millisecond
	// minReadInterval is the minimum time between two reads of the topic.
	minReadInterval = time.Second
	// tokenOffsetBits is the number of low bits of a fencing token that hold an
	// offset. The era follows, so that tokens rise across eras.
	tokenOffsetBits = 32
)

// Claim is a record of the lease's topic.
type Claim struct {
	// Holder is the host, not the process: a process that restarts on the same
	// host is the same holder.
	Holder string `json:"holder"`
	// Incarnation identifies the process that wrote the claim, and Nonce one of its
	// claims; nonces increase.
	Incarnation int64  `json:"life,omitempty"`
	Nonce       uint64 `json:"nonce"`
	// Era is the era of the log in which the claim was written. In a later one, claims
	// that followed it may be lost.
	Era int64 `json:"era,omitempty"`
	// Released is set in the record by which a holder that stops releases the
	// lease.
	Released bool `json:"released,omitempty"`
	// AnnouncedVersions holds the announced versions and their age, for routers
	// that start.
	AnnouncedVersions []proto.VersionAge `json:"named,omitempty"`
	// WrittenAt is the holder's wall clock in Unix milliseconds. It may be
	// wrong by seconds.
	WrittenAt int64 `json:"written_at,omitempty"`
}

// maxClaimAge limits the age of a claim as computed from the wall clocks of two
// hosts, which may differ.
const maxClaimAge = 5 * time.Second

// Age returns how long ago a version was announced, for a reader whose wall
// clock shows wallTime: the version's age in the claim plus the age of the claim.
func (c *Claim) Age(v proto.VersionAge, wallTime time.Time) time.Duration {
	sinceClaim := time.Duration(0)
	if c.WrittenAt > 0 {
		sinceClaim = min(max(0, wallTime.Sub(time.UnixMilli(c.WrittenAt))), maxClaimAge)
	}
	return v.Age() + sinceClaim
}

// Op is the log operation that the caller carries out for a lease.
type Op uint8

const (
	// OpNone requests no operation.
	OpNone Op = iota
	// OpRead requests a read of the last claim.
	OpRead
	// OpAppend requests an append of Lease.ClaimRecord at Lease.End.
	OpAppend
)

// Lease is one router's view of the lease. It is not safe for concurrent use.
type Lease struct {
	self        string
	incarnation int64
	// takeoverDelay is the time between the last order of a holder and the first
	// order of the next one. After a release, releaseDelay applies instead.
	takeoverDelay, releaseDelay time.Duration
	rank                        int

	// era is the newest era of the log that is known. If it is not the first one that
	// is known, restoredAt is when this router learned of it, and heldAtRestore is set
	// if it held the lease then.
	era           int64
	restoredAt    proto.Instant
	heldAtRestore bool
	// upToDate is set while end and lastClaim can be used to decide on a claim.
	upToDate bool
	// end is the end of the topic as last read; zero if it was not read in this era.
	end       proto.LogPosition
	lastClaim Claim
	// seenAt is when this router first read the last claim.
	seenAt     proto.Instant
	lastReadAt proto.Instant
	// workSince is when the current work arose; 0 if there is none.
	workSince proto.Instant

	// fence and expiry are the fencing token and the expiry of this router's own
	// last claim; 0 after it was released or invalidated.
	fence  int64
	expiry proto.Instant
	nonce  uint64
	// sentAt is when the last claim was sent.
	sentAt proto.Instant
	// inFlight is set while the outcome of an operation is not known.
	inFlight bool
	// actedAt is when this router last acted under the lease; 0 means never.
	actedAt proto.Instant
	// disclaimed holds what other hosts have last told about their claims.
	disclaimed map[string]disclaimer
}

// New returns a Lease for an incarnation of the router on the host self, which has
// not read the topic yet.
func New(self string, incarnation int64) *Lease {
	return &Lease{self: self, incarnation: incarnation, disclaimed: map[string]disclaimer{}}
}

// SetTakeoverDelays sets the time between the last order of a holder and the
// first order of the next one: takeoverDelay if the lease expired, releaseDelay
// if the holder released it.
func (l *Lease) SetTakeoverDelays(takeoverDelay, releaseDelay time.Duration) {
	l.takeoverDelay, l.releaseDelay = takeoverDelay, releaseDelay
}

// SetHasWork records whether there is work, and this router's rank in the order
// in which routers claim a free lease.
func (l *Lease) SetHasWork(now proto.Instant, hasWork bool, rank int) {
	l.rank = rank
	switch {
	case !hasWork:
		l.workSince = 0
	case l.workSince == 0:
		l.workSince = now
		l.upToDate = false // the topic is not read while there is no work
	}
}

// Held returns the fencing token while this router may act.
func (l *Lease) Held(now proto.Instant) (fence int64, ok bool) {
	return l.fence, l.fence > 0 && now < l.expiry.Add(-safetyMargin)
}

// End returns the end of the topic as last read, where claims are appended.
func (l *Lease) End() proto.LogPosition { return l.end }

// ObserveEra records an era of the log. A newer one than those before means that the log
// was restored from an older copy and that claims may be lost: this router stops holding
// the lease, and reads the topic again before the next claim.
func (l *Lease) ObserveEra(now proto.Instant, era int64) {
	if era <= l.era {
		return
	}
	if l.era != 0 {
		l.restoredAt = now
		_, l.heldAtRestore = l.Held(now)
	}
	l.era = era
	l.end = proto.LogPosition{}
	l.lastReadAt = 0
	l.Invalidate()
}

// Next returns the operation to start now. After OpRead or OpAppend it returns
// OpNone until the outcome is reported.
func (l *Lease) Next(now proto.Instant) Op {
	if l.workSince == 0 || l.inFlight {
		return OpNone
	}
	if !l.upToDate {
		return l.startRead(now)
	}
	if _, held := l.Held(now); held {
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

// claimableAt returns when this router may claim the lease.
func (l *Lease) claimableAt() proto.Instant {
	stagger := time.Duration(l.rank) * claimStagger
	if l.claimsMayBeLost() {
		return l.claimableAfterRestore(stagger)
	}
	switch {
	case l.lastClaim.Holder == l.self:
		return l.workSince
	case l.lastClaim.Holder == "":
		return l.workSince.Add(stagger)
	case l.lastClaim.Released:
		return max(l.seenAt.Add(l.releaseDelay), l.workSince).Add(stagger)
	}
	if d, ok := l.disclaimed[l.lastClaim.Holder]; ok && d.covers(&l.lastClaim) {
		return max(d.freeAt, l.workSince).Add(stagger)
	}
	return max(l.seenAt.Add(TTL+l.takeoverDelay+safetyMargin), l.workSince).Add(stagger)
}

// claimsMayBeLost reports whether the log may have been restored since the last claim
// that was read, from a copy without the claims that followed it. A copy may hold none.
func (l *Lease) claimsMayBeLost() bool { return l.lastClaim.Era != l.era }

// claimableAfterRestore returns when this router may claim the lease although another one
// may have held it under a claim that is lost. Nobody else did if this router held it.
func (l *Lease) claimableAfterRestore(stagger time.Duration) proto.Instant {
	if l.heldAtRestore {
		return l.workSince
	}
	lostBefore := l.restoredAt
	if lostBefore == 0 {
		lostBefore = l.seenAt
	}
	return max(lostBefore.Add(TTL+l.takeoverDelay+safetyMargin), l.workSince).Add(stagger)
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
func (l *Lease) ClaimRecord() Claim {
	return Claim{Holder: l.self, Incarnation: l.incarnation, Nonce: l.nonce, Era: l.era}
}

// ReadSucceeded records the end of the topic and its last claim, which is empty
// if there is none. What was read in an earlier era has no effect.
func (l *Lease) ReadSucceeded(now proto.Instant, end proto.LogPosition, lastClaim Claim) {
	l.inFlight = false
	l.ObserveEra(now, end.Era)
	if end.Era != l.era {
		return
	}
	if end != l.end || l.seenAt == 0 {
		l.seenAt = now
	}
	l.end, l.lastClaim = end, lastClaim
	l.upToDate = true
}

// ReadFailed records that a read of the topic failed.
func (l *Lease) ReadFailed() { l.inFlight = false }

// ClaimSucceeded records that the claim was appended at the given position. In an
// earlier era, that is no longer certain.
func (l *Lease) ClaimSucceeded(now proto.Instant, at proto.LogPosition) {
	if at.Era != l.era {
		l.ClaimFailed()
		return
	}
	l.inFlight = false
	l.upToDate = true
	l.end = at.Add(1)
	l.lastClaim = l.ClaimRecord()
	l.seenAt = now
	l.fence = fencingToken(l.end)
	l.expiry = l.sentAt.Add(TTL)
}

// fencingToken returns the token of the claim that ends at a position.
func fencingToken(end proto.LogPosition) int64 {
	return end.Era<<tokenOffsetBits | end.Offset
}

// ClaimFailed records that the claim was rejected or its outcome is unknown. The
// topic is read again before the next claim.
func (l *Lease) ClaimFailed() {
	l.inFlight = false
	l.upToDate = false
	l.lastReadAt = 0
}

// Release stops holding the lease at once and returns the record that releases
// it, to be appended at End. It returns false if this router does not
// hold the lease.
func (l *Lease) Release(now proto.Instant) (Claim, bool) {
	if _, held := l.Held(now); !held {
		return Claim{}, false
	}
	l.nonce++
	l.fence, l.expiry = 0, 0
	record := l.ClaimRecord()
	record.Released = true
	return record, true
}

// Invalidate stops holding the lease, for example after an endpoint has seen a
// greater fencing token. The topic is read again before the next claim.
func (l *Lease) Invalidate() {
	l.fence, l.expiry = 0, 0
	l.upToDate = false
}
