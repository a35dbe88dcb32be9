// Package configlog applies the config stream of the log to the state that all
// nodes share: release notes, leases and registered routers, and the state of an
// Extension. The state depends only on the records and their order, so that nodes
// that have read the same records have the same state.
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

// NoOffset stands for a missing offset: that of a lease that was never held, of a
// checkpoint that does not exist, or of a record that is not in the log.
const NoOffset proto.Offset = -1

// ReleaseNote submits a note. The note has the id of the record.
type ReleaseNote struct {
	Note note.Note `json:"note"`
	// Router is the router to which the operator sent the note.
	Router proto.RouterID `json:"router,omitempty"`
	// SubmittedWall is the wall-clock time of the submission, for the history only.
	SubmittedWall time.Time `json:"submitted_wall,omitzero"`
}

// LeaseAction says what a Lease record does.
type LeaseAction string

// Actions on leases.
const (
	// LeaseClaim takes a lease that is free, released or expired. It takes effect
	// only if no record has changed or renewed the lease since Prior.
	LeaseClaim LeaseAction = "claim"
	// LeaseRenew extends the named lease, or without a name all leases of the holder.
	LeaseRenew LeaseAction = "renew"
	// LeaseRelease releases a lease and leaves its balance to the next holder.
	LeaseRelease LeaseAction = "release"
	// LeaseHandOver transfers a lease and its balance to the router To.
	LeaseHandOver LeaseAction = "hand-over"
)

// Lease claims, renews, releases or hands over a lease.
type Lease struct {
	Action LeaseAction    `json:"action"`
	Name   string         `json:"name,omitempty"`
	Holder proto.RouterID `json:"holder"`
	// Prior is, for a claim, the LeaseState.LastUpdate that the claimant has read, or
	// NoOffset if the lease did not exist.
	Prior proto.Offset `json:"prior,omitempty"`
	// Fence is the fencing token of the holder, for a renewal of one lease, a
	// release and a hand-over.
	Fence proto.Offset `json:"fence,omitempty"`
	// TTL is the time for which the lease is held after a claim, renewal or hand-over.
	TTL time.Duration `json:"ttl_ns,omitempty"`
	// To is the new holder, for a hand-over.
	To proto.RouterID `json:"to,omitempty"`
	// Balance is the balance that a release or a hand-over passes on, in tokens.
	Balance int64 `json:"balance,omitempty"`
}

// NoSlot is the slot of a router that has no static slot.
const NoSlot = -1

// Registration registers a router or, if Remove is set, removes it. A router that
// registers the address of another router replaces it, because only one process
// can listen on a port.
type Registration struct {
	Router proto.RouterID `json:"router"`
	// Addr is "ip:port".
	Addr   string       `json:"addr,omitempty"`
	Domain proto.Domain `json:"domain,omitempty"`
	// Slot is the static slot that the router asks for, or NoSlot. The slot goes to
	// the first router in log order that asks for it.
	Slot   int  `json:"slot"`
	Remove bool `json:"gone,omitempty"`
	// Writer is the router that wrote the record. A router that removes itself has
	// drained.
	Writer proto.RouterID `json:"by,omitempty"`
}
