package scenario_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/core/check"
	"github.com/kumquatsill/kumquatsill/core/configlog"
	"github.com/kumquatsill/kumquatsill/core/limit"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/proof/drive"
	"github.com/kumquatsill/kumquatsill/proof/scenario"
)

// mutation breaks the mechanism behind one invariant. alter replaces messages that
// are sent, limiter wraps the limiter of each router, and action drives the run.
type mutation struct {
	invariant check.Invariant
	alter     func(e proto.Envelope) proto.Envelope
	limiter   func(limit.Limiter) limit.Limiter
	action    func(r *scenario.Run)
}

var noReceiver = proto.Addr{Role: "nobody"}

// edit returns a function that changes the messages of one type.
func edit[T proto.Message](change func(e proto.Envelope, m T) proto.Message) func(proto.Envelope) proto.Envelope {
	return func(e proto.Envelope) proto.Envelope {
		if m, ok := e.Msg.(T); ok {
			e.Msg = change(e, m)
		}
		return e
	}
}

// editNotes returns a function that changes the release notes that are read from
// the log.
func editNotes(change func(n *configlog.ReleaseNote)) func(proto.Envelope) proto.Envelope {
	return edit(func(_ proto.Envelope, m proto.LogRecords) proto.Message {
		for i, rec := range m.Records {
			var n configlog.ReleaseNote
			if rec.Kind != configlog.KindReleaseNote || json.Unmarshal(rec.Body, &n) != nil {
				continue
			}
			change(&n)
			m.Records[i].Body, _ = json.Marshal(n)
		}
		return m
	})
}

type unlimitedLimiter struct{ limit.Limiter }

func (unlimitedLimiter) Spend(proto.Instant, proto.AccountID, int64) limit.Decision {
	return limit.Decision{OK: true}
}

func sendGenerations(n int) func(*scenario.Run) {
	return func(r *scenario.Run) {
		for i := range n {
			req := r.Generation(0, uint64(i))
			req.Sampling = proto.Sampling{}
			r.Send(0, req)
		}
	}
}

func injectFault(name string) func(*scenario.Run) {
	return func(r *scenario.Run) {
		r.Target = &scenario.Target{Endpoint: scenario.EngineID(0)}
		for _, f := range scenario.Faults() {
			if f.Name == name {
				f.Inject(r)
			}
		}
	}
}

// injectUnderLoad returns an action that injects a fault and then sends requests of
// the account that the fault hits.
func injectUnderLoad(name string) func(*scenario.Run) {
	return func(r *scenario.Run) {
		req := r.Generation(0, 0)
		injectFault(name)(r)
		for i := range 40 {
			again := req
			again.ID += proto.RequestID(rune('a' + i))
			again.Pieces = []uint64{uint64(i)}
			again.PromptTokens = 2500
			r.Send(i%3, again)
			r.Sim.Run(250 * time.Millisecond)
		}
	}
}

func mutations() []mutation {
	duplicated := false
	return []mutation{
		{invariant: check.CacheIsolation, action: sendGenerations(1), alter: edit(func(_ proto.Envelope, m proto.EngineRun) proto.Message {
			m.Blocks = append([]proto.BlockHash{m.Blocks[0] + 1}, m.Blocks[1:]...)
			return m
		})},
		{invariant: check.StreamIntegrity, action: sendGenerations(1), alter: edit(func(_ proto.Envelope, m proto.EngineToken) proto.Message {
			if m.Seq == 3 {
				m.Text = "other"
			}
			return m
		})},
		{invariant: check.WarmRestart, action: injectFault("router-herd-restart"), alter: func(e proto.Envelope) proto.Envelope {
			// Router incarnations after the first three do not reach the log.
			if e.From.Role == proto.RoleLog && e.To.Role == proto.RoleRouter && len(e.To.ID) > len("r0-1") {
				e.To = noReceiver
			}
			return e
		}},
		{invariant: check.AccountBinding, action: sendGenerations(1), alter: edit(func(_ proto.Envelope, m proto.Dispatch) proto.Message {
			m.Account = "account-1"
			return m
		})},
		{invariant: check.KeySecrecy, action: sendGenerations(1), alter: edit(func(_ proto.Envelope, m proto.Dispatch) proto.Message {
			m.Body = append(m.Body, []byte("0000000000000000000000000000000000000000000000000000000000000001")...)
			return m
		})},
		{invariant: check.KeyWithdrawal, action: injectUnderLoad("key-withdrawn"), alter: editNotes(func(n *configlog.ReleaseNote) { n.Note.Withdrawn.Keys = nil })},
		{invariant: check.RateLimit, action: sendGenerations(60), limiter: func(l limit.Limiter) limit.Limiter { return unlimitedLimiter{l} }},
		{invariant: check.AnswerMatch, action: sendGenerations(2), alter: func(e proto.Envelope) proto.Envelope {
			if _, ok := e.Msg.(proto.CallerFinish); ok {
				e.To = proto.CallerAddr("g1")
			}
			return e
		}},
		{invariant: check.TrueNotRun, action: sendGenerations(1), alter: edit(func(_ proto.Envelope, m proto.CallerFinish) proto.Message {
			return proto.CallerRefusal{Request: m.Request, Cause: proto.CauseOverload, Verdict: proto.NotRun}
		})},
		{invariant: check.AtMostOnce, action: func(r *scenario.Run) {
			r.Sent = func(e proto.Envelope) {
				if _, ok := e.Msg.(proto.EngineCall); ok && !duplicated {
					duplicated = true
					r.Sim.Inject(e)
				}
			}
			r.Send(0, r.Order(0, "k"))
		}},
		{invariant: check.Drain, action: injectUnderLoad("endpoint-leaves"), alter: func(e proto.Envelope) proto.Envelope {
			if _, ok := e.Msg.(proto.EndpointLeaving); ok {
				e.To = noReceiver
			}
			return editNotes(func(n *configlog.ReleaseNote) {
				for i := range n.Note.Changed.Endpoints {
					n.Note.Changed.Endpoints[i].Leaving = false
				}
			})(e)
		}},
		{invariant: check.GracefulStop, action: func(r *scenario.Run) {
			sendGenerations(1)(r)
			r.Sim.Run(50 * time.Millisecond)
			r.DrainAndReplace(0)
			r.CrashRouter(0) // does not wait for the request in flight
		}},
		{invariant: check.NoteMonotonic, action: func(r *scenario.Run) {
			r.RaiseLimits(1, 0)
			r.Sim.Run(10 * time.Second)
		}, alter: hideSecondNote()},
	}
}

