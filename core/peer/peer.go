// Package peer defines the message that routers exchange at short intervals.
// Messages may be lost, repeated and reordered; each stands for itself.
package peer

import (
	"encoding/json"

	"github.com/kumquatsill/kumquatsill/core/crash"
	"github.com/kumquatsill/kumquatsill/core/place"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/core/quota"
	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("peer")

// MaxBytes is the greatest size of an encoded message, that of a UDP datagram.
const MaxBytes = 60_000

// Load is an engine that was ordered to load a version.
type Load struct {
	Endpoint proto.EndpointID `json:"endpoint"`
	// RemainingMillis is how much longer the engine is expected to take no work.
	RemainingMillis int64 `json:"for_ms"`
}

// Reached is an engine that has told a new version.
type Reached struct {
	Endpoint proto.EndpointID `json:"endpoint"`
	Model    string           `json:"model"`
	Version  int64            `json:"version"`
}

// Message is what one router tells its peers.
type Message struct {
	Counts quota.Counts `json:"counts"`
	// Addr is where the sender takes messages, Domain its failure domain; both
	// come with whole counts only.
	Addr   string       `json:"addr,omitempty"`
	Domain proto.Domain `json:"domain,omitempty"`
	// Leaving is set in the last messages of a router that stops.
	Leaving bool          `json:"leaving,omitempty"`
	Crashes []crash.Count `json:"crashes,omitempty"`
	Loads   []Load        `json:"loads,omitempty"`
	Reached []Reached     `json:"reached,omitempty"`
	// Attempts are those begun since the last message.
	Attempts []place.AttemptNotice `json:"attempts,omitempty"`
	// Named lists the versions that the operator has named.
	Named []proto.VersionAge `json:"named,omitempty"`
	// Seen lists endpoints that have answered the sender lately.
	Seen []place.Seen `json:"seen,omitempty"`
	// Silent lists endpoints that have stopped to answer the sender.
	Silent []proto.EndpointID `json:"silent,omitempty"`
}

// Encode returns the JSON form. It fails if the message is too large.
func Encode(m Message) ([]byte, error) {
	data, err := json.Marshal(m)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if len(data) > MaxBytes {
		return nil, Error.New("the message has %d bytes, at most %d are allowed", len(data), MaxBytes)
	}
	return data, nil
}

// Decode is the inverse of Encode. It fails on anything but a message that
// names its sender.
func Decode(data []byte) (Message, error) {
	var m Message
	if err := json.Unmarshal(data, &m); err != nil {
		return m, Error.Wrap(err)
	}
	if m.Counts.Router == "" {
		return m, Error.New("the message names no sender")
	}
	return m, nil
}
