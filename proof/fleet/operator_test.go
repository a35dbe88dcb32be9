package fleet_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/core/audit"
	"github.com/kumquatsill/kumquatsill/core/configlog"
	"github.com/kumquatsill/kumquatsill/core/note"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/core/suspect"
	"github.com/kumquatsill/kumquatsill/proof/drive"
	"github.com/kumquatsill/kumquatsill/proof/fleet"
	"github.com/kumquatsill/kumquatsill/standin/logsvc"
)

// sendOperator sends an operator's message through router i and returns the reply.
func sendOperator[R proto.Message](t *testing.T, f *fleet.Fleet, i int, id string, m proto.Message) R {
	t.Helper()
	delete(f.Callers.OperatorReplies, id)
	f.Sim.Inject(proto.Envelope{From: proto.Addr{Role: proto.RoleOperator, ID: id}, To: f.RouterAddr(i), Msg: m})
	if !f.Sim.RunUntil(time.Minute, func() bool { return f.Callers.OperatorReplies[id] != nil }) {
		t.Fatalf("router %d did not reply to %s", i, m.Kind())
	}
	reply, ok := f.Callers.OperatorReplies[id].(R)
	if !ok {
		t.Fatalf("router %d replied to %s with %s", i, m.Kind(), f.Callers.OperatorReplies[id].Kind())
	}
	return reply
}

func noteSubmission(t *testing.T, id proto.RecordID, n note.Note) proto.NoteSubmit {
	t.Helper()
	body, err := json.Marshal(n)
	if err != nil {
		t.Fatal(err)
	}
	return proto.NoteSubmit{ID: id, Note: body}
}

func accountNote(base proto.Revision, id proto.AccountID) note.Note {
	return note.Note{BasedOn: base, Added: note.Items{Accounts: []note.Account{{ID: id, Rate: 10, Burst: 100}}}}
}

// Guards against a resubmitted note, through the same or another router, that
// counts as a second note or gets a different outcome.
func TestNoteSubmittedAgainCountsOnce(t *testing.T) {
	f := startSmall(t, 3)
	m := noteSubmission(t, "again", accountNote(1, "beta"))
	first := f.Callers
	// Both copies reach the log before either router has read one.
	for i := range 2 {
		f.Sim.Inject(proto.Envelope{From: proto.Addr{Role: proto.RoleOperator, ID: "op"}, To: f.RouterAddr(i), Msg: m})
	}
	f.Sim.RunUntil(time.Minute, func() bool { return first.OperatorReplies["op"] != nil && f.Ready(2) })
	f.Sim.Run(5 * time.Second)
	for i := range 2 {
		out := sendOperator[proto.NoteOutcome](t, f, i, "late", m)
		if out.Status != proto.NoteAccepted || out.Revision != 2 {
			t.Errorf("router %d: %+v, want accepted as revision 2", i, out)
		}
		got := sendOperator[proto.HistoryReply](t, f, i, "status", proto.HistoryQuery{ID: "h", Note: "again"})
		if len(got.Entries) != 1 || got.Entries[0].Status != proto.NoteAccepted || got.Freshness.Stamp.Revision != 2 {
			t.Errorf("router %d: history %+v, want one accepted entry", i, got)
		}
	}
	copies := 0
	for _, r := range f.Log.Records(proto.StreamConfig) {
		if r.ID == "again" && r.Kind == configlog.KindReleaseNote {
			copies++
		}
	}
	if copies != 2 {
		t.Errorf("%d copies in the log, want 2, or the test has no duplicate to handle", copies)
	}
}

