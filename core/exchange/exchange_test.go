package exchange_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/core/check"
	"github.com/kumquatsill/kumquatsill/core/exchange"
	"github.com/kumquatsill/kumquatsill/core/limit"
	"github.com/kumquatsill/kumquatsill/core/note"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/core/route"
)

const start = proto.Instant(time.Hour)

var self = proto.RouterAddr("r1")

// limiter counts the tokens that are charged.
type limiter struct {
	refuse bool
	spent  int64
}

func (l *limiter) Spend(_ proto.Instant, _ proto.AccountID, tokens int64) limit.Decision {
	if l.refuse {
		return limit.Decision{RetryAfter: time.Second}
	}
	l.spent += tokens
	return limit.Decision{OK: true}
}

func (l *limiter) Refund(_ proto.Instant, _ proto.AccountID, tokens int64) { l.spent -= tokens }

// placer chooses the first endpoint that is not excluded.
type placer struct {
	endpoints []proto.EndpointID
	inFlight  int
	failed    int
}

func (p *placer) Configure(proto.Instant, *note.Config) {}

func (p *placer) Choose(_ proto.Instant, q route.Query) (route.Choice, proto.Cause) {
	for _, id := range p.endpoints {
		if !slices.Contains(q.Exclude, id) {
			return route.Choice{Endpoint: id}, ""
		}
	}
	return route.Choice{}, proto.CauseNoEndpoint
}

func (p *placer) AttemptStarted(proto.Instant, proto.EndpointID, route.Query) { p.inFlight++ }
func (p *placer) AttemptEnded(proto.Instant, proto.EndpointID, route.Query)   { p.inFlight-- }
func (p *placer) Observe(proto.Instant, proto.Report, []proto.BlockHash)      {}
func (p *placer) ObserveFailure(proto.Instant, proto.EndpointID)              { p.failed++ }

// harness runs one exchange and records the messages it sends.
type harness struct {
	t            *testing.T
	now          proto.Instant
	snap         exchange.Snapshot
	limits       limiter
	placement    placer
	stats        exchange.Stats
	checks       check.Monitor
	budget       *exchange.RetryBudget
	x            *exchange.Exchange
	messages     []proto.Envelope
	dispatch     proto.Dispatch
	dispatchedTo proto.Addr
}

func newHarness(t *testing.T) *harness {
	cfg := note.Empty()
	cfg.Accounts = map[proto.AccountID]note.Account{"a": {ID: "a"}}
	cfg.Keys = map[proto.KeyHash]note.Key{"k": {Account: "a"}}
	cfg.Models = map[string]note.Model{"m": {Name: "m", Version: "1"}}
	cfg.Routes = []note.Route{{Method: "POST", Path: "/orders", Service: "orders"}}
	return &harness{
		t: t, now: start, budget: exchange.NewRetryBudget(), placement: placer{endpoints: []proto.EndpointID{"e1", "e2", "e3"}},
		snap: exchange.Snapshot{Config: cfg, Ready: true, FreshUntil: start.Add(time.Hour)},
	}
}

var generate = proto.CallerRequest{ID: "q", Key: "k", Class: proto.ClassGenerate, Model: "m", Stream: true, PromptTokens: 100, MaxTokens: 50}

var order = proto.CallerRequest{ID: "q", Key: "k", Class: proto.ClassCall, Method: "POST", Path: "/orders", Body: make([]byte, 400), IdempotencyKey: "i"}

func (h *harness) start(req proto.CallerRequest) { h.startWith(req, &h.placement) }

func (h *harness) startWith(req proto.CallerRequest, placement route.Placer) {
	deps := &exchange.Deps{
		Self: self, Snapshot: func() *exchange.Snapshot { return &h.snap }, Limits: &h.limits,
		Placement: placement, RetryBudget: h.budget, Stats: &h.stats, Checks: &h.checks, EndpointTable: exchange.NewEndpointTable(),
	}
	h.x = exchange.New(h.now, deps, req, 1)
	h.collect()
}

func (h *harness) collect() {
	for _, e := range h.x.Take() {
		h.messages = append(h.messages, e)
		if d, ok := e.Msg.(proto.Dispatch); ok {
			h.dispatch, h.dispatchedTo = d, e.To
		}
	}
}

