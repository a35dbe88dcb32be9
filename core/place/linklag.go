package place

import (
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

const (
	// maxLinkLagAge is how long an observed lag of a store's link counts; it decays
	// linearly. A router sees about one transfer a second from each store.
	maxLinkLagAge = 3 * time.Second
	// minLinkLag is the lag of a first byte after a transfer from a store above which the
	// store's link is taken to be the cause: a full link holds transfers back for a second or
	// two. Less also comes from the engine, and prompts would be computed again in vain.
	minLinkLag = 500 * time.Millisecond
	// maxIdleSourceLag is the lag of a store's link up to which an endpoint that is believed
	// to hold all parts is given the store as the source of parts that it has evicted
	// without the router's knowledge.
	maxIdleSourceLag = 300 * time.Millisecond
)

// linkLag is by how much later than planned the transfers from a store end. Routers plan the
// transfers that they know of. They do not know of those that engines make to the store and
// of those that other routers planned during the last message interval.
type linkLag struct {
	lag time.Duration
	at  proto.Instant
}

// current returns the lag to expect for a new transfer.
func (l *linkLag) current(now proto.Instant) time.Duration {
	if l == nil {
		return 0
	}
	age := now.Sub(l.at)
	if age >= maxLinkLagAge {
		return 0
	}
	return time.Duration(float64(l.lag) * (1 - float64(age)/float64(maxLinkLagAge)))
}

// update adds an observation to the moving average.
func (l *linkLag) update(now proto.Instant, lag time.Duration) {
	old := l.current(now)
	l.lag = max(0, old+time.Duration(lagSmoothing*float64(lag-old)))
	l.at = now
}

// observeTransferLag attributes the lag of a first byte to the link of the store from which
// the endpoint fetched parts, and returns the part of it that remains for the endpoint; mu
// must be held.
func (p *Placer) observeTransferLag(now proto.Instant, c *Choice, lag time.Duration) time.Duration {
	if c.Source == "" || c.SourceEngine != "" {
		return lag
	}
	link := p.storeLags[c.Source]
	if lag < minLinkLag && link.current(now) == 0 {
		return lag
	}
	if link == nil {
		link = &linkLag{}
		p.storeLags[c.Source] = link
	}
	link.update(now, lag+c.sourceLag)
	if lag < minLinkLag {
		return lag
	}
	return minLinkLag
}
