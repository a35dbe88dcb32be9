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
	// limitsGaps is set for streams whose route limits gaps.
	limitsGaps bool
	// measured is set once the first byte is to be measured, ownDelay is for how long the
	// router did not run before the first byte.
	measured bool
	ownDelay time.Duration
	// size is that of the request, hold the memory that the attempt takes.
	size Size
	hold hold
}

// StartAttempt records that an attempt was sent to the chosen endpoint.
func (p *Placer) StartAttempt(now proto.Instant, q *Query, c Choice) *Attempt {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.attempts++
	a := &Attempt{id: p.attempts, choice: c, sentAt: now, prefillTokens: c.PrefillTokens, limitsGaps: q.TargetGap > 0}
	l := p.loads[c.Endpoint.ID]
	if l == nil || l.incarnation != c.Endpoint.Started {
		return a
	}
	a.load = l
	if p.cfg.States != nil {
		p.cfg.States.Take(now, endpointstate.EndpointOf(c.Endpoint))
	}
	l.inFlight++
	l.publishRunning()
	l.prefillTokens += a.prefillTokens
	a.takeMemory(p.pacedServiceOf(q.Service), q)
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
		late := now.Sub(a.sentAt) - (a.choice.ExpectedTTFB - a.choice.Lag)
		late = p.observeTransferLag(now, &a.choice, late)
		l.updateLag(now, late)
		a.observeFirst(now, late)
		p.observeDelay(now, a, late)
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

// Running returns the number of requests that the attempt's endpoint held when
// this router last learned of a change, or 0 if its incarnation has ended. It
// takes no lock.
func (a *Attempt) Running() int {
	if a.load == nil {
		return 0
	}
	return int(a.load.running.Load())
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
	// Slowdown is how long work takes on the endpoint at this moment, as a
	// percentage of the usual time; 0 if it is not reported.
	Slowdown int
}

// ObserveLoad records the load that an endpoint reported for an attempt.
func (p *Placer) ObserveLoad(now proto.Instant, a *Attempt, r EndpointLoad) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if a.load != nil {
		a.load.observeLoad(now, r)
		p.observeDomainLoad(now, a.choice.Endpoint, r)
	}
}

func (l *load) observeLoad(now proto.Instant, r EndpointLoad) {
	l.otherInFlight = max(0, r.Running+r.Waiting-l.inFlight)
	l.pace.ObserveLoad(now, l.otherInFlight, r.Slowdown)
	l.reportedAt, l.waiting = now, r.Waiting
	l.publishRunning()
	if r.Slots > 0 {
		l.slots = r.Slots
	}
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
	l.publishRunning()
	a.releaseMemory()
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