func (h *harness) step(from proto.Addr, m proto.Message) {
	h.x.Step(h.now, proto.Envelope{From: from, To: self, Msg: m})
	h.collect()
}

// fromAgent delivers a message from the agent of the last dispatch.
func (h *harness) fromAgent(m proto.Message) { h.step(h.dispatchedTo, m) }

func (h *harness) chunk(seq proto.Seq) {
	h.fromAgent(proto.Chunk{Attempt: h.dispatch.Attempt, Seq: seq, Text: "t"})
}

func (h *harness) finish(last proto.Seq) {
	h.fromAgent(proto.Finish{Attempt: h.dispatch.Attempt, LastSeq: last, Usage: proto.Usage{PromptTokens: 100, CompletionTokens: int64(last)}})
}

func (h *harness) refused(m proto.AttemptRefused) {
	m.Attempt = h.dispatch.Attempt
	h.fromAgent(m)
}

func (h *harness) advance(d time.Duration) {
	for end := h.now.Add(d); h.now < end && !h.x.Done(); {
		h.now = min(end, max(h.now+1, h.x.Wake()))
		h.x.Tick(h.now)
		h.collect()
	}
}

func sentMessages[T proto.Message](h *harness) []T {
	var messages []T
	for _, e := range h.messages {
		if m, ok := e.Msg.(T); ok {
			messages = append(messages, m)
		}
	}
	return messages
}

// checkEnd checks how the request ended and that no dispatch is left in flight.
func (h *harness) checkEnd(cause proto.Cause, verdict proto.Verdict, tokens int64) {
	h.t.Helper()
	ended := sentMessages[proto.RequestEnded](h)
	if len(ended) != 1 {
		h.t.Fatalf("%d RequestEnded messages in step %v, want 1", len(ended), h.x.CurrentStep())
	}
	if e := ended[0]; e.Cause != cause || e.Verdict != verdict {
		h.t.Errorf("ended with cause %q, verdict %v; want %q, %v", e.Cause, e.Verdict, cause, verdict)
	}
	if h.limits.spent != tokens {
		h.t.Errorf("%d tokens charged, want %d", h.limits.spent, tokens)
	}
	if h.placement.inFlight != 0 {
		h.t.Errorf("%d dispatches left in flight", h.placement.inFlight)
	}
	if n := len(sentMessages[proto.CallerFinish](h)) + len(sentMessages[proto.CallerRefusal](h)); n != 1 {
		h.t.Errorf("the caller received %d responses, want 1", n)
	}
	if c := h.checks.Counts(check.StreamIntegrity); c.Failed > 0 {
		h.t.Errorf("%d chunks out of order", c.Failed)
	}
}

