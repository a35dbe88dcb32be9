package suspect

import (
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// Record kinds that this package writes to the config stream.
const (
	KindSuspect    proto.RecordKind = "suspect"
	KindTrial      proto.RecordKind = "trial"
	KindTrialEnd   proto.RecordKind = "trial-end"
	KindQuarantine proto.RecordKind = "quarantine"
	KindRelease    proto.RecordKind = "quarantine-release"
)

// Key identifies a request fingerprint of a client account.
type Key struct {
	Account     proto.AccountID   `json:"account"`
	Fingerprint proto.Fingerprint `json:"fingerprint"`
}

// Crash identifies a crash by the engine incarnation that it ended.
type Crash struct {
	Endpoint    proto.EndpointID  `json:"endpoint"`
	Incarnation proto.Incarnation `json:"incarnation"`
}

// Suspect is the body of a KindSuspect record. It says that a request with the
// fingerprint was in flight at an endpoint when the endpoint crashed.
type Suspect struct {
	Key
	Crash Crash `json:"crash"`
}

// Trial is the body of a KindTrial record, with which a router claims a trial. It
// takes effect only if Previous is the suspect's last trial, so that only one of
// several concurrent claims succeeds.
type Trial struct {
	Key
	// Previous is the offset of the last trial, which has ended or expired. It is
	// 0 for the first trial.
	Previous proto.Offset `json:"after"`
	// Target is the engine incarnation that runs the trial.
	Target Crash          `json:"on"`
	Router proto.RouterID `json:"router"`
}

// TrialEnd is the body of a KindTrialEnd record.
type TrialEnd struct {
	Key
	Trial  proto.Offset      `json:"trial"`
	Result proto.TrialResult `json:"result"`
	// Crash is set if the result is TrialCrashed.
	Crash Crash `json:"crash"`
}

// Quarantine is the body of a KindQuarantine record, which an operator writes.
type Quarantine struct {
	Key
	TTL    time.Duration `json:"for_ns,omitempty"`
	Reason string        `json:"reason,omitempty"`
}

// Release is the body of a KindRelease record. It removes the entry of a suspect
// or quarantined fingerprint.
type Release struct {
	Key
	// Since makes the release conditional: it applies only while the entry has
	// the same Since. 0, as in an operator's release, applies to any state.
	Since proto.Offset `json:"since,omitempty"`
	// By is the operator, or "expiry" if a router released an expired entry.
	By string `json:"by"`
}
