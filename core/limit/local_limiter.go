package limit

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/kumquatsill/kumquatsill/core/check"
	"github.com/kumquatsill/kumquatsill/core/note"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

const (
	// MaxWait bounds how long a request may wait for tokens.
	MaxWait = time.Second
	// replyTimeout is how long a holder has to answer before others are asked.
	replyTimeout = 100 * time.Millisecond
	// unresponsivePause is how long a holder that did not answer is left out.
	unresponsivePause = time.Second
	// balanceMaxAge is how long a holder's reported balance is relied on in a refusal.
	balanceMaxAge = 250 * time.Millisecond
	// holdTime is how long unused tokens of a grant stay here. It is shorter
	// than GrantTTL so that tokens are returned instead of lost.
	holdTime = 700 * time.Millisecond
	// highBalanceHoldTime replaces holdFor, and plentyReserveTime reserveTime, while
	// the holder's balance is at least half of the part's burst. Tokens kept
	// here starve nobody then, and each message saved counts towards the limit
	// of 3 KB/s of control traffic per node.
	highBalanceHoldTime    = GrantTTL - 500*time.Millisecond
	highBalanceReserveTime = 6 * time.Second
	// minPrefetchRate is the number of requests per second from which the reserve
	// is filled up before it is used up.
	minPrefetchRate = 4.0
	// negligibleDivisor makes unused tokens below 1/negligibleDivisor of the burst not worth
	// a message of their own in times of plenty, and spent grants below it not
	// worth reporting: the holder drops them when they expire.
	negligibleDivisor = 64
	// refundDelay is how long refunds are gathered before they are sent.
	refundDelay = 500 * time.Millisecond
	// demandTimeConstant is the time constant of the averages of demand.
	demandTimeConstant = 5 * time.Second
	// reserveTime is the time of demand for which tokens are held in reserve.
	reserveTime = 250 * time.Millisecond
	// reserveInterval keeps a wallet from asking a nearly empty holder for a reserve
	// again with every reply.
	reserveInterval = reserveTime / 2
	// reportDivisor makes spent grants worth reporting by themselves once they
	// exceed 1/reportDivisor of the burst: until reported they hold off refill.
	reportDivisor = 32
)

// Reasons of decisions, for audit records.
const (
	ReasonAdmitted   = "within rate"
	ReasonWaiting    = "waiting for a grant"
	ReasonExhausted  = "rate exhausted"
	ReasonAboveBurst = "request larger than burst"
	ReasonUnknown    = "unknown account"
)

// LocalLimiterCounts counts what a Wallet did: tokens, decisions and messages.
type LocalLimiterCounts struct {
	Spent, Granted, Returned, Refunded, Transferred, Expired int64
	Admitted, Waited, Refused                                int64
	Requests, StaleReplies                                   int64
}

// limiterCounters are bumped on the request path too.
type limiterCounters struct {
	spent, granted, returned, refunded, transferred, expired atomic.Int64
	admitted, waited, refused                                atomic.Int64
	requests, stale                                          atomic.Int64
}

// grant is a number of tokens that may be spent here until expires.
type grant struct {
	source    int
	call      uint64
	left      int64
	total     int64
	requested proto.Instant
	expires   proto.Instant
}

// account is one client account's state at one router.
type account struct {
	mu     sync.Mutex
	limit  note.Account
	group  int
	slot   *bucket
	grants []grant
	// sources are the holders of the Parts parts, then the owners of slots.
	sources []source
	// need is what waiting requests lack beyond what is already requested for.
	need, requested int64
	refund          int64
	refundDue       proto.Instant
	queued          bool
	active          bool
	// highBalance is set while the last reply told of at least half of the part's burst.
	highBalance   bool
	tokenRate     float64
	requestRate   float64
	demandUpdated proto.Instant
	// nextReserveRequest is the earliest next request for a reserve.
	nextReserveRequest proto.Instant
}

