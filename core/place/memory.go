package place

import (
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

const (
	// blockTokens is the unit in which engines allocate memory.
	blockTokens = 16
	// overflowCost is the cost of a request that exceeds an endpoint's memory in full:
	// a preempted request comes too late by at least as much as callers wait.
	overflowCost = leastPatience
	// lengthWeight is the weight of a new observation of the error of length hints,
	// which vary widely; sizeWeight is that of durations and sizes.
	lengthWeight = 0.01
	sizeWeight   = 0.05
	// minLengthRatio and maxLengthRatio bound the observed error of one length hint.
	minLengthRatio = 0.1
	maxLengthRatio = 10
	// usualDuration is how long an attempt is taken to hold memory before one was
	// observed.
	usualDuration = time.Second
	// maxTokens bounds the numbers that callers state, so that sums do not overflow.
	maxTokens = 1 << 30
	// maxPeerHolds bounds the attempts of peers that are kept for one endpoint.
	maxPeerHolds = 256
)

// Size holds the sizes that a request states. The zero value means that it states none.
type Size struct {
	// PromptTokens is the length of the prompt and MaxOutput the greatest length of the
	// output.
	PromptTokens, MaxOutput int64
	// LengthHint estimates the length of the output; 0 if there is none.
	LengthHint float64
}

// isKnown reports whether the request states its size.
func (s *Size) isKnown() bool { return s.PromptTokens > 0 }

// outputs is what the router has observed of the outputs of a service.
type outputs struct {
	// lengthRatio is the mean ratio of an output to its length hint, share that to its
	// greatest length.
	lengthRatio, share float64
	// tokens is the mean output, duration how long attempts take.
	tokens   float64
	duration time.Duration
}

func newOutputs() outputs { return outputs{lengthRatio: 1, share: 1, duration: usualDuration} }

// expect returns the output to expect of a request.
func (o *outputs) expect(s *Size) int64 {
	most := boundTokens(s.MaxOutput)
	if s.LengthHint > 0 {
		return min(int64(min(s.LengthHint*o.lengthRatio, maxTokens))+1, most)
	}
	return int64(float64(most) * o.share)
}

// observe records a complete output.
func (o *outputs) observe(s *Size, tokens int64) {
	o.tokens += sizeWeight * (float64(tokens) - o.tokens)
	if s.LengthHint > 0 {
		ratio := min(max(float64(tokens)/s.LengthHint, minLengthRatio), maxLengthRatio)
		o.lengthRatio += lengthWeight * (ratio - o.lengthRatio)
	}
	if s.MaxOutput > 0 {
		o.share += lengthWeight * (min(1, float64(tokens)/float64(s.MaxOutput)) - o.share)
	}
}

func (o *outputs) observeDuration(d time.Duration) {
	o.duration += time.Duration(sizeWeight * float64(d-o.duration))
}

// memory is the ledger of the memory that requests in flight take on one endpoint. Parts
// that no request uses are not counted, as the endpoint evicts them when it needs room.
type memory struct {
	// used is the number of tokens in use, peers included.
	used   int64
	shared map[PartKey]sharedUse
	peers  []peerHold
	// nextExpiry is when the first of peers ends, or 0.
	nextExpiry proto.Instant
}

// sharedUse is a shared part that requests in flight use; it is counted once.
type sharedUse struct {
	tokens int64
	users  int
}

// hold is the memory of one attempt.
type hold struct {
	own   int64
	parts []Cached
}

// peerHold is the memory of a peer's attempt, which is taken to end at a time.
type peerHold struct {
	hold
	until proto.Instant
}

func newMemory() memory { return memory{shared: map[PartKey]sharedUse{}} }

func boundTokens(tokens int64) int64 { return min(max(0, tokens), maxTokens) }

// ownPrompt returns the memory that a prompt takes apart from its shared parts.
func (s *Size) ownPrompt(shared int64) int64 {
	return wholeBlocks(boundTokens(boundTokens(s.PromptTokens) - boundTokens(shared)))
}

// wholeBlocks rounds a number of tokens up to blocks.
func wholeBlocks(tokens int64) int64 { return (tokens + blockTokens - 1) / blockTokens * blockTokens }

func (m *memory) take(h hold) {
	m.used += h.own
	for _, part := range h.parts {
		use := m.shared[part.Key]
		if use.users == 0 {
			use.tokens = wholeBlocks(boundTokens(part.Tokens))
			m.used += use.tokens
		}
		use.users++
		m.shared[part.Key] = use
	}
}

func (m *memory) release(h hold) {
	m.used -= h.own
	for _, part := range h.parts {
		use := m.shared[part.Key]
		if use.users--; use.users > 0 {
			m.shared[part.Key] = use
			continue
		}
		m.used -= use.tokens
		delete(m.shared, part.Key)
	}
}

// takePeer records a peer's attempt until a time.
func (m *memory) takePeer(h hold, until proto.Instant) {
	if len(m.peers) >= maxPeerHolds {
		return
	}
	m.take(h)
	m.peers = append(m.peers, peerHold{hold: h, until: until})
	if m.nextExpiry == 0 || until < m.nextExpiry {
		m.nextExpiry = until
	}
}

// expire releases the attempts of peers that have ended.
func (m *memory) expire(now proto.Instant) {
	if m.nextExpiry == 0 || now < m.nextExpiry {
		return
	}
	kept := m.peers[:0]
	m.nextExpiry = 0
	for _, h := range m.peers {
		if h.until <= now {
			m.release(h.hold)
			continue
		}
		kept = append(kept, h)
		if m.nextExpiry == 0 || h.until < m.nextExpiry {
			m.nextExpiry = h.until
		}
	}
	clear(m.peers[len(kept):])
	m.peers = kept
}

// missing returns by how many tokens a request exceeds the room that is left: its own
// tokens and the shared parts that no other request uses.
func (m *memory) missing(capacity, own, sharedTokens int64, shared []PartKey) int64 {
	missing := m.used + own + sharedTokens - capacity
	if missing <= 0 {
		return 0
	}
	for _, key := range shared {
		missing -= m.shared[key].tokens
	}
	return max(0, missing)
}

// ownTokensOf returns the memory that a request needs apart from shared parts.
func (s *scorer) ownTokensOf(c *Choice) int64 {
	return s.q.Size.ownPrompt(c.SharedTokens) + wholeBlocks(s.output)
}

// cannotFit reports whether a prompt exceeds the whole memory of an endpoint, which
// rejects it however long it waits. Endpoints that do not report their slowdown may
// take it.
func (s *scorer) cannotFit(l *load) bool {
	return s.q.Size.isKnown() && l.pace.Active() && l.parts.capacity > 0 && s.q.Size.ownPrompt(0) > l.parts.capacity
}

// memoryCost returns the cost of a request that exceeds the memory of an endpoint, and
// sets the expected time until it fits.
func (s *scorer) memoryCost(c *Choice, l *load) time.Duration {
	if !s.q.Size.isKnown() || l.parts.capacity <= 0 || len(s.q.Parts) == 0 {
		return 0
	}
	l.memory.expire(s.now)
	own := s.ownTokensOf(c)
	missing := l.memory.missing(l.parts.capacity, own, boundTokens(c.SharedTokens), c.keys[:len(s.shared)])
	if missing == 0 {
		return 0
	}
	c.MemoryWait = scale(s.service.outputs.duration, min(1, float64(missing)/float64(max(1, l.memory.used))))
	return c.MemoryWait + scale(overflowCost, min(1, float64(missing)/float64(max(1, own+boundTokens(c.SharedTokens)))))
}

// takeMemory records the memory of an attempt; mu must be held.
func (a *Attempt) takeMemory(s *pacedService, q *Query) {
	if !q.Size.isKnown() || len(q.Parts) == 0 {
		return
	}
	a.size = q.Size
	// A caller that states too much must not make the endpoint look full beyond its
	// own request.
	a.hold.own = min(q.Size.ownPrompt(a.choice.SharedTokens)+wholeBlocks(s.outputs.expect(&q.Size)), max(0, a.load.parts.capacity))
	for i, part := range q.Parts[:len(q.Parts)-1] {
		a.hold.parts = append(a.hold.parts, Cached{Key: a.choice.keys[i], Tokens: part.Tokens})
	}
	a.load.memory.take(a.hold)
}

// releaseMemory records that the attempt no longer holds memory; mu must be held.
func (a *Attempt) releaseMemory() {
	a.load.memory.release(a.hold)
	a.hold = hold{}
}

// ObserveOutput records the length in tokens of a complete output of an attempt.
func (p *Placer) ObserveOutput(now proto.Instant, a *Attempt, tokens int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if a.load == nil || !a.size.isKnown() {
		return
	}
	o := &p.pacedServiceOf(a.choice.Endpoint.Service).outputs
	o.observe(&a.size, int64(tokens))
	o.observeDuration(now.Sub(a.sentAt))
}

// takePeerMemory records the memory of a peer's attempt, of which the output is not
// known; mu must be held.
func (p *Placer) takePeerMemory(now proto.Instant, l *load, t *AttemptNotice) {
	e := p.list.ByID[t.Endpoint]
	if e == nil || l.parts.capacity <= 0 {
		return
	}
	o := &p.pacedServiceOf(e.Service).outputs
	var sharedTokens int64
	for _, part := range t.Cached {
		sharedTokens += boundTokens(part.Tokens)
	}
	// What is prefilled may include some of the shared parts.
	own := wholeBlocks(boundTokens(t.PrefillTokens-sharedTokens)) + wholeBlocks(int64(o.tokens))
	until := now.Add(time.Duration(t.ReadyInMillis)*time.Millisecond + o.duration)
	l.memory.takePeer(hold{own: own, parts: t.Cached}, until)
}
