package route

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/kumquatsill/kumquatsill/core/member"
	"github.com/kumquatsill/kumquatsill/core/note"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

const (
	// defaultCacheTableBytes is the default size in bytes of the cache table.
	defaultCacheTableBytes = 3 << 20
	// maxReportAge is the age from which a report no longer describes the load.
	maxReportAge = 1500 * time.Millisecond
	// randomCandidates is the number of random members that are compared by load
	// for a prompt without blocks.
	randomCandidates = 4
	// maxProbes limits the number of agents that one choice lists to be probed.
	maxProbes = 3
	// maxCandidates limits the number of endpoints that one decision compares, which
	// bounds its work.
	maxCandidates = 40
	// homeDepth is the prefix length in blocks whose home endpoints get a prompt.
	// The homes of a longer prefix are considered only while those of half its
	// length are busy, because each further depth is one more place in which a
	// prefix may be cached.
	homeDepth = 3
	// loadBoundFactor and loadBoundSlack limit this router's attempts in flight at
	// one endpoint to a multiple of the mean plus a few (consistent hashing with
	// bounded loads).
	loadBoundFactor = 1.5
	loadBoundSlack  = 8
	// A prefix gives up a home after its homes' queue delay has stayed below
	// narrowWaitRatio of the delay that adds a home, for narrowDelay.
	narrowWaitRatio = 0.2
	narrowDelay     = 3 * time.Second
	// minHotUses is the number of uses in useWindow that a prefix needs to get
	// another home.
	minHotUses = 4
	// minImportProbability is the least probability that a peer still caches the
	// blocks to be imported from it.
	minImportProbability = 0.6
)

// indexedDepths are the prefix lengths in blocks that the cache table indexes.
var indexedDepths = [...]int{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 20, 24, 32, 48, 64, 96, 128}

// ViewConfig configures a View.
type ViewConfig struct {
	// Domain is the router's own failure domain.
	Domain proto.Domain
	// Seed seeds the random choices, so that those of different routers differ.
	Seed uint64
	// CacheTableBytes limits the size of the table that records which endpoint
	// caches which block; 0 means 3 MiB.
	CacheTableBytes int
	// HasKVStore is set if engines can import from a KV cache store.
	HasKVStore bool
	Costs      Costs
}

// View holds what one router knows of the endpoints' load, health and caches, and
// places requests by it. It implements Placer. All methods but Configure are safe
// for concurrent use.
type View struct {
	cfg         ViewConfig
	snap        atomic.Pointer[snapshot]
	builder     *builder
	cacheTable  *cacheTable
	randomCount atomic.Uint64
	// domainMu serializes the counts of failed endpoints in a failure domain. They
	// are rare, since only an observed failure starts one.
	domainMu sync.Mutex
}

var _ Placer = (*View)(nil)

// NewView returns a View without endpoints.
func NewView(cfg ViewConfig) *View {
	if cfg.CacheTableBytes <= 0 {
		cfg.CacheTableBytes = defaultCacheTableBytes
	}
	cfg.Costs = cfg.Costs.withDefaults()
	v := &View{cfg: cfg, builder: newBuilder(), cacheTable: newCacheTable(cfg.CacheTableBytes)}
	v.snap.Store(v.builder.build(nil, note.Empty()))
	return v
}

// Configure implements Placer.
func (v *View) Configure(_ proto.Instant, cfg *note.Config) {
	v.snap.Store(v.builder.build(v.snap.Load(), cfg))
}

// AttemptStarted implements Placer.
func (v *View) AttemptStarted(now proto.Instant, id proto.EndpointID, q Query) {
	s := v.snap.Load()
	if g := s.group(q); g != nil {
		g.inFlight.Add(1)
	}
	e := s.byID[id]
	if e == nil {
		return
	}
	cached := v.cachedBlocks(now, e, q.Blocks)
	missed := max(0, q.PromptTokens-int64(cached)*PieceTokens)
	e.addWork(now, time.Duration(missed)*v.cfg.Costs.PrefillToken)
	v.recordDispatch(now, s, s.group(q), cacheState{at: now, tag: e.tag.Load(), number: e.number, predicted: true}, q.Blocks)
}

// AttemptEnded implements Placer.
func (v *View) AttemptEnded(_ proto.Instant, id proto.EndpointID, q Query) {
	s := v.snap.Load()
	if g := s.group(q); g != nil {
		decrement(g.inFlight)
	}
	if e := s.byID[id]; e != nil {
		decrement(&e.inFlight)
	}
}

// decrement subtracts 1 from a count but stays at 0: an attempt may have started
// before its endpoint was withdrawn and added again with a new count.
func decrement(count *atomic.Int64) {
	for {
		n := count.Load()
		if n <= 0 || count.CompareAndSwap(n, n-1) {
			return
		}
	}
}

// Observe implements Placer.
func (v *View) Observe(now proto.Instant, r proto.Report, blocks []proto.BlockHash) {
	e := v.snap.Load().byID[r.Endpoint]
	if e == nil || !e.observe(now, r, v.cfg.Costs.PrefillToken) {
		return
	}
	state := cacheState{at: now, tag: e.tag.Load(), number: e.number}
	matched := min(max(0, r.MatchedBlocks), len(blocks))
	for _, depth := range indexedDepths {
		if depth > len(blocks) {
			return
		}
		state.absent = depth > matched
		v.cacheTable.update(now, uint64(blocks[depth-1]), func(entry *cacheEntry) { entry.record(state) })
		if state.absent {
			return
		}
	}
}

