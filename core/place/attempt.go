package place

import (
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// Attempt names one attempt between Began and Finished.
type Attempt struct {
	id     uint64
	choice Choice
	// load is that of the endpoint's life which the attempt was sent to, or nil
	// if that life was over before.
	load    *load
	sentAt  proto.Instant
	reading int64
	first   bool
}

// StartAttempt records that an attempt was sent to the endpoint of a choice.
func (p *Placer) StartAttempt(now proto.Instant, q *Query, c Choice) *Attempt {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.attempts++
	a := &Attempt{id: p.attempts, choice: c, sentAt: now, reading: c.PrefillTokens}
	l := p.loads[c.Endpoint.ID]
	if l == nil || l.life != c.Endpoint.Started {
		return a
	}
	a.load = l
	l.inFlight++
	l.reading += a.reading
	l.unanswered[a.id] = newPending(now, c.ExpectedTTFB)
	if q.Model != "" && len(q.Parts) > 0 {
		p.expect(now, l, q, c)
	}
	return a
}

// RecordFirstByte records that an attempt got the first part of its answer.
func (p *Placer) RecordFirstByte(now proto.Instant, a *Attempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l := a.load; l != nil {
		l.answer.record(now)
		l.mixLag(now, now.Sub(a.sentAt)-(a.choice.ExpectedTTFB-a.choice.Lag))
		a.gotFirst(l)
	}
}

// PartEvent is one change of what an engine holds.
type PartEvent struct {
	Added  bool
	Key    PartKey
	Tokens int64
}

// Events takes in changes that an engine has told of what it holds. Restarted
// is set if it has started again, or lost everything, before them.
func (p *Placer) Events(now proto.Instant, id proto.EndpointID, started int64, restarted bool, events []PartEvent) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.loads[id]
	if l == nil || l.life != started {
		return
	}
	if restarted {
		l.parts.clear()
	}
	for _, e := range events {
		if e.Added {
			l.parts.use(heldPart{key: e.Key, tokens: e.Tokens, readyAt: now, confirmed: true})
		} else {
			l.parts.remove(e.Key)
		}
	}
}

// RecordProgress records that the attempt got a further part of its answer. It takes
// no lock, as it is called for each event of each stream.
func (a *Attempt) RecordProgress(now proto.Instant) {
	if a.load != nil {
		a.load.answer.record(now)
	}
}

// InFlight returns the number of this router's attempts at an endpoint and of
// those that its last report tells of others.
func (p *Placer) InFlight(now proto.Instant, id proto.EndpointID) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.loads[id]
	if l == nil {
		return 0
	}
	return l.inFlight + l.othersAt(now)
}

// EndpointLoad is the load that an endpoint told with an answer.
type EndpointLoad struct {
	Running, Waiting, Slots int
}

// ObserveLoad takes in a reported load.
func (p *Placer) ObserveLoad(now proto.Instant, a *Attempt, r EndpointLoad) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := a.load
	if l == nil {
		return
	}
	l.others = max(0, r.Running+r.Waiting-l.inFlight)
	l.reportedAt = now
	if r.Slots > 0 {
		l.slots = r.Slots
	}
}

// EndAttempt records the end of an attempt. Healthy is false for failures that
// speak against the endpoint.
func (p *Placer) EndAttempt(now proto.Instant, a *Attempt, healthy bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := a.load
	if l == nil {
		return
	}
	answered := a.first
	a.gotFirst(l)
	l.inFlight = max(0, l.inFlight-1)
	if healthy {
		l.answer.refresh(now)
		l.failures = 0
		if answered {
			l.mismatches = 0
		}
		return
	}
	l.failed(now)
}

// Pause keeps work from an endpoint for a time, as after a refusal.
func (p *Placer) Pause(now proto.Instant, id proto.EndpointID, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l := p.loads[id]; l != nil {
		l.pausedUntil = max(l.pausedUntil, now.Add(d))
	}
}
