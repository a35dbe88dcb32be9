package proto

import "time"

// PeerBeat is the periodic message between routers.
type PeerBeat struct {
	Stamp  Stamp    `json:"stamp"`
	Router RouterID `json:"router"`
	Domain Domain   `json:"domain"`
	// Call numbers the sender's beats; a reply repeats the number of the beat
	// that it answers.
	Call uint64 `json:"call"`
	// LogReadAge is the time since the sender last read the head of the
	// config stream, itself or through a peer.
	LogReadAge time.Duration `json:"log_read_age_ns"`
	// LogReachable is set while the sender's own reads succeed.
	LogReachable bool `json:"log_reachable"`
	// Leaving is set while the sender drains.
	Leaving bool `json:"leaving,omitempty"`
	// GrantsFrom lists routers that are no longer registered and from which the
	// sender had a grant that may not have run out.
	GrantsFrom []RouterID `json:"grants_from,omitempty"`
	// Crashes lists crashes that the sender has seen and not yet read back
	// from the log, so that peers know the suspects during an outage as well.
	Crashes []CrashSeen `json:"crashes,omitempty"`
}

// PeerBeatReply answers a PeerBeat with the receiver's own state.
type PeerBeatReply struct {
	Beat PeerBeat `json:"beat"`
}

// StateRequest asks a peer for the config records that the sender lacks.
type StateRequest struct {
	From Offset `json:"from"`
}

// StateReply answers a StateRequest. Records start at or before the offset
// asked for, with a checkpoint first where older records are gone.
type StateReply struct {
	Stamp      Stamp         `json:"stamp"`
	Records    []Record      `json:"records"`
	Head       Offset        `json:"head"`
	LogReadAge time.Duration `json:"log_read_age_ns"`
}

// PromiseRequest asks a router not to claim a lease for a while.
type PromiseRequest struct {
	Lease    string        `json:"lease"`
	Duration time.Duration `json:"for_ns"`
	Call     uint64        `json:"call"`
}

// PromiseReply answers a PromiseRequest. A promise runs from its receipt.
type PromiseReply struct {
	Lease string `json:"lease"`
	Call  uint64 `json:"call"`
	OK    bool   `json:"ok"`
}

// IntentForward hands a call that may not be repeated to a router that
// follows the intent stream concerned. The answer is a CallerFinish or
// CallerRefusal addressed to the sender.
type IntentForward struct {
	Stamp   Stamp         `json:"stamp"`
	Account AccountID     `json:"account"`
	Request CallerRequest `json:"request"`
}

// HostState is one line of the platform's host list.
type HostState struct {
	Host    string `json:"host"`
	Leaving bool   `json:"leaving,omitempty"`
}

// HostList is the platform's lagging list of live and leaving hosts.
type HostList struct {
	Hosts []HostState `json:"hosts"`
}
