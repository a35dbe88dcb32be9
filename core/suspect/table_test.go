package suspect_test

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/core/suspect"
	"pgregory.net/rapid"
)

// resendScenario sends a crashing request again through all routers after each
// response, together with other requests, while routers restart and the log has
// outages.
func resendScenario(seed uint64, f suspect.Faults) *fleet {
	w := newFleet(seed, 3, 6, f)
	w.lossPercent = 8
	w.send(w.routers[0], "x")
	for i := range 60 {
		w.send(w.routers[w.rng.IntN(3)], proto.Fingerprint("ok"+string(rune('a'+w.rng.IntN(8)))))
		w.run(time.Duration(w.rng.IntN(300)) * time.Millisecond)
		if !w.isWaiting("x") {
			for _, r := range w.routers {
				w.send(r, "x")
			}
		}
		switch w.rng.IntN(25) {
		case 0:
			w.logDown = !w.logDown
		case 1:
			// Requests of a router that stops get no response. Not covered is a
			// router that stops before its peers know of the crash.
			if !w.isKnownEverywhere("x") {
				break
			}
			w.routers[w.rng.IntN(3)] = w.start()
			w.run(time.Second)
		}
		if i == 30 {
			w.logDown = false
			w.run(80 * time.Second)
		}
	}
	w.logDown = false
	w.run(10 * time.Second)
	return w
}

// Guards against a fingerprint that crashes a third endpoint when it is sent again
// through several routers, and against quarantining the other requests that were
// in flight at the crash.
func TestTwoEndpointsAreLostAtMost(t *testing.T) {
	quarantined := 0
	rapid.Check(t, func(t *rapid.T) {
		w := resendScenario(rapid.Uint64().Draw(t, "seed"), suspect.Faults{})
		if w.lost["x"] > 2 {
			t.Fatalf("%d endpoints lost", w.lost["x"])
		}
		for print := range w.everQuarantined {
			if print != "x" {
				t.Fatalf("%s is quarantined", print)
			}
			quarantined++
		}
	})
	t.Logf("%d runs quarantined the fingerprint", quarantined)
	if quarantined == 0 {
		t.Fatal("no run quarantined the fingerprint, so the test checks nothing")
	}
}

// lostTrialScenario stops the router that runs a trial, so that the crash is not
// reported, and sends the request again once the trial may have expired.
func lostTrialScenario(seed uint64, f suspect.Faults) *fleet {
	w := newFleet(seed, 2, 6, f)
	tried := func() bool {
		return slices.ContainsFunc(w.endpoints, func(e *endpoint) bool { return e.alone != nil })
	}
	for range 2000 {
		if tried() {
			break
		}
		if !w.isWaiting("x") {
			w.send(w.routers[0], "x")
		}
		w.run(step)
	}
	w.routers[0] = w.start()
	w.run(90 * time.Second)
	for range 3 {
		w.send(w.routers[1], "x")
		w.run(6 * time.Second)
	}
	return w
}

// slowReaderScenario sends the request again after its first crash, as soon as it
// has a response, through routers that the log temporarily does not reach.
func slowReaderScenario(seed uint64, f suspect.Faults) *fleet {
	w := newFleet(seed, 4, 8, f)
	w.cutOff = map[*router]bool{w.routers[1]: true, w.routers[2]: true, w.routers[3]: true}
	w.send(w.routers[0], "x")
	for w.isWaiting("x") {
		w.run(step)
	}
	for _, r := range w.routers {
		w.send(r, "x")
	}
	w.run(6 * time.Second)
	w.cutOff = nil
	w.run(6 * time.Second)
	return w
}

