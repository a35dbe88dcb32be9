// Package place chooses the endpoint for each attempt of a pass-through
// request. It weighs what a choice costs the caller and the fleet: the wait
// before the first event, parts of the prompt that would be read again, bytes
// between failure domains, and answers made on old weights.
package place

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/kumquatsill/kumquatsill/core/discovery"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/core/serving"
)

// Costs are the figures that the choice reckons with.
type Costs struct {
	// PrefillToken is the time to read one prompt token.
	PrefillToken time.Duration
	// RunningRequest is the time that each running request adds to a first event.
	RunningRequest time.Duration
	// QueuedRequest is the wait for each request that waits for a slot.
	QueuedRequest time.Duration
	// CrossDomainKilobyte is the weight of a kilobyte sent to another failure domain.
	CrossDomainKilobyte time.Duration
	// RecomputedToken is the weight of a token read again that some endpoint holds,
	// beyond the time for it.
	RecomputedToken time.Duration
	// OldVersion is the weight of an answer on old weights.
	OldVersion time.Duration
	// FetchSetup and FetchedToken weigh fetching parts from elsewhere beyond the
	// time for it, as moved parts displace others from an engine's memory.
	FetchSetup, FetchedToken time.Duration
}

// DefaultCosts returns costs for engines that read 30 tokens in a millisecond.
func DefaultCosts() Costs {
	return Costs{
		PrefillToken:        33 * time.Microsecond,
		RunningRequest:      2 * time.Millisecond,
		QueuedRequest:       40 * time.Millisecond,
		CrossDomainKilobyte: 8 * time.Millisecond,
		RecomputedToken:     100 * time.Microsecond,
		OldVersion:          100 * time.Millisecond,
		FetchSetup:          15 * time.Millisecond,
		FetchedToken:        10 * time.Microsecond,
	}
}

const (
	// silentCost, failingCost and unheardCost keep work from endpoints that do
	// not answer, fail, or are not heard in the registry, while others can
	// take it.
	silentCost  = 1500 * time.Millisecond
	failingCost = 1500 * time.Millisecond
	unheardCost = 1000 * time.Millisecond
	// pausedCost does the same for endpoints that refused work just now.
	pausedCost = 500 * time.Millisecond
	// minStored is the number of tokens from which parts go to the store: its
	// room is better used for parts that are dear to read.
	minStored = 1000
	// quietLimit is the time without any part of any answer from which an
	// endpoint with requests counts as silent: runs make tokens all the time.
	quietLimit = 1500 * time.Millisecond
	// toldSilence is how long an endpoint is avoided that a peer calls silent.
	toldSilence = 500 * time.Millisecond
	// homeBonus makes requests with the same parts meet at one endpoint when
	// no endpoint holds them yet.
	homeBonus = 25 * time.Millisecond
	// spread is the part of the expected time that is added at random.
	spread = 0.3
	// oldVersionGrace is how long after a version was named answers on the
	// version before are as good.
	oldVersionGrace = 1200 * time.Millisecond
)

// Query describes one attempt.
type Query struct {
	Service string
	// Model is empty for plain services.
	Model string
	// Parts are the parts of the prompt; the last one is the request's own.
	Parts []Part
	// Salt returns the cache salt for a version of the model.
	Salt func(version int64) string
	// Bytes is the size of the request and of the answer expected.
	Bytes int64
	// Exclude lists endpoints that were tried before.
	Exclude []proto.EndpointID
}

