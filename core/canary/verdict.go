package canary

import (
	"math"
	"time"
)

const (
	// badChance is the probability below which bad responses of a release that is as good as
	// the old one are ruled out. It is low because the counts are tested several times a
	// second, by route.
	badChance = 1e-3
	// doubtChance is the probability below which a release is in doubt: it is observed for
	// longer, and rolled back if the doubt remains.
	doubtChance = 2e-2
	// minBad is the number of bad responses below which a release is not rolled back.
	minBad = 3
	// minSlow is the same for slow responses. The first ones of new endpoints, whose caches
	// are empty, may be slow.
	minSlow = 6
	// rateTolerance is the multiple of the old release's rate of bad responses that a good
	// release may have.
	rateTolerance = 2
	// priorWeight is the number of responses that the rate of all routes counts for on one.
	// Most requests of a route with few of them are samples, so the old release has few.
	priorWeight = 50
	// minFailureRate and minSlowRate are rates that a good release may have in any case.
	// Some responses are slow because endpoints of a release that has just started are.
	minFailureRate, minSlowRate = 0.01, 0.03
	// manyBad is the number of bad responses, without those of the worst endpoint, from which
	// on a release in doubt is bad. The operator's bound
	// counts from the 50th bad response.
	manyBad = 15
	// sufficientEnded is the number of responses that suffice for a verdict, fewEnded the
	// number that is needed in any case, and sufficientShare the part of the service's
	// requests that suffices if there are few.
	sufficientEnded, fewEnded, sufficientShare = 20, 3, 0.5
)

// chance returns the greatest probability that a release as good as the old one gives the
// observed responses. Reference holds earlier counts of the old release, whose rates count if
// they are higher: while all requests move, it has few responses. The bad responses of the
// worst endpoint do not count if there are others, since one endpoint may fail for reasons of
// its own.
func (r *RouteEvidence) chance(endpoints int, reference, all Tally) float64 {
	ignored, n := r.worstEndpoint(endpoints)
	n = r.New.Ended - n
	test := func(bad func(Tally) int64, fewest int64, least float64) float64 {
		usual := rate(bad(all), all.Ended, 0)
		tolerated := max(rate(bad(r.Old), r.Old.Ended, usual), rate(bad(reference), reference.Ended, usual))
		tolerated = max(rateTolerance*tolerated, least)
		observed := bad(r.New) - ignored
		if observed < fewest {
			return 1
		}
		p := binomialTail(n, observed, tolerated)
		if observed >= manyBad && p < doubtChance {
			return 0
		}
		return p
	}
	return min(
		test(func(t Tally) int64 { return t.Failed }, minBad, minFailureRate),
		test(func(t Tally) int64 { return t.Slow }, minSlow, minSlowRate),
		test(Tally.bad, minSlow, minFailureRate+minSlowRate),
	)
}

// worstEndpoint returns the bad responses of the worst endpoint of several, and an estimate of
// all its responses: it has at most an equal share of those of the sampled endpoints, and less
// if bad responses are spread over more endpoints.
func (r *RouteEvidence) worstEndpoint(endpoints int) (bad, ended int64) {
	if endpoints < 2 {
		return 0, 0
	}
	for _, n := range r.BadAt {
		bad = max(bad, n)
	}
	if bad == 0 {
		return 0, 0
	}
	return bad, min(r.New.Ended/int64(min(endpoints, minSampled)), r.New.Ended*bad/max(1, r.New.bad()))
}

// rate returns an upper estimate of the rate of bad responses of the old release on one route,
// or 0 if it has ended none. With few responses, the rate of all routes counts more.
func rate(bad, ended int64, all float64) float64 {
	if ended == 0 {
		return 0
	}
	weight := 0.0
	if all > 0 {
		weight = priorWeight
	}
	return min(1, (float64(bad)+math.Sqrt(float64(bad))+1+weight*all)/(float64(ended)+1+weight))
}

// chance returns the least chance of all routes and of their sum; see RouteEvidence.chance.
func (e evidence) chance(endpoints int, reference evidence) float64 {
	total, before := e.total(), reference.total()
	least := total.chance(endpoints, before.Old, Tally{})
	for name, r := range e {
		earlier := Tally{}
		if from := reference[name]; from != nil {
			earlier = from.Old
		}
		least = min(least, r.chance(endpoints, earlier, total.Old.add(before.Old)))
	}
	return least
}

// isSufficient reports whether there are enough responses for a good verdict.
func (e evidence) isSufficient() bool {
	t := e.total()
	good := t.New.Ended - t.New.bad()
	all := t.Old.Ended + t.New.Ended
	return good >= sufficientEnded || good >= fewEnded && float64(good) >= sufficientShare*float64(all)
}

// binomialTail returns the probability of at least k of n events of probability p each.
func binomialTail(n, k int64, p float64) float64 {
	if k <= 0 || p >= 1 {
		return 1
	}
	if k > n {
		return 0
	}
	logTerm := func(i int64) float64 {
		return logChoose(n, i) + float64(i)*math.Log(p) + float64(n-i)*math.Log1p(-p)
	}
	if float64(k) <= float64(n)*p {
		return 1 // not in the upper tail
	}
	sum := 0.0
	for i := k; i <= n; i++ {
		term := math.Exp(logTerm(i))
		sum += term
		if term < sum*1e-6 {
			break // terms beyond the mean decrease
		}
	}
	return min(1, sum)
}

func logChoose(n, k int64) float64 {
	lg := func(x int64) float64 {
		v, _ := math.Lgamma(float64(x + 1))
		return v
	}
	return lg(n) - lg(k) - lg(n-k)
}

// schedule holds the times of a rollout as durations since the order.
type schedule struct {
	// load is when Loading begins, move when the release may be declared good, decide when
	// it is rolled back if it was not declared good, and complete when completed is written
	// even if requests at the old release have not ended.
	load, move, decide, complete time.Duration
}

const (
	// Parts of the order's duration with their limits: before the deadline for the store's
	// answer, before that for the requests in flight, before that for observation under load.
	writeFraction, minWrite, maxWrite = 0.06, 400 * time.Millisecond, 3 * time.Second
	drainFraction, minDrain           = 0.2, 700 * time.Millisecond
	loadFraction, minLoad, maxLoad    = 0.1, 600 * time.Millisecond, 10 * time.Second
	// drainMargin is added to the duration of requests for the time until all routers move.
	drainMargin = 700 * time.Millisecond
	// decideFraction is the part of the drain time that is left after the last decision.
	decideFraction = 0.4
)

// newSchedule returns the times for an order of a duration. Requests of the old release last
// for up to the given time. The decision is as late as possible, since some releases turn
// bad only later.
func newSchedule(total, requests time.Duration) schedule {
	part := func(fraction float64, least, most time.Duration) time.Duration {
		d := time.Duration(fraction * float64(total))
		return min(max(d, min(least, total/8)), most)
	}
	drain := min(requests+drainMargin, part(drainFraction, minDrain, total))
	drain = max(drain, min(minDrain, total/8))
	s := schedule{complete: total - part(writeFraction, minWrite, maxWrite)}
	s.move = s.complete - drain
	load := part(loadFraction, minLoad, maxLoad)
	s.load = s.move - load - min(requests, load) // until the first responses under load have ended
	s.decide = s.complete - time.Duration(decideFraction*float64(drain))
	return s
}
