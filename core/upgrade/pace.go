package upgrade

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

const (
	// initialLoadTime is the expected duration of a load until one was observed.
	initialLoadTime = 600 * time.Millisecond
	// loadTimeSmoothing is the weight of a new observation in the moving average.
	loadTimeSmoothing = 0.3
	// initialFraction is the fraction of the engines that load at the same time
	// until observed loads show what the source of the weights can carry.
	initialFraction = 0.2
	// maxFraction is the greatest fraction of the engines that load at the same
	// time, also when time is short.
	maxFraction = 0.5
	// minTasks is the number of engines that may be upgraded at the same time
	// even if a fraction allows fewer.
	minTasks = 2
	// maxSlowdown is how much longer than the shortest ones loads may take before
	// they count as slowing each other down.
	maxSlowdown = 1.3
	// explorationFraction is by how much the number of loads at the same time grows
	// while they do not slow each other down.
	explorationFraction = 0.125
	// deadlineReserve is the fraction of the time that a version may still be used
	// which is kept free for engines that do not respond.
	deadlineReserve = 0.3
)

// pace learns how long engines take to load weights and how many can load at the
// same time without slowing each other down: engines fetch weights from a shared
// source of limited rate, so that more loads at once only keep more engines out of
// service for longer.
type pace struct {
	// typical is the moving average of the time from an accepted order until the
	// version was seen; 0 until a load was observed.
	typical time.Duration
	// byConcurrency holds the same for each number of engines that were loading at
	// the same time.
	byConcurrency map[int]time.Duration
}

// observe records a load that took the given time while concurrent engines were
// loading.
func (p *pace) observe(took time.Duration, concurrent int) {
	if p.byConcurrency == nil {
		p.byConcurrency = map[int]time.Duration{}
	}
	p.typical = average(p.typical, took)
	p.byConcurrency[concurrent] = average(p.byConcurrency[concurrent], took)
}

// average adds an observation to a moving average, which is 0 at first.
func average(old, observed time.Duration) time.Duration {
	if old == 0 {
		return observed
	}
	return old + time.Duration(loadTimeSmoothing*float64(observed-old))
}

// loadTime returns the expected duration of a load.
func (p *pace) loadTime() time.Duration {
	if p.typical == 0 {
		return initialLoadTime
	}
	return p.typical
}

// sustainable returns how many of the engines can load at the same time without
// slowing each other down. If that is the most that was observed, it returns some
// more, to find out.
func (p *pace) sustainable(engines int) int {
	if p.typical == 0 {
		return int(math.Round(initialFraction * float64(engines)))
	}
	shortest := time.Duration(math.MaxInt64)
	for _, took := range p.byConcurrency {
		shortest = min(shortest, took)
	}
	best, most := 0, 0
	for concurrent, took := range p.byConcurrency {
		most = max(most, concurrent)
		if float64(took) <= maxSlowdown*float64(shortest) {
			best = max(best, concurrent)
		}
	}
	if best == most {
		best += max(1, int(explorationFraction*float64(best)))
	}
	return best
}

// maxTasks returns how many of the engines may be upgraded at the same time.
// timesLeft holds, for each outdated engine, how long its version may still be
// used.
func (p *pace) maxTasks(engines int, timesLeft []time.Duration) int {
	wanted := max(minTasks, p.sustainable(engines), p.required(timesLeft))
	return min(wanted, max(minTasks, int(math.Round(maxFraction*float64(engines)))))
}

// required returns how many engines have to load at the same time so that each is
// done before its version may no longer be used.
func (p *pace) required(timesLeft []time.Duration) int {
	perEngine := quiesceDelay + p.loadTime() + pollInterval
	slices.SortFunc(timesLeft, cmp.Compare[time.Duration])
	tasks := 0.0
	for i, left := range timesLeft {
		usable := max(perEngine, time.Duration((1-deadlineReserve)*float64(left)))
		tasks = max(tasks, float64(i+1)*float64(perEngine)/float64(usable))
	}
	return int(math.Ceil(tasks))
}

// Conditions are what the Planner needs to know about traffic.
type Conditions struct {
	// InFlight returns the number of requests at an engine. Engines with fewer
	// requests load first.
	InFlight func(proto.EndpointID) int
	// TimeLeft returns how long requests may still begin on a version of a model.
	TimeLeft func(model string, version int64) time.Duration
}
