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

// resends lets a caller send a crashing request again through all routers
// whenever it got an answer, beside other requests, while routers restart.
func resends(seed uint64, f suspect.Faults) *fleet {
	w := newFleet(seed, 3, 6, f)
	w.losses = 8
	w.send(w.routers[0], "x")
	for i := range 60 {
		w.send(w.routers[w.rng.IntN(3)], proto.Fingerprint("ok"+string(rune('a'+w.rng.IntN(8)))))
		w.run(time.Duration(w.rng.IntN(300)) * time.Millisecond)
		if !w.waits("x") {
			for _, r := range w.routers {
				w.send(r, "x")
			}
		}
		switch w.rng.IntN(25) {
		case 0:
			w.down = !w.down
		case 1:
			// The requests of the router that ends get no answer. A router that
			// ends before its peers know of the crash is not covered.
			if !w.known("x") {
				break
			}
			w.routers[w.rng.IntN(3)] = w.start()
			w.run(time.Second)
		}
		if i == 30 {
			w.down = false
			w.run(80 * time.Second)
		}
	}
	w.down = false
	w.run(10 * time.Second)
	return w
}

// Guards against a fingerprint that crashes a third endpoint when it is sent
// again through several routers, and against a quarantine of the requests
// that were in flight beside it.
func TestTwoEndpointsAreLostAtMost(t *testing.T) {
	quarantined := 0
	rapid.Check(t, func(t *rapid.T) {
		w := resends(rapid.Uint64().Draw(t, "seed"), suspect.Faults{})
		if w.lost["x"] > 2 {
			t.Fatalf("%d endpoints lost", w.lost["x"])
		}
		for print := range w.convicted {
			if print != "x" {
				t.Fatalf("%s is quarantined", print)
			}
			quarantined++
		}
	})
	t.Logf("%d runs quarantined", quarantined)
	if quarantined == 0 {
		t.Fatal("the runs show nothing")
	}
}

// deadTrials ends the router that runs a trial, so that nobody reports the
// crash, and sends the request again when the trial is void.
func deadTrials(seed uint64, f suspect.Faults) *fleet {
	w := newFleet(seed, 2, 6, f)
	tried := func() bool {
		return slices.ContainsFunc(w.endpoints, func(e *endpoint) bool { return e.alone != nil })
	}
	for range 2000 {
		if tried() {
			break
		}
		if !w.waits("x") {
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

// slowReaders sends the request again, on the answer after its first crash,
// through routers that the log does not reach at the moment.
func slowReaders(seed uint64, f suspect.Faults) *fleet {
	w := newFleet(seed, 4, 8, f)
	w.deaf = map[*router]bool{w.routers[1]: true, w.routers[2]: true, w.routers[3]: true}
	w.send(w.routers[0], "x")
	for w.waits("x") {
		w.run(step)
	}
	for _, r := range w.routers {
		w.send(r, "x")
	}
	w.run(6 * time.Second)
	w.deaf = nil
	w.run(6 * time.Second)
	return w
}

// Guards against a third loss where a single rule prevents it, and against a
// test that could not notice that the rule is missing.
func TestSingleRules(t *testing.T) {
	for name, c := range map[string]struct {
		run   func(uint64, suspect.Faults) *fleet
		fault suspect.Faults
	}{
		"run a suspect without a trial": {resends, suspect.Faults{SkipTrial: true}},
		"void by time alone":            {deadTrials, suspect.Faults{VoidByTime: true}},
		"answer before all have read":   {slowReaders, suspect.Faults{SkipHold: true}},
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
				t.Fatal("no run noticed")
			}
		})
	}
}

// Guards against requests that stay suspects, or are quarantined, since they
// were in flight beside the one that crashed the endpoint.
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
		t.Fatal("nothing was cleared")
	}
}

// Guards against trials while the log cannot decide them.
func TestNoTrialWithoutLog(t *testing.T) {
	w := newFleet(1, 2, 4, suspect.Faults{})
	w.send(w.routers[0], "x")
	w.run(100 * time.Millisecond)
	w.down = true
	w.run(5 * time.Second)
	lost := w.lost["x"]
	w.send(w.routers[0], "x")
	w.run(5 * time.Second)
	if w.lost["x"] != lost || w.refused[proto.CauseLogUnavailable] == 0 {
		t.Errorf("%d endpoints lost without the log, before %d; refusals %v", w.lost["x"], lost, w.refused)
	}
}

func record(at proto.Offset, kind proto.RecordKind, body any) proto.Record {
	data, _ := json.Marshal(body)
	return proto.Record{Offset: at, Kind: kind, Body: data}
}