// Guards against a note that is reported as accepted although another note has
// its id, so that it never takes effect.
func TestIDOfAnotherNoteIsRefused(t *testing.T) {
	f := startSmall(t, 12)
	// The two copies race through two routers; the second one in the log loses.
	for i, account := range []proto.AccountID{"beta", "gamma"} {
		f.Sim.Inject(proto.Envelope{
			From: proto.Addr{Role: proto.RoleOperator, ID: string(account)}, To: f.RouterAddr(i),
			Msg: noteSubmission(t, "same", accountNote(1, account)),
		})
	}
	f.Sim.RunUntil(time.Minute, func() bool {
		return f.Callers.OperatorReplies["beta"] != nil && f.Callers.OperatorReplies["gamma"] != nil && f.Ready(2)
	})
	for i, account := range []proto.AccountID{"beta", "gamma"} {
		_, inForce := f.Routers[i].Snapshot().Config.Accounts[account]
		want := proto.NoteRefused
		if inForce {
			want = proto.NoteAccepted
		}
		first, _ := f.Callers.OperatorReplies[string(account)].(proto.NoteOutcome)
		again := sendOperator[proto.NoteOutcome](t, f, 1-i, "op", noteSubmission(t, "same", accountNote(1, account)))
		if first.Status != want || again.Status != want {
			t.Errorf("account %s in force: %v; first outcome %+v, later %+v", account, inForce, first, again)
		}
	}
}

// Guards against a note that cannot be looked up after its outcome was lost,
// because the router that took it crashed before it replied.
func TestNoteOfLostRouterIsFoundThroughAnother(t *testing.T) {
	f := startSmall(t, 4)
	f.Sim.Inject(proto.Envelope{
		From: proto.Addr{Role: proto.RoleOperator, ID: "op"}, To: f.RouterAddr(0), Msg: noteSubmission(t, "lost", accountNote(1, "beta")),
	})
	f.Sim.RunUntil(time.Minute, func() bool { return f.Routers[1].Snapshot().Config.Revision == 2 })
	f.CrashRouter(0)
	got := sendOperator[proto.HistoryReply](t, f, 1, "op2", proto.HistoryQuery{ID: "h", Note: "lost"})
	if len(got.Entries) != 1 || got.Entries[0].Status != proto.NoteAccepted || got.Entries[0].Router != f.RouterID(0) {
		t.Errorf("history %+v, want the note that router 0 took", got.Entries)
	}
}

// Guards against two accepted notes with the same base revision, and against a
// rejected note whose outcome lacks the revision that won.
func TestRacingNotes(t *testing.T) {
	f := startSmall(t, 5)
	for i, id := range []proto.RecordID{"race-a", "race-b"} {
		f.Submit(i, id, accountNote(1, proto.AccountID(id)))
	}
	f.Sim.RunUntil(time.Minute, func() bool { return len(f.Callers.NoteOutcomes) == 3 })
	a, b := f.Callers.NoteOutcomes["race-a"], f.Callers.NoteOutcomes["race-b"]
	if a.Status == proto.NoteConflict {
		a, b = b, a
	}
	if a.Status != proto.NoteAccepted || b.Status != proto.NoteConflict || a.Revision != 2 || b.Revision != 2 {
		t.Errorf("outcomes %+v and %+v, want accepted and beaten at revision 2", a, b)
	}
}

// Guards against a refused note that reports only its first problem, and against
// note ids that could be confused with the record ids of a router.
func TestBadNotesAreRefusedWithEveryField(t *testing.T) {
	f := startSmall(t, 6)
	bad := note.Note{BasedOn: 1, Added: note.Items{
		Accounts: []note.Account{{ID: "x y", Rate: 0, Burst: -1}}, Keys: []note.Key{{Hash: "short", Account: "nobody"}},
	}}
	out := sendOperator[proto.NoteOutcome](t, f, 0, "op", noteSubmission(t, "bad", bad))
	fields := map[string]bool{}
	for _, p := range out.Problems {
		fields[p.Field] = true
	}
	for _, want := range []string{"added.accounts[0].id", "added.accounts[0].rate", "added.accounts[0].burst", "added.keys[0].hash", "added.keys[0].account"} {
		if !fields[want] {
			t.Errorf("no problem with %s in %+v", want, out)
		}
	}
	dotted := sendOperator[proto.NoteOutcome](t, f, 0, "op", noteSubmission(t, proto.RecordID(f.RouterID(1))+".9999", accountNote(1, "beta")))
	if dotted.Status != proto.NoteRefused || len(dotted.Problems) != 1 || dotted.Problems[0].Field != "id" {
		t.Errorf("note with an id like that of a router's record: %+v, want refused", dotted)
	}
}

