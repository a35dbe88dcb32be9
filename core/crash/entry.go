package crash

import (
	"slices"
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
	// sameCrashWindow is the time within which connections that one endpoint closed
	// count as one crash.
	sameCrashWindow = 250 * time.Millisecond
	// maxCrashes bounds the crashes that are kept of one trait.
	maxCrashes = 24
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
	// sameTrialWindow is the time within which reports of a trial are about the same one.
	sameTrialWindow = 500 * time.Millisecond
)

// endpointCrash is an endpoint that closed its connections.
type endpointCrash struct {
	endpoint proto.EndpointID
	at       proto.Instant
	// own is set if this router has observed the crash with the trait.
	own bool
}

// entry is the evidence on one trait. Times are 0 if there was no such event.
type entry struct {
	// crashes lists the crashes since soundAt by time.
	crashes []endpointCrash
	// soundAt is when the last answer began that went beyond BeginPhase.
	soundAt proto.Instant
	// trialAt is when the last trial began, refusedAt when a request was refused last.
	trialAt, refusedAt proto.Instant
	// trials is the number of trials since the last sound answer.
	trials int
	// restored is the number of rounds before the start of this router, as of
	// restoredAt.
	restored   int
	restoredAt proto.Instant
	// ownSound and ownTrial are set if this router has observed the events at soundAt
	// and trialAt; observedAt is when it has observed anything.
	ownSound, ownTrial bool
	observedAt         proto.Instant
	// sent is the number of requests with the trait that this router has let through
	// since the first crash.
	sent int
	// blocked is the result of the last decision, and reportedRounds the rounds at the
	// last report of it.
	blocked        bool
	reportedRounds int
}

// addCrash records a crash and reports whether it is new.
func (e *entry) addCrash(c endpointCrash) bool {
	if c.at <= e.soundAt {
		return false
	}
	for i, known := range e.crashes {
		if known.endpoint == c.endpoint && c.at.Sub(known.at).Abs() < sameCrashWindow {
			e.crashes[i].own = known.own || c.own
			return c.own && !known.own
		}
	}
	i := len(e.crashes)
	for i > 0 && e.crashes[i-1].at > c.at {
		i--
	}
	e.crashes = slices.Insert(e.crashes, i, c)
	if n := len(e.crashes); n > maxCrashes {
		// The first and the last ones tell how long the crashes go on.
		e.crashes = slices.Delete(e.crashes, n-2, n-1)
	}
	return true
}

// restore records a number of rounds before the start of this router.
func (e *entry) restore(now proto.Instant, rounds int) {
	e.restored, e.restoredAt = max(e.restored, min(rounds, maxCrashes)), now
}

// markSound records that an answer began at the given time and went beyond BeginPhase.
// It reports whether that is news.
func (e *entry) markSound(begunAt proto.Instant) bool {
	if begunAt <= e.soundAt {
		return false
	}
	e.soundAt, e.ownSound, e.trials = begunAt, false, 0
	e.crashes = slices.DeleteFunc(e.crashes, func(c endpointCrash) bool { return c.at <= begunAt })
	if e.restoredAt <= begunAt {
		e.restored = 0
	}
	return true
}

// suspected reports whether there was a crash since the last sound answer.
func (e *entry) suspected() bool { return e.restored > 0 || len(e.crashes) > 0 }

// rounds returns the number of crashes since the last sound answer, where those at the
// same moment count once.
func (e *entry) rounds() int {
	n, start := 0, proto.Instant(0)
	for _, c := range e.crashes {
		if n == 0 || c.at.Sub(start) >= roundWindow {
			n, start = n+1, c.at
		}
	}
	return max(n, e.restored)
}

// isCandidate reports whether the crashes, taken alone, suffice to block the trait after
// minSpan.
func (e *entry) isCandidate() bool { return e.rounds() >= blockThreshold }

// suffices reports whether the crashes, taken alone, suffice to block the trait.
func (e *entry) suffices(now proto.Instant) bool {
	if e.restored >= blockThreshold {
		return true
	}
	return e.isCandidate() && now.Sub(e.crashes[0].at) >= minSpan
}

// nextTrial returns the time from which a request of a blocked trait may be tried.
func (e *entry) nextTrial() proto.Instant {
	last := max(e.trialAt, e.restoredAt)
	if n := len(e.crashes); n > 0 {
		last = max(last, e.crashes[n-1].at)
	}
	return last.Add(e.trialDelay())
}

// trialDelay returns the delay of the next trial after the last crash or trial.
func (e *entry) trialDelay() time.Duration {
	failed := e.rounds() - blockThreshold
	switch {
	case failed <= 0 && e.trials == 0:
		return firstTrialDelay
	case failed <= 0 && e.trials == 1:
		return secondTrialDelay
	}
	d := laterTrialDelay
	for range max(failed, e.trials-1) - 1 {
		d = min(d*trialDelayFactor, maxTrialDelay)
	}
	return d
}

// startTrial records a trial that began at the given time, of this router if own is set.
func (e *entry) startTrial(at proto.Instant, own bool) {
	if at <= e.trialAt {
		return
	}
	if e.trialAt == 0 || at.Sub(e.trialAt) >= sameTrialWindow {
		e.trials++
	}
	e.trialAt, e.ownTrial = at, own
}

// lastAt returns the time of the last event.
func (e *entry) lastAt() proto.Instant {
	last := max(e.soundAt, e.trialAt, e.refusedAt, e.restoredAt)
	if n := len(e.crashes); n > 0 {
		last = max(last, e.crashes[n-1].at)
	}
	return last
}
