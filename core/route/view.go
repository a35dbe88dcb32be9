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
	// defaultMemory is the size in bytes of the recall table.
	defaultMemory = 3 << 20
	// staleAfter is the age at which a report no longer describes the load.
	staleAfter = 1500 * time.Millisecond
	// shortChoices is the number of members among which a prompt without
	// blocks goes to the one with the shortest wait.
	shortChoices = 4
	// maxProbes is the greatest number of agents to ask first.
	maxProbes = 3
	// maxCandidates bounds the work of one decision.
	maxCandidates = 40
	// homeDepth is the depth whose homes a prompt goes to. Deeper homes are
	// considered only while those of half the depth are busy: each further
	// depth is one more place to look for a prefix.
	homeDepth = 3
	// boundFactor and boundSlack limit an endpoint's own work in flight to a
	// multiple of the mean plus a few attempts (bounded load).
	boundFactor = 1.5
	boundSlack  = 8
	// contractShare is the share of the wait at which a prefix gets another
	// home below which it gives one up, after contractHold.
	contractShare = 0.2
	contractHold  = 3 * time.Second
	// spreadUses is the number of uses in useWindow that makes a prefix hot.
	spreadUses = 4
	// importConfidence is the least chance that a peer still holds what is to
	// be imported from it.
	importConfidence = 0.6
)

// depths are the prefix lengths in blocks that are looked up and remembered.
var depths = [...]int{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 20, 24, 32, 48, 64, 96, 128}

// ViewConfig configures a View.
type ViewConfig struct {
	// Domain is the router's own failure domain.
	Domain proto.Domain
	// Seed makes the random choices of this router differ from its peers'.
	Seed uint64
	// CacheTableBytes bounds the table of what agents reported; 0 means 3 MiB.
	CacheTableBytes int
	// HasKVStore is set where engines can import from a KV cache store.
	HasKVStore bool
	Costs      Costs
}

// View is the endpoints as one router sees them; it implements Placer. All
// methods but Configure are safe for concurrent use.
type View struct {
	cfg     ViewConfig
	snap    atomic.Pointer[snapshot]
	builder *builder
	recall  *recall
	draws   atomic.Uint64
	// domainMu orders the rare recounts of failures per failure domain.
	domainMu sync.Mutex
}

var _ Placer = (*View)(nil)

// NewView returns a View without endpoints.
func NewView(cfg ViewConfig) *View {
	if cfg.CacheTableBytes <= 0 {
		cfg.CacheTableBytes = defaultMemory
	}
	cfg.Costs = cfg.Costs.withDefaults()
	v := &View{cfg: cfg, builder: newBuilder(), recall: newRecall(cfg.CacheTableBytes)}
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
	held := v.seenAt(now, e, q.Blocks)
	missed := max(0, q.PromptTokens-int64(held)*PieceTokens)
	e.dispatched(now, time.Duration(missed)*v.cfg.Costs.PrefillToken)
	v.remember(now, s, s.group(q), holder{at: now, tag: e.tag.Load(), num: e.num, predicted: true}, q.Blocks)
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

// decrement keeps at 0 a count whose dispatch was counted before the endpoint
// was withdrawn and added again.
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
	h := holder{at: now, tag: e.tag.Load(), num: e.num}
	matched := min(max(0, r.MatchedBlocks), len(blocks))
	for _, depth := range depths {
		if depth > len(blocks) {
			return
		}
		h.absent = depth > matched
		v.recall.update(now, uint64(blocks[depth-1]), func(entry *recallEntry) { entry.put(h) })
		if h.absent {
			return
		}
	}
}

// ObserveFailure implements Placer. It counts as evidence from ordinary traffic.
func (v *View) ObserveFailure(now proto.Instant, id proto.EndpointID) {
	v.ObserveFailureOn(now, id, member.PathTraffic)
}

