package place

import (
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

const (
	// maxNotices bounds the number of attempts kept to be reported.
	maxNotices = 200
	// minNoticeTokens is the least number of prefilled and fetched tokens for
	// which an attempt is reported; smaller ones hardly affect the peers'
	// choices.
	minNoticeTokens = 400
	// urgentPrefillTokens is the least number of prompt tokens for which an
	// attempt is reported at once: prefilling them takes an engine 50 ms.
	urgentPrefillTokens = 1500
	// noticeDelay is the approximate age of a message from a peer.
	noticeDelay = 200 * time.Millisecond
)

// Cached is a prompt part in an engine's cache.
type Cached struct {
	Key    PartKey `json:"key"`
	Tokens int64   `json:"tokens"`
}

// Transfer is a transfer of cache entries that an attempt causes.
type Transfer struct {
	// From is the sending engine; if it is empty, the store at address Store
	// sends.
	From  proto.EndpointID `json:"from,omitempty"`
	Store string           `json:"store,omitempty"`
	To    proto.EndpointID `json:"to,omitempty"`
	// DurationMillis is how long the transfer takes.
	DurationMillis int64 `json:"for_ms,omitempty"`
}

// AttemptNotice tells the peers of a router about an attempt.
type AttemptNotice struct {
	Endpoint proto.EndpointID `json:"endpoint"`
	// Started identifies the incarnation of the endpoint.
	Started int64 `json:"started"`
	// Cached lists the shared parts that the attempt adds to the endpoint's
	// cache.
	Cached []Cached `json:"held,omitempty"`
	// ReadyInMillis is the time until the endpoint has prefilled them.
	ReadyInMillis int64 `json:"in_ms"`
	// PrefillTokens is the number of prompt tokens that the endpoint prefills.
	PrefillTokens int64    `json:"reading,omitempty"`
	Transfer      Transfer `json:"transfer,omitzero"`
	// FirstPrefill is set if the endpoint has to compute many shared tokens
	// because they could not be fetched from anywhere.
	FirstPrefill bool `json:"first,omitempty"`
}

// Seen tells the peers that an endpoint has responded recently.
type Seen struct {
	Endpoint proto.EndpointID `json:"endpoint"`
	// LagMillis is by how much later than expected its first bytes arrive.
	LagMillis int64 `json:"lag_ms,omitempty"`
}

// TakeSeen returns the endpoints that have responded since the last call.
func (p *Placer) TakeSeen(now proto.Instant) []Seen {
	p.mu.Lock()
	defer p.mu.Unlock()
	var seen []Seen
	for id, l := range p.loads {
		if l.response.takeUnreported() {
			seen = append(seen, Seen{Endpoint: id, LagMillis: l.currentLag(now).Milliseconds()})
		}
	}
	return seen
}

// HandleSeen records that an endpoint has responded to a peer.
func (p *Placer) HandleSeen(now proto.Instant, s Seen) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l := p.loads[s.Endpoint]; l != nil {
		l.response.refresh(now.Add(-noticeDelay))
		l.updateLag(now, time.Duration(s.LagMillis)*time.Millisecond)
	}
}

// TakeAttemptNotices returns the notices of attempts started since the last
// call.
func (p *Placer) TakeAttemptNotices() []AttemptNotice {
	p.mu.Lock()
	defer p.mu.Unlock()
	notices := p.notices
	p.notices = nil
	return notices
}

// Urgent reports whether the peers must learn of the attempt at once, so that
// they do not overload the same engine or recompute the same parts elsewhere.
func (c *Choice) Urgent() bool {
	return c.RecomputedTokens > 0 || c.PrefillTokens >= urgentPrefillTokens
}

// HandleAttemptNotice records the effects of a peer's attempt.
func (p *Placer) HandleAttemptNotice(now proto.Instant, t AttemptNotice) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.loads[t.Endpoint]
	if l == nil || l.incarnation != t.Started {
		return
	}
	ready := now.Add(time.Duration(t.ReadyInMillis) * time.Millisecond)
	for _, h := range t.Cached {
		l.parts.put(expectedPart(h.Key, h.Tokens, ready))
	}
	l.peerPrefillUntil = max(now, l.peerPrefillUntil).Add(time.Duration(t.PrefillTokens) * p.promptToken(l))
	p.reserveLinks(now, t.Transfer)
	p.takePeerMemory(now, l, &t)
}

// trackAttempt records the expected effects of an attempt on its endpoint, and
// keeps a notice for the peers; mu must be held.
func (p *Placer) trackAttempt(now proto.Instant, l *load, q *Query, c Choice) {
	ready := now.Add(c.ExpectedTTFB)
	t := AttemptNotice{
		Endpoint: c.Endpoint.ID, Started: c.Endpoint.Started,
		ReadyInMillis: c.ExpectedTTFB.Milliseconds(), PrefillTokens: c.PrefillTokens, Transfer: c.transferPlan(),
		FirstPrefill: c.RecomputedTokens >= minStoreTokens,
	}
	for i, part := range q.Parts {
		_, known := l.parts.lookup(now, c.keys[i])
		l.parts.put(expectedPart(c.keys[i], part.Tokens, ready))
		if isShared := i < len(q.Parts)-1; isShared && !known {
			t.Cached = append(t.Cached, Cached{Key: c.keys[i], Tokens: part.Tokens})
		}
	}
	p.reserveLinks(now, t.Transfer)
	if c.PrefillTokens+c.FetchedTokens >= minNoticeTokens && len(p.notices) < maxNotices {
		p.notices = append(p.notices, t)
	}
}

// transferPlan returns the transfer that the attempt causes.
func (c *Choice) transferPlan() Transfer {
	if c.FetchedTokens == 0 {
		return Transfer{}
	}
	t := Transfer{From: c.SourceEngine, To: c.Endpoint.ID, DurationMillis: c.transfer.Milliseconds()}
	if c.SourceEngine == "" {
		t.Store = c.Source
	}
	return t
}