// hideSecondNote truncates the log that router 0 reads before the second note.
func hideSecondNote() func(proto.Envelope) proto.Envelope {
	notes := map[proto.Offset]bool{}
	return edit(func(e proto.Envelope, m proto.LogRecords) proto.Message {
		if m.Stream != proto.StreamConfig {
			return m
		}
		for _, rec := range m.Records {
			if rec.Kind == configlog.KindReleaseNote {
				notes[rec.Offset] = true
			}
		}
		if len(notes) < 2 || e.To.ID != "r0-1" {
			return m
		}
		var second proto.Offset
		for at := range notes {
			second = max(second, at)
		}
		m.Head = min(m.Head, second)
		for i, rec := range m.Records {
			if rec.Offset >= second {
				m.Records = m.Records[:i]
				break
			}
		}
		return m
	})
}

// Guards against checks that cannot fail: for each invariant the mechanism behind
// it is broken, and the run must report that invariant.
func TestMutationsAreReported(t *testing.T) {
	tested := map[check.Invariant]bool{}
	for _, m := range mutations() {
		tested[m.invariant] = true
		t.Run(string(m.invariant), func(t *testing.T) {
			t.Parallel()
			r, err := scenario.StartWith(scenario.Settings{Seed: 1, Alter: m.alter, WrapLimiter: m.limiter, SettleTime: time.Minute})
			if err != nil {
				t.Fatal(err)
			}
			if len(r.Failures) > 0 {
				t.Fatalf("failures before the action: %+v", r.Failures[0])
			}
			m.action(r)
			r.Finish()
			for _, f := range r.Failures {
				if f.Invariant == m.invariant {
					return
				}
			}
			t.Errorf("%s is not reported; failures: %+v", m.invariant, r.Failures)
		})
	}
	for _, inv := range check.All {
		if !tested[inv] {
			t.Errorf("no mutation breaks %s", inv)
		}
	}
}

// Guards against refused requests under a steady load within the rates and without
// faults.
func TestCalmRunHasNoWrongfulRefusals(t *testing.T) {
	r, err := scenario.Start(1)
	if err != nil {
		t.Fatal(err)
	}
	for range 200 {
		r.SendBaselineRequest()
		r.Sim.Run(500 * time.Millisecond)
	}
	r.Finish()
	if r.Oracle.Wrongful != 0 || len(r.Failures) > 0 {
		t.Errorf("%d wrongful refusals, failures %+v", r.Oracle.Wrongful, r.Failures)
	}
	for _, a := range r.Callers.All() {
		if a.Finish == nil {
			t.Errorf("request %s is not served: %+v", a.Request.ID, a.Refusal)
		}
	}
}

// Guards against a request that crashes more than two engines when the report of
// each crash arrives after the attempt was given up because no message came.
func TestEngineLossesWithLateReports(t *testing.T) {
	r, err := scenario.Start(1)
	if err != nil {
		t.Fatal(err)
	}
	r.InjectMessageFaults(time.Minute, func(e proto.Envelope) drive.MessageFault {
		if _, ok := e.Msg.(proto.AttemptRefused); ok {
			return drive.MessageFault{Delay: 4 * time.Second}
		}
		return drive.MessageFault{}
	})
	r.Send(0, r.CrashingRequest(0))
	r.Finish()
	for _, f := range r.Failures {
		t.Errorf("%s: %s", f.Invariant, f.Detail)
	}
}

// slowLog delays the replies of the log by 2 s.
func slowLog(e proto.Envelope) drive.MessageFault {
	if e.From.Role != proto.RoleLog {
		return drive.MessageFault{}
	}
	return drive.MessageFault{Delay: 2 * time.Second}
}

// Guards against a note that takes effect too late because the log accepts appends
// but replies late, which routers could mistake for a general outage.
func TestNoteInForceWithSlowLog(t *testing.T) {
	r, err := scenario.Start(1)
	if err != nil {
		t.Fatal(err)
	}
	r.InjectMessageFaults(20*time.Second, slowLog)
	for range 3 {
		r.Sim.Run(5 * time.Second)
		r.RaiseLimits(0, 0)
	}
	r.Finish()
	for i := range min(3, len(r.Failures)) {
		t.Errorf("%s: %s", r.Failures[i].Invariant, r.Failures[i].Detail)
	}
}

// Guards against new work for a leaving endpoint after 3 s when a router needs two
// late replies of the log to learn of the note.
func TestDrainWithSlowLog(t *testing.T) {
	r, err := scenario.Start(1)
	if err != nil {
		t.Fatal(err)
	}
	r.InjectMessageFaults(20*time.Second, slowLog)
	r.Sim.Run(5 * time.Second)
	injectUnderLoad("endpoint-leaves")(r)
	r.Finish()
	for _, f := range r.Failures {
		if f.Invariant == check.Drain {
			t.Errorf("%s: %s", f.Invariant, f.Detail)
		}
	}
}
