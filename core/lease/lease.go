// Package lease implements leases that are recorded in the config stream. A
// Lease is one node's view of one lease, whether the node is the holder, a
// candidate or an observer.
//
// The protocol assumes that clocks run at the same rate, not that they show
// the same time. The holder counts the time to live from when it sent the
// renewal; all other nodes count from when they read it, which is later. A
// claim names the last record that the claimant has read about the lease and
// is rejected if the log holds a later one.
package lease

import (
	"math/rand/v2"
	"time"

	"github.com/kumquatsill/kumquatsill/core/configlog"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

const (
	// DefaultTTL leaves room for two more renewal attempts if the first fails.
	DefaultTTL = 6 * time.Second
	// DefaultMaxExtension limits how long promises extend a lease beyond its
	// last renewal in the log.
	DefaultMaxExtension = 2 * time.Minute
	renewalsPerTTL      = 3
	// maxClaimJitter is the upper bound of the random delay that keeps
	// candidates from claiming a free lease at the same time.
	maxClaimJitter = 200 * time.Millisecond
)

// Config describes a lease.
type Config struct {
	Name string
	Self proto.RouterID
	// TTL is the time to live; 0 means DefaultTTL.
	TTL time.Duration
	// TakeoverDelay is how long a candidate waits after the time to live until
	// what the old holder issued, such as grants, has expired.
	TakeoverDelay time.Duration
	// MaxExtension must be the same on all nodes; 0 means DefaultMaxExtension.
	MaxExtension time.Duration
	Seed         uint64
}

// pending is an appended record about the lease whose outcome is not known.
type pending struct {
	id     proto.RecordID
	action configlog.LeaseAction
	sentAt proto.Instant
	// prior is the value of LastUpdate that a claim requires; fence is the
	// fencing token that a release or hand-over requires.
	prior, fence proto.Offset
}

// Lease is one node's view of a lease. It is not safe for concurrent use.
type Lease struct {
	cfg Config
	rng *rand.Rand

	// synced is set if the last observed snapshot was complete.
	synced bool
	// state is the state of the lease in the log; exists is false if it has none.
	state  configlog.LeaseState
	exists bool
	// changeReadAt is when this node read the last change of state, jitter the
	// random delay of a claim after it.
	changeReadAt proto.Instant
	jitter       time.Duration
	// registration is the offset of this node's registration.
	registration       proto.Offset
	isRegistered       bool
	holderUnregistered bool

	// expiry is when this node stops holding the lease, on its own clock.
	expiry proto.Instant
	// loggedExpiry is the expiry by the log alone, without promises.
	loggedExpiry proto.Instant
	fence        proto.Offset
	// sentAt is when the last renewal or successful claim was sent.
	sentAt  proto.Instant
	pending *pending
	// unresolved is a claim, release or hand-over whose append was not
	// confirmed and that may still take effect.
	unresolved *pending

	// promisedUntil is until when this node promised not to claim the lease.
	promisedUntil proto.Instant
	extension     extension
}

// New returns a Lease for a node that has not read any state yet.
func New(cfg Config) *Lease {
	if cfg.TTL == 0 {
		cfg.TTL = DefaultTTL
	}
	if cfg.MaxExtension == 0 {
		cfg.MaxExtension = DefaultMaxExtension
	}
	return &Lease{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 0x6c65617365)), fence: configlog.NoOffset}
}

// Observe updates the lease from a config snapshot. Now counts as the time of
// reading, so a delayed call can only delay a takeover.
func (l *Lease) Observe(now proto.Instant, snap *configlog.Snapshot) {
	state, exists := snap.Lease(l.cfg.Name)
	if !l.synced || exists != l.exists || state.LastUpdate != l.state.LastUpdate {
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

// clearUnresolved discards the unresolved record once it can no longer take
// effect.
func (l *Lease) clearUnresolved() {
	d := l.unresolved
	if d == nil {
		return
	}
	current := configlog.NoOffset
	switch {
	case !l.exists:
	case d.action == configlog.LeaseClaim:
		current = l.state.LastUpdate
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

// Held returns the fencing token if this node holds the lease now. It must be
// called before every use of the lease, since the node may have been paused.
func (l *Lease) Held(now proto.Instant) (proto.Offset, bool) {
	if now >= l.expiry {
		return configlog.NoOffset, false
	}
	return l.fence, true
}

// Expiry returns when this node stops holding the lease unless it renews it.
func (l *Lease) Expiry() proto.Instant { return l.expiry }

// State returns the lease's state in the log, and false if the log has none.
func (l *Lease) State() (configlog.LeaseState, bool) { return l.state, l.exists }

// NextRecord returns the record to append now, if any: a renewal or, if want is
// set, a claim. The caller reports the append with AppendSent.
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

// awaitsOutcome reports whether the outcome of an earlier record must be known
// before the next append. An unresolved claim does not block: it may never
// appear in the log, and a second claim with the same prior record is harmless,
// since only the first of the two takes effect.
func (l *Lease) awaitsOutcome() bool {
	return l.pending != nil || l.unresolved != nil && l.unresolved.action != configlog.LeaseClaim
}

func (l *Lease) claimBasis() proto.Offset {
	if !l.exists {
		return configlog.NoOffset
	}
	return l.state.LastUpdate
}

// renewAt returns when this node, the holder, renews next. A node that received
// the lease by a hand-over does not hold it before its own first renewal.
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
		// The holder asks the routers that were registered at its last renewal
		// for promises. It may not know a router that registered later, so
		// such a router waits for the longest possible extension.
		if l.registration > l.state.LastUpdate && !l.holderUnregistered {
			at = at.Add(l.cfg.MaxExtension)
		}
	}
	return max(at, l.promisedUntil)
}

// Wake returns when NextRecord must be called again, or proto.Never.
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

// AppendSent records that rec was passed to the log client at the given time. If
// one record renews all leases of the node, it is called on each lease for
// which NextRecord returned a renewal.
func (l *Lease) AppendSent(now proto.Instant, id proto.RecordID, rec configlog.Lease) {
	l.pending = &pending{id: id, action: rec.Action, sentAt: now, prior: rec.Prior, fence: rec.Fence}
	if rec.Action == configlog.LeaseRenew {
		l.sentAt = now
	}
}

// RecordApplied handles the result of a record that this node appended. It is
// called after Observe with a snapshot that includes the record.
func (l *Lease) RecordApplied(res configlog.Result) {
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

// AppendFailed records that the append of a record was not confirmed. final is
// set if the record can never appear in the log.
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

// HandOver stops holding the lease at once and returns the record that makes
// another node the holder. It returns false if this node does not hold the lease.
func (l *Lease) HandOver(now proto.Instant, to proto.RouterID, balance int64) (configlog.Lease, bool) {
	return l.relinquish(now, configlog.Lease{Action: configlog.LeaseHandOver, To: to, Balance: balance})
}

// Release stops holding the lease at once and returns the record that frees it.
// It returns false if this node does not hold the lease.
func (l *Lease) Release(now proto.Instant, balance int64) (configlog.Lease, bool) {
	return l.relinquish(now, configlog.Lease{Action: configlog.LeaseRelease, Balance: balance})
}

func (l *Lease) relinquish(now proto.Instant, rec configlog.Lease) (configlog.Lease, bool) {
	fence, ok := l.Held(now)
	if !ok {
		return configlog.Lease{}, false
	}
	l.clearHold()
	// A renewal in flight must not make this node the holder again.
	l.pending = nil
	rec.Name, rec.Holder, rec.Fence, rec.TTL = l.cfg.Name, l.cfg.Self, fence, l.cfg.TTL
	return rec, true
}
