package canary_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/core/canary"
	"github.com/kumquatsill/kumquatsill/core/discovery"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

const (
	simTick       = 10 * time.Millisecond
	simService    = "s"
	simEndpoints  = 24
	simDuration   = 12 * time.Second
	periodicDelay = 200 * time.Millisecond
)

var simBounds = canary.Bounds{ExposureShare: 0.1, ExposureSlack: 50, RollbackWithin: 5 * time.Second}

// response is how an endpoint responds to a request.
type response struct {
	verdict canary.Verdict
	took    time.Duration
}

// simRequest is what the behavior of an endpoint may depend on.
type simRequest struct {
	// at is the time since the order, running the number of requests at the endpoint.
	at       time.Duration
	route    string
	release  string
	endpoint int
	running  int
	usual    time.Duration
	random   float64
}

// sim simulates routers that exchange delayed and partly lost messages, and endpoints of two
// releases.
type sim struct {
	t       *testing.T
	rng     *rand.Rand
	routers []*simRouter
	list    *discovery.Snapshot
	// rate is the number of requests per second, routes the share of each route.
	rate   float64
	routes map[string]float64
	behave func(simRequest) response
	// holder is the index of the lease holder, or -1.
	holder  int
	stored  canary.Status
	storeAt time.Duration
	loss    float64
	running map[proto.EndpointID]int
	now     proto.Instant
	ordered proto.Instant
	events  map[proto.Instant][]func()

	requests, exposed, bad int64
	fiftiethBadAt          proto.Instant
	lastExposedAt          proto.Instant
}

type simRouter struct {
	id    proto.RouterID
	life  int64
	table *canary.Table
	early bool
	cut   bool
}

func newSim(t *testing.T, routers int, seed uint64) *sim {
	s := &sim{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), rate: 280, routes: map[string]float64{"a": 0.58, "b": 0.4, "rare": 0.02},
		loss: 0.05, running: map[proto.EndpointID]int{}, now: proto.Instant(time.Hour), events: map[proto.Instant][]func(){},
		behave: func(r simRequest) response { return response{canary.Answered, r.usual} },
	}
	s.setEndpoints("v1", "v2")
	for i := range routers {
		s.routers = append(s.routers, &simRouter{id: proto.RouterID(fmt.Sprint("r", i))})
		s.restart(i)
	}
	return s
}

func (s *sim) setEndpoints(releases ...string) {
	table := discovery.NewTable()
	for i, release := range releases {
		for n := range simEndpoints {
			table.Put(s.now, &discovery.Endpoint{
				ID: proto.EndpointID(fmt.Sprint(release, "-", n)), Service: simService, Release: release, Started: int64(1 + i*1000 + n),
				Domain: proto.Domain(fmt.Sprint("d", n%3)),
			})
		}
	}
	s.list = table.Snapshot()
	for _, r := range s.routers {
		if r.table != nil {
			r.table.Update(s.now, s.list)
		}
	}
}

// restart replaces a router's process by a new one, which reads the store.
func (s *sim) restart(i int) {
	r := s.routers[i]
	r.life++
	r.table = canary.NewTable(r.id, r.life*1000+int64(i))
	r.table.SetBounds(simBounds)
	r.table.Update(s.now, s.list)
	if s.ordered != 0 {
		r.table.HandleOrder(s.now, s.order(), false, s.members(i))
	}
	s.readStatus(r)
	r.table.StatusesListed(map[string]bool{simService: true})
}

func (s *sim) order() canary.Order {
	return canary.Order{Service: simService, To: "v2", Duration: simDuration, At: proto.LogPosition{Era: 1, Offset: 7}}
}

func (s *sim) members(except int) []proto.RouterID {
	var ids []proto.RouterID
	for i, r := range s.routers {
		if i != except {
			ids = append(ids, r.id)
		}
	}
	return ids
}

// phase returns a router's phase of the rollout.
func (s *sim) phase(i int) string {
	for _, v := range s.routers[i].table.Views(s.now) {
		if v.Rollout != nil {
			return v.Rollout.Phase
		}
	}
	return ""
}

func (s *sim) after(d time.Duration, f func()) {
	at := s.now.Add(max(simTick, d.Round(simTick)))
	s.events[at] = append(s.events[at], f)
}

func (s *sim) readStatus(r *simRouter) { r.table.HandleStatus(s.now, simService, s.stored) }

// warmUp runs without an order, then orders the rollout.
func (s *sim) warmUp(d time.Duration) {
	s.run(d)
	s.ordered = s.now
	for i, r := range s.routers {
		r.table.HandleOrder(s.now, s.order(), true, s.members(i))
	}
}

func (s *sim) run(d time.Duration) {
	for end := s.now.Add(d); s.now < end; s.step() {
	}
}

