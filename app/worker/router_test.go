package worker

import (
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/app/driver"
	"github.com/kumquatsill/kumquatsill/core/check"
	"github.com/kumquatsill/kumquatsill/core/exchange"
	"github.com/kumquatsill/kumquatsill/core/note"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/core/router"
	"github.com/kumquatsill/kumquatsill/standin/logsvc"
)

const (
	testTimeout    = time.Minute
	chunksPerReply = 5
)

// testbed is a router with the stand-in log and an agent that responds at once.
type testbed struct {
	t      *testing.T
	r      *Router
	log    *driver.Driver
	checks check.Monitor
	wg     sync.WaitGroup

	mu      sync.Mutex
	replies map[string]chan proto.Message
	seqs    map[string][]proto.Seq
}

func newTestbed(t *testing.T) *testbed {
	b := &testbed{t: t, replies: map[string]chan proto.Message{}, seqs: map[string][]proto.Seq{}}
	control := router.NewControl(router.Config{ID: "r1", Domain: "a", Addr: "127.0.0.1:1", Incarnation: "r1", Seed: 1, Checks: &b.checks})
	b.r = New(control, 4, 1, b.deliver)
	b.log = driver.New(logsvc.New(logsvc.Config{Seed: 1}), func(e proto.Envelope) { b.r.Step(e) })
	b.log.Start()
	b.r.Start()
	t.Cleanup(func() {
		if err := b.r.Stop(); err != nil {
			t.Error(err)
		}
		if err := b.log.Stop(); err != nil {
			t.Error(err)
		}
		b.wg.Wait()
	})
	b.submitNote(note.Note{Added: note.Items{
		Accounts:  []note.Account{{ID: "acme", Rate: 10_000_000, Burst: 100_000_000}},
		Keys:      []note.Key{{Hash: note.HashKey("ks-worker-0123456789"), Account: "acme"}},
		Models:    []note.Model{{Name: "m", Version: "v1"}},
		Endpoints: []note.Endpoint{{ID: "e1", Kind: note.KindEngine, Domain: "a", Addr: "127.0.0.1:2", Models: []string{"m"}}},
	}})
	b.waitUntil("tokens", func(s *exchange.Snapshot) bool { return s.Ready && s.Funded })
	return b
}

func (b *testbed) submitNote(n note.Note) {
	b.t.Helper()
	b.waitUntil("the head of the log", func(s *exchange.Snapshot) bool { return s.Ready })
	body, err := json.Marshal(n)
	if err != nil {
		b.t.Fatal(err)
	}
	operator := proto.Addr{Role: proto.RoleOperator, ID: "n"}
	outcome := b.expectReply("n")
	b.r.Step(proto.Envelope{From: operator, To: b.r.self, Msg: proto.NoteSubmit{ID: "n", Note: body}})
	if m, ok := b.waitReply(outcome).(proto.NoteOutcome); !ok || m.Status != proto.NoteAccepted {
		b.t.Fatalf("note: %+v", m)
	}
}

func (b *testbed) waitUntil(what string, done func(*exchange.Snapshot) bool) {
	b.t.Helper()
	for end := time.Now().Add(testTimeout); !done(b.r.Snapshot()); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			b.t.Fatalf("timed out waiting for %s", what)
		}
	}
}

// expectReply returns a channel for the final message to a caller or operator.
func (b *testbed) expectReply(id string) chan proto.Message {
	c := make(chan proto.Message, 1)
	b.mu.Lock()
	b.replies[id] = c
	b.mu.Unlock()
	return c
}

func (b *testbed) waitReply(c chan proto.Message) proto.Message {
	select {
	case m := <-c:
		return m
	case <-time.After(testTimeout):
		b.t.Error("timed out waiting for an answer")
		return nil
	}
}

func (b *testbed) deliver(e proto.Envelope) {
	switch e.To.Role {
	case proto.RoleLog:
		b.log.Post(e)
	case proto.RoleAgent:
		b.wg.Go(func() { b.respondAsAgent(e) })
	case proto.RoleCaller, proto.RoleOperator, proto.RoleRouter:
		b.mu.Lock()
		defer b.mu.Unlock()
		if chunk, ok := e.Msg.(proto.CallerChunk); ok {
			b.seqs[e.To.ID] = append(b.seqs[e.To.ID], chunk.Seq)
			return
		}
		if c := b.replies[replyKey(e)]; c != nil {
			c <- e.Msg
		}
	}
}

