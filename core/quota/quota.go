// Package quota keeps client accounts within a rate and a burst that apply
// across all routers, without a holder and without a shared store.
//
// Each router counts what it has spent for each account since its start and
// tells its peers the count. A router subtracts its own spending at once and
// its peers' as their counts arrive, from a bucket of the whole rate. Counts
// only grow within one life of a router, so lost, repeated and reordered
// messages do no harm.
//
// A router that does not hear a peer cannot know what that peer spends. It
// then uses only the share of rate and burst of the members that it exchanges
// counts with, itself included. Two routers count as exchanging only when each
// has lately heard that the other hears it, so that both sides of a partition
// shrink their shares and their sum stays within the whole.
package quota

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

const (
	// Interval is the time between two messages to each peer.
	Interval = 200 * time.Millisecond
	// hearingLife is how long a peer counts as heard after a message. Peers far
	// away get every second one, and two of these may be lost in a row.
	hearingLife = 6 * Interval
	// listingLife is how long a peer counts as hearing this router after a
	// message that says so. Such lists come every two seconds.
	listingLife = 5 * time.Second
	// repeatAfter is the number of whole messages after which counts are told
	// again that have not changed, for peers that have lost them.
	repeatAfter = 5
	// forgetAfter is how long a member that is not heard keeps its share. A
	// router that is cut off spends its share that long beside the others.
	forgetAfter = 30 * time.Second
	// settleTime is how long after its start a router takes a peer's first
	// count for spending from before.
	settleTime = 2 * time.Second
	// untoldTime is how much of the peers' spending a router has not been told
	// yet: far peers tell every second Interval.
	untoldTime = 2 * Interval
	// averageTime is the time over which own and peers' spending are compared.
	averageTime = 2 * time.Second
	// maxPeerRatio bounds the peers' spending reckoned with, as a multiple of what
	// they would spend if all routers spent alike.
	maxPeerRatio = 4
	// recoveredLevel is the part of the burst from which an account that was in
	// debt counts as inside its limit again.
	recoveredLevel = 0.25
	// waitCeiling bounds the time to come back that a refusal tells.
	waitCeiling = 10 * time.Second
)

// Limit is the limit of one account.
type Limit struct {
	// Rate is in units per second, Burst in units; a Rate of 0 means no limit.
	Rate, Burst int64
}

// Counts is what a router tells its peers.
type Counts struct {
	Router proto.RouterID `json:"router"`
	// Incarnation tells two starts of one router apart. A later start need not have a
	// greater one, as the time of day may jump back.
	Incarnation int64 `json:"life"`
	// Spent holds the units spent since the start of this life, by account. It
	// may leave out accounts that were told before.
	Spent map[proto.AccountID]int64 `json:"spent,omitempty"`
	// HeardMembers lists the members heard lately, if Whole is set.
	HeardMembers    []RouterHash `json:"hears,omitempty"`
	HasHeardMembers bool         `json:"whole,omitempty"`
	// SpentComplete is set if Spent leaves out nothing.
	SpentComplete bool `json:"all,omitempty"`
}

// RouterHash stands for a router's name in lists. Two routers with the same short
// name would take themselves for heard when the other is; of 320, two share one
// with a chance of 1 in 80,000.
type RouterHash uint32

// HashRouter returns the short name of a router.
func HashRouter(id proto.RouterID) RouterHash { return RouterHash(xxhash.Sum64String(string(id))) }

// SentState is what some peers were told, so that they are told only what has
// changed since.
type SentState struct {
	told map[proto.AccountID]int64
	// wholes counts the whole messages.
	wholes int
}

// NewSentState returns peers that were told nothing.
func NewSentState() *SentState { return &SentState{told: map[proto.AccountID]int64{}} }

// Decision is the answer to Spend.
type Decision struct {
	OK bool
	// Balance is what the account had left before, in units.
	Balance int64
	// RetryAfter is when the units should be there, if the account spends
	// nothing else meanwhile.
	RetryAfter time.Duration
	// Share is the part of the whole limit that this router may use now.
	Share float64
}

type member struct {
	life, pastLife int64
	heardAt        proto.Instant
	heard          bool
	// listedAt is when the last list named this router; 0 if it did not.
	listedAt proto.Instant
	// knownAt is when the member became known or was heard last.
	knownAt proto.Instant
	spent   map[proto.AccountID]int64
	// older is set for a peer that may have run before this router, until it has
	// told all its counts: the first count of each account is taken for spending
	// from before.
	older bool
}