// Each case guards against a failure that gives the caller a wrong, duplicate or
// missing response or a wrong verdict, or charges a wrong number of tokens.
func TestFailures(t *testing.T) {
	reproducible := generate
	reproducible.Sampling.Seed = new(int64)
	sampled := generate
	sampled.Sampling.Temperature = 1
	resumed := generate
	resumed.Resume = &proto.ResumePoint{Request: "old", Version: "1", After: 7}
	wrongVersion := resumed
	wrongVersion.Resume = &proto.ResumePoint{Request: "old", Version: "0", After: 7}
	grant := func(h *harness) {
		h.step(self, proto.IntentDecided{Request: "q", Intent: &proto.Intent{Stream: "intent-0"}})
	}

	for name, c := range map[string]struct {
		req     proto.CallerRequest
		prepare func(h *harness)
		do      func(h *harness)
		cause   proto.Cause
		verdict proto.Verdict
		tokens  int64
		chunks  int
	}{
		"complete": {req: sampled, do: func(h *harness) { h.chunk(1); h.chunk(2); h.finish(2) }, verdict: proto.Ran, tokens: 102, chunks: 2},
		"repeated chunks and finish": {req: sampled, do: func(h *harness) {
			h.chunk(1)
			h.chunk(1)
			h.chunk(2)
			h.chunk(1)
			h.finish(2)
			h.finish(2)
		},
			verdict: proto.Ran, tokens: 102, chunks: 2},
		"sampled stream with a gap resumes at its agent": {req: sampled, do: func(h *harness) {
			h.chunk(1)
			h.chunk(3)
			if h.dispatch.ResumeAfter != 1 || h.dispatchedTo != proto.AgentAddr("e1") {
				h.t.Errorf("resumes after chunk %d at %v", h.dispatch.ResumeAfter, h.dispatchedTo)
			}
			h.chunk(2)
			h.chunk(3)
			h.finish(3)
		}, verdict: proto.Ran, tokens: 103, chunks: 3},
		"sampled stream is never spliced": {req: sampled, do: func(h *harness) {
			h.chunk(1)
			h.step(h.dispatchedTo, proto.ConnLost{Attempt: h.dispatch.Attempt})
			h.refused(proto.AttemptRefused{Cause: proto.CauseEndpointFailed, Verdict: proto.NotRun})
		}, cause: proto.CauseStreamBroken, verdict: proto.MayHaveRun, tokens: 101, chunks: 1},
		"seeded stream moves to another endpoint": {req: reproducible, do: func(h *harness) {
			h.chunk(1)
			h.step(h.dispatchedTo, proto.ConnLost{Attempt: h.dispatch.Attempt})
			h.refused(proto.AttemptRefused{Cause: proto.CauseEndpointFailed, Verdict: proto.NotRun})
			h.advance(time.Second)
			if h.dispatchedTo != proto.AgentAddr("e2") || h.dispatch.ResumeAfter != 1 {
				h.t.Errorf("resumes after chunk %d at %v", h.dispatch.ResumeAfter, h.dispatchedTo)
			}
			h.chunk(2)
			h.finish(2)
		}, verdict: proto.Ran, tokens: 102, chunks: 2},
		"early end": {req: sampled, do: func(h *harness) {
			h.chunk(1)
			h.finish(3)
			h.refused(proto.AttemptRefused{Cause: proto.CauseStreamBroken, Verdict: proto.MayHaveRun})
		}, cause: proto.CauseStreamBroken, verdict: proto.MayHaveRun, tokens: 101, chunks: 1},
		"responses of other attempts and senders": {req: sampled, do: func(h *harness) {
			h.fromAgent(proto.Chunk{Attempt: "other#1", Seq: 1, Text: "x"})
			h.step(proto.AgentAddr("e9"), proto.Chunk{Attempt: h.dispatch.Attempt, Seq: 1, Text: "x"})
			h.step(proto.Addr{}, proto.CallerGone{Request: "other"})
			h.chunk(1)
			h.finish(1)
			if n := h.stats.Misdelivered.Load(); n != 3 {
				h.t.Errorf("%d messages misdelivered, want 3", n)
			}
		}, verdict: proto.Ran, tokens: 101, chunks: 1},
		"silence moves the request": {req: sampled, do: func(h *harness) {
			h.advance(3500 * time.Millisecond)
			if h.dispatchedTo != proto.AgentAddr("e2") || len(sentMessages[proto.Cancel](h)) != 1 {
				h.t.Errorf("dispatched to %v after the silence timeout, want e2 and one Cancel", h.dispatchedTo)
			}
			h.finish(0)
		}, verdict: proto.Ran, tokens: 100},
		"caller leaves": {req: sampled, do: func(h *harness) {
			h.chunk(1)
			h.step(proto.CallerAddr("q"), proto.CallerGone{Request: "q"})
			if len(sentMessages[proto.Cancel](h)) != 1 {
				h.t.Error("the attempt was not canceled")
			}
		}, cause: proto.CauseCanceled, verdict: proto.MayHaveRun, tokens: 101, chunks: 1},
		"deadline": {req: sampled, do: func(h *harness) {
			h.fromAgent(proto.Accepted{Attempt: h.dispatch.Attempt})
			for range 130 {
				h.advance(time.Second)
				h.fromAgent(proto.Heartbeat{Attempt: h.dispatch.Attempt})
			}
		}, cause: proto.CauseDeadline, verdict: proto.MayHaveRun, tokens: 100},
		"key withdrawn on an open stream": {req: sampled, do: func(h *harness) {
			h.chunk(1)
			h.snap.Config.Keys = nil
			h.advance(time.Second)
		}, cause: proto.CauseKeyWithdrawn, verdict: proto.MayHaveRun, tokens: 101, chunks: 1},
		"key withdrawn while the router is paused": {req: sampled, do: func(h *harness) {
			h.chunk(1)
			h.snap.Config.Keys = nil
			h.now = h.now.Add(10 * time.Second)
			h.chunk(2)
		}, cause: proto.CauseKeyWithdrawn, verdict: proto.MayHaveRun, tokens: 101, chunks: 1},
		"stale router": {req: sampled, prepare: func(h *harness) { h.snap.FreshUntil = h.now }, cause: proto.CauseStale, verdict: proto.NotRun},
		"rate":         {req: sampled, prepare: func(h *harness) { h.limits.refuse = true }, cause: proto.CauseRateLimited, verdict: proto.NotRun},
		"no endpoint":  {req: sampled, prepare: func(h *harness) { h.placement.endpoints = nil }, cause: proto.CauseNoEndpoint, verdict: proto.NotRun},
		"retry budget": {req: sampled, prepare: func(h *harness) {
			for h.budget.Take() {
			}
		}, do: func(h *harness) { h.refused(proto.AttemptRefused{Cause: proto.CauseOverload, Verdict: proto.NotRun}) },
			cause: proto.CauseOverload, verdict: proto.NotRun},
		"unsent after acceptance may have run": {req: sampled, prepare: func(h *harness) { h.placement.endpoints = h.placement.endpoints[:1] }, do: func(h *harness) {
			h.fromAgent(proto.Accepted{Attempt: h.dispatch.Attempt})
			h.step(h.dispatchedTo, proto.ConnLost{Attempt: h.dispatch.Attempt, Unsent: true})
			h.advance(time.Second)
		}, cause: proto.CauseNoEndpoint, verdict: proto.MayHaveRun, tokens: 100},
		"resume": {req: resumed, do: func(h *harness) {
			if h.dispatch.ResumeAfter != 7 || h.dispatch.Request != "old" {
				h.t.Errorf("resumes %s after chunk %d", h.dispatch.Request, h.dispatch.ResumeAfter)
			}
			h.chunk(8)
			h.step(proto.CallerAddr("q"), proto.CallerGone{Request: "q"})
		}, cause: proto.CauseCanceled, verdict: proto.MayHaveRun, tokens: 101, chunks: 1},
		"resume with another version": {req: wrongVersion, cause: proto.CauseNotResumable, verdict: proto.MayHaveRun},

		"order without a decision": {req: order, do: func(h *harness) {
			h.advance(5 * time.Second)
			if len(sentMessages[proto.IntentDropped](h)) != 1 || len(sentMessages[proto.Dispatch](h)) != 0 {
				h.t.Error("the intent was not dropped")
			}
			grant(h)
			if len(sentMessages[proto.Dispatch](h)) != 0 {
				h.t.Error("dispatched after a late decision")
			}
		}, cause: proto.CauseLogUnavailable, verdict: proto.NotRun},
		"decision of another request": {req: order, do: func(h *harness) {
			h.step(self, proto.IntentDecided{Request: "other", Intent: &proto.Intent{}})
			h.advance(5 * time.Second)
		}, cause: proto.CauseLogUnavailable, verdict: proto.NotRun},
		"repeated order": {req: order, do: func(h *harness) {
			h.step(self, proto.IntentDecided{Request: "q", Cause: proto.CauseDuplicate, Verdict: proto.MayHaveRun})
		}, cause: proto.CauseDuplicate, verdict: proto.MayHaveRun},
		"replayed order": {req: order, do: func(h *harness) {
			h.step(self, proto.IntentDecided{Request: "q", Outcome: &proto.CallerFinish{Status: 201}})
		}, verdict: proto.Ran},
		"silent order is not repeated": {req: order, do: func(h *harness) {
			grant(h)
			h.advance(5 * time.Second)
			if n := len(sentMessages[proto.Dispatch](h)); n != 1 {
				h.t.Errorf("%d dispatches, want 1", n)
			}
		}, cause: proto.CauseEndpointFailed, verdict: proto.MayHaveRun, tokens: 100},
		"order at a restarted agent": {req: order, do: func(h *harness) {
			grant(h)
			h.refused(proto.AttemptRefused{Cause: proto.CauseWrongIncarnation, Verdict: proto.NotRun, Report: proto.Report{Endpoint: "e1", AgentInstance: "l2"}})
			if h.dispatch.AgentInstance != "l2" || h.dispatchedTo != proto.AgentAddr("e1") || h.dispatch.Intent == nil {
				h.t.Errorf("repeated at %v with agent incarnation %q", h.dispatchedTo, h.dispatch.AgentInstance)
			}
			h.finish(0)
		}, verdict: proto.Ran, tokens: 100},
		"forwarded order": {req: order, do: func(h *harness) {
			h.step(self, proto.IntentDecided{Request: "q", ForwardTo: "r2"})
			f := sentMessages[proto.IntentForward](h)
			if len(f) != 1 || !f[0].Request.Forwarded {
				h.t.Fatalf("forwarded messages: %+v, want one", f)
			}
			h.step(proto.RouterAddr("r3"), proto.CallerFinish{Request: "q"})
			h.step(proto.RouterAddr("r2"), proto.CallerRefusal{Request: "q", Cause: proto.CauseDuplicate, Verdict: proto.MayHaveRun})
		}, cause: proto.CauseDuplicate, verdict: proto.MayHaveRun},
		"forwarded order without a response": {req: order, do: func(h *harness) {
			h.step(self, proto.IntentDecided{Request: "q", ForwardTo: "r2"})
			h.advance(3 * time.Minute)
		}, cause: proto.CauseDeadline, verdict: proto.MayHaveRun},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			if c.prepare != nil {
				c.prepare(h)
			}
			h.start(c.req)
			if c.do != nil {
				c.do(h)
			}
			h.checkEnd(c.cause, c.verdict, c.tokens)
			if n := len(sentMessages[proto.CallerChunk](h)); n != c.chunks {
				t.Errorf("%d chunks, want %d", n, c.chunks)
			}
		})
	}
}