// ObserveFailure implements Placer. It records a failure on member.PathTraffic.
func (v *View) ObserveFailure(now proto.Instant, id proto.EndpointID) {
	v.ObserveFailureOn(now, id, member.PathTraffic)
}

// ObserveFailureOn records that an endpoint did not respond on a path. Only
// failures on two paths exclude the endpoint.
func (v *View) ObserveFailureOn(now proto.Instant, id proto.EndpointID, path member.Path) {
	s := v.snap.Load()
	e := s.byID[id]
	if e == nil {
		return
	}
	e.observeFailure(now, path)
	v.updateDomainHealth(now, s, e)
}

// ObserveHostList records whether the host list has an endpoint's host as live.
// That is a hint, which does not exclude the endpoint by itself.
func (v *View) ObserveHostList(now proto.Instant, id proto.EndpointID, live bool) {
	if e := v.snap.Load().byID[id]; e != nil {
		e.observeHostList(now, live)
	}
}

// updateDomainHealth makes the whole failure domain of a failed endpoint doubtful
// if half of its endpoints, and at least 2, do not respond.
func (v *View) updateDomainHealth(now proto.Instant, s *snapshot, failed *endpoint) {
	v.domainMu.Lock()
	defer v.domainMu.Unlock()
	total, failing := 0, 0
	for _, e := range s.endpoints {
		if e.domainHealth != failed.domainHealth {
			continue
		}
		total++
		health := e.healthAt(now)
		if health == member.Doubtful || health == member.Unhealthy {
			failing++
		}
	}
	if failing >= 2 && 2*failing >= total {
		failed.domainHealth.doubtfulUntil.Store(int64(now.Add(downTTL)))
	}
}

// recordDispatch records the state of each block at the endpoint that a request was
// dispatched to, and adjusts the spread of each prefix.
func (v *View) recordDispatch(now proto.Instant, s *snapshot, g *group, state cacheState, blocks []proto.BlockHash) {
	for _, depth := range indexedDepths {
		if depth > len(blocks) {
			return
		}
		hash := uint64(blocks[depth-1])
		v.cacheTable.update(now, hash, func(entry *cacheEntry) {
			entry.record(state)
			uses := entry.countUse(now)
			if g == nil {
				return
			}
			entry.adjustSpread(now, s.minQueueDelay(now, g, hash, int(entry.spread)+1), v.prefillTime(int64(depth)*PieceTokens), uses)
		})
	}
}

// minQueueDelay returns the shortest queue delay among those of the first width
// homes of a block that accept work.
func (s *snapshot) minQueueDelay(now proto.Instant, g *group, hash uint64, width int) time.Duration {
	shortest := time.Duration(math.MaxInt64)
	for rank, index := range g.forBlock(hash) {
		if rank >= width {
			break
		}
		e := s.endpoints[index]
		if e.leaving || e.healthAt(now) >= member.Unhealthy {
			continue
		}
		shortest = min(shortest, e.queueDelay(now))
	}
	return shortest
}

// prefillTime returns the time to prefill a number of prompt tokens.
func (v *View) prefillTime(tokens int64) time.Duration {
	return time.Duration(tokens) * v.cfg.Costs.PrefillToken
}

// adjustSpread widens or narrows the spread of a prefix, with hysteresis. It widens
// the spread if the shortest queue delay at the homes exceeds recompute, the time
// to prefill the prefix at another endpoint.
func (e *cacheEntry) adjustSpread(now proto.Instant, queueDelay, recompute time.Duration, uses uint16) {
	if queueDelay > time.Duration(narrowWaitRatio*float64(recompute)) {
		e.busyAt = now
	}
	switch {
	case queueDelay > recompute && uses >= minHotUses && int(e.spread)+1 < maxHomes:
		e.spread++
	case e.spread > 0 && now.Sub(e.busyAt) >= narrowDelay:
		e.spread--
		e.busyAt = now
	}
}

// cachedBlocks returns the number of leading blocks that the endpoint caches with
// a probability of at least one half.
func (v *View) cachedBlocks(now proto.Instant, e *endpoint, blocks []proto.BlockHash) int {
	cached := 0
	tag := e.tag.Load()
	var entry cacheEntry
	for _, depth := range indexedDepths {
		if depth > len(blocks) || !v.cacheTable.get(uint64(blocks[depth-1]), &entry) {
			break
		}
		if state := entry.find(tag); state != nil && !state.absent && cachedProbability(now.Sub(state.at)) >= 0.5 {
			cached = depth
		}
	}
	return cached
}

// random returns the next number of the seeded pseudo-random sequence.
func (v *View) random() uint64 {
	return mix(v.cfg.Seed + v.randomCount.Add(1)*0x9e3779b97f4a7c15)
}

// group returns the endpoints that can serve a request, or nil if there are none.
func (s *snapshot) group(q Query) *group {
	if q.Class == proto.ClassCall {
		return s.services[q.Service]
	}
	return s.models[q.Model]
}
