package front

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/kumquatsill/kumquatsill/app/driver"
	"github.com/kumquatsill/kumquatsill/app/upstream"
	"github.com/kumquatsill/kumquatsill/core/crash"
	"github.com/kumquatsill/kumquatsill/core/place"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/core/relay"
	"github.com/kumquatsill/kumquatsill/core/serving"
	"github.com/kumquatsill/kumquatsill/platform"
)

const (
	// maxIdleNonRepeatable is the longest idle time of a connection that may
	// carry a non-repeatable request.
	maxIdleNonRepeatable = 1500 * time.Millisecond
	// callStallFactor is the multiple of the route's target latency after which a
	// repeatable call is retried at another endpoint.
	callStallFactor = 2
	// silenceCheckInterval is the time between two checks whether the endpoint
	// of a resumable stream has stopped responding.
	silenceCheckInterval = 250 * time.Millisecond
	// gapStallFactor is the multiple of the route's target gap between
	// events after which the first such check is made within a stream.
	gapStallFactor = 3
	// maxBufferedResponse is the size up to which a response is buffered in
	// full before it is forwarded, so that one that breaks off can be retried.
	maxBufferedResponse = 256 << 10
	// misdirectedPause is how long other endpoints are preferred to one at whose
	// address another endpoint responded. It covers the time until the registry
	// shows the new one.
	misdirectedPause = 1500 * time.Millisecond
	// overloadFactor is the multiple of the route's target latency above which the
	// expected time to the first event is too long for the work to be
	// worthwhile: callers give up on a stream after four times
	// the target latency.
	overloadFactor = 3
	// maxOverloadRetryAfter limits the Retry-After time of a refusal due to
	// overload.
	maxOverloadRetryAfter = 2 * time.Second
	// shedPause is how long other endpoints are preferred to one that refused a
	// request because it was too busy.
	shedPause = 80 * time.Millisecond
)

// noLimit is logged for an answer that named no limit.
const noLimit = -1

var (
	errStalled  = errors.New("no answer in time from an endpoint")
	errNoEvent  = errors.New("the connection ended before the first event")
	errOutdated = errors.New("not begun when the endpoint's version became too old")
)

// savedResponse is a complete response of an endpoint.
type savedResponse struct {
	status int
	header http.Header
	body   []byte
}

// write delivers the response to the caller.
func (s *savedResponse) write(w http.ResponseWriter) {
	platform.CopyResponseHeader(w.Header(), s.header, true)
	w.Header().Set("Content-Length", strconv.Itoa(len(s.body)))
	w.WriteHeader(s.status)
	_, _ = w.Write(s.body) // a write only fails if the caller has left
}

// nextAttempt sends the request to one endpoint and decides what follows.
func (x *request) nextAttempt(ctx context.Context) relay.Decision {
	now := driver.Now()
	if x.deadline.Sub(now) <= 0 {
		return x.relay.Expired()
	}
	q := x.query()
	choice, ok := x.front.placer.Choose(now, q)
	if !ok {
		return x.noEndpoint(choice)
	}
	if limit := overloadFactor * x.route.TargetLatency; q.Model != "" && limit > 0 && choice.ExpectedTTFB > limit {
		return x.relay.NoEndpoint("overload", min(choice.ExpectedTTFB-x.route.TargetLatency, maxOverloadRetryAfter))
	}
	if a := x.front.crashes.Admit(now, x.traits); !a.Allowed {
		x.log = x.log.With("trait", string(a.Trait), "rounds", a.Rounds)
		return x.relay.NoEndpoint("crashes_endpoints", a.RetryAfter)
	} else if a.Trial {
		x.front.log.Info("trial of a blocked trait", "id", x.info.ID, "trait", string(a.Trait), "rounds", a.Rounds)
		x.front.requestEarlySend()
	}
	x.relay.AttemptStarted()
	x.triedEndpoints = append(x.triedEndpoints, choice.Endpoint.ID)
	placement := x.front.placer.StartAttempt(now, q, choice)
	if choice.Urgent() {
		x.front.requestEarlySend()
	}
	attempt := &attempt{request: x, choice: choice, placement: placement, sentAt: now, limit: noLimit}
	result := attempt.run(ctx)
	ended := driver.Now()
	attempt.recordOutcome(ended, result)
	decision := x.relay.AttemptEnded(ended, result, x.deadline.Sub(ended))
	attempt.log(ended, result, decision)
	return decision
}

// noEndpoint returns what to do if the placement found no endpoint.
func (x *request) noEndpoint(choice place.Choice) relay.Decision {
	if choice.Throttled == 0 {
		return x.relay.NoEndpoint("no_endpoint", noEndpointRetryAfter)
	}
	x.log = x.log.With("throttled", choice.Throttled)
	return x.relay.NoEndpoint("endpoint_limits", min(cmp.Or(choice.ThrottledFor, noEndpointRetryAfter), maxOverloadRetryAfter))
}

