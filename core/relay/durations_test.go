package relay_test

import (
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/core/relay"
)

// Guards against judging how long a request may take by those of another route or of long
// ago, or by none.
func TestLongestDuration(t *testing.T) {
	var durations relay.Durations
	expect := func(at time.Duration, route string, want time.Duration) {
		t.Helper()
		if got, ok := durations.Longest(proto.Instant(at), route); got != want || ok != (want > 0) {
			t.Errorf("%s at %v: %v %t, want %v", route, at, got, ok, want)
		}
	}
	expect(0, "a", 0)
	durations.Record(0, "a", 3*time.Second)
	durations.Record(proto.Instant(time.Second), "a", 2*time.Second)
	durations.Record(0, "b", time.Second)
	expect(29*time.Second, "a", 3*time.Second)
	expect(29*time.Second, "b", time.Second)
	durations.Record(proto.Instant(31*time.Second), "a", time.Second)
	expect(32*time.Second, "a", 3*time.Second)
	expect(62*time.Second, "a", time.Second)
	expect(200*time.Second, "a", 0)
}