// Choice is an endpoint for one attempt.
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
	// Destination is the address of the store that is to get the parts, or "".
	Destination string
	// ExpectedTTFB is the time to the first event that is reckoned with.
	ExpectedTTFB time.Duration
	// Lag is the part of Expected by which the endpoint was late recently.
	Lag time.Duration
	// CachedTokens and SharedTokens are the tokens of the shared parts: those that the
	// endpoint holds, and all.
	CachedTokens, SharedTokens int64
	// FetchedTokens is the number of shared tokens that the endpoint fetches.
	FetchedTokens int64
	// RecomputedTokens is the number of shared tokens that the endpoint reads although it
	// neither holds nor fetches them.
	RecomputedTokens int64
	// PrefillTokens is the number of prompt tokens that the endpoint has to read.
	PrefillTokens int64
	// StartWithin is how long the request may take to begin, so that it does not
	// run on a version that is too old; 0 means that there is no limit.
	StartWithin time.Duration
	// Candidates is the number of endpoints that could have taken the request.
	Candidates int

	// transfer is the time that moving the parts takes, keys are those of the
	// prompt's parts.
	transfer time.Duration
	keys     []PartKey
}

// Placer chooses endpoints for one router. It is safe for concurrent use.
type Placer struct {
	mu     sync.Mutex
	cfg    Config
	limits Limits
	list   *discovery.Snapshot
	config *serving.Config
	loads  map[proto.EndpointID]*load
	stores map[string]*StoreIndex
	// storeBusy is when the link of each store is free, by address.
	storeBusy map[string]proto.Instant
	// named holds the versions named of each model, the newest last.
	named    map[string][]namedVersion
	attempts uint64
	rng      *rand.Rand
	// told collects what the peers are to be told.
	told []AttemptNotice
}

// Config configures a Placer.
type Config struct {
	// Domain is the router's failure domain.
	Domain proto.Domain
	Costs  Costs
	// Seed makes the random part of the choices differ between routers.
	Seed uint64
}

// Limits bound what a Placer uses. They may change while it runs.
type Limits struct {
	// VersionLife is how long requests may begin on a version of a model once a
	// newer one was named; 0 means always.
	VersionLife time.Duration
	// VersionStartMargin is the part of VersionLife, at its end, in which a version gets
	// no new requests, as they may wait at the endpoint before they begin.
	VersionStartMargin time.Duration
	// HeartbeatTimeout is the silence in the registry after which an endpoint is used
	// only when nothing better is there; 0 means never.
	HeartbeatTimeout time.Duration
}

// New returns a placer without endpoints.
func New(cfg Config) *Placer {
	return &Placer{
		cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 1)),
		list:   discovery.NewTable().Snapshot(),
		loads:  map[proto.EndpointID]*load{},
		stores: map[string]*StoreIndex{},

		storeBusy: map[string]proto.Instant{},
		named:     map[string][]namedVersion{},
	}
}

// SetLimits sets the limits in force.
func (p *Placer) SetLimits(l Limits) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limits = l
}

// Configure sets the configuration in force.
func (p *Placer) Configure(cfg *serving.Config) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.config = cfg
	// Endpoints may have been listed before, and their memory may have changed.
	for id, e := range p.list.ByID {
		p.loads[id].parts.resize(p.partCapacity(e))
	}
}

// SetStore sets the index of a store of cache entries, by its address.
func (p *Placer) SetStore(addr string, index *StoreIndex) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stores[addr] = index
}

// Update takes in a new list of endpoints.
func (p *Placer) Update(list *discovery.Snapshot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list = list
	for id := range p.loads {
		if list.ByID[id] == nil {
			delete(p.loads, id)
		}
	}
	for id, e := range list.ByID {
		p.observeEntry(id, e)
	}
}

func (p *Placer) observeEntry(id proto.EndpointID, e *discovery.Endpoint) {
	l := p.loadOf(e)
	if l.life != e.Started {
		delete(p.loads, id)
		l = p.loadOf(e)
	}
	for model, version := range e.Versions {
		l.setVersion(model, version)
	}
}

func (p *Placer) loadOf(e *discovery.Endpoint) *load {
	l := p.loads[e.ID]
	if l == nil {
		l = &load{
			life: e.Started, idHash: xxhash.Sum64String(string(e.ID)), version: map[string]int64{}, slots: e.Slots,
			unanswered: map[uint64]pending{}, parts: newPartCache(p.partCapacity(e)),
		}
		p.loads[e.ID] = l
	}
	return l
}