// Guards against two trials at once, a quarantine for one crash that two
// routers report, a release that does not work and a checkpoint that loses state.
func TestRegister(t *testing.T) {
	k := suspect.Key{Account: "a", Fingerprint: "f"}
	c1, c2 := suspect.Crash{Endpoint: "e1", Incarnation: "1"}, suspect.Crash{Endpoint: "e2", Incarnation: "1"}
	r := suspect.NewRegister()
	at := proto.Offset(0)
	get := func() suspect.Entry { e, _ := r.Get(k); return e }
	fold := func(kind proto.RecordKind, body any) suspect.Entry {
		at++
		r.Apply(0, record(at, kind, body))
		return get()
	}
	fold(suspect.KindSuspect, suspect.Suspect{Key: k, Crash: c1})
	if e := fold(suspect.KindSuspect, suspect.Suspect{Key: k, Crash: c1}); e.Quarantined || len(e.Crashes) != 1 {
		t.Errorf("one crash reported twice: %+v", e)
	}
	first := fold(suspect.KindTrial, suspect.Trial{Key: k, Target: c2}).Trial
	if e := fold(suspect.KindTrial, suspect.Trial{Key: k, Target: c1}); e.Trial != first {
		t.Errorf("second trial took effect: %+v", e)
	}
	if e := fold(suspect.KindTrialEnd, suspect.TrialEnd{Key: k, Trial: first, Result: proto.TrialUnused}); !e.TrialEnded {
		t.Errorf("trial did not end: %+v", e)
	}
	second := fold(suspect.KindTrial, suspect.Trial{Key: k, Previous: first, Target: c2}).Trial
	restored := suspect.NewRegister()
	restored.Import(0, r.Export())
	if !reflect.DeepEqual(restored.Export(), r.Export()) {
		t.Error("a checkpoint changes the state")
	}
	if e := fold(suspect.KindTrialEnd, suspect.TrialEnd{Key: k, Trial: second, Result: proto.TrialCrashed, Crash: c2}); !e.Quarantined {
		t.Errorf("second crash: %+v", e)
	}
	fold(suspect.KindRelease, suspect.Release{Key: k, Since: 1, By: "expiry"})
	if !get().Quarantined {
		t.Error("a release of an older state took effect")
	}
	fold(suspect.KindRelease, suspect.Release{Key: k, By: "operator"})
	if r.Len() != 0 {
		t.Error("the operator's release did not work")
	}
	for i := range suspect.MaxEntries + 10 {
		fold(suspect.KindSuspect, suspect.Suspect{Key: suspect.Key{Account: "a", Fingerprint: proto.Fingerprint(rune(i + 1000))}, Crash: c1})
	}
	if r.Len() != suspect.MaxEntries || r.Dropped != 10 {
		t.Errorf("%d entries, %d dropped", r.Len(), r.Dropped)
	}
}

// Guards against a quarantine that never ends.
func TestQuarantineExpires(t *testing.T) {
	w := newFleet(1, 2, 4, suspect.Faults{})
	w.records = append(w.records, record(0, suspect.KindQuarantine, suspect.Quarantine{Key: suspect.Key{Account: "a", Fingerprint: "x"}, TTL: 30 * time.Second}))
	w.run(20 * time.Second)
	if w.routers[0].reg.Len() != 1 {
		t.Fatal("no quarantine")
	}
	w.run(60 * time.Second)
	for _, r := range w.routers {
		if r.reg.Len() != 0 {
			t.Error("the quarantine did not expire")
		}
	}
}

// Documents the limit of the rule: copies that are sent through all routers
// at once, before anybody has read of the first crash, all run. It guards
// against a loss beyond those copies.
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
			t.Fatalf("seed %d: %d endpoints lost at first, then %d", seed, lost, w.lost["x"])
		}
	}
	t.Logf("3 copies at once: at worst %d endpoints lost, more than two in %d of %d runs", worst, over, runs)
	if worst > 3 {
		t.Fatal("more endpoints lost than copies sent")
	}
}

// Guards against a request that runs without a trial since too many crashes
// wait for the log to keep its own.
func TestOverflowOfCrashesRefuses(t *testing.T) {
	w := newFleet(1, 1, 2, suspect.Faults{})
	w.down = true
	table := w.routers[0].table
	for i := range 1100 {
		table.CrashSeen(w.now, proto.CrashSeen{Account: "a", Fingerprint: proto.Fingerprint(fmt.Sprint(i)), Endpoint: "e0", Incarnation: "0"})
	}
	table.Take()
	table.HandleWanted(w.now, proto.TrialWanted{Request: "q", Account: "a", Fingerprint: "1099", Endpoint: "e1"})
	out := table.Take()
	if len(out) != 1 || out[0].Msg.(proto.TrialDecided).OK || table.Counters().Overflow == 0 {
		t.Errorf("decided %+v with %d crashes not kept", out, table.Counters().Overflow)
	}
}
