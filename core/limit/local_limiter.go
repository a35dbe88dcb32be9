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
	// replyTimeout is how long a request for tokens may remain without a reply
	// before other sources are asked.
	replyTimeout = 100 * time.Millisecond
	// unresponsivePause is how long a holder that did not reply in time is not
	// asked again.
	unresponsivePause = time.Second
	// balanceMaxAge is how long a holder's reported balance is used to decide
	// whether to refuse.
	balanceMaxAge = 250 * time.Millisecond
	// holdTime is how long unused tokens of a grant are kept. It is shorter than
	// GrantTTL so that tokens are returned before they expire.
	holdTime = 700 * time.Millisecond
	// highBalanceHoldTime and highBalanceReserveTime replace holdTime and
	// reserveTime while the holder's balance is at least half of the part's burst.
	// Tokens kept here then starve no other router, and fewer messages help to
	// stay within 3 KB/s of control traffic per node.
	highBalanceHoldTime    = GrantTTL - 500*time.Millisecond
	highBalanceReserveTime = 6 * time.Second
	// minPrefetchRate is the number of requests per second from which the reserve
	// is refilled before it is used up.
	minPrefetchRate = 4.0
	// negligibleDivisor applies while the holder's balance is high: up to
	// 1/negligibleDivisor of the burst, unused tokens are not returned by a message
	// of their own, and used-up grants below it are not reported at all; the holder
	// drops them when they expire.
	negligibleDivisor = 64
	// refundDelay is how long refunds are batched before they are sent.
	refundDelay = 500 * time.Millisecond
	// demandTimeConstant is the time constant of the moving averages of demand.
	demandTimeConstant = 5 * time.Second
	// reserveTime is the time span of expected demand for which tokens are held in
	// reserve.
	reserveTime = 250 * time.Millisecond
	// reserveInterval is the minimum time between two requests for a reserve.
	// Without it, every reply from a nearly empty holder would cause another one.
	reserveInterval = reserveTime / 2
	// reportDivisor sets the threshold, 1/reportDivisor of the burst, above which
	// spent tokens of closed grants are reported by a message of their own: a bucket
	// does not refill tokens that it counts as outstanding.
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

// LocalLimiterCounts holds a LocalLimiter's counters.
type LocalLimiterCounts struct {
	// Spent to Expired count tokens; Transferred those given to other routers.
	Spent, Granted, Returned, Refunded, Transferred, Expired int64
	// Admitted, Waited and Refused count results of Spend.
	Admitted, Waited, Refused int64
	// Requests and StaleReplies count messages.
	Requests, StaleReplies int64
}

// limiterCounters are atomic because the request path updates them as well.
type limiterCounters struct {
	spent, granted, returned, refunded, transferred, expired atomic.Int64
	admitted, waited, refused                                atomic.Int64
	requests, stale                                          atomic.Int64
}

// grant holds granted tokens, which may be spent until expires.
type grant struct {
	// source is the index into account.sources.
	source int
	call   uint64
	// left of total tokens are unspent.
	left  int64
	total int64
	// requested is when the grant was requested.
	requested proto.Instant
	expires   proto.Instant
}

// account is the state of one client account at one router.
type account struct {
	mu    sync.Mutex
	limit note.Account
	group int
	// slot is the bucket of this router's own static slot; nil without a slot.
	slot   *bucket
	grants []grant
	// sources are the holders of the Parts parts, followed by the owners of slots.
	sources []source
	// need is the number of tokens that waiting requests lack and that have not
	// been requested yet, requested the number in requests awaiting a reply.
	need, requested int64
	// refund is the number of refunded tokens to be sent to a holder at refundDue.
	refund    int64
	refundDue proto.Instant
	// queued and active are set while the account is in LocalLimiter.urgent and
	// LocalLimiter.active.
	queued bool
	active bool
	// highBalance is set if the last reply from a holder reported at least half of
	// the part's burst.
	highBalance bool
	// tokenRate and requestRate are moving averages of demand per second as of
	// demandUpdated.
	tokenRate     float64
	requestRate   float64
	demandUpdated proto.Instant
	// nextReserveRequest is the earliest time of the next request for a reserve.
	nextReserveRequest proto.Instant
}

