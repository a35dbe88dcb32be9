package front

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/kumquatsill/kumquatsill/app/driver"
	"github.com/kumquatsill/kumquatsill/core/crash"
	"github.com/kumquatsill/kumquatsill/core/place"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/core/relay"
	"github.com/kumquatsill/kumquatsill/core/serving"
	"github.com/kumquatsill/kumquatsill/platform"
)

const (
	// defaultTimeout applies if neither the route nor the caller sets a
	// timeout.
	defaultTimeout = 60 * time.Second
	// notReadyRetryAfter is the Retry-After time while this router has no
	// configuration; the retry usually reaches another router.
	notReadyRetryAfter = 300 * time.Millisecond
	// noEndpointRetryAfter is the Retry-After time while no endpoint can take a
	// request. Endpoints that load weights return after some hundred
	// milliseconds.
	noEndpointRetryAfter = 400 * time.Millisecond
	// defaultMaxBody limits request bodies if the configuration sets no limit.
	defaultMaxBody = 4 << 20
	// defaultResponseBytes is the response size assumed for requests without
	// token counts.
	defaultResponseBytes = 1024
	// bytesPerToken is the size of one token in a streamed response, including
	// its share of the surrounding event.
	bytesPerToken = 24
)

// request is one request of a caller while this router handles it.
type request struct {
	front   *Front
	w       http.ResponseWriter
	r       *http.Request
	log     *slog.Logger
	arrived proto.Instant
	info    relay.RequestInfo
	route   *serving.Route
	account *serving.Account
	service string
	body    body
	config  *serving.Config
	relay   *relay.Request
	// traits is what the request has in common with others that may crash endpoints.
	traits []crash.Trait
	// deadline is the time at which the request ends in any case.
	deadline       proto.Instant
	triedEndpoints []proto.EndpointID
	// triedAddrs holds the addresses of the attempts so far. An endpoint may have the
	// address of another one that has ended.
	triedAddrs []string
	// chargedUnits is the amount charged to the account's limit.
	chargedUnits int64
	// firstByteAt is when the first response to an attempt began, or 0.
	firstByteAt proto.Instant
	// returning is set if the caller has less time left than others have at first.
	returning bool
	// obstacle holds log attributes that say why no endpoint could take the request last.
	obstacle []any
	// saved is a buffered response. That of a failed attempt is delivered if no
	// other attempt succeeds and nothing was sent to the caller meanwhile.
	saved *savedResponse
	// isBehind is set if endpoints are told that the present attempt is less urgent than others
	// of the same priority. It is decided once for an attempt, before its endpoint is chosen: the
	// salt of the choice depends on it.
	isBehind bool
	// preview is set if the request is only explained.
	preview *preview
}

// serve handles a request of a caller.
func (f *Front) serve(w http.ResponseWriter, r *http.Request) {
	f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	f.memory.budget.AddRequests(1)
	defer f.memory.budget.AddRequests(-1)
	x := &request{front: f, w: w, r: r, arrived: driver.Now(), log: f.log}
	defer x.releaseSaved()
	defer x.releaseBody()
	x.run()
}

// run admits the request and makes attempts until the request ends.
func (x *request) run() {
	if !x.admit() {
		return
	}
	ctx, cancel := context.WithTimeoutCause(x.r.Context(), x.deadline.Sub(driver.Now()), errDeadline)
	defer cancel()
	for {
		decision := x.nextAttempt(ctx)
		switch decision.Action {
		case relay.Retry:
		case relay.Wait:
			// Endpoints that could not take the request before may do so now.
			x.triedEndpoints = nil
			sleep(ctx, decision.RetryAfter)
		default:
			x.finish(decision)
			return
		}
	}
}

var errDeadline = errors.New("the deadline has passed")

// identify finds out the route and the account of the request; if it may not be served, it
// responds with an error. It changes nothing else.
func (x *request) identify() bool {
	x.config = x.front.config.Load()
	var err error
	x.info, err = platform.DecodeRequest(x.r.Header)
	if x.config == nil {
		return x.reject(http.StatusServiceUnavailable, "no_configuration", notReadyRetryAfter)
	}
	if err != nil {
		x.log = x.log.With("error", err.Error())
		return x.reject(http.StatusBadRequest, "bad_header", 0)
	}
	path, _, _ := strings.Cut(x.r.RequestURI, "?")
	if x.route = x.config.Match(x.r.Host, path); x.route == nil {
		return x.reject(http.StatusNotFound, "no_route", 0)
	}
	if !x.authenticate() {
		return false
	}
	x.service = x.route.Target(xxhash.Sum64String(x.info.ID))
	x.setDeadline()
	return true
}

// admit decides whether the request may be served; if not, it responds with an
// error.
func (x *request) admit() bool {
	f := x.front
	if !x.identify() || !x.readBody() {
		return false
	}
	x.traits = x.crashTraits()
	if !x.chargeQuota() || !x.admitRank() {
		return false
	}
	retryBudget := f.retryBudget(x.service)
	retryBudget.RecordRequest(x.arrived, x.rank())
	x.relay = relay.New(x.route, retryBudget)
	x.relay.SetRank(x.rank())
	return true
}

