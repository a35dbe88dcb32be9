// Package configlog folds the config stream of the log into the state that
// all nodes share: release notes, leases and registered routers, and what an
// Extension adds. Folding uses the records and their order only, so that nodes
// that read the same records have the same state.
package configlog

import (
	"time"

	"github.com/kumquatsill/kumquatsill/core/note"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("configlog")

// Kinds of records of the config stream.
const (
	KindReleaseNote  proto.RecordKind = "release-note"
	KindLease        proto.RecordKind = "lease"
	KindRegistration proto.RecordKind = "registration"
	KindCheckpoint   proto.RecordKind = "checkpoint"
)

// NoOffset stands for a lease that was never held.
const NoOffset proto.Offset = -1

// ReleaseNote submits a note. The record's id names the note in the history.
type ReleaseNote struct {
	Note note.Note `json:"note"`
	// Router took the note from the operator.
	Router proto.RouterID `json:"router,omitempty"`
	// SubmittedWall is for the history only.
	SubmittedWall time.Time `json:"submitted_wall,omitzero"`
}

// LeaseAction says what a Lease record does.
type LeaseAction string

// Actions on leases.
const (
	// LeaseClaim takes a lease that is free, released or expired. It counts
	// only if the lease was not touched since Prior.
	LeaseClaim LeaseAction = "claim"
	// LeaseRenew extends the named lease, or without a name all leases of the holder.
	LeaseRenew LeaseAction = "renew"
	// LeaseRelease frees a lease and leaves its balance to the next claim.
	LeaseRelease LeaseAction = "release"
	// LeaseHandOver makes To the holder, with the balance.
	LeaseHandOver LeaseAction = "hand-over"
)

// Lease claims, renews, releases or hands over a lease.
type Lease struct {
	Action LeaseAction    `json:"action"`
	Name   string         `json:"name,omitempty"`
	Holder proto.RouterID `json:"holder"`
	// Prior is, for a claim, the LeaseState.Touched that the claimant saw, or NoOffset.
	Prior proto.Offset `json:"prior,omitempty"`
	// Fence is the fencing number of the holder, for a named renewal, a
	// release and a hand-over.
	Fence proto.Offset `json:"fence,omitempty"`
	// TTL is the time for which a claim, renewal or hand-over holds.
	TTL time.Duration  `json:"ttl_ns,omitempty"`
	To  proto.RouterID `json:"to,omitempty"`
	// Balance is what a release or a hand-over passes on, in tokens.
	Balance int64 `json:"balance,omitempty"`
}

// NoSlot is the slot of a router without a static share.
const NoSlot = -1

// Registration announces a router or, if Gone is set, removes it. A router
// that registers the address of another replaces it, since a port serves one
// process only.
type Registration struct {
	Router proto.RouterID `json:"router"`
	// Addr is "ip:port".
	Addr   string       `json:"addr,omitempty"`
	Domain proto.Domain `json:"domain,omitempty"`
	// Slot is the static slot wanted, or NoSlot. The first claim in log order wins.
	Slot   int  `json:"slot"`
	Remove bool `json:"gone,omitempty"`
	// Writer is the router that wrote the record. One that removes itself has drained.
	Writer proto.RouterID `json:"by,omitempty"`
}
