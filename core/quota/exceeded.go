package quota

import "github.com/kumquatsill/kumquatsill/core/proto"

// maxExceeded limits the accounts in Counts.Exceeded, so that a message stays within a
// datagram.
const maxExceeded = 100

// exceededLevels returns the levels of the accounts beyond their limits, the lowest
// maxExceeded ones. The caller must hold mu.
func (t *Tracker) exceededLevels(now proto.Instant) map[proto.AccountID]int64 {
	share := t.share(now)
	levels := map[proto.AccountID]int64{}
	for id, b := range t.buckets {
		if t.refill(b, now, share); b.exceeded {
			levels[id] = int64(b.level)
		}
	}
	for len(levels) > maxExceeded {
		delete(levels, highest(levels))
	}
	return levels
}

// highest returns the account with the highest level.
func highest(levels map[proto.AccountID]int64) proto.AccountID {
	var top proto.AccountID
	for id, level := range levels {
		if top == "" || level > levels[top] {
			top = id
		}
	}
	return top
}

// adoptExceeded takes over what a peer knows of accounts beyond their limits: the burst of
// such an account is spent, which a router that has just started cannot know. The caller
// must hold mu.
func (t *Tracker) adoptExceeded(now proto.Instant, levels map[proto.AccountID]int64) {
	if now.Sub(t.started) >= startupTime {
		return
	}
	for id, level := range levels {
		if b := t.buckets[id]; b != nil {
			b.exceeded = true
			b.level = min(b.level, float64(level))
		}
	}
}
