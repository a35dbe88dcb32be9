package intent_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/core/intent"
	"github.com/kumquatsill/kumquatsill/core/ledger"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"pgregory.net/rapid"
)

// Guards against a call that runs twice, or that runs after a not_run was reported,
// when several routers receive the same keys while messages are lost and routers
// restart.
func TestRacesOverOneLog(t *testing.T) {
	granted, replayed := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"), 3, intent.Faults{})
		sim.runWithFaults(20)
		doubleRuns, falseNotRun, wrongReplays := sim.violations()
		if doubleRuns+falseNotRun+wrongReplays > 0 {
			t.Fatalf("%d double runs, %d false not_run, %d wrong replays", doubleRuns, falseNotRun, wrongReplays)
		}
		for id := range sim.keyOf {
			if _, ok := sim.decided[id]; !ok && len(sim.nodes) == sim.started {
				t.Fatalf("request %s has no decision", id)
			}
		}
		for _, n := range sim.nodes {
			granted += int(n.table.Counters().Granted)
			replayed += int(n.table.Counters().Replayed)
		}
	})
	if granted == 0 || replayed == 0 {
		t.Fatalf("%d granted, %d replayed: the test exercised nothing", granted, replayed)
	}
}

// Guards against a race test that does not detect a missing rule.
func TestRacesNoticeMissingRules(t *testing.T) {
	for name, f := range map[string]intent.Faults{
		"skip the intent":            {SkipIntent: true},
		"decide at the confirmation": {DecideEarly: true},
		"grant a late intent":        {TrustLate: true},
	} {
		t.Run(name, func(t *testing.T) {
			bad := 0
			for seed := range uint64(30) {
				sim := newSimulation(seed, 3, f)
				sim.runWithFaults(20)
				if doubleRuns, falseNotRun, _ := sim.violations(); doubleRuns+falseNotRun > 0 {
					bad++
				}
			}
			t.Logf("%d of 30 runs failed", bad)
			if bad == 0 {
				t.Fatal("no run detected the missing rule")
			}
		})
	}
}

// newReliable returns a simulation without message faults whose routers are ready.
func newReliable(routers int) *simulation {
	sim := newSimulation(1, routers, intent.Faults{})
	sim.reliable = true
	sim.run(200 * time.Millisecond)
	return sim
}

// mustDecide returns the decision on a request, which must arrive within 100 ms.
func (sim *simulation) mustDecide(t *testing.T, id proto.RequestID) proto.IntentDecided {
	t.Helper()
	sim.run(100 * time.Millisecond)
	d, ok := sim.decided[id]
	if !ok {
		t.Fatalf("request %s has no decision", id)
	}
	return d
}

// Guards against an intent that appears in the log after its request timed out and
// blocks its key for the whole retention.
func TestLateIntentFreesItsKey(t *testing.T) {
	sim := newReliable(2)
	sim.request(sim.nodes[0], "k")
	// The append reaches the log, but all replies are lost.
	sim.run(10 * time.Millisecond)
	sim.logDown = true
	sim.inFlight = nil
	sim.run(4 * time.Second)
	if d := sim.decided["q1"]; d.Verdict != proto.NotRun || d.Cause != proto.CauseLogUnavailable || len(sim.records) != 1 {
		t.Fatalf("got %+v with %d records in the log", d, len(sim.records))
	}
	sim.logDown = false
	sim.run(8 * time.Second)
	if d := sim.mustDecide(t, sim.request(sim.nodes[1], "k")); d.Intent == nil {
		t.Fatalf("the key is blocked: %+v", d)
	}
}

// Guards against a second run after the router that dispatched the call crashed.
func TestDeadRouterLeavesMayHaveRun(t *testing.T) {
	sim := newReliable(2)
	sim.request(sim.nodes[0], "k")
	sim.run(10 * time.Millisecond)
	sim.nodes[0] = sim.start()
	sim.run(time.Second)
	for _, n := range sim.nodes {
		if d := sim.mustDecide(t, sim.request(n, "k")); d.Intent != nil || d.Verdict != proto.MayHaveRun {
			t.Fatalf("router %s: %+v", n.id, d)
		}
	}
}

