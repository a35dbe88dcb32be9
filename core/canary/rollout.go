package canary

import (
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

const (
	// steadyFraction is the part of the exposure share that is used while sampling. The rest
	// is left for Loading.
	steadyFraction = 0.5
	// routeTarget is the number of requests of each route that are sampled first, with the
	// whole exposure share.
	routeTarget = 30
	// minSampled is the least number of endpoints that samples go to, so that one endpoint
	// with a fault of its own does not decide.
	minSampled = 3
	// maxLoadFactor bounds the load of the new endpoints, as a multiple of that of the old
	// ones. More would make a good release look slow.
	maxLoadFactor = 1.5
	// firstLoadShare is the share of requests at the beginning of Loading. It rises to all
	// requests within half of the phase.
	firstLoadShare = 0.2
	// confirmationTime is how long a peer's report of its phase is valid.
	confirmationTime = 3 * time.Second
	// reportTime is how long after its end a rollout is still reported to the peers.
	reportTime = 30 * time.Second
	// minMoveTime is the least time between a good verdict and the status, in which routers
	// learn of it.
	minMoveTime = 300 * time.Millisecond
	// historyInterval and historyLength are how often the counts are kept and how many of
	// them. The responses since the oldest are tested on their own, so that a release that
	// turns bad is not outweighed by its earlier responses.
	historyInterval = time.Second
	historyLength   = 3
)

// rollout is the state of one order.
type rollout struct {
	order Order
	// startedAt is when the order was read by the first router that is known.
	startedAt proto.Instant
	schedule  schedule
	ledger    ledger
	own       evidence
	peers     map[incarnation]*peerState
	// merged is the sum of all routers' evidence; it is recomputed if dirty is set. chance
	// is the result of its test.
	merged evidence
	dirty  bool
	chance float64
	// recent holds copies of merged, one for each historyInterval, the oldest first.
	recent   []evidence
	recentAt proto.Instant

	// good and bad are the verdicts. Both are never taken back; bad has precedence.
	good, bad bool
	goodAt    proto.Instant
	reason    string
	// committed is set once a final status has been sent to the store.
	committed State
	// final is the final state, or "".
	final   State
	finalAt proto.Instant
	// sawOther is set once an endpoint of another release was registered.
	sawOther bool
	// sampled lists the endpoints of the new release that samples go to.
	sampled []proto.EndpointID
	// sampledShare and newShare are the shares of requests that load the sampled endpoints,
	// and all new ones, by maxLoadFactor.
	sampledShare, newShare float64
	tickets                map[*Ticket]struct{}
	// phase is the phase that was last logged.
	phase Phase
}

type incarnation struct {
	router proto.RouterID
	life   int64
}

// peerState is what an incarnation of another router has reported of a rollout.
type peerState struct {
	evidence    evidence
	heardAt     proto.Instant
	phase       Phase
	oldInFlight int
	requests    int64
	sent        int64
}

func newRollout(order Order, now proto.Instant, slack float64, b Bounds) *rollout {
	return &rollout{
		order: order, startedAt: now, schedule: newSchedule(order.Duration, 0), chance: 1,
		ledger: ledger{share: shareMargin * b.ExposureShare, slack: slack},
		own:    evidence{}, merged: evidence{}, peers: map[incarnation]*peerState{}, tickets: map[*Ticket]struct{}{},
	}
}

// elapsed returns the time since the order.
func (r *rollout) elapsed(now proto.Instant) time.Duration { return now.Sub(r.startedAt) }

// currentPhase returns what the router does now.
func (r *rollout) currentPhase(now proto.Instant) Phase {
	switch {
	case r.final != "":
		return Ended
	case r.bad:
		return Stopped
	case r.good:
		return Moving
	case r.elapsed(now) >= r.order.Duration:
		return Stopped // without a verdict
	case r.elapsed(now) >= r.schedule.load:
		return Loading
	}
	return Sampling
}

// share returns the share of requests that the phase sends to the new release, apart from
// the exposure bound.
func (r *rollout) share(now proto.Instant) float64 {
	switch r.currentPhase(now) {
	case Moving:
		return 1
	case Loading:
		half := float64(r.schedule.move-r.schedule.load) / 2
		progress := float64(r.elapsed(now)-r.schedule.load) / max(half, 1)
		return min(1, r.newShare, firstLoadShare+(1-firstLoadShare)*progress)
	case Sampling:
		return steadyFraction * r.ledger.share
	}
	return 0
}

// mayAdd reports whether one more attempt at the new release keeps this router's bound.
func (r *rollout) mayAdd(isFirst bool) bool {
	l := r.ledger
	if isFirst {
		l.requests++ // the request counts once it is sent
	}
	return l.mayAdd()
}

// wants reports whether a request is to be sampled if the bound allows it. The argument
// random is uniform in [0, 1).
func (r *rollout) wants(now proto.Instant, route string, random float64) bool {
	if r.currentPhase(now) != Sampling {
		return random < r.share(now)
	}
	isLoaded := float64(r.ledger.sent+1) > r.sampledShare*float64(r.ledger.requests+1)
	if isLoaded && random >= r.sampledShare {
		return false
	}
	m, sent := r.merged[route], int64(0)
	if own := r.own[route]; own != nil {
		sent = own.Sent
	}
	return m == nil || max(m.Sent, sent) < routeTarget || random < r.share(now)
}

// refresh recomputes the merged evidence and its test if there are new counts.
func (r *rollout) refresh(newEndpoints int) {
	if !r.dirty {
		return
	}
	r.dirty = false
	r.merged = evidence{}
	r.merged.sum(r.own)
	for _, p := range r.peers {
		r.merged.sum(p.evidence)
	}
	r.chance = r.merged.chance(newEndpoints, nil)
	if len(r.recent) > 0 {
		r.chance = min(r.chance, r.merged.since(r.recent[0]).chance(newEndpoints, r.merged))
	}
}

// keepHistory keeps a copy of the merged evidence now and then.
func (r *rollout) keepHistory(now proto.Instant) {
	if now.Sub(r.recentAt) < historyInterval {
		return
	}
	r.recentAt = now
	r.recent = append(r.recent, r.merged.clone())
	if len(r.recent) > historyLength {
		r.recent = r.recent[1:]
	}
	r.dirty = true
}

// oldInFlight returns the number of this router's attempts at the old release.
func (r *rollout) oldInFlight() int {
	n := 0
	for t := range r.tickets {
		if !t.isNew {
			n++
		}
	}
	return n
}

// allMoved reports whether this router and all members have moved and have no attempts at
// the old release.
func (r *rollout) allMoved(now proto.Instant, self proto.RouterID, members []proto.RouterID) bool {
	if r.oldInFlight() > 0 {
		return false
	}
	moved := map[proto.RouterID]bool{self: true}
	for id, p := range r.peers {
		if p.phase == Moving && p.oldInFlight == 0 && now.Sub(p.heardAt) < confirmationTime && p.heardAt > r.goodAt {
			moved[id.router] = true
		}
	}
	for _, id := range members {
		if !moved[id] {
			return false
		}
	}
	return true
}

// countOverdue counts the attempts that are known to be slow before they end.
func (r *rollout) countOverdue(now proto.Instant, s *service) (changed bool) {
	for t := range r.tickets {
		if !t.counted && s.baseline(t.route).isOverdue(now.Sub(t.sentAt)) {
			r.count(t, Tally{Ended: 1, Slow: 1})
			changed = true
		}
	}
	return changed
}

// count adds the outcome of an attempt, unless it was counted before.
func (r *rollout) count(t *Ticket, outcome Tally) {
	if t.counted {
		return
	}
	t.counted, r.dirty = true, true
	e := r.own.route(t.route)
	if !t.isNew {
		e.Old = e.Old.add(outcome)
		return
	}
	e.New = e.New.add(outcome)
	if n := outcome.bad(); n > 0 {
		e.BadAt[hashEndpoint(t.endpoint)] += n
	}
}

// judge takes the verdicts that this router may take: any router that the release is bad,
// the holder of the lease all.
func (r *rollout) judge(now proto.Instant, in StepInput) {
	if r.final != "" || r.bad || r.committed != "" {
		return
	}
	elapsed, isSufficient := r.elapsed(now), r.merged.isSufficient()
	switch {
	case r.chance < badChance:
		r.fail("bad responses")
	case !in.HoldsLease || r.good || elapsed < r.schedule.move:
	case elapsed >= r.order.Duration:
		r.fail("no verdict in time")
	case !in.InContact:
	case isSufficient && r.chance >= doubtChance:
		r.good, r.goodAt, r.reason = true, now, "as good as the old release"
	case elapsed >= r.schedule.decide && !isSufficient:
		r.fail("too few responses")
	case elapsed >= r.schedule.decide:
		r.fail("in doubt")
	}
}

func (r *rollout) fail(reason string) { r.bad, r.reason = true, reason }

// end records the final state.
func (r *rollout) end(now proto.Instant, state State) {
	if r.final == "" {
		r.final, r.finalAt = state, now
	}
}

// wanted returns the status that the holder of the lease writes.
func (r *rollout) wanted(now proto.Instant, in StepInput) State {
	switch {
	case r.final != "":
		return r.final
	case r.committed != "":
		return r.committed
	case r.bad:
		return RolledBack
	case r.good && (r.elapsed(now) >= r.schedule.complete && now.Sub(r.goodAt) >= minMoveTime || r.allMoved(now, in.Self, in.Members)):
		return Completed
	}
	return Running
}
