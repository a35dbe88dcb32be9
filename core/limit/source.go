package limit

import (
	"cmp"
	"slices"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// source is a router that an account's tokens can be asked from: the holder of
// a part or the owner of a static slot.
type source struct {
	router proto.RouterID
	fence  proto.Offset
	// remaining is the balance reported at the instant at, 0 for never.
	remaining  int64
	reportedAt proto.Instant
	reported   bool
	skipUntil  proto.Instant
	pending    []pendingCall
	closed     []closedGrant
}

// pendingCall is a request without a reply so far.
type pendingCall struct {
	call    uint64
	sent    proto.Instant
	awaited bool
	need    int64
}

// closedGrant waits to be reported to the source.
type closedGrant struct {
	proto.ReturnedGrant
	spent   int64
	expires proto.Instant
}

func (s *source) setRouter(router proto.RouterID) {
	if s.router == router {
		return
	}
	// Grants of the earlier holder stay valid until they expire, but can no
	// longer be returned.
	*s = source{router: router, pending: s.pending}
}

func (s *source) awaitingReply() bool {
	return slices.ContainsFunc(s.pending, func(p pendingCall) bool { return p.awaited })
}

// sourceLimit returns the least rate and the greatest burst of a source, in tokens.
func (a *account) sourceLimit(i int) (rate, burst int64) {
	if i < Parts {
		r, _ := partLimit(a.limit, 0, 1)
		return r / microPerToken, a.limit.Burst
	}
	r, b := slotLimit(a.limit, max(1, len(a.sources)-Parts))
	return r / microPerToken, b / microPerToken
}

// available estimates what a source could grant at now. A source that has not
// reported of late may hold its whole burst.
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

// totalReported is the sum of the latest reported balances, for rate-limit headers.
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

// Step applies a GrantReply, TokenRequest or TokenReply; others are ignored.
func (w *LocalLimiter) Step(now proto.Instant, in proto.Envelope) {
	switch m := in.Msg.(type) {
	case proto.GrantReply:
		if m.Part >= 0 && m.Part < Parts {
			w.handleReply(now, in.From, m.Account, m.Call, replyContent{m.Tokens, m.Remaining, m.TTL, m.Fence, m.Part, Parts})
		}
	case proto.TokenReply:
		w.handleReply(now, in.From, m.Account, m.Call, replyContent{m.Tokens, m.Remaining, m.TTL, 0, Parts, Parts + len(w.view.Slots)})
	case proto.TokenRequest:
		w.handleTokenRequest(now, in, m)
	}
}

// replyContent is the common content of a GrantReply and a TokenReply. The call
// belongs to a source from first on, before end or at first.
type replyContent struct {
	tokens, remaining int64
	ttl               time.Duration
	fence             proto.Offset
	first, end        int
}

func (w *LocalLimiter) handleReply(now proto.Instant, from proto.Addr, id proto.AccountID, call uint64, m replyContent) {
	a, ok := w.callAccounts[call]
	if !ok || (id != "" && id != a.limit.ID) || (*w.accounts.Load())[a.limit.ID] != a {
		w.counters.stale.Add(1)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	i, p, ok := a.removePending(call, m)
	if !ok {
		w.counters.stale.Add(1)
		return
	}
	delete(w.callAccounts, call)
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
		w.counters.granted.Add(m.tokens)
		g := grant{source: i, call: call, left: m.tokens, total: m.tokens, requested: p.sent, expires: expires}
		a.grants = append(a.grants, g)
	case m.tokens > 0:
		w.counters.stale.Add(1)
	}
	if p.awaited {
		a.requested -= p.need
		w.notifyIfAnswered(now, a)
	}
	w.activate(a)
}

// removePending removes the pending call that a reply belongs to.
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

// notifyIfAnswered wakes waiting requests once all that was asked for is notifyIfAnswered.
// Earlier wake-ups would make them ask again for what is still on its way.
func (w *LocalLimiter) notifyIfAnswered(now proto.Instant, a *account) {
	if a.requested == 0 {
		w.ready = append(w.ready, a.limit.ID)
	}
	w.wake = min(w.wake, now)
}

// TakeReady returns the accounts whose waiting requests should call Spend
// again. Call it after every Step and Tick.
func (w *LocalLimiter) TakeReady() []proto.AccountID {
	ready := w.ready
	w.ready = nil
	return ready
}

// handleTokenRequest gives static tokens to a peer. They count against this slot's
// burst until they are returned or have expired.
func (w *LocalLimiter) handleTokenRequest(now proto.Instant, in proto.Envelope, m proto.TokenRequest) {
	a, ok := (*w.accounts.Load())[m.Account]
	if !ok || in.From == w.Self() {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	reply := proto.TokenReply{Stamp: w.stamp, Call: m.Call}
	if a.slot != nil && int64(now) < w.slotUsableUntil.Load() {
		from := proto.RouterID(in.From.ID)
		a.slot.settle(now, from, m.Returned)
		reply.Tokens = a.slot.issue(now, from, m.Call, m.Want, 0)
		reply.Remaining = a.slot.wholeTokens()
		w.counters.transferred.Add(reply.Tokens)
	}
	if m.Want > 0 {
		w.Send(in.From, reply)
	}
}

// Wake implements proto.Machine. It is at once after Spend asked for tokens.
func (w *LocalLimiter) Wake() proto.Instant {
	w.urgentMu.Lock()
	defer w.urgentMu.Unlock()
	if len(w.urgent) > 0 {
		return 0
	}
	return w.wake
}

// Tick implements proto.Machine: it asks for tokens, returns unused ones and
// drops requests that got no reply.
func (w *LocalLimiter) Tick(now proto.Instant) {
	w.urgentMu.Lock()
	urgent := w.urgent
	w.urgent = nil
	w.urgentMu.Unlock()
	for _, a := range urgent {
		a.mu.Lock()
		a.queued = false
		w.activate(a)
		a.mu.Unlock()
	}
	w.wake = proto.Never
	for _, a := range w.sortedActive() {
		a.mu.Lock()
		w.tickAccount(now, a)
		a.mu.Unlock()
	}
}

// sortedActive keeps the order of messages the same in every run.
func (w *LocalLimiter) sortedActive() []*account {
	list := make([]*account, 0, len(w.active))
	for a := range w.active {
		list = append(list, a)
	}
	slices.SortFunc(list, func(x, y *account) int { return cmp.Compare(x.limit.ID, y.limit.ID) })
	return list
}

func (w *LocalLimiter) activate(a *account) {
	a.active = true
	w.active[a] = struct{}{}
}

func (w *LocalLimiter) tickAccount(now proto.Instant, a *account) {
	w.expireCalls(now, a)
	w.closeGrants(now, a)
	w.requestTokens(now, a)
	w.reportClosed(now, a)
	due := a.due()
	if due == proto.Never {
		a.active = false
		delete(w.active, a)
		return
	}
	w.wake = min(w.wake, max(due, now+1))
}

// due is when the account needs the next tick.
func (a *account) due() proto.Instant {
	due := proto.Never
	if a.refund > 0 {
		due = a.refundDue
	}
	for _, g := range a.grants {
		due = min(due, g.requested.Add(a.maxHold()))
	}
	for i := range a.sources {
		for _, p := range a.sources[i].pending {
			if p.awaited {
				due = min(due, p.sent.Add(replyTimeout))
			} else {
				due = min(due, p.sent.Add(GrantTTL))
			}
		}
		for _, c := range a.sources[i].closed {
			due = min(due, c.expires)
		}
	}
	return due
}

func (w *LocalLimiter) expireCalls(now proto.Instant, a *account) {
	before := a.requested
	for i := range a.sources {
		s := &a.sources[i]
		s.pending = slices.DeleteFunc(s.pending, func(p pendingCall) bool {
			over := !p.awaited && now >= p.sent.Add(GrantTTL)
			if over {
				delete(w.callAccounts, p.call)
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
		w.ready = append(w.ready, a.limit.ID)
	}
}

// closeGrants takes grants that are used up, expired or older than holdFor out
// of the pool. They are no longer spendable here before they are reported.
func (w *LocalLimiter) closeGrants(now proto.Instant, a *account) {
	w.pool(now, a)
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

// requestTokens requests what waiting requests need and what the reserve lacks.
func (w *LocalLimiter) requestTokens(now proto.Instant, a *account) {
	pool := w.pool(now, a)
	missing := a.need
	if a.requested == 0 {
		missing -= pool
	}
	missing = min(missing, a.limit.Burst)
	hadNeed := a.need > 0
	a.need = 0
	reserve := a.reserve(now)
	if missing <= 0 {
		w.requestReserve(now, a, pool, reserve)
		if hadNeed && a.requested == 0 {
			w.ready = append(w.ready, a.limit.ID)
		}
		return
	}
	order := a.order(now)
	for _, i := range order {
		n := min(missing, a.available(now, i))
		if n <= 0 || a.sources[i].awaitingReply() {
			continue
		}
		w.sendRequest(now, a, i, n, reserve)
		missing -= n
		reserve = 0
		if missing <= 0 {
			return
		}
	}
	if a.requested == 0 {
		w.ready = append(w.ready, a.limit.ID)
	}
}

func (w *LocalLimiter) requestReserve(now proto.Instant, a *account, pool, reserve int64) {
	if reserve == 0 || pool >= a.lowWatermark(reserve) || a.requested > 0 || now < a.nextReserveRequest {
		return
	}
	if a.requestRate*a.decay(now) < minPrefetchRate {
		return
	}
	best := a.order(now)[0]
	if best >= Parts || a.sources[best].awaitingReply() || a.available(now, best) <= 0 {
		return
	}
	a.nextReserveRequest = now.Add(reserveInterval)
	w.sendRequest(now, a, best, 0, reserve-pool)
}

// order lists the sources: parts before slots, fuller ones first.
func (a *account) order(now proto.Instant) []int {
	order := make([]int, len(a.sources))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(x, y int) int {
		if (x < Parts) != (y < Parts) {
			return cmp.Compare(x, y)
		}
		return cmp.Compare(a.available(now, y), a.available(now, x))
	})
	return order
}

// reportClosed reports closed grants and refunds that should not wait for a request.
func (w *LocalLimiter) reportClosed(now proto.Instant, a *account) {
	if a.refund > 0 && now >= a.refundDue {
		w.sendRefund(now, a)
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
			w.sendRequest(now, a, i, 0, 0)
		}
	}
}

// sendRefund sends the refund to the known holder with the lowest balance.
func (w *LocalLimiter) sendRefund(now proto.Instant, a *account) {
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
	w.sendRequest(now, a, best, 0, 0)
}

// sendRequest sends one message to a source, with everything to report to it.
func (w *LocalLimiter) sendRequest(now proto.Instant, a *account, i int, need, want int64) {
	s := &a.sources[i]
	if s.router == "" {
		s.closed = nil
		return
	}
	w.calls++
	w.counters.requests.Add(1)
	returned := w.takeClosed(s)
	if need > 0 || want > 0 {
		w.callAccounts[w.calls] = a
		s.pending = append(s.pending, pendingCall{call: w.calls, sent: now, awaited: true, need: need})
		a.requested += need
	}
	to := proto.RouterAddr(s.router)
	if i >= Parts {
		w.Send(to, proto.TokenRequest{Stamp: w.stamp, Account: a.limit.ID, Call: w.calls, Want: need, Returned: returned})
		return
	}
	m := proto.GrantRequest{Stamp: w.stamp, Account: a.limit.ID, Part: i, Call: w.calls, Need: need, Want: want, Returned: returned}
	if a.refund > 0 && s.reported && s.fence > 0 {
		w.refundSeq++
		m.Refund, m.RefundSeq, m.RefundFence = a.refund, w.refundSeq, s.fence
		w.counters.refunded.Add(a.refund)
		a.refund = 0
	}
	w.Send(to, m)
}

func (w *LocalLimiter) takeClosed(s *source) []proto.ReturnedGrant {
	if len(s.closed) == 0 {
		return nil
	}
	returned := make([]proto.ReturnedGrant, len(s.closed))
	for j, c := range s.closed {
		returned[j] = c.ReturnedGrant
		w.counters.returned.Add(c.Tokens)
	}
	s.closed = nil
	return returned
}
