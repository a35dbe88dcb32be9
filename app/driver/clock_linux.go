package driver

import (
	"github.com/kumquatsill/kumquatsill/core/proto"
	"golang.org/x/sys/unix"
)

// Now returns the time on this host's clock since its boot, which all machines
// of a process share. Go's own monotonic clock stands still while a host is
// suspended: leases and grants that had run out meanwhile would seem valid.
func Now() proto.Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("reading CLOCK_BOOTTIME: " + err.Error())
	}
	return proto.Instant(ts.Nano())
}