// replyKey returns the key under which expectReply waits for a message. A reply
// that goes to another router is identified by that router and the request.
func replyKey(e proto.Envelope) string {
	if m, ok := e.Msg.(proto.CallerFinish); ok && e.To.Role == proto.RoleRouter {
		return e.To.ID + "/" + string(m.Request)
	}
	return e.To.ID
}

// respondAsAgent sends the agent's responses to one message.
func (b *testbed) respondAsAgent(e proto.Envelope) {
	report := proto.Report{Endpoint: "e1", Incarnation: "i1", AgentInstance: "l1", Versions: map[string]string{"m": "v1"}}
	reply := func(m proto.Message) { b.r.Step(proto.Envelope{From: e.To, To: e.From, Msg: m}) }
	switch m := e.Msg.(type) {
	case proto.Probe:
		reply(proto.ProbeReply{Request: m.Request, Report: report})
	case proto.Dispatch:
		reply(proto.Accepted{Attempt: m.Attempt, Report: report})
		for seq := range proto.Seq(chunksPerReply) {
			reply(proto.Chunk{Attempt: m.Attempt, Seq: seq + 1, Text: "x"})
		}
		reply(proto.Finish{Attempt: m.Attempt, LastSeq: chunksPerReply, Usage: proto.Usage{}, Report: report})
	}
}

func request(id string) proto.CallerRequest {
	return proto.CallerRequest{
		ID: proto.RequestID(id), Key: note.HashKey("ks-worker-0123456789"), Class: proto.ClassGenerate,
		Method: "POST", Path: "/v1/completions", Model: "m", Stream: true, PromptTokens: 10, MaxTokens: 10,
	}
}

func (b *testbed) runRequest(id string) {
	end := b.expectReply(id)
	b.r.Step(proto.Envelope{From: proto.CallerAddr(proto.RequestID(id)), To: b.r.self, Msg: request(id)})
	if m, ok := b.waitReply(end).(proto.CallerFinish); !ok {
		b.t.Errorf("%s: %+v", id, m)
	}
}

// Guards against messages that reach the wrong worker, data races between the
// workers and the control state machine, replies to a forwarded request that do
// not go back to the forwarding router, and a drain that never completes.
func TestParallelRequests(t *testing.T) {
	const callers, each = 32, 50
	b := newTestbed(t)
	var wg sync.WaitGroup
	for c := range callers {
		wg.Go(func() {
			for n := range each {
				if t.Failed() {
					return
				}
				b.runRequest(fmt.Sprintf("q%d-%d", c, n))
			}
		})
	}
	wg.Wait()
	b.checkForwarded()
	b.mu.Lock()
	for id, seqs := range b.seqs {
		if !slices.Equal(seqs, []proto.Seq{1, 2, 3, 4, 5}) {
			t.Errorf("%s got chunks %v", id, seqs)
		}
	}
	if len(b.seqs) != callers*each+1 {
		t.Errorf("%d streams, want %d", len(b.seqs), callers*each+1)
	}
	b.mu.Unlock()
	b.r.Do(b.r.Drain)
	b.waitUntil("the router to leave", func(*exchange.Snapshot) bool {
		drained := false
		b.r.Do(func(proto.Instant) { drained = b.r.Drained() })
		return drained
	})
	for _, inv := range check.All {
		if n := b.checks.Counts(inv).Failed; n > 0 {
			t.Errorf("%s failed %d times", inv, n)
		}
	}
}

// checkForwarded checks that the reply to a request that another router
// forwarded goes to that router.
func (b *testbed) checkForwarded() {
	end := b.expectReply("r2/forwarded")
	b.r.Step(proto.Envelope{From: proto.RouterAddr("r2"), To: b.r.self, Msg: proto.IntentForward{Account: "acme", Request: request("forwarded")}})
	if m, ok := b.waitReply(end).(proto.CallerFinish); !ok {
		b.t.Errorf("forwarded: %+v", m)
	}
}
