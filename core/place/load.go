package place

import (
	"sync/atomic"
	"time"

	"github.com/kumquatsill/kumquatsill/core/pace"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

const (
	// minSilence and silenceFactor set when an endpoint counts as silent: after
	// a wait for a first byte of at least minSilence and of silenceFactor times
	// the expected time, if it has sent no other response meanwhile.
	minSilence    = 700 * time.Millisecond
	silenceFactor = 3
	// maxLagAge is how long an observed lag counts; it decays linearly.
	// lagSmoothing is the weight of a new observation in the moving average.
	maxLagAge    = 2 * time.Second
	lagSmoothing = 0.3
	// maxReportAge is how long a reported load counts; it decays linearly.
	maxReportAge = time.Second
	// minRenewals is the number of renewals after which an endpoint's heartbeats
	// are expected to go on.
	minRenewals = 2
	// minFailurePause and maxFailurePause bound the exponential backoff from an
	// endpoint after consecutive failures.
	minFailurePause = 250 * time.Millisecond
	maxFailurePause = 4 * time.Second
)

// load is the current state of one endpoint as this router knows it.
type load struct {
	incarnation int64
	// idHash is the hash of the endpoint ID.
	idHash  uint64
	version map[string]int64
	// last is the version looked up last; most endpoints have one model.
	last     modelVersion
	inFlight int
	// prefillTokens is the number of prompt tokens sent in attempts that have no
	// first byte yet.
	prefillTokens int64
	// awaitingFirstByte holds the attempts without a first byte, by ID.
	awaitingFirstByte map[uint64]pendingAttempt
	// peerPrefillUntil is when the endpoint is expected to have prefilled the
	// prompts that peers have reported.
	peerPrefillUntil proto.Instant
	// linkFreeAt is when the endpoint's link for cache entries becomes free.
	linkFreeAt proto.Instant
	// lag is the moving average, as of lagAt, of how much later than expected
	// first bytes arrived.
	lag   time.Duration
	lagAt proto.Instant
	// otherInFlight is the number of requests of other routers as of reportedAt.
	otherInFlight int
	// waiting is the number of requests that waited for a slot as of reportedAt.
	waiting    int
	slots      int
	reportedAt proto.Instant
	failures   int
	// backoffUntil is set after failures, pausedUntil after refused requests.
	backoffUntil, pausedUntil proto.Instant
	avoided                   avoidance
	loading                   bool
	loadingUntil              proto.Instant
	// mismatches counts version mismatches since the last successful response.
	mismatches int
	// registeredAt is the position of the last registration in the registry, lastHeartbeat
	// when it was read, and renewals the number of registrations without a change.
	registeredAt  proto.LogPosition
	lastHeartbeat proto.Instant
	renewals      int
	response      lastResponse
	// running is inFlight plus otherInFlight, for readers without the lock.
	running atomic.Int64
	// silentUntil is set after a peer has reported the endpoint as silent.
	silentUntil proto.Instant
	parts       *partCache
	pace        *pace.Estimator
	memory      memory
}

type modelVersion struct {
	model   string
	version int64
}

// versionOf returns the version of a model that the endpoint runs, or 0.
func (l *load) versionOf(model string) int64 {
	if l.last.model != model {
		l.last = modelVersion{model: model, version: l.version[model]}
	}
	return l.last.version
}

// lastResponse is the time when an endpoint last sent any part of a response to
// this router or, as far as known, to a peer. It is safe for concurrent use.
type lastResponse struct {
	instant atomic.Int64
	// unreported is set until the response has been reported to the peers.
	unreported atomic.Bool
}

// at returns the time of the last response.
func (a *lastResponse) at() proto.Instant { return proto.Instant(a.instant.Load()) }

// record records a response to this router, which the peers are to learn of.
func (a *lastResponse) record(now proto.Instant) {
	a.refresh(now)
	a.unreported.Store(true)
}

// refresh records a response without reporting it to the peers.
func (a *lastResponse) refresh(now proto.Instant) {
	for old := a.instant.Load(); old < int64(now); old = a.instant.Load() {
		if a.instant.CompareAndSwap(old, int64(now)) {
			return
		}
	}
}

// takeUnreported reports whether there is a response to report to the peers,
// and marks it as reported.
func (a *lastResponse) takeUnreported() bool { return a.unreported.Swap(false) }

// setVersion records that an endpoint runs a version. Loading new weights
// empties its cache.
func (l *load) setVersion(model string, version int64) {
	if version <= l.version[model] {
		return
	}
	l.version[model], l.last = version, modelVersion{}
	l.loading = false
	l.parts.clear()
}

// publishRunning sets running after a change.
func (l *load) publishRunning() { l.running.Store(int64(l.inFlight + l.otherInFlight)) }

func (l *load) otherInFlightAt(now proto.Instant) int {
	age := now.Sub(l.reportedAt)
	if l.reportedAt == 0 || age >= maxReportAge {
		return 0
	}
	return int(float64(l.otherInFlight) * (1 - float64(age)/float64(maxReportAge)))
}

// isSilent reports whether an attempt is overdue and the endpoint has sent no
// response since that attempt was sent.
func (l *load) isSilent(now proto.Instant) bool {
	for _, a := range l.awaitingFirstByte {
		if now > a.due && l.response.at() < a.sentAt {
			return true
		}
	}
	return false
}

// responseOverdue reports whether an endpoint that has begun to respond to requests in
// flight has sent no data for maxResponseGap. What has not begun says nothing about the
// time since the last data: the endpoint may have been idle.
func (l *load) responseOverdue(now proto.Instant) bool {
	return l.inFlight > len(l.awaitingFirstByte) && now.Sub(l.response.at()) > maxResponseGap
}

// isUnresponsive reports whether the endpoint no longer responds to this router or to a
// peer.
func (l *load) isUnresponsive(now proto.Instant) bool {
	return l.isSilent(now) || now < l.silentUntil || l.responseOverdue(now)
}

// pendingAttempt is an attempt without a first byte; due is when it becomes
// overdue.
type pendingAttempt struct{ sentAt, due proto.Instant }

func newPendingAttempt(now proto.Instant, expected time.Duration) pendingAttempt {
	return pendingAttempt{sentAt: now, due: now.Add(max(minSilence, silenceFactor*expected))}
}

func (a *Attempt) markFirstByte(l *load) {
	if a.gotFirstByte {
		return
	}
	a.gotFirstByte = true
	l.prefillTokens = max(0, l.prefillTokens-a.prefillTokens)
	delete(l.awaitingFirstByte, a.id)
}

// recordFailure records a failure and sets the backoff.
func (l *load) recordFailure(now proto.Instant) {
	l.failures++
	pause := minFailurePause << min(l.failures-1, 4)
	l.backoffUntil = now.Add(min(pause, maxFailurePause))
}

// updateLag adds to the moving average by how much one first byte was later
// than expected; the expected time does not include the lag itself.
func (l *load) updateLag(now proto.Instant, lag time.Duration) {
	old := l.currentLag(now)
	l.lag = max(0, old+time.Duration(lagSmoothing*float64(lag-old)))
	l.lagAt = now
}

// currentLag returns the lag to expect for new attempts.
func (l *load) currentLag(now proto.Instant) time.Duration {
	age := now.Sub(l.lagAt)
	if age >= maxLagAge {
		return 0
	}
	return time.Duration(float64(l.lag) * (1 - float64(age)/float64(maxLagAge)))
}

// heartbeatOverdue reports whether the last heartbeat is older than the limit. A
// registry may show changed registrations only; then an old one says nothing about
// the endpoint.
func (l *load) heartbeatOverdue(now proto.Instant, limit time.Duration) bool {
	return limit > 0 && l.renewals >= minRenewals && now.Sub(l.lastHeartbeat) > limit
}

// isLoading reports whether the endpoint is still loading weights as ordered.
func (l *load) isLoading(now proto.Instant) bool { return l.loading && now < l.loadingUntil }
