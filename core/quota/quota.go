// Package quota enforces a rate and burst per client account across all
// routers, without a coordinator and without a shared store.
//
// Each router counts the units that it has spent for each account since its
// start and sends the counts to its peers. Every router has a token bucket with
// the account's whole rate, and subtracts its own spending at once and that of
// its peers as their counts arrive. Counts are cumulative within one incarnation
// of a router, so the next message makes up for lost, duplicated and reordered
// ones.
//
// A router that receives nothing from a peer cannot know what that peer spends.
// It then scales rate and burst down to the fraction of members that it
// exchanges counts with, itself included. A router exchanges counts with a peer
// only while it hears the peer and the peer has recently listed it as heard, so
// both sides of a partition reduce their shares and the sum of the shares does
// not exceed the whole.
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
	// heardTimeout is how long a peer counts as heard after a message. Far peers
	// are sent every second message, and two of these may be lost in a row.
	heardTimeout = 6 * Interval
	// listedTimeout is how long a peer counts as hearing this router after listing
	// it in HeardMembers. Peers send that list every two seconds.
	listedTimeout = 5 * time.Second
	// fullCountsEvery is the number of messages with a member list after which
	// unchanged counts are sent again, in case a peer has lost them.
	fullCountsEvery = 5
	// memberTimeout is how long a member that is not heard keeps its share, since
	// a partitioned router goes on spending its own share.
	memberTimeout = 30 * time.Second
	// startupTime is the time after its own start in which a router treats the
	// first count from an older peer as spending from before that start. During this
	// time it is also credited the burst of its share, once the store or an older
	// peer has told which accounts are beyond their limits.
	startupTime = 2 * time.Second
	// assumedMembers is the number of members that a router assumes at least until it
	// has read their list.
	assumedMembers = 5
	// reportDelay is the time span of peers' spending that has not been reported
	// yet: far peers send in every second Interval.
	reportDelay = 2 * Interval
	// averagingTime is the time constant of the averages by which own and peers'
	// spending are compared.
	averagingTime = 2 * time.Second
	// maxPeerRatio bounds the estimate of peers' unreported spending, as a
	// multiple of what they would spend if all routers spent the same.
	maxPeerRatio = 4
	// recoveredFraction is the fraction of the burst that the level of an account beyond
	// its limit must reach to count as within its limit again.
	recoveredFraction = 0.25
	// maxRetryAfter bounds Decision.RetryAfter.
	maxRetryAfter = 10 * time.Second
)

// Limit is the token bucket limit of one account.
type Limit struct {
	// Rate is in units per second, Burst in units; a Rate of 0 means no limit.
	Rate, Burst int64
}

// Counts is the message by which a router reports its spending to its peers.
type Counts struct {
	Router proto.RouterID `json:"router"`
	// Incarnation differs between two starts of the same router. It need not
	// increase, as the time of day may jump back.
	Incarnation int64 `json:"life"`
	// Spent holds the units spent since the start of this incarnation, by account.
	// It may omit accounts whose count was sent before and has not changed.
	Spent map[proto.AccountID]int64 `json:"spent,omitempty"`
	// HeardMembers lists the members heard recently. It is valid, and may be
	// empty, only if HasHeardMembers is set.
	HeardMembers    []RouterHash `json:"hears,omitempty"`
	HasHeardMembers bool         `json:"whole,omitempty"`
	// SpentComplete is set if Spent omits no account.
	SpentComplete bool `json:"all,omitempty"`
	// AgeMillis is the time since the start of this incarnation; 0 if unknown.
	AgeMillis int64 `json:"age_ms,omitempty"`
	// Exceeded holds the levels of the accounts beyond their limits, for routers that
	// have just started. It is sent with HeardMembers, by routers that have not.
	Exceeded map[proto.AccountID]int64 `json:"exceeded,omitempty"`
}

// RouterHash identifies a router in lists of members. On a collision each of the
// two routers would believe itself heard when only the other is. In a fleet of
// 320 routers the probability of any collision is 1 in 80,000.
type RouterHash uint32

