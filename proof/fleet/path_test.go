package fleet_test

import (
	"strings"
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/core/note"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/proof/drive"
	"github.com/kumquatsill/kumquatsill/proof/fleet"
	"github.com/kumquatsill/kumquatsill/standin/engine"
)

const key proto.KeyHash = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"

func smallNote() note.Note {
	return note.Note{Added: note.Items{
		Accounts: []note.Account{{ID: "acme", Rate: 100_000, Burst: 1_000_000}},
		Keys:     []note.Key{{Hash: key, Account: "acme"}},
		Models:   []note.Model{{Name: "assistant", Version: "v1"}},
		Endpoints: []note.Endpoint{
			{ID: "e1", Kind: note.KindEngine, Domain: "d0", Addr: "127.0.0.1:7101", Models: []string{"assistant"}},
			{ID: "e2", Kind: note.KindEngine, Domain: "d1", Addr: "127.0.0.1:7102", Models: []string{"assistant"}},
		},
	}}
}

func generation(id proto.RequestID) proto.CallerRequest {
	return proto.CallerRequest{
		ID: id, Key: key, Class: proto.ClassGenerate, Method: "POST", Path: "/v1/completions",
		Model: "assistant", Stream: true, Body: []byte(`{"prompt":"hello"}`), MaxTokens: 12, PromptTokens: 5000,
		Pieces: []uint64{1, 2}, Timeout: 30 * time.Second,
	}
}

func startSmall(t *testing.T, seed uint64) *fleet.Fleet {
	t.Helper()
	f := fleet.Start(fleet.Config{Drive: drive.Config{Seed: seed}, Routers: 2, Domains: []proto.Domain{"d0", "d1"}, Note: smallNote()})
	if !f.WaitReady(1) {
		t.Fatalf("the first note is not in force; outcomes: %+v", f.Callers.NoteOutcomes)
	}
	f.Sim.Run(time.Second)
	return f
}

// Guards against a request that does not reach an engine, and against a response
// that does not reach the caller completely and in order.
func TestRequestPath(t *testing.T) {
	f := startSmall(t, 1)
	a := f.Callers.Send(f.RouterAddr(1), generation("q1"))
	f.Sim.Run(20 * time.Second)
	if a.Finish == nil {
		t.Fatalf("no response; refusal %+v", a.Refusal)
	}
	if len(a.Chunks) != 12 || a.Finish.Usage.CompletionTokens != 12 {
		t.Errorf("%d chunks, usage %+v, want 12 tokens", len(a.Chunks), a.Finish.Usage)
	}
	var want strings.Builder
	for seq := proto.Seq(1); seq <= 12; seq++ {
		want.WriteString(engine.Token(engine.Prompt(a.Request.Body), "v1", "", a.Request.Sampling, seq))
	}
	if a.Text() != want.String() {
		t.Errorf("text %q, want %q", a.Text(), want.String())
	}
}

// Guards against a request that is served without a key that is in force.
func TestUnknownKeyIsRefused(t *testing.T) {
	f := startSmall(t, 1)
	req := generation("q1")
	req.Key = "00"
	a := f.Callers.Send(f.RouterAddr(0), req)
	f.Sim.Run(time.Second)
	if a.Refusal == nil || a.Refusal.Cause != proto.CauseUnknownKey || a.Refusal.Verdict != proto.NotRun {
		t.Errorf("refusal %+v, want %s with verdict not_run", a.Refusal, proto.CauseUnknownKey)
	}
}