// LocalLimiter is a router's side of the limits. Spend and Refund are safe for
// concurrent use by the request path; all other methods belong to the router's
// control machine, which also delivers messages between the LocalLimiter and a
// Holder on the same router.
type LocalLimiter struct {
	proto.Outbox
	// OnUrgent, if set before use, is called by Spend when the control machine
	// should call Tick without delay. It must not call back into the Wallet.
	OnUrgent func()
	// Checks, if set before use, counts checks of the invariant rate-limit.
	Checks *check.Monitor

	self           proto.RouterID
	stamp          proto.Stamp
	accounts       atomic.Pointer[map[proto.AccountID]*account]
	holders        map[Lease]proto.RouterID
	view           SlotView
	ownSlot        int
	slotUsableFrom proto.Instant
	// slotUsableUntil is the instant from which the static share may not be spent.
	slotUsableUntil atomic.Int64

	urgentMu sync.Mutex
	urgent   []*account
	active   map[*account]struct{}
	ready    []proto.AccountID
	calls    uint64
	// callAccounts maps each call that may still get a reply to its account.
	callAccounts map[uint64]*account
	refundSeq    uint64
	wake         proto.Instant
	counters     limiterCounters
}

var _ Limiter = (*LocalLimiter)(nil)

// NewLocalLimiter returns a wallet without tokens. self names this incarnation of
// the router, so that call numbers never repeat.
func NewLocalLimiter(self proto.RouterID) *LocalLimiter {
	w := &LocalLimiter{
		Outbox:       proto.NewOutbox(proto.RouterAddr(self)),
		self:         self,
		active:       map[*account]struct{}{},
		callAccounts: map[uint64]*account{},
		ownSlot:      -1,
		wake:         proto.Never,
	}
	w.accounts.Store(&map[proto.AccountID]*account{})
	return w
}

// SetStamp sets the stamp of outgoing messages.
func (w *LocalLimiter) SetStamp(s proto.Stamp) { w.stamp = s }

// SetAccounts replaces the accounts. A change of rate or burst adds no tokens.
func (w *LocalLimiter) SetAccounts(now proto.Instant, accounts map[proto.AccountID]note.Account) {
	old := *w.accounts.Load()
	next := make(map[proto.AccountID]*account, len(accounts))
	for id, limit := range accounts {
		a, ok := old[id]
		if !ok {
			a = &account{group: Group(id), demandUpdated: now}
		}
		a.mu.Lock()
		a.limit = limit
		a.limit.ID = id
		w.applySlot(now, a)
		w.applySources(a)
		a.mu.Unlock()
		next[id] = a
	}
	w.accounts.Store(&next)
}

// SetHolders says which router holds each lease; a missing lease has no holder.
func (w *LocalLimiter) SetHolders(holders map[Lease]proto.RouterID) {
	w.holders = holders
	for _, a := range *w.accounts.Load() {
		a.mu.Lock()
		w.applySources(a)
		a.mu.Unlock()
	}
}

// SetSlots gives the present view of the static slots. It must be called with
// each new proof of freshness: without one for FreshFor, and without a general
// outage, the static share is not spent.
func (w *LocalLimiter) SetSlots(now proto.Instant, view SlotView) {
	until := view.ReadAt.Add(MaxViewAge)
	if view.Outage {
		until = proto.Never
	}
	// Stored last: a slot that was lost must be gone before the view counts as
	// fresh again.
	defer w.slotUsableUntil.Store(int64(until))
	if slices.Equal(w.view.Slots, view.Slots) {
		w.view = view
		return
	}
	w.resetOwnSlot(now, view)
	w.view = view
	for _, a := range *w.accounts.Load() {
		a.mu.Lock()
		w.applySlot(now, a)
		w.applySources(a)
		a.mu.Unlock()
	}
}

// resetOwnSlot starts an empty slot if this router's claim or the number of slots
// changed.
func (w *LocalLimiter) resetOwnSlot(now proto.Instant, view SlotView) {
	slot := -1
	for i, s := range view.Slots {
		if s.Owner == w.self {
			slot = i
			break
		}
	}
	same := slot == w.ownSlot && len(view.Slots) == len(w.view.Slots)
	if same && (slot < 0 || view.Slots[slot] == w.view.Slots[slot]) {
		return
	}
	w.ownSlot = slot
	w.slotUsableFrom = now.Add(SlotChangeDelay)
	for _, a := range *w.accounts.Load() {
		a.mu.Lock()
		a.slot = nil
		a.mu.Unlock()
	}
}

