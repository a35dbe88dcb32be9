package place

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/kumquatsill/kumquatsill/core/discovery"
	"github.com/kumquatsill/kumquatsill/core/locality"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// domainCost is what a scorer needs to know of the cost of leaving the failure domain.
type domainCost struct {
	// constant is the cost without regard to loads.
	constant time.Duration
	// decision is nil if the constant cost applies.
	decision *locality.Decision
	// ownExpected and otherExpected are the least expected times to first byte of the
	// candidates so far in the own domain and in others, with the cost of their failures.
	ownExpected, otherExpected time.Duration
}

// newDomains returns the controller of the cost of leaving the domain, or nil.
func newDomains(cfg Config) *locality.Controller {
	if !cfg.AdaptDomainCost {
		return nil
	}
	return locality.New(cfg.Domain)
}

// domainCost returns the cost of leaving the domain for a query; mu must be held.
func (p *Placer) domainCost(now proto.Instant, q *Query, rng *rand.Rand) domainCost {
	d := domainCost{
		constant:    time.Duration(float64(p.cfg.Costs.CrossDomainKilobyte) * float64(q.Bytes) / 1024),
		ownExpected: math.MaxInt64, otherExpected: math.MaxInt64,
	}
	if p.domains != nil {
		d.decision = p.domains.Decide(now, locality.Request{Service: q.Service, Bytes: q.Bytes, Rank: q.Rank}, rng.Float64)
	}
	return d
}

// domainPenalty returns the cost of the way to an endpoint's failure domain. The argument
// expected is the expected time to its first byte.
func (s *scorer) domainPenalty(e *discovery.Endpoint, expected time.Duration) time.Duration {
	if e.Domain == s.placer.cfg.Domain {
		s.ownExpected = min(s.ownExpected, expected)
		return 0
	}
	s.otherExpected = min(s.otherExpected, expected)
	if s.decision == nil {
		return s.constant
	}
	return s.decision.Cost(e.Domain, s.constant)
}

// observeArrival tells the controller what the own domain can do for the query of a scorer,
// unless that is for a further attempt; mu must be held.
func (p *Placer) observeArrival(s *scorer) {
	if p.domains == nil || len(s.q.Exclude)+len(s.q.Only) > 0 {
		return
	}
	p.domains.ObserveArrival(locality.Arrival{
		Service: s.q.Service, Bytes: s.q.Bytes, Rank: s.q.Rank, Expected: s.ownExpected, Elsewhere: s.otherExpected, Target: s.q.Target,
	})
}

// observeDelay records by how much later than expected a first byte has arrived; mu must be
// held.
func (p *Placer) observeDelay(now proto.Instant, a *Attempt, later time.Duration) {
	if p.domains != nil {
		p.domains.ObserveDelay(now, a.choice.Endpoint.Domain, later)
	}
}

// observeDomainLoad records the load that an endpoint has reported; mu must be held.
func (p *Placer) observeDomainLoad(now proto.Instant, e *discovery.Endpoint, r EndpointLoad) {
	if p.domains != nil {
		p.domains.ObserveLoad(now, locality.Load{Service: e.Service, Domain: e.Domain, Occupied: r.Running + r.Waiting, Slots: r.Slots})
	}
}

// UpdateDomains brings the cost of leaving the domain up to date with the endpoints that
// respond and with the loads observed since the last call. It returns what has changed.
func (p *Placer) UpdateDomains(now proto.Instant) []locality.Change {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.domains == nil {
		return nil
	}
	type key struct {
		service string
		domain  proto.Domain
	}
	index := map[key]int{}
	var capacities []locality.Capacity
	for id, e := range p.list.ByID {
		l := p.loads[id]
		if l.slots <= 0 {
			continue
		}
		k := key{e.Service, e.Domain}
		i, ok := index[k]
		if !ok {
			i = len(capacities)
			index[k] = i
			capacities = append(capacities, locality.Capacity{Service: e.Service, Domain: e.Domain})
		}
		capacities[i].Slots += l.slots
		if p.isUsable(now, e, l) {
			capacities[i].Usable += l.slots
		}
	}
	return p.domains.Update(now, capacities)
}

// isUsable reports whether an endpoint responds and takes requests; mu must be held.
func (p *Placer) isUsable(now proto.Instant, e *discovery.Endpoint, l *load) bool {
	return !e.Leaving && !l.isLoading(now) && now >= l.backoffUntil && now >= l.silentUntil && !l.isSilent(now) &&
		!l.heartbeatOverdue(now, p.limits.HeartbeatTimeout)
}

// DomainSummaries returns the loads of the own failure domain, to be reported to the peers
// in others.
func (p *Placer) DomainSummaries(now proto.Instant) []locality.Summary {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.domains == nil {
		return nil
	}
	return p.domains.Summaries(now)
}

// HandleDomainSummaries records the loads that a peer reports of its failure domain.
func (p *Placer) HandleDomainSummaries(now proto.Instant, from proto.Domain, summaries []locality.Summary) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.domains == nil {
		return
	}
	for _, s := range summaries {
		p.domains.HandleSummary(now, from, s)
	}
}

// FetchOrigin returns the failure domain from which the endpoint of a choice fetches cached
// parts, and their size in bytes; 0 bytes if that is not known.
func (p *Placer) FetchOrigin(c Choice) (from proto.Domain, bytes int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.config == nil {
		return "", 0
	}
	svc := p.config.Services[c.Endpoint.Service]
	if svc == nil || svc.Engine == nil {
		return "", 0
	}
	bytes = c.FetchedTokens * svc.Engine.TokenBytes
	if e := p.list.ByID[c.SourceEngine]; e != nil {
		return e.Domain, bytes
	}
	for _, other := range p.config.Services {
		if other.Store != nil && other.Store.Addr == c.Source {
			return other.Store.Domain, bytes
		}
	}
	return "", 0
}
