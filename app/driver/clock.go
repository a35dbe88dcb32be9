package driver

import (
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

var started = time.Now()

// Now returns the time on this process's own clock, which all of its machines
// share.
func Now() proto.Instant { return proto.Instant(time.Since(started)) }