func (w *LocalLimiter) applySlot(now proto.Instant, a *account) {
	if w.ownSlot < 0 {
		return
	}
	slots := max(len(w.view.Slots), w.ownSlot+1)
	rate, burst := slotLimit(a.limit, slots)
	if a.slot == nil {
		// A withdrawn account may be back while transfers are still out.
		a.slot = newBucket(rate, burst, max(w.slotUsableFrom, now.Add(grantLifetime)))
		return
	}
	a.slot.setLimit(now, rate, burst)
}

func (w *LocalLimiter) applySources(a *account) {
	for len(a.sources) < Parts+len(w.view.Slots) {
		a.sources = append(a.sources, source{})
	}
	for i := range a.sources {
		var router proto.RouterID
		if i < Parts {
			router = w.holders[Lease{Group: a.group, Part: i}]
		} else if slot := i - Parts; slot < len(w.view.Slots) {
			router = w.view.Slots[slot].Owner
		}
		if i >= Parts && router == w.self {
			router = ""
		}
		a.sources[i].setRouter(router)
	}
}

// Spend implements Limiter.
func (w *LocalLimiter) Spend(now proto.Instant, id proto.AccountID, tokens int64) Decision {
	a, ok := (*w.accounts.Load())[id]
	if !ok {
		w.counters.refused.Add(1)
		return Decision{Reason: ReasonUnknown, RetryAfter: time.Second}
	}
	a.mu.Lock()
	d, urgent := w.spendLocked(now, a, max(0, tokens))
	a.mu.Unlock()
	if urgent {
		w.queue(a)
	}
	return d
}

func (w *LocalLimiter) spendLocked(now proto.Instant, a *account, tokens int64) (Decision, bool) {
	pool := w.pool(now, a)
	if pool >= tokens {
		missing := w.deduct(now, a, tokens)
		w.Checks.Check(check.RateLimit, missing == 0, func() string {
			return string(a.limit.ID) + ": admitted without tokens"
		})
		a.recordDemand(now, tokens)
		w.counters.spent.Add(tokens)
		w.counters.admitted.Add(1)
		reserve := a.reserve(now)
		low := reserve > 0 && pool-tokens < a.lowWatermark(reserve)
		return Decision{OK: true, Reason: ReasonAdmitted, State: a.state(now, pool-tokens)}, a.enqueue(low || !a.active)
	}
	d := Decision{State: a.state(now, pool)}
	if tokens > a.limit.Burst {
		d.Reason, d.RetryAfter = ReasonAboveBurst, a.refillTime(tokens)
		w.counters.refused.Add(1)
		return d, false
	}
	reachable := pool + a.totalAvailable(now)
	d.RetryAfter = max(time.Millisecond, a.refillTime(tokens-reachable))
	if reachable < tokens && a.requested == 0 {
		d.Reason = ReasonExhausted
		w.counters.refused.Add(1)
		return d, false
	}
	d.Reason, d.Wait = ReasonWaiting, replyTimeout
	w.counters.waited.Add(1)
	a.need += tokens
	return d, a.enqueue(true)
}

// enqueue reports whether the account must be put on the urgent list.
func (a *account) enqueue(wanted bool) bool {
	if !wanted || a.queued {
		return false
	}
	a.queued = true
	return true
}

func (w *LocalLimiter) queue(a *account) {
	w.urgentMu.Lock()
	w.urgent = append(w.urgent, a)
	w.urgentMu.Unlock()
	if w.OnUrgent != nil {
		w.OnUrgent()
	}
}

// pool drops what has expired and returns the tokens that may be spent here.
func (w *LocalLimiter) pool(now proto.Instant, a *account) int64 {
	total := w.slotTokens(now, a)
	for i := range a.grants {
		g := &a.grants[i]
		if now >= g.expires {
			w.counters.expired.Add(g.left)
			g.left = 0
		}
		total += g.left
	}
	return total
}

