package pace_test

import (
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/core/pace"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

const ms = time.Millisecond

var prior = pace.Prior{PromptToken: 33 * time.Microsecond, RunningRequest: 2 * ms}

func at(d time.Duration) proto.Instant { return proto.Instant(0).Add(time.Hour + d) }

// stream returns the timing of a stream with equal intervals, one of which is
// longer by stall.
func stream(now proto.Instant, events, running int, interval, stall, own time.Duration) *pace.Timing {
	var t pace.Timing
	for i := range events {
		if i == events/2 {
			now = now.Add(stall)
			t.Record(now, running, own)
		} else {
			t.Record(now, running, max(0, own*time.Duration(i/(events/2))))
		}
		now = now.Add(interval)
	}
	return &t
}

// between reports whether a time is between two bounds.
func between(v, low, high time.Duration) bool { return v >= low && v <= high }

// Guards against estimates that differ from the configured costs before anything was
// observed, and against an estimator that applies where no slowdown is reported.
func TestPriorEqualsConfiguredCosts(t *testing.T) {
	s := pace.NewService(prior)
	e := s.NewEstimator()
	if e.Interval(0) != 0 || e.Interval(7) != 14*ms || e.PromptToken() != 33*time.Microsecond || e.Slowdown(at(0)) != 1 ||
		e.GapChance(at(0), 50*ms) != 0 || e.FirstChance(at(0), 50*ms) != 0 {
		t.Errorf("%v %v", e.Interval(7), e.PromptToken())
	}
	e.ObserveLoad(at(0), 3, 0)
	if e.Active() {
		t.Error("active without a reported slowdown")
	}
	s.NewEstimator().ObserveLoad(at(0), 3, 100)
	if e.Active() || !s.NewEstimator().Active() {
		t.Error("an endpoint that reports none is active, or one of which nothing is known is not")
	}
}

// Guards against equal estimates for endpoints whose speeds differ by a factor of two,
// and against an interval that does not grow with the number of running requests.
func TestIntervalFollowsEachEndpoint(t *testing.T) {
	s := pace.NewService(prior)
	fast, slow := s.NewEstimator(), s.NewEstimator()
	for i := range 40 {
		running := 2 + i%10
		interval := 6*ms + time.Duration(running)*ms/2
		fast.ObserveStream(at(0), stream(at(0), 20, running, interval, 0, 0))
		slow.ObserveStream(at(0), stream(at(0), 20, running, 2*interval, 0, 0))
	}
	if f := fast.Interval(10); !between(f, 10*ms, 13*ms) {
		t.Errorf("fast endpoint: %v", f)
	}
	if f := slow.Interval(10); !between(f, 20*ms, 24*ms) {
		t.Errorf("slow endpoint: %v", f)
	}
	if fast.Interval(20) <= fast.Interval(2) {
		t.Error("the interval does not grow with the load")
	}
}

// Guards against a prompt processing rate that stays at the prior.
func TestPromptRateFollowsObservations(t *testing.T) {
	e := pace.NewService(prior).NewEstimator()
	const actual = 9 * time.Microsecond
	for range 60 {
		expected := e.PromptToken()
		e.ObserveFirst(at(0), 2890*(actual-expected), 2890, expected)
	}
	if got := e.PromptToken(); !between(got, 8*time.Microsecond, 13*time.Microsecond) {
		t.Errorf("%v", got)
	}
}

// Guards against a reported slowdown that counts for too long at endpoints that are
// slowed for tenths of a second, or too short at those that are slowed for longer.
func TestSlowdownValidityIsLearned(t *testing.T) {
	reportsOf := func(slowedFor time.Duration) *pace.Estimator {
		e := pace.NewService(prior).NewEstimator()
		for i := range 200 {
			now := time.Duration(i) * 150 * ms
			figure := 100
			if now%(6*time.Second) < slowedFor {
				figure = 800
			}
			e.ObserveLoad(at(now), 0, figure)
		}
		e.ObserveLoad(at(time.Minute), 0, 100)
		e.ObserveLoad(at(2*time.Minute), 0, 800)
		return e
	}
	now := at(2*time.Minute + 250*ms)
	short, long := reportsOf(160*ms).Slowdown(now), reportsOf(2*time.Second).Slowdown(now)
	if short >= long || long < 2 || short < 1 {
		t.Errorf("after 250 ms: %.2f after short slowdowns, %.2f after long ones", short, long)
	}
	if e := reportsOf(160 * ms); e.Slowdown(at(2*time.Minute)) < 4 || e.Slowdown(at(3*time.Minute)) != 1 {
		t.Error("a new report does not count, or an old one does")
	}
}

// Guards against endpoints whose streams are interrupted that look like the others, and
// against an endpoint that is avoided for ever after some interruptions.
func TestInterruptedStreamsRaiseTheChanceOfGaps(t *testing.T) {
	s := pace.NewService(prior)
	sound, interrupted := s.NewEstimator(), s.NewEstimator()
	for i := range 40 {
		stall := time.Duration(0)
		if i%4 == 0 {
			stall = 350 * ms
		}
		sound.ObserveStream(at(0), stream(at(0), 20, 4, 10*ms, 0, 0))
		interrupted.ObserveStream(at(0), stream(at(0), 20, 4, 10*ms, stall, 0))
	}
	if got := sound.GapChance(at(0), 200*ms); got > 0.05 {
		t.Errorf("sound endpoint: %.2f", got)
	}
	if got := interrupted.GapChance(at(0), 200*ms); got < 0.1 || got > 0.4 {
		t.Errorf("interrupted endpoint: %.2f", got)
	}
	later := at(time.Minute)
	if a, b := sound.GapChance(later, 200*ms), interrupted.GapChance(later, 200*ms); a != b {
		t.Errorf("a minute later: %.2f and %.2f", a, b)
	}
}

// Guards against gaps that count against an endpoint though the router itself did not
// run.
func TestOwnDelayIsNotTheEndpoints(t *testing.T) {
	e := pace.NewService(prior).NewEstimator()
	for range 20 {
		e.ObserveStream(at(0), stream(at(0), 20, 4, 10*ms, 350*ms, 350*ms))
	}
	if got := e.GapChance(at(0), 200*ms); got > 0.05 {
		t.Errorf("%.2f", got)
	}
}

// Guards against a restarted endpoint that is judged by the interruptions of the
// incarnation before it.
func TestNewIncarnationStartsFromThePrior(t *testing.T) {
	s := pace.NewService(prior)
	old, others := s.NewEstimator(), s.NewEstimator()
	for i := range 60 {
		others.ObserveStream(at(0), stream(at(0), 20, 4, 10*ms, 0, 0))
		if i < 20 {
			old.ObserveStream(at(0), stream(at(0), 20, 4, 40*ms, 500*ms, 0))
		}
	}
	restarted := s.NewEstimator()
	if old.GapChance(at(0), 200*ms) < 0.5 || restarted.GapChance(at(0), 200*ms) > 0.2 || restarted.Interval(4) >= old.Interval(4) {
		t.Errorf("%.2f before, %.2f after", old.GapChance(at(0), 200*ms), restarted.GapChance(at(0), 200*ms))
	}
}
