// Package place chooses the endpoint for each attempt of a pass-through
// request. It weighs what a choice costs the caller and the fleet: the wait
// before the first event, parts of the prompt that would be read again, bytes
// between failure domains, and answers made on old weights.
package place

import (
	"cmp"
	"math"
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
	// TokenRead is the time to read one prompt token.
	TokenRead time.Duration
	// Running is the time that each running request adds to a first event.
	Running time.Duration
	// Queued is the wait for each request that waits for a slot.
	Queued time.Duration
	// ForeignKilobyte is the weight of a kilobyte sent to another failure domain.
	ForeignKilobyte time.Duration
	// ReadAgain is the weight of a token read again that some endpoint holds,
	// beyond the time for it.
	ReadAgain time.Duration
	// OldVersion is the weight of an answer on old weights.
	OldVersion time.Duration
}

// DefaultCosts returns costs for engines that read 30 tokens in a millisecond.
func DefaultCosts() Costs {
	return Costs{
		TokenRead:       33 * time.Microsecond,
		Running:         2 * time.Millisecond,
		Queued:          40 * time.Millisecond,
		ForeignKilobyte: 8 * time.Millisecond,
		ReadAgain:       100 * time.Microsecond,
		OldVersion:      200 * time.Millisecond,
	}
}

const (
	// heartbeatLimit is the silence after which an endpoint is used only when
	// nothing better is there: two heartbeats and the lag of reading them.
	heartbeatLimit = 3200 * time.Millisecond
	// silentCost, failingCost and unheardCost keep work from endpoints that do
	// not answer, fail, or are not heard in the registry, while others can
	// take it.
	silentCost  = 1500 * time.Millisecond
	failingCost = 1500 * time.Millisecond
	unheardCost = 1000 * time.Millisecond
	// silenceLimit is the wait for a first byte from which an endpoint counts
	// as silent if it has answered nothing else meanwhile.
	silenceLimit = 600 * time.Millisecond
	// toldSilence is how long an endpoint is avoided that a peer calls silent.
	toldSilence = 500 * time.Millisecond
	// loadLife is how long a reported load counts.
	loadLife = time.Second
	// homeBonus makes requests with the same parts meet at one endpoint when
	// no endpoint holds them yet.
	homeBonus = 25 * time.Millisecond
	// oldVersionGrace is how long after a version was named answers on the
	// version before are as good.
	oldVersionGrace = 1200 * time.Millisecond
	// firstFailurePause and lastFailurePause bound how long an endpoint is
	// avoided after failures in a row.
	firstFailurePause = 250 * time.Millisecond
	lastFailurePause  = 4 * time.Second
	// maxNamed is the number of named versions kept of each model.
	maxNamed = 6
	// memoryShare is the part of an engine's memory that cached parts are
	// reckoned to keep beside running requests.
	memoryShare = 0.85
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
	// OutputTokens is the greatest number of tokens of the answer.
	OutputTokens int64
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
	Source string
	// Destination is the address of the store that is to get the parts, or "".
	Destination string
	// Expected is the time to the first event that is reckoned with.
	Expected time.Duration
	// Held and Shared are the tokens of the shared parts: those that the
	// endpoint holds, and all.
	Held, Shared int64
	// Again is the number of shared tokens that the endpoint reads although it
	// neither holds nor fetches them.
	Again int64
	// Reading is the number of prompt tokens that the endpoint has to read.
	Reading int64
	// Candidates is the number of endpoints that could have taken the request.
	Candidates int
}

// load is what a router knows of one endpoint at the moment.
type load struct {
	life     int64
	version  map[string]int64
	inFlight int
	// reading is the number of prompt tokens sent and not yet answered.
	reading int64
	// unanswered holds when each attempt without a first byte was sent.
	unanswered map[uint64]proto.Instant
	// others is the work of other routers as of reportedAt.
	others     int
	slots      int
	reportedAt proto.Instant
	failures   int
	avoidUntil proto.Instant
	loading    bool
	loadingTo  proto.Instant
	// heardAt is when the endpoint was last heard through the registry,
	// answeredAt when it last sent any part of an answer to this router.
	heardAt, answeredAt proto.Instant
	// silentUntil is set while a peer calls the endpoint silent.
	silentUntil proto.Instant
	parts       *partCache
}

