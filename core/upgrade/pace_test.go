package upgrade_test

import (
	"math/rand/v2"
	"testing"
	"time"
)

// rollOut announces a version, runs until all engines have loaded it and returns how
// long that took.
func (f *fleet) rollOut(t *testing.T, version int64) time.Duration {
	t.Helper()
	f.planner.RecordVersion(model, version)
	for began := f.now; f.now.Sub(began) < time.Minute; {
		f.run(step)
		if f.versions()[0] == version {
			return f.now.Sub(began)
		}
	}
	t.Fatalf("versions %v a minute after version %d was announced", f.versions(), version)
	return 0
}

// Pattern: a fleet at half load, all weights changed. Caches are empty after a load, so
// all prompts are read again, and engines share a source of weights that carries two
// loads at once. Guards against so many engines out of service that requests queue.
func TestHalfLoadedFleetDoesNotQueue(t *testing.T) {
	const (
		engines  = 9
		demand   = 0.5 * engines // in engines that read prompts all the time
		maxQueue = 100 * time.Millisecond
	)
	f := newFleet(engines)
	f.sourceRate = 2
	f.timeLeft = 8 * time.Second
	work, longest := 0.0, time.Duration(0) // queued work in engine-seconds
	f.eachStep = func(step time.Duration, serving int) {
		work = max(0, work+step.Seconds()*(demand-float64(serving)))
		longest = max(longest, time.Duration(work/float64(serving)*float64(time.Second)))
	}
	for version := int64(2); version <= 5; version++ {
		if took := f.rollOut(t, version); took > f.timeLeft {
			t.Errorf("version %d took %v, more than the %v that the one before may be used", version, took, f.timeLeft)
		}
		f.run(2 * time.Second)
	}
	if longest > maxQueue {
		t.Errorf("requests queued for %v", longest)
	}
}

// Guards against loads that slow each other down: they keep more engines out of service
// for longer, and the whole change takes as long as with fewer at once.
func TestFewerLoadsAtOnceWhenTheySlowEachOther(t *testing.T) {
	f := newFleet(30)
	f.sourceRate = 3
	for version := int64(2); version <= 5; version++ {
		f.rollOut(t, version)
	}
	f.maxLoading = 0
	f.rollOut(t, 6)
	if f.maxLoading > 2*f.sourceRate {
		t.Errorf("%d engines loaded at once from a source that carries %d", f.maxLoading, f.sourceRate)
	}
}

// Guards against a change that stays slow although the source could carry more loads.
func TestMoreLoadsAtOnceWhenTheyDoNotSlowEachOther(t *testing.T) {
	f := newFleet(30)
	first := f.rollOut(t, 2)
	for version := int64(3); version <= 5; version++ {
		f.rollOut(t, version)
	}
	if last := f.rollOut(t, 6); last >= first*9/10 {
		t.Errorf("the last change took %v, the first one %v", last, first)
	}
}

// Guards against loads that are put off until the old version may no longer be used, and
// against taking most engines out of service at once for that reason.
func TestShortTimeLeftRaisesLoadsAtOnce(t *testing.T) {
	relaxed, hurried := newFleet(30), newFleet(30)
	relaxed.rollOut(t, 2)
	hurried.timeLeft = 2 * time.Second
	hurried.rollOut(t, 2)
	if hurried.maxLoading <= relaxed.maxLoading || hurried.maxLoading > 15 {
		t.Errorf("%d of 30 engines loaded at once with 2 s left, %d with an hour left", hurried.maxLoading, relaxed.maxLoading)
	}
}

// Pattern: 70 % of the orders get lost, as when workers leave orders unanswered. Guards
// against engines that wait for most of the time of their old weights for an order that
// engines answer at once if they get it.
func TestLostOrdersAreRepeatedSoon(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	f := newFleet(9)
	f.timeLeft = 8 * time.Second
	f.losesOrder = func() bool { return rng.IntN(10) < 7 }
	if took := f.rollOut(t, 2); took > f.timeLeft {
		t.Errorf("the change took %v, the old weights may be used for %v", took, f.timeLeft)
	}
}
