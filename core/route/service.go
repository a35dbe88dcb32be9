package route

import (
	"math"
	"slices"
	"time"

	"github.com/kumquatsill/kumquatsill/core/member"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// service picks the member of a plain service with the least expected wait.
// Equal waits are drawn, so that routers without reports spread their calls.
func (d *decision) service(g *group) (Choice, proto.Cause) {
	best, bestDraw := candidate{score: math.Inf(1)}, uint64(0)
	for _, index := range g.members {
		c := candidate{endpoint: d.snap.endpoints[index]}
		standing := c.standingAt(d.now)
		if standing >= member.Unhealthy || c.leaving || slices.Contains(d.q.Exclude, c.id) {
			continue
		}
		c.first = d.callWait(&c, standing)
		c.score = float64(c.first)
		draw := d.view.draw()
		if c.score < best.score || c.score == best.score && draw > bestDraw {
			best, bestDraw = c, draw
		}
	}
	if best.endpoint == nil {
		return Choice{}, proto.CauseNoEndpoint
	}
	choice := Choice{Endpoint: best.id, ExpectedDelay: best.first, Reason: reasonService}
	if d.q.Timeout > 0 && best.first > d.q.Timeout && best.knownAt(d.now, staleAfter) {
		return choice, proto.CauseOverload
	}
	return choice, ""
}

func (d *decision) callWait(c *candidate, standing member.Health) time.Duration {
	waiting := c.inFlight.Load()
	if report := c.report.Load(); report != nil && d.now.Sub(report.at) < staleAfter {
		waiting = max(waiting, int64(report.waiting))
	}
	wait := time.Duration(waiting) * d.view.cfg.Costs.ServiceCall
	if c.domain != d.view.cfg.Domain {
		wait += d.view.cfg.Costs.CrossDomain
	}
	c.doubted = standing == member.Doubtful || d.now < proto.Instant(c.health.doubtUntil.Load())
	if c.doubted {
		wait += doubtCost
	}
	return wait
}