// Placer chooses endpoints for one router. It is safe for concurrent use.
type Placer struct {
	mu     sync.Mutex
	domain proto.Domain
	costs  Costs
	list   *discovery.Snapshot
	config *serving.Config
	loads  map[proto.EndpointID]*load
	stores map[string]*StoreIndex
	// named holds the versions named of each model, the newest last.
	named map[string][]NamedVersion
	// versionLife is how long a version may be used after a newer one was named.
	versionLife time.Duration
	attempts    uint64
	// told collects what the peers are to be told.
	told []Told
}

// NamedVersion is a version that the operator has named.
type NamedVersion struct {
	Version int64
	// At is when this router, or a peer, has read it.
	At proto.Instant
}

// New returns a placer without endpoints, for a router in a failure domain.
// A version of a model is not used any more once a newer one was named for
// versionLife; 0 means that it may always be used.
func New(domain proto.Domain, costs Costs, versionLife time.Duration) *Placer {
	return &Placer{
		domain: domain, costs: costs, versionLife: versionLife,
		list:   discovery.NewTable().Snapshot(),
		loads:  map[proto.EndpointID]*load{},
		stores: map[string]*StoreIndex{},
		named:  map[string][]NamedVersion{},
	}
}

// Configure sets the configuration in force.
func (p *Placer) Configure(cfg *serving.Config) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.config = cfg
}

// Name records the newest version named of a model.
func (p *Placer) Name(now proto.Instant, model string, version int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if version <= p.newest(model).Version {
		return
	}
	versions := append(p.named[model], NamedVersion{Version: version, At: now})
	p.named[model] = versions[max(0, len(versions)-maxNamed):]
}

// Named returns the last versions named of each model, and since when.
func (p *Placer) Named() map[string][]NamedVersion {
	p.mu.Lock()
	defer p.mu.Unlock()
	named := make(map[string][]NamedVersion, len(p.named))
	for model, versions := range p.named {
		named[model] = slices.Clone(versions)
	}
	return named
}

// NamedBefore records since when a peer has known a version of a model. A
// router that has just started has read only the newest version, and not since
// when it was named.
func (p *Placer) NamedBefore(model string, version int64, at proto.Instant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	versions := p.named[model]
	i, known := slices.BinarySearchFunc(versions, version, func(v NamedVersion, version int64) int {
		return cmp.Compare(v.Version, version)
	})
	if known {
		versions[i].At = min(versions[i].At, at)
		return
	}
	versions = slices.Insert(versions, i, NamedVersion{Version: version, At: at})
	p.named[model] = versions[max(0, len(versions)-maxNamed):]
}

// newest returns the newest version named of a model; mu is held.
func (p *Placer) newest(model string) NamedVersion {
	versions := p.named[model]
	if len(versions) == 0 {
		return NamedVersion{}
	}
	return versions[len(versions)-1]
}

