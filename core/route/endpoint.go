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
	// reportLag is how long own work may be missing from a report.
	reportLag = 100 * time.Millisecond
	// downLife is how long a report that the engine is down keeps work away;
	// later the endpoint is tried again when nothing better is there.
	downLife = 2 * time.Second
	// versionLife is how long a report of another version keeps work away. A
	// load takes about half a second.
	versionLife = time.Second
)

// endpoint is the configuration of one endpoint in a snapshot; it is
// immutable. live persists over snapshots.
type endpoint struct {
	*live
	domain  proto.Domain
	health  *domainHealth
	leaving bool
}

// domainHealth is shared by the endpoints of one failure domain.
type domainHealth struct {
	// doubtUntil is set while a large part of the domain does not answer.
	doubtUntil atomic.Int64
}

// live is what a router knows of an endpoint at the moment. Decisions read
// the atomics; mu orders the writers.
type live struct {
	id  proto.EndpointID
	num uint16

	report   atomic.Pointer[observed]
	tag      atomic.Uint32
	standing atomic.Uint32
	// standingUntil is when standing lapses to Good.
	standingUntil atomic.Int64
	// busyUntil is when the prompt work known so far would be done.
	busyUntil atomic.Int64
	// inFlight is the number of own attempts.
	inFlight atomic.Int64

	mu       sync.Mutex
	evidence member.Evidence
	// recent and before are the cost of own dispatches in the current and
	// the previous reportLag, since recentAt.
	recent, before time.Duration
	recentAt       proto.Instant
}

// observed is a report with its time of receipt; it is immutable.
type observed struct {
	at       proto.Instant
	waiting  int
	down     bool
	versions map[string]string
}

func newLive(id proto.EndpointID, num uint16) *live {
	l := &live{id: id, num: num}
	l.tag.Store(tagOf(id, ""))
	return l
}

// tagOf identifies an incarnation in the recall table; it is never 0.
func tagOf(id proto.EndpointID, life proto.Incarnation) uint32 {
	return uint32(mix(xxhash.Sum64String(string(id))^xxhash.Sum64String(string(life)))) | 1
}

// dispatched adds own work of the given cost.
func (l *live) dispatched(now proto.Instant, cost time.Duration) {
	l.inFlight.Add(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rollRecent(now)
	l.recent += cost
	busy := max(proto.Instant(l.busyUntil.Load()), now)
	l.busyUntil.Store(int64(busy.Add(cost)))
}

// rollRecent drops own dispatches that every later report includes.
func (l *live) rollRecent(now proto.Instant) {
	age := now.Sub(l.recentAt)
	if age < reportLag {
		return
	}
	l.before = l.recent
	if age >= 2*reportLag {
		l.before = 0
	}
	l.recent, l.recentAt = 0, now
}

// observe takes in a report and returns false if it came from a past life.
func (l *live) observe(now proto.Instant, r proto.Report, prefill time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.evidence.ObserveContact(now, r.Incarnation, r.Leaving) {
		return false
	}
	l.tag.Store(tagOf(l.id, l.evidence.Incarnation()))
	l.rollRecent(now)
	queue := time.Duration(r.QueuedTokens) * prefill
	l.busyUntil.Store(int64(now.Add(queue + l.recent + l.before)))
	l.report.Store(&observed{at: now, waiting: r.Queued + r.Running, down: r.Down, versions: r.Versions})
	l.judge(now)
	return true
}

// failed takes in a failure on a path and returns the new standing.
func (l *live) failed(now proto.Instant, path member.Path) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.evidence.ObserveFailure(now, path)
	l.judge(now)
}

func (l *live) listed(now proto.Instant, isLive bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.evidence.ObserveHostList(now, isLive)
	l.judge(now)
}

// judge publishes the standing; mu is held.
func (l *live) judge(now proto.Instant) {
	l.standingUntil.Store(int64(l.evidence.Expiry()))
	l.standing.Store(uint32(l.evidence.Health(now)))
}

// standingAt returns the standing that decisions go by.
func (l *live) standingAt(now proto.Instant) member.Health {
	standing := member.Health(l.standing.Load())
	if now >= proto.Instant(l.standingUntil.Load()) {
		standing = lapsed(standing)
	}
	report := l.report.Load()
	if report == nil || !report.down {
		return standing
	}
	if now.Sub(report.at) < downLife {
		return max(standing, member.Unhealthy)
	}
	return max(standing, member.Doubtful)
}

// lapsed returns what a standing turns into once its evidence is old. An
// endpoint that was leaving is used last, since it may still be.
func lapsed(s member.Health) member.Health {
	if s == member.Leaving {
		return member.Doubtful
	}
	return member.Healthy
}

// knownAt reports whether the load was reported within maxAge.
func (l *live) knownAt(now proto.Instant, maxAge time.Duration) bool {
	report := l.report.Load()
	return report != nil && now.Sub(report.at) < maxAge
}

// queueAt returns the time until the known prompt work is done.
func (l *live) queueAt(now proto.Instant) time.Duration {
	return max(0, proto.Instant(l.busyUntil.Load()).Sub(now))
}

// serves reports whether the endpoint may hold the version. One that has not
// reported its versions lately may: it can have loaded the version since, and
// would never tell a router that gives it no work.
func (l *live) serves(now proto.Instant, model, version string) bool {
	report := l.report.Load()
	if report == nil || report.versions == nil || version == "" || now.Sub(report.at) >= versionLife {
		return true
	}
	return report.versions[model] == version
}