// requestEarlySend requests a message to the peers before the next periodic
// one.
func (f *Front) requestEarlySend() {
	select {
	case f.earlySend <- struct{}{}:
	default:
	}
}

// attempt holds the state of sending a request to the chosen endpoint once.
type attempt struct {
	request *request
	choice  place.Choice
	// placement is the placer's record of this attempt.
	placement   *place.Attempt
	sentAt      proto.Instant
	firstByteAt proto.Instant
	status      int
	// limit is the number of requests per second that the endpoint named, or -1.
	limit float64
	// version is the last model version that the endpoint reported.
	version        int64
	detail         string
	connectionLost bool
	// survived is set once the answer has shown that its request does not crash the
	// endpoint.
	survived bool
	// versionTimer cancels the request if it does not begin in time.
	versionTimer *cancelTimer
	// respondent is the endpoint that rejected a misdirected request.
	respondent proto.EndpointID
}

// run sends the request and forwards or buffers the response.
func (a *attempt) run(ctx context.Context) relay.Result {
	x := a.request
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stall := a.watchStall(cancel)
	defer stall.Stop()
	a.versionTimer = a.watchVersion(cancel)
	defer a.versionTimer.Stop()
	resp, err := x.front.client.Send(ctx, a.upstreamRequest())
	if err != nil {
		return a.sendFailure(ctx, err)
	}
	defer resp.Close()
	a.status = resp.Status
	head := platform.DecodeResponse(resp.Status, resp.Header)
	a.observe(head)
	switch {
	case head.NotExecuted && resp.Status != http.StatusMisdirectedRequest:
		resp.Discard()
		return relay.Shed
	case head.Misdirected:
		a.respondent = head.Endpoint
		resp.Discard()
		return relay.Misdirected
	case head.Encoded, resp.Status < 300 && !head.HasSignature:
		a.detail = "not the endpoint's own answer"
		return relay.Broken
	case x.route.Kind == serving.Stream && resp.Status < 300:
		return a.forwardStream(ctx, resp, stall)
	}
	return a.readResponse(ctx, resp)
}

// cancelTimer cancels an attempt at a stalled endpoint or on an outdated
// version. A cancelTimer whose field timer is nil does nothing.
type cancelTimer struct {
	timer  *time.Timer
	maxGap time.Duration
}

// Stop stops the timer.
func (s *cancelTimer) Stop() {
	if s.timer != nil {
		s.timer.Stop()
	}
}

// Reset restarts the timer with the time allowed between two events.
func (s *cancelTimer) Reset() {
	if s.timer != nil && s.maxGap > 0 {
		s.timer.Reset(s.maxGap)
	}
}

// watchStall cancels the attempt of a repeatable request that may still be
// tried elsewhere: a call when its time is over, a stream only if the endpoint
// has also stopped responding. An endpoint that is merely slow keeps its
// streams, because recomputing their prompts elsewhere would slow down all
// engines.
func (a *attempt) watchStall(cancel context.CancelCauseFunc) *cancelTimer {
	route := a.request.route
	if !route.Repeatable() || route.TargetLatency <= 0 || len(a.request.triedEndpoints) >= route.Attempts {
		return &cancelTimer{}
	}
	if route.Kind != serving.Stream {
		return &cancelTimer{timer: time.AfterFunc(callStallFactor*route.TargetLatency, func() { cancel(errStalled) })}
	}
	s := &cancelTimer{maxGap: gapStallFactor * route.TargetGap}
	id := a.choice.Endpoint.ID
	s.timer = time.AfterFunc(route.TargetLatency, func() {
		if a.request.front.placer.IsSilent(driver.Now(), id) {
			cancel(errStalled)
			return
		}
		s.timer.Reset(silenceCheckInterval)
	})
	return s
}

// watchVersion cancels the attempt if it has not begun when the model version
// that it was sent to becomes too old.
func (a *attempt) watchVersion(cancel context.CancelCauseFunc) *cancelTimer {
	s := &cancelTimer{}
	if a.choice.StartWithin <= 0 {
		return s
	}
	x := a.request
	s.timer = time.AfterFunc(a.choice.StartWithin, func() {
		// A newer version may not have been announced until after the request
		// was sent.
		left := x.front.placer.StartTimeLeft(driver.Now(), x.info.Model, a.choice.Version)
		if left > 0 {
			s.timer.Reset(left)
			return
		}
		cancel(errOutdated)
	})
	return s
}

