package suspect

import (
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// Kinds of the records of this package in the config stream.
const (
	KindSuspect    proto.RecordKind = "suspect"
	KindTrial      proto.RecordKind = "trial"
	KindTrialEnd   proto.RecordKind = "trial-end"
	KindQuarantine proto.RecordKind = "quarantine"
	KindRelease    proto.RecordKind = "quarantine-release"
)

// Key names a request fingerprint of a client account.
type Key struct {
	Account     proto.AccountID   `json:"account"`
	Fingerprint proto.Fingerprint `json:"fingerprint"`
}

// Crash names one death of an endpoint.
type Crash struct {
	Endpoint    proto.EndpointID  `json:"endpoint"`
	Incarnation proto.Incarnation `json:"incarnation"`
}

// Suspect is the body of a KindSuspect record: the request was in flight at a crash.
type Suspect struct {
	Key
	Crash Crash `json:"crash"`
}

// Trial is the body of a KindTrial record. It takes effect only if After is
// the suspect's last trial, so that one of several racing records does.
type Trial struct {
	Key
	// Previous is the offset of the trial that ended or is void; 0 for the first.
	Previous proto.Offset   `json:"after"`
	Target   Crash          `json:"on"`
	Router   proto.RouterID `json:"router"`
}

// TrialEnd is the body of a KindTrialEnd record.
type TrialEnd struct {
	Key
	Trial  proto.Offset      `json:"trial"`
	Result proto.TrialResult `json:"result"`
	// Crash is set if the result is TrialCrashed.
	Crash Crash `json:"crash"`
}

// Quarantine is the body of a KindQuarantine record, an operator's order.
type Quarantine struct {
	Key
	TTL    time.Duration `json:"for_ns,omitempty"`
	Reason string        `json:"reason,omitempty"`
}

// Release is the body of a KindRelease record. It ends a quarantine or a suspicion.
type Release struct {
	Key
	// Since limits the release to the state of that offset; an operator's
	// release has 0 and applies to any.
	Since proto.Offset `json:"since,omitempty"`
	By    string       `json:"by"`
}