// HashRouter returns the hash of a router's name.
func HashRouter(id proto.RouterID) RouterHash { return RouterHash(xxhash.Sum64String(string(id))) }

// SentState records which counts have been sent to a set of peers, so that
// later messages contain only the changes.
type SentState struct {
	sent map[proto.AccountID]int64
	// memberLists is the number of messages with a member list sent so far.
	memberLists int
}

// NewSentState returns the state of peers that have been sent nothing.
func NewSentState() *SentState { return &SentState{sent: map[proto.AccountID]int64{}} }

// Decision is the result of Spend.
type Decision struct {
	OK bool
	// Balance is the account's balance before the request, in units.
	Balance int64
	// RetryAfter is the time until the balance suffices for the request, if the
	// account spends nothing else meanwhile. It is set only if OK is not.
	RetryAfter time.Duration
	// Share is the fraction of the account's limit that this router may use now.
	Share float64
}

// member is what this router knows about another router of the fleet.
type member struct {
	incarnation, previousIncarnation int64
	heardAt                          proto.Instant
	heard                            bool
	// listsSelfAt is when the member's last list arrived, if that list contained
	// this router; otherwise 0.
	listsSelfAt proto.Instant
	// lastSeenAt is when the member became known or was last heard.
	lastSeenAt proto.Instant
	// spent holds the last count received for each account.
	spent map[proto.AccountID]int64
	// baseline is set for a peer that may have started before this router, until
	// it has sent all its counts. Meanwhile the first count of each account is a
	// baseline of earlier spending and is not charged.
	baseline bool
}

type bucket struct {
	limit      Limit
	level      float64
	refilledAt proto.Instant
	// spent is what this router has spent since its start.
	spent int64
	// share is this router's share of the burst that the level accounts for.
	share float64
	// ownRecent is what this router has spent within about reportDelay.
	ownRecent float64
	// own and peers are what this router and its peers have spent within about
	// averagingTime.
	own, peers float64
	// exceeded is set while the account exceeds its limit: from a negative level or a
	// refusal until the level, less what is unreported, reaches recoveredFraction of the
	// burst.
	exceeded bool
}

// Tracker holds one router's buckets of all accounts and its view of the other
// routers. It is safe for concurrent use.
type Tracker struct {
	mu          sync.Mutex
	self        proto.RouterID
	incarnation int64
	started     proto.Instant
	members     map[proto.RouterID]*member
	// listed is set once the list of members was read.
	listed bool
	// informed is set once the store, or a peer that has not just started, has told
	// which accounts are beyond their limits.
	informed bool
	// configured is set once the limits of all accounts are known.
	configured bool
	buckets    map[proto.AccountID]*bucket
}

// New returns the tracker of a router that starts now and knows no members yet.
func New(now proto.Instant, self proto.RouterID, incarnation int64) *Tracker {
	return &Tracker{
		self: self, incarnation: incarnation, started: now,
		members: map[proto.RouterID]*member{},
		buckets: map[proto.AccountID]*bucket{},
	}
}

// Configure sets the limits of all accounts. A new account starts with a full
// burst, or with none while nobody has told whether it was spent before this router
// started; raising a limit does not add units at once.
func (t *Tracker) Configure(now proto.Instant, limits map[proto.AccountID]Limit) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.configured = true
	share := t.share(now)
	for id, limit := range limits {
		b := t.buckets[id]
		if b == nil {
			b = &bucket{limit: limit, refilledAt: now, share: share}
			if t.buckets[id] = b; t.informed {
				b.grantBurst()
			}
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

// AddMember records that a router belongs to the fleet, whether or not it is
// heard.
func (t *Tracker) AddMember(now proto.Instant, id proto.RouterID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if id != t.self {
		t.member(now, id).lastSeenAt = now
	}
}

// MembersListed records that the list of members was read, so that all are known.
func (t *Tracker) MembersListed() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listed = true
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
		m = &member{lastSeenAt: now, spent: map[proto.AccountID]int64{}}
		t.members[id] = m
	}
	return m
}

