package canary

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/kumquatsill/kumquatsill/core/discovery"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// Table holds one router's view of the releases and rollouts of all services. It is safe for
// concurrent use.
type Table struct {
	mu   sync.Mutex
	self proto.RouterID
	life int64
	// rng draws from source, of which Preview uses a copy.
	rng      *rand.Rand
	source   *rand.PCG
	bounds   Bounds
	services map[string]*service
	// statusRead is set once the stored statuses were listed.
	statusRead bool
	// inContact is set while the router hears its peers.
	inContact bool
	changes   []Change
}

// NewTable returns the table of a router that knows nothing yet. Life distinguishes the
// starts of the router.
func NewTable(self proto.RouterID, life int64) *Table {
	source := rand.NewPCG(uint64(life), 2)
	return &Table{self: self, life: life, rng: rand.New(source), source: source, services: map[string]*service{}}
}

// SetBounds sets the bounds in force.
func (t *Table) SetBounds(b Bounds) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.bounds = b
}

func (t *Table) service(name string) *service {
	s := t.services[name]
	if s == nil {
		s = newService(name)
		t.services[name] = s
	}
	return s
}

// Update replaces the list of endpoints.
func (t *Table) Update(now proto.Instant, list *discovery.Snapshot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.bounds.Enabled() {
		return
	}
	byService := map[string][]*discovery.Endpoint{}
	for _, e := range list.ByID {
		byService[e.Service] = append(byService[e.Service], e)
	}
	for name, s := range t.services {
		if byService[name] == nil {
			s.update(now, nil)
		}
	}
	for name, endpoints := range byService {
		s := t.service(name)
		before, known := s.established, s.known
		s.update(now, endpoints)
		s.noteOther(now)
		if s.known && (!known || s.established != before) && len(s.releases) > 1 {
			t.change(s, Change{Reason: "established release determined by the age of its endpoints"})
		}
	}
}

// noteOther records for the rollout that an endpoint of another release exists, which is
// then the established one.
func (s *service) noteOther(now proto.Instant) {
	r := s.rollout
	if r == nil || r.final != "" {
		return
	}
	for name := range s.releases {
		if name != r.order.To {
			r.sawOther = true
			s.block(now, r.order.To)
		}
	}
}

// HandleOrder applies an order that was read from the store. The argument fresh is set if
// this process ran before the order was written; only then does it have a part of the
// exposure slack, since a process that has restarted may have used its part before. Members
// are all routers.
func (t *Table) HandleOrder(now proto.Instant, o Order, fresh bool, members []proto.RouterID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.bounds.Enabled() {
		return
	}
	s := t.service(o.Service)
	key := orderKey{o.At.Offset, o.To}
	if s.handled[key] {
		return // listed again, perhaps by a store that was restored from an older copy
	}
	s.handled[key] = true
	if r := s.rollout; r != nil {
		switch {
		case r.order.To == o.To:
			s.pending = nil
			t.change(s, Change{Reason: "order repeated", To: o.To})
			return
		case r.final == "":
			s.pending = &pendingOrder{order: o, fresh: fresh, at: now}
			t.change(s, Change{Reason: "order waits for the end of another rollout", To: o.To})
			return
		}
	} else if s.stored.State == Running && s.stored.To != o.To {
		s.pending, s.otherAt = &pendingOrder{order: o, fresh: fresh, at: now}, now
		t.change(s, Change{Reason: "order waits for the end of another rollout", To: o.To})
		return
	}
	t.begin(now, s, pendingOrder{order: o, fresh: fresh, at: now}, members)
}

// begin starts the rollout of an order.
func (t *Table) begin(now proto.Instant, s *service, p pendingOrder, members []proto.RouterID) {
	slack := 0.0
	if p.fresh {
		slack = slackPart(t.bounds, s.name, t.self, members)
	}
	s.pending = nil
	s.rollout = newRollout(p.order, p.at, slack, t.bounds)
	s.noteOther(now)
	s.block(now, p.order.To)
	s.reviewEstablished(now)
	t.adoptStored(now, s)
	t.change(s, Change{Reason: "order read", To: p.order.To})
}