// Guards against a suspect that runs without a trial, and against a trial whose
// result is not reported.
func TestTrials(t *testing.T) {
	crash := proto.AttemptRefused{Cause: proto.CauseEndpointFailed, Crashed: true, Report: proto.Report{Endpoint: "e1", Incarnation: "i1"}}
	allow := proto.TrialDecided{Request: "q", OK: true, Trial: 9, TimeLimit: time.Minute}
	for name, c := range map[string]struct {
		do      func(h *harness)
		results []proto.TrialResult
		cause   proto.Cause
		verdict proto.Verdict
		tokens  int64
	}{
		"cleared": {do: func(h *harness) { h.step(self, allow); h.finish(0) }, results: []proto.TrialResult{proto.TrialCleared}, verdict: proto.Ran, tokens: 100},
		"second crash": {do: func(h *harness) {
			h.step(self, allow)
			h.refused(crash)
			h.advance(time.Second)
			h.step(self, proto.TrialDecided{Request: "q", Cause: proto.CauseQuarantined})
		}, results: []proto.TrialResult{proto.TrialCrashed}, cause: proto.CauseQuarantined, verdict: proto.MayHaveRun, tokens: 100},
		"refused": {do: func(h *harness) { h.step(self, proto.TrialDecided{Request: "q", Cause: proto.CauseSuspected}) },
			cause: proto.CauseSuspected, verdict: proto.MayHaveRun, tokens: 100},
		"too late": {do: func(h *harness) { h.advance(13 * time.Second); h.step(self, allow) }, results: []proto.TrialResult{proto.TrialUnused},
			cause: proto.CauseLogUnavailable, verdict: proto.MayHaveRun, tokens: 100},
		"too long": {do: func(h *harness) {
			h.step(self, allow)
			for range 61 {
				h.advance(time.Second)
				h.fromAgent(proto.Heartbeat{Attempt: h.dispatch.Attempt})
			}
		}, cause: proto.CauseDeadline, verdict: proto.MayHaveRun, tokens: 100},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.start(generate)
			h.refused(crash)
			h.advance(time.Second)
			if len(sentMessages[proto.CrashSeen](h)) != 1 || len(sentMessages[proto.TrialWanted](h)) != 1 || len(sentMessages[proto.Dispatch](h)) != 1 {
				t.Fatalf("unexpected messages after the crash, step %v", h.x.CurrentStep())
			}
			c.do(h)
			h.checkEnd(c.cause, c.verdict, c.tokens)
			var results []proto.TrialResult
			for _, e := range sentMessages[proto.TrialEnded](h) {
				results = append(results, e.Result)
			}
			if fmt.Sprint(results) != fmt.Sprint(c.results) {
				t.Errorf("results %v, want %v", results, c.results)
			}
			if n := len(sentMessages[proto.Dispatch](h)); n > 1 && !h.dispatch.Alone {
				t.Error("the trial does not run alone")
			}
		})
	}
}

