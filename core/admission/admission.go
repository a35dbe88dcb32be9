// Package admission refuses requests of the least urgent ranks of a service while more urgent
// ones miss their targets for want of capacity. It decides from the outcomes of requests by
// rank, this router's own and those that its peers report (peers.go), and from the load that
// the endpoints report. A router that is parted from the others goes by its own observations.
//
// The ranks of a service are admitted in full until the outcomes say otherwise (control.go).
// Then a fraction of the requests of the least urgent rank is admitted, the same one of each
// account, kind and size (fair.go). A rank never gets less than minFraction, and the most
// urgent one is never refused.
package admission

import (
	"maps"
	"sync"
	"time"

	"github.com/kumquatsill/kumquatsill/core/place"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

const (
	// Interval is the time between two calls of Evaluate.
	Interval = 200 * time.Millisecond
	// honoredFraction is the fraction of its remaining time that a caller waits at most for
	// a retry.
	honoredFraction = 1.0 / 3
	// minRetryAfter is the least time told to a refused caller: that in which requests end.
	minRetryAfter = 200 * time.Millisecond
	// returningPart is the part of the admitted requests that is promised to callers that
	// return. The rest is left to new ones.
	returningPart = 0.5
)

// Request is one request that asks for admission.
type Request struct {
	Service string
	// Rank is the priority; 0 is the most urgent.
	Rank int
	// Account, Route and Tokens set what the request shares its fraction with: requests of
	// the same account, kind and similar size.
	Account proto.AccountID
	Route   string
	Tokens  int64
	// Remaining is how long the caller will wait.
	Remaining time.Duration
	// Returning is set if the request was refused before.
	Returning bool
}

// Decision is the result of Admit.
type Decision struct {
	OK bool
	// Fraction is the part of the requests of its rank that is admitted.
	Fraction float64
	// RetryAfter is when a refused request is admitted if it returns. It is beyond what the
	// caller honors if there is no such time.
	RetryAfter time.Duration
	// Promised is set if the caller waits for so long.
	Promised bool
}

// Outcome is how a request ended that was admitted.
type Outcome uint8

const (
	// InTime means that the response began within the target of its route.
	InTime Outcome = iota
	// Late means that it began later.
	Late
	// Unserved means that no endpoint served the request.
	Unserved
)

// Controller decides for all services of one router. It is safe for concurrent use.
type Controller struct {
	mu       sync.Mutex
	services map[string]*service
}

// New returns a Controller that admits all requests.
func New() *Controller { return &Controller{services: map[string]*service{}} }

// service is the state of one service.
type service struct {
	ranks map[int]*rank
	// isPressed is set while the endpoints have no spare capacity.
	isPressed bool
	// changedAt is when a fraction changed last.
	changedAt proto.Instant
}

// rank is the state of the requests of one rank of a service.
type rank struct {
	outcomes outcomes
	// fraction is the part of the requests that is admitted.
	fraction   float64
	credits    credits
	peers      map[proto.RouterID]peerReport
	lastSeenAt proto.Instant
	// nextPosition is when the next refused request may return.
	nextPosition proto.Instant
}

func (c *Controller) rank(now proto.Instant, service string, n int) *rank {
	s := c.services[service]
	if s == nil {
		s = newService()
		c.services[service] = s
	}
	r := s.ranks[n]
	if r == nil {
		r = &rank{fraction: 1, lastSeenAt: now, peers: map[proto.RouterID]peerReport{}, outcomes: outcomes{updatedAt: now}}
		s.ranks[n] = r
	}
	return r
}

func newService() *service { return &service{ranks: map[int]*rank{}} }

// Admit decides about a request. load returns the load of its service; it is called only if
// the request would be refused.
func (c *Controller) Admit(now proto.Instant, q Request, load func() place.ServiceLoad) Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rank(now, q.Service, q.Rank).admit(now, q, load)
}

// Preview returns what Admit would return. It changes nothing.
func (c *Controller) Preview(now proto.Instant, q Request, load func() place.ServiceLoad) Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.services[q.Service]
	if s == nil || s.ranks[q.Rank] == nil {
		return Decision{OK: true, Fraction: 1}
	}
	r := *s.ranks[q.Rank]
	r.credits = maps.Clone(r.credits)
	return r.admit(now, q, load)
}

func (r *rank) admit(now proto.Instant, q Request, load func() place.ServiceLoad) Decision {
	r.outcomes.advance(now)
	r.outcomes.arrivals += 1 / averagingTime.Seconds()
	r.lastSeenAt = now
	d := Decision{OK: true, Fraction: r.fraction}
	if r.fraction >= 1 || r.credits.take(q, r.fraction) || load().HasSpare() {
		return d
	}
	d.OK = false
	r.position(now, q, &d)
	return d
}

// position gives a refused request the next position among those that return: they are as far
// apart as requests of the rank are admitted.
func (r *rank) position(now proto.Instant, q Request, d *Decision) {
	perSecond := max(1, r.outcomes.arrivals*r.fraction*returningPart)
	next := max(r.nextPosition, now.Add(minRetryAfter)).Add(time.Duration(float64(time.Second) / perSecond))
	d.RetryAfter = next.Sub(now)
	if d.Promised = d.RetryAfter <= time.Duration(honoredFraction*float64(q.Remaining)); d.Promised {
		r.nextPosition = next
	}
}

// YieldsTo reports whether requests of a rank are behind more urgent ones of their service that
// miss their targets: the rank is refused in part, or a more urgent one than it is.
func (c *Controller) YieldsTo(service string, rank int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.services[service]
	if s == nil {
		return false
	}
	for n, r := range s.ranks {
		if n <= rank && r.fraction < 1 {
			return true
		}
	}
	return false
}

// Record records the outcome of a request that was admitted.
func (c *Controller) Record(now proto.Instant, service string, rank int, o Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.rank(now, service, rank)
	r.outcomes.advance(now)
	r.outcomes.counts[o]++
}
