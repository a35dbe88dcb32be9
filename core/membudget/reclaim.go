package membudget

import (
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// reclaim chooses the holders that make room for n bytes of h: those without progress, else
// the largest of a client that holds more than its share and is not the client of h. b.mu
// must be held.
func (b *Budget) reclaim(now proto.Instant, h *Holder, n int64) []*Holder {
	if b.reclaiming >= n {
		return nil // enough will be released soon
	}
	var victims []*Holder
	for freed := b.reclaiming; freed < n; {
		victim := b.longestStalled(now, h)
		if victim == nil {
			break
		}
		freed += victim.bytes
		b.mark(victim, Stalled)
		victims = append(victims, victim)
	}
	if len(victims) > 0 || b.reclaiming > 0 {
		return victims
	}
	if victim := b.beyondShare(h); victim != nil {
		b.mark(victim, BeyondShare)
		victims = append(victims, victim)
	}
	return victims
}

// mark records that a holder is told to release its memory. b.mu must be held.
func (b *Budget) mark(h *Holder, cause Cause) {
	h.cause.Store(uint32(cause))
	b.reclaiming += h.bytes
}

// longestStalled returns the holder that has been without progress for the longest time of
// those that count as stalled, or nil. b.mu must be held.
func (b *Budget) longestStalled(now proto.Instant, except *Holder) *Holder {
	var victim *Holder
	for h := range b.holders {
		at := h.progressAt.Load()
		if h == except || h.Cause() != NotReclaimed || now.Sub(proto.Instant(at)) < stalledAfter {
			continue
		}
		if victim == nil || at < victim.progressAt.Load() {
			victim = h
		}
	}
	return victim
}

// beyondShare returns the largest holder of the account or address that holds the most, if
// that is more than its share and h belongs to another one, or nil. b.mu must be held.
func (b *Budget) beyondShare(h *Holder) *Holder {
	if account := most(b.accounts); account != "" && account != h.account && h.account != "" {
		if victim := b.largest(func(v *Holder) bool { return v.account == account }); victim != nil {
			return victim
		}
	}
	if address := most(b.addresses); address != "" && address != h.address {
		return b.largest(func(v *Holder) bool { return v.address == address })
	}
	return nil
}

// most returns the name of the group that holds the most, if that is more than the mean.
func most(groups map[string]*group) string {
	name, held, sum := "", int64(0), int64(0)
	for n, g := range groups {
		sum += g.total
		if g.total > held {
			name, held = n, g.total
		}
	}
	if held*int64(len(groups)) <= sum {
		return ""
	}
	return name
}

// largest returns the holder that holds the most of those that can release it and for which
// match returns true, or nil. b.mu must be held.
func (b *Budget) largest(match func(*Holder) bool) *Holder {
	var victim *Holder
	for h := range b.holders {
		if h.Cause() == NotReclaimed && match(h) && (victim == nil || h.bytes > victim.bytes) {
			victim = h
		}
	}
	return victim
}
