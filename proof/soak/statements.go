package soak

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/kumquatsill/kumquatsill/standin/hosting"
)

const (
	// drainTimeout is how long after an answer that says so a router may send requests to
	// an engine that leaves.
	drainTimeout = 1500 * time.Millisecond
	// minStatingEngines is the number of model engines from which on one of them leaves and
	// one refuses requests now and then, so that others serve.
	minStatingEngines = 3
	// Each refusalPeriod, an engine refuses all requests for refusalTime and names
	// refusalRetryAfter. From pauseSlack after a refusal until the end of that time, it may
	// get maxPausedArrivals requests of the router that it has refused.
	refusalPeriod     = 3 * time.Second
	refusalTime       = 300 * time.Millisecond
	refusalRetryAfter = 1500 * time.Millisecond
	pauseSlack        = 500 * time.Millisecond
	maxPausedArrivals = 2
	// answerTime is how long before the answer is read an engine may have sent it.
	answerTime = 500 * time.Millisecond
	// silencedTime is how long connections may stay silent after a fault of their path, so
	// that a router does not get the answers that an engine has sent.
	silencedTime = 6 * time.Second
)

// startStatements lets one model engine say that it leaves, and another one refuse
// requests now and then, beside the one that names a limit.
func (f *Fleet) startStatements(rng *rand.Rand, c *conditions) {
	var free []*endpoint
	models := 0
	for _, e := range f.endpoints {
		if e.engine.Model == "" {
			continue
		}
		models++
		if e.engine != c.limited {
			free = append(free, e)
		}
	}
	if models < minStatingEngines {
		return
	}
	rng.Shuffle(len(free), func(i, j int) { free[i], free[j] = free[j], free[i] })
	c.leaving, c.refusing = free[0].engine, free[1]
	c.leaving.SayLeaving(true)
	c.refusing.engine.RefusePeriodically(refusalPeriod, refusalTime, strconv.FormatFloat(refusalRetryAfter.Seconds(), 'f', -1, 64))
}

// saysLeaving returns the engine that has sent an answer in which it says that it leaves,
// or "".
func saysLeaving(h http.Header) string {
	if h.Get("Server-Leaving") == "" {
		return ""
	}
	return h.Get("Kumquatsill-Response-Signature")
}

// checkLeaving checks that no request was sent to an incarnation of an engine after a router
// had passed on that it leaves.
func (o *observations) checkLeaving(fail func(string, string, ...any)) {
	e := o.conditions.leaving
	if e == nil {
		return
	}
	attempts := map[string]attempt{}
	for _, a := range o.attempts {
		attempts[a.id] = a
	}
	type audience struct {
		router    *process
		startedAt int64
	}
	told := map[audience][]time.Time{}
	for _, arrival := range e.Arrivals() {
		if a := attempts[arrival.AttemptID]; a.leaving == hosting.SignatureOf(e.ID) {
			key := audience{a.router, arrival.StartedAt}
			told[key] = append(told[key], a.endedAt)
		}
	}
	late := 0
	for _, arrival := range e.Arrivals() {
		a, known := attempts[arrival.AttemptID]
		isLate := func(toldAt time.Time) bool {
			return a.sentAt.After(toldAt.Add(drainTimeout)) && !a.router.disturbedBetween(toldAt, a.sentAt)
		}
		if known && slices.ContainsFunc(told[audience{a.router, arrival.StartedAt}], isLate) {
			late++
		}
	}
	if late > 0 {
		fail("leaving-endpoint", "%d requests reached %s later than %v after a router had passed on that it leaves", late, e.ID, drainTimeout)
	}
}

// checkPauses checks that hardly any request reaches an engine while it wants none.
func (o *observations) checkPauses(fail func(string, string, ...any)) {
	if o.conditions.refusing == nil {
		return
	}
	arrivals := map[*process][]hosting.Arrival{}
	routers := map[string]*process{}
	for _, a := range o.attempts {
		routers[a.id] = a.router
	}
	for _, a := range o.conditions.refusing.engine.Arrivals() {
		if p := routers[a.AttemptID]; p != nil {
			arrivals[p] = append(arrivals[p], a)
		}
	}
	most := 0
	for p, list := range arrivals {
		for i, refusal := range list {
			end := refusal.At.Add(refusalRetryAfter)
			if refusal.RetryAfter == "" || p.disturbedBetween(refusal.At.Add(-answerTime), end) ||
				o.conditions.refusing.proxy.faultyBetween(refusal.At.Add(-silencedTime), end) {
				continue
			}
			most = max(most, pausedArrivals(list[i:], refusal.At.Add(pauseSlack), end))
		}
	}
	if most > maxPausedArrivals {
		fail("endpoint-pause", "%d requests of one router reached %s while it wanted none", most, o.conditions.refusing.engine.ID)
	}
}

// pausedArrivals returns the number of arrivals between two times at the incarnation that the
// first of them reached.
func pausedArrivals(list []hosting.Arrival, from, to time.Time) int {
	n := 0
	for _, a := range list {
		if a.StartedAt == list[0].StartedAt && a.At.After(from) && a.At.Before(to) {
			n++
		}
	}
	return n
}
