package agent

import (
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/core/check"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

const second = proto.Instant(time.Second)

var (
	routerA  = proto.RouterAddr("a")
	routerB  = proto.RouterAddr("b")
	engineE1 = proto.EngineAddr("e1")
)

func newAgent(t *testing.T) *Agent {
	t.Helper()
	checks := &check.Monitor{OnFail: func(inv check.Invariant, detail string) { t.Errorf("%s: %s", inv, detail) }}
	a := New(Config{Endpoint: "e1", Incarnation: "agent-1", Checks: checks})
	a.Step(0, proto.Envelope{From: engineE1, Msg: proto.EngineUp{
		Incarnation: "engine-1", Versions: map[string]string{"m": "v1"}, BatchSize: 2,
	}})
	a.Take()
	return a
}

func newGeneration(id proto.AttemptID) proto.Dispatch {
	return proto.Dispatch{
		Attempt: id, Request: id.Request(), Account: "acme", Class: proto.ClassGenerate, Endpoint: "e1",
		Model: "m", Version: "v1", MaxTokens: 4, PromptTokens: 100, Timeout: 30 * time.Second,
	}
}

func newCall(id proto.AttemptID, offset proto.Offset) proto.Dispatch {
	return proto.Dispatch{
		Attempt: id, Request: id.Request(), Account: "acme", Class: proto.ClassCall, Endpoint: "e1",
		Method: "POST", Path: "/orders", Timeout: 30 * time.Second, AgentInstance: "agent-1",
		Intent: &proto.Intent{Stream: "intent-0", Offset: offset, Key: "k"},
	}
}

// sent returns the messages of type M among those that the agent has sent since the
// outbox was last emptied.
func sent[M proto.Message](a *Agent) []M {
	var out []M
	for _, e := range a.Take() {
		if m, ok := e.Msg.(M); ok {
			out = append(out, m)
		}
	}
	return out
}

func sendToken(a *Agent, now proto.Instant, run proto.AttemptID, seq proto.Seq) {
	a.Step(now, proto.Envelope{From: engineE1, Msg: proto.EngineToken{Attempt: run, Seq: seq, Text: "x"}})
}

// Guards against running a dispatch twice because the network delivered it twice.
func TestDuplicateDispatchRunsOnce(t *testing.T) {
	a := newAgent(t)
	for range 2 {
		a.Step(second, proto.Envelope{From: routerA, Msg: newCall("q#1", 7)})
	}
	if calls := sent[proto.EngineCall](a); len(calls) != 1 {
		t.Errorf("%d calls, want 1", len(calls))
	}
}

// Guards against running an intent again under another attempt, even after its first
// run has ended.
func TestIntentRunsOncePerIncarnation(t *testing.T) {
	a := newAgent(t)
	a.Step(second, proto.Envelope{From: routerA, Msg: newCall("q#1", 7)})
	a.Step(second, proto.Envelope{From: engineE1, Msg: proto.EngineDone{Attempt: "q#1", Status: 200}})
	a.Take()
	a.Step(2*second, proto.Envelope{From: routerB, Msg: newCall("q#2", 7)})
	refused := sent[proto.AttemptRefused](a)
	if len(refused) != 1 || refused[0].Verdict != proto.MayHaveRun {
		t.Errorf("refusals %+v, want one with verdict may_have_run", refused)
	}
}

// Guards against running a call that was delayed across a restart of the agent: the
// new incarnation does not know whether the call has run.
func TestCallForAnotherIncarnationIsRefused(t *testing.T) {
	a := newAgent(t)
	d := newCall("q#1", 7)
	d.AgentInstance = "agent-0"
	a.Step(second, proto.Envelope{From: routerA, Msg: d})
	refused := sent[proto.AttemptRefused](a)
	if len(refused) != 1 || refused[0].Cause != proto.CauseWrongIncarnation || refused[0].Verdict != proto.NotRun {
		t.Fatalf("refusals %+v, want one for the wrong incarnation", refused)
	}
	if refused[0].Report.AgentInstance != "agent-1" {
		t.Errorf("the report has agent instance %q, want agent-1", refused[0].Report.AgentInstance)
	}
}

// Guards against running a dispatch for another endpoint, or for weights or an
// adapter that the engine has not loaded.
func TestMisdirectedDispatchIsRefused(t *testing.T) {
	crossed := newGeneration("q#1")
	crossed.Endpoint = "e2"
	older := newGeneration("r#1")
	older.Version = "v0"
	adapter := newGeneration("s#1")
	adapter.Adapter = "unknown"
	for _, c := range []struct {
		dispatch proto.Dispatch
		cause    proto.Cause
	}{{crossed, proto.CauseCrossed}, {older, proto.CauseWrongVersion}, {adapter, proto.CauseWrongVersion}} {
		a := newAgent(t)
		a.Step(second, proto.Envelope{From: routerA, Msg: c.dispatch})
		refused := sent[proto.AttemptRefused](a)
		if len(refused) != 1 || refused[0].Cause != c.cause || refused[0].Verdict != proto.NotRun {
			t.Errorf("refusals %+v, want one with cause %s", refused, c.cause)
		}
	}
}

// Guards against chunks that are lost or repeated when another router resumes a
// stream.
func TestReattachSendsTheRestOfTheStream(t *testing.T) {
	a := newAgent(t)
	a.Step(second, proto.Envelope{From: routerA, Msg: newGeneration("q#1")})
	sendToken(a, second, "q#1", 1)
	sendToken(a, second, "q#1", 2)
	a.Step(second, proto.Envelope{From: proto.AgentAddr("e1"), Msg: proto.ConnLost{Attempt: "q#1"}})
	sendToken(a, second, "q#1", 3)
	a.Take()

	again := newGeneration("q#2")
	again.ResumeAfter = 1
	a.Step(2*second, proto.Envelope{From: routerB, Msg: again})
	sendToken(a, 2*second, "q#1", 4)
	a.Step(2*second, proto.Envelope{From: engineE1, Msg: proto.EngineDone{Attempt: "q#1", LastSeq: 4}})
	var seqs []proto.Seq
	for _, e := range a.Take() {
		switch m := e.Msg.(type) {
		case proto.Chunk:
			if e.To != routerB || m.Attempt != "q#2" {
				t.Errorf("chunk %d goes to %v as %s", m.Seq, e.To, m.Attempt)
			}
			seqs = append(seqs, m.Seq)
		case proto.Finish:
			if m.LastSeq != 4 || m.Attempt != "q#2" {
				t.Errorf("finish %+v", m)
			}
		case proto.EngineRun:
			t.Error("the stream was started a second time")
		}
	}
	if len(seqs) != 3 || seqs[0] != 2 || seqs[2] != 4 {
		t.Errorf("chunks %v, want 2 to 4", seqs)
	}
}

// Guards against an account that attaches to the stream of another account by
// guessing its request id.
func TestReattachIsBoundToTheAccount(t *testing.T) {
	a := newAgent(t)
	a.Step(second, proto.Envelope{From: routerA, Msg: newGeneration("q#1")})
	sendToken(a, second, "q#1", 1)
	a.Take()
	other := newGeneration("q#2")
	other.Account = "other"
	a.Step(second, proto.Envelope{From: routerB, Msg: other})
	if chunks := sent[proto.Chunk](a); len(chunks) != 0 {
		t.Errorf("another account received %d chunks", len(chunks))
	}
}

// Guards against an engine crash that leaves routers without a reply, and against
// reporting queued jobs as run.
func TestEngineCrashEndsRunsAndRefusesQueuedJobs(t *testing.T) {
	a := newAgent(t)
	for _, id := range []proto.AttemptID{"q#1", "r#1", "s#1"} {
		a.Step(second, proto.Envelope{From: routerA, Msg: newGeneration(id)})
	}
	a.Take()
	a.Step(second, proto.Envelope{From: engineE1, Msg: proto.EngineDown{Incarnation: "engine-1"}})
	verdicts := map[proto.Verdict]int{}
	for _, r := range sent[proto.AttemptRefused](a) {
		verdicts[r.Verdict]++
		if r.Crashed != (r.Verdict == proto.MayHaveRun) {
			t.Errorf("refusal %+v: crashed does not match the verdict", r)
		}
	}
	if verdicts[proto.MayHaveRun] != 2 || verdicts[proto.NotRun] != 1 {
		t.Errorf("verdicts %v, want 2 that may have run and 1 that did not run", verdicts)
	}
}

// Guards against counting cached blocks of a stopped engine for its next incarnation.
func TestIndexIsResetWithTheEngine(t *testing.T) {
	a := newAgent(t)
	a.Step(second, proto.Envelope{From: engineE1, Msg: proto.CacheList{Incarnation: "engine-1", Blocks: []proto.BlockHash{1, 2}}})
	if n := a.report([]proto.BlockHash{1, 2}).MatchedBlocks; n != 2 {
		t.Fatalf("%d blocks match, want 2", n)
	}
	a.Step(second, proto.Envelope{From: engineE1, Msg: proto.EngineUp{Incarnation: "engine-2", Versions: map[string]string{"m": "v1"}}})
	if n := a.report([]proto.BlockHash{1, 2}).MatchedBlocks; n != 0 {
		t.Errorf("%d blocks match in the new incarnation, want 0", n)
	}
}

// Guards against a shutdown that interrupts accepted jobs or accepts new ones.
func TestDrainFinishesAcceptedJobs(t *testing.T) {
	a := newAgent(t)
	a.Step(second, proto.Envelope{From: routerA, Msg: newGeneration("q#1")})
	a.Drain()
	a.Take()
	a.Step(second, proto.Envelope{From: routerA, Msg: newGeneration("r#1")})
	if refused := sent[proto.AttemptRefused](a); len(refused) != 1 || refused[0].Cause != proto.CauseLeaving {
		t.Errorf("refusals %+v, want one for leaving", refused)
	}
	if a.Drained() {
		t.Error("drained while a stream is open")
	}
	a.Step(second, proto.Envelope{From: engineE1, Msg: proto.EngineDone{Attempt: "q#1"}})
	if !a.Drained() {
		t.Error("not drained after the last stream ended")
	}
}

// Guards against forwarding orders of a previous lease holder to engines that do not
// check fencing tokens.
func TestOldFencingTokenIsRefused(t *testing.T) {
	a := newAgent(t)
	a.Step(second, proto.Envelope{From: routerA, Msg: proto.Order{ID: "new", Fence: 9, Endpoint: "e1"}})
	a.Step(second, proto.Envelope{From: routerB, Msg: proto.Order{ID: "old", Fence: 8, Endpoint: "e1"}})
	var passed []string
	for _, e := range a.Take() {
		switch m := e.Msg.(type) {
		case proto.EngineOrder:
			passed = append(passed, m.Order.ID)
		case proto.OrderDone:
			if m.ID != "old" || m.OK {
				t.Errorf("unexpected reply %+v", m)
			}
		}
	}
	if len(passed) != 1 || passed[0] != "new" {
		t.Errorf("orders %v reached the engine, want only the new one", passed)
	}
}

// Guards against a set of recent ids that loses a member too early or grows without
// bound.
func TestRecentSetReplacesTheOldest(t *testing.T) {
	r := newRecentSet[int](3)
	for i := range 4 {
		r.add(i)
	}
	if r.has(0) || !r.has(1) || !r.has(3) || len(r.members) != 3 {
		t.Errorf("members %v, want 1 to 3", r.members)
	}
}

// Guards against running dispatches that arrived while the agent was paused: their
// routers have abandoned them, and the endpoint may have been told to leave since.
func TestDispatchDuringAPauseIsRefused(t *testing.T) {
	a := newAgent(t)
	a.Tick(second)
	a.Step(6*second, proto.Envelope{From: routerA, Msg: newGeneration("q#1")})
	if refused := sent[proto.AttemptRefused](a); len(refused) != 1 || refused[0].Verdict != proto.NotRun {
		t.Errorf("refusals %+v, want one as not run", refused)
	}
	a.Tick(7 * second)
	a.Step(7*second, proto.Envelope{From: routerA, Msg: newGeneration("r#1")})
	if runs := sent[proto.EngineRun](a); len(runs) != 1 {
		t.Errorf("%d runs a second later, want 1", len(runs))
	}
}
