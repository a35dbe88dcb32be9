package exchange

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/kumquatsill/kumquatsill/core/check"
	"github.com/kumquatsill/kumquatsill/core/limit"
	"github.com/kumquatsill/kumquatsill/core/note"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/core/route"
)

func (x *Exchange) admit(now proto.Instant) {
	s := x.deps.Snapshot()
	switch {
	case s.Draining:
		x.refuse(now, proto.CauseShuttingDown, "this router is shutting down", proto.NotRun, staleRetryAfter)
	case !s.Ready:
		x.refuse(now, proto.CauseNotReady, "this router has not read the configuration yet", proto.NotRun, staleRetryAfter)
	case !x.resolveRoute(now, s):
	case !x.authenticate(now, s):
	case !x.checkResume(now, s):
	case !x.checkQuarantine(now, s):
	default:
		x.reserveTokens(now)
	}
}

func (x *Exchange) resolveRoute(now proto.Instant, s *Snapshot) bool {
	if x.req.Class == proto.ClassGenerate {
		return x.resolveModel(now, s)
	}
	r, ok := MatchRoute(s.Config, x.req.Method, x.req.Path)
	if !ok {
		x.refuse(now, proto.CauseUnknownRoute, fmt.Sprintf("no route serves %s %s", x.req.Method, x.req.Path), proto.NotRun, 0)
		return false
	}
	x.route = r
	x.idempotent = r.Idempotent
	if !r.Idempotent && x.req.IdempotencyKey == "" {
		x.refuse(now, proto.CauseMissingIdemKey, "this call may not be repeated and needs an Idempotency-Key header", proto.NotRun, 0)
		return false
	}
	x.query = route.Query{Class: proto.ClassCall, Service: r.Service}
	return true
}

// MatchRoute returns the route with the longest path that matches a call, and false
// if none matches. A route path that ends in "/" matches as a prefix.
func MatchRoute(cfg *note.Config, method, path string) (note.Route, bool) {
	var best note.Route
	for _, r := range cfg.Routes {
		if r.Method == method && matchesPath(r.Path, path) && len(r.Path) > len(best.Path) {
			best = r
		}
	}
	return best, best.Path != ""
}

func matchesPath(pattern, path string) bool {
	if strings.HasSuffix(pattern, "/") {
		return strings.HasPrefix(path, pattern)
	}
	return pattern == path
}

func (x *Exchange) resolveModel(now proto.Instant, s *Snapshot) bool {
	m, ok := s.Config.Models[x.req.Model]
	if !ok {
		x.refuse(now, proto.CauseUnknownModel, fmt.Sprintf("model %q is not served", x.req.Model), proto.NotRun, 0)
		return false
	}
	if x.req.Adapter != "" && !slices.Contains(m.Adapters, x.req.Adapter) {
		x.refuse(now, proto.CauseUnknownModel, fmt.Sprintf("model %q has no adapter %q", m.Name, x.req.Adapter), proto.NotRun, 0)
		return false
	}
	x.idempotent = true
	x.query = route.Query{
		Class:        proto.ClassGenerate,
		Model:        m.Name,
		Version:      m.Version,
		Adapter:      x.req.Adapter,
		PromptTokens: x.req.PromptTokens,
	}
	return true
}

func (x *Exchange) authenticate(now proto.Instant, s *Snapshot) bool {
	if x.req.Class == proto.ClassCall && x.route.Unauthenticated {
		return true
	}
	x.needsKey = true
	if x.req.Key == "" {
		x.refuse(now, proto.CauseMissingKey, "the request carries no key", proto.NotRun, 0)
		return false
	}
	if !now.Before(s.FreshUntil) {
		x.refuse(now, proto.CauseStale, "this router cannot prove that its configuration is current", proto.NotRun, staleRetryAfter)
		return false
	}
	account, ok := accountForKey(s, x.req.Key)
	if !ok {
		x.refuse(now, proto.CauseUnknownKey, "the key is not known or was withdrawn", proto.NotRun, 0)
		return false
	}
	x.account = account
	x.query.Account = account.ID
	x.query.Blocks = route.ChainHashes(route.Salt{
		Account: account.ID, Model: x.query.Model, Version: x.query.Version, Adapter: x.query.Adapter,
	}, x.req.Pieces)
	return true
}

func accountForKey(s *Snapshot, key proto.KeyHash) (note.Account, bool) {
	k, ok := s.Config.Keys[key]
	if !ok {
		return note.Account{}, false
	}
	account, ok := s.Config.Accounts[k.Account]
	return account, ok
}

// checkResume refuses to resume a stream if running the request again might not
// reproduce it exactly.
func (x *Exchange) checkResume(now proto.Instant, s *Snapshot) bool {
	r := x.req.Resume
	if r == nil {
		return true
	}
	if x.req.Class != proto.ClassGenerate || !x.req.Sampling.Reproducible() {
		x.refuse(now, proto.CauseNotResumable, "only a generation with temperature 0 or a seed can be continued", proto.MayHaveRun, 0)
		return false
	}
	if r.Version != x.query.Version {
		x.refuse(now, proto.CauseNotResumable,
			fmt.Sprintf("the stream began with version %q, now %q serves", r.Version, x.query.Version), proto.MayHaveRun, 0)
		return false
	}
	x.delivered = r.After
	return true
}

