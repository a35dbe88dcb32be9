package locality

import (
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

const (
	// maxDelay bounds an observed delay, as slow endpoints delay first bytes as well.
	maxDelay = 100 * time.Millisecond
	// maxDelayAge is the age above which an observed delay no longer counts.
	maxDelayAge = 30 * time.Second
	// delaySmoothing is the weight of one observation in the moving average.
	delaySmoothing = 0.05
)

// delay is by how much later than expected from their endpoints' loads the first bytes of
// the responses from one domain arrive.
type delay struct {
	average    time.Duration
	observedAt proto.Instant
}

// ObserveDelay records by how much later than expected from the endpoint's load the first
// byte of a response from a domain arrived.
func (c *Controller) ObserveDelay(now proto.Instant, from proto.Domain, later time.Duration) {
	later = min(max(later, -maxDelay), maxDelay)
	d := c.delays[from]
	if d == nil {
		d = &delay{average: later}
		c.delays[from] = d
	}
	d.average += time.Duration(delaySmoothing * float64(later-d.average))
	d.observedAt = now
}

// delayTo returns how much longer the way to a domain and back takes than that within the
// own domain, 0 if that is not known.
func (c *Controller) delayTo(now proto.Instant, to proto.Domain) time.Duration {
	own, other := c.delays[c.own], c.delays[to]
	if own == nil || other == nil || now.Sub(own.observedAt) > maxDelayAge || now.Sub(other.observedAt) > maxDelayAge {
		return 0
	}
	return min(max(0, other.average-own.average), maxDelay)
}
