package place

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/kumquatsill/kumquatsill/core/discovery"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// scope is the state of one choice.
type scope struct {
	placer *Placer
	now    proto.Instant
	q      *Query
	links  links
	// shared are the parts that other requests may have in common; upTo holds
	// the tokens of the leading 0, 1, ... of them, own the tokens of the rest.
	shared []Part
	upTo   []int64
	own    int64
	// homeHash is that of the deepest shared part.
	homeHash uint64
	prompts  map[int64]*cachedPrompt
}

// cachedPrompt is the prompt under one version of the model.
type cachedPrompt struct {
	salt string
	// keys are those of all parts of the prompt.
	keys []PartKey
	// sources are where leading parts of the prompt can be fetched from.
	sources []source
}

// source is an engine or store that holds leading parts of the prompt.
type source struct {
	addr string
	// engine is empty for a store.
	engine proto.EndpointID
	domain proto.Domain
	parts  int
	// linkBusy is when its link is free, tokenTime the time to send one token.
	linkBusy  proto.Instant
	tokenTime time.Duration
}

func newScope(p *Placer, now proto.Instant, q *Query) *scope {
	s := &scope{placer: p, now: now, q: q, prompts: map[int64]*cachedPrompt{}}
	if p.config != nil && q.Model != "" {
		s.links = p.linksOf(q.Service)
	}
	if len(q.Parts) == 0 {
		return s
	}
	last := len(q.Parts) - 1
	s.shared, s.own = q.Parts[:last], q.Parts[last].Tokens
	s.upTo = make([]int64, last+1)
	for i, part := range s.shared {
		s.upTo[i+1] = s.upTo[i] + part.Tokens
	}
	if last > 0 {
		s.homeHash = xxhash.Sum64String(s.shared[last-1].ID)
	}
	return s
}

// promptFor returns the prompt under a version.
func (s *scope) promptFor(version int64) *cachedPrompt {
	c := s.prompts[version]
	if c == nil {
		c = &cachedPrompt{salt: s.q.Salt(version)}
		c.keys = Keys(c.salt, s.q.Parts)
		c.sources = s.sourcesOf(c)
		s.prompts[version] = c
	}
	return c
}

// sharedKeys returns the keys of the shared parts.
func (s *scope) sharedKeys(c *cachedPrompt) []PartKey { return c.keys[:len(s.shared)] }

// sourcesOf returns the engines and stores that have read leading parts of a
// prompt and answer.
func (s *scope) sourcesOf(c *cachedPrompt) []source {
	if len(s.shared) == 0 {
		return nil
	}
	var sources []source
	for _, e := range s.placer.list.ForService(s.q.Service) {
		l := s.placer.loads[e.ID]
		if l == nil || s.now < l.avoidUntil || l.silent(s.now) || s.now < l.silentUntil || l.isLoading(s.now) {
			continue
		}
		if n := ready(l, s.sharedKeys(c), s.now); n > 0 {
			sources = append(sources, source{
				addr: e.Addr, engine: e.ID, domain: e.Domain, parts: n, linkBusy: l.linkBusy, tokenTime: s.links.tokenTime,
			})
		}
	}
	for _, store := range s.links.stores {
		if n := store.index.LeadingParts(c.salt, s.shared); n > 0 {
			sources = append(sources, source{
				addr: store.addr, domain: store.domain, parts: n, linkBusy: store.busy, tokenTime: store.tokenTime,
			})
		}
	}
	return leastBusy(sources, s.now)
}

// leastBusy keeps two sources of each set of equal ones: the one whose link is
// free first, and the next one for the endpoint that is the first itself.
func leastBusy(sources []source, now proto.Instant) []source {
	slices.SortStableFunc(sources, func(a, b source) int {
		return cmp.Or(a.compare(&b), cmp.Compare(max(a.linkBusy, now), max(b.linkBusy, now)))
	})
	kept := sources[:0]
	for _, from := range sources {
		if n := len(kept); n < 2 || from.compare(&kept[n-1]) != 0 || from.compare(&kept[n-2]) != 0 {
			kept = append(kept, from)
		}
	}
	return kept
}

// compare orders sources by what fetching from them gives and takes apart from
// the wait.
func (a *source) compare(b *source) int {
	return cmp.Or(cmp.Compare(b.parts, a.parts), cmp.Compare(a.tokenTime, b.tokenTime), cmp.Compare(a.domain, b.domain))
}

// price returns what it costs to send the request to an endpoint.
func (s *scope) price(e *discovery.Endpoint, l *load) (Choice, float64) {
	c := Choice{Endpoint: e}
	costs := s.placer.cfg.Costs
	weight := time.Duration(0)
	c.Lag = l.lagNow(s.now)
	c.ExpectedTTFB = s.wait(l) + c.Lag
	if s.q.Model != "" {
		c.Version = l.version[s.q.Model]
		took, extra := s.prompt(&c, l)
		c.ExpectedTTFB += took
		weight += extra + s.oldVersion(c.Version)
	}
	if e.Domain != s.placer.cfg.Domain {
		weight += time.Duration(float64(costs.CrossDomainKilobyte) * float64(s.q.Bytes) / 1024)
	}
	weight += s.doubt(l)
	return c, float64(c.ExpectedTTFB+weight) - s.home(l)
}