// LocalLimiter enforces the limits at one router. Spend and Refund are safe for
// concurrent use by the request path; all other methods must be called only by
// the router's control machine, which also delivers messages between the
// LocalLimiter and a Holder on the same router.
type LocalLimiter struct {
	proto.Outbox
	// OnTickNeeded, if set before use, is called by Spend and Refund when the control
	// machine should call Tick without delay. It must not call the LocalLimiter.
	OnTickNeeded func()
	// Checks, if set before use, counts checks of the invariant rate-limit.
	Checks *check.Monitor

	self     proto.RouterID
	stamp    proto.Stamp
	accounts atomic.Pointer[map[proto.AccountID]*account]
	holders  map[Lease]proto.RouterID
	view     SlotView
	// ownSlot is the index of this router's slot, or -1.
	ownSlot int
	// slotUsableFrom is when the buckets of the own slot start to refill.
	slotUsableFrom proto.Instant
	// slotUsableUntil is when tokens of the own slot can no longer be spent.
	slotUsableUntil atomic.Int64

	// urgentMu guards urgent, the accounts that need a Tick without delay.
	urgentMu sync.Mutex
	urgent   []*account
	// active holds the accounts that Tick processes.
	active map[*account]struct{}
	// ready is the result of the next TakeReady.
	ready []proto.AccountID
	// calls is the last call number used.
	calls uint64
	// callAccounts maps each call that may still get a reply to its account.
	callAccounts map[uint64]*account
	// refundSeq is the last refund sequence number used.
	refundSeq uint64
	wake      proto.Instant
	counters  limiterCounters
}

var _ Limiter = (*LocalLimiter)(nil)

// NewLocalLimiter returns a limiter without tokens. self must be unique to this
// incarnation of the router, so that holders never see a call number twice.
func NewLocalLimiter(self proto.RouterID) *LocalLimiter {
	l := &LocalLimiter{
		Outbox:       proto.NewOutbox(proto.RouterAddr(self)),
		self:         self,
		active:       map[*account]struct{}{},
		callAccounts: map[uint64]*account{},
		ownSlot:      -1,
		wake:         proto.Never,
	}
	l.accounts.Store(&map[proto.AccountID]*account{})
	return l
}

// SetStamp sets the stamp of outgoing messages.
func (l *LocalLimiter) SetStamp(s proto.Stamp) { l.stamp = s }

// SetAccounts replaces the accounts. A change of rate or burst adds no tokens.
func (l *LocalLimiter) SetAccounts(now proto.Instant, accounts map[proto.AccountID]note.Account) {
	old := *l.accounts.Load()
	next := make(map[proto.AccountID]*account, len(accounts))
	for id, limit := range accounts {
		a, ok := old[id]
		if !ok {
			a = &account{group: Group(id), demandUpdated: now}
		}
		a.mu.Lock()
		a.limit = limit
		a.limit.ID = id
		l.applySlot(now, a)
		l.applySources(a)
		a.mu.Unlock()
		next[id] = a
	}
	l.accounts.Store(&next)
}

// SetHolders sets the router that holds each lease; a missing lease has no
// holder.
func (l *LocalLimiter) SetHolders(holders map[Lease]proto.RouterID) {
	l.holders = holders
	for _, a := range *l.accounts.Load() {
		a.mu.Lock()
		l.applySources(a)
		a.mu.Unlock()
	}
}

// SetSlots sets the view of the static slots. It must be called whenever ReadAt
// advances: unless Outage is set, tokens of the own slot are not spent once the
// view is older than MaxViewAge.
func (l *LocalLimiter) SetSlots(now proto.Instant, view SlotView) {
	until := view.ReadAt.Add(MaxViewAge)
	if view.Outage {
		until = proto.Never
	}
	// Stored last: a slot that was lost must be removed before slots become usable
	// again.
	defer l.slotUsableUntil.Store(int64(until))
	if slices.Equal(l.view.Slots, view.Slots) {
		l.view = view
		return
	}
	l.resetOwnSlot(now, view)
	l.view = view
	for _, a := range *l.accounts.Load() {
		a.mu.Lock()
		l.applySlot(now, a)
		l.applySources(a)
		a.mu.Unlock()
	}
}

