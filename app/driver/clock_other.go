//go:build !linux

package driver

import (
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

var started = time.Now()

// Now returns the time on this process's own clock, which all of its machines
// share. On these systems it may stand still while the host is suspended, so
// they are for development only.
func Now() proto.Instant { return proto.Instant(time.Since(started)) }
