package place

import (
	"cmp"
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/kumquatsill/kumquatsill/core/discovery"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// scorer computes the cost of each candidate for one request.
type scorer struct {
	placer *Placer
	now    proto.Instant
	q      *Query
	links  links
	// shared holds the parts that other requests may have in common.
	// prefixTokens holds the number of tokens in the first 0, 1, ... of them,
	// ownTokens that of the request's own part.
	shared       []Part
	prefixTokens []int64
	ownTokens    int64
	// affinityHash is the hash of the last shared part.
	affinityHash uint64
	// prompts holds the prompt for each version considered.
	prompts map[int64]*versionedPrompt
	// last is the prompt for lastVersion, that of the candidate before.
	last        *versionedPrompt
	lastVersion int64
	service     *pacedService
	// output is the expected length of the output in tokens, 0 if unknown.
	output int64
	domainCost
	rng *rand.Rand
	// trace records the assessments, or is nil.
	trace *trace
}

// versionedPrompt is the prompt as cached under one version of the model.
type versionedPrompt struct {
	salt string
	// keys holds the keys of all parts of the prompt.
	keys []PartKey
	// sources lists where leading parts of the prompt can be fetched from.
	sources []source
}

// source is an engine or store that holds leading parts of the prompt.
type source struct {
	addr string
	// engine is empty for a store.
	engine proto.EndpointID
	domain proto.Domain
	// parts is the number of leading parts held.
	parts int
	// linkFreeAt is when the link becomes free, tokenTime the time to send the
	// cache entry of one token.
	linkFreeAt proto.Instant
	tokenTime  time.Duration
	// lag is by how much later than planned transfers from a store end.
	lag time.Duration
}

func newScorer(p *Placer, now proto.Instant, q *Query, rng *rand.Rand) *scorer {
	s := &scorer{
		placer: p, now: now, q: q, prompts: map[int64]*versionedPrompt{}, service: p.pacedServiceOf(q.Service),
		domainCost: p.domainCost(now, q, rng), rng: rng,
	}
	if p.config != nil && q.Model != "" {
		s.links = p.linksFor(now, q.Service)
	}
	if q.Size.isKnown() {
		s.output = s.service.outputs.expect(&q.Size)
	}
	if len(q.Parts) == 0 {
		return s
	}
	last := len(q.Parts) - 1
	s.shared, s.ownTokens = q.Parts[:last], q.Parts[last].Tokens
	s.prefixTokens = make([]int64, last+1)
	for i, part := range s.shared {
		s.prefixTokens[i+1] = s.prefixTokens[i] + part.Tokens
	}
	if last > 0 {
		s.affinityHash = xxhash.Sum64String(s.shared[last-1].ID)
	}
	return s
}

// promptFor returns the prompt for a version.
func (s *scorer) promptFor(version int64) *versionedPrompt {
	if s.last != nil && s.lastVersion == version {
		return s.last
	}
	c := s.prompts[version]
	if c == nil {
		c = &versionedPrompt{salt: s.q.Salt(version)}
		c.keys = Keys(c.salt, s.q.Parts)
		c.sources = s.sourcesFor(c)
		s.prompts[version] = c
	}
	s.last, s.lastVersion = c, version
	return c
}

// sharedKeys returns the keys of the shared parts.
func (s *scorer) sharedKeys(c *versionedPrompt) []PartKey { return c.keys[:len(s.shared)] }

// sourcesFor returns the responsive engines and stores that already hold leading
// parts of a prompt.
func (s *scorer) sourcesFor(c *versionedPrompt) []source {
	if len(s.shared) == 0 {
		return nil
	}
	var sources []source
	for _, candidate := range s.placer.candidates(s.q.Service) {
		e, l := candidate.endpoint, candidate.load
		if s.now < l.backoffUntil || l.isSilent(s.now) || s.now < l.silentUntil || l.isLoading(s.now) {
			continue
		}
		if n := prefilledPrefix(l, s.sharedKeys(c), s.now); n > 0 {
			sources = append(sources, source{
				addr: e.Addr, engine: e.ID, domain: e.Domain, parts: n, linkFreeAt: l.linkFreeAt, tokenTime: s.links.tokenTime,
			})
		}
	}
	for _, store := range s.links.stores {
		if n := store.index.LeadingParts(c.salt, s.shared); n > 0 {
			sources = append(sources, source{
				addr: store.addr, domain: store.domain, parts: n, linkFreeAt: store.freeAt, tokenTime: store.tokenTime, lag: store.lag,
			})
		}
	}
	return leastBusy(sources, s.now)
}

// leastBusy keeps the two sources whose links are free first out of each set of
// equivalent ones. The second is for the case that the first is the candidate
// itself.
func leastBusy(sources []source, now proto.Instant) []source {
	slices.SortStableFunc(sources, func(a, b source) int {
		return cmp.Or(a.compare(&b), cmp.Compare(max(a.linkFreeAt, now).Add(a.lag), max(b.linkFreeAt, now).Add(b.lag)))
	})
	kept := sources[:0]
	for _, from := range sources {
		if n := len(kept); n < 2 || from.compare(&kept[n-1]) != 0 || from.compare(&kept[n-2]) != 0 {
			kept = append(kept, from)
		}
	}
	return kept
}

// compare orders sources by the parts that they hold, by transfer rate and by
// failure domain. It ignores the wait for the link.
func (a *source) compare(b *source) int {
	return cmp.Or(cmp.Compare(b.parts, a.parts), cmp.Compare(a.tokenTime, b.tokenTime), cmp.Compare(a.domain, b.domain))
}

// score sets the choice of an endpoint and returns its cost.
func (s *scorer) score(c *Choice, e *discovery.Endpoint, l *load) float64 {
	*c = Choice{Endpoint: e}
	v := s.viewOf(l)
	c.Lag, c.tokenTime, c.slowdown = l.currentLag(s.now), v.tokenTime, v.slowdown
	c.ExpectedTTFB = s.wait(l, &v) + c.Lag
	var p penalties
	if s.q.Model != "" {
		c.Version = l.versionOf(s.q.Model)
		took, promptPenalty := s.promptCost(c, l, &v)
		c.ExpectedTTFB += took
		p.prompt, p.oldVersion = promptPenalty, s.oldVersionPenalty(c.Version)
	}
	p.health, p.lateness, p.memory = s.healthPenalty(l), s.latenessCost(c, l, &v), s.memoryCost(c, l)
	p.domain = s.domainPenalty(e, c.ExpectedTTFB+p.health)
	s.trace.scored(c, l, &v, &p)
	return float64(c.ExpectedTTFB+p.total()) - s.affinity(l)
}

// penalties are the costs of an endpoint in addition to the expected time.
type penalties struct{ prompt, oldVersion, domain, health, lateness, memory time.Duration }

func (p *penalties) total() time.Duration {
	return p.prompt + p.oldVersion + p.domain + p.health + p.lateness + p.memory
}

// wait returns the time until an endpoint begins a new request.
func (s *scorer) wait(l *load, v *view) time.Duration {
	if v.active {
		return s.pacedWait(l, v)
	}
	costs := s.placer.cfg.Costs
	running := l.inFlight + l.otherInFlightAt(s.now)
	wait := time.Duration(running)*costs.RunningRequest + time.Duration(l.prefillTokens)*costs.PrefillToken
	wait += max(0, l.peerPrefillUntil.Sub(s.now))
	if l.slots > 0 && running >= l.slots {
		wait += time.Duration(running-l.slots+1) * costs.QueuedRequest
	}
	return wait
}

// healthPenalty returns the cost of failures, refusals, silence and missed
// heartbeats of an endpoint.
func (s *scorer) healthPenalty(l *load) time.Duration {
	cost := time.Duration(0)
	if s.now < l.backoffUntil {
		cost += failingCost
	}
	if s.now < l.pausedUntil {
		cost += pausedCost
	}
	if l.isSilent(s.now) || s.now < l.silentUntil {
		cost += silentCost
	}
	if l.heartbeatOverdue(s.now, s.placer.limits.HeartbeatTimeout) {
		cost += missedHeartbeatCost
	}
	return cost
}

// oldVersionPenalty returns the cost of a version older than the announced one.
func (s *scorer) oldVersionPenalty(version int64) time.Duration {
	newest := s.placer.newest(s.q.Model)
	if version >= newest.version || s.now.Sub(newest.at) < oldVersionGrace {
		return 0
	}
	return s.placer.cfg.Costs.OldVersion
}

// promptCost returns the time to fetch and prefill the prompt, and the cost in
// addition to that time. It fills in the fields of the choice on the prompt.
func (s *scorer) promptCost(c *Choice, l *load, v *view) (took, penalty time.Duration) {
	cached := s.promptFor(c.Version)
	c.Salt, c.keys = cached.salt, cached.keys
	if len(s.q.Parts) == 0 {
		return 0, 0
	}
	held := heldPrefix(l, s.sharedKeys(cached), s.now)
	from := s.pickSource(c, l, cached.sources, held)
	c.SharedTokens, c.CachedTokens = s.prefixTokens[len(s.shared)], s.prefixTokens[held]
	c.FetchedTokens = s.prefixTokens[from.parts] - c.CachedTokens
	c.RecomputedTokens = c.SharedTokens - s.prefixTokens[from.parts]
	c.PrefillTokens = s.ownTokens + c.RecomputedTokens
	costs := s.placer.cfg.Costs
	took = time.Duration(c.PrefillTokens) * c.tokenTime
	penalty = time.Duration(c.RecomputedTokens) * s.recomputedToken(v)
	if c.FetchedTokens > 0 {
		c.transfer = from.took
		took += from.wait + from.took
		penalty += costs.FetchSetup + time.Duration(c.FetchedTokens)*costs.FetchedToken
	}
	if c.RecomputedTokens >= minStoreTokens && len(s.links.stores) > 0 {
		// The parts computed here are copied to the nearest store for other
		// engines.
		c.Destination = s.links.stores[0].addr
	}
	return took, penalty
}

// fetchPlan describes fetching parts from a source.
type fetchPlan struct {
	// parts is the number of leading parts that the endpoint holds afterwards.
	parts int
	// wait is the time until both links are free, took the duration of the
	// transfer.
	wait, took time.Duration
	// cost is what sources of equal parts are compared by.
	cost time.Duration
}

// pickSource chooses the source to fetch parts from. It sets a source even if
// the endpoint is believed to hold all parts, as it may have evicted some
// without the router's knowledge; an unneeded source costs nothing.
func (s *scorer) pickSource(c *Choice, l *load, sources []source, held int) fetchPlan {
	best := fetchPlan{parts: held}
	for i := range sources {
		from := &sources[i]
		if from.engine == c.Endpoint.ID {
			continue
		}
		f := fetchPlan{parts: max(from.parts, held), wait: max(0, max(from.linkFreeAt, l.linkFreeAt).Sub(s.now)) + from.lag}
		tokens := s.prefixTokens[f.parts] - s.prefixTokens[held]
		f.took = transferTime(tokens, from.tokenTime, from.domain != c.Endpoint.Domain)
		if f.wait+f.took > maxTransferWait && tokens > 0 || from.lag > 0 && !s.isWorthLag(c, &f, from.lag, tokens) {
			continue
		}
		if f.cost = f.wait + f.took; from.engine != "" {
			f.cost += engineMissCost
		}
		if f.parts > best.parts || f.parts == best.parts && (c.Source == "" || f.cost < best.cost) {
			best = f
			c.Source, c.SourceEngine, c.sourceLag = from.addr, from.engine, from.lag
		}
	}
	return best
}

// isWorthLag reports whether parts are worth fetching from a store whose link lags: prefilling
// them must cost more.
func (s *scorer) isWorthLag(c *Choice, f *fetchPlan, lag time.Duration, tokens int64) bool {
	if tokens == 0 {
		return lag <= maxIdleSourceLag
	}
	return f.wait+f.took < time.Duration(tokens)*(c.tokenTime+s.placer.cfg.Costs.RecomputedToken)
}

// heldPrefix returns how many of the leading parts an endpoint holds or is about
// to hold.
func heldPrefix(l *load, keys []PartKey, now proto.Instant) int {
	for i, key := range keys {
		if _, ok := l.parts.lookup(now, key); !ok {
			return i
		}
	}
	return len(keys)
}

// prefilledPrefix returns how many of the leading parts an endpoint has already
// prefilled.
func prefilledPrefix(l *load, keys []PartKey, now proto.Instant) int {
	for i, key := range keys {
		if part, ok := l.parts.lookup(now, key); !ok || part.readyAt > now {
			return i
		}
	}
	return len(keys)
}

// affinity returns the bonus of an endpoint, from 0 to affinityBonus, by
// rendezvous hashing on the last shared part.
func (s *scorer) affinity(l *load) float64 {
	if len(s.shared) == 0 {
		return 0
	}
	var pair [16]byte
	binary.LittleEndian.PutUint64(pair[:8], s.affinityHash)
	binary.LittleEndian.PutUint64(pair[8:], l.idHash)
	return float64(affinityBonus) * float64(xxhash.Sum64(pair[:])>>11) / (1 << 53)
}