func (a *attempt) upstreamRequest() *upstream.Request {
	x := a.request
	attrs := platform.Attempt{
		Endpoint: a.choice.Endpoint.ID, Remaining: x.deadline.Sub(driver.Now()),
		Version: a.choice.Version, Salt: a.choice.Salt, Source: a.choice.Source, Destination: a.choice.Destination,
	}
	if x.account != nil {
		attrs.Account = x.account.ID
	}
	if x.route.PromptParts {
		attrs.Priority, attrs.HasPriority = x.priority(), true
	}
	if x.hasLastEvent {
		attrs.LastEvent, attrs.HasLastEvent = x.lastEvent, true
	}
	req := &upstream.Request{
		Addr: a.choice.Endpoint.Addr, Method: x.r.Method, Target: x.r.RequestURI, Host: x.r.Host,
		Header: platform.RequestHeader(x.r.Header, attrs), Body: x.body,
		Matches: func(h http.Header) bool { return platform.MatchesRequest(h, x.info.ID) },
	}
	if !x.route.Repeatable() {
		req.MaxIdle = maxIdleNonRepeatable
	}
	return req
}

// sendFailure returns the result of an attempt that received no response.
func (a *attempt) sendFailure(ctx context.Context, err error) relay.Result {
	a.detail = err.Error()
	var sendErr *upstream.SendError
	if errors.As(err, &sendErr) && sendErr.Verdict == proto.NotRun && ctx.Err() == nil {
		return relay.Unreachable
	}
	a.connectionLost = errors.As(err, &sendErr) && sendErr.ConnectionLost
	return a.interrupted(ctx)
}

// interrupted returns the result of an interrupted attempt by its cause.
func (a *attempt) interrupted(ctx context.Context) relay.Result {
	switch cause := context.Cause(ctx); {
	case cause == nil:
		return relay.Broken
	case errors.Is(cause, errStalled):
		return relay.Stalled
	case errors.Is(cause, errOutdated):
		return relay.Outdated
	case errors.Is(cause, errDeadline):
		return relay.DeadlineExceeded
	}
	return relay.CallerGone
}

// observe records what the head of a response reports about the endpoint.
func (a *attempt) observe(head platform.ResponseInfo) {
	x := a.request
	if head.HasLoad {
		x.front.placer.ObserveLoad(driver.Now(), a.placement, head.Load)
	}
	x.front.observeLimit(driver.Now(), a.choice.Endpoint, head)
	if head.HasLimit {
		a.limit = head.Limit
	}
	a.observeVersion(head.Version)
}

// observeVersion records the version reported by a response or an event; 0
// means that none was reported.
func (a *attempt) observeVersion(version int64) {
	x := a.request
	if version == 0 || version == a.version || x.info.Model == "" {
		return
	}
	a.version = version
	x.front.placer.ObserveVersion(a.choice.Endpoint.ID, x.info.Model, version)
}

// progress records that a part of the response has arrived.
func (a *attempt) progress() {
	now := driver.Now()
	if a.firstByteAt == 0 {
		a.firstByteAt = now
		a.versionTimer.Stop()
		a.request.front.placer.RecordFirstByte(now, a.placement)
		return
	}
	a.placement.RecordProgress(now)
	if !a.survived && now.Sub(a.firstByteAt) >= crash.BeginPhase {
		a.recordSurvival(now)
	}
}

// readResponse reads and buffers a response that is not a stream.
func (a *attempt) readResponse(ctx context.Context, resp *upstream.Response) relay.Result {
	a.progress()
	x := a.request
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedResponse))
	if err != nil {
		a.detail = err.Error()
		a.connectionLost = ctx.Err() == nil
		return a.interrupted(ctx)
	}
	if len(body) == maxBufferedResponse {
		return a.forwardResponse(ctx, resp, body)
	}
	x.saved = &savedResponse{status: resp.Status, header: resp.Header, body: body}
	if resp.Status >= 500 {
		return relay.Failed
	}
	return relay.Completed
}

// forwardResponse forwards a response that is too long to be buffered.
func (a *attempt) forwardResponse(ctx context.Context, resp *upstream.Response, prefix []byte) relay.Result {
	x := a.request
	x.saved = nil
	x.writeHead(resp)
	if _, err := x.w.Write(prefix); err != nil {
		return relay.CallerGone
	}
	_, err := io.Copy(x.w, resp.Body)
	switch {
	case err == nil:
		return relay.Completed
	case ctx.Err() == nil && x.r.Context().Err() != nil:
		return relay.CallerGone
	}
	a.detail = err.Error()
	return a.interrupted(ctx)
}

// writeHead writes the head of a response that is forwarded as it arrives.
func (x *request) writeHead(resp *upstream.Response) {
	if x.headWritten {
		return
	}
	x.headWritten = true
	platform.CopyResponseHeader(x.w.Header(), resp.Header, x.route.Kind != serving.Stream)
	x.w.WriteHeader(resp.Status)
	x.relay.ResponseStarted()
}