// HandleStatus applies a status that was read from the store. The zero Status means that
// there is none.
func (t *Table) HandleStatus(now proto.Instant, name string, status Status) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.bounds.Enabled() || status == (Status{}) && t.services[name] == nil {
		return
	}
	s := t.service(name)
	s.stored = status
	if status != (Status{}) {
		t.adoptStored(now, s)
	}
}

// StatusesListed records that all statuses in the store were read. Services without a status
// in the listing have none.
func (t *Table) StatusesListed(listed map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.statusRead = true
	for name, s := range t.services {
		if !listed[name] {
			s.stored = Status{}
		}
	}
}

// adoptStored applies the stored status to the rollout of the same release. Without one, it
// tells which release is established, or is not.
func (t *Table) adoptStored(now proto.Instant, s *service) {
	to := s.stored.To
	switch r := s.rollout; {
	case s.stored == (Status{}):
	case r != nil && r.order.To == to:
		if s.stored.State.IsFinal() {
			t.end(now, s, s.stored.State, "status in the store")
		}
	case r != nil: // the status of an earlier order
	case s.stored.State == Completed:
		s.establish(to)
	default:
		s.rejected[to] = s.rejected[to] || s.stored.State == RolledBack
		s.block(now, to)
	}
}

// end records the final state of the rollout. A state that is already final stays.
func (t *Table) end(now proto.Instant, s *service, state State, reason string) {
	r := s.rollout
	if r.final != "" {
		return
	}
	r.end(now, state)
	if state == Completed {
		s.establish(r.order.To)
	} else {
		s.rejected[r.order.To] = true
		s.block(now, r.order.To)
	}
	t.change(s, Change{Reason: reason, To: r.order.To})
}

// StepInput is what Step needs to know of the router.
type StepInput struct {
	// HoldsLease is set while the router holds the lease, InContact while it hears its
	// peers.
	HoldsLease, InContact bool
	Self                  proto.RouterID
	// Members lists the other routers.
	Members []proto.RouterID
	// Usable reports whether an endpoint responds; nil means that all do.
	Usable func(proto.EndpointID) bool
}

// StatusWrite is a status to write to the store.
type StatusWrite struct {
	Service string
	Status  Status
}

// Step does the periodic work: it takes verdicts and returns the statuses that the holder of
// the lease has to write. The result notify is set if the peers should be told at once.
func (t *Table) Step(now proto.Instant, in StepInput) (writes []StatusWrite, notify bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inContact = in.InContact
	if !t.bounds.Enabled() {
		return nil, false
	}
	in.Self = t.self
	for _, name := range slices.Sorted(maps.Keys(t.services)) {
		s := t.services[name]
		s.reviewEstablished(now)
		t.startPending(now, s, in.Members)
		r := s.rollout
		if r == nil {
			continue
		}
		notify = t.stepRollout(now, s, in) || notify
		status := Status{State: r.wanted(now, in), To: r.order.To}
		if !in.HoldsLease || !t.statusRead || status == s.stored {
			continue
		}
		if status.State.IsFinal() {
			r.committed = status.State
		}
		writes = append(writes, StatusWrite{Service: name, Status: status})
	}
	return writes, notify
}

// stepRollout updates the rollout of a service and reports whether the phase changed.
func (t *Table) stepRollout(now proto.Instant, s *service, in StepInput) bool {
	r := s.rollout
	if r.final == "" {
		r.dirty = r.countOverdue(now, s) || r.dirty
		r.schedule = newSchedule(r.order.Duration, s.requestTime())
		r.keepHistory(now)
		r.refresh(len(s.endpointsOf(r.order.To)))
		t.selectSampled(s, r, in.Usable)
		t.completeIfThere(now, s, in)
		r.judge(now, in)
	}
	phase := r.currentPhase(now)
	if phase == r.phase {
		return false
	}
	r.phase = phase
	if phase != Ended {
		t.change(s, Change{Reason: r.reason, To: r.order.To})
	}
	return phase == Moving || phase == Stopped || phase == Ended
}

