package pace_test

import (
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/core/pace"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// Guards against a report of the wrong gap or the wrong cause for a stream that
// stops once for longer than its route permits.
func TestTimingReportsLongestGap(t *testing.T) {
	const gap, target = 200 * time.Millisecond, 400 * time.Millisecond
	at := func(ms int) proto.Instant { return proto.Instant(0).Add(time.Duration(ms) * time.Millisecond) }
	var stream pace.Timing
	for i, ms := range []int{100, 110, 130, 390, 400} {
		stream.Record(at(ms), i, time.Duration(i)*time.Millisecond)
	}
	if stream.LongestGap != 260*time.Millisecond || stream.GapOffset != 30*time.Millisecond || stream.GapRunning != 3 ||
		stream.GapOwnDelay != time.Millisecond || stream.Duration() != 300*time.Millisecond || stream.Events != 5 {
		t.Errorf("%+v", stream)
	}
	if got := stream.Lateness(at(0), target, gap); got != pace.LateGap {
		t.Errorf("late by %q", got)
	}
	var short pace.Timing
	short.Record(at(450), 0, 0)
	for requested, want := range map[int]pace.Lateness{0: pace.LateTarget, 100: pace.NotLate} {
		if got := short.Lateness(at(requested), target, gap); got != want {
			t.Errorf("requested at %d ms: late by %q, want %q", requested, got, want)
		}
	}
}

// Guards against a process that was not scheduled for a while and takes that for a delay
// of the endpoints, whether its tick or the event is handled first afterwards.
func TestOwnDelayCountsMissedTicks(t *testing.T) {
	at := func(ms int) proto.Instant { return proto.Instant(time.Hour).Add(time.Duration(ms) * time.Millisecond) }
	d := pace.OwnDelay{Interval: 20 * time.Millisecond}
	for ms := 0; ms <= 100; ms += 20 {
		d.Tick(at(ms))
	}
	if got := d.Total(at(115)); got != 0 {
		t.Errorf("%v without a delay", got)
	}
	if got := d.Total(at(400)); got != 260*time.Millisecond {
		t.Errorf("%v before the tick", got)
	}
	d.Tick(at(400))
	if got := d.Total(at(401)); got != 260*time.Millisecond {
		t.Errorf("%v after the tick", got)
	}
	if got := d.Behind(at(401)); got != 260*time.Millisecond {
		t.Errorf("%v behind", got)
	}
	d.Tick(at(420))
	if got := d.Behind(at(421)); got != 0 {
		t.Errorf("%v behind after a further tick", got)
	}
}