// resetOwnSlot removes all buckets of the own slot if this router's claim or the
// number of slots has changed.
func (l *LocalLimiter) resetOwnSlot(now proto.Instant, view SlotView) {
	slot := -1
	for i, s := range view.Slots {
		if s.Owner == l.self {
			slot = i
			break
		}
	}
	same := slot == l.ownSlot && len(view.Slots) == len(l.view.Slots)
	if same && (slot < 0 || view.Slots[slot] == l.view.Slots[slot]) {
		return
	}
	l.ownSlot = slot
	l.slotUsableFrom = now.Add(SlotChangeDelay)
	for _, a := range *l.accounts.Load() {
		a.mu.Lock()
		a.slot = nil
		a.mu.Unlock()
	}
}

func (l *LocalLimiter) applySlot(now proto.Instant, a *account) {
	if l.ownSlot < 0 {
		return
	}
	slots := max(len(l.view.Slots), l.ownSlot+1)
	rate, burst := slotLimit(a.limit, slots)
	if a.slot == nil {
		// The account may have been removed and added again while transfers from its
		// former bucket are outstanding.
		a.slot = newBucket(rate, burst, max(l.slotUsableFrom, now.Add(grantLifetime)))
		return
	}
	a.slot.setLimit(now, rate, burst)
}

func (l *LocalLimiter) applySources(a *account) {
	for len(a.sources) < Parts+len(l.view.Slots) {
		a.sources = append(a.sources, source{})
	}
	for i := range a.sources {
		var router proto.RouterID
		if i < Parts {
			router = l.holders[Lease{Group: a.group, Part: i}]
		} else if slot := i - Parts; slot < len(l.view.Slots) {
			router = l.view.Slots[slot].Owner
		}
		if i >= Parts && router == l.self {
			router = ""
		}
		a.sources[i].setRouter(router)
	}
}

// Spend implements Limiter.
func (l *LocalLimiter) Spend(now proto.Instant, id proto.AccountID, tokens int64) Decision {
	a, ok := (*l.accounts.Load())[id]
	if !ok {
		l.counters.refused.Add(1)
		return Decision{Reason: ReasonUnknown, RetryAfter: time.Second}
	}
	a.mu.Lock()
	d, urgent := l.spendLocked(now, a, max(0, tokens))
	a.mu.Unlock()
	if urgent {
		l.queue(a)
	}
	return d
}

func (l *LocalLimiter) spendLocked(now proto.Instant, a *account, tokens int64) (Decision, bool) {
	spendable := l.spendable(now, a)
	if spendable >= tokens {
		missing := l.deduct(now, a, tokens)
		l.Checks.Check(check.RateLimit, missing == 0, func() string {
			return string(a.limit.ID) + ": admitted without tokens"
		})
		a.recordDemand(now, tokens)
		l.counters.spent.Add(tokens)
		l.counters.admitted.Add(1)
		reserve := a.reserve(now)
		low := reserve > 0 && spendable-tokens < a.lowWatermark(reserve)
		return Decision{OK: true, Reason: ReasonAdmitted, State: a.state(now, spendable-tokens)}, a.enqueue(low || !a.active)
	}
	d := Decision{State: a.state(now, spendable)}
	if tokens > a.limit.Burst {
		d.Reason, d.RetryAfter = ReasonAboveBurst, a.refillTime(tokens)
		l.counters.refused.Add(1)
		return d, false
	}
	reachable := spendable + a.totalAvailable(now)
	d.RetryAfter = max(time.Millisecond, a.refillTime(tokens-reachable))
	if reachable < tokens && a.requested == 0 {
		d.Reason = ReasonExhausted
		l.counters.refused.Add(1)
		return d, false
	}
	d.Reason, d.Wait = ReasonWaiting, replyTimeout
	l.counters.waited.Add(1)
	a.need += tokens
	return d, a.enqueue(true)
}

