package quota

import (
	"cmp"
	"maps"
	"slices"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// maxExceeded limits the accounts in Counts.Exceeded, so that a message stays within a
// datagram.
const maxExceeded = 100

// exceededLevels returns the levels of the accounts beyond their limits, the lowest
// maxExceeded ones. The caller must hold mu.
func (t *Tracker) exceededLevels(now proto.Instant) map[proto.AccountID]int64 {
	share := t.share(now)
	levels := map[proto.AccountID]int64{}
	for id, b := range t.buckets {
		if t.refill(b, now, share); b.exceeded && (b.limit.Rate > 0 || !t.configured) {
			levels[id] = int64(b.level)
		}
	}
	lowestFirst := func(a, b proto.AccountID) int { return cmp.Compare(levels[a], levels[b]) }
	accounts := slices.SortedFunc(maps.Keys(levels), lowestFirst)
	for _, id := range accounts[min(len(accounts), maxExceeded):] {
		delete(levels, id)
	}
	return levels
}

// Exceeded returns the levels of the accounts beyond their limits, for the store.
func (t *Tracker) Exceeded(now proto.Instant) map[proto.AccountID]int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.exceededLevels(now)
}

// RestoreExceeded takes over the levels that the store holds.
func (t *Tracker) RestoreExceeded(now proto.Instant, levels map[proto.AccountID]int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.adoptExceeded(now, levels)
}

// grantBurst adds the burst of the share to the level.
func (b *bucket) grantBurst() {
	burst := float64(b.limit.Burst) * b.share
	b.level = min(b.level+burst, burst)
}

// adoptExceeded takes over what a peer or the store knows of accounts beyond their limits:
// the burst of such an account is spent, which a router that has just started cannot know.
// The first to tell grants the burst of the other accounts. The caller must hold mu.
func (t *Tracker) adoptExceeded(now proto.Instant, levels map[proto.AccountID]int64) {
	first := !t.informed
	t.informed = true
	if now.Sub(t.started) >= startupTime {
		t.averageLevels(now, levels)
		return
	}
	if first {
		for _, b := range t.buckets {
			b.grantBurst()
		}
	}
	for id, level := range levels {
		b := t.buckets[id]
		if b == nil { // not configured yet
			b = &bucket{refilledAt: now}
			t.buckets[id] = b
		}
		// Routers that start together would each spend what is left above 0.
		b.level, b.exceeded = min(0, b.level, float64(level)), true
	}
}

// averageLevels moves the levels of accounts beyond their limits towards those of a peer.
// Views of one account differ for as long as it asks for more than its rate, since what
// accrues to a full bucket is lost while the peers' spending is not known yet: some routers
// would admit all and others nothing, and a request that returns to any of them could not
// count on what one has promised. The average neither adds nor removes balance. The caller
// must hold mu.
func (t *Tracker) averageLevels(now proto.Instant, levels map[proto.AccountID]int64) {
	exchanging, all := t.exchanging(now)
	if 2*exchanging <= all {
		return // on the smaller side of a partition levels are of another scale
	}
	share := float64(exchanging) / float64(all)
	for id, level := range levels {
		b := t.buckets[id]
		if b == nil || b.limit.Rate <= 0 {
			continue
		}
		if t.refill(b, now, share); b.exceeded {
			burst := float64(b.limit.Burst)
			b.level += (min(max(float64(level), -burst), burst) - b.level) / float64(len(t.members)+1)
		}
	}
}
