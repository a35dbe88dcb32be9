package limit

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/kumquatsill/kumquatsill/core/note"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

const (
	// Groups is the number of lease groups that accounts are hashed into.
	Groups = 8
	// Parts is the number of parts of each account's bucket. There are
	// Groups x Parts leases, however many accounts there are.
	Parts = 3
	// staticDivisor makes the static share a tenth of rate and burst.
	staticDivisor = 10
	// MaxViewAge is how long a view of the slots may be used after the log's
	// head was read.
	MaxViewAge = 4 * time.Second
	// SlotChangeDelay is the time from the moment a router sees a claim or release
	// of a slot to the moment it counts the slot's tokens: other views are
	// stale for FreshFor at most, and grants from them live for GrantTTL more.
	SlotChangeDelay = MaxViewAge + issueLife + clockMargin
)

// Lease names the lease of one part of all accounts of a group.
type Lease struct {
	Group int
	Part  int
}

// Group returns the lease group of an account.
func Group(account proto.AccountID) int {
	return int(xxhash.Sum64String(string(account)) % Groups)
}

// Slot is the state of one static slot as folded from the log.
type Slot struct {
	// Owner is empty for an unclaimed slot.
	Owner proto.RouterID
	// ChangeOffset is the offset of the claim or of the release.
	ChangeOffset proto.Offset
}

// SlotView is a router's knowledge of all static slots.
type SlotView struct {
	Slots []Slot
	// ReadAt is an instant on this node's clock at or before which the head
	// of the config stream, up to which the view is folded, was the head.
	ReadAt proto.Instant
	// Outage is set in a general outage of the log: owners keep their slots.
	Outage bool
}

// partLimit returns rate and burst of a part in millionths of a token. extra
// is the number of unclaimed slots out of total that count to the part.
func partLimit(a note.Account, extra, total int) (rate, burst int64) {
	slotRate, slotBurst := slotLimit(a, total)
	rate = (a.Rate*micro - a.Rate*micro/staticDivisor) / Parts
	burst = (a.Burst*micro - a.Burst*micro/staticDivisor) / Parts
	return rate + slotRate*int64(extra), burst + slotBurst*int64(extra)
}

// slotLimit returns rate and burst of one of total slots in millionths of a token.
func slotLimit(a note.Account, total int) (rate, burst int64) {
	if total <= 0 {
		return 0, 0
	}
	divisor := int64(staticDivisor * total)
	return a.Rate * micro / divisor, a.Burst * micro / divisor
}