func (s *sim) step() {
	s.now = s.now.Add(simTick)
	for _, f := range s.events[s.now] {
		f()
	}
	delete(s.events, s.now)
	expected := s.rate * simTick.Seconds()
	n := int(expected)
	if s.rng.Float64() < expected-float64(n) {
		n++
	}
	for range n {
		s.request(s.routers[s.rng.IntN(len(s.routers))])
	}
	elapsed := time.Duration(s.now)
	for i, r := range s.routers {
		if elapsed%(50*time.Millisecond) == 0 {
			s.stepRouter(i, r)
		}
		if (elapsed+time.Duration(i)*simTick)%periodicDelay == 0 || r.early && elapsed%(100*time.Millisecond) == 0 {
			r.early = false
			s.send(i)
		}
	}
}

func (s *sim) stepRouter(i int, r *simRouter) {
	writes, notify := r.table.Step(s.now, canary.StepInput{HoldsLease: i == s.holder, InContact: !r.cut, Members: s.members(i)})
	r.early = r.early || notify
	for _, w := range writes {
		s.stored = w.Status
		if w.Status.State.IsFinal() && s.storeAt == 0 {
			s.storeAt = s.now.Sub(s.ordered)
		}
		r.table.StatusWritten(s.now, w)
		for _, other := range s.routers {
			s.after(20*time.Millisecond, func() { s.readStatus(other) })
		}
	}
	for _, c := range r.table.TakeChanges(s.now) {
		if i == max(s.holder, 0) {
			s.t.Logf("%s %+v", s.now.Sub(s.ordered), c)
		}
	}
}

func (s *sim) send(i int) {
	from := s.routers[i]
	reports := from.table.Reports(s.now)
	if len(reports) == 0 || from.cut {
		return
	}
	life := from.life
	for j, to := range s.routers {
		if j == i || to.cut || s.rng.Float64() < s.loss {
			continue
		}
		s.after(time.Duration(s.rng.IntN(60))*time.Millisecond, func() {
			to.early = to.table.Merge(s.now, from.id, life, reports) || to.early
		})
	}
}

func (s *sim) request(r *simRouter) {
	x, route := s.rng.Float64(), "a"
	for _, name := range []string{"a", "b", "rare"} {
		if route = name; x < s.routes[name] {
			break
		}
		x -= s.routes[name]
	}
	if at := s.now.Sub(s.ordered); s.ordered != 0 && at <= simDuration {
		s.requests++
	}
	s.attempt(r, route, true)
}

func (s *sim) attempt(r *simRouter, route string, first bool) {
	permit := r.table.Admit(s.now, canary.Query{Service: simService, Route: route, IsFirst: first})
	e := s.choose(permit)
	if e == nil && permit.FallBack() {
		e = s.choose(permit)
	}
	if e == nil {
		permit.Cancel()
		return
	}
	ticket := permit.Start(s.now, e)
	s.running[e.ID]++
	usual := time.Duration(float64(150*time.Millisecond) * (0.5 + s.rng.ExpFloat64()/2))
	at := time.Duration(0)
	if s.ordered != 0 {
		at = s.now.Sub(s.ordered)
	}
	resp := s.behave(simRequest{at: at, route: route, release: e.Release, endpoint: int(e.Started) % 1000, running: s.running[e.ID], usual: usual, random: s.rng.Float64()})
	isBad := e.Release == "v2" && (resp.verdict != canary.Answered || resp.took > 2*usual)
	if e.Release == "v2" && at <= simDuration {
		s.exposed++
	}
	if e.Release == "v2" {
		s.lastExposedAt = s.now
	}
	table := r.table
	s.after(resp.took, func() {
		s.running[e.ID]--
		if isBad {
			if s.bad++; s.bad == 50 {
				s.fiftiethBadAt = s.now
			}
		}
		r.early = table.End(s.now, ticket, resp.verdict, canary.Timing{FirstByte: resp.took / 3, Total: resp.took}) || r.early
		if resp.verdict == canary.Failure && first && table == r.table {
			s.attempt(r, route, false)
		}
	})
}

func (s *sim) choose(p *canary.Permit) *discovery.Endpoint {
	var allowed []*discovery.Endpoint
	for _, e := range s.list.ForService(simService) {
		if !p.IsRestricted() || p.Allows(e) {
			allowed = append(allowed, e)
		}
	}
	if len(allowed) == 0 {
		return nil
	}
	return allowed[s.rng.IntN(len(allowed))]
}

// checkBounds fails the test if a bound of a bad release is broken.
func (s *sim) checkBounds() {
	s.t.Helper()
	if bound := simBounds.ExposureShare*float64(s.requests) + simBounds.ExposureSlack; float64(s.exposed) > bound {
		s.t.Errorf("%d of %d requests at the new release, more than %.0f", s.exposed, s.requests, bound)
	}
	if s.fiftiethBadAt != 0 && s.lastExposedAt > s.fiftiethBadAt.Add(simBounds.RollbackWithin) {
		s.t.Errorf("request sent to the new release %v after its 50th bad response", s.lastExposedAt.Sub(s.fiftiethBadAt))
	}
}
