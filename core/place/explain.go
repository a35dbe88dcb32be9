package place

import (
	"math/rand/v2"
	"time"

	"github.com/kumquatsill/kumquatsill/core/discovery"
	"github.com/kumquatsill/kumquatsill/core/endpointstate"
	"github.com/kumquatsill/kumquatsill/core/locality"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// CostParts are the components of the cost of an endpoint, which is their sum.
type CostParts struct {
	// Wait is the time until the endpoint begins the request, Lag its recent lag.
	Wait, Lag time.Duration
	// Prefill is the time to prefill the prompt, Fetch the time to fetch parts of it.
	Prefill, Fetch time.Duration
	// Prompt is the cost of parts that are recomputed or fetched in addition to the time.
	Prompt time.Duration
	// OldVersion, Domain and Health are the costs of an old version of the model, of
	// leaving the failure domain, and of failures, pauses and silence.
	OldVersion, Domain, Health time.Duration
	// Lateness is what late streams at the endpoint cost the callers, Memory the cost of a
	// request that exceeds the endpoint's memory.
	Lateness, Memory time.Duration
	// Affinity is the bonus, below 0, for requests with the same parts, LimitCheck that for
	// an endpoint whose limit is to be checked.
	Affinity, LimitCheck time.Duration
	// Jitter is the random addition.
	Jitter time.Duration
}

// Total returns the sum of the components.
func (c *CostParts) Total() time.Duration {
	return c.Wait + c.Lag + c.Prefill + c.Fetch + c.Prompt + c.OldVersion + c.Domain + c.Health + c.Lateness + c.Memory +
		c.Affinity + c.LimitCheck + c.Jitter
}

// unknownAge is the age of data that this router does not have.
const unknownAge = -1

// Assessment is how an endpoint was assessed for a request. The choice and the costs are
// valid unless it was excluded.
type Assessment struct {
	Choice Choice
	// Cost is what endpoints are compared by, Costs what it consists of.
	Cost  time.Duration
	Costs CostParts
	// TokenTime is the time expected for a prompt token, Slowdown the factor of the
	// endpoint's slowdown in it; 0 if it reports none or the request has no limit for gaps.
	TokenTime time.Duration
	Slowdown  float64
	// Excluded is why the endpoint could not take the request, or "". Wait is the time until
	// it may, 0 if unknown.
	Excluded string
	Wait     time.Duration
	// LastResort is set if the endpoint counts only where no other one can take the request.
	LastResort bool
	// InFlight is the number of own attempts, OthersInFlight that of other routers as far as
	// known. Slots is 0 if unknown.
	InFlight, OthersInFlight, Slots int
	// LoadAge, LagAge, ResponseAge and HeartbeatAge are the ages of the reported load, of
	// the observed lag, of the last response and of the last registration; unknownAge if
	// there is none.
	LoadAge, LagAge, ResponseAge, HeartbeatAge time.Duration
}

// Explanation is what Choose would decide.
type Explanation struct {
	Choice Choice
	// OK is false if no endpoint can take the request.
	OK          bool
	Assessments []Assessment
	// Mode is how the cost of leaving the failure domain is set, LeavesFor the domain that
	// the request was drawn to leave for, or "". Domains are the loads behind this.
	Mode      locality.Mode
	LeavesFor proto.Domain
	Domains   []locality.View
}

// Preview makes the choices that the next calls of Choose would make. It changes nothing: the
// next Choose draws the same random numbers.
type Preview struct {
	placer *Placer
	rng    *rand.Rand
}

// Preview returns a preview that begins with the next choice.
func (p *Placer) Preview() *Preview {
	p.mu.Lock()
	defer p.mu.Unlock()
	source := *p.source
	return &Preview{placer: p, rng: rand.New(&source)}
}

// Explain returns what Choose would return now and why.
func (p *Placer) Explain(now proto.Instant, q *Query) Explanation { return p.Preview().Explain(now, q) }

// Explain returns what Choose would return after the choices that were explained before.
func (v *Preview) Explain(now proto.Instant, q *Query) Explanation {
	p := v.placer
	p.mu.Lock()
	defer p.mu.Unlock()
	s := newScorer(p, now, q, v.rng)
	s.trace = &trace{scorer: s}
	var x Explanation
	x.OK = p.choose(now, q, s, &x.Choice)
	x.Assessments = s.trace.assessments
	if s.decision != nil {
		x.LeavesFor = s.decision.To
	}
	if p.domains != nil {
		x.Mode, x.Domains = p.domains.Views(now, q.Service)
	}
	return x
}

// trace records the assessments of a choice. On a nil trace, which is the usual case, the
// methods that the choice calls do nothing; they are small enough to be inlined there.
type trace struct {
	scorer      *scorer
	assessments []Assessment
	// parts holds the components of the endpoint scored last, without jitter and bonuses.
	parts CostParts
}

// scored records the components of the score of an endpoint.
func (t *trace) scored(c *Choice, l *load, v *view, p *penalties) {
	if t != nil {
		t.recordScore(c, l, v, p)
	}
}

func (t *trace) recordScore(c *Choice, l *load, v *view, p *penalties) {
	s := t.scorer
	t.parts = CostParts{
		Wait: s.wait(l, v), Lag: c.Lag, Prefill: time.Duration(c.PrefillTokens) * c.tokenTime,
		Prompt: p.prompt, OldVersion: p.oldVersion, Domain: p.domain, Health: p.health, Lateness: p.lateness, Memory: p.memory,
		Affinity: -time.Duration(s.affinity(l)),
	}
	t.parts.Fetch = c.ExpectedTTFB - t.parts.Wait - t.parts.Lag - t.parts.Prefill
}

// offered records an endpoint that can take the request, with its cost. The argument jitter is
// the random part of the cost.
func (t *trace) offered(c *Choice, l *load, cost, jitter float64, p *endpointstate.Permission) {
	if t != nil {
		t.recordOffer(c, l, cost, jitter, p)
	}
}

func (t *trace) recordOffer(c *Choice, l *load, cost, jitter float64, p *endpointstate.Permission) {
	a := t.assess(*c, l)
	a.Cost, a.Costs, a.LastResort = time.Duration(cost), t.parts, p.LastResort
	a.TokenTime, a.Slowdown = c.tokenTime, c.slowdown
	if p.CheckDue {
		a.Costs.LimitCheck = -limitCheckBonus
	}
	a.Costs.Jitter = time.Duration(jitter)
	t.assessments = append(t.assessments, a)
}

// excluded records an endpoint that cannot take the request.
func (t *trace) excluded(e *discovery.Endpoint, reason exclusion, wait time.Duration) {
	if t == nil {
		return
	}
	a := t.assess(Choice{Endpoint: e}, t.scorer.placer.loads[e.ID])
	a.Excluded, a.Wait = exclusionNames[reason], wait
	t.assessments = append(t.assessments, a)
}

// assess returns what is known of an endpoint.
func (t *trace) assess(c Choice, l *load) Assessment {
	a := Assessment{Choice: c, LoadAge: unknownAge, LagAge: unknownAge, ResponseAge: unknownAge, HeartbeatAge: unknownAge}
	if l == nil {
		return a
	}
	now := t.scorer.now
	a.InFlight, a.OthersInFlight, a.Slots = l.inFlight, l.otherInFlightAt(now), l.slots
	for age, at := range map[*time.Duration]proto.Instant{
		&a.LoadAge: l.reportedAt, &a.LagAge: l.lagAt, &a.ResponseAge: l.response.at(), &a.HeartbeatAge: l.lastHeartbeat,
	} {
		if at != 0 {
			*age = now.Sub(at)
		}
	}
	return a
}
