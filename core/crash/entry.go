package crash

import (
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

const (
	// blockThreshold is the number of rounds at which a trait is blocked. A sound
	// request can share an endpoint with a harmful one, but rarely again and again
	// without any answer between.
	blockThreshold = 3
	// minSpan is the minimum time from the first crash until a trait is blocked. It
	// leaves sound traits that are in use the time to show that they are.
	minSpan = time.Second
	// roundWindow is the time within which crashes count as one round: endpoints that
	// crash at the same moment have a common cause, and it is not a request.
	roundWindow = 50 * time.Millisecond
	// maxEvents bounds the crashes, and the trials, that are kept of one trait.
	maxEvents = 32
	// firstTrialDelay is the delay from the crash at which a trait is blocked to its
	// first trial. It may be blocked by mistake.
	firstTrialDelay = 1500 * time.Millisecond
	// secondTrialDelay is the delay after a trial whose outcome nobody has seen.
	secondTrialDelay = 20 * time.Second
	// laterTrialDelay is the delay after a trial that has failed, or a second one without
	// outcome. It grows by trialDelayFactor with each further one, up to maxTrialDelay.
	laterTrialDelay  = 2 * time.Minute
	trialDelayFactor = 5
	maxTrialDelay    = 6 * time.Hour
	// trialWindow is the time within which trials of several routers count as one.
	trialWindow = 500 * time.Millisecond
)

// entry is the evidence on one trait. Times are 0 if there was no such event.
type entry struct {
	crashes, trials events
	// soundAt is when the last answer began that this router has seen go beyond
	// BeginPhase.
	soundAt proto.Instant
	// refusedAt is when a request was refused last, refusalToldAt when peers were told so.
	refusedAt, refusalToldAt proto.Instant
	// observedAt is when this router has observed anything.
	observedAt proto.Instant
	// sent is the number of requests with the trait that this router has let through
	// since the first crash.
	sent int
	// blocked is the result of the last decision, and reportedRounds the rounds at the
	// last report of it.
	blocked        bool
	reportedRounds int
}

// markSound records that an answer began at the given time and went beyond BeginPhase.
// It reports whether that clears any event.
func (e *entry) markSound(begunAt proto.Instant) bool {
	e.soundAt = max(e.soundAt, begunAt)
	clearedCrashes := e.crashes.clear(e.soundAt)
	return e.trials.clear(e.soundAt) || clearedCrashes
}

// rounds returns the number of crashes since the last sound answer, where those at the
// same moment count once.
func (e *entry) rounds() int { return e.crashes.rounds(roundWindow) }

// isCandidate reports whether the crashes, taken alone, suffice to block the trait after
// minSpan.
func (e *entry) isCandidate() bool { return e.rounds() >= blockThreshold }

// suffice reports whether crashes suffice to block a trait.
func (s events) suffice(now proto.Instant) bool {
	counted := s.counted()
	return counted.rounds(roundWindow) >= blockThreshold && now.Sub(counted[0].at) >= minSpan
}

// nextTrial returns the time from which a request of a blocked trait may be tried.
func (e *entry) nextTrial() proto.Instant {
	return max(e.trials.lastAt(), e.crashes.counted().lastAt()).Add(e.trialDelay())
}

// trialDelay returns the delay of the next trial after the last crash or trial.
func (e *entry) trialDelay() time.Duration {
	failed, trials := e.rounds()-blockThreshold, e.trials.rounds(trialWindow)
	switch {
	case failed <= 0 && trials == 0:
		return firstTrialDelay
	case failed <= 0 && trials == 1:
		return secondTrialDelay
	}
	d := laterTrialDelay
	for range max(failed, trials-1) - 1 {
		d = min(d*trialDelayFactor, maxTrialDelay)
	}
	return d
}

// lastAt returns the time of the last event other than an answer that did no harm.
func (e *entry) lastAt() proto.Instant {
	return max(e.refusedAt, e.crashes.lastAt(), e.trials.lastAt())
}