// Guards against replaying a response to a request with other content, and against
// large responses in the log.
func TestRepeats(t *testing.T) {
	sim := newReliable(1)
	n := sim.nodes[0]
	decide := func(m proto.IntentWanted) proto.IntentDecided {
		sim.requests++
		m.Request = proto.RequestID(fmt.Sprint("x", sim.requests))
		n.table.HandleWanted(sim.now, m)
		return sim.mustDecide(t, m.Request)
	}
	sim.request(n, "k")
	sim.run(time.Second)
	if d := decide(proto.IntentWanted{Key: "k", Fingerprint: "other"}); d.Cause != proto.CauseKeyReused || d.Verdict != proto.NotRun {
		t.Errorf("other content: %+v", d)
	}
	if d := decide(proto.IntentWanted{Key: "k", Fingerprint: "f-k"}); d.Outcome == nil || string(d.Outcome.Body) != "q1" || d.Outcome.Status != 201 {
		t.Errorf("repeat: %+v", d)
	}
	if d := decide(proto.IntentWanted{Key: "new", Fingerprint: "f", KeyAge: intent.DefaultRetention*3/4 + 1}); d.Cause != proto.CauseKeyTooOld || d.Verdict != proto.NotRun {
		t.Errorf("old key: %+v", d)
	}
	large := proto.OutcomeKnown{Request: "big", Verdict: proto.Ran, Finish: &proto.CallerFinish{Body: make([]byte, intent.MaxBody+1)}}
	n.table.Event(sim.now, ledger.Event{Kind: ledger.EventRecord, Stream: intent.StreamOf("big", 2), Offset: 50, Record: encode(intent.KindIntent, intent.Record{Key: "big", Fingerprint: "f", Router: "z", Seq: 1})})
	n.table.Event(sim.now, ledger.Event{Kind: ledger.EventRecord, Stream: intent.StreamOf("big", 2), Offset: 51, Record: encode(intent.KindOutcome, intent.Outcome{Key: "big", Intent: 50, Router: "z", Seq: 2, Verdict: large.Verdict})})
	if d := decide(proto.IntentWanted{Key: "big", Fingerprint: "f"}); d.Outcome != nil || d.Verdict != proto.Ran {
		t.Errorf("repeat of a large response: %+v", d)
	}
	sim.logDown = true
	sim.run(4 * time.Second)
	if d := decide(proto.IntentWanted{Key: "k2", Fingerprint: "f"}); d.Cause != proto.CauseLogUnavailable || d.Verdict != proto.NotRun || d.RetryAfter == 0 {
		t.Errorf("log down: %+v", d)
	}
}

// Guards against a second run after retention removed records that this router did
// not read. One of them may have superseded the intent that the router knows, and
// the router's own intent may be among them.
func TestGap(t *testing.T) {
	sim := newReliable(1)
	n := sim.nodes[0]
	stream := intent.StreamOf("k", 2)
	event := func(kind ledger.EventKind, at proto.Offset, rec proto.Record) {
		n.table.Event(sim.now, ledger.Event{Kind: kind, Stream: stream, ID: rec.ID, Offset: at, Record: rec})
	}
	event(ledger.EventRecord, 0, encode(intent.KindIntent, intent.Record{Key: "k", Fingerprint: "f-k", Router: "z", Seq: 1}))
	event(ledger.EventRecord, 1, encode(intent.KindOutcome, intent.Outcome{Key: "k", Router: "z", Seq: 2, Verdict: proto.NotRun}))
	event(ledger.EventGap, 9, proto.Record{})
	if d := sim.mustDecide(t, sim.request(n, "k")); d.Intent != nil || d.Verdict != proto.MayHaveRun {
		t.Errorf("after a gap: %+v", d)
	}

	own := ""
	for i := 0; own == ""; i++ {
		if key := fmt.Sprint("own", i); intent.StreamOf(key, 2) == stream {
			own = key
		}
	}
	sim.logDown = true
	id := sim.request(n, own)
	event(ledger.EventGap, 90, proto.Record{})
	event(ledger.EventConfirmed, 50, proto.Record{ID: proto.RecordID(string(n.id) + ".1")})
	if d := sim.mustDecide(t, id); d.Intent != nil || d.Verdict != proto.NotRun {
		t.Errorf("own intent in a gap: %+v", d)
	}
	sim.logDown = false
	sim.run(4 * time.Second)
	freed := false
	for _, r := range sim.stream(stream) {
		var o intent.Outcome
		if r.Kind == intent.KindOutcome && json.Unmarshal(r.Body, &o) == nil {
			freed = freed || o.Intent == 50 && o.Verdict == proto.NotRun
		}
	}
	if !freed {
		t.Error("no outcome for the intent that was not used")
	}
}

