//go:build !linux

package driver

import (
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

var processStart = time.Now()

// Now returns the time since this process started, which all of its machines share.
// On these systems the clock may stop while the host is suspended, so they are
// supported for development only.
func Now() proto.Instant { return proto.Instant(time.Since(processStart)) }