// Guards against an attempt of a suspect that keeps running during a trial of the
// same request, and against a caller that receives the refusal after a crash before
// the other routers know of the suspect.
func TestRecallsSuspectAndDelaysRefusal(t *testing.T) {
	h := newHarness(t)
	h.start(generate)
	d := h.dispatch
	h.snap.Suspects = map[exchange.QuarantineKey]bool{{Account: "a", Fingerprint: d.Fingerprint}: true}
	h.advance(time.Second)
	if len(sentMessages[proto.Cancel](h)) != 1 || len(sentMessages[proto.TrialWanted](h)) != 1 {
		t.Errorf("the attempt was not canceled, step %v", h.x.CurrentStep())
	}

	h = newHarness(t)
	h.start(order)
	h.step(self, proto.IntentDecided{Request: "q", Intent: &proto.Intent{Stream: "intent-0"}})
	h.refused(proto.AttemptRefused{Cause: proto.CauseEndpointFailed, Crashed: true})
	if w := sentMessages[proto.TrialWanted](h); len(w) != 1 || !w[0].AwaitPropagation || len(sentMessages[proto.CallerRefusal](h)) != 0 {
		t.Errorf("the refusal was not delayed: %+v", w)
	}
	h.step(self, proto.TrialDecided{Request: "q", OK: true})
	h.checkEnd(proto.CauseEndpointFailed, proto.MayHaveRun, 100)
}

