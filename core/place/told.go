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

// Held is a part of a prompt that an engine holds.
type Held struct {
	Key    PartKey `json:"key"`
	Tokens int64   `json:"tokens"`
}

// Transfer is a transfer of cache entries that an attempt causes.
type Transfer struct {
	// From is the engine that sends, or empty for the store at address Store.
	From  proto.EndpointID `json:"from,omitempty"`
	Store string           `json:"store,omitempty"`
	To    proto.EndpointID `json:"to,omitempty"`
	// ForMillis is the time that it takes.
	ForMillis int64 `json:"for_ms,omitempty"`
}

// Told is what one router tells another of an attempt.
type Told struct {
	Endpoint proto.EndpointID `json:"endpoint"`
	// Started is the life of the endpoint.
	Started int64 `json:"started"`
	// Held lists the shared parts that the endpoint will hold and did not.
	Held []Held `json:"held,omitempty"`
	// InMillis is when the endpoint will have read them.
	InMillis int64 `json:"in_ms"`
	// Reading is the number of prompt tokens that the endpoint has to read.
	Reading  int64    `json:"reading,omitempty"`
	Transfer Transfer `json:"transfer,omitzero"`
	// First is set if no endpoint was known to hold the parts.
	First bool `json:"first,omitempty"`
}

// Seen is an endpoint that has answered lately.
type Seen struct {
	Endpoint proto.EndpointID `json:"endpoint"`
	// LagMillis is by how much its first bytes come later than expected.
	LagMillis int64 `json:"lag_ms,omitempty"`
}

// TellSeen returns the endpoints that have answered since the last call.
func (p *Placer) TellSeen(now proto.Instant) []Seen {
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

// TakeInSeen records that an endpoint has answered a peer.
func (p *Placer) TakeInSeen(now proto.Instant, s Seen) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l := p.loads[s.Endpoint]; l != nil {
		l.answer.refresh(now.Add(-tellingTime))
		l.mixLag(now, time.Duration(s.LagMillis)*time.Millisecond)
	}
}

// Tell returns what is to be told of the attempts begun since the last call.
func (p *Placer) Tell() []Told {
	p.mu.Lock()
	defer p.mu.Unlock()
	told := p.told
	p.told = nil
	return told
}

// Urgent reports whether the peers should know of an attempt at once, lest they
// send their next prompts to the same engine or read the same parts elsewhere.
func (c *Choice) Urgent() bool { return c.Again > 0 || c.Reading >= urgentReading }

// TakeIn records what a peer tells of an attempt.
func (p *Placer) TakeIn(now proto.Instant, t Told) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.loads[t.Endpoint]
	if l == nil || l.life != t.Started {
		return
	}
	ready := now.Add(time.Duration(t.InMillis) * time.Millisecond)
	for _, h := range t.Held {
		l.parts.use(expectedPart(h.Key, h.Tokens, ready))
	}
	l.peersReadUntil = max(now, l.peersReadUntil).Add(time.Duration(t.Reading) * p.cfg.Costs.TokenRead)
	p.occupy(now, t.Transfer)
}

// expect records what an attempt does to an endpoint, and keeps it for the
// peers; mu is held.
func (p *Placer) expect(now proto.Instant, l *load, q *Query, c Choice) {
	ready := now.Add(c.Expected)
	t := Told{
		Endpoint: c.Endpoint.ID, Started: c.Endpoint.Started,
		InMillis: c.Expected.Milliseconds(), Reading: c.Reading, Transfer: c.movement(),
		First: c.Again >= minStored,
	}
	for i, part := range q.Parts {
		_, known := l.parts.held(now, c.keys[i])
		l.parts.use(expectedPart(c.keys[i], part.Tokens, ready))
		if isShared := i < len(q.Parts)-1; isShared && !known {
			t.Held = append(t.Held, Held{Key: c.keys[i], Tokens: part.Tokens})
		}
	}
	p.occupy(now, t.Transfer)
	if c.Reading+c.Moved >= minTold && len(p.told) < maxTold {
		p.told = append(p.told, t)
	}
}

// movement returns the transfer that an attempt causes.
func (c *Choice) movement() Transfer {
	if c.Moved == 0 {
		return Transfer{}
	}
	t := Transfer{From: c.SourceEngine, To: c.Endpoint.ID, ForMillis: c.transfer.Milliseconds()}
	if c.SourceEngine == "" {
		t.Store = c.Source
	}
	return t
}
