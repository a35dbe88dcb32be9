package driver

import (
	"testing"

	"github.com/kumquatsill/kumquatsill/core/proto"
	"golang.org/x/sys/unix"
)

func bootTime(t *testing.T) proto.Instant {
	t.Helper()
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		t.Fatal(err)
	}
	return proto.Instant(ts.Nano())
}

// Guards against a clock that stops while the host is suspended.
func TestClockCountsSuspension(t *testing.T) {
	before := bootTime(t)
	now := Now()
	if after := bootTime(t); now < before || now > after {
		t.Errorf("the clock shows %d, the time since boot is %d to %d", now, before, after)
	}
}