// Spend takes units from an account's bucket or, if the balance is too low,
// returns when to retry. An account without a limit may always spend.
func (t *Tracker) Spend(now proto.Instant, id proto.AccountID, units int64) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.spend(now, id, units)
}

// spend is Spend; mu must be held.
func (t *Tracker) spend(now proto.Instant, id proto.AccountID, units int64) Decision {
	share := t.share(now)
	b := t.buckets[id]
	if b == nil || b.limit.Rate <= 0 {
		return Decision{OK: true, Share: share}
	}
	t.refill(b, now, share)
	d := Decision{Balance: int64(b.level), Share: share}
	// A request larger than the burst would never be admitted, so it needs only a
	// full bucket; the balance then becomes negative.
	need := min(float64(units)+t.unreported(b, now), float64(b.limit.Burst)*share)
	if b.level < need {
		d.RetryAfter = b.retryAfter(need, share)
		b.exceeded = b.exceeded || t.informed && share == 1
		return d
	}
	d.OK = true
	b.charge(units)
	return d
}

// Refund returns the units of a request that did not run.
func (t *Tracker) Refund(now proto.Instant, id proto.AccountID, units int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.buckets[id]
	if b == nil || b.limit.Rate <= 0 {
		return
	}
	share := t.share(now)
	t.refill(b, now, share)
	b.charge(-units)
	b.level = min(b.level, float64(b.limit.Burst)*share)
}

// charge subtracts units from the level and adds them to this router's spending.
// A negative number refunds them.
func (b *bucket) charge(units int64) {
	b.level -= float64(units)
	b.spent += units
	b.ownRecent = max(0, b.ownRecent+float64(units))
	b.own = max(0, b.own+float64(units))
}

// unreported estimates what the peers have spent but not yet reported: this
// router's spending within reportDelay, multiplied by the ratio of the peers'
// spending to its own within averagingTime. It matters because an account's surge
// reaches all routers at once, and refused callers retry at all of them together. It
// is 0 for an account within its limit, since the burst covers it.
func (t *Tracker) unreported(b *bucket, now proto.Instant) float64 {
	if !b.exceeded {
		return 0
	}
	peers := float64(len(t.members))
	ratio := maxPeerRatio * peers
	if b.own > 0 {
		ratio = min(ratio, b.peers/b.own)
	}
	if now.Sub(t.started) < startupTime { // peers have reported little yet
		ratio = max(ratio, peers)
	}
	return ratio * b.ownRecent
}

// refill adds the units accrued since the last refill. A router that has just
// started is credited the rest of the burst as it hears the other members:
// otherwise accounts within their limits would be refused after a restart of all
// routers.
func (t *Tracker) refill(b *bucket, now proto.Instant, share float64) {
	due := 0.0 // burst that the router is still to be credited
	if t.informed && now.Sub(t.started) < startupTime && !b.exceeded {
		b.level += float64(b.limit.Burst) * max(0, share-b.share)
		due = float64(b.limit.Burst) * (1 - share)
	}
	b.share = share
	elapsed := max(0, now.Sub(b.refilledAt)).Seconds()
	b.refilledAt = max(now, b.refilledAt)
	b.level = min(b.level+elapsed*float64(b.limit.Rate)*share, float64(b.limit.Burst)*share)
	b.ownRecent *= math.Exp(-elapsed / reportDelay.Seconds())
	average := math.Exp(-elapsed / averagingTime.Seconds())
	b.own *= average
	b.peers *= average
	surplus := b.level - t.unreported(b, now)
	b.exceeded = b.level+due < 0 || b.exceeded && surplus <= recoveredFraction*float64(b.limit.Burst)*share
}

func (b *bucket) retryAfter(need, share float64) time.Duration {
	rate := float64(b.limit.Rate) * share
	seconds := (need - b.level) / math.Max(rate, 1)
	return min(time.Duration(seconds*float64(time.Second)), maxRetryAfter)
}

