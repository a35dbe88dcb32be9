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

// limiter counts the tokens that are out.
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

// placer takes the first endpoint that is not excluded.
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

func (p *placer) Dispatched(proto.Instant, proto.EndpointID, route.Query) { p.inFlight++ }
func (p *placer) Ended(proto.Instant, proto.EndpointID, route.Query)      { p.inFlight-- }
func (p *placer) Observe(proto.Instant, proto.Report, []proto.BlockHash)  {}
func (p *placer) Failed(proto.Instant, proto.EndpointID)                  { p.failed++ }

// bench drives one exchange by hand.
type bench struct {
	t        *testing.T
	now      proto.Instant
	snap     exchange.Snapshot
	limits   limiter
	places   placer
	stats    exchange.Stats
	checks   check.Monitor
	budget   *exchange.RetryBudget
	x        *exchange.Exchange
	out      []proto.Envelope
	dispatch proto.Dispatch
	to       proto.Addr
}

func newBench(t *testing.T) *bench {
	cfg := note.Empty()
	cfg.Accounts = map[proto.AccountID]note.Account{"a": {ID: "a"}}
	cfg.Keys = map[proto.KeyHash]note.Key{"k": {Account: "a"}}
	cfg.Models = map[string]note.Model{"m": {Name: "m", Version: "1"}}
	cfg.Routes = []note.Route{{Method: "POST", Path: "/orders", Service: "orders"}}
	return &bench{
		t: t, now: start, budget: exchange.NewRetryBudget(), places: placer{endpoints: []proto.EndpointID{"e1", "e2", "e3"}},
		snap: exchange.Snapshot{Config: cfg, Ready: true, FreshUntil: start.Add(time.Hour)},
	}
}

var generate = proto.CallerRequest{ID: "q", Key: "k", Class: proto.ClassGenerate, Model: "m", Stream: true, PromptTokens: 100, MaxTokens: 50}

var order = proto.CallerRequest{ID: "q", Key: "k", Class: proto.ClassCall, Method: "POST", Path: "/orders", Body: make([]byte, 400), IdempotencyKey: "i"}

func (b *bench) start(req proto.CallerRequest) { b.startWith(req, &b.places) }

func (b *bench) startWith(req proto.CallerRequest, places route.Placer) {
	deps := &exchange.Deps{
		Self: self, Snapshot: func() *exchange.Snapshot { return &b.snap }, Limits: &b.limits,
		Placement: places, RetryBudget: b.budget, Stats: &b.stats, Checks: &b.checks, EndpointTable: exchange.NewEndpointTable(),
	}
	b.x = exchange.New(b.now, deps, req, 1)
	b.collect()
}

func (b *bench) collect() {
	for _, e := range b.x.Take() {
		b.out = append(b.out, e)
		if d, ok := e.Msg.(proto.Dispatch); ok {
			b.dispatch, b.to = d, e.To
		}
	}
}

func (b *bench) step(from proto.Addr, m proto.Message) {
	b.x.Step(b.now, proto.Envelope{From: from, To: self, Msg: m})
	b.collect()
}

// agent sends a message from the agent of the last dispatch.
func (b *bench) agent(m proto.Message) { b.step(b.to, m) }

func (b *bench) chunk(seq proto.Seq) {
	b.agent(proto.Chunk{Attempt: b.dispatch.Attempt, Seq: seq, Text: "t"})
}

func (b *bench) finish(last proto.Seq) {
	b.agent(proto.Finish{Attempt: b.dispatch.Attempt, LastSeq: last, Usage: proto.Usage{PromptTokens: 100, CompletionTokens: int64(last)}})
}

func (b *bench) refused(m proto.AttemptRefused) {
	m.Attempt = b.dispatch.Attempt
	b.agent(m)
}

func (b *bench) wait(d time.Duration) {
	for end := b.now.Add(d); b.now < end && !b.x.Done(); {
		b.now = min(end, max(b.now+1, b.x.Wake()))
		b.x.Tick(b.now)
		b.collect()
	}
}

func sent[T proto.Message](b *bench) []T {
	var out []T
	for _, e := range b.out {
		if m, ok := e.Msg.(T); ok {
			out = append(out, m)
		}
	}
	return out
}

