package place

import (
	"time"

	"github.com/kumquatsill/kumquatsill/core/endpointstate"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// Attempt tracks one attempt from StartAttempt to EndAttempt.
type Attempt struct {
	id     uint64
	choice Choice
	// load is the state of the endpoint incarnation that the attempt was sent
	// to, or nil if that incarnation had already ended.
	load          *load
	sentAt        proto.Instant
	prefillTokens int64
	gotFirstByte  bool
}

// StartAttempt records that an attempt was sent to the chosen endpoint.
func (p *Placer) StartAttempt(now proto.Instant, q *Query, c Choice) *Attempt {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.attempts++
	a := &Attempt{id: p.attempts, choice: c, sentAt: now, prefillTokens: c.PrefillTokens}
	l := p.loads[c.Endpoint.ID]
	if l == nil || l.incarnation != c.Endpoint.Started {
		return a
	}
	a.load = l
	if p.cfg.States != nil {
		p.cfg.States.Take(now, endpointstate.EndpointOf(c.Endpoint))
	}
	l.inFlight++
	l.prefillTokens += a.prefillTokens
	l.awaitingFirstByte[a.id] = newPendingAttempt(now, c.ExpectedTTFB)
	if q.Model != "" && len(q.Parts) > 0 {
		p.trackAttempt(now, l, q, c)
	}
	return a
}

// RecordFirstByte records the first byte of the response to an attempt.
func (p *Placer) RecordFirstByte(now proto.Instant, a *Attempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l := a.load; l != nil {
		l.response.record(now)
		later := now.Sub(a.sentAt) - (a.choice.ExpectedTTFB - a.choice.Lag)
		l.updateLag(now, later)
		p.observeDelay(now, a, later)
		a.markFirstByte(l)
	}
}

// PartEvent is one change of the prompt parts in an engine's cache.
type PartEvent struct {
	Added  bool    `json:"add,omitempty"`
	Key    PartKey `json:"key"`
	Tokens int64   `json:"n,omitempty"`
}

// Events applies cache events reported by an engine. The argument restarted is
// set if the engine restarted, or lost its whole cache, before these events.
func (p *Placer) Events(now proto.Instant, id proto.EndpointID, started int64, restarted bool, events []PartEvent) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.loads[id]
	if l == nil || l.incarnation != started {
		return
	}
	if restarted {
		l.parts.clear()
	}
	for _, e := range events {
		if e.Added {
			l.parts.put(heldPart{key: e.Key, tokens: e.Tokens, readyAt: now, confirmed: true})
		} else {
			l.parts.remove(e.Key)
		}
	}
}

// RecordProgress records that more of the response has arrived. It takes no
// lock because it is called for every event of every stream.
func (a *Attempt) RecordProgress(now proto.Instant) {
	if a.load != nil {
		a.load.response.record(now)
	}
}

// InFlight returns the number of requests in flight at an endpoint: this
// router's attempts plus those of other routers by the endpoint's last report.
func (p *Placer) InFlight(now proto.Instant, id proto.EndpointID) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.loads[id]
	if l == nil {
		return 0
	}
	return l.inFlight + l.otherInFlightAt(now)
}

// EndpointLoad is the load that an endpoint reports with a response.
type EndpointLoad struct {
	Running, Waiting, Slots int
}

// ObserveLoad records the load that an endpoint reported for an attempt.
func (p *Placer) ObserveLoad(now proto.Instant, a *Attempt, r EndpointLoad) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := a.load
	if l == nil {
		return
	}
	l.otherInFlight = max(0, r.Running+r.Waiting-l.inFlight)
	l.reportedAt = now
	if r.Slots > 0 {
		l.slots = r.Slots
	}
	p.observeDomainLoad(now, a.choice.Endpoint, r)
}

// EndAttempt records the end of an attempt. The argument healthy is false for
// failures that count against the endpoint.
func (p *Placer) EndAttempt(now proto.Instant, a *Attempt, healthy bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := a.load
	if l == nil {
		return
	}
	responded := a.gotFirstByte
	a.markFirstByte(l)
	l.inFlight = max(0, l.inFlight-1)
	if healthy {
		l.response.refresh(now)
		l.failures = 0
		if responded {
			l.mismatches = 0
		}
		return
	}
	l.recordFailure(now)
}

// Pause makes an endpoint less preferred for a time, for example after it
// refused a request.
func (p *Placer) Pause(now proto.Instant, id proto.EndpointID, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l := p.loads[id]; l != nil {
		l.pausedUntil = max(l.pausedUntil, now.Add(d))
	}
}
