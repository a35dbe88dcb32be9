package canary

import (
	"math"
	"time"
)

const (
	// badChance is the probability below which bad responses of a release that is as good as
	// the old one are ruled out. It is low because the counts are tested several times a
	// second, by route.
	badChance = 1e-4
	// doubtChance is the probability below which a release is in doubt: it is observed for
	// longer, and rolled back if the doubt remains.
	doubtChance = 5e-3
	// minBad is the number of bad responses below which a release is not rolled back.
	minBad = 3
	// rateTolerance is the multiple of the old release's rate of bad responses that a good
	// release may have.
	rateTolerance = 2
	// minFailureRate and minSlowRate are rates that a good release may have in any case.
	// Some responses are slow because endpoints of a release that has just started are.
	minFailureRate, minSlowRate = 0.01, 0.04
	// sufficientEnded is the number of responses that suffice for a verdict, fewEnded the
	// number that is needed in any case, and sufficientShare the part of the service's
	// requests that suffices if there are few.
	sufficientEnded, fewEnded, sufficientShare = 20, 3, 0.5
)

// chance returns the greatest probability that a release as good as the old one gives the
// observed responses. The bad responses of the worst endpoint do not count if there are
// others, since one endpoint may fail for reasons of its own.
func (r *RouteEvidence) chance(endpoints int) float64 {
	ignored := int64(0)
	if endpoints > 1 {
		for _, n := range r.BadAt {
			ignored = max(ignored, n)
		}
	}
	n := r.New.Ended
	test := func(bad, oldBad int64, least float64) float64 {
		if bad -= ignored; bad < minBad {
			return 1
		}
		old := (float64(oldBad) + 0.5) / float64(r.Old.Ended+1)
		if r.Old.Ended == 0 {
			old = 0
		}
		return binomialTail(n, bad, max(rateTolerance*old, least))
	}
	return min(
		test(r.New.Failed, r.Old.Failed, minFailureRate),
		test(r.New.Slow, r.Old.Slow, minSlowRate),
		test(r.New.bad(), r.Old.bad(), minFailureRate+minSlowRate),
	)
}

// chance returns the least chance of all routes and of their sum.
func (e evidence) chance(endpoints int) float64 {
	least := e.total().chance(endpoints)
	for _, r := range e {
		least = min(least, r.chance(endpoints))
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
	drainFraction, minDrain           = 0.2, 600 * time.Millisecond
	loadFraction, minLoad, maxLoad    = 0.17, 600 * time.Millisecond, 10 * time.Second
	// drainMargin is added to the duration of requests for the time until all routers move.
	drainMargin = 500 * time.Millisecond
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
	s.load = s.move - part(loadFraction, minLoad, maxLoad)
	s.decide = s.complete - time.Duration(decideFraction*float64(drain))
	return s
}
