package peer

import (
	"github.com/cespare/xxhash/v2"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// maxEventsPerMessage keeps a message of cache events below MaxBytes.
const maxEventsPerMessage = 600

// Reader returns the router that reads an engine's cache events and passes them on to
// the others of its failure domain, by rendezvous hashing: when a router joins or
// leaves, only its own engines change their reader. It returns "" without routers.
func Reader(engine proto.EndpointID, routers []proto.RouterID) proto.RouterID {
	var reader proto.RouterID
	highest := uint64(0)
	for _, r := range routers {
		hash := xxhash.Sum64String(string(engine) + "\x00" + string(r))
		if reader == "" || hash > highest || hash == highest && r < reader {
			reader, highest = r, hash
		}
	}
	return reader
}

// Split returns events in parts that fit into one message each. Only the first tells
// of a restart.
func (c CacheEvents) Split() []CacheEvents {
	var parts []CacheEvents
	for len(c.Events) > maxEventsPerMessage {
		part := c
		part.Events = c.Events[:maxEventsPerMessage:maxEventsPerMessage]
		parts = append(parts, part)
		c.Restarted, c.Events = false, c.Events[maxEventsPerMessage:]
	}
	return append(parts, c)
}

// IsEmpty reports whether there is nothing to pass on.
func (c CacheEvents) IsEmpty() bool { return !c.Restarted && len(c.Events) == 0 }
