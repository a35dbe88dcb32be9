package route

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/kumquatsill/kumquatsill/core/member"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

const (
	// maxReportLag is how long after its dispatch an attempt of this router may be
	// missing from the endpoint's reports.
	maxReportLag = 100 * time.Millisecond
	// downTTL is how long an endpoint gets no work after a report that its engine
	// is down. Later it counts as doubtful and is tried if no better one is
	// available.
	downTTL = 2 * time.Second
	// versionTTL is how long an endpoint gets no work for a version after a report
	// of another one. Loading a version takes about half a second.
	versionTTL = time.Second
)

// endpoint is the configuration of one endpoint in a snapshot. It is immutable,
// except for the embedded state, which persists across snapshots.
type endpoint struct {
	*liveState
	domain       proto.Domain
	domainHealth *domainState
	leaving      bool
}

// domainState is shared by the endpoints of one failure domain.
type domainState struct {
	// doubtfulUntil is the proto.Instant until which the domain is doubtful because
	// a large part of it did not respond.
	doubtfulUntil atomic.Int64
}

// liveState is a router's current knowledge of an endpoint. Decisions read the
// atomics without mu, which serializes the writers.
type liveState struct {
	id proto.EndpointID
	// number identifies the endpoint in the cache table.
	number uint16

	report atomic.Pointer[receivedReport]
	// tag identifies the endpoint's current incarnation in the cache table.
	tag atomic.Uint32
	// health is a member.Health, which holds until healthExpiry.
	health atomic.Uint32
	// healthExpiry is the proto.Instant at which the evidence for health expires.
	healthExpiry atomic.Int64
	// busyUntil is the proto.Instant at which all known prefill work will be done.
	busyUntil atomic.Int64
	// inFlight is the number of this router's attempts in flight.
	inFlight atomic.Int64

	mu       sync.Mutex
	evidence member.Evidence
	// recentCost and previousCost are the prefill times of this router's dispatches
	// in the current and the previous window of maxReportLag. The current window
	// began at recentSince.
	recentCost, previousCost time.Duration
	recentSince              proto.Instant
}

// receivedReport holds the load from a report and its time of receipt. It is
// immutable.
type receivedReport struct {
	at proto.Instant
	// pending is the number of queued and running requests.
	pending  int
	down     bool
	versions map[string]string
}

func newLiveState(id proto.EndpointID, number uint16) *liveState {
	s := &liveState{id: id, number: number}
	s.tag.Store(incarnationTag(id, ""))
	return s
}

// incarnationTag identifies an endpoint's incarnation in the cache table. It is
// never 0.
func incarnationTag(id proto.EndpointID, incarnation proto.Incarnation) uint32 {
	return uint32(mix(xxhash.Sum64String(string(id))^xxhash.Sum64String(string(incarnation)))) | 1
}

// addWork adds an attempt of this router with the given prefill time.
func (s *liveState) addWork(now proto.Instant, prefillTime time.Duration) {
	s.inFlight.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotateRecent(now)
	s.recentCost += prefillTime
	busy := max(proto.Instant(s.busyUntil.Load()), now)
	s.busyUntil.Store(int64(busy.Add(prefillTime)))
}

// rotateRecent starts a new window after maxReportLag. It drops the dispatches that
// every later report includes.
func (s *liveState) rotateRecent(now proto.Instant) {
	age := now.Sub(s.recentSince)
	if age < maxReportLag {
		return
	}
	s.previousCost = s.recentCost
	if age >= 2*maxReportLag {
		s.previousCost = 0
	}
	s.recentCost, s.recentSince = 0, now
}

// observe applies a report. It returns false, without effect, if the report came from
// an earlier incarnation.
func (s *liveState) observe(now proto.Instant, r proto.Report, perToken time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.evidence.ObserveContact(now, r.Incarnation, r.Leaving) {
		return false
	}
	s.tag.Store(incarnationTag(s.id, s.evidence.Incarnation()))
	s.rotateRecent(now)
	queue := time.Duration(r.QueuedTokens) * perToken
	s.busyUntil.Store(int64(now.Add(queue + s.recentCost + s.previousCost)))
	s.report.Store(&receivedReport{at: now, pending: r.Queued + r.Running, down: r.Down, versions: r.Versions})
	s.updateHealth(now)
	return true
}

// observeFailure records a failure on a path.
func (s *liveState) observeFailure(now proto.Instant, path member.Path) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evidence.ObserveFailure(now, path)
	s.updateHealth(now)
}

// observeHostList records whether the host list has the endpoint's host as live.
func (s *liveState) observeHostList(now proto.Instant, isLive bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evidence.ObserveHostList(now, isLive)
	s.updateHealth(now)
}

// updateHealth publishes the health for concurrent readers. The caller holds mu.
func (s *liveState) updateHealth(now proto.Instant) {
	s.healthExpiry.Store(int64(s.evidence.Expiry()))
	s.health.Store(uint32(s.evidence.Health(now)))
}

// healthAt returns the endpoint's health for placement, which takes into account
// that the engine may be down.
func (s *liveState) healthAt(now proto.Instant) member.Health {
	health := member.Health(s.health.Load())
	if now >= proto.Instant(s.healthExpiry.Load()) {
		health = healthAfterExpiry(health)
	}
	report := s.report.Load()
	if report == nil || !report.down {
		return health
	}
	if now.Sub(report.at) < downTTL {
		return max(health, member.Unhealthy)
	}
	return max(health, member.Doubtful)
}

// healthAfterExpiry returns the health that replaces an expired one. An
// endpoint that was leaving becomes doubtful, because it may still be leaving.
func healthAfterExpiry(expired member.Health) member.Health {
	if expired == member.Leaving {
		return member.Doubtful
	}
	return member.Healthy
}

// hasReport reports whether the endpoint reported its load within maxAge.
func (s *liveState) hasReport(now proto.Instant, maxAge time.Duration) bool {
	report := s.report.Load()
	return report != nil && now.Sub(report.at) < maxAge
}

// queueDelay returns the time until all known prefill work is done.
func (s *liveState) queueDelay(now proto.Instant) time.Duration {
	return max(0, proto.Instant(s.busyUntil.Load()).Sub(now))
}

// mayServe reports whether the endpoint may have loaded a version of a model. It may
// if it has not reported its versions recently: it can have loaded the version since
// then, and a router that gives it no work would receive no report of that.
func (s *liveState) mayServe(now proto.Instant, model, version string) bool {
	report := s.report.Load()
	if report == nil || report.versions == nil || version == "" || now.Sub(report.at) >= versionTTL {
		return true
	}
	return report.versions[model] == version
}
