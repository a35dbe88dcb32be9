package drive_test

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/kumquatsill/kumquatsill/core/agent"
	"github.com/kumquatsill/kumquatsill/core/note"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/core/router"
	"github.com/kumquatsill/kumquatsill/proof/drive"
	"github.com/kumquatsill/kumquatsill/standin/engine"
	"github.com/kumquatsill/kumquatsill/standin/logsvc"
)

// printer stands in for callers and operators and prints the messages to them.
type printer struct{ proto.Outbox }

func (printer) Step(_ proto.Instant, in proto.Envelope) {
	switch m := in.Msg.(type) {
	case proto.NoteOutcome:
		fmt.Printf("%s: note %s, revision %d\n", in.To, m.Status, m.Revision)
	case proto.CallerFinish:
		fmt.Printf("%s: %d tokens from %s\n", in.To, m.Usage.CompletionTokens, m.Endpoint)
	case proto.CallerRefusal:
		fmt.Printf("%s: refused as %s, %s\n", in.To, m.Cause, m.Verdict)
	}
}

func (printer) Tick(proto.Instant)  {}
func (printer) Wake() proto.Instant { return proto.Never }

// A simulation holds nodes, delivers their messages and advances the time. Here
// a router, an agent, an engine and the log serve one request. The router then
// crashes, and a new one without state serves the next request.
func Example() {
	const key proto.KeyHash = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"
	sim := drive.New(drive.Config{Seed: 1})
	sim.Add(proto.Log, logsvc.New(logsvc.Config{}), 0)
	sim.Add(proto.EngineAddr("e1"), engine.New(engine.Config{Endpoint: "e1", Versions: map[string]string{"m": "v1"}}), 0)
	sim.Add(proto.AgentAddr("e1"), agent.New(agent.Config{Endpoint: "e1", Incarnation: "e1-1"}), 0)
	sim.AddRoleHandler(proto.RoleCaller, &printer{})
	sim.AddRoleHandler(proto.RoleOperator, &printer{})
	start := func(id proto.RouterID) proto.Addr {
		sim.Add(proto.RouterAddr(id), router.New(router.Config{ID: id, Addr: "127.0.0.1:1", Incarnation: proto.Incarnation(id)}), 0)
		sim.Run(20 * time.Second)
		return proto.RouterAddr(id)
	}
	send := func(via proto.Addr, id proto.RequestID) {
		sim.Inject(proto.Envelope{From: proto.CallerAddr(id), To: via, Msg: proto.CallerRequest{
			ID: id, Key: key, Class: proto.ClassGenerate, Path: "/v1/completions", Model: "m",
			MaxTokens: 5, PromptTokens: 100, Timeout: time.Minute,
		}})
		sim.Run(5 * time.Second)
	}

	r1 := start("r1")
	first, _ := json.Marshal(note.Note{Added: note.Items{
		Accounts:  []note.Account{{ID: "acme", Rate: 1000, Burst: 10_000}},
		Keys:      []note.Key{{Hash: key, Account: "acme"}},
		Models:    []note.Model{{Name: "m", Version: "v1"}},
		Endpoints: []note.Endpoint{{ID: "e1", Kind: note.KindEngine, Domain: "d", Addr: "127.0.0.1:2", Models: []string{"m"}}},
	}})
	sim.Inject(proto.Envelope{
		From: proto.Addr{Role: proto.RoleOperator, ID: "op"}, To: r1, Msg: proto.NoteSubmit{ID: "first", Note: first},
	})
	sim.Run(20 * time.Second)
	send(r1, "q1")

	sim.Crash(r1)
	send(start("r2"), "q2")
	// Output:
	// operator/op: note accepted, revision 1
	// caller/q1: 5 tokens from e1
	// caller/q2: 5 tokens from e1
}
