// Package place chooses the endpoint for each attempt of a pass-through
// request. The cost of a choice covers what it costs the caller and the fleet:
// the time to first byte, prompt parts that would be recomputed, bytes sent
// between failure domains, and responses computed with old weights.
//
// The parts of a prompt are its segments as named by the request. Engines keep
// the cache entries of the parts that they have prefilled, so requests with the
// same leading parts can share them.
package place

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/kumquatsill/kumquatsill/core/discovery"
	"github.com/kumquatsill/kumquatsill/core/endpointstate"
	"github.com/kumquatsill/kumquatsill/core/locality"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/core/serving"
)

// Costs are the parameters of the cost function. All costs are expressed as
// time.
type Costs struct {
	// PrefillToken is the time to prefill one prompt token.
	PrefillToken time.Duration
	// RunningRequest is the time that each running request adds to the time to
	// first byte.
	RunningRequest time.Duration
	// QueuedRequest is the added wait per request that is queued for a slot.
	QueuedRequest time.Duration
	// CrossDomainKilobyte is the cost of a kilobyte sent to another failure
	// domain.
	CrossDomainKilobyte time.Duration
	// RecomputedToken is the cost, in addition to its prefill time, of a token
	// that is recomputed although it may be cached elsewhere.
	RecomputedToken time.Duration
	// OldVersion is the cost of a response computed with old weights.
	OldVersion time.Duration
	// FetchSetup and FetchedToken are the costs of fetching parts in addition to
	// the transfer time, as fetched parts displace others from an engine's cache.
	FetchSetup, FetchedToken time.Duration
}

// DefaultCosts returns costs for engines that prefill 30 tokens per millisecond.
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
	// silentCost, failingCost and missedHeartbeatCost penalize endpoints that do
	// not respond, that fail, or whose heartbeat in the registry is overdue. They
	// are high enough that such an endpoint gets no requests while a healthy one
	// without a long wait can take them.
	silentCost          = 1500 * time.Millisecond
	failingCost         = 1500 * time.Millisecond
	missedHeartbeatCost = 1000 * time.Millisecond
	// pausedCost penalizes endpoints that have just refused a request, were replaced or
	// accept no connection, like those that fail.
	pausedCost = 1500 * time.Millisecond
	// minStoreTokens is the least number of recomputed tokens for which the parts
	// are copied to the store: its space is better used for parts that take long
	// to compute.
	minStoreTokens = 1000
	// maxResponseGap is the time without any response data after which IsSilent
	// reports an endpoint with requests in flight as silent: running requests
	// produce tokens continuously. The cost of the endpoint does not depend on it.
	maxResponseGap = 1500 * time.Millisecond
	// peerSilencePause is how long an endpoint counts as silent after a peer has
	// reported it as silent.
	peerSilencePause = 500 * time.Millisecond
	// affinityBonus is the greatest bonus of rendezvous hashing. It sends requests
	// with the same parts to one endpoint when no endpoint holds them yet.
	affinityBonus = 25 * time.Millisecond
	// jitter is the greatest random addition to the cost, as a fraction of the
	// expected time.
	jitter = 0.3
	// limitCheckBonus makes an endpoint preferred of which it is not known whether its
	// limit still holds.
	limitCheckBonus = 100 * time.Millisecond
	// oldVersionGrace is how long after a version was announced responses of the
	// previous version incur no cost.
	oldVersionGrace = 1200 * time.Millisecond
)

// Query describes the request of one attempt.
type Query struct {
	Service string
	// Model is empty for plain services.
	Model string
	// Parts are the parts of the prompt. The last one is specific to the request
	// and not shared with others.
	Parts []Part
	// Salt returns the cache salt for a version of the model.
	Salt func(version int64) string
	// TargetGap is the longest permitted gap between two events of the response, and
	// TargetLatency the time left until its first event is late; 0 if there is none.
	TargetGap, TargetLatency time.Duration
	// Behind is for how long the router did not run until just now. It may not have
	// handled what arrived meanwhile.
	Behind time.Duration
	// Size holds the sizes in tokens that the request states.
	Size Size
	// Bytes is the size of the request plus the expected size of the response.
	Bytes int64
	// Exclude lists endpoints that were already tried.
	Exclude []proto.EndpointID
	// Target is the longest time to the first byte that is in time; 0 means that there is
	// none. Rank is the urgency; 0 is the most urgent.
	Target time.Duration
	Rank   int
	// Only restricts the choice to some endpoints, unless it is empty.
	Only []proto.EndpointID
	// Allows reports whether the request may be sent to the release of an endpoint; nil means
	// that it may be sent to all.
	Allows func(e *discovery.Endpoint) bool
}