// ends checks how the request ended, and that nothing stays in flight.
func (b *bench) ends(cause proto.Cause, verdict proto.Verdict, tokens int64) {
	b.t.Helper()
	ended := sent[proto.RequestEnded](b)
	if len(ended) != 1 {
		b.t.Fatalf("%d ends at step %v", len(ended), b.x.CurrentStep())
	}
	if e := ended[0]; e.Cause != cause || e.Verdict != verdict {
		b.t.Errorf("ended with cause %q, verdict %v; want %q, %v", e.Cause, e.Verdict, cause, verdict)
	}
	if b.limits.spent != tokens {
		b.t.Errorf("%d tokens are spent, want %d", b.limits.spent, tokens)
	}
	if b.places.inFlight != 0 {
		b.t.Errorf("%d dispatches stay in flight", b.places.inFlight)
	}
	if n := len(sent[proto.CallerFinish](b)) + len(sent[proto.CallerRefusal](b)); n != 1 {
		b.t.Errorf("the caller got %d answers", n)
	}
	if c := b.checks.Counts(check.StreamIntegrity); c.Failed > 0 {
		b.t.Errorf("%d chunks out of order", c.Failed)
	}
}

// Each case guards against one way to give a caller a wrong, doubled or
// missing answer, a false verdict or wrong tokens.
func TestFailures(t *testing.T) {
	reproducible := generate
	reproducible.Sampling.Seed = new(int64)
	sampled := generate
	sampled.Sampling.Temperature = 1
	resumed := generate
	resumed.Resume = &proto.ResumePoint{Request: "old", Version: "1", After: 7}
	wrongVersion := resumed
	wrongVersion.Resume = &proto.ResumePoint{Request: "old", Version: "0", After: 7}
	grant := func(b *bench) {
		b.step(self, proto.IntentDecided{Request: "q", Intent: &proto.Intent{Stream: "intent-0"}})
	}

	for name, c := range map[string]struct {
		req     proto.CallerRequest
		prepare func(b *bench)
		do      func(b *bench)
		cause   proto.Cause
		verdict proto.Verdict
		tokens  int64
		chunks  int
	}{
		"complete": {req: sampled, do: func(b *bench) { b.chunk(1); b.chunk(2); b.finish(2) }, verdict: proto.Ran, tokens: 102, chunks: 2},
		"repeated chunks and finish": {req: sampled, do: func(b *bench) {
			b.chunk(1)
			b.chunk(1)
			b.chunk(2)
			b.chunk(1)
			b.finish(2)
			b.finish(2)
		},
			verdict: proto.Ran, tokens: 102, chunks: 2},
		"gap of a sampled stream is continued by its agent": {req: sampled, do: func(b *bench) {
			b.chunk(1)
			b.chunk(3)
			if b.dispatch.ResumeAfter != 1 || b.to != proto.AgentAddr("e1") {
				b.t.Errorf("resumes after %d at %v", b.dispatch.ResumeAfter, b.to)
			}
			b.chunk(2)
			b.chunk(3)
			b.finish(3)
		}, verdict: proto.Ran, tokens: 103, chunks: 3},
		"sampled stream is never spliced": {req: sampled, do: func(b *bench) {
			b.chunk(1)
			b.step(b.to, proto.ConnLost{Attempt: b.dispatch.Attempt})
			b.refused(proto.AttemptRefused{Cause: proto.CauseEndpointFailed, Verdict: proto.NotRun})
		}, cause: proto.CauseStreamBroken, verdict: proto.MayHaveRun, tokens: 101, chunks: 1},
		"seeded stream moves to another endpoint": {req: reproducible, do: func(b *bench) {
			b.chunk(1)
			b.step(b.to, proto.ConnLost{Attempt: b.dispatch.Attempt})
			b.refused(proto.AttemptRefused{Cause: proto.CauseEndpointFailed, Verdict: proto.NotRun})
			b.wait(time.Second)
			if b.to != proto.AgentAddr("e2") || b.dispatch.ResumeAfter != 1 {
				b.t.Errorf("continues after %d at %v", b.dispatch.ResumeAfter, b.to)
			}
			b.chunk(2)
			b.finish(2)
		}, verdict: proto.Ran, tokens: 102, chunks: 2},
		"early end": {req: sampled, do: func(b *bench) {
			b.chunk(1)
			b.finish(3)
			b.refused(proto.AttemptRefused{Cause: proto.CauseStreamBroken, Verdict: proto.MayHaveRun})
		}, cause: proto.CauseStreamBroken, verdict: proto.MayHaveRun, tokens: 101, chunks: 1},
		"crossed answers": {req: sampled, do: func(b *bench) {
			b.agent(proto.Chunk{Attempt: "other#1", Seq: 1, Text: "x"})
			b.step(proto.AgentAddr("e9"), proto.Chunk{Attempt: b.dispatch.Attempt, Seq: 1, Text: "x"})
			b.step(proto.Addr{}, proto.CallerGone{Request: "other"})
			b.chunk(1)
			b.finish(1)
			if n := b.stats.Misdelivered.Load(); n != 3 {
				b.t.Errorf("%d messages misdelivered, want 3", n)
			}
		}, verdict: proto.Ran, tokens: 101, chunks: 1},
		"silence moves the request": {req: sampled, do: func(b *bench) {
			b.wait(3500 * time.Millisecond)
			if b.to != proto.AgentAddr("e2") || len(sent[proto.Cancel](b)) != 1 {
				b.t.Errorf("after silence at %v", b.to)
			}
			b.finish(0)
		}, verdict: proto.Ran, tokens: 100},
		"caller leaves": {req: sampled, do: func(b *bench) {
			b.chunk(1)
			b.step(proto.CallerAddr("q"), proto.CallerGone{Request: "q"})
			if len(sent[proto.Cancel](b)) != 1 {
				b.t.Error("the attempt was not canceled")
			}
		}, cause: proto.CauseCanceled, verdict: proto.MayHaveRun, tokens: 101, chunks: 1},
		"deadline": {req: sampled, do: func(b *bench) {
			b.agent(proto.Accepted{Attempt: b.dispatch.Attempt})
			for range 130 {
				b.wait(time.Second)
				b.agent(proto.Heartbeat{Attempt: b.dispatch.Attempt})
			}
		}, cause: proto.CauseDeadline, verdict: proto.MayHaveRun, tokens: 100},
		"key withdrawn on an open stream": {req: sampled, do: func(b *bench) {
			b.chunk(1)
			b.snap.Config.Keys = nil
			b.wait(time.Second)
		}, cause: proto.CauseKeyWithdrawn, verdict: proto.MayHaveRun, tokens: 101, chunks: 1},
		"key withdrawn while the router is paused": {req: sampled, do: func(b *bench) {
			b.chunk(1)
			b.snap.Config.Keys = nil
			b.now = b.now.Add(10 * time.Second)
			b.chunk(2)
		}, cause: proto.CauseKeyWithdrawn, verdict: proto.MayHaveRun, tokens: 101, chunks: 1},
		"stale router": {req: sampled, prepare: func(b *bench) { b.snap.FreshUntil = b.now }, cause: proto.CauseStale, verdict: proto.NotRun},
		"rate":         {req: sampled, prepare: func(b *bench) { b.limits.refuse = true }, cause: proto.CauseRateLimited, verdict: proto.NotRun},
		"no endpoint":  {req: sampled, prepare: func(b *bench) { b.places.endpoints = nil }, cause: proto.CauseNoEndpoint, verdict: proto.NotRun},
		"retry budget": {req: sampled, prepare: func(b *bench) {
			for b.budget.Take() {
			}
		}, do: func(b *bench) { b.refused(proto.AttemptRefused{Cause: proto.CauseOverload, Verdict: proto.NotRun}) },
			cause: proto.CauseOverload, verdict: proto.NotRun},
		"unsent after an answer may have run": {req: sampled, prepare: func(b *bench) { b.places.endpoints = b.places.endpoints[:1] }, do: func(b *bench) {
			b.agent(proto.Accepted{Attempt: b.dispatch.Attempt})
			b.step(b.to, proto.ConnLost{Attempt: b.dispatch.Attempt, Unsent: true})
			b.wait(time.Second)
		}, cause: proto.CauseNoEndpoint, verdict: proto.MayHaveRun, tokens: 100},
		"resume": {req: resumed, do: func(b *bench) {
			if b.dispatch.ResumeAfter != 7 || b.dispatch.Request != "old" {
				b.t.Errorf("resumes %s after %d", b.dispatch.Request, b.dispatch.ResumeAfter)
			}
			b.chunk(8)
			b.step(proto.CallerAddr("q"), proto.CallerGone{Request: "q"})
		}, cause: proto.CauseCanceled, verdict: proto.MayHaveRun, tokens: 101, chunks: 1},
		"resume with another version": {req: wrongVersion, cause: proto.CauseNotResumable, verdict: proto.MayHaveRun},

		"order without a decision": {req: order, do: func(b *bench) {
			b.wait(5 * time.Second)
			if len(sent[proto.IntentDropped](b)) != 1 || len(sent[proto.Dispatch](b)) != 0 {
				b.t.Error("the intent was not dropped")
			}
			grant(b)
			if len(sent[proto.Dispatch](b)) != 0 {
				b.t.Error("a late decision was dispatched")
			}
		}, cause: proto.CauseLogUnavailable, verdict: proto.NotRun},
		"decision of another request": {req: order, do: func(b *bench) {
			b.step(self, proto.IntentDecided{Request: "other", Intent: &proto.Intent{}})
			b.wait(5 * time.Second)
		}, cause: proto.CauseLogUnavailable, verdict: proto.NotRun},
		"repeated order": {req: order, do: func(b *bench) {
			b.step(self, proto.IntentDecided{Request: "q", Cause: proto.CauseDuplicate, Verdict: proto.MayHaveRun})
		}, cause: proto.CauseDuplicate, verdict: proto.MayHaveRun},
		"replayed order": {req: order, do: func(b *bench) {
			b.step(self, proto.IntentDecided{Request: "q", Outcome: &proto.CallerFinish{Status: 201}})
		}, verdict: proto.Ran},
		"silent order is not repeated": {req: order, do: func(b *bench) {
			grant(b)
			b.wait(5 * time.Second)
			if n := len(sent[proto.Dispatch](b)); n != 1 {
				b.t.Errorf("%d dispatches", n)
			}
		}, cause: proto.CauseEndpointFailed, verdict: proto.MayHaveRun, tokens: 100},
		"order at a restarted agent": {req: order, do: func(b *bench) {
			grant(b)
			b.refused(proto.AttemptRefused{Cause: proto.CauseWrongIncarnation, Verdict: proto.NotRun, Report: proto.Report{Endpoint: "e1", AgentInstance: "l2"}})
			if b.dispatch.AgentInstance != "l2" || b.to != proto.AgentAddr("e1") || b.dispatch.Intent == nil {
				b.t.Errorf("repeated at %v with life %q", b.to, b.dispatch.AgentInstance)
			}
			b.finish(0)
		}, verdict: proto.Ran, tokens: 100},
		"forwarded order": {req: order, do: func(b *bench) {
			b.step(self, proto.IntentDecided{Request: "q", ForwardTo: "r2"})
			f := sent[proto.IntentForward](b)
			if len(f) != 1 || !f[0].Request.Forwarded {
				b.t.Fatalf("forwards %+v", f)
			}
			b.step(proto.RouterAddr("r3"), proto.CallerFinish{Request: "q"})
			b.step(proto.RouterAddr("r2"), proto.CallerRefusal{Request: "q", Cause: proto.CauseDuplicate, Verdict: proto.MayHaveRun})
		}, cause: proto.CauseDuplicate, verdict: proto.MayHaveRun},
		"forwarded order without an answer": {req: order, do: func(b *bench) {
			b.step(self, proto.IntentDecided{Request: "q", ForwardTo: "r2"})
			b.wait(3 * time.Minute)
		}, cause: proto.CauseDeadline, verdict: proto.MayHaveRun},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			if c.prepare != nil {
				c.prepare(b)
			}
			b.start(c.req)
			if c.do != nil {
				c.do(b)
			}
			b.ends(c.cause, c.verdict, c.tokens)
			if n := len(sent[proto.CallerChunk](b)); n != c.chunks {
				t.Errorf("%d chunks, want %d", n, c.chunks)
			}
		})
	}
}

