package admission

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/kumquatsill/kumquatsill/core/place"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

const (
	// averagingTime is the time constant of the counts of outcomes and arrivals.
	averagingTime = 2 * time.Second
	// enterMissed is the part of the requests of more urgent ranks that miss their targets
	// from which on less urgent ones are refused, exitMissed that below which more of these
	// are admitted again. Single late responses occur without overload.
	enterMissed = 0.1
	exitMissed  = 0.03
	// minOutcomes is the least number of outcomes, as they decay, that say something.
	minOutcomes = 15
	// servedMargin is by how much the parts that are served of the requests of more and of
	// less urgent ranks must differ to begin refusing the latter, or to refuse fewer.
	servedMargin = 0.1
	// minFraction is the least part of the requests of a rank that is admitted. Every kind,
	// account and session is to be served a quarter as often as all, and some of the
	// admitted requests fail.
	minFraction = 0.35
	// decrease is the factor by which the fraction of a rank falls at a time, increase what
	// is added when it rises, and spareIncrease that while there is spare capacity. The
	// fraction rises slowly, as too high a one builds up a queue before it shows.
	decrease      = 0.8
	increase      = 0.05
	spareIncrease = 0.2
	// decreaseTime and increaseTime are the times between two changes: the effect of one
	// shows in the outcomes after about a request's duration.
	decreaseTime = 600 * time.Millisecond
	increaseTime = 1500 * time.Millisecond
	// rankTimeout is how long a rank without requests counts as present.
	rankTimeout = 5 * time.Second
)

// Reason is why the fraction of a rank was changed.
type Reason string

// Reasons of a Change.
const (
	// UrgentMissed means that more urgent requests miss their targets.
	UrgentMissed Reason = "urgent_missed"
	// UrgentServed means that they meet them again.
	UrgentServed Reason = "urgent_served"
	// ServedAlike means that they are served better than the less urgent ones.
	ServedAlike Reason = "served_alike"
	// SpareCapacity means that the endpoints have spare capacity.
	SpareCapacity Reason = "spare_capacity"
	// MostUrgent means that no more urgent requests come any more.
	MostUrgent Reason = "most_urgent"
	// OneRank means that the service has no requests of other ranks.
	OneRank Reason = "one_rank"
)

// Change is a change of the fraction of a rank that is admitted, with what it was decided by.
type Change struct {
	Service       string
	Rank          int
	Before, After float64
	Reason        Reason
	// UrgentMissed is the part of the more urgent requests that missed their targets,
	// OthersMissed that of the admitted less urgent ones; Outcomes is the number of the former.
	UrgentMissed, OthersMissed, Outcomes float64
	Load                                 place.ServiceLoad
}

// outcomes are decaying counts.
type outcomes struct {
	counts [Unserved + 1]float64
	// arrivals is the number of requests per second.
	arrivals  float64
	updatedAt proto.Instant
}

// advance decays the counts.
func (o *outcomes) advance(now proto.Instant) {
	elapsed := max(0, now.Sub(o.updatedAt))
	if elapsed == 0 {
		return
	}
	o.updatedAt = now
	factor := math.Exp(-elapsed.Seconds() / averagingTime.Seconds())
	for i := range o.counts {
		o.counts[i] *= factor
	}
	o.arrivals *= factor
}

func (o *outcomes) total() float64 { return o.counts[InTime] + o.counts[Late] + o.counts[Unserved] }

// missed returns the part that missed the target.
func (o *outcomes) missed() float64 {
	if total := o.total(); total > 0 {
		return 1 - o.counts[InTime]/total
	}
	return 0
}

func (o *outcomes) add(other *outcomes) {
	for i, n := range other.counts {
		o.counts[i] += n
	}
}

// Evaluate adapts the fractions to the outcomes and returns what has changed. load returns the
// load of a service.
func (c *Controller) Evaluate(now proto.Instant, load func(service string) place.ServiceLoad) []Change {
	c.mu.Lock()
	defer c.mu.Unlock()
	var changes []Change
	for _, name := range slices.Sorted(maps.Keys(c.services)) {
		s := c.services[name]
		ranks := s.present(now)
		if len(ranks) == 0 {
			delete(c.services, name)
			continue
		}
		for _, change := range s.evaluate(now, ranks, func() place.ServiceLoad { return load(name) }) {
			change.Service = name
			changes = append(changes, change)
			s.changedAt = now
		}
	}
	return changes
}