// ObserveFailureOn counts evidence from a given path that an endpoint does not
// answer. Only evidence from two paths excludes the endpoint.
func (v *View) ObserveFailureOn(now proto.Instant, id proto.EndpointID, path member.Path) {
	s := v.snap.Load()
	e := s.byID[id]
	if e == nil {
		return
	}
	e.failed(now, path)
	v.judgeDomain(now, s, e)
}

// ObserveHostList takes in the host list's statement on an endpoint, which is a hint.
func (v *View) ObserveHostList(now proto.Instant, id proto.EndpointID, live bool) {
	if e := v.snap.Load().byID[id]; e != nil {
		e.listed(now, live)
	}
}

// judgeDomain doubts a whole failure domain when half of its endpoints, and
// at least 2, do not answer.
func (v *View) judgeDomain(now proto.Instant, s *snapshot, failed *endpoint) {
	v.domainMu.Lock()
	defer v.domainMu.Unlock()
	size, bad := 0, 0
	for _, e := range s.endpoints {
		if e.health != failed.health {
			continue
		}
		size++
		standing := e.standingAt(now)
		if standing == member.Doubtful || standing == member.Unhealthy {
			bad++
		}
	}
	if bad >= 2 && 2*bad >= size {
		failed.health.doubtUntil.Store(int64(now.Add(downLife)))
	}
}

// remember records that the endpoint of h will hold blocks, and adapts the
// spread of each prefix.
func (v *View) remember(now proto.Instant, s *snapshot, g *group, h holder, blocks []proto.BlockHash) {
	for _, depth := range depths {
		if depth > len(blocks) {
			return
		}
		hash := uint64(blocks[depth-1])
		v.recall.update(now, hash, func(entry *recallEntry) {
			entry.put(h)
			uses := entry.count(now)
			if g == nil {
				return
			}
			entry.adapt(now, s.leastWait(now, g, hash, int(entry.spread)+1), v.prefill(int64(depth)*PieceTokens), uses)
		})
	}
}

// leastWait returns the least wait among the first width homes of a block,
// of those that take work.
func (s *snapshot) leastWait(now proto.Instant, g *group, hash uint64, width int) time.Duration {
	least := time.Duration(math.MaxInt64)
	for rank, index := range g.of(hash) {
		if rank >= width {
			break
		}
		e := s.endpoints[index]
		if e.leaving || e.standingAt(now) >= member.Unhealthy {
			continue
		}
		least = min(least, e.queueAt(now))
	}
	return least
}

// prefill returns the time to compute tokens of prompt.
func (v *View) prefill(tokens int64) time.Duration {
	return time.Duration(tokens) * v.cfg.Costs.PrefillToken
}

// adapt widens or narrows the spread of a prefix, with hysteresis. It widens
// when the least wait at the homes exceeds recompute, the time to compute the
// prefix at another endpoint.
func (e *recallEntry) adapt(now proto.Instant, least, recompute time.Duration, uses uint16) {
	if least > time.Duration(contractShare*float64(recompute)) {
		e.calm = now
	}
	switch {
	case least > recompute && uses >= spreadUses && int(e.spread)+1 < maxHomes:
		e.spread++
	case e.spread > 0 && now.Sub(e.calm) >= contractHold:
		e.spread--
		e.calm = now
	}
}

// seenAt returns the number of leading blocks that the endpoint is known to hold.
func (v *View) seenAt(now proto.Instant, e *endpoint, blocks []proto.BlockHash) int {
	seen := 0
	tag := e.tag.Load()
	var entry recallEntry
	for _, depth := range depths {
		if depth > len(blocks) || !v.recall.get(uint64(blocks[depth-1]), &entry) {
			break
		}
		if h := entry.find(tag); h != nil && !h.absent && confidence(now.Sub(h.at)) >= 0.5 {
			seen = depth
		}
	}
	return seen
}

// draw returns the next number of the seeded sequence.
func (v *View) draw() uint64 {
	return mix(v.cfg.Seed + v.draws.Add(1)*0x9e3779b97f4a7c15)
}

func (s *snapshot) group(q Query) *group {
	if q.Class == proto.ClassCall {
		return s.services[q.Service]
	}
	return s.models[q.Model]
}