// forwardStream forwards complete events as they arrive.
func (a *attempt) forwardStream(ctx context.Context, resp *upstream.Response, stall *cancelTimer) relay.Result {
	x := a.request
	if !strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		a.detail = "not a stream"
		return relay.Broken
	}
	events := upstream.NewEventReader(resp.Body)
	control := http.NewResponseController(x.w)
	for {
		e, err := events.Next()
		if errors.Is(err, io.EOF) && a.endedBeforeBegin(resp) {
			err = errNoEvent
		}
		if errors.Is(err, io.EOF) {
			x.writeHead(resp)
			return relay.Completed
		}
		if err != nil {
			a.detail = err.Error()
			a.connectionLost = ctx.Err() == nil
			return a.interrupted(ctx)
		}
		a.progress()
		stall.Reset()
		a.observeVersion(platform.EventVersion(e.Fields))
		if e.HasID && x.hasLastEvent && e.ID <= x.lastEvent {
			continue // an earlier attempt has delivered this event
		}
		x.writeHead(resp)
		if _, err := x.w.Write(e.Raw); err != nil {
			return relay.CallerGone
		}
		if e.HasID {
			x.lastEvent, x.hasLastEvent = e.ID, true
		}
		if !events.NextBuffered() {
			if err := control.Flush(); err != nil {
				return relay.CallerGone
			}
		}
	}
}

// endedBeforeBegin reports whether a stream that ended with its connection was broken
// off before its first event. One that continues another may have no event left.
func (a *attempt) endedBeforeBegin(resp *upstream.Response) bool {
	return a.firstByteAt == 0 && !a.request.hasLastEvent && resp.EndsWithConnection()
}

// recordOutcome reports the outcome of the attempt to the placement and the
// crash register.
func (a *attempt) recordOutcome(now proto.Instant, result relay.Result) {
	f := a.request.front
	healthy := true
	switch result {
	case relay.Unreachable, relay.Broken, relay.Stalled:
		healthy = false
	case relay.Shed:
		f.placer.Pause(now, a.choice.Endpoint.ID, shedPause)
	case relay.Misdirected:
		if a.respondent == a.choice.Endpoint.ID && a.choice.Version > 0 {
			f.placer.HandleVersionMismatch(now, a.choice.Endpoint.ID, a.request.info.Model, a.choice.Version)
		} else {
			f.placer.Pause(now, a.choice.Endpoint.ID, misdirectedPause)
		}
	}
	f.placer.EndAttempt(now, a.placement, healthy)
	switch {
	case a.connectionLost && result == relay.Broken:
		a.recordLoss(now)
	case result == relay.Completed && a.status < http.StatusMultipleChoices:
		a.recordSurvival(now)
	}
}

// recordLoss logs what the request has in common with others whose connection was lost,
// and records it as a possible cause if the answer had just begun.
func (a *attempt) recordLoss(now proto.Instant) {
	x := a.request
	x.front.log.Info("connection lost during a request", "id", x.info.ID, "endpoint", string(a.choice.Endpoint.ID),
		"model", x.info.Model, "parts", partIDs(x.info.Parts), "traits", x.traits, "possible_cause", !a.isBeyondBegin(now))
	if a.isBeyondBegin(now) {
		return
	}
	x.front.crashes.ConnectionLost(now, a.choice.Endpoint.ID, x.traits)
	x.front.reportCrashChanges()
	x.front.requestEarlySend()
}

// isBeyondBegin reports whether the answer began long enough ago that it did not crash
// the endpoint.
func (a *attempt) isBeyondBegin(now proto.Instant) bool {
	return a.firstByteAt != 0 && now.Sub(a.firstByteAt) >= crash.BeginPhase
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
	c := a.choice
	x.front.log.Info("attempt", "id", x.info.ID, "n", x.relay.Sends(), "endpoint", string(c.Endpoint.ID),
		"domain", string(c.Endpoint.Domain), "version", c.Version, "candidates", c.Candidates, "throttled", c.Throttled,
		"expected_ms", c.ExpectedTTFB.Milliseconds(), "held_tokens", c.CachedTokens, "shared_tokens", c.SharedTokens, "moved_tokens", c.FetchedTokens, "again_tokens", c.RecomputedTokens, "source", c.Source,
		"result", result.String(), "status", a.status, "limit", a.limit, "detail", a.detail, "first_ms", firstMillis,
		"took_ms", now.Sub(a.sentAt).Milliseconds(), "next", next.Action.String())
	x.front.metrics.attempted(x.service, result, a)
}
