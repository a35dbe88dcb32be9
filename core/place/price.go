package place

import (
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
	keys   map[int64][]PartKey
	links  links
}

func (s *scope) findLinks() {
	if s.placer.config != nil && s.q.Model != "" {
		s.links = s.placer.linksOf(s.q.Service)
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
	costs := s.placer.cfg.Costs
	weight := time.Duration(0)
	c.Lag = l.lagNow(s.now)
	c.Expected = s.wait(l) + c.Lag
	if s.q.Model != "" {
		c.Version = l.version[s.q.Model]
		c.Salt = s.q.Salt(c.Version)
		took, extra := s.prompt(&c, l)
		c.Expected += took
		weight += extra + s.oldVersion(c.Version)
	}
	if e.Domain != s.placer.cfg.Domain {
		weight += time.Duration(float64(costs.ForeignKilobyte) * float64(s.q.Bytes) / 1024)
	}
	weight += s.doubt(l)
	return c, float64(c.Expected+weight) - s.home(e)
}

// wait returns the time until an endpoint starts on a new request.
func (s *scope) wait(l *load) time.Duration {
	costs := s.placer.cfg.Costs
	running := l.inFlight + l.othersAt(s.now)
	wait := time.Duration(running)*costs.Running + time.Duration(l.reading)*costs.TokenRead
	wait += max(0, l.peersReadUntil.Sub(s.now))
	if l.slots > 0 && running >= l.slots {
		wait += time.Duration(running-l.slots+1) * costs.Queued
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
	limit := s.placer.cfg.HeartbeatLimit
	if limit > 0 && l.heardAt != 0 && s.now.Sub(l.heardAt) > limit {
		cost += unheardCost
	}
	return cost
}

func (s *scope) oldVersion(version int64) time.Duration {
	newest := s.placer.newest(s.q.Model)
	if version >= newest.Version || s.now.Sub(newest.At) < oldVersionGrace {
		return 0
	}
	return s.placer.cfg.Costs.OldVersion
}

// prompt returns the time to get and read the prompt, and the weight of the
// choice beyond that time.
func (s *scope) prompt(c *Choice, l *load) (took, weight time.Duration) {
	parts := s.shared()
	keys := s.keysFor(c.Version)
	held := leading(l, keys, s.now)
	c.Shared = tokensOf(parts)
	c.Held = tokensOf(parts[:held])
	from := s.source(c, l, keys, held)
	own := tokensOf(s.q.Parts) - c.Shared
	c.Moved = tokensOf(parts[held:from.parts])
	c.Again = tokensOf(parts[from.parts:])
	c.Reading = own + c.Again
	costs := s.placer.cfg.Costs
	took = time.Duration(c.Reading) * costs.TokenRead
	weight = time.Duration(c.Again) * costs.ReadAgain
	if c.Moved > 0 {
		took += from.wait + from.took
		weight += costs.MoveSetup + time.Duration(c.Moved)*costs.MoveToken
	}
	if c.Again >= minStored && len(s.links.stores) > 0 {
		// What is read here is kept in the nearest store for the others.
		c.Destination = s.links.stores[0].addr
	}
	return took, weight
}

// origin is where parts can be fetched from.
type origin struct {
	addr string
	// engine is empty for a store.
	engine proto.EndpointID
	// parts is the number of leading parts that the endpoint then has.
	parts int
	// wait is the time until both links are free, took that of the transfer.
	wait, took time.Duration
}

// source picks where the endpoint fetches parts from. It is named even if the
// endpoint is believed to hold everything, as it may have dropped parts
// unnoticed; a source that is not needed costs nothing.
func (s *scope) source(c *Choice, l *load, keys []PartKey, held int) origin {
	best := origin{parts: held}
	consider := func(o origin, tokens int64, linkBusy proto.Instant, took time.Duration) {
		o.wait = max(0, max(linkBusy, l.linkBusy).Sub(s.now))
		o.took = took
		if o.wait+o.took > maxTransferWait && tokens > 0 {
			return
		}
		better := o.parts > best.parts || o.parts == best.parts && (best.addr == "" || o.wait+o.took < best.wait+best.took)
		if o.parts > 0 && better {
			best = o
		}
	}
	for _, e := range s.placer.list.Of(s.q.Service) {
		other := s.placer.loads[e.ID]
		if e.ID == c.Endpoint.ID || other == nil || s.now < other.avoidUntil || other.silent(s.now) || s.now < other.silentUntil || other.isLoading(s.now) {
			continue
		}
		n := ready(other, keys, s.now)
		tokens := s.missing(held, n)
		consider(origin{addr: e.Addr, engine: e.ID, parts: max(n, held)}, tokens, other.linkBusy,
			s.links.engineTime(tokens, e.Domain != c.Endpoint.Domain))
	}
	for i := range s.links.stores {
		store := &s.links.stores[i]
		n := store.index.Leading(c.Salt, s.shared())
		tokens := s.missing(held, n)
		consider(origin{addr: store.addr, parts: max(n, held)}, tokens, store.busy,
			store.time(tokens, store.domain != c.Endpoint.Domain))
	}
	c.Source, c.SourceEngine = best.addr, best.engine
	return best
}

// missing returns the tokens of the parts beyond held up to n.
func (s *scope) missing(held, n int) int64 {
	if n <= held {
		return 0
	}
	return tokensOf(s.shared()[held:n])
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