func (x *request) authenticate() bool {
	if x.route.Unauthenticated || x.config.Keyless && x.info.Key == "" {
		return true
	}
	f := x.front
	if s := f.settings.Load(); s.KeysExpire && x.arrived.Sub(proto.Instant(f.storeReadAt.Load())) > s.KeyLifetime {
		return x.reject(http.StatusServiceUnavailable, "keys_not_fresh", notReadyRetryAfter)
	}
	if x.account = x.config.AccountForKey(x.info.Key); x.account == nil || x.info.Key == "" {
		x.account = nil
		return x.reject(http.StatusUnauthorized, "unknown_key", 0)
	}
	return true
}

// accountID returns the ID of the request's account, or "" if it has none.
func (x *request) accountID() proto.AccountID {
	if x.account == nil {
		return ""
	}
	return x.account.ID
}

func (x *request) setDeadline() {
	limit := x.route.Timeout
	if limit <= 0 {
		limit = defaultTimeout
	}
	if x.info.Remaining > 0 {
		limit = min(limit, x.info.Remaining)
	}
	x.deadline = x.arrived.Add(limit)
}

// computeFingerprint returns a hash of the request's content, including its
// account.
func (x *request) computeFingerprint() proto.Fingerprint {
	h := xxhash.New()
	parts := []string{string(x.accountID()), x.r.Method, x.r.Host, x.r.RequestURI}
	for _, p := range x.info.Parts {
		parts = append(parts, p.ID)
	}
	for _, part := range parts {
		_, _ = h.WriteString(part + "\x00") // writes to a hash never fail
	}
	for _, segment := range x.body.segments {
		_, _ = h.Write(segment)
	}
	return proto.Fingerprint(strconv.FormatUint(h.Sum64(), 16))
}

// crashTraits returns the request's content and the parts of its prompt that other
// requests may share, which are all but the last one.
func (x *request) crashTraits() []crash.Trait {
	traits := []crash.Trait{crash.ContentTrait(x.computeFingerprint())}
	for i, p := range x.info.Parts {
		if i < len(x.info.Parts)-1 {
			traits = append(traits, crash.PartTrait(x.info.Model, p.ID))
		}
	}
	return traits
}

// chargeQuota charges the request's tokens to its account's limit.
func (x *request) chargeQuota() bool {
	if x.account == nil {
		x.logAdmitted("open route", 0, 1)
		return true
	}
	units := x.account.Cost(x.info.Tokens(), x.info.HasTokens)
	d := x.front.quota.Admit(x.arrived, x.account.ID, x.quotaRequest(units))
	x.front.metrics.noteQuota(d)
	if !d.OK {
		x.log = x.log.With("account", string(x.account.ID), "units", units, "balance", d.Balance, "share", d.Share,
			"promised", d.Promised, "promises", d.Promises, "returning", d.Returning)
		return x.reject(http.StatusTooManyRequests, "over_limit", d.RetryAfter)
	}
	x.chargedUnits = units
	x.logAdmitted("within limit", d.Balance, d.Share)
	return true
}

func (x *request) logAdmitted(reason string, balance int64, share float64) {
	x.front.log.Info("admitted", "id", x.info.ID, "route", x.route.Name, "account", string(x.accountID()), "service", x.service,
		"revision", int64(x.config.Revision), "reason", reason, "units", x.chargedUnits, "balance", balance, "share", share,
		"parts", len(x.info.Parts), "left_ms", x.deadline.Sub(driver.Now()).Milliseconds())
}

// reject refuses a request that was not sent to any endpoint. It returns false.
func (x *request) reject(status int, reason string, retryAfter time.Duration) bool {
	if x.preview != nil {
		return x.preview.refuse(status, reason, retryAfter)
	}
	x.front.metrics.refused(reason)
	x.respond(status, retryAfter)
	revision := int64(0)
	if x.config != nil {
		revision = int64(x.config.Revision)
	}
	x.log.Info("refused", "id", x.info.ID, "host", x.r.Host, "method", x.r.Method, "reason", reason, "status", status,
		"verdict", proto.NotRun.String(), "retry_after_ms", retryAfter.Milliseconds(), "revision", revision)
	return false
}

// respond writes a response generated by the router itself.
func (x *request) respond(status int, retryAfter time.Duration) {
	x.closeIfStopping()
	platform.SetRefusalHeader(x.w.Header(), x.info.ID, retryAfter)
	x.w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	x.w.WriteHeader(status)
	_, _ = io.WriteString(x.w, http.StatusText(status)+"\n") // a write only fails if the caller has left
}