func (w *LocalLimiter) slotTokens(now proto.Instant, a *account) int64 {
	if a.slot == nil || int64(now) >= w.slotUsableUntil.Load() {
		return 0
	}
	a.slot.advance(now)
	return a.slot.wholeTokens()
}

// deduct spends tokens that pool found: first static tokens above half of the
// slot's burst, whose refill would be lost, then grants, then the rest. It
// returns how many tokens were missing.
func (w *LocalLimiter) deduct(now proto.Instant, a *account, tokens int64) int64 {
	static := w.slotTokens(now, a)
	if static > 0 {
		half := a.slot.burst / 2 / microPerToken
		tokens -= a.slot.deduct(min(tokens, static-half))
	}
	for i := range a.grants {
		n := min(tokens, a.grants[i].left)
		a.grants[i].left -= n
		tokens -= n
	}
	if tokens > 0 && static > 0 {
		tokens -= a.slot.deduct(tokens)
	}
	return tokens
}

// recordDemand updates the averages of demand.
func (a *account) recordDemand(now proto.Instant, tokens int64) {
	decay := a.decay(now)
	a.tokenRate = a.tokenRate*decay + float64(tokens)/demandTimeConstant.Seconds()
	a.requestRate = a.requestRate*decay + 1/demandTimeConstant.Seconds()
	a.demandUpdated = max(a.demandUpdated, now)
}

// decay is the weight that the averages still have at now.
func (a *account) decay(now proto.Instant) float64 {
	elapsed := max(0, now.Sub(a.demandUpdated))
	return math.Exp(-elapsed.Seconds() / demandTimeConstant.Seconds())
}

// reserve is the number of tokens to hold ahead of demand. Accounts with less
// than one request in that time get none: their tokens would come back unused.
func (a *account) reserve(now proto.Instant) int64 {
	ahead := reserveTime.Seconds()
	if a.highBalance {
		ahead = highBalanceReserveTime.Seconds()
	}
	ahead *= a.decay(now)
	if a.requestRate*ahead < 1 {
		return 0
	}
	return int64(a.tokenRate * ahead)
}

// lowWatermark is the number of tokens below which the reserve is filled up: half
// of a short reserve, and the same time of demand of a long one.
func (a *account) lowWatermark(reserve int64) int64 {
	if a.highBalance {
		return reserve / 32
	}
	return reserve / 2
}

func (a *account) maxHold() time.Duration {
	if a.highBalance {
		return highBalanceHoldTime
	}
	return holdTime
}

func (a *account) refillTime(tokens int64) time.Duration {
	if tokens <= 0 || a.limit.Rate <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / float64(a.limit.Rate) * float64(time.Second))
}

func (a *account) state(now proto.Instant, pool int64) proto.LimitState {
	remaining := min(a.limit.Burst, pool+a.totalReported(now))
	return proto.LimitState{
		Burst:     a.limit.Burst,
		Remaining: remaining,
		Reset:     a.refillTime(a.limit.Burst - remaining),
	}
}

// Refund implements Limiter. The tokens go back to a holder, not into this
// wallet: a holder can tell whether the bucket has room for them.
func (w *LocalLimiter) Refund(now proto.Instant, id proto.AccountID, tokens int64) {
	a, ok := (*w.accounts.Load())[id]
	if !ok || tokens <= 0 {
		return
	}
	a.mu.Lock()
	if a.refund == 0 {
		a.refundDue = now.Add(refundDelay)
	}
	a.refund += tokens
	queue := a.enqueue(!a.active)
	a.mu.Unlock()
	if queue {
		w.queue(a)
	}
}

// Counts returns what the wallet did so far.
func (w *LocalLimiter) Counts() LocalLimiterCounts {
	c := &w.counters
	return LocalLimiterCounts{
		Spent: c.spent.Load(), Granted: c.granted.Load(), Returned: c.returned.Load(),
		Refunded: c.refunded.Load(), Transferred: c.transferred.Load(), Expired: c.expired.Load(),
		Admitted: c.admitted.Load(), Waited: c.waited.Load(), Refused: c.refused.Load(),
		Requests: c.requests.Load(), StaleReplies: c.stale.Load(),
	}
}