type bucket struct {
	limit Limit
	level float64
	at    proto.Instant
	spent int64
	// share is that of the last refill.
	share float64
	// recent is what this router has spent within about untoldTime.
	recent float64
	// own and peers are what this router and its peers have spent within about
	// averageTime.
	own, peers float64
	// exceeded is set while the account asks more than its limit: from a debt
	// until the level has recovered.
	exceeded bool
}

// Tracker is one router's view of all accounts. It is safe for concurrent use.
type Tracker struct {
	mu      sync.Mutex
	self    proto.RouterID
	life    int64
	started proto.Instant
	members map[proto.RouterID]*member
	buckets map[proto.AccountID]*bucket
}

// New returns the view of a router that starts now and knows no members yet.
func New(now proto.Instant, self proto.RouterID, life int64) *Tracker {
	return &Tracker{
		self: self, life: life, started: now,
		members: map[proto.RouterID]*member{},
		buckets: map[proto.AccountID]*bucket{},
	}
}

// Configure sets the limits in force. A new account starts with a full burst;
// a changed limit adds no units at once.
func (t *Tracker) Configure(now proto.Instant, limits map[proto.AccountID]Limit) {
	t.mu.Lock()
	defer t.mu.Unlock()
	share := t.share(now)
	for id, limit := range limits {
		b := t.buckets[id]
		if b == nil {
			t.buckets[id] = &bucket{limit: limit, level: float64(limit.Burst) * share, at: now, share: share}
			continue
		}
		t.refill(b, now, share)
		b.limit = limit
		b.level = min(b.level, float64(limit.Burst)*share)
	}
	for id := range t.buckets {
		if _, ok := limits[id]; !ok {
			delete(t.buckets, id)
		}
	}
}

// AddMember records that a router belongs to the fleet, whether it is heard or not.
func (t *Tracker) AddMember(now proto.Instant, id proto.RouterID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if id != t.self {
		t.member(now, id).knownAt = now
	}
}

// RemoveMember records that a router has stopped.
func (t *Tracker) RemoveMember(id proto.RouterID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.members, id)
}

func (t *Tracker) member(now proto.Instant, id proto.RouterID) *member {
	m := t.members[id]
	if m == nil {
		m = &member{knownAt: now, spent: map[proto.AccountID]int64{}}
		t.members[id] = m
	}
	return m
}

// Spend takes units from an account, or tells when to come back. An account
// without a limit may always spend.
func (t *Tracker) Spend(now proto.Instant, id proto.AccountID, units int64) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	share := t.share(now)
	b := t.buckets[id]
	if b == nil || b.limit.Rate <= 0 {
		return Decision{OK: true, Share: share}
	}
	t.refill(b, now, share)
	d := Decision{Balance: int64(b.level), Share: share}
	// A request larger than the burst could never pass; it takes a full bucket.
	need := min(float64(units), float64(b.limit.Burst)*share)
	need += b.untold(len(t.members))
	if b.level < need {
		d.RetryAfter = b.wait(need, share)
		return d
	}
	d.OK = true
	b.take(units)
	return d
}

// Refund gives back the units of a request that did not run.
func (t *Tracker) Refund(now proto.Instant, id proto.AccountID, units int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.buckets[id]
	if b == nil || b.limit.Rate <= 0 {
		return
	}
	share := t.share(now)
	t.refill(b, now, share)
	b.take(-units)
	b.level = min(b.level, float64(b.limit.Burst)*share)
}

// take moves units from the level to what this router has spent; a negative
// number gives them back.
func (b *bucket) take(units int64) {
	b.level -= float64(units)
	b.spent += units
	b.recent = max(0, b.recent+float64(units))
	b.own = max(0, b.own+float64(units))
}

// untold returns what the peers are expected to have spent and not told yet, by
// what this router has spent meanwhile and their proportion before. Callers that
// were refused come back to all routers at the same time. It is 0 for accounts
// inside their limit, as their peers' spending is covered by the burst.
func (b *bucket) untold(peers int) float64 {
	if !b.exceeded {
		return 0
	}
	ratio := float64(maxPeerRatio * peers)
	if b.own > 0 {
		ratio = min(ratio, b.peers/b.own)
	}
	return ratio * b.recent
}