// finish ends the request as decided and responds if an attempt has not done
// so.
func (x *request) finish(decision relay.Decision) {
	if !x.relay.MayHaveRun() && x.account != nil {
		x.front.quota.Refund(driver.Now(), x.account.ID, x.chargedUnits)
	}
	status := 0
	switch decision.Action {
	case relay.Deliver:
		if x.saved != nil && x.relay.Delivery().IsEmpty() {
			status = x.saved.status
			x.releaseBody()
			x.closeIfStopping()
			x.saved.write(x.w)
		}
	case relay.Refuse:
		status = http.StatusServiceUnavailable
		x.front.metrics.refused(decision.Reason)
		x.respond(status, decision.RetryAfter)
	case relay.Fail:
		status = http.StatusBadGateway
		x.respond(status, 0)
	case relay.Expire:
		status = http.StatusGatewayTimeout
		x.respond(status, 0)
	}
	x.logFinished(decision, status)
	now := driver.Now()
	took := now.Sub(x.arrived)
	if x.relay.MayHaveRun() && decision.Action != relay.Drop {
		x.front.durations.Record(now, x.route.Name, took)
	}
	x.recordAdmissionOutcome(now, decision)
	x.front.metrics.finished(x.route, decision, took)
	if decision.Action == relay.Abort || decision.Action == relay.Drop {
		x.cutOff()
	}
}

func (x *request) logFinished(decision relay.Decision, status int) {
	verdict := proto.NotRun
	if x.relay.MayHaveRun() {
		verdict = proto.MayHaveRun
	}
	if decision.Action == relay.Deliver {
		verdict = proto.Ran
	}
	lastEvent, _ := x.relay.Delivery().LastEvent()
	x.log.With(x.obstacle...).Info("finished", "id", x.info.ID, "outcome", decision.Action.String(), "reason", decision.Reason, "status", status,
		"verdict", verdict.String(), "sends", x.relay.Sends(), "last_event", lastEvent,
		"retry_after_ms", decision.RetryAfter.Milliseconds(), "took_ms", driver.Now().Sub(x.arrived).Milliseconds())
}

// query returns the input of the placement for the next attempt.
func (x *request) query() *place.Query {
	q := &place.Query{
		Service: x.service, Bytes: x.body.size + defaultResponseBytes, Exclude: x.triedEndpoints,
		Target: x.route.TargetLatency, Rank: x.rank(),
	}
	if q.Only = x.relay.ReturnTo(); q.Only != nil {
		q.Exclude = nil
	}
	if x.info.Model == "" || !x.route.PromptParts {
		return q
	}
	if x.route.Kind == serving.Stream {
		now := driver.Now()
		q.TargetGap, q.TargetLatency, q.Behind = x.route.TargetGap, x.latencyLeft(now), x.front.ownDelay.Behind(now)
	}
	q.Model = x.info.Model
	q.Parts = x.info.Parts
	if x.info.HasTokens {
		q.Size = place.Size{PromptTokens: x.info.PromptTokens, MaxOutput: x.info.OutputTokens, LengthHint: x.info.LengthHint}
	}
	q.Bytes = x.body.size + bytesPerToken*x.info.OutputTokens
	q.Salt = x.salt
	if x.isBehind {
		q.Parts, q.Salt = []place.Part{x.wholePrompt()}, x.ownSalt
	}
	return q
}

// salt returns the salt of the cache entries for a model version. It follows the
// configuration in force now, as accounts may be isolated after a request was admitted.
func (x *request) salt(version int64) string {
	return fmt.Sprintf("%s.%d.%s", x.info.Model, version, x.front.config.Load().CacheNamespace(x.account))
}

// retryBudget returns the retry budget of a service, which it creates on first
// use.
func (f *Front) retryBudget(service string) *relay.RetryBudget {
	if b, ok := f.retryBudgets.Load(service); ok {
		return b.(*relay.RetryBudget)
	}
	now := driver.Now()
	b, _ := f.retryBudgets.LoadOrStore(service, relay.NewRetryBudget(now, f.retryBudgetConfig(now)))
	return b.(*relay.RetryBudget)
}

// configureRetryBudgets updates the retry budgets for the settings and the
// number of routers in force. A router learns that number only some time after
// its start.
func (f *Front) configureRetryBudgets(now proto.Instant) {
	cfg := f.retryBudgetConfig(now)
	f.retryBudgets.Range(func(_, b any) bool {
		b.(*relay.RetryBudget).Configure(now, cfg)
		return true
	})
}

// retryBudgetConfig returns this router's share of the retries that the
// settings allow for one service.
func (f *Front) retryBudgetConfig(now proto.Instant) relay.BudgetConfig {
	const (
		// ratioShare leaves room for the budget saved up before a window.
		ratioShare = 0.6
		// reserveShare leaves room for reserves that refill within a window and
		// for routers that restart.
		reserveShare = 0.35
	)
	s := f.settings.Load()
	_, members := f.quota.Share(now)
	return relay.BudgetConfig{
		Ratio:   s.RetryRatio * ratioShare,
		Window:  s.RetryWindow,
		Reserve: s.RetryReserve * reserveShare / float64(max(1, members)),
	}
}
