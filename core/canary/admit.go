package canary

import (
	"math/rand/v2"

	"github.com/kumquatsill/kumquatsill/core/discovery"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// Query describes the next attempt of a request.
type Query struct {
	Service, Route string
	// IsFirst is set for the first attempt of a request.
	IsFirst bool
	// IsPinned is set if the attempt has to go to endpoints of earlier attempts.
	IsPinned bool
}

// Permit tells which endpoints may get an attempt. Exactly one of Start and Cancel has an
// effect, the first one that is called.
type Permit struct {
	table   *Table
	query   Query
	service *service
	rollout *rollout
	// established and to are the releases, mode tells which of them the attempt may go to.
	established, to string
	mode            mode
	// target is the only endpoint of the new release that is allowed, or "".
	target proto.EndpointID
	// reserved is set while the attempt counts as sent to the new release.
	reserved bool
	settled  bool
}

type mode uint8

const (
	// anyRelease does not restrict the choice.
	anyRelease mode = iota
	oldOnly
	newOnly
	both
)

// Admit decides which release the next attempt of a request may go to.
func (t *Table) Admit(now proto.Instant, q Query) *Permit {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.bounds.Enabled() {
		return &Permit{table: t, query: q, settled: true}
	}
	return t.admit(now, q, t.service(q.Service), t.rng)
}

// Preview returns the permit that Admit would return, but reserves nothing, and Start has no
// effect on it. It changes nothing: the next Admit draws the same random numbers.
func (t *Table) Preview(now proto.Instant, q Query) *Permit {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.bounds.Enabled() {
		return &Permit{table: t, query: q, settled: true}
	}
	s := t.services[q.Service]
	if s == nil {
		s = newService(q.Service)
	}
	source := *t.source
	p := t.admit(now, q, s, rand.New(&source))
	p.release()
	p.settled = true
	return p
}

// admit is Admit for a service; mu must be held.
func (t *Table) admit(now proto.Instant, q Query, s *service, rng *rand.Rand) *Permit {
	p := &Permit{table: t, query: q, service: s, rollout: s.rollout, established: s.established}
	r := s.rollout
	if r == nil || r.final != "" {
		if s.known && !s.isSingle() {
			p.mode = oldOnly
		}
		return p
	}
	p.mode = oldOnly
	if s.known && s.established == r.order.To {
		return p // there are no endpoints of another release
	}
	p.to = r.order.To
	if t.statusRead {
		t.admitNew(now, p, rng)
	}
	return p
}

// admitNew lets an attempt go to the new release if the phase and the bound allow it.
func (t *Table) admitNew(now proto.Instant, p *Permit, rng *rand.Rand) {
	r, q := p.rollout, p.query
	switch phase := r.currentPhase(now); {
	case phase == Stopped || !t.inContact:
	case phase == Moving && q.IsPinned:
		p.reserve(both)
	case phase == Moving:
		p.reserve(newOnly)
	case len(r.sampled) == 0 || !r.mayAdd(q.IsFirst):
	case q.IsPinned:
		p.reserve(both)
	case !q.IsFirst || !r.wants(now, q.Route, rng.Float64()):
	case phase == Sampling:
		p.reserve(newOnly)
		p.target = r.sampled[rng.IntN(len(r.sampled))]
	default:
		p.reserve(newOnly)
	}
}

// reserve counts the attempt as sent to the new release until the permit is settled.
func (p *Permit) reserve(m mode) {
	p.mode, p.reserved = m, true
	p.rollout.ledger.sent++
}

// modeNames holds the names of the modes, for operators.
var modeNames = [...]string{anyRelease: "any", oldOnly: "established", newOnly: "new", both: "both"}

// PermitView is what a permit allows, for operators.
type PermitView struct {
	Established string `json:"established"`
	// To is the release that a rollout moves to, or "".
	To string `json:"to"`
	// Allowed is "any", "established", "new" or "both". Sampled is the only endpoint of the
	// new release that is allowed, or "".
	Allowed string           `json:"allowed"`
	Sampled proto.EndpointID `json:"sampled"`
}

// View returns what the permit allows.
func (p *Permit) View() PermitView {
	v := PermitView{Established: p.established, To: p.to, Allowed: modeNames[p.mode]}
	if p.mode == newOnly {
		v.Sampled = p.target
	}
	return v
}

// IsRestricted reports whether the permit excludes any endpoint.
func (p *Permit) IsRestricted() bool { return p.mode != anyRelease }

// Allows reports whether the attempt may go to an endpoint of its service. An endpoint that
// does not tell its release counts as established.
func (p *Permit) Allows(e *discovery.Endpoint) bool {
	isNew := p.to != "" && e.Release == p.to
	isOld := !isNew && (e.Release == p.established || e.Release == "")
	switch p.mode {
	case oldOnly:
		return isOld
	case newOnly:
		return isNew && (p.target == "" || p.target == e.ID)
	case both:
		return isOld || isNew
	}
	return true
}

// FallBack changes a permit for the new release to one for the old release, if no endpoint of
// the new one can take the attempt. It reports whether that changed anything.
func (p *Permit) FallBack() bool {
	if p.mode != newOnly {
		return false
	}
	p.table.mu.Lock()
	defer p.table.mu.Unlock()
	p.mode = oldOnly
	p.release()
	return true
}

// release takes back the reservation; mu must be held.
func (p *Permit) release() {
	if p.reserved {
		p.reserved = false
		p.rollout.ledger.sent--
	}
}

// Cancel records that the attempt was not sent.
func (p *Permit) Cancel() {
	if p == nil || p.settled {
		return
	}
	p.table.mu.Lock()
	defer p.table.mu.Unlock()
	p.settled = true
	p.release()
}

// Ticket is an attempt in progress.
type Ticket struct {
	service  *service
	rollout  *rollout
	route    string
	endpoint proto.EndpointID
	release  string
	isNew    bool
	sentAt   proto.Instant
	// counted is set once the outcome is part of the evidence.
	counted bool
}

// Start records that the attempt is sent to an endpoint. It returns nil without bounds.
func (p *Permit) Start(now proto.Instant, e *discovery.Endpoint) *Ticket {
	if p == nil || p.service == nil || p.settled {
		return nil
	}
	t := p.table
	t.mu.Lock()
	defer t.mu.Unlock()
	p.settled = true
	ticket := &Ticket{service: p.service, route: p.query.Route, endpoint: e.ID, release: e.Release, sentAt: now}
	r := p.rollout
	if r == nil || r.final != "" {
		p.release()
		return ticket
	}
	ticket.rollout, ticket.isNew = r, p.to != "" && e.Release == p.to
	if p.query.IsFirst {
		r.ledger.requests++
	}
	if !ticket.isNew {
		p.release()
	} else {
		r.own.route(p.query.Route).Sent++
		r.dirty = true
	}
	r.tickets[ticket] = struct{}{}
	return ticket
}

// Verdict is what the outcome of an attempt says about the endpoint's release.
type Verdict uint8

const (
	// Neutral says nothing: the request did not run, or its caller left.
	Neutral Verdict = iota
	// Answered is a response that is good if it came in time.
	Answered
	// Failure is a response that failed.
	Failure
	// GivenUp is an attempt without a response for which the caller or the router did not
	// wait any longer.
	GivenUp
)

// End records the outcome of an attempt. The result notify is set if the peers should be told
// at once.
func (t *Table) End(now proto.Instant, k *Ticket, v Verdict, timing Timing) (notify bool) {
	if k == nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s, r := k.service, k.rollout
	base := s.baseline(k.route)
	outcome := Tally{Ended: 1}
	switch {
	case v == Failure:
		outcome.Failed = 1
	case v != Neutral && base.isSlow(timing), v == GivenUp && base.isOverdue(timing.Total):
		outcome.Slow = 1
	case v != Answered:
		outcome = Tally{}
	}
	if v == Answered && !k.isNew && (k.release == s.established || k.release == "") {
		base.add(timing)
	}
	if r == nil {
		return false
	}
	delete(r.tickets, k)
	if outcome.Ended == 0 || r.final != "" {
		return false
	}
	r.count(k, outcome)
	return k.isNew && outcome.bad() > 0
}

var verdictNames = [...]string{Neutral: "neutral", Answered: "answered", Failure: "failure", GivenUp: "given_up"}

// String returns the verdict's name.
func (v Verdict) String() string { return verdictNames[v] }