// Guards against a third crash in scenarios in which one rule alone prevents it.
// Each scenario also runs without that rule, to show that the test detects it.
func TestSingleRules(t *testing.T) {
	for name, c := range map[string]struct {
		run   func(uint64, suspect.Faults) *fleet
		fault suspect.Faults
	}{
		"run a suspect without a trial": {resendScenario, suspect.Faults{SkipTrial: true}},
		"expire a trial by time alone":  {lostTrialScenario, suspect.Faults{SkipIncarnationCheck: true}},
		"respond before all have read":  {slowReaderScenario, suspect.Faults{SkipPropagation: true}},
	} {
		t.Run(name, func(t *testing.T) {
			const runs = 20
			bad := 0
			for seed := range uint64(runs) {
				if n := c.run(seed, suspect.Faults{}).lost["x"]; n > 2 {
					t.Errorf("seed %d: %d endpoints lost", seed, n)
				}
				if c.run(seed, c.fault).lost["x"] > 2 {
					bad++
				}
			}
			t.Logf("without the rule %d of %d runs lost more than two endpoints", bad, runs)
			if bad == 0 {
				t.Fatal("no run lost a third endpoint without the rule")
			}
		})
	}
}

// Guards against requests that remain suspects or are quarantined only because they
// were in flight when another request crashed the endpoint.
func TestOthersInACrashAreCleared(t *testing.T) {
	cleared := 0
	for seed := range uint64(20) {
		w := newFleet(seed, 2, 1, suspect.Faults{})
		for _, print := range []proto.Fingerprint{"x", "ok1", "ok2", "ok3"} {
			w.send(w.routers[seed%2], print)
		}
		w.run(2 * time.Second)
		for range 5 {
			for _, print := range []proto.Fingerprint{"ok1", "ok2", "ok3"} {
				w.send(w.routers[1-seed%2], print)
			}
			w.run(5 * time.Second)
		}
		for _, r := range w.routers {
			cleared += int(r.table.Counters().Cleared)
			for _, e := range r.reg.Export() {
				if e.Fingerprint != "x" {
					t.Errorf("seed %d: %+v", seed, e)
				}
			}
		}
	}
	if t.Logf("%d suspects cleared", cleared); cleared == 0 {
		t.Fatal("no suspect was cleared, so the test checks nothing")
	}
}

// Guards against trials that run while the log is unavailable to decide on them.
func TestNoTrialWithoutLog(t *testing.T) {
	w := newFleet(1, 2, 4, suspect.Faults{})
	w.send(w.routers[0], "x")
	w.run(100 * time.Millisecond)
	w.logDown = true
	w.run(5 * time.Second)
	lost := w.lost["x"]
	w.send(w.routers[0], "x")
	w.run(5 * time.Second)
	if w.lost["x"] != lost || w.responses[proto.CauseLogUnavailable] == 0 {
		t.Errorf("%d endpoints lost, %d of them before the second request; responses %v", w.lost["x"], lost, w.responses)
	}
}

func record(at proto.Offset, kind proto.RecordKind, body any) proto.Record {
	data, _ := json.Marshal(body)
	return proto.Record{Offset: at, Kind: kind, Body: data}
}

// Guards against two concurrent trials, a quarantine for a single crash that two
// routers report, a release that has no effect and a checkpoint that loses state.
func TestRegister(t *testing.T) {
	k := suspect.Key{Account: "a", Fingerprint: "f"}
	c1, c2 := suspect.Crash{Endpoint: "e1", Incarnation: "1"}, suspect.Crash{Endpoint: "e2", Incarnation: "1"}
	r := suspect.NewRegister()
	at := proto.Offset(0)
	get := func() suspect.Entry { e, _ := r.Get(k); return e }
	apply := func(kind proto.RecordKind, body any) suspect.Entry {
		at++
		r.Apply(0, record(at, kind, body))
		return get()
	}
	apply(suspect.KindSuspect, suspect.Suspect{Key: k, Crash: c1})
	if e := apply(suspect.KindSuspect, suspect.Suspect{Key: k, Crash: c1}); e.Quarantined || len(e.Crashes) != 1 {
		t.Errorf("one crash reported twice: %+v", e)
	}
	first := apply(suspect.KindTrial, suspect.Trial{Key: k, Target: c2}).Trial
	if e := apply(suspect.KindTrial, suspect.Trial{Key: k, Target: c1}); e.Trial != first {
		t.Errorf("second trial took effect: %+v", e)
	}
	if e := apply(suspect.KindTrialEnd, suspect.TrialEnd{Key: k, Trial: first, Result: proto.TrialUnused}); !e.TrialEnded {
		t.Errorf("trial did not end: %+v", e)
	}
	second := apply(suspect.KindTrial, suspect.Trial{Key: k, Previous: first, Target: c2}).Trial
	restored := suspect.NewRegister()
	restored.Import(0, r.Export())
	if !reflect.DeepEqual(restored.Export(), r.Export()) {
		t.Error("the state restored from a checkpoint differs")
	}
	if e := apply(suspect.KindTrialEnd, suspect.TrialEnd{Key: k, Trial: second, Result: proto.TrialCrashed, Crash: c2}); !e.Quarantined {
		t.Errorf("not quarantined after the second crash: %+v", e)
	}
	apply(suspect.KindRelease, suspect.Release{Key: k, Since: 1, By: "expiry"})
	if !get().Quarantined {
		t.Error("a release of an older state took effect")
	}
	apply(suspect.KindRelease, suspect.Release{Key: k, By: "operator"})
	if r.Len() != 0 {
		t.Error("the operator's release had no effect")
	}
	for i := range suspect.MaxEntries + 10 {
		apply(suspect.KindSuspect, suspect.Suspect{Key: suspect.Key{Account: "a", Fingerprint: proto.Fingerprint(rune(i + 1000))}, Crash: c1})
	}
	if r.Len() != suspect.MaxEntries || r.Dropped != 10 {
		t.Errorf("%d entries, %d evicted", r.Len(), r.Dropped)
	}
}

