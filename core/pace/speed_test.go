package pace

import (
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// Guards against an endpoint on a fast host counting as prone to long gaps, or as slow, until
// it has shown otherwise, because the other endpoints of the service are.
func TestSpeedScalesWhatOtherEndpointsHaveShown(t *testing.T) {
	s := NewService(Prior{PromptToken: 33 * time.Microsecond, RunningRequest: 2 * time.Millisecond})
	now := proto.Instant(time.Second)
	slow := s.NewEstimator()
	for range 500 {
		slow.ObserveLoad(now, 0, 120)
		interval, stall := 100*time.Millisecond, 300*time.Millisecond
		slow.ObserveStream(now, &Timing{Events: 11, First: now, Last: now.Add(9*interval + stall), LongestGap: stall})
	}
	fast := s.NewEstimator()
	fast.ObserveLoad(now, 0, 60)
	if got, want := fast.Interval(0), slow.Interval(0)/2; got < want*8/10 || got > want*12/10 {
		t.Errorf("interval %v, that of the endpoint of half the speed is %v", got, slow.Interval(0))
	}
	const slack = 150 * time.Millisecond
	if got, other := fast.GapChance(now, slack), slow.GapChance(now, slack); got > other/2 {
		t.Errorf("chance of a gap %.2f, that of the endpoint of half the speed is %.2f", got, other)
	}
}

// Guards against an endpoint counting as slow for seconds because it was slowed when it
// reported its load first.
func TestFirstReportOfASlowedEndpointIsNotItsSpeed(t *testing.T) {
	s := NewService(Prior{PromptToken: time.Microsecond, RunningRequest: time.Millisecond})
	now := proto.Instant(time.Second)
	for range 20 {
		s.NewEstimator().ObserveLoad(now, 0, 120)
	}
	e := s.NewEstimator()
	e.ObserveLoad(now, 0, 300)
	if e.slowdown.usual > 200 || e.Slowdown(now) < slowedFrom {
		t.Errorf("usual figure %.0f, slowdown %.2f after a first report of 300", e.slowdown.usual, e.Slowdown(0))
	}
}
