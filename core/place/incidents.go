package place

import (
	"cmp"
	"slices"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// IncidentKind is what a router has learned about an endpoint from an attempt that did not
// run.
type IncidentKind uint8

const (
	// Replaced means that another endpoint has answered at the endpoint's address.
	Replaced IncidentKind = iota + 1
	// Unreachable means that the endpoint accepts no connection.
	Unreachable
	// Full means that the endpoint has refused a request because it was too busy.
	Full
	numIncidentKinds
)

var incidentNames = [numIncidentKinds]string{Replaced: "replaced", Unreachable: "unreachable", Full: "full"}

// String returns the name used in logs and metrics.
func (k IncidentKind) String() string {
	if k >= numIncidentKinds {
		return "unknown"
	}
	return incidentNames[k]
}

// incidentTimes is how long after an incident other endpoints are preferred: for Replaced the
// time until the registry shows the new one, for Full about the time until a request of the
// endpoint ends.
var incidentTimes = [numIncidentKinds]time.Duration{
	Replaced: 1500 * time.Millisecond, Unreachable: 500 * time.Millisecond, Full: 80 * time.Millisecond,
}

const (
	// incidentSends is the number of messages that report an incident, as one may be lost.
	incidentSends = 2
	// maxIncidentsPerSecond and maxIncidentBurst bound the notices that a router sends to each
	// peer, and incidentsPerSecond those to all peers together. A notice has about 50 bytes;
	// routers spend at most 3 KB/s on all control. When all endpoints are full for long, the
	// peers see it themselves.
	maxIncidentsPerSecond = 4
	incidentsPerSecond    = 20
	maxIncidentBurst      = 64
	minIncidentBurst      = 16
)

// IncidentNotice tells the peers of an incident. It holds for one incarnation of an endpoint.
type IncidentNotice struct {
	Endpoint proto.EndpointID `json:"e"`
	// Started identifies the incarnation of the endpoint.
	Started int64        `json:"s"`
	Kind    IncidentKind `json:"k"`
	// AgeMillis is the time since the incident, in milliseconds.
	AgeMillis int64 `json:"a,omitempty"`
	// InFlight is the number of requests in flight at a full endpoint; 0 if unknown.
	InFlight int `json:"n,omitempty"`
}

// incident is an incident that waits to be reported.
type incident struct {
	notice IncidentNotice
	at     proto.Instant
	sends  int
}

// incidentLog holds the incidents to report. Its zero value is empty.
type incidentLog struct {
	waiting []incident
	// allowed is the number of notices that may be sent, as of refilledAt.
	allowed    float64
	refilledAt proto.Instant
}

// RecordIncident records what an attempt to a choice has shown. It reports whether that is
// news, so that the peers are to be told.
func (p *Placer) RecordIncident(now proto.Instant, c Choice, kind IncidentKind) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.loads[c.Endpoint.ID]
	if l == nil || l.incarnation != c.Endpoint.Started {
		return false
	}
	isNews := !l.inIncident(now, kind)
	l.avoid(now.Add(incidentTimes[kind]), kind)
	if !isNews || len(p.incidents.waiting) >= maxIncidentBurst {
		return false
	}
	n := IncidentNotice{Endpoint: c.Endpoint.ID, Started: c.Endpoint.Started, Kind: kind}
	if kind == Full {
		n.InFlight = l.inFlight + l.otherInFlightAt(now)
	}
	p.incidents.waiting = append(p.incidents.waiting, incident{notice: n, at: now})
	return true
}

// TakeIncidents returns the incidents to report in the next message, the most lasting ones
// first, and whether some are to be repeated in a further message. The message goes to a number
// of receivers.
func (p *Placer) TakeIncidents(now proto.Instant, receivers int) (notices []IncidentNotice, more bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	log := &p.incidents
	if len(log.waiting) == 0 {
		return nil, false
	}
	log.waiting = slices.DeleteFunc(log.waiting, func(i incident) bool {
		return i.sends >= incidentSends || now.Sub(i.at) >= incidentTimes[i.notice.Kind]
	})
	log.refill(now, receivers)
	slices.SortStableFunc(log.waiting, func(a, b incident) int { return cmp.Compare(a.notice.Kind, b.notice.Kind) })
	for k := range log.waiting {
		if log.allowed < 1 {
			return notices, false // what is left is reported with the next incident, if it still holds
		}
		i := &log.waiting[k]
		i.sends++
		log.allowed--
		i.notice.AgeMillis = now.Sub(i.at).Milliseconds()
		notices = append(notices, i.notice)
		more = more || i.sends < incidentSends
	}
	return notices, more
}

// refill adds to the notices that may be sent.
func (g *incidentLog) refill(now proto.Instant, receivers int) {
	rate := min(maxIncidentsPerSecond, incidentsPerSecond/float64(max(1, receivers)))
	burst := max(minIncidentBurst, maxIncidentBurst*rate/maxIncidentsPerSecond)
	if g.refilledAt == 0 {
		g.allowed, g.refilledAt = burst, now
	}
	g.allowed = min(burst, g.allowed+rate*now.Sub(g.refilledAt).Seconds())
	g.refilledAt = max(g.refilledAt, now)
}

// HandleIncident records an incident that a peer reported in a message sent at sentAt. It
// reports whether the endpoint is avoided because of it. An incident before the endpoint's
// last response to this router says nothing: the peer's own link may have failed.
func (p *Placer) HandleIncident(now, sentAt proto.Instant, n IncidentNotice) bool {
	if n.Kind == 0 || n.Kind >= numIncidentKinds || n.AgeMillis < 0 || n.AgeMillis > incidentTimes[n.Kind].Milliseconds() {
		return false
	}
	at := min(now, sentAt).Add(-time.Duration(n.AgeMillis) * time.Millisecond)
	until := at.Add(incidentTimes[n.Kind])
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.loads[n.Endpoint]
	if l == nil || l.incarnation != n.Started || until <= now {
		return false
	}
	if n.Kind != Full && l.response.at() > at {
		return false
	}
	if n.Kind == Full && n.InFlight > 0 && l.reportedAt < at {
		l.otherInFlight, l.reportedAt = max(0, n.InFlight-l.inFlight), at
	}
	isNews := !l.inIncident(now, n.Kind)
	l.avoid(until, n.Kind)
	return isNews
}

// avoidance is why and until when other endpoints are preferred to one.
type avoidance struct {
	until [numIncidentKinds]proto.Instant
}

// inIncident reports whether an endpoint is avoided for an incident of a kind.
func (l *load) inIncident(now proto.Instant, kind IncidentKind) bool {
	return now < l.avoided.until[kind]
}

// avoid makes other endpoints preferred until a time.
func (l *load) avoid(until proto.Instant, kind IncidentKind) {
	l.avoided.until[kind] = max(l.avoided.until[kind], until)
	l.pausedUntil = max(l.pausedUntil, until)
}