// Guards against a quarantine that never ends.
func TestQuarantineExpires(t *testing.T) {
	w := newFleet(1, 2, 4, suspect.Faults{})
	w.records = append(w.records, record(0, suspect.KindQuarantine, suspect.Quarantine{Key: suspect.Key{Account: "a", Fingerprint: "x"}, TTL: 30 * time.Second}))
	w.run(20 * time.Second)
	if w.routers[0].reg.Len() != 1 {
		t.Fatal("the fingerprint is not quarantined")
	}
	w.run(60 * time.Second)
	for _, r := range w.routers {
		if r.reg.Len() != 0 {
			t.Error("the quarantine did not expire")
		}
	}
}

// Copies that are sent through all routers at once, before any router has read the
// record of the first crash, all run; the rules do not prevent that. Guards against
// crashes beyond those copies.
func TestCopiesInFlightAtTheFirstCrash(t *testing.T) {
	worst, over := 0, 0
	const runs = 50
	for seed := range uint64(runs) {
		w := newFleet(seed, 3, 6, suspect.Faults{})
		for _, r := range w.routers {
			w.send(r, "x")
		}
		w.run(10 * time.Second)
		lost := w.lost["x"]
		worst = max(worst, lost)
		if lost > 2 {
			over++
		}
		for range 5 {
			for _, r := range w.routers {
				w.send(r, "x")
			}
			w.run(5 * time.Second)
		}
		if w.lost["x"] > max(2, lost) {
			t.Fatalf("seed %d: %d endpoints lost to the first copies, %d in total", seed, lost, w.lost["x"])
		}
	}
	t.Logf("3 copies at once: at most %d endpoints lost, more than two in %d of %d runs", worst, over, runs)
	if worst > 3 {
		t.Fatal("more endpoints lost than copies sent")
	}
}

// Guards against a request that runs without a trial because the record of its crash
// was dropped, since too many records waited for the log.
func TestOverflowOfCrashesRefuses(t *testing.T) {
	w := newFleet(1, 1, 2, suspect.Faults{})
	w.logDown = true
	table := w.routers[0].table
	for i := range 1100 {
		table.CrashSeen(w.now, proto.CrashSeen{Account: "a", Fingerprint: proto.Fingerprint(fmt.Sprint(i)), Endpoint: "e0", Incarnation: "0"})
	}
	table.Take()
	table.HandleWanted(w.now, proto.TrialWanted{Request: "q", Account: "a", Fingerprint: "1099", Endpoint: "e1"})
	out := table.Take()
	if len(out) != 1 || out[0].Msg.(proto.TrialDecided).OK || table.Counters().Overflow == 0 {
		t.Errorf("decided %+v with %d crashes dropped", out, table.Counters().Overflow)
	}
}
