package place

import "github.com/kumquatsill/kumquatsill/core/proto"

// ServiceLoad is the load of the endpoints of one service that can take requests, as far as
// this router knows it from their reports and its own attempts.
type ServiceLoad struct {
	// Slots is the number of requests that the endpoints can run at the same time, Running
	// the number of those that they have, and Waiting the number that wait for a slot.
	Slots, Running, Waiting int
}

// maxIdleWaiting is the number of waiting requests, as a part of the slots, that says nothing
// about the capacity of a service: single endpoints queue for a moment while others are idle.
const maxIdleWaiting = 0.05

// HasSpare reports whether less than half of the slots are taken and hardly anything waits. It
// is true if the endpoints have no known slots.
func (l ServiceLoad) HasSpare() bool {
	return float64(l.Waiting) <= maxIdleWaiting*float64(l.Slots) && 2*l.Running < max(l.Slots, 1)
}

// ServiceLoad returns the load of a service.
func (p *Placer) ServiceLoad(now proto.Instant, service string) ServiceLoad {
	p.mu.Lock()
	defer p.mu.Unlock()
	var sum ServiceLoad
	for _, e := range p.list.ForService(service) {
		l := p.loads[e.ID]
		if l == nil || e.Leaving || l.slots <= 0 || now < l.backoffUntil || l.isLoading(now) {
			continue
		}
		taken := l.inFlight + l.otherInFlightAt(now)
		waiting := max(0, taken-l.slots)
		if now.Sub(l.reportedAt) < maxReportAge {
			waiting = max(waiting, l.waiting)
		}
		sum.Slots += l.slots
		sum.Running += min(taken, l.slots)
		sum.Waiting += waiting
	}
	return sum
}