// Guards against a note that is reported as anything but unknown or refused when
// the log did not take it, and against an operator who gets no reply.
func TestNoteDuringLogOutage(t *testing.T) {
	f := startSmall(t, 7)
	f.Log.SetOutage(logsvc.Silent)
	out := sendOperator[proto.NoteOutcome](t, f, 0, "op", noteSubmission(t, "dark", accountNote(1, "beta")))
	if out.Status != proto.NoteUnknown {
		t.Errorf("%+v, want unknown", out)
	}
	status := sendOperator[proto.StatusReply](t, f, 0, "op", proto.StatusQuery{ID: "s"})
	if status.Freshness.LogReachable || !status.Freshness.GeneralOutage {
		t.Errorf("freshness %+v, want an unreachable log in a general outage", status.Freshness)
	}
	explained := sendOperator[proto.ExplainReply](t, f, 0, "op", proto.ExplainQuery{ID: "e", Request: "none"})
	if !explained.Incomplete {
		t.Errorf("%+v, want incomplete, since the audit stream cannot be read", explained)
	}
	f.Log.SetOutage(logsvc.NoOutage)
	f.Sim.Run(5 * time.Second)
	again := sendOperator[proto.NoteOutcome](t, f, 1, "op", noteSubmission(t, "dark", accountNote(1, "beta")))
	if again.Status != proto.NoteAccepted || again.Revision != 2 {
		t.Errorf("after the outage %+v, want accepted as revision 2", again)
	}
}

// Guards against a request that can be explained only by the router that served
// it, and against an unknown request that is not reported as such.
func TestExplainThroughAnyRouter(t *testing.T) {
	f := startSmall(t, 8)
	for _, id := range []proto.RequestID{"mine~1", "mine~2"} {
		f.Callers.Send(f.RouterAddr(1), generation(id))
	}
	f.Sim.Run(20 * time.Second)
	for i, source := range []proto.ExplainSource{proto.ExplainedByAudit, proto.ExplainedByRouter} {
		for _, asked := range []proto.RequestID{"mine~1", "mine"} {
			got := sendOperator[proto.ExplainReply](t, f, i, "op", proto.ExplainQuery{ID: "e", Request: asked})
			if got.Request == nil || got.Source != source || got.Router != f.RouterID(1) {
				t.Errorf("router %d on %q: %+v, want the request from %s", i, asked, got, source)
				continue
			}
			if r := got.Request; r.Revision != 1 || r.Verdict != proto.Ran || len(r.Attempts) != 1 || r.Attempts[0].Reason == "" {
				t.Errorf("router %d on %q: %+v, want the attempt with its reason", i, asked, *r)
			}
		}
	}
	none := sendOperator[proto.ExplainReply](t, f, 0, "op", proto.ExplainQuery{ID: "e", Request: "none"})
	if none.Request != nil || none.Incomplete {
		t.Errorf("unknown request: %+v, want a complete search without a result", none)
	}
}

// Guards against a search that stops after the newest records, that gives up at
// the first lost reply, or that never ends when retention has truncated the
// stream.
func TestExplainSearchesTheWholeStream(t *testing.T) {
	for name, c := range map[string]struct {
		retained int
		outage   time.Duration
		found    bool
	}{
		"all retained":      {found: true},
		"log down for 5 s":  {outage: 5 * time.Second, found: true},
		"request too old":   {retained: 70},
		"nothing but a gap": {retained: 1},
	} {
		t.Run(name, func(t *testing.T) {
			cfg := fleet.Config{Drive: drive.Config{Seed: 9}, Routers: 2, Note: smallNote()}
			f := fleet.Start(cfg)
			if !f.WaitReady(1) {
				t.Fatal("the fleet is not ready")
			}
			f.Callers.Send(f.RouterAddr(1), generation("old"))
			f.Sim.Run(20 * time.Second)
			for range 100 {
				f.Log.Seed(proto.StreamAudit, proto.Record{Kind: "other", Body: json.RawMessage("{}")})
			}
			if c.retained > 0 {
				f.Log.KeepNewest(proto.StreamAudit, c.retained)
			}
			if c.outage > 0 {
				f.Log.SetOutage(logsvc.Silent)
				f.Sim.After(c.outage, func() { f.Log.SetOutage(logsvc.NoOutage) })
			}
			got := sendOperator[proto.ExplainReply](t, f, 0, "op", proto.ExplainQuery{ID: "e", Request: "old"})
			if (got.Request != nil) != c.found || got.Incomplete {
				t.Errorf("%+v, want found %v and a complete search", got, c.found)
			}
		})
	}
}

