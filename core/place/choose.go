package place

import (
	"math"
	"time"

	"github.com/kumquatsill/kumquatsill/core/discovery"
	"github.com/kumquatsill/kumquatsill/core/endpointstate"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// Choice is the endpoint chosen for one attempt and the estimates behind it.
type Choice struct {
	Endpoint *discovery.Endpoint
	// Version is the version of the model that the endpoint has to run; 0 for
	// plain services.
	Version int64
	Salt    string
	// Source is the address of an engine or store to fetch parts from, or "".
	// SourceEngine is empty for a store.
	Source       string
	SourceEngine proto.EndpointID
	// Destination is the address of the store that the engine copies the parts
	// to, or "".
	Destination string
	// ExpectedTTFB is the expected time to first byte.
	ExpectedTTFB time.Duration
	// Lag is the share of ExpectedTTFB that stems from recent lag of the endpoint.
	Lag time.Duration
	// SharedTokens is the number of tokens of the shared parts, CachedTokens the
	// number of those that the endpoint holds.
	CachedTokens, SharedTokens int64
	// FetchedTokens is the number of shared tokens that the endpoint fetches.
	FetchedTokens int64
	// RecomputedTokens is the number of shared tokens that the endpoint neither
	// holds nor fetches and therefore prefills.
	RecomputedTokens int64
	// PrefillTokens is the number of prompt tokens that the endpoint prefills.
	PrefillTokens int64
	// MemoryWait is the expected time until the request fits the memory of the endpoint;
	// 0 if it fits now or its size is not known.
	MemoryWait time.Duration
	// StartWithin is the time within which the request has to begin, so that it
	// does not run on a version that is too old; 0 means no limit.
	StartWithin time.Duration
	// Candidates is the number of endpoints that were eligible. Excluded tells why others
	// were not.
	Candidates int
	Excluded   Exclusions

	// transfer is how long the transfer of the fetched parts takes; keys holds
	// the key of each part of the prompt.
	transfer time.Duration
	keys     []PartKey
	// sourceLag is the part of ExpectedTTFB that stems from the lag of the source's link.
	sourceLag time.Duration
	// tokenTime is the time expected for a prompt token, slowdown the factor of the
	// endpoint's slowdown in it.
	tokenTime time.Duration
	slowdown  float64
}

// Choose returns the endpoint of the least cost, or false if none can take the
// request.
func (p *Placer) Choose(now proto.Instant, q *Query) (Choice, bool) {
	var choice Choice
	ok := p.ChooseInto(now, q, &choice)
	return choice, ok
}

// ChooseInto is Choose with a place for the choice. The stacks of waiting requests grow to the
// deepest call that they have made, and a choice is large.
func (p *Placer) ChooseInto(now proto.Instant, q *Query, out *Choice) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := newScorer(p, now, q, p.rng)
	ok := p.choose(now, q, s, out)
	p.observeArrival(s)
	return ok
}

// selection holds the candidates of one choice.
type selection struct {
	scored           Choice
	best, lastResort cheapest
}

// choose is Choose with a scorer. It changes nothing but the scorer and p.selection; mu must be
// held.
func (p *Placer) choose(now proto.Instant, q *Query, s *scorer, out *Choice) bool {
	excluded := Exclusions{}
	p.selection = selection{best: newCheapest(), lastResort: newCheapest()}
	c, best, lastResort := &p.selection.scored, &p.selection.best, &p.selection.lastResort
	oldestUsable := p.oldestUsable(now, q.Model)
	for _, candidate := range p.candidates(q.Service) {
		e, l := candidate.endpoint, candidate.load
		permission := p.permission(now, e)
		if reason := exclusionOf(e, permission, q); reason != notExcluded {
			excluded.add(reason, permission.Wait)
			s.trace.excluded(e, reason, permission.Wait)
			continue
		}
		if l.isLoading(now) || l.versionOf(q.Model) < oldestUsable {
			excluded.add(excludedVersion, 0)
			s.trace.excluded(e, excludedVersion, 0)
			continue
		}
		if s.cannotFit(l) {
			excluded.add(excludedMemory, 0)
			s.trace.excluded(e, excludedMemory, 0)
			continue
		}
		cost := s.score(c, e, l)
		if permission.CheckDue {
			cost -= float64(limitCheckBonus)
		}
		if s.retiresBeforeStart(c) {
			excluded.add(excludedVersion, 0)
			s.trace.excluded(e, excludedVersion, 0)
			continue
		}
		// Without jitter, routers with the same knowledge would all choose the
		// same engine at once.
		random := jitter * float64(c.ExpectedTTFB) * s.rng.Float64()
		cost += random
		s.trace.offered(c, l, cost, random, &permission)
		if permission.LastResort {
			excluded.add(excludedLeaving, 0)
			lastResort.offer(c, cost)
			continue
		}
		best.offer(c, cost)
	}
	if best.offers == 0 {
		best = lastResort
	}
	*out = best.choice
	out.Candidates, out.Excluded = best.offers, excluded
	out.StartWithin = p.startTimeLeft(now, q.Model, out.Version)
	return best.offers > 0
}

// candidate is an endpoint of a service with its state.
type candidate struct {
	endpoint *discovery.Endpoint
	load     *load
}

// candidates returns the endpoints of a service. They are kept until the list of
// endpoints changes; mu must be held.
func (p *Placer) candidates(service string) []candidate {
	known, ok := p.byService[service]
	if ok {
		return known
	}
	for _, e := range p.list.ForService(service) {
		known = append(known, candidate{endpoint: e, load: p.loadFor(e)})
	}
	p.byService[service] = known
	return known
}

// cheapest keeps the choice of the least cost of those that were offered.
type cheapest struct {
	choice Choice
	cost   float64
	offers int
}

func newCheapest() cheapest { return cheapest{cost: math.Inf(1)} }

func (b *cheapest) offer(c *Choice, cost float64) {
	b.offers++
	if cost < b.cost {
		b.choice, b.cost = *c, cost
	}
}

// permission returns whether an endpoint takes a request of this router now, by what it
// says about itself.
func (p *Placer) permission(now proto.Instant, e *discovery.Endpoint) endpointstate.Permission {
	if p.cfg.States == nil {
		return endpointstate.Permission{OK: true}
	}
	return p.cfg.States.Check(now, endpointstate.EndpointOf(e))
}