// share returns the fraction of the limits that this router may use. The caller
// must hold mu.
func (t *Tracker) share(now proto.Instant) float64 {
	exchanging, all := 1, 1
	for id, m := range t.members {
		if now.Sub(m.lastSeenAt) > memberTimeout {
			delete(t.members, id)
			continue
		}
		all++
		if m.heardRecently(now) && m.hearsSelf(now) {
			exchanging++
		}
	}
	if !t.listed {
		all = max(all, assumedMembers)
	}
	return float64(exchanging) / float64(all)
}

func (m *member) heardRecently(now proto.Instant) bool {
	return m.heard && now.Sub(m.heardAt) < heardTimeout
}

func (m *member) hearsSelf(now proto.Instant) bool {
	return m.listsSelfAt != 0 && now.Sub(m.listsSelfAt) < listedTimeout
}

// Counts returns the next message for the peers that state belongs to, and
// records in state what it contains. It holds the counts that have changed. With
// withMembers it also lists the heard members, and with complete as well, or in
// every fullCountsEvery-th such message, all counts.
func (t *Tracker) Counts(now proto.Instant, state *SentState, withMembers, complete bool) Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	age := now.Sub(t.started)
	c := Counts{
		Router: t.self, Incarnation: t.incarnation, Spent: map[proto.AccountID]int64{}, HasHeardMembers: withMembers,
		AgeMillis: age.Milliseconds(),
	}
	if withMembers && (state.memberLists%fullCountsEvery == 0 || complete) {
		clear(state.sent)
		c.SpentComplete = true
	}
	for id, b := range t.buckets {
		if b.spent != state.sent[id] {
			c.Spent[id] = b.spent
			state.sent[id] = b.spent
		}
	}
	if !withMembers {
		return c
	}
	state.memberLists++
	if age >= startupTime {
		c.Exceeded = t.exceededLevels(now)
	}
	for _, id := range slices.Sorted(maps.Keys(t.members)) {
		if t.members[id].heardRecently(now) {
			c.HeardMembers = append(c.HeardMembers, HashRouter(id))
		}
	}
	return c
}

// Merge applies a message from a peer and subtracts what the peer has spent since
// its previous one. Messages of the peer's previous incarnation are ignored.
func (t *Tracker) Merge(now proto.Instant, c Counts) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.Router == t.self {
		return
	}
	m := t.member(now, c.Router)
	if c.Incarnation == m.previousIncarnation && c.Incarnation != m.incarnation {
		return
	}
	if c.Incarnation != m.incarnation {
		m.previousIncarnation, m.incarnation = m.incarnation, c.Incarnation
		m.spent = map[proto.AccountID]int64{}
		// A router that has just started cannot tell how much of an older peer's
		// counts was spent before its own start.
		age := now.Sub(t.started)
		isOlder := c.AgeMillis == 0 || c.AgeMillis > age.Milliseconds()+Interval.Milliseconds()
		m.baseline = !m.heard && age < startupTime && isOlder
	}
	m.heardAt, m.lastSeenAt, m.heard = now, now, true
	if c.HasHeardMembers {
		m.listsSelfAt = 0
		if slices.Contains(c.HeardMembers, HashRouter(t.self)) {
			m.listsSelfAt = now
		}
	}
	share := t.share(now)
	for id, spent := range c.Spent {
		before, known := m.spent[id]
		m.spent[id] = spent
		b := t.buckets[id]
		if b == nil || !known && m.baseline {
			continue
		}
		delta := spent - before
		t.refill(b, now, share)
		b.peers += max(0, float64(delta))
		// The lower bound keeps an account from being refused for long when counts
		// delayed by a partition arrive all at once.
		b.level = max(min(b.level-float64(delta), float64(b.limit.Burst)*share), -float64(b.limit.Burst))
	}
	m.baseline = m.baseline && !c.SpentComplete
	if c.HasHeardMembers && c.AgeMillis >= startupTime.Milliseconds() {
		t.adoptExceeded(now, c.Exceeded)
	}
}

// Share returns the fraction of the limits that this router may use now, and the
// number of members that it knows, including itself.
func (t *Tracker) Share(now proto.Instant) (share float64, members int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	share = t.share(now)
	return share, len(t.members) + 1
}
