package proto

import "time"

// PeerBeat is the periodic heartbeat between routers.
type PeerBeat struct {
	Stamp  Stamp    `json:"stamp"`
	Router RouterID `json:"router"`
	Domain Domain   `json:"domain"`
	// Call is the number of this heartbeat. The reply repeats it.
	Call uint64 `json:"call"`
	// LogReadAge is the time since the sender last read the config stream to its
	// head, from the log or from a peer.
	LogReadAge time.Duration `json:"log_read_age_ns"`
	// LogReachable is set while the sender's own reads of the log succeed.
	LogReachable bool `json:"log_reachable"`
	// Leaving is set while the sender is draining.
	Leaving bool `json:"leaving,omitempty"`
	// GrantsFrom lists routers that are no longer registered but from which the
	// sender received a grant that may not have expired.
	GrantsFrom []RouterID `json:"grants_from,omitempty"`
	// Crashes lists crashes that the sender has observed but not yet read back
	// from the log, so that peers learn of suspects even during a log outage.
	Crashes []CrashSeen `json:"crashes,omitempty"`
}

// PeerBeatReply answers a PeerBeat with the state of the router that received it.
type PeerBeatReply struct {
	Beat PeerBeat `json:"beat"`
}

// StateRequest asks a peer for the config records from offset From on.
type StateRequest struct {
	From Offset `json:"from"`
}

// StateReply answers a StateRequest. Records start at or before the requested
// offset. If older records have been discarded, the first one is a checkpoint.
type StateReply struct {
	Stamp      Stamp         `json:"stamp"`
	Records    []Record      `json:"records"`
	Head       Offset        `json:"head"`
	LogReadAge time.Duration `json:"log_read_age_ns"`
}

// PromiseRequest asks a router for a promise not to claim a lease for Duration.
type PromiseRequest struct {
	Lease    string        `json:"lease"`
	Duration time.Duration `json:"for_ns"`
	Call     uint64        `json:"call"`
}

// PromiseReply answers a PromiseRequest. The promise starts when the router
// receives the request.
type PromiseReply struct {
	Lease string `json:"lease"`
	Call  uint64 `json:"call"`
	OK    bool   `json:"ok"`
}

// IntentForward passes a non-idempotent call to a router that follows the intent
// stream of its key. The reply is a CallerFinish or CallerRefusal, addressed to the
// sender.
type IntentForward struct {
	Stamp   Stamp         `json:"stamp"`
	Account AccountID     `json:"account"`
	Request CallerRequest `json:"request"`
}

// HostState is one entry of the platform's host list.
type HostState struct {
	Host    string `json:"host"`
	Leaving bool   `json:"leaving,omitempty"`
}

// HostList is the platform's list of live and leaving hosts. It may be out of
// date.
type HostList struct {
	Hosts []HostState `json:"hosts"`
}
