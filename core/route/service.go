package route

import (
	"math"
	"slices"
	"time"

	"github.com/kumquatsill/kumquatsill/core/member"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// chooseService chooses the member of a plain service with the shortest expected delay.
// It chooses at random among equal ones, so that routers without reports spread their
// calls.
func (d *decision) chooseService(g *group) (Choice, proto.Cause) {
	best, highest := candidate{score: math.Inf(1)}, uint64(0)
	for _, index := range g.members {
		c := candidate{endpoint: d.snap.endpoints[index]}
		health := c.healthAt(d.now)
		if health >= member.Unhealthy || c.leaving || slices.Contains(d.q.Exclude, c.id) {
			continue
		}
		c.delay = d.callDelay(&c, health)
		c.score = float64(c.delay)
		random := d.view.random()
		if c.score < best.score || c.score == best.score && random > highest {
			best, highest = c, random
		}
	}
	if best.endpoint == nil {
		return Choice{}, proto.CauseNoEndpoint
	}
	choice := Choice{Endpoint: best.id, ExpectedDelay: best.delay, Reason: reasonService}
	if d.q.Timeout > 0 && best.delay > d.q.Timeout && best.hasReport(d.now, maxReportAge) {
		return choice, proto.CauseOverload
	}
	return choice, ""
}

// callDelay returns the expected time until a candidate starts a call.
func (d *decision) callDelay(c *candidate, health member.Health) time.Duration {
	pending := c.inFlight.Load()
	if report := c.report.Load(); report != nil && d.now.Sub(report.at) < maxReportAge {
		pending = max(pending, int64(report.pending))
	}
	delay := time.Duration(pending) * d.view.cfg.Costs.ServiceCall
	if c.domain != d.view.cfg.Domain {
		delay += d.view.cfg.Costs.CrossDomain
	}
	c.doubtful = health == member.Doubtful || d.now < proto.Instant(c.domainHealth.doubtfulUntil.Load())
	if c.doubtful {
		delay += doubtfulPenalty
	}
	return delay
}