// completeIfThere completes a rollout to the release that all endpoints are of.
func (t *Table) completeIfThere(now proto.Instant, s *service, in StepInput) {
	r := s.rollout
	if in.HoldsLease && !r.sawOther && len(s.endpointsOf(r.order.To)) > 0 && s.isSingle() && s.established == r.order.To {
		t.end(now, s, Completed, "no endpoint of another release")
	}
}

// startPending starts the order that waited for the end of another rollout.
func (t *Table) startPending(now proto.Instant, s *service, members []proto.RouterID) {
	p := s.pending
	if p == nil {
		return
	}
	if s.rollout != nil && s.rollout.final == "" {
		return
	}
	if s.rollout == nil && s.stored.State == Running && now.Sub(s.otherAt) < otherRolloutTime {
		return
	}
	t.begin(now, s, *p, members)
}

// selectSampled determines the endpoints that samples go to. There are so few that these see
// about the load of the old ones, and all routers take the same. They are in different failure
// domains where possible, so that the loss of one does not look like a fault of the release.
func (t *Table) selectSampled(s *service, r *rollout, usable func(proto.EndpointID) bool) {
	old, all := len(s.endpointsOf(s.established)), s.endpointsOf(r.order.To)
	ids := slices.DeleteFunc(slices.Clone(all), func(id proto.EndpointID) bool {
		return usable != nil && !usable(id)
	})
	hash := func(id proto.EndpointID) uint64 { return xxhash.Sum64String(r.order.To + "\x00" + string(id)) }
	slices.SortFunc(ids, func(a, b proto.EndpointID) int {
		return cmp.Or(cmp.Compare(hash(a), hash(b)), cmp.Compare(a, b))
	})
	if to := s.releases[r.order.To]; to != nil {
		spreadDomains(ids, to.domains)
	}
	n := max(minSampled, int(steadyFraction*r.ledger.share*float64(old)+0.5))
	r.sampled = ids[:min(n, len(ids))]
	r.sampledShare = maxLoadFactor * float64(len(r.sampled)) / float64(max(1, old))
	r.newShare = maxLoadFactor * float64(len(all)) / float64(max(1, old))
}

// spreadDomains moves the first endpoint of each failure domain to the front, then the second
// ones, and so on.
func spreadDomains(ids []proto.EndpointID, domains map[proto.EndpointID]proto.Domain) {
	rank, inDomain := map[proto.EndpointID]int{}, map[proto.Domain]int{}
	for _, id := range ids {
		rank[id] = inDomain[domains[id]]
		inDomain[domains[id]]++
	}
	slices.SortStableFunc(ids, func(a, b proto.EndpointID) int { return cmp.Compare(rank[a], rank[b]) })
}

// HasWork reports whether the lease is needed for a rollout: one that has not ended, or one
// whose status the store lacks. Before the deadline, a router that does not hear its peers leaves
// the lease to others, as it may not take a verdict.
func (t *Table) HasWork(now proto.Instant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.bounds.Enabled() || !t.statusRead {
		return false
	}
	for _, s := range t.services {
		switch r := s.rollout; {
		case r == nil:
		case r.final != "" && s.stored != Status{State: r.final, To: r.order.To}:
			return true
		case r.final == "" && (t.inContact || r.elapsed(now) >= r.order.Duration):
			return true
		}
	}
	return false
}

// StatusWritten records that the store has accepted a status.
func (t *Table) StatusWritten(now proto.Instant, w StatusWrite) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(w.Service)
	s.stored = w.Status
	if r := s.rollout; r != nil && r.order.To == w.Status.To && w.Status.State.IsFinal() {
		t.end(now, s, w.Status.State, "status written")
	}
}
