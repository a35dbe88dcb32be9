package limit

import (
	"cmp"
	"slices"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// source is a router from which tokens of an account can be requested: the
// holder of a part or the owner of a static slot.
type source struct {
	// router is empty if the part has no holder or the slot no owner.
	router proto.RouterID
	fence  proto.Offset
	// remaining is the balance reported at reportedAt, if reported is set.
	remaining  int64
	reportedAt proto.Instant
	reported   bool
	// skipUntil ends the unresponsivePause after a reply timeout.
	skipUntil proto.Instant
	pending   []pendingCall
	closed    []closedGrant
}

// pendingCall is a request that has not received its reply yet.
type pendingCall struct {
	call uint64
	sent proto.Instant
	// awaited is set until replyTimeout. A later reply is still accepted until
	// the grant would have expired.
	awaited bool
	need    int64
}

// closedGrant is a grant that is no longer spent from and has not been reported
// to its source yet.
type closedGrant struct {
	proto.ReturnedGrant
	spent   int64
	expires proto.Instant
}

func (s *source) setRouter(router proto.RouterID) {
	if s.router == router {
		return
	}
	// Grants of the previous router stay valid until they expire, but closed ones
	// can no longer be returned.
	*s = source{router: router, pending: s.pending}
}

func (s *source) awaitingReply() bool {
	return slices.ContainsFunc(s.pending, func(p pendingCall) bool { return p.awaited })
}

// sourceLimit returns a lower bound of the rate and an upper bound of the burst
// of a source, in tokens.
func (a *account) sourceLimit(i int) (rate, burst int64) {
	if i < Parts {
		r, _ := partLimit(a.limit, 0, 1)
		return r / microPerToken, a.limit.Burst
	}
	r, b := slotLimit(a.limit, max(1, len(a.sources)-Parts))
	return r / microPerToken, b / microPerToken
}

// available estimates how many tokens a source could grant at now. A source that
// has not reported for balanceMaxAge may have its whole burst.
func (a *account) available(now proto.Instant, i int) int64 {
	s := &a.sources[i]
	if s.router == "" || now < s.skipUntil {
		return 0
	}
	rate, burst := a.sourceLimit(i)
	age := now.Sub(s.reportedAt)
	if !s.reported || age > balanceMaxAge {
		return burst
	}
	return min(burst, s.remaining+int64(float64(rate)*max(0, age).Seconds()))
}

func (a *account) totalAvailable(now proto.Instant) int64 {
	var total int64
	for i := range a.sources {
		total += a.available(now, i)
	}
	return total
}

// totalReported returns the sum of the last reported balances, for rate limit
// headers. It leaves out sources that are not asked after a reply timeout.
func (a *account) totalReported(now proto.Instant) int64 {
	var total int64
	for i := range a.sources {
		s := &a.sources[i]
		if s.reported && s.router != "" && now >= s.skipUntil {
			total += s.remaining
		}
	}
	return total
}

// Step handles a GrantReply, TokenRequest or TokenReply; other messages are
// ignored.
func (l *LocalLimiter) Step(now proto.Instant, in proto.Envelope) {
	switch m := in.Msg.(type) {
	case proto.GrantReply:
		if m.Part >= 0 && m.Part < Parts {
			l.handleReply(now, in.From, m.Account, m.Call, replyContent{m.Tokens, m.Remaining, m.TTL, m.Fence, m.Part, Parts})
		}
	case proto.TokenReply:
		l.handleReply(now, in.From, m.Account, m.Call, replyContent{m.Tokens, m.Remaining, m.TTL, 0, Parts, Parts + len(l.view.Slots)})
	case proto.TokenRequest:
		l.handleTokenRequest(now, in, m)
	}
}

// replyContent holds the fields common to GrantReply and TokenReply. The call
// belongs to the source at index first, or to one after it and before end.
type replyContent struct {
	tokens, remaining int64
	ttl               time.Duration
	fence             proto.Offset
	first, end        int
}

func (l *LocalLimiter) handleReply(now proto.Instant, from proto.Addr, id proto.AccountID, call uint64, m replyContent) {
	a, ok := l.callAccounts[call]
	if !ok || (id != "" && id != a.limit.ID) || (*l.accounts.Load())[a.limit.ID] != a {
		l.counters.stale.Add(1)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	i, p, ok := a.removePending(call, m)
	if !ok {
		l.counters.stale.Add(1)
		return
	}
	delete(l.callAccounts, call)
	s := &a.sources[i]
	if s.router == proto.RouterID(from.ID) {
		s.remaining, s.reportedAt, s.reported, s.fence = m.remaining, now, true, m.fence
	}
	if i < Parts {
		a.highBalance = m.remaining >= a.limit.Burst/Parts/2
	}
	ttl := GrantTTL
	if m.ttl > 0 {
		ttl = min(ttl, m.ttl)
	}
	expires := p.sent.Add(ttl)
	switch {
	case m.tokens > 0 && now < expires:
		l.counters.granted.Add(m.tokens)
		g := grant{source: i, call: call, left: m.tokens, total: m.tokens, requested: p.sent, expires: expires}
		a.grants = append(a.grants, g)
	case m.tokens > 0:
		l.counters.stale.Add(1)
	}
	if p.awaited {
		a.requested -= p.need
		l.notifyIfNoneAwaited(now, a)
	}
	l.activate(a)
}

// removePending removes and returns the pending call that a reply belongs to, and
// the index of its source.
func (a *account) removePending(call uint64, m replyContent) (int, pendingCall, bool) {
	for i := m.first; i < len(a.sources) && (i == m.first || i < m.end); i++ {
		for j, p := range a.sources[i].pending {
			if p.call == call {
				a.sources[i].pending = slices.Delete(a.sources[i].pending, j, j+1)
				return i, p, true
			}
		}
	}
	return 0, pendingCall{}, false
}

// notifyIfNoneAwaited wakes waiting requests once no reply is awaited for their
// account. If woken earlier, they would request tokens again that are already
// on the way.
func (l *LocalLimiter) notifyIfNoneAwaited(now proto.Instant, a *account) {
	if a.requested == 0 {
		l.ready = append(l.ready, a.limit.ID)
	}
	l.wake = min(l.wake, now)
}

// TakeReady returns and clears the accounts whose waiting requests should call
// Spend again. Call it after every Step and Tick.
func (l *LocalLimiter) TakeReady() []proto.AccountID {
	ready := l.ready
	l.ready = nil
	return ready
}

// handleTokenRequest transfers static tokens to a peer. They count towards the
// burst of this router's slot until they are returned or have expired.
func (l *LocalLimiter) handleTokenRequest(now proto.Instant, in proto.Envelope, m proto.TokenRequest) {
	a, ok := (*l.accounts.Load())[m.Account]
	if !ok || in.From == l.Self() {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	reply := proto.TokenReply{Stamp: l.stamp, Call: m.Call}
	if a.slot != nil && int64(now) < l.slotUsableUntil.Load() {
		from := proto.RouterID(in.From.ID)
		a.slot.settle(now, from, m.Returned)
		reply.Tokens = a.slot.issue(now, from, m.Call, m.Want, 0)
		reply.Remaining = a.slot.wholeTokens()
		l.counters.transferred.Add(reply.Tokens)
	}
	if m.Want > 0 {
		l.Send(in.From, reply)
	}
}

// Wake implements proto.Machine. It returns 0 if Spend or Refund has queued an
// account.
func (l *LocalLimiter) Wake() proto.Instant {
	l.urgentMu.Lock()
	defer l.urgentMu.Unlock()
	if len(l.urgent) > 0 {
		return 0
	}
	return l.wake
}

// Tick implements proto.Machine: it requests tokens, returns unused ones and
// drops requests that got no reply in time.
func (l *LocalLimiter) Tick(now proto.Instant) {
	l.urgentMu.Lock()
	urgent := l.urgent
	l.urgent = nil
	l.urgentMu.Unlock()
	for _, a := range urgent {
		a.mu.Lock()
		a.queued = false
		l.activate(a)
		a.mu.Unlock()
	}
	l.wake = proto.Never
	for _, a := range l.sortedActive() {
		a.mu.Lock()
		l.tickAccount(now, a)
		a.mu.Unlock()
	}
}

// sortedActive returns the active accounts in the order of their IDs, so that the
// order of messages is deterministic.
func (l *LocalLimiter) sortedActive() []*account {
	list := make([]*account, 0, len(l.active))
	for a := range l.active {
		list = append(list, a)
	}
	slices.SortFunc(list, func(x, y *account) int { return cmp.Compare(x.limit.ID, y.limit.ID) })
	return list
}

func (l *LocalLimiter) activate(a *account) {
	a.active = true
	l.active[a] = struct{}{}
}

func (l *LocalLimiter) tickAccount(now proto.Instant, a *account) {
	l.expireCalls(now, a)
	l.closeGrants(now, a)
	l.requestTokens(now, a)
	l.reportClosed(now, a)
	nextTick := a.nextTick()
	if nextTick == proto.Never {
		a.active = false
		delete(l.active, a)
		return
	}
	l.wake = min(l.wake, max(nextTick, now+1))
}

// nextTick returns the time at which the account needs its next tick.
func (a *account) nextTick() proto.Instant {
	nextTick := proto.Never
	if a.refund > 0 {
		nextTick = a.refundDue
	}
	for _, g := range a.grants {
		nextTick = min(nextTick, g.requested.Add(a.maxHold()))
	}
	for i := range a.sources {
		for _, p := range a.sources[i].pending {
			if p.awaited {
				nextTick = min(nextTick, p.sent.Add(replyTimeout))
			} else {
				nextTick = min(nextTick, p.sent.Add(GrantTTL))
			}
		}
		for _, c := range a.sources[i].closed {
			nextTick = min(nextTick, c.expires)
		}
	}
	return nextTick
}

func (l *LocalLimiter) expireCalls(now proto.Instant, a *account) {
	before := a.requested
	for i := range a.sources {
		s := &a.sources[i]
		s.pending = slices.DeleteFunc(s.pending, func(p pendingCall) bool {
			over := !p.awaited && now >= p.sent.Add(GrantTTL)
			if over {
				delete(l.callAccounts, p.call)
			}
			return over
		})
		for j := range s.pending {
			p := &s.pending[j]
			if !p.awaited || now < p.sent.Add(replyTimeout) {
				continue
			}
			p.awaited = false
			a.requested -= p.need
			s.skipUntil = now.Add(unresponsivePause)
		}
		s.closed = slices.DeleteFunc(s.closed, func(c closedGrant) bool { return now >= c.expires })
	}
	if before > 0 && a.requested == 0 {
		l.ready = append(l.ready, a.limit.ID)
	}
}

// closeGrants removes grants that are used up, expired or older than maxHold
// from the account's grants, so that their tokens cannot be spent after they
// have been reported.
func (l *LocalLimiter) closeGrants(now proto.Instant, a *account) {
	l.spendable(now, a)
	kept := a.grants[:0]
	for _, g := range a.grants {
		if g.left > 0 && now < g.requested.Add(a.maxHold()) {
			kept = append(kept, g)
			continue
		}
		small := a.highBalance && g.total < a.limit.Burst/negligibleDivisor
		if now >= g.expires || (g.left == 0 && small) {
			continue
		}
		c := closedGrant{spent: g.total - g.left, expires: g.expires}
		c.Call, c.Tokens = g.call, g.left
		a.sources[g.source].closed = append(a.sources[g.source].closed, c)
	}
	a.grants = kept
}

// requestTokens requests the tokens that waiting requests need and that the
// reserve lacks.
func (l *LocalLimiter) requestTokens(now proto.Instant, a *account) {
	spendable := l.spendable(now, a)
	missing := a.need
	if a.requested == 0 {
		missing -= spendable
	}
	missing = min(missing, a.limit.Burst)
	hadNeed := a.need > 0
	a.need = 0
	reserve := a.reserve(now)
	if missing <= 0 {
		l.requestReserve(now, a, spendable, reserve)
		if hadNeed && a.requested == 0 {
			l.ready = append(l.ready, a.limit.ID)
		}
		return
	}
	sourceOrder := a.sourceOrder(now)
	for _, i := range sourceOrder {
		n := min(missing, a.available(now, i))
		if n <= 0 || a.sources[i].awaitingReply() {
			continue
		}
		l.sendRequest(now, a, i, n, reserve)
		missing -= n
		reserve = 0
		if missing <= 0 {
			return
		}
	}
	if a.requested == 0 {
		l.ready = append(l.ready, a.limit.ID)
	}
}

func (l *LocalLimiter) requestReserve(now proto.Instant, a *account, spendable, reserve int64) {
	if reserve == 0 || spendable >= a.lowWatermark(reserve) || a.requested > 0 || now < a.nextReserveRequest {
		return
	}
	if a.requestRate*a.decay(now) < minPrefetchRate {
		return
	}
	best := a.sourceOrder(now)[0]
	if best >= Parts || a.sources[best].awaitingReply() || a.available(now, best) <= 0 {
		return
	}
	a.nextReserveRequest = now.Add(reserveInterval)
	l.sendRequest(now, a, best, 0, reserve-spendable)
}

// sourceOrder returns the indexes of the sources in the order in which to ask
// them: parts before slots, and parts and slots each by available tokens.
func (a *account) sourceOrder(now proto.Instant) []int {
	sourceOrder := make([]int, len(a.sources))
	for i := range sourceOrder {
		sourceOrder[i] = i
	}
	slices.SortStableFunc(sourceOrder, func(x, y int) int {
		if (x < Parts) != (y < Parts) {
			return cmp.Compare(x, y)
		}
		return cmp.Compare(a.available(now, y), a.available(now, x))
	})
	return sourceOrder
}

// reportClosed sends refunds that are due, and reports closed grants that should
// not wait for the next request to their source.
func (l *LocalLimiter) reportClosed(now proto.Instant, a *account) {
	if a.refund > 0 && now >= a.refundDue {
		l.sendRefund(now, a)
	}
	for i := range a.sources {
		var unused, spent int64
		for _, c := range a.sources[i].closed {
			unused += c.Tokens
			spent += c.spent
		}
		threshold := int64(0)
		if a.highBalance {
			threshold = a.limit.Burst / negligibleDivisor
		}
		if unused > threshold || spent > a.limit.Burst/reportDivisor {
			l.sendRequest(now, a, i, 0, 0)
		}
	}
}

// sendRefund sends the refund to the holder with the lowest reported balance, or
// postpones it if no holder has reported one.
func (l *LocalLimiter) sendRefund(now proto.Instant, a *account) {
	best := -1
	for i := range Parts {
		s := &a.sources[i]
		if !s.reported || s.fence == 0 || s.router == "" {
			continue
		}
		if best < 0 || s.remaining < a.sources[best].remaining {
			best = i
		}
	}
	if best < 0 {
		a.refundDue = now.Add(refundDelay)
		return
	}
	l.sendRequest(now, a, best, 0, 0)
}

// sendRequest sends one message to a source, including its closed grants and, to
// a holder, the refund. Without need and want it only reports these.
func (l *LocalLimiter) sendRequest(now proto.Instant, a *account, i int, need, want int64) {
	s := &a.sources[i]
	if s.router == "" {
		s.closed = nil
		return
	}
	l.calls++
	l.counters.requests.Add(1)
	returned := l.takeClosed(s)
	if need > 0 || want > 0 {
		l.callAccounts[l.calls] = a
		s.pending = append(s.pending, pendingCall{call: l.calls, sent: now, awaited: true, need: need})
		a.requested += need
	}
	to := proto.RouterAddr(s.router)
	if i >= Parts {
		l.Send(to, proto.TokenRequest{Stamp: l.stamp, Account: a.limit.ID, Call: l.calls, Want: need, Returned: returned})
		return
	}
	m := proto.GrantRequest{Stamp: l.stamp, Account: a.limit.ID, Part: i, Call: l.calls, Need: need, Want: want, Returned: returned}
	if a.refund > 0 && s.reported && s.fence > 0 {
		l.refundSeq++
		m.Refund, m.RefundSeq, m.RefundFence = a.refund, l.refundSeq, s.fence
		l.counters.refunded.Add(a.refund)
		a.refund = 0
	}
	l.Send(to, m)
}

func (l *LocalLimiter) takeClosed(s *source) []proto.ReturnedGrant {
	if len(s.closed) == 0 {
		return nil
	}
	returned := make([]proto.ReturnedGrant, len(s.closed))
	for j, c := range s.closed {
		returned[j] = c.ReturnedGrant
		l.counters.returned.Add(c.Tokens)
	}
	s.closed = nil
	return returned
}
