package front

import (
	"cmp"
	"net/http"
	"strings"

	"github.com/kumquatsill/kumquatsill/core/crash"
	"github.com/kumquatsill/kumquatsill/core/place"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/core/relay"
)

// noLimit is logged for an answer that named no limit.
const noLimit = -1

// recordOutcome reports the outcome of the attempt to the placement and the
// crash register.
func (a *attempt) recordOutcome(now proto.Instant, result relay.Result) {
	f := a.request.front
	healthy := true
	switch result {
	case relay.Unreachable:
		healthy = false
		a.recordIncident(now, place.Unreachable)
	case relay.Broken, relay.Stalled:
		healthy = false
	case relay.Shed:
		a.recordIncident(now, place.Full)
	case relay.Misdirected:
		if a.respondent == a.choice.Endpoint.ID && a.choice.Version > 0 {
			f.placer.HandleVersionMismatch(now, a.choice.Endpoint.ID, a.request.info.Model, a.choice.Version)
		} else {
			a.recordIncident(now, place.Replaced)
		}
	}
	f.placer.ObserveStream(now, a.placement, &a.timing)
	if result == relay.Completed && a.isWholeStream() {
		f.placer.ObserveOutput(now, a.placement, a.timing.Events)
	}
	f.placer.EndAttempt(now, a.placement, healthy)
	if a.firstByteAt != 0 && result.Verdict() != proto.NotRun {
		a.request.firstByteAt = cmp.Or(a.request.firstByteAt, a.firstByteAt)
	}
	switch {
	case a.connectionLost && result == relay.Broken:
		a.recordLoss(now)
	case result == relay.Completed && a.status < http.StatusMultipleChoices:
		a.recordSurvival(now)
	case a.isTrial && result.Verdict() == proto.NotRun:
		f.crashes.TrialNotRun(a.request.traits)
	}
}

// recordLoss logs what the request has in common with others whose connection was lost,
// and records it as a possible cause if the answer had just begun.
func (a *attempt) recordLoss(now proto.Instant) {
	x := a.request
	x.front.log.Info("connection lost during a request", "id", x.info.ID, "endpoint", string(a.choice.Endpoint.ID),
		"model", x.info.Model, "parts", partIDs(x.info.Parts), "traits", x.traits, "possible_cause", !a.isBeyondBegin())
	if a.isBeyondBegin() {
		return
	}
	lostAt := cmp.Or(a.lastByteAt, now) // a silent connection may be reset seconds later
	ended := crash.Incarnation{Endpoint: a.choice.Endpoint.ID, Started: a.choice.Endpoint.Started}
	x.front.crashes.ConnectionLost(now, lostAt, ended, x.traits)
	x.front.reportCrashChanges()
	x.front.requestEarlySend()
}

// isBeyondBegin reports whether the answer went on for so long that it did not crash the
// endpoint.
func (a *attempt) isBeyondBegin() bool {
	return a.lastByteAt.Sub(a.firstByteAt) >= crash.BeginPhase
}

// recordSurvival records that the request does not crash the endpoint.
func (a *attempt) recordSurvival(now proto.Instant) {
	a.survived = true
	a.request.front.crashes.Survived(now, a.firstByteAt, a.request.traits)
	a.request.front.reportCrashChanges()
}

// partIDs returns the IDs of prompt parts, separated by commas.
func partIDs(parts []place.Part) string {
	ids := make([]string, len(parts))
	for i, p := range parts {
		ids[i] = p.ID
	}
	return strings.Join(ids, ",")
}

func (a *attempt) log(now proto.Instant, result relay.Result, next relay.Decision) {
	x := a.request
	firstMillis := int64(-1)
	if a.firstByteAt != 0 {
		firstMillis = a.firstByteAt.Sub(a.sentAt).Milliseconds()
	}
	silentFor := now.Sub(max(a.sentAt, a.lastByteAt))
	c := a.choice
	limited, _ := c.Excluded.Limited()
	x.front.log.Info("attempt", append([]any{"id", x.info.ID, "n", x.relay.Sends(), "endpoint", string(c.Endpoint.ID),
		"domain", string(c.Endpoint.Domain), "version", c.Version, "candidates", c.Candidates, "throttled", limited, "excluded", c.Excluded.String(),
		"expected_ms", c.ExpectedTTFB.Milliseconds(), "held_tokens", c.CachedTokens, "shared_tokens", c.SharedTokens, "moved_tokens", c.FetchedTokens, "again_tokens", c.RecomputedTokens, "source", c.Source,
		"result", result.String(), "status", a.status, "limit", a.limit, "detail", a.detail, "first_ms", firstMillis,
		"silent_ms", silentFor.Milliseconds(), "begun", !x.relay.Delivery().IsEmpty(), "took_ms", now.Sub(a.sentAt).Milliseconds(), "next", next.Action.String()}, a.pacing()...)...)
	x.front.metrics.attempted(x.service, result, a)
	x.front.metrics.paced(a)
}