// Placer chooses endpoints for one router. It is safe for concurrent use.
type Placer struct {
	mu     sync.Mutex
	cfg    Config
	limits Limits
	list   *discovery.Snapshot
	config *serving.Config
	loads  map[proto.EndpointID]*load
	// byService holds the candidates of services since the list last changed.
	byService map[string][]candidate
	stores    map[string]*StoreIndex
	// storeFreeAt is when the link of each store becomes free, by address.
	storeFreeAt map[string]proto.Instant
	// storeLags holds by how much transfers from each store lag, by address.
	storeLags map[string]*linkLag
	// announced holds the announced versions of each model, the newest last.
	announced map[string][]announcedVersion
	attempts  uint64
	// rng draws from source, of which Explain uses a copy.
	rng    *rand.Rand
	source *rand.PCG
	// paced holds the pace of the endpoints by service.
	paced map[string]*pacedService
	// domains decides how much work leaves the own failure domain; nil means that the cost
	// of leaving is constant.
	domains *locality.Controller
	// selection is used during a choice.
	selection selection
	// notices collects the attempts to report to the peers.
	notices   []AttemptNotice
	incidents incidentLog
}

// Config configures a Placer.
type Config struct {
	// Domain is the router's failure domain.
	Domain proto.Domain
	Costs  Costs
	// Seed seeds the jitter, so that it differs between routers.
	Seed uint64
	// AdaptDomainCost makes the cost of leaving the failure domain depend on its load and
	// on those of the others, where endpoints report their loads.
	AdaptDomainCost bool
	// States keeps what endpoints say about themselves; nil means that they say nothing.
	States *endpointstate.Tracker
}

// Limits are the time limits of a Placer. They may change while it runs.
type Limits struct {
	// VersionLifetime is how long requests may begin on a version of a model after a
	// newer one was announced; 0 means no limit.
	VersionLifetime time.Duration
	// VersionStartMargin is the time before the end of VersionLifetime during which a
	// version gets no new requests, as they may be queued at the endpoint before
	// they begin.
	VersionStartMargin time.Duration
	// HeartbeatTimeout is the time since the last heartbeat in the registry after
	// which the cost of an endpoint rises by missedHeartbeatCost, so that it is
	// used only if no better one is available; 0 means no timeout. It applies to
	// endpoints whose renewals the registry shows.
	HeartbeatTimeout time.Duration
}

// New returns a placer without endpoints.
func New(cfg Config) *Placer {
	source := rand.NewPCG(cfg.Seed, 1)
	return &Placer{
		cfg: cfg, rng: rand.New(source), source: source, domains: newDomains(cfg),
		list:      discovery.NewTable().Snapshot(),
		loads:     map[proto.EndpointID]*load{},
		byService: map[string][]candidate{},
		stores:    map[string]*StoreIndex{},

		storeFreeAt: map[string]proto.Instant{},
		storeLags:   map[string]*linkLag{},
		announced:   map[string][]announcedVersion{},
		paced:       map[string]*pacedService{},
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
	for service, s := range p.paced {
		s.configure(p, service)
	}
	// Endpoints may already be listed, and their cache size may have changed.
	for id, e := range p.list.ByID {
		p.loads[id].parts.resize(p.partCapacity(e))
	}
}

// SetStore sets the index of the cache store at an address.
func (p *Placer) SetStore(addr string, index *StoreIndex) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stores[addr] = index
}

// Update replaces the list of endpoints.
func (p *Placer) Update(list *discovery.Snapshot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list = list
	clear(p.byService)
	for id := range p.loads {
		if list.ByID[id] == nil {
			delete(p.loads, id)
		}
	}
	for id, e := range list.ByID {
		p.observeEntry(id, e)
	}
}

