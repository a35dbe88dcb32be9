package driver

import (
	"github.com/kumquatsill/kumquatsill/core/proto"
	"golang.org/x/sys/unix"
)

// Now returns the time since this host's boot, which all machines of a process
// share. It includes time in which the host is suspended. Go's monotonic clock does
// not, so leases and grants that expired during a suspension would seem valid.
func Now() proto.Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("reading CLOCK_BOOTTIME: " + err.Error())
	}
	return proto.Instant(ts.Nano())
}