// Guards against accepting an idempotency key that is older than the period for
// which keys are remembered, and against reading an age from keys that contain no
// timestamp.
func TestKeyAge(t *testing.T) {
	created := time.UnixMilli(0x0190a0b0c0d0)
	for key, want := range map[string]time.Duration{
		"0190a0b0-c0d0-7abc-8def-0123456789ab": time.Hour,
		"0190a0b0-c0d0-4abc-8def-0123456789ab": 0,
		"0190a0b0-c0d0-7abc-cdef-0123456789ab": 0,
		"0190a0b0-c0d0-7abc-8def-0123456789xy": 0,
		"order-7":                              0,
	} {
		h := newHarness(t)
		req := order
		req.IdempotencyKey, req.ArrivedWall = key, created.Add(time.Hour)
		h.start(req)
		if w := sentMessages[proto.IntentWanted](h); len(w) != 1 || w[0].KeyAge != want {
			t.Errorf("key %s: %+v, want age %v", key, w, want)
		}
	}
}

// Guards against refusing a call whose dispatch never left the router, and against
// retrying it at the same failed endpoint.
func TestUnsentOrderIsTriedElsewhere(t *testing.T) {
	h := newHarness(t)
	h.start(order)
	h.step(self, proto.IntentDecided{Request: "q", Intent: &proto.Intent{Stream: "intent-0"}})
	h.step(h.dispatchedTo, proto.ConnLost{Attempt: h.dispatch.Attempt, Unsent: true})
	h.advance(time.Second)
	if h.dispatchedTo != proto.AgentAddr("e2") || h.dispatch.Intent == nil {
		t.Fatalf("dispatched to %v, want e2 with the intent", h.dispatchedTo)
	}
	h.finish(0)
	h.checkEnd("", proto.Ran, 100)
}
