package place

import (
	"sync/atomic"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

const (
	// silenceLimit is the least wait for a first byte from which an endpoint
	// counts as silent if it has answered nothing else meanwhile. silenceFactor
	// is that wait as a multiple of the one expected.
	silenceLimit  = 700 * time.Millisecond
	silenceFactor = 3
	// lagLife is how long an endpoint's delay beyond what was expected counts,
	// lagGain the weight of a new one.
	lagLife = 2 * time.Second
	lagGain = 0.3
	// loadLife is how long a reported load counts.
	loadLife = time.Second
	// firstFailurePause and lastFailurePause bound how long an endpoint is
	// avoided after failures in a row.
	firstFailurePause = 250 * time.Millisecond
	lastFailurePause  = 4 * time.Second
)

// load is what a router knows of one endpoint at the moment.
type load struct {
	life int64
	// idHash is the hash of the endpoint's id.
	idHash   uint64
	version  map[string]int64
	inFlight int
	// reading is the number of prompt tokens sent and not yet answered.
	reading int64
	// unanswered holds the attempts without a first byte.
	unanswered map[uint64]pending
	// peersReadUntil is when the endpoint will have read the prompts that other
	// routers have sent, as far as they have told.
	peersReadUntil proto.Instant
	// linkBusy is when the endpoint's link for cache entries is free.
	linkBusy proto.Instant
	// lag is by how much first bytes came later than expected, as of lagAt.
	lag   time.Duration
	lagAt proto.Instant
	// others is the work of other routers as of reportedAt.
	others     int
	slots      int
	reportedAt proto.Instant
	failures   int
	// avoidUntil follows failures, pausedUntil refusals of work.
	avoidUntil, pausedUntil proto.Instant
	loading                 bool
	loadingTo               proto.Instant
	// mismatches counts how often the version was misjudged since an answer.
	mismatches int
	// heardAt is when the endpoint was last heard through the registry.
	heardAt proto.Instant
	answer  lastAnswer
	// silentUntil is set while a peer calls the endpoint silent.
	silentUntil proto.Instant
	parts       *partCache
}

// lastAnswer is when an endpoint last sent any part of an answer to this router,
// or is known to have sent one to a peer. It is safe for concurrent use.
type lastAnswer struct {
	instant atomic.Int64
	// untold is set until the peers are told of an answer.
	untold atomic.Bool
}

// at returns the time of the last answer.
func (a *lastAnswer) at() proto.Instant { return proto.Instant(a.instant.Load()) }

// record takes in an answer to this router, of which the peers are to be told.
func (a *lastAnswer) record(now proto.Instant) {
	a.refresh(now)
	a.untold.Store(true)
}

// refresh takes in an answer that the peers need not be told of.
func (a *lastAnswer) refresh(now proto.Instant) {
	for old := a.instant.Load(); old < int64(now); old = a.instant.Load() {
		if a.instant.CompareAndSwap(old, int64(now)) {
			return
		}
	}
}

// tell reports whether the peers are to be told of an answer, once.
func (a *lastAnswer) tell() bool { return a.untold.Swap(false) }

// setVersion takes in that an endpoint runs a version. Loading new weights
// drops what the endpoint holds.
func (l *load) setVersion(model string, version int64) {
	if version <= l.version[model] {
		return
	}
	l.version[model] = version
	l.loading = false
	l.parts.clear()
}

func (l *load) othersAt(now proto.Instant) int {
	age := now.Sub(l.reportedAt)
	if l.reportedAt == 0 || age >= loadLife {
		return 0
	}
	return int(float64(l.others) * (1 - float64(age)/float64(loadLife)))
}

// silent reports whether an endpoint has answered nothing since an attempt was
// sent some time ago.
func (l *load) silent(now proto.Instant) bool {
	for _, a := range l.unanswered {
		if now > a.due && l.answer.at() < a.sentAt {
			return true
		}
	}
	return false
}

// pending is an attempt without a first byte, and when one is overdue.
type pending struct{ sentAt, due proto.Instant }

func newPending(now proto.Instant, expected time.Duration) pending {
	return pending{sentAt: now, due: now.Add(max(silenceLimit, silenceFactor*expected))}
}

func (a *Attempt) gotFirst(l *load) {
	if a.first {
		return
	}
	a.first = true
	l.reading = max(0, l.reading-a.reading)
	delete(l.unanswered, a.id)
}

// failed records a failure and how long the endpoint is avoided for it.
func (l *load) failed(now proto.Instant) {
	l.failures++
	pause := firstFailurePause << min(l.failures-1, 4)
	l.avoidUntil = now.Add(min(pause, lastFailurePause))
}

// mixLag takes in by how much one first byte was later than expected without the
// lag.
func (l *load) mixLag(now proto.Instant, lag time.Duration) {
	old := l.lagNow(now)
	l.lag = max(0, old+time.Duration(lagGain*float64(lag-old)))
	l.lagAt = now
}

// lagNow returns the lag that new attempts have to reckon with.
func (l *load) lagNow(now proto.Instant) time.Duration {
	age := now.Sub(l.lagAt)
	if age >= lagLife {
		return 0
	}
	return time.Duration(float64(l.lag) * (1 - float64(age)/float64(lagLife)))
}

// isLoading reports whether the endpoint was ordered to load weights.
func (l *load) isLoading(now proto.Instant) bool { return l.loading && now < l.loadingTo }