// Guards against a suspect that runs without a trial, and against a trial
// whose result is not told.
func TestTrials(t *testing.T) {
	crash := proto.AttemptRefused{Cause: proto.CauseEndpointFailed, Crashed: true, Report: proto.Report{Endpoint: "e1", Incarnation: "i1"}}
	allow := proto.TrialDecided{Request: "q", OK: true, Trial: 9, TimeLimit: time.Minute}
	for name, c := range map[string]struct {
		do      func(b *bench)
		results []proto.TrialResult
		cause   proto.Cause
		verdict proto.Verdict
		tokens  int64
	}{
		"cleared": {do: func(b *bench) { b.step(self, allow); b.finish(0) }, results: []proto.TrialResult{proto.TrialCleared}, verdict: proto.Ran, tokens: 100},
		"second crash": {do: func(b *bench) {
			b.step(self, allow)
			b.refused(crash)
			b.wait(time.Second)
			b.step(self, proto.TrialDecided{Request: "q", Cause: proto.CauseQuarantined})
		}, results: []proto.TrialResult{proto.TrialCrashed}, cause: proto.CauseQuarantined, verdict: proto.MayHaveRun, tokens: 100},
		"refused": {do: func(b *bench) { b.step(self, proto.TrialDecided{Request: "q", Cause: proto.CauseSuspected}) },
			cause: proto.CauseSuspected, verdict: proto.MayHaveRun, tokens: 100},
		"too late": {do: func(b *bench) { b.wait(13 * time.Second); b.step(self, allow) }, results: []proto.TrialResult{proto.TrialUnused},
			cause: proto.CauseLogUnavailable, verdict: proto.MayHaveRun, tokens: 100},
		"too long": {do: func(b *bench) {
			b.step(self, allow)
			for range 61 {
				b.wait(time.Second)
				b.agent(proto.Heartbeat{Attempt: b.dispatch.Attempt})
			}
		}, cause: proto.CauseDeadline, verdict: proto.MayHaveRun, tokens: 100},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			b.start(generate)
			b.refused(crash)
			b.wait(time.Second)
			if len(sent[proto.CrashSeen](b)) != 1 || len(sent[proto.TrialWanted](b)) != 1 || len(sent[proto.Dispatch](b)) != 1 {
				t.Fatalf("after the crash: step %v", b.x.CurrentStep())
			}
			c.do(b)
			b.ends(c.cause, c.verdict, c.tokens)
			var results []proto.TrialResult
			for _, e := range sent[proto.TrialEnded](b) {
				results = append(results, e.Result)
			}
			if fmt.Sprint(results) != fmt.Sprint(c.results) {
				t.Errorf("results %v, want %v", results, c.results)
			}
			if n := len(sent[proto.Dispatch](b)); n > 1 && !b.dispatch.Alone {
				t.Error("the trial does not run alone")
			}
		})
	}
}