func (x *Exchange) checkQuarantine(now proto.Instant, s *Snapshot) bool {
	x.fingerprint = fingerprint(x.account.ID, &x.req)
	if !s.Quarantined[QuarantineKey{Account: x.account.ID, Fingerprint: x.fingerprint}] {
		return true
	}
	x.refuse(now, proto.CauseQuarantined, "this request crashed two endpoints and is quarantined", proto.NotRun, 0)
	return false
}

// reserveTokens charges the account for the maximum number of tokens that the
// request may use. What it does not use is refunded at the end.
func (x *Exchange) reserveTokens(now proto.Instant) {
	x.step = StepTokens
	if !x.needsKey {
		x.rateReason = "open route"
		x.onTokensReserved(now)
		return
	}
	tokenCost := x.tokenCost()
	d := x.deps.Limits.Spend(now, x.account.ID, tokenCost)
	x.rateReason = d.Reason
	if d.OK {
		x.reservedTokens = tokenCost
		x.onTokensReserved(now)
		return
	}
	if d.Wait > 0 && x.waitForTokens(now, d.Wait) {
		return
	}
	state := d.State
	x.end(now, proto.CallerRefusal{
		Cause:      proto.CauseRateLimited,
		Detail:     fmt.Sprintf("the request needs %d tokens, more than the account may spend now", tokenCost),
		Verdict:    proto.NotRun,
		RetryAfter: d.RetryAfter,
		Limit:      &state,
	})
}

// waitForTokens schedules another attempt to reserve tokens, since a holder of the
// account's bucket may still have some. It returns false once the request has
// waited for the maximum time.
func (x *Exchange) waitForTokens(now proto.Instant, wait time.Duration) bool {
	if x.tokensDeadline == 0 {
		x.tokensDeadline = min(now.Add(limit.MaxWait), x.deadline)
		x.tokensRetryDelay = minTokensRetryDelay
	}
	if !now.Before(x.tokensDeadline) {
		return false
	}
	x.stepDeadline = min(now.Add(min(wait, x.tokensRetryDelay)), x.tokensDeadline)
	x.tokensRetryDelay = min(2*x.tokensRetryDelay, maxTokensRetryDelay)
	return true
}

func (x *Exchange) tokenCost() int64 {
	if x.req.Class == proto.ClassCall {
		return max(minCallTokens, int64(len(x.req.Body))/bytesPerToken)
	}
	return x.req.PromptTokens + x.req.MaxTokens
}

func (x *Exchange) onTokensReserved(now proto.Instant) {
	if x.idempotent {
		x.place(now, true)
		return
	}
	x.step = StepIntent
	x.stepDeadline = now.Add(intentTimeout)
	x.Send(x.deps.Self, proto.IntentWanted{
		Request:     x.req.ID,
		Account:     x.account.ID,
		Key:         intentKey(x.account.ID, x.req.IdempotencyKey),
		Fingerprint: x.fingerprint,
		KeyAge:      keyAge(x.req.IdempotencyKey, x.req.ArrivedWall),
	})
}

func (x *Exchange) onIntentDecided(now proto.Instant, m proto.IntentDecided) {
	if x.step != StepIntent || m.Request != x.req.ID {
		x.deps.Stats.Late.Add(1)
		return
	}
	switch {
	case m.Intent != nil:
		x.intent = m.Intent
		x.place(now, true)
	case m.ForwardTo != "":
		x.forward(now, m.ForwardTo)
	case m.Outcome != nil:
		x.replay(now, *m.Outcome)
	default:
		x.refuse(now, m.Cause, "the log did not admit this call", m.Verdict, m.RetryAfter)
	}
}

// replay returns the recorded outcome of an earlier run to the caller.
func (x *Exchange) replay(now proto.Instant, outcome proto.CallerFinish) {
	outcome.Replayed = true
	x.finish(now, outcome)
}

// onIntentTimeout refuses a call whose intent was not decided in time. It is
// reported as not run: nothing was dispatched, and the control machine drops the
// intent.
func (x *Exchange) onIntentTimeout(now proto.Instant) {
	x.refuse(now, proto.CauseLogUnavailable, "the log did not confirm the call in time", proto.NotRun, staleRetryAfter)
}

// recheckKey aborts a request whose key has been withdrawn since admission. It
// also aborts if the configuration is too old to tell.
func (x *Exchange) recheckKey(now proto.Instant) {
	if !x.needsKey {
		return
	}
	s := x.deps.Snapshot()
	if !now.Before(s.FreshUntil) {
		x.abort(now, proto.CauseStale, "this router cannot prove that its configuration is current")
		return
	}
	account, ok := accountForKey(s, x.req.Key)
	if !ok || account.ID != x.account.ID {
		x.abort(now, proto.CauseKeyWithdrawn, "the key was withdrawn")
	}
}

// checkBinding checks the invariant that a request is placed for the account that
// its key belongs to.
func (x *Exchange) checkBinding() {
	if !x.needsKey {
		return
	}
	x.deps.Checks.Check(check.AccountBinding, x.query.Account == x.account.ID && x.account.ID != "", func() string {
		return fmt.Sprintf("request %s is placed for account %q, its key belongs to %q", x.req.ID, x.query.Account, x.account.ID)
	})
}

func (x *Exchange) remaining(now proto.Instant) time.Duration { return x.deadline.Sub(now) }
