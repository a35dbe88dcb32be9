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
	// renewAt is the time left at which a holder with work renews its claim.
	renewAt = time.Second
	// margin covers the time between the check of a lease and the arrival of
	// what is sent under it.
	margin = 250 * time.Millisecond
	// claimSpread separates the claims of routers that see a free lease.
	claimSpread = 120 * time.Millisecond
	// readPause is the least time between two reads of the topic.
	readPause = time.Second
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

// maxDowntime bounds what is believed of the time since a claim was written.
const maxDowntime = 5 * time.Second

// Age returns for how long a version has been named, to a reader at a time of
// day: its age in the claim, and the time since then as far as the times of day
// of two hosts tell.
func (c *Claim) Age(n proto.VersionAge, timeOfDay time.Time) time.Duration {
	since := time.Duration(0)
	if c.WrittenAt > 0 {
		since = min(max(0, timeOfDay.Sub(time.UnixMilli(c.WrittenAt))), maxDowntime)
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
	// quiet is how long after the last order of one holder the next may give
	// its first, afterRelease the same after a holder has given the lease up.
	quiet, afterRelease time.Duration
	rank                int

	known bool
	end   int64
	last  Claim
	// seenAt is when this router first read the last claim.
	seenAt proto.Instant
	readAt proto.Instant
	// wantedAt is when the present work came up; 0 if there is none.
	wantedAt proto.Instant

	fence  int64
	until  proto.Instant
	nonce  uint64
	sentAt proto.Instant
	busy   bool
}

// New returns the view of a router that has not read the topic.
func New(self string) *Lease { return &Lease{self: self} }

// SetTakeoverDelays sets the time that separates the orders of two holders, and the time
// that separates those of a holder that has given the lease up and the next one.
func (l *Lease) SetTakeoverDelays(quiet, afterRelease time.Duration) {
	l.quiet, l.afterRelease = quiet, afterRelease
}

// SetHasWork records whether there is work, and this router's place in the order in
// which routers claim a free lease.
func (l *Lease) SetHasWork(now proto.Instant, work bool, rank int) {
	l.rank = rank
	switch {
	case !work:
		l.wantedAt = 0
	case l.wantedAt == 0:
		l.wantedAt = now
		l.known = false // the last claim read may be an old one
	}
}

// Held returns the fencing token while this router may act.
func (l *Lease) Held(now proto.Instant) (fence int64, ok bool) {
	return l.fence, l.fence > 0 && now < l.until.Add(-margin)
}

// AppendOffset returns the offset at which to append.
func (l *Lease) AppendOffset() int64 { return l.end }

// Next returns what is to be done now. After Read or Append it returns Nothing
// until the outcome is reported.
func (l *Lease) Next(now proto.Instant) Op {
	if l.wantedAt == 0 || l.busy {
		return OpNone
	}
	if !l.known {
		return l.read(now)
	}
	if _, holds := l.Held(now); holds {
		if l.until.Sub(now) > renewAt {
			return OpNone
		}
		return l.claim(now)
	}
	if now >= l.claimableAt() {
		return l.claim(now)
	}
	return l.read(now)
}

// claimableAt returns when this router may claim.
func (l *Lease) claimableAt() proto.Instant {
	spread := time.Duration(l.rank) * claimSpread
	switch {
	case l.last.Holder == l.self:
		return l.wantedAt
	case l.last.Holder == "":
		return l.wantedAt.Add(spread)
	case l.last.Released:
		return max(l.seenAt.Add(l.afterRelease), l.wantedAt).Add(spread)
	}
	return max(l.seenAt.Add(TTL+l.quiet+margin), l.wantedAt).Add(spread)
}

func (l *Lease) read(now proto.Instant) Op {
	if l.readAt != 0 && now.Sub(l.readAt) < readPause {
		return OpNone
	}
	l.readAt = now
	l.busy = true
	return OpRead
}

func (l *Lease) claim(now proto.Instant) Op {
	l.sentAt = now
	l.nonce++
	l.busy = true
	return OpAppend
}

// ClaimRecord returns the claim to append.
func (l *Lease) ClaimRecord() Claim { return Claim{Holder: l.self, Nonce: l.nonce} }

// ReadSucceeded takes in the end of the topic and its last claim; empty if there is
// none.
func (l *Lease) ReadSucceeded(now proto.Instant, end int64, last Claim) {
	l.busy = false
	if end != l.end || l.seenAt == 0 {
		l.seenAt = now
	}
	l.end, l.last = end, last
	l.known = true
}

// ReadFailed records that the topic could not be read.
func (l *Lease) ReadFailed() { l.busy = false }

// ClaimSucceeded records that the claim was appended at End.
func (l *Lease) ClaimSucceeded(now proto.Instant, offset int64) {
	l.busy = false
	l.known = true
	l.end = offset + 1
	l.last = l.ClaimRecord()
	l.seenAt = now
	l.fence = offset + 1
	l.until = l.sentAt.Add(TTL)
}

// ClaimFailed records that the claim was refused or its outcome is unknown. The
// topic is read again before the next claim.
func (l *Lease) ClaimFailed() {
	l.busy = false
	l.known = false
	l.readAt = 0
}

// Release ends the hold and returns the record that tells it, to be appended at
// End. It returns false if this router does not hold the lease.
func (l *Lease) Release(now proto.Instant) (Claim, bool) {
	if _, holds := l.Held(now); !holds {
		return Claim{}, false
	}
	l.nonce++
	l.fence, l.until = 0, 0
	return Claim{Holder: l.self, Nonce: l.nonce, Released: true}, true
}

// Invalidate ends the hold, as when an endpoint has seen a greater fencing token.
func (l *Lease) Invalidate() {
	l.fence, l.until = 0, 0
	l.known = false
}