// enqueue reports whether the account must be added to the urgent list, and marks
// it as queued if so.
func (a *account) enqueue(wanted bool) bool {
	if !wanted || a.queued {
		return false
	}
	a.queued = true
	return true
}

func (l *LocalLimiter) queue(a *account) {
	l.urgentMu.Lock()
	l.urgent = append(l.urgent, a)
	l.urgentMu.Unlock()
	if l.OnTickNeeded != nil {
		l.OnTickNeeded()
	}
}

// spendable drops expired grants and returns the number of tokens that can be
// spent locally.
func (l *LocalLimiter) spendable(now proto.Instant, a *account) int64 {
	total := l.slotTokens(now, a)
	for i := range a.grants {
		g := &a.grants[i]
		if now >= g.expires {
			l.counters.expired.Add(g.left)
			g.left = 0
		}
		total += g.left
	}
	return total
}

func (l *LocalLimiter) slotTokens(now proto.Instant, a *account) int64 {
	if a.slot == nil || int64(now) >= l.slotUsableUntil.Load() {
		return 0
	}
	a.slot.advance(now)
	return a.slot.wholeTokens()
}

// deduct spends tokens that spendable counted: first static tokens above half
// of the slot's burst, since refills of a full slot are lost, then grants,
// then the remaining static tokens. It returns how many tokens were missing.
func (l *LocalLimiter) deduct(now proto.Instant, a *account, tokens int64) int64 {
	static := l.slotTokens(now, a)
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

// recordDemand adds an admitted request to the averages of demand.
func (a *account) recordDemand(now proto.Instant, tokens int64) {
	decay := a.decay(now)
	a.tokenRate = a.tokenRate*decay + float64(tokens)/demandTimeConstant.Seconds()
	a.requestRate = a.requestRate*decay + 1/demandTimeConstant.Seconds()
	a.demandUpdated = max(a.demandUpdated, now)
}

// decay returns the factor by which the averages have decayed at now.
func (a *account) decay(now proto.Instant) float64 {
	elapsed := max(0, now.Sub(a.demandUpdated))
	return math.Exp(-elapsed.Seconds() / demandTimeConstant.Seconds())
}

// reserve returns the number of tokens to hold ahead of demand. Accounts with
// less than one expected request in the reserve time get none, as the tokens
// would be returned unused.
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

// lowWatermark returns the number of tokens below which the reserve is refilled:
// half of the normal reserve. While the holder's balance is high, the reserve
// covers a longer time, and 1/32 of it covers about the same demand.
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

func (a *account) state(now proto.Instant, spendable int64) proto.LimitState {
	remaining := min(a.limit.Burst, spendable+a.totalReported(now))
	return proto.LimitState{
		Burst:     a.limit.Burst,
		Remaining: remaining,
		Reset:     a.refillTime(a.limit.Burst - remaining),
	}
}

// Refund implements Limiter. The tokens are sent to a holder and not kept here,
// since only the holder knows whether they exceed the burst.
func (l *LocalLimiter) Refund(now proto.Instant, id proto.AccountID, tokens int64) {
	a, ok := (*l.accounts.Load())[id]
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
		l.queue(a)
	}
}

// Counts returns the counters.
func (l *LocalLimiter) Counts() LocalLimiterCounts {
	c := &l.counters
	return LocalLimiterCounts{
		Spent: c.spent.Load(), Granted: c.granted.Load(), Returned: c.returned.Load(),
		Refunded: c.refunded.Load(), Transferred: c.transferred.Load(), Expired: c.expired.Load(),
		Admitted: c.admitted.Load(), Waited: c.waited.Load(), Refused: c.refused.Load(),
		Requests: c.requests.Load(), StaleReplies: c.stale.Load(),
	}
}