// Guards against a copy of a suspect that runs on beside a trial, and against
// a caller that learns of a crash before the other routers.
func TestRecallAndHold(t *testing.T) {
	b := newBench(t)
	b.start(generate)
	d := b.dispatch
	b.snap.Suspects = map[exchange.QuarantineKey]bool{{Account: "a", Fingerprint: d.Fingerprint}: true}
	b.wait(time.Second)
	if len(sent[proto.Cancel](b)) != 1 || len(sent[proto.TrialWanted](b)) != 1 {
		t.Errorf("the copy was not recalled: step %v", b.x.CurrentStep())
	}

	b = newBench(t)
	b.start(order)
	b.step(self, proto.IntentDecided{Request: "q", Intent: &proto.Intent{Stream: "intent-0"}})
	b.refused(proto.AttemptRefused{Cause: proto.CauseEndpointFailed, Crashed: true})
	if w := sent[proto.TrialWanted](b); len(w) != 1 || !w[0].AwaitPropagation || len(sent[proto.CallerRefusal](b)) != 0 {
		t.Errorf("the answer is not held: %+v", w)
	}
	b.step(self, proto.TrialDecided{Request: "q", OK: true})
	b.ends(proto.CauseEndpointFailed, proto.MayHaveRun, 100)
}

// Guards against a key that is too old to be recognised and goes unnoticed,
// and against an age that is read out of keys that carry none.
func TestKeyAge(t *testing.T) {
	created := time.UnixMilli(0x0190a0b0c0d0)
	for key, want := range map[string]time.Duration{
		"0190a0b0-c0d0-7abc-8def-0123456789ab": time.Hour,
		"0190a0b0-c0d0-4abc-8def-0123456789ab": 0,
		"0190a0b0-c0d0-7abc-cdef-0123456789ab": 0,
		"0190a0b0-c0d0-7abc-8def-0123456789xy": 0,
		"order-7":                              0,
	} {
		b := newBench(t)
		req := order
		req.IdempotencyKey, req.ArrivedWall = key, created.Add(time.Hour)
		b.start(req)
		if w := sent[proto.IntentWanted](b); len(w) != 1 || w[0].KeyAge != want {
			t.Errorf("key %s: %+v, want age %v", key, w, want)
		}
	}
}

// Guards against a call that is refused although its dispatch never left the
// router, and against a retry at the same dead endpoint.
func TestUnsentOrderIsTriedElsewhere(t *testing.T) {
	b := newBench(t)
	b.start(order)
	b.step(self, proto.IntentDecided{Request: "q", Intent: &proto.Intent{Stream: "intent-0"}})
	b.step(b.to, proto.ConnLost{Attempt: b.dispatch.Attempt, Unsent: true})
	b.wait(time.Second)
	if b.to != proto.AgentAddr("e2") || b.dispatch.Intent == nil {
		t.Fatalf("dispatched to %v", b.to)
	}
	b.finish(0)
	b.ends("", proto.Ran, 100)
}
