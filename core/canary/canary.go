// Package canary decides how the traffic of a service moves from one software version of
// its endpoints to another one that the operator has ordered: which requests go to the new
// release, when it has proved good or bad, and when the rollout is completed or rolled back.
//
// Every router follows the order on its own. Until the verdict is good, it limits what it
// sends to the new release by its own counts alone, so that the sum over all routers holds
// whatever they receive from each other. Routers exchange cumulative counts of outcomes; each
// stops on its own once the merged counts show that the release is bad. Only the holder of the
// fleet's lease decides that a release is good and writes the status.
package canary

import (
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// Bounds limits what a bad release may receive.
type Bounds struct {
	// ExposureShare is the fraction of a service's requests between the order and its
	// deadline, and ExposureSlack the number of requests in addition, that may be sent to a
	// release that is not known to be good.
	ExposureShare, ExposureSlack float64
	// RollbackWithin is the time after the 50th bad response from which on a bad release
	// receives no request.
	RollbackWithin time.Duration
}

// Enabled reports whether the settings contain the bounds. Otherwise orders have no effect.
func (b Bounds) Enabled() bool { return b.ExposureShare > 0 && b.RollbackWithin > 0 }

// Order is the operator's request to move a service to a release within a time.
type Order struct {
	Service, To string
	Duration    time.Duration
	// At is the position of the order in the store.
	At proto.LogPosition
}

// State is the state of a rollout as stored.
type State string

// States of a rollout. Completed and RolledBack are final.
const (
	Running    State = "running"
	Completed  State = "completed"
	RolledBack State = "rolled_back"
)

// IsFinal reports whether the rollout has ended.
func (s State) IsFinal() bool { return s == Completed || s == RolledBack }

// Status is the stored state of the last rollout of a service. The zero Status means that
// there is none.
type Status struct {
	State State
	To    string
}

// Phase is what a router does with the requests of a service during a rollout.
type Phase uint8

const (
	// Sampling sends a small part of the requests to the new release.
	Sampling Phase = iota
	// Loading sends all requests to it for as long as the exposure bound allows, which shows
	// faults that depend on load.
	Loading
	// Moving sends all requests to it, as it has proved good.
	Moving
	// Stopped sends no requests to it, as it has proved bad.
	Stopped
	// Ended follows the final status.
	Ended
)

var phaseNames = [...]string{Sampling: "sampling", Loading: "loading", Moving: "moving", Stopped: "stopped", Ended: "ended"}

// String returns the phase's name.
func (p Phase) String() string { return phaseNames[p] }
