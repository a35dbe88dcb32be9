// Package lease holds the rules of leases that are recorded in the config
// stream. A Lease is one node's view of one lease, for a holder, a candidate
// and everybody else alike.
//
// The rules rest on clocks that share their rate only. The holder counts the
// time to live from when it sent the renewal, everybody else from when they
// read it, which is later. A claim names the last record that the claimant
// has read on the lease, and the log refuses it if there is a later one.
package lease

import (
	"math/rand/v2"
	"time"

	"github.com/kumquatsill/kumquatsill/core/configlog"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

const (
	// DefaultTTL leaves two further attempts to renew within the time to live.
	DefaultTTL = 6 * time.Second
	// DefaultMaxExtension bounds how long promises hold a lease beyond its
	// last renewal in the log.
	DefaultMaxExtension = 2 * time.Minute
	renewalsPerTTL      = 3
	// maxClaimJitter separates candidates that see a free lease at the same time.
	maxClaimJitter = 200 * time.Millisecond
)

// Config describes a lease.
type Config struct {
	Name string
	Self proto.RouterID
	// TTL is the time to live; 0 means DefaultTTL.
	TTL time.Duration
	// TakeoverDelay is how long a takeover waits beyond the time to live, for what the
	// old holder gave out, such as grants.
	TakeoverDelay time.Duration
	// MaxExtension must be the same on all nodes; 0 means DefaultMaxExtension.
	MaxExtension time.Duration
	Seed         uint64
}

// pending is a record on the lease whose outcome is not known.
type pending struct {
	id     proto.RecordID
	action configlog.LeaseAction
	sentAt proto.Instant
	// prior is the Touched on which a claim rests, fence the one on which a
	// release or hand-over rests.
	prior, fence proto.Offset
}

// Lease is one node's view of a lease. It is not safe for concurrent use.
type Lease struct {
	cfg Config
	rng *rand.Rand

	// What the log says, and when this node read the last change of it.
	synced             bool
	state              configlog.LeaseState
	exists             bool
	changeReadAt       proto.Instant
	jitter             time.Duration
	registration       proto.Offset
	isRegistered       bool
	holderUnregistered bool

	// expiry is when this node's hold ends, on its own clock.
	expiry proto.Instant
	// loggedExpiry is the part of until that rests on the log and not on promises.
	loggedExpiry proto.Instant
	fence        proto.Offset
	sentAt       proto.Instant
	pending      *pending
	// unresolved is a claim, release or hand-over that may still take effect.
	unresolved *pending

	promisedUntil proto.Instant
	extension     extension
}

// New returns the view of a node that knows nothing about the lease.
func New(cfg Config) *Lease {
	if cfg.TTL == 0 {
		cfg.TTL = DefaultTTL
	}
	if cfg.MaxExtension == 0 {
		cfg.MaxExtension = DefaultMaxExtension
	}
	return &Lease{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 0x6c65617365)), fence: configlog.NoOffset}
}

// Observe takes in the folded state. The time counts as that of reading, so
// observing late only makes a takeover later.
func (l *Lease) Observe(now proto.Instant, snap *configlog.Snapshot) {
	state, exists := snap.Lease(l.cfg.Name)
	if !l.synced || exists != l.exists || state.Touched != l.state.Touched {
		l.changeReadAt = now
		l.jitter = time.Duration(l.rng.Int64N(int64(maxClaimJitter)))
	}
	l.synced = snap.Complete
	l.state, l.exists = state, exists
	self, isRegistered := snap.Routers[l.cfg.Self]
	l.registration, l.isRegistered = self.Offset, isRegistered
	_, holderIsRegistered := snap.Routers[state.Holder]
	l.holderUnregistered = !holderIsRegistered
	if !l.isHolder() || state.Fence != l.fence {
		l.clearHold()
	}
	l.clearUnresolved()
}

func (l *Lease) isHolder() bool {
	return l.exists && !l.state.Released && l.state.Holder == l.cfg.Self
}

func (l *Lease) clearHold() {
	l.expiry, l.loggedExpiry = 0, 0
	l.fence = configlog.NoOffset
	l.extension = extension{}
}

// clearUnresolved forgets a doubtful record that can no longer take effect.
func (l *Lease) clearUnresolved() {
	d := l.unresolved
	if d == nil {
		return
	}
	current := configlog.NoOffset
	switch {
	case !l.exists:
	case d.action == configlog.LeaseClaim:
		current = l.state.Touched
	default:
		current = l.state.Fence
	}
	basis := d.prior
	if d.action != configlog.LeaseClaim {
		basis = d.fence
	}
	if current != basis || d.action != configlog.LeaseClaim && l.state.Released {
		l.unresolved = nil
	}
}

// Held returns the fencing number if this node holds the lease now. It must
// be asked before every use, since the node may have been paused.
func (l *Lease) Held(now proto.Instant) (proto.Offset, bool) {
	if now >= l.expiry {
		return configlog.NoOffset, false
	}
	return l.fence, true
}

// Expiry returns when the hold ends unless it is renewed.
func (l *Lease) Expiry() proto.Instant { return l.expiry }

// State returns what the log says about the lease, and whether it says anything.
func (l *Lease) State() (configlog.LeaseState, bool) { return l.state, l.exists }