// Guards against a quarantine that an operator cannot lift, or that is missing
// from the status.
func TestQuarantineIsListedAndLifted(t *testing.T) {
	f := startSmall(t, 10)
	subject := suspect.Key{Account: "acme", Fingerprint: "f00d"}
	body, err := json.Marshal(suspect.Quarantine{Key: subject})
	if err != nil {
		t.Fatal(err)
	}
	f.Log.Seed(proto.StreamConfig, proto.Record{ID: "q.1", Kind: suspect.KindQuarantine, Body: body})
	f.Sim.Run(5 * time.Second)
	listed := sendOperator[proto.StatusReply](t, f, 0, "op", proto.StatusQuery{ID: "s"})
	if len(listed.Suspects) != 1 || !listed.Suspects[0].Quarantined || len(listed.Routers) != 2 || len(listed.Endpoints) != 2 {
		t.Fatalf("status %+v, want one quarantine, two routers, two endpoints", listed)
	}
	used := proto.QuarantineLift{ID: "first", Account: "acme", Fingerprint: "f00d"}
	if out := sendOperator[proto.QuarantineLifted](t, f, 0, "op", used); out.Status != proto.LiftRefused {
		t.Errorf("under the id of a note: %+v, want refused", out)
	}
	lift := proto.QuarantineLift{ID: "lift-1", Account: "acme", Fingerprint: "f00d", Operator: "ann"}
	if out := sendOperator[proto.QuarantineLifted](t, f, 0, "op", lift); out.Status != proto.LiftDone {
		t.Errorf("%+v, want released", out)
	}
	f.Sim.Run(5 * time.Second)
	for i := range 2 {
		if s := f.Routers[i].Snapshot(); len(s.Quarantined) != 0 {
			t.Errorf("router %d still refuses %v", i, s.Quarantined)
		}
	}
	if out := sendOperator[proto.QuarantineLifted](t, f, 1, "op", proto.QuarantineLift{ID: "lift-2", Account: "acme", Fingerprint: "f00d"}); out.Status != proto.LiftAbsent {
		t.Errorf("second release: %+v, want absent", out)
	}
}

// Guards against a graceful shutdown that loses the audit records of the last
// seconds, or that reports them as written before the log has them.
func TestDrainFlushesTheAuditTrail(t *testing.T) {
	f := startSmall(t, 11)
	ended := f.Callers.Send(f.RouterAddr(0), generation("last"))
	f.Sim.RunUntil(time.Minute, ended.Done)
	f.Routers[0].Drain(f.Sim.Now())
	if f.Routers[0].Drained() {
		t.Error("drained before the record can be in the log")
	}
	if !f.Sim.RunUntil(5*time.Second, f.Routers[0].Drained) {
		t.Fatal("the records are not in the log after 5 s")
	}
	var batches []audit.Batch
	for _, rec := range f.Log.Records(proto.StreamAudit) {
		var b audit.Batch
		if err := json.Unmarshal(rec.Body, &b); err != nil {
			t.Fatal(err)
		}
		batches = append(batches, b)
	}
	if r := audit.Verify(batches, false); !r.OK() || r.Closed != 1 {
		t.Errorf("%+v, want a closed chain", r)
	}
	f.CrashRouter(0)
	if got := sendOperator[proto.ExplainReply](t, f, 1, "op", proto.ExplainQuery{ID: "e", Request: "last"}); got.Request == nil {
		t.Errorf("%+v, want the request that ended last", got)
	}
}