// refill adds what has come in since the last time. A router that has just
// started begins with the burst of its share, and gets the rest of the burst as
// it hears the other members: otherwise all accounts would be refused after a
// restart of all routers.
func (t *Tracker) refill(b *bucket, now proto.Instant, share float64) {
	if share > b.share && now.Sub(t.started) < settleTime {
		b.level += float64(b.limit.Burst) * (share - b.share)
	}
	b.share = share
	elapsed := max(0, now.Sub(b.at)).Seconds()
	b.at = max(now, b.at)
	b.level = min(b.level+elapsed*float64(b.limit.Rate)*share, float64(b.limit.Burst)*share)
	b.exceeded = b.level < 0 || b.exceeded && b.level < recoveredLevel*float64(b.limit.Burst)*share
	b.recent *= math.Exp(-elapsed / untoldTime.Seconds())
	average := math.Exp(-elapsed / averageTime.Seconds())
	b.own *= average
	b.peers *= average
}

func (b *bucket) wait(need, share float64) time.Duration {
	rate := float64(b.limit.Rate) * share
	seconds := (need - b.level) / math.Max(rate, 1)
	return min(time.Duration(seconds*float64(time.Second)), waitCeiling)
}

// share returns the part of the limits that this router may use; mu is held.
func (t *Tracker) share(now proto.Instant) float64 {
	exchanging, all := 1, 1
	for id, m := range t.members {
		if now.Sub(m.knownAt) > forgetAfter {
			delete(t.members, id)
			continue
		}
		all++
		if m.heardWithin(now) && m.hearsUs(now) {
			exchanging++
		}
	}
	return float64(exchanging) / float64(all)
}

func (m *member) heardWithin(now proto.Instant) bool {
	return m.heard && now.Sub(m.heardAt) < hearingLife
}

func (m *member) hearsUs(now proto.Instant) bool {
	return m.listedAt != 0 && now.Sub(m.listedAt) < listingLife
}

// Counts returns the message for some peers: what has changed, or the whole
// list of members, with all counts if all is set.
func (t *Tracker) Counts(now proto.Instant, to *SentState, whole, all bool) Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := Counts{Router: t.self, Incarnation: t.life, Spent: map[proto.AccountID]int64{}, HasHeardMembers: whole}
	if whole && (to.wholes%repeatAfter == 0 || all) {
		clear(to.told)
		c.SpentComplete = true
	}
	for id, b := range t.buckets {
		if b.spent != to.told[id] {
			c.Spent[id] = b.spent
			to.told[id] = b.spent
		}
	}
	if !whole {
		return c
	}
	to.wholes++
	for _, id := range slices.Sorted(maps.Keys(t.members)) {
		if t.members[id].heardWithin(now) {
			c.HeardMembers = append(c.HeardMembers, HashRouter(id))
		}
	}
	return c
}

// Heard takes in a peer's message and subtracts what the peer has spent since
// its last one. Messages of an earlier life have no effect.
func (t *Tracker) Heard(now proto.Instant, c Counts) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.Router == t.self {
		return
	}
	m := t.member(now, c.Router)
	if c.Incarnation == m.pastLife && c.Incarnation != m.life {
		return
	}
	if c.Incarnation != m.life {
		m.pastLife, m.life = m.life, c.Incarnation
		m.spent = map[proto.AccountID]int64{}
		// A router that has just started does not know which part of a peer's
		// counts fell before its own start.
		m.older = !m.heard && now.Sub(t.started) < settleTime
	}
	m.heardAt, m.knownAt, m.heard = now, now, true
	if c.HasHeardMembers {
		m.listedAt = 0
		if slices.Contains(c.HeardMembers, HashRouter(t.self)) {
			m.listedAt = now
		}
	}
	share := t.share(now)
	for id, spent := range c.Spent {
		before, known := m.spent[id]
		m.spent[id] = spent
		b := t.buckets[id]
		if b == nil || !known && m.older {
			continue
		}
		delta := spent - before
		t.refill(b, now, share)
		b.peers += max(0, float64(delta))
		// The floor keeps counts that were held up by a partition from refusing
		// the account for long.
		b.level = max(min(b.level-float64(delta), float64(b.limit.Burst)*share), -float64(b.limit.Burst))
	}
	m.older = m.older && !c.SpentComplete
}

// Share returns the part of the limits that this router may use now, and the
// number of members that it knows, itself included.
func (t *Tracker) Share(now proto.Instant) (share float64, members int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	share = t.share(now)
	return share, len(t.members) + 1
}