func encode(kind proto.RecordKind, body any) proto.Record {
	data, _ := json.Marshal(body)
	return proto.Record{Kind: kind, Body: data}
}

// Guards against a table that never evicts keys, and against a second copy of a
// record that wins a key. Also measures the memory per key.
func TestMemoryAndCopies(t *testing.T) {
	const keys = 20_000
	c := ledger.New(ledger.Config{Self: proto.RouterAddr("r"), Incarnation: "r"})
	table := intent.New(intent.Config{Self: proto.RouterAddr("r"), Router: "r", MaxBytes: 1 << 20}, c)
	table.SetRouters([]proto.RouterID{"r"})
	before := heapBytes()
	at, logged := proto.Offset(0), 0
	apply := func(now proto.Instant, kind proto.RecordKind, body any) {
		rec := encode(kind, body)
		logged += len(rec.Body)
		table.Event(now, ledger.Event{Kind: ledger.EventRecord, Stream: "intent-0", Offset: at, Record: rec})
		at++
	}
	for i := range uint64(keys) {
		key := fmt.Sprintf("%032x", i)
		apply(1, intent.KindIntent, intent.Record{Key: key, Fingerprint: proto.Fingerprint(key), Router: "r-1f3a9c", Seq: 2*i + 1})
		apply(1, intent.KindOutcome, intent.Outcome{Key: key, Intent: at - 1, Router: "r-1f3a9c", Seq: 2*i + 2, Verdict: proto.Ran,
			Response: &intent.Response{Status: 201, ContentType: "application/json", Body: make([]byte, 200)}})
	}
	n, responseBytes := table.Size()
	t.Logf("per key: %d bytes of heap, %d bytes of record bodies; %d keys hold %d response bytes",
		(heapBytes()-before)/keys, logged/keys, n, responseBytes)
	if n != keys || responseBytes > 1<<20 {
		t.Fatalf("%d keys, %d response bytes", n, responseBytes)
	}
	apply(2, intent.KindIntent, intent.Record{Key: "copy", Fingerprint: "f", Router: "r-1f3a9c", Seq: 1})
	if n, _ := table.Size(); n != keys {
		t.Error("a copy took a key")
	}
	table.Tick(proto.Instant(0).Add(intent.DefaultRetention) + 1)
	if n, responseBytes := table.Size(); n != 0 || responseBytes != 0 {
		t.Errorf("%d keys with %d bytes left after the retention", n, responseBytes)
	}
}

func heapBytes() int {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int(m.HeapAlloc)
}

// Guards against routers that disagree about who follows a stream, and against a
// call that is lost at a router that does not follow it.
func TestFollowers(t *testing.T) {
	routers := []proto.RouterID{"a", "b", "c", "d", "e", "f"}
	following := 0
	for _, r := range routers {
		c := ledger.New(ledger.Config{Self: proto.RouterAddr(r), Incarnation: "i"})
		table := intent.New(intent.Config{Self: proto.RouterAddr(r), Router: r}, c)
		table.SetRouters(routers)
		table.HandleWanted(0, proto.IntentWanted{Request: "q", Key: "k", Fingerprint: "f"})
		d := table.Take()[0].Msg.(proto.IntentDecided)
		if d.Cause == proto.CauseNotReady {
			following++
			continue
		}
		if d.ForwardTo == "" || d.ForwardTo == r || d.Verdict != proto.NotRun {
			t.Errorf("router %s does not follow the stream and says %+v", r, d)
		}
	}
	if following != intent.FollowersPerShard {
		t.Errorf("%d of 6 routers follow, want %d", following, intent.FollowersPerShard)
	}
	if got := intent.Followers("intent-0", routers[:4]); len(got) != 4 {
		t.Errorf("%d of 4 routers follow", len(got))
	}
}
