package place

import (
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

const (
	// maxTold bounds what is kept to be told, in attempts.
	maxTold = 200
	// minTold is the number of tokens read or moved from which an attempt
	// matters to the peers' choices.
	minTold = 400
	// urgentReading is the number of prompt tokens from which the peers are told
	// of an attempt at once: it takes an engine 50 ms.
	urgentReading = 1500
	// tellingTime is about how old a peer's message is.
	tellingTime = 200 * time.Millisecond
)

// Cached is a part of a prompt that an engine holds.
type Cached struct {
	Key    PartKey `json:"key"`
	Tokens int64   `json:"tokens"`
}

// Transfer is a transfer of cache entries that an attempt causes.
type Transfer struct {
	// From is the engine that sends, or empty for the store at address Store.
	From  proto.EndpointID `json:"from,omitempty"`
	Store string           `json:"store,omitempty"`
	To    proto.EndpointID `json:"to,omitempty"`
	// DurationMillis is the time that it takes.
	DurationMillis int64 `json:"for_ms,omitempty"`
}

// AttemptNotice is what one router tells another of an attempt.
type AttemptNotice struct {
	Endpoint proto.EndpointID `json:"endpoint"`
	// Started is the life of the endpoint.
	Started int64 `json:"started"`
	// Cached lists the shared parts that the endpoint will hold and did not.
	Cached []Cached `json:"held,omitempty"`
	// ReadyInMillis is when the endpoint will have read them.
	ReadyInMillis int64 `json:"in_ms"`
	// PrefillTokens is the number of prompt tokens that the endpoint has to read.
	PrefillTokens int64    `json:"reading,omitempty"`
	Transfer      Transfer `json:"transfer,omitzero"`
	// FirstPrefill is set if no endpoint was known to hold the parts.
	FirstPrefill bool `json:"first,omitempty"`
}

// Seen is an endpoint that has answered lately.
type Seen struct {
	Endpoint proto.EndpointID `json:"endpoint"`
	// LagMillis is by how much its first bytes come later than expected.
	LagMillis int64 `json:"lag_ms,omitempty"`
}

// TakeSeen returns the endpoints that have answered since the last call.
func (p *Placer) TakeSeen(now proto.Instant) []Seen {
	p.mu.Lock()
	defer p.mu.Unlock()
	var seen []Seen
	for id, l := range p.loads {
		if l.answer.tell() {
			seen = append(seen, Seen{Endpoint: id, LagMillis: l.lagNow(now).Milliseconds()})
		}
	}
	return seen
}

// HandleSeen records that an endpoint has answered a peer.
func (p *Placer) HandleSeen(now proto.Instant, s Seen) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l := p.loads[s.Endpoint]; l != nil {
		l.answer.refresh(now.Add(-tellingTime))
		l.mixLag(now, time.Duration(s.LagMillis)*time.Millisecond)
	}
}

// TakeAttemptNotices returns what is to be told of the attempts begun since the last call.
func (p *Placer) TakeAttemptNotices() []AttemptNotice {
	p.mu.Lock()
	defer p.mu.Unlock()
	told := p.told
	p.told = nil
	return told
}

// Urgent reports whether the peers should know of an attempt at once, lest they
// send their next prompts to the same engine or read the same parts elsewhere.
func (c *Choice) Urgent() bool { return c.RecomputedTokens > 0 || c.PrefillTokens >= urgentReading }

// HandleAttemptNotice records what a peer tells of an attempt.
func (p *Placer) HandleAttemptNotice(now proto.Instant, t AttemptNotice) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.loads[t.Endpoint]
	if l == nil || l.life != t.Started {
		return
	}
	ready := now.Add(time.Duration(t.ReadyInMillis) * time.Millisecond)
	for _, h := range t.Cached {
		l.parts.use(expectedPart(h.Key, h.Tokens, ready))
	}
	l.peersReadUntil = max(now, l.peersReadUntil).Add(time.Duration(t.PrefillTokens) * p.cfg.Costs.PrefillToken)
	p.occupy(now, t.Transfer)
}

// expect records what an attempt does to an endpoint, and keeps it for the
// peers; mu is held.
func (p *Placer) expect(now proto.Instant, l *load, q *Query, c Choice) {
	ready := now.Add(c.ExpectedTTFB)
	t := AttemptNotice{
		Endpoint: c.Endpoint.ID, Started: c.Endpoint.Started,
		ReadyInMillis: c.ExpectedTTFB.Milliseconds(), PrefillTokens: c.PrefillTokens, Transfer: c.movement(),
		FirstPrefill: c.RecomputedTokens >= minStored,
	}
	for i, part := range q.Parts {
		_, known := l.parts.held(now, c.keys[i])
		l.parts.use(expectedPart(c.keys[i], part.Tokens, ready))
		if isShared := i < len(q.Parts)-1; isShared && !known {
			t.Cached = append(t.Cached, Cached{Key: c.keys[i], Tokens: part.Tokens})
		}
	}
	p.occupy(now, t.Transfer)
	if c.PrefillTokens+c.FetchedTokens >= minTold && len(p.told) < maxTold {
		p.told = append(p.told, t)
	}
}

// movement returns the transfer that an attempt causes.
func (c *Choice) movement() Transfer {
	if c.FetchedTokens == 0 {
		return Transfer{}
	}
	t := Transfer{From: c.SourceEngine, To: c.Endpoint.ID, DurationMillis: c.transfer.Milliseconds()}
	if c.SourceEngine == "" {
		t.Store = c.Source
	}
	return t
}