// wait returns the time until an endpoint starts on a new request.
func (s *scope) wait(l *load) time.Duration {
	costs := s.placer.cfg.Costs
	running := l.inFlight + l.othersAt(s.now)
	wait := time.Duration(running)*costs.RunningRequest + time.Duration(l.reading)*costs.PrefillToken
	wait += max(0, l.peersReadUntil.Sub(s.now))
	if l.slots > 0 && running >= l.slots {
		wait += time.Duration(running-l.slots+1) * costs.QueuedRequest
	}
	return wait
}

// doubt weighs what speaks against an endpoint.
func (s *scope) doubt(l *load) time.Duration {
	cost := time.Duration(0)
	if s.now < l.avoidUntil {
		cost += failingCost
	}
	if s.now < l.pausedUntil {
		cost += pausedCost
	}
	if l.silent(s.now) || s.now < l.silentUntil {
		cost += silentCost
	}
	limit := s.placer.limits.HeartbeatTimeout
	if limit > 0 && l.heardAt != 0 && s.now.Sub(l.heardAt) > limit {
		cost += unheardCost
	}
	return cost
}

func (s *scope) oldVersion(version int64) time.Duration {
	newest := s.placer.newest(s.q.Model)
	if version >= newest.version || s.now.Sub(newest.at) < oldVersionGrace {
		return 0
	}
	return s.placer.cfg.Costs.OldVersion
}

// prompt returns the time to get and read the prompt, and the weight of the
// choice beyond that time.
func (s *scope) prompt(c *Choice, l *load) (took, weight time.Duration) {
	cached := s.promptFor(c.Version)
	c.Salt, c.keys = cached.salt, cached.keys
	if len(s.q.Parts) == 0 {
		return 0, 0
	}
	held := leading(l, s.sharedKeys(cached), s.now)
	from := s.fetch(c, l, cached.sources, held)
	c.SharedTokens, c.CachedTokens = s.upTo[len(s.shared)], s.upTo[held]
	c.FetchedTokens = s.upTo[from.parts] - c.CachedTokens
	c.RecomputedTokens = c.SharedTokens - s.upTo[from.parts]
	c.PrefillTokens = s.own + c.RecomputedTokens
	costs := s.placer.cfg.Costs
	took = time.Duration(c.PrefillTokens) * costs.PrefillToken
	weight = time.Duration(c.RecomputedTokens) * costs.RecomputedToken
	if c.FetchedTokens > 0 {
		c.transfer = from.took
		took += from.wait + from.took
		weight += costs.FetchSetup + time.Duration(c.FetchedTokens)*costs.FetchedToken
	}
	if c.RecomputedTokens >= minStored && len(s.links.stores) > 0 {
		// What is read here is kept in the nearest store for the others.
		c.Destination = s.links.stores[0].addr
	}
	return took, weight
}

// fetched is the outcome of fetching parts from a source.
type fetched struct {
	// parts is the number of leading parts that the endpoint then has.
	parts int
	// wait is the time until both links are free, took that of the transfer.
	wait, took time.Duration
	// weight is what sources of equal parts are compared by.
	weight time.Duration
}

// fetch picks where the endpoint fetches parts from. A source is named even if
// the endpoint is believed to hold everything, as it may have dropped parts
// unnoticed; a source that is not needed costs nothing.
func (s *scope) fetch(c *Choice, l *load, sources []source, held int) fetched {
	best := fetched{parts: held}
	for i := range sources {
		from := &sources[i]
		if from.engine == c.Endpoint.ID {
			continue
		}
		f := fetched{parts: max(from.parts, held), wait: max(0, max(from.linkBusy, l.linkBusy).Sub(s.now))}
		tokens := s.upTo[f.parts] - s.upTo[held]
		f.took = transferTime(tokens, from.tokenTime, from.domain != c.Endpoint.Domain)
		if f.wait+f.took > maxTransferWait && tokens > 0 {
			continue
		}
		if f.weight = f.wait + f.took; from.engine != "" {
			f.weight += engineMissRisk
		}
		if f.parts > best.parts || f.parts == best.parts && (c.Source == "" || f.weight < best.weight) {
			best = f
			c.Source, c.SourceEngine = from.addr, from.engine
		}
	}
	return best
}

// leading returns how many of the leading parts an endpoint holds or is about
// to hold.
func leading(l *load, keys []PartKey, now proto.Instant) int {
	for i, key := range keys {
		if _, ok := l.parts.held(now, key); !ok {
			return i
		}
	}
	return len(keys)
}

// ready returns how many of the leading parts an endpoint has read by now.
func ready(l *load, keys []PartKey, now proto.Instant) int {
	for i, key := range keys {
		if part, ok := l.parts.held(now, key); !ok || part.readyAt > now {
			return i
		}
	}
	return len(keys)
}

// home returns the bonus of an endpoint by rendezvous hashing on the deepest
// shared part, from 0 to homeBonus.
func (s *scope) home(l *load) float64 {
	if len(s.shared) == 0 {
		return 0
	}
	var pair [16]byte
	binary.LittleEndian.PutUint64(pair[:8], s.homeHash)
	binary.LittleEndian.PutUint64(pair[8:], l.idHash)
	return float64(homeBonus) * float64(xxhash.Sum64(pair[:])>>11) / (1 << 53)
}