// oldest returns the oldest version of a model that may still be used; mu is
// held.
func (p *Placer) oldest(now proto.Instant, model string) int64 {
	oldest := int64(0)
	for _, v := range p.named[model] {
		if p.versionLife > 0 && now.Sub(v.At) >= p.versionLife {
			oldest = v.Version
		}
	}
	return oldest
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

// setVersion takes in that an endpoint runs a version. Loading new weights
// drops what the endpoint holds.
func (l *load) setVersion(model string, version int64) {
	if version <= l.version[model] {
		return
	}
	l.version[model] = version
	l.loading = false
	l.parts.clear()
}

func (p *Placer) loadOf(e *discovery.Endpoint) *load {
	l := p.loads[e.ID]
	if l == nil {
		l = &load{
			life: e.Started, version: map[string]int64{}, slots: e.Slots,
			unanswered: map[uint64]proto.Instant{}, parts: newPartCache(p.partCapacity(e)),
		}
		p.loads[e.ID] = l
	}
	return l
}

func (p *Placer) partCapacity(e *discovery.Endpoint) int64 {
	if p.config == nil || p.config.Services[e.Service] == nil || p.config.Services[e.Service].Engine == nil {
		return 0
	}
	return int64(memoryShare * float64(p.config.Services[e.Service].Engine.CacheTokens))
}

// Heard records that an endpoint was heard through the registry.
func (p *Placer) Heard(now proto.Instant, id proto.EndpointID) {
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

// Loading records that an endpoint was ordered to load a version and takes no
// work until then.
func (p *Placer) Loading(id proto.EndpointID, until proto.Instant) {
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
	s := scope{placer: p, now: now, q: q, keys: map[int64][]PartKey{}}
	s.findStore()
	oldest := p.oldest(now, q.Model)
	for _, e := range p.list.Of(q.Service) {
		if e.Leaving || excluded(q, e.ID) {
			continue
		}
		l := p.loadOf(e)
		if l.loading && now < l.loadingTo || l.version[q.Model] < oldest {
			continue
		}
		found++
		c, cost := s.price(e, l)
		if cost < bestCost {
			best, bestCost = c, cost
		}
	}
	best.Candidates = found
	return best, found > 0
}

func excluded(q *Query, id proto.EndpointID) bool {
	for _, x := range q.Exclude {
		if x == id {
			return true
		}
	}
	return false
}

// scope is the state of one choice.
type scope struct {
	placer *Placer
	now    proto.Instant
	q      *Query
	keys   map[int64][]PartKey
	store  *StoreIndex
	// storeAddr and linkBits describe the store and the links between engines.
	storeAddr string
	tokenTime time.Duration
}

func (s *scope) findStore() {
	if s.placer.config == nil || s.q.Model == "" {
		return
	}
	if svc := s.placer.config.Services[s.q.Service]; svc != nil && svc.Engine != nil && svc.Engine.LinkBitsPerSecond > 0 {
		seconds := float64(svc.Engine.TokenBytes) * 8 / svc.Engine.LinkBitsPerSecond
		s.tokenTime = time.Duration(seconds * float64(time.Second))
	}
	for _, svc := range s.placer.config.Services {
		if svc.Store == nil {
			continue
		}
		if index := s.placer.stores[svc.Store.Addr]; index != nil && index.Alive() {
			s.store, s.storeAddr = index, svc.Store.Addr
			return
		}
	}
}

// shared returns the parts that other requests may have in common.
func (s *scope) shared() []Part {
	if len(s.q.Parts) == 0 {
		return nil
	}
	return s.q.Parts[:len(s.q.Parts)-1]
}

// keysFor returns the keys of the shared parts under a version.
func (s *scope) keysFor(version int64) []PartKey {
	keys, ok := s.keys[version]
	if !ok {
		keys = Keys(s.q.Salt(version), s.shared())
		s.keys[version] = keys
	}
	return keys
}

// price returns what it costs to send the request to an endpoint.
func (s *scope) price(e *discovery.Endpoint, l *load) (Choice, float64) {
	c := Choice{Endpoint: e}
	costs := s.placer.costs
	cost := time.Duration(0)
	if s.q.Model != "" {
		c.Version = l.version[s.q.Model]
		c.Salt = s.q.Salt(c.Version)
		cost += s.prompt(&c, l)
		cost += s.oldVersion(c.Version)
	}
	c.Expected = s.wait(l) + cost
	if e.Domain != s.placer.domain {
		cost += time.Duration(float64(costs.ForeignKilobyte) * float64(s.q.Bytes) / 1024)
	}
	cost += s.wait(l) + s.doubt(l)
	return c, float64(cost) - s.home(e)
}

// wait returns the time until an endpoint starts on a new request.
func (s *scope) wait(l *load) time.Duration {
	costs := s.placer.costs
	running := l.inFlight + l.othersAt(s.now)
	wait := time.Duration(running)*costs.Running + time.Duration(l.reading)*costs.TokenRead
	if l.slots > 0 && running >= l.slots {
		wait += time.Duration(running-l.slots+1) * costs.Queued
	}
	return wait
}

func (l *load) othersAt(now proto.Instant) int {
	age := now.Sub(l.reportedAt)
	if l.reportedAt == 0 || age >= loadLife {
		return 0
	}
	return int(float64(l.others) * (1 - float64(age)/float64(loadLife)))
}

// doubt weighs what speaks against an endpoint.
func (s *scope) doubt(l *load) time.Duration {
	cost := time.Duration(0)
	if s.now < l.avoidUntil {
		cost += failingCost
	}
	if l.silent(s.now) || s.now < l.silentUntil {
		cost += silentCost
	}
	if l.heardAt != 0 && s.now.Sub(l.heardAt) > heartbeatLimit {
		cost += unheardCost
	}
	return cost
}

// silent reports whether an endpoint has answered nothing since an attempt was
// sent some time ago.
func (l *load) silent(now proto.Instant) bool {
	for _, since := range l.unanswered {
		if now.Sub(since) > silenceLimit && l.answeredAt < since {
			return true
		}
	}
	return false
}

// Silent returns the endpoints that have stopped to answer, for the peers.
func (p *Placer) Silent(now proto.Instant) []proto.EndpointID {
	p.mu.Lock()
	defer p.mu.Unlock()
	var ids []proto.EndpointID
	for id, l := range p.loads {
		if l.silent(now) {
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
	return l == nil || l.silent(now) || now < l.silentUntil
}

// ToldSilent records that an endpoint has stopped to answer a peer.
func (p *Placer) ToldSilent(now proto.Instant, id proto.EndpointID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l := p.loads[id]; l != nil && now.Sub(l.answeredAt) > silenceLimit {
		l.silentUntil = now.Add(toldSilence)
	}
}

func (s *scope) oldVersion(version int64) time.Duration {
	newest := s.placer.newest(s.q.Model)
	if version >= newest.Version || s.now.Sub(newest.At) < oldVersionGrace {
		return 0
	}
	return s.placer.costs.OldVersion
}

// prompt weighs reading the prompt, and picks where parts are fetched from.
func (s *scope) prompt(c *Choice, l *load) time.Duration {
	parts := s.shared()
	keys := s.keysFor(c.Version)
	held := s.leading(l, keys)
	c.Shared = tokensOf(parts)
	c.Held = tokensOf(parts[:held])
	fetched := s.source(c, parts, keys, held)
	own := tokensOf(s.q.Parts) - c.Shared
	again := tokensOf(parts[fetched:])
	moved := tokensOf(parts[held:fetched])
	c.Again = again
	c.Reading = own + again
	costs := s.placer.costs
	cost := time.Duration(own+again) * costs.TokenRead
	cost += 3 * time.Duration(moved) * s.tokenTime
	if again > 0 {
		cost += time.Duration(again) * costs.ReadAgain
	}
	return cost
}

// source picks where the endpoint fetches parts from and returns how many of
// the leading parts it then has. An engine goes before the store, whose link is
// shared by all. A source is named even if the endpoint is believed to hold
// everything, as it may have dropped parts unnoticed; one that is not needed
// costs nothing.
func (s *scope) source(c *Choice, parts []Part, keys []PartKey, held int) int {
	addr, fetched := s.peer(c.Endpoint, keys)
	if s.store != nil {
		stored := s.store.Leading(c.Salt, parts)
		if stored < len(parts) {
			c.Destination = s.storeAddr
		}
		if stored > fetched {
			addr, fetched = s.storeAddr, stored
		}
	}
	if fetched > 0 {
		c.Source = addr
	}
	return max(held, fetched)
}

// leading returns how many of the leading parts an endpoint holds or is about
// to hold.
func (s *scope) leading(l *load, keys []PartKey) int {
	for i, key := range keys {
		if _, ok := l.parts.held(key); !ok {
			return i
		}
	}
	return len(keys)
}

// peer returns the address of the engine that holds the most leading parts, of
// several the one with the least work, and the number of parts.
func (s *scope) peer(self *discovery.Endpoint, keys []PartKey) (string, int) {
	source, best, work := "", 0, 0
	for _, e := range s.placer.list.Of(s.q.Service) {
		l := s.placer.loads[e.ID]
		if e.ID == self.ID || l == nil || s.doubt(l) > 0 || l.loading && s.now < l.loadingTo {
			continue
		}
		n := 0
		for n < len(keys) {
			part, ok := l.parts.held(keys[n])
			if !ok || part.readyAt > s.now {
				break
			}
			n++
		}
		if n > best || n == best && n > 0 && l.inFlight < work {
			source, best, work = e.Addr, n, l.inFlight
		}
	}
	return source, best
}

func tokensOf(parts []Part) int64 {
	total := int64(0)
	for _, p := range parts {
		total += p.Tokens
	}
	return total
}

// home returns the bonus of an endpoint by rendezvous hashing on the deepest
// shared part, from 0 to homeBonus.
func (s *scope) home(e *discovery.Endpoint) float64 {
	parts := s.shared()
	if len(parts) == 0 {
		return 0
	}
	h := xxhash.Sum64String(parts[len(parts)-1].ID + "\x00" + string(e.ID))
	return float64(homeBonus) * float64(h>>11) / (1 << 53)
}

// Attempt names one attempt between Began and Finished.
type Attempt struct {
	id      uint64
	choice  Choice
	model   string
	life    int64
	reading int64
	first   bool
}

// Began records that an attempt was sent to the endpoint of a choice.
func (p *Placer) Began(now proto.Instant, q *Query, c Choice) *Attempt {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.attempts++
	a := &Attempt{id: p.attempts, choice: c, model: q.Model, life: c.Endpoint.Started, reading: c.Reading}
	l := p.loads[c.Endpoint.ID]
	if l == nil || l.life != a.life {
		return a
	}
	l.inFlight++
	l.reading += a.reading
	l.unanswered[a.id] = now
	if q.Model != "" && len(q.Parts) > 0 {
		p.expectParts(l, q, c, now.Add(c.Expected))
	}
	return a
}

// expectParts records the parts that an endpoint will hold; mu is held.
func (p *Placer) expectParts(l *load, q *Query, c Choice, ready proto.Instant) {
	keys := Keys(c.Salt, q.Parts)
	t := Told{Endpoint: c.Endpoint.ID, Started: c.Endpoint.Started, ReadyAt: ready}
	for i, part := range q.Parts {
		l.parts.use(heldPart{key: keys[i], tokens: part.Tokens, readyAt: ready})
		t.Held = append(t.Held, Held{Key: keys[i], Tokens: part.Tokens})
	}
	if len(p.told) < maxTold {
		p.told = append(p.told, t)
	}
}

func (p *Placer) find(a *Attempt) *load {
	l := p.loads[a.choice.Endpoint.ID]
	if l == nil || l.life != a.life {
		return nil
	}
	return l
}

// FirstByte records that an attempt got the first part of its answer.
func (p *Placer) FirstByte(now proto.Instant, a *Attempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l := p.find(a); l != nil {
		l.answeredAt = now
		a.gotFirst(l)
	}
}

func (a *Attempt) gotFirst(l *load) {
	if a.first {
		return
	}
	a.first = true
	l.reading = max(0, l.reading-a.reading)
	delete(l.unanswered, a.id)
}

// Held is a part of a prompt that an engine holds.
type Held struct {
	Key    PartKey `json:"key"`
	Tokens int64   `json:"tokens"`
}

// Told is what one router tells another of the parts that an engine holds.
type Told struct {
	Endpoint proto.EndpointID
	Started  int64
	Held     []Held
	ReadyAt  proto.Instant
}

// maxTold bounds what is kept to be told, in attempts.
const maxTold = 200

// Tell returns the shared parts of the attempts begun since the last call, for
// the peers.
func (p *Placer) Tell() []Told {
	p.mu.Lock()
	defer p.mu.Unlock()
	told := p.told
	p.told = nil
	return told
}

// TakeIn records what a peer tells of an engine.
func (p *Placer) TakeIn(t Told) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.loads[t.Endpoint]
	if l == nil || l.life != t.Started {
		return
	}
	for _, h := range t.Held {
		l.parts.use(heldPart{key: h.Key, tokens: h.Tokens, readyAt: t.ReadyAt})
	}
}

// Report is the load that an endpoint told with an answer.
type Report struct {
	Running, Waiting, Slots int
}

// Observe takes in a reported load.
func (p *Placer) Observe(now proto.Instant, a *Attempt, r Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.find(a)
	if l == nil {
		return
	}
	l.others = max(0, r.Running+r.Waiting-l.inFlight)
	l.reportedAt = now
	if r.Slots > 0 {
		l.slots = r.Slots
	}
}

// Finished records the end of an attempt. Healthy is false for failures that
// speak against the endpoint.
func (p *Placer) Finished(now proto.Instant, a *Attempt, healthy bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.find(a)
	if l == nil {
		return
	}
	a.gotFirst(l)
	l.inFlight = max(0, l.inFlight-1)
	if healthy {
		l.answeredAt = now
		l.failures = 0
		return
	}
	l.failures++
	pause := firstFailurePause << min(l.failures-1, 4)
	l.avoidUntil = now.Add(min(pause, lastFailurePause))
}

// Avoid keeps work from an endpoint for a time, as after a refusal.
func (p *Placer) Avoid(now proto.Instant, id proto.EndpointID, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l := p.loads[id]; l != nil {
		l.avoidUntil = max(l.avoidUntil, now.Add(d))
	}
}