// NextRecord returns the record to append now, if any: a renewal or, if the node
// wants the lease, a claim. The caller reports the append with Sent.
func (l *Lease) NextRecord(now proto.Instant, want bool) (configlog.Lease, bool) {
	if !l.synced || l.awaitsOutcome() {
		return configlog.Lease{}, false
	}
	rec := configlog.Lease{Name: l.cfg.Name, Holder: l.cfg.Self, TTL: l.cfg.TTL}
	if l.isHolder() {
		if now < l.renewAt() {
			return configlog.Lease{}, false
		}
		rec.Action = configlog.LeaseRenew
		rec.Fence = l.state.Fence
		return rec, true
	}
	if !want || !l.isRegistered || now < l.claimAt() {
		return configlog.Lease{}, false
	}
	rec.Action = configlog.LeaseClaim
	rec.Prior = l.claimBasis()
	return rec, true
}

// awaitsOutcome reports whether the outcome of an earlier record has to be known
// first. A doubtful claim does not count: it may never appear in the log, and
// another one on the same basis is harmless, since the first of both wins.
func (l *Lease) awaitsOutcome() bool {
	return l.pending != nil || l.unresolved != nil && l.unresolved.action != configlog.LeaseClaim
}

func (l *Lease) claimBasis() proto.Offset {
	if !l.exists {
		return configlog.NoOffset
	}
	return l.state.Touched
}

// renewAt returns when this node, the holder, renews next. A holder that was
// given the lease by another holds nothing before its first own renewal.
func (l *Lease) renewAt() proto.Instant {
	if l.expiry == 0 {
		return l.changeReadAt
	}
	return l.sentAt.Add(l.cfg.TTL / renewalsPerTTL)
}

// claimAt returns when this node may claim the lease.
func (l *Lease) claimAt() proto.Instant {
	at := l.changeReadAt.Add(l.jitter)
	if l.exists && !l.state.Released {
		at = at.Add(l.state.TTL + l.cfg.TakeoverDelay)
		// The holder knows the routers that were registered when it renewed
		// last, and asks them for promises. It may not know a later one.
		if l.registration > l.state.Touched && !l.holderUnregistered {
			at = at.Add(l.cfg.MaxExtension)
		}
	}
	return max(at, l.promisedUntil)
}

// Wake returns when Next has to be asked again, or Never.
func (l *Lease) Wake(want bool) proto.Instant {
	switch {
	case !l.synced || l.awaitsOutcome():
		return proto.Never
	case l.isHolder():
		return l.renewAt()
	case want && l.isRegistered:
		return l.claimAt()
	}
	return proto.Never
}

// AppendSent tells that a record on this lease was given to the log client at the
// given time. For a renewal of all leases of the node it is called on each
// lease for which Next returned a renewal.
func (l *Lease) AppendSent(now proto.Instant, id proto.RecordID, rec configlog.Lease) {
	l.pending = &pending{id: id, action: rec.Action, sentAt: now, prior: rec.Prior, fence: rec.Fence}
	if rec.Action == configlog.LeaseRenew {
		l.sentAt = now
	}
}

// RecordFolded tells that a record of this node was folded, after Observe of the
// snapshot that includes it.
func (l *Lease) RecordFolded(res configlog.Result) {
	p := l.pending
	if p == nil || p.id != res.Record.ID {
		return
	}
	l.pending = nil
	holds := p.action == configlog.LeaseClaim || p.action == configlog.LeaseRenew
	if res.Outcome != configlog.Applied || !holds || !l.isHolder() {
		return
	}
	l.fence = l.state.Fence
	l.sentAt = max(l.sentAt, p.sentAt)
	l.loggedExpiry = max(l.loggedExpiry, p.sentAt.Add(l.cfg.TTL))
	l.expiry = max(l.expiry, l.loggedExpiry)
}

// AppendFailed tells that the append of a record ended without a confirmation.
// final is set if the record can never appear in the log.
func (l *Lease) AppendFailed(id proto.RecordID, final bool) {
	p := l.pending
	if p == nil || p.id != id {
		return
	}
	l.pending = nil
	if !final && p.action != configlog.LeaseRenew {
		l.unresolved = p
		l.clearUnresolved()
	}
}

// HandOver gives up the lease at once and returns the record that makes
// another node the holder. It reports false if the node does not hold it.
func (l *Lease) HandOver(now proto.Instant, to proto.RouterID, balance int64) (configlog.Lease, bool) {
	return l.relinquish(now, configlog.Lease{Action: configlog.LeaseHandOver, To: to, Balance: balance})
}

// Release gives up the lease at once and returns the record that frees it.
func (l *Lease) Release(now proto.Instant, balance int64) (configlog.Lease, bool) {
	return l.relinquish(now, configlog.Lease{Action: configlog.LeaseRelease, Balance: balance})
}

func (l *Lease) relinquish(now proto.Instant, rec configlog.Lease) (configlog.Lease, bool) {
	fence, ok := l.Held(now)
	if !ok {
		return configlog.Lease{}, false
	}
	l.clearHold()
	// A renewal under way must not bring back what is given up.
	l.pending = nil
	rec.Name, rec.Holder, rec.Fence, rec.TTL = l.cfg.Name, l.cfg.Self, fence, l.cfg.TTL
	return rec, true
}
