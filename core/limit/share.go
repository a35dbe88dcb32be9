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
	// Groups x Parts leases, regardless of the number of accounts.
	Parts = 3
	// staticDivisor makes the static share of all slots a tenth of rate and burst.
	staticDivisor = 10
	// MaxViewAge is how long a SlotView may be used after its ReadAt.
	MaxViewAge = 4 * time.Second
	// SlotChangeDelay is how long after seeing a claim or release of a slot a
	// router starts to count the slot's tokens: the views of other routers may lag
	// by up to MaxViewAge, and grants based on them are valid for GrantTTL more.
	SlotChangeDelay = MaxViewAge + grantLifetime + clockMargin
)

// Lease identifies the lease of one part of the buckets of a lease group.
type Lease struct {
	Group int
	Part  int
}

// Group returns the lease group of an account.
func Group(account proto.AccountID) int {
	return int(xxhash.Sum64String(string(account)) % Groups)
}

// Slot is the state of one static slot according to the log.
type Slot struct {
	// Owner is empty for an unclaimed slot.
	Owner proto.RouterID
	// ChangeOffset is the log offset of the last claim or release.
	ChangeOffset proto.Offset
}

// SlotView is a router's view of all static slots.
type SlotView struct {
	Slots []Slot
	// ReadAt is a lower bound, by this node's clock, of the time at which the view
	// was up to date with the head of the config stream.
	ReadAt proto.Instant
	// Outage is set during a general outage of the log, in which owners keep
	// their slots.
	Outage bool
}

// partLimit returns rate and burst of a part in millionths of a token, including
// those of unclaimed slots out of total.
func partLimit(a note.Account, unclaimed, total int) (rate, burst int64) {
	slotRate, slotBurst := slotLimit(a, total)
	rate = (a.Rate*microPerToken - a.Rate*microPerToken/staticDivisor) / Parts
	burst = (a.Burst*microPerToken - a.Burst*microPerToken/staticDivisor) / Parts
	return rate + slotRate*int64(unclaimed), burst + slotBurst*int64(unclaimed)
}

// slotLimit returns rate and burst of one of total slots, in millionths of a
// token.
func slotLimit(a note.Account, total int) (rate, burst int64) {
	if total <= 0 {
		return 0, 0
	}
	divisor := int64(staticDivisor * total)
	return a.Rate * microPerToken / divisor, a.Burst * microPerToken / divisor
}