// observeEntry applies an entry of the endpoint list. A new incarnation starts
// with an empty state.
func (p *Placer) observeEntry(id proto.EndpointID, e *discovery.Endpoint) {
	l := p.loadFor(e)
	if l.incarnation != e.Started {
		delete(p.loads, id)
		l = p.loadFor(e)
	}
	for model, version := range e.Versions {
		l.setVersion(model, version)
	}
}

// loadFor returns the state of an endpoint and creates it if missing.
func (p *Placer) loadFor(e *discovery.Endpoint) *load {
	l := p.loads[e.ID]
	if l == nil {
		l = &load{
			incarnation: e.Started, idHash: xxhash.Sum64String(string(e.ID)), version: map[string]int64{}, slots: e.Slots,
			awaitingFirstByte: map[uint64]pendingAttempt{}, parts: newPartCache(p.partCapacity(e)),
			pace: p.pacedServiceOf(e.Service).estimates.NewEstimator(), memory: newMemory(),
		}
		p.loads[e.ID] = l
	}
	return l
}

// partCapacity returns the number of tokens that an endpoint can cache; mu must
// be held.
func (p *Placer) partCapacity(e *discovery.Endpoint) int64 {
	if p.config == nil || p.config.Services[e.Service] == nil || p.config.Services[e.Service].Engine == nil {
		return 0
	}
	return p.config.Services[e.Service].Engine.CacheTokens
}

// ObserveRegistration records that a registration of an endpoint was read at a
// position of the registry. The argument changed is false if it only renews the one
// before.
func (p *Placer) ObserveRegistration(now proto.Instant, id proto.EndpointID, at proto.LogPosition, changed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.loads[id]
	if l == nil || !l.registeredAt.Before(at) {
		return // a listing repeats registrations that were read before
	}
	// The first registration of an era may repeat one of an earlier era.
	isRepeated := l.registeredAt.Era != 0 && at.Era != l.registeredAt.Era
	if !changed && !isRepeated {
		l.renewals++
	}
	l.registeredAt, l.lastHeartbeat = at, now
}

// ObserveVersion records the version that an endpoint reported with a response.
func (p *Placer) ObserveVersion(id proto.EndpointID, model string, version int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l := p.loads[id]; l != nil {
		l.setVersion(model, version)
	}
}

// SetLoading records that an endpoint was ordered to load a version. It gets no
// requests until it has loaded the version or the given time has passed.
func (p *Placer) SetLoading(id proto.EndpointID, until proto.Instant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l := p.loads[id]; l != nil {
		l.loading, l.loadingUntil = true, until
	}
}

// Silent returns the endpoints that no longer respond or are in backoff after
// failures, to be reported to the peers.
func (p *Placer) Silent(now proto.Instant) []proto.EndpointID {
	p.mu.Lock()
	defer p.mu.Unlock()
	var ids []proto.EndpointID
	for id, l := range p.loads {
		if l.isSilent(now) || l.failures > 0 && now < l.backoffUntil {
			ids = append(ids, id)
		}
	}
	return ids
}

// IsSilent reports whether an endpoint is unknown or no longer responds.
func (p *Placer) IsSilent(now proto.Instant, id proto.EndpointID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.loads[id]
	return l == nil || l.isUnresponsive(now)
}

// HasStalled reports whether the endpoint of an attempt no longer responds. One that has
// begun to respond to the attempt counts as responsive for maxResponseGap after its last
// data. An endpoint that is no longer listed may still serve.
func (p *Placer) HasStalled(now proto.Instant, a *Attempt) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case a.load == nil:
		return false
	case a.gotFirstByte:
		return a.load.responseOverdue(now)
	}
	return a.load.isUnresponsive(now)
}

// HandleSilent records that an endpoint no longer responds to a peer.
func (p *Placer) HandleSilent(now proto.Instant, id proto.EndpointID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l := p.loads[id]; l != nil && now.Sub(l.response.at()) > minSilence {
		l.silentUntil = now.Add(peerSilencePause)
	}
}