// present returns the ranks that have had requests lately, the most urgent first, and forgets
// the others.
func (s *service) present(now proto.Instant) []int {
	for n, r := range s.ranks {
		if r.outcomes.advance(now); now.Sub(r.lastSeenAt) >= rankTimeout {
			delete(s.ranks, n)
		}
	}
	return slices.Sorted(maps.Keys(s.ranks))
}

// evaluate adapts the fractions of one service; ranks lists its ranks, the most urgent first.
func (s *service) evaluate(now proto.Instant, ranks []int, load func() place.ServiceLoad) []Change {
	restricted := s.restricted(ranks)
	if len(ranks) < 2 {
		return s.release(ranks, Change{Reason: OneRank})
	}
	if changes := s.set(ranks[0], 1, Change{Reason: MostUrgent}); len(changes) > 0 {
		return changes
	}
	target := s.next(ranks)
	var urgent, others outcomes
	for _, n := range ranks {
		sum := s.ranks[n].fleetOutcomes(now)
		if n < target {
			urgent.add(&sum)
		} else {
			others.add(&sum)
		}
	}
	change := Change{UrgentMissed: urgent.missed(), OthersMissed: others.missed(), Outcomes: urgent.total(), Load: load()}
	enough := min(urgent.total(), others.total()) >= minOutcomes
	s.isPressed = restricted || !change.Load.HasSpare()
	since := now.Sub(s.changedAt)
	margin := servedMargin
	if restricted {
		margin = 0
	}
	switch {
	case restricted && change.Load.HasSpare():
		if since < increaseTime {
			return nil
		}
		change.Reason = SpareCapacity
	case s.isPressed && enough && change.UrgentMissed >= enterMissed && change.UrgentMissed > change.OthersMissed+margin:
		if since < decreaseTime {
			return nil
		}
		change.Reason = UrgentMissed
		return s.set(target, max(minFraction, s.ranks[target].fraction*decrease), change)
	case since < increaseTime || !restricted:
		return nil
	case !enough || change.UrgentMissed < exitMissed:
		change.Reason = UrgentServed
	case change.UrgentMissed < change.OthersMissed-servedMargin:
		change.Reason = ServedAlike
	default:
		return nil
	}
	n, more := s.mostUrgentRestricted(ranks), increase
	if change.Reason == SpareCapacity {
		more = spareIncrease
	}
	return s.set(n, min(1, s.ranks[n].fraction+more), change)
}

// restricted reports whether requests of any of the ranks are refused.
func (s *service) restricted(ranks []int) bool {
	return slices.ContainsFunc(ranks, func(n int) bool { return s.ranks[n].fraction < 1 })
}

// next returns the rank to restrict next: the least urgent one that is not at minFraction, and
// never the most urgent one of the service.
func (s *service) next(ranks []int) int {
	for i := len(ranks) - 1; i > 1; i-- {
		if s.ranks[ranks[i]].fraction > minFraction {
			return ranks[i]
		}
	}
	return ranks[1]
}

// mostUrgentRestricted returns the rank to release next.
func (s *service) mostUrgentRestricted(ranks []int) int {
	return ranks[slices.IndexFunc(ranks, func(n int) bool { return s.ranks[n].fraction < 1 })]
}

// release admits all requests again.
func (s *service) release(ranks []int, change Change) []Change {
	var changes []Change
	for _, n := range ranks {
		changes = append(changes, s.set(n, 1, change)...)
	}
	return changes
}

// set sets the fraction of a rank and returns the change, if it is one.
func (s *service) set(n int, fraction float64, change Change) []Change {
	r := s.ranks[n]
	if r.fraction == fraction {
		return nil
	}
	change.Rank, change.Before, change.After = n, r.fraction, fraction
	if r.fraction = fraction; fraction >= 1 {
		r.credits, r.nextPosition = nil, 0
	}
	return []Change{change}
}