// partCapacity returns the tokens that an endpoint can hold; mu is held.
func (p *Placer) partCapacity(e *discovery.Endpoint) int64 {
	if p.config == nil || p.config.Services[e.Service] == nil || p.config.Services[e.Service].Engine == nil {
		return 0
	}
	return p.config.Services[e.Service].Engine.CacheTokens
}

// ObserveHeartbeat records that an endpoint was heard through the registry.
func (p *Placer) ObserveHeartbeat(now proto.Instant, id proto.EndpointID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l := p.loads[id]; l != nil {
		l.heardAt = now
	}
}

// ObserveVersion takes in the version that an endpoint told with an answer.
func (p *Placer) ObserveVersion(id proto.EndpointID, model string, version int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l := p.loads[id]; l != nil {
		l.setVersion(model, version)
	}
}

// SetLoading records that an endpoint was ordered to load a version and takes no
// work until then.
func (p *Placer) SetLoading(id proto.EndpointID, until proto.Instant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l := p.loads[id]; l != nil {
		l.loading, l.loadingTo = true, until
	}
}

// Choose returns the cheapest endpoint, or false if none can take the request.
func (p *Placer) Choose(now proto.Instant, q *Query) (Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	best := Choice{}
	bestCost := math.Inf(1)
	found := 0
	s := newScope(p, now, q)
	oldest := p.oldest(now, q.Model)
	for _, e := range p.list.ForService(q.Service) {
		if e.Leaving || slices.Contains(q.Exclude, e.ID) {
			continue
		}
		l := p.loadOf(e)
		if l.isLoading(now) || l.version[q.Model] < oldest {
			continue
		}
		c, cost := s.price(e, l)
		if s.retiresBefore(c) {
			continue
		}
		found++
		// Routers that know the same would all choose the same engine at once.
		cost += spread * float64(c.ExpectedTTFB) * p.rng.Float64()
		if cost < bestCost {
			best, bestCost = c, cost
		}
	}
	best.Candidates = found
	best.StartWithin = p.mayBegin(now, q.Model, best.Version)
	return best, found > 0
}

// MeanWait returns the mean wait at the engines that take work.
func (p *Placer) MeanWait(now proto.Instant) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := scope{placer: p, now: now}
	total, engines := time.Duration(0), 0
	for id, l := range p.loads {
		e := p.list.ByID[id]
		if e == nil || e.Leaving || len(e.Versions) == 0 || l.isLoading(now) || s.doubt(l) > 0 {
			continue
		}
		total += s.wait(l) + l.lagNow(now)
		engines++
	}
	if engines == 0 {
		return 0
	}
	return total / time.Duration(engines)
}

// Silent returns the endpoints that have stopped to answer, or that could not
// be reached, for the peers.
func (p *Placer) Silent(now proto.Instant) []proto.EndpointID {
	p.mu.Lock()
	defer p.mu.Unlock()
	var ids []proto.EndpointID
	for id, l := range p.loads {
		if l.silent(now) || l.failures > 0 && now < l.avoidUntil {
			ids = append(ids, id)
		}
	}
	return ids
}

// IsSilent reports whether an endpoint has stopped to answer.
func (p *Placer) IsSilent(now proto.Instant, id proto.EndpointID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.loads[id]
	return l == nil || l.silent(now) || now < l.silentUntil || l.inFlight > 0 && now.Sub(l.answer.at()) > quietLimit
}

// HandleSilent records that an endpoint has stopped to answer a peer.
func (p *Placer) HandleSilent(now proto.Instant, id proto.EndpointID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l := p.loads[id]; l != nil && now.Sub(l.answer.at()) > silenceLimit {
		l.silentUntil = now.Add(toldSilence)
	}
}
