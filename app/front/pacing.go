package front

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/core/serving"
)

// delayTick is the interval of the tick that measures for how long the process did not run.
// It is short compared to the gaps that routes permit.
const delayTick = 20 * time.Millisecond

// pacingCheckInterval is the time between two checks whether endpoints report their slowdown.
const pacingCheckInterval = time.Second

// measureOwnDelay measures for how long this process does not run, once endpoints report their
// slowdown: only the estimates of their pace use it.
func (f *Front) measureOwnDelay(ctx context.Context) error {
	for !f.placer.EstimatesPace() {
		if sleep(ctx, pacingCheckInterval); ctx.Err() != nil {
			return nil
		}
	}
	return every(ctx, delayTick, f.ownDelay.Tick)
}

// latencyLeft returns the time until the request's first event is late, or 0 if it is
// late already or its route has no target.
func (x *request) latencyLeft(now proto.Instant) time.Duration {
	if x.route.TargetLatency <= 0 || !x.relay.Delivery().IsEmpty() {
		return 0
	}
	return max(0, x.route.TargetLatency-now.Sub(x.arrived))
}

// pacing returns the log attributes on the pace of an attempt's stream and on the
// load that its endpoint reported. It returns none for other kinds of response.
func (a *attempt) pacing() []any {
	x := a.request
	if x.route.Kind != serving.Stream {
		return nil
	}
	t := &a.timing
	fromArrival := int64(-1)
	if t.Events > 0 {
		fromArrival = t.First.Sub(x.arrived).Milliseconds()
	}
	return []any{
		"route", x.route.Name, "first_from_arrival_ms", fromArrival, "events", t.Events, "events_ms", millis(t.Duration()),
		"gap_ms", millis(t.LongestGap), "gap_at_ms", millis(t.GapOffset), "gap_running", t.GapRunning, "gap_own_delay_ms", millis(t.GapOwnDelay),
		"late", string(t.Lateness(x.arrived, x.route.TargetLatency, x.route.TargetGap)),
		"memory_wait_ms", a.choice.MemoryWait.Milliseconds(),
		"load_running", a.load.Running, "load_waiting", a.load.Waiting, "load_slots", a.load.Slots, "load_slowdown", a.load.Slowdown,
	}
}

// isWholeStream reports whether the response is a stream that no other attempt has begun.
func (a *attempt) isWholeStream() bool {
	x := a.request
	return x.route.Kind == serving.Stream && a.status < http.StatusMultipleChoices && x.relay.Sends() == 1 && !x.info.HasLastEvent
}

// millis returns a time in milliseconds with one decimal.
func millis(d time.Duration) float64 {
	return float64(d.Round(100*time.Microsecond)) / float64(time.Millisecond)
}

// paced records the longest gap of a stream and the time from the request's arrival to
// the first byte, labeled with the route's kind and priority.
func (t *telemetry) paced(a *attempt) {
	x := a.request
	if a.firstByteAt == 0 {
		return
	}
	labels := fmt.Sprintf(`{kind=%q,priority="%d"}`, x.route.Kind, x.route.Priority)
	t.set.GetOrCreateHistogram("kumquatsill_route_first_byte_seconds" + labels).Update(a.firstByteAt.Sub(x.arrived).Seconds())
	if x.route.Kind == serving.Stream && a.timing.Events > 1 {
		t.set.GetOrCreateHistogram("kumquatsill_stream_longest_gap_seconds" + labels).Update(a.timing.LongestGap.Seconds())
	}
}
