package relay

import (
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/core/serving"
)

// Need is how much a request depends on a retry by the router. The last part of a budget is
// kept for higher needs.
type Need uint8

const (
	// CallerReturns means that the request has not run and its caller has the time to come
	// back when it is refused.
	CallerReturns Need = iota
	// CallerRepeats means that the caller may repeat the request after any failure.
	CallerRepeats
	// NothingElse means that only the router can save the request.
	NothingElse
	numNeeds
)

var needNames = [numNeeds]string{CallerReturns: "caller_returns", CallerRepeats: "caller_repeats", NothingElse: "nothing_else"}

// String returns the name used in logs and metrics.
func (n Need) String() string { return needNames[n] }

// minReturnTime is the least time before the deadline with which a caller is expected to
// come back: it waits for at most a third of it, and then needs a whole attempt.
const minReturnTime = 1500 * time.Millisecond

// keptShares are the parts of a budget that are kept for higher needs. rankShare is kept
// in addition for each rank by which a request is less urgent than others of its service,
// up to maxRankSteps.
var keptShares = [numNeeds]float64{CallerReturns: 0.3, CallerRepeats: 0.15}

const (
	rankShare    = 0.1
	maxRankSteps = 2
	// undivided is the number of retries of which nothing is kept, so that the budget of a
	// service with few requests serves all of them.
	undivided = 3.0
)

// Claim is what a request asks a budget for.
type Claim struct {
	Need Need
	// Rank is the priority of the request; 0 is the most urgent.
	Rank int
}

// Grant is the answer of a budget.
type Grant uint8

const (
	// Granted means that a retry was taken from the budget.
	Granted Grant = iota
	// Spent means that nothing is left.
	Spent
	// Kept means that what is left is kept for requests of a higher need or rank.
	Kept
)

// reason returns why a request is not retried.
func (g Grant) reason() string {
	if g == Kept {
		return retryBudgetKept
	}
	return retryBudgetSpent
}

// TakeFor spends one retry for a claim if the budget allows it.
func (b *RetryBudget) TakeFor(now proto.Instant, c Claim) Grant {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	switch {
	case b.available < 1:
		return Spent
	case b.available-1 < b.kept(now, c):
		return Kept
	}
	b.available--
	return Granted
}

// kept returns the part of the budget that a claim must leave; mu must be held.
func (b *RetryBudget) kept(now proto.Instant, c Claim) float64 {
	share := keptShares[c.Need]
	if now.Sub(b.urgentAt) < b.cfg.Window && c.Rank > b.urgentRank {
		share += rankShare * float64(min(maxRankSteps, c.Rank-b.urgentRank))
	}
	return share * max(0, b.maxAvailable()-undivided)
}

// noteRank records the rank of a request: the most urgent one of the last window counts; mu
// must be held.
func (b *RetryBudget) noteRank(now proto.Instant, rank int) {
	if rank <= b.urgentRank || now.Sub(b.urgentAt) >= b.cfg.Window {
		b.urgentRank, b.urgentAt = rank, now
	}
}

// need returns how much the request depends on a retry. left is the time until its deadline.
func (r *Request) need(left time.Duration) Need {
	switch {
	case r.IsCommitted() || left < minReturnTime:
		return NothingElse
	case r.ran == 0:
		return CallerReturns
	case r.route.Kind == serving.Idempotent:
		return CallerRepeats
	}
	return NothingElse
}

// SetRank sets the priority of the request; 0 is the most urgent.
func (r *Request) SetRank(rank int) { r.rank = rank }

// take asks the budget for a retry.
func (r *Request) take(now proto.Instant, need Need) Grant {
	return r.budget.TakeFor(now, Claim{Need: need, Rank: r.rank})
}
