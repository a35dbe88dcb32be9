package front

import (
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// Guards against times of a stop that do not fit its grace period: work that is cut before
// the last sixth, a process that is killed before it has exited, or requests that are taken
// when no time is left for them.
func TestStopTimesFitTheGracePeriod(t *testing.T) {
	const (
		now     = proto.Instant(5)
		logTime = 300 * time.Millisecond // the process's limit for the last lines of its log
	)
	for _, grace := range []time.Duration{time.Second, 2 * time.Second, 2500 * time.Millisecond, 4 * time.Second, 8 * time.Second, time.Minute, 10 * time.Minute} {
		s := newStopTimes(now, grace)
		cut := s.cutAt.Sub(now)
		if left := grace - cut - 2*s.step; cut < grace*5/6 || left < min(logTime, grace/16) {
			t.Errorf("%v: cut at %v, %v are left to write the log", grace, cut, left)
		}
		if taken := s.takesUntil.Sub(now); taken <= 0 || s.cutAt.Sub(s.takesUntil) < grace/3 || taken > 3*time.Second {
			t.Errorf("%v: requests are taken until %v and cut at %v", grace, taken, cut)
		}
	}
}
