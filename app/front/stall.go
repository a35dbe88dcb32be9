package front

import (
	"context"
	"slices"
	"time"

	"github.com/kumquatsill/kumquatsill/app/driver"
	"github.com/kumquatsill/kumquatsill/core/place"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/core/serving"
)

const (
	// callStallFactor is the multiple of the route's target latency after which an
	// idempotent call counts as stalled.
	callStallFactor = 2
	// stallCheckInterval is the time between two checks whether an attempt has stalled.
	stallCheckInterval = 250 * time.Millisecond
	// stallConfirmInterval is how long after a check has found a stall it is repeated. A
	// router that was suspended finds all its endpoints silent until it has read what
	// they sent meanwhile.
	stallConfirmInterval = 30 * time.Millisecond
	// gapStallFactor is the multiple of the route's target gap between events after
	// which the first check is made within a stream.
	gapStallFactor = 3
)

// stallWatch abandons a stalled attempt of a request that may run again, once another
// attempt is certain: another endpoint can take the request and the retry budget allows
// it. Until then the endpoint is awaited, which may be sound and only silent for a while.
type stallWatch struct {
	attempt *attempt
	timer   *checkTimer
	cancel  context.CancelCauseFunc
	// query is that of the next attempt.
	query *place.Query
	// maxGap is the time between an event and the next check.
	maxGap time.Duration
	// suspected is set once a check has found a stall, reported once it is logged that
	// the endpoint is awaited.
	suspected, reported bool
}

// watchStall starts to watch an attempt. A stream counts as stalled only if its endpoint
// has stopped responding, since computing its prompt elsewhere would slow down all
// engines; a call when its time is over.
func (a *attempt) watchStall(cancel context.CancelCauseFunc) *stallWatch {
	route := a.request.route
	if !route.Repeatable() || route.TargetLatency <= 0 {
		return &stallWatch{}
	}
	w := &stallWatch{attempt: a, cancel: cancel, query: a.request.query(), maxGap: gapStallFactor * route.TargetGap}
	w.query.Exclude = slices.Clone(w.query.Exclude)
	first := route.TargetLatency
	if route.Kind != serving.Stream {
		first = callStallFactor * route.TargetLatency
	}
	w.timer = newCheckTimer(first, w.check)
	return w
}

// check abandons the attempt if it has stalled and can be made elsewhere. It returns the
// time until the next check.
func (w *stallWatch) check() time.Duration {
	now := driver.Now()
	if !w.hasStalled(now) {
		w.suspected = false
		return stallCheckInterval
	}
	if !w.suspected {
		w.suspected = true
		return stallConfirmInterval
	}
	if reason := w.obstacle(now); reason != "" {
		w.suspected = false
		w.report(now, reason)
		return stallCheckInterval
	}
	w.cancel(errStalled)
	return 0
}

func (w *stallWatch) hasStalled(now proto.Instant) bool {
	x := w.attempt.request
	return x.route.Kind != serving.Stream || x.front.placer.HasStalled(now, w.attempt.placement)
}

// obstacle returns why the request cannot be attempted elsewhere now, or "" after it has
// reserved the retry.
func (w *stallWatch) obstacle(now proto.Instant) string {
	x := w.attempt.request
	left := x.deadline.Sub(now)
	choice, ok := x.front.placer.Choose(now, w.query)
	switch {
	case !ok || x.front.placer.IsSilent(now, choice.Endpoint.ID):
		return "no_endpoint"
	case x.isOverloaded(w.query, &choice):
		return "overload"
	case choice.ExpectedTTFB >= left:
		return "no_time_left"
	case x.front.crashes.IsBlocked(now, x.traits):
		return "crashes_endpoints"
	}
	return x.relay.ReserveRetry(now, left)
}

// report logs once that the endpoint is awaited though it has stalled.
func (w *stallWatch) report(now proto.Instant, reason string) {
	if w.reported {
		return
	}
	w.reported = true
	x := w.attempt.request
	x.front.log.Info("stalled endpoint awaited", "id", x.info.ID, "endpoint", string(w.attempt.choice.Endpoint.ID),
		"reason", reason, "waited_ms", now.Sub(w.attempt.sentAt).Milliseconds())
}

// Stop ends the watch until Resume. Once it has returned, no check is running.
func (w *stallWatch) Stop() { w.timer.Stop() }

// Resume continues the watch after an event was passed on.
func (w *stallWatch) Resume() { w.timer.Resume(max(w.maxGap, stallCheckInterval)) }

// watchVersion cancels the attempt if it has not begun when the model version that it was
// sent to becomes too old.
func (a *attempt) watchVersion(cancel context.CancelCauseFunc) *checkTimer {
	if a.choice.StartWithin <= 0 {
		return nil
	}
	x := a.request
	return newCheckTimer(a.choice.StartWithin, func() time.Duration {
		// A newer version may not have been announced until after the request
		// was sent.
		left := x.front.placer.StartTimeLeft(driver.Now(), x.info.Model, a.choice.Version)
		if left <= 0 {
			cancel(errOutdated)
		}
		return max(0, left)
	})
}
