package crash

import (
	"cmp"
	"slices"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// candidate is a trait that may be blocked or told of.
type candidate struct {
	trait Trait
	entry *entry
}

// assignBlame decides which candidates are blocked. All requests that were beginning at
// an endpoint are suspects of its crash, so that a part that most requests share is
// present at as many crashes as a harmful one. The traits with the highest suspicion are
// blocked first, and crashes under them do not count against others. It does nothing if it
// was called less than blameInterval ago; mu must be held.
func (r *Register) assignBlame(now proto.Instant) {
	if len(r.candidates) == 0 || now.Sub(r.blamedAt) < blameInterval {
		return
	}
	r.blamedAt = now
	order := make([]candidate, 0, len(r.candidates))
	for t, e := range r.candidates {
		order = append(order, candidate{t, e})
	}
	slices.SortFunc(order, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.entry.suspicion(), a.entry.suspicion()), cmp.Compare(a.trait, b.trait))
	})
	explained := map[EventID]bool{}
	for _, c := range order {
		blocked := c.entry.sufficesBeyond(now, explained)
		r.setBlocked(now, c.trait, c.entry, blocked)
		if !blocked {
			continue
		}
		for _, k := range c.entry.crashes.counted() {
			explained[k.id] = true
		}
	}
}

// suspicion grows with the number of crashes, and with their share of the requests with
// the trait that this router has let through.
func (e *entry) suspicion() float64 {
	crashes := float64(len(e.crashes.counted()))
	return crashes * crashes / float64(1+e.sent)
}

// sufficesBeyond reports whether the crashes that others do not explain suffice to
// block the trait.
func (e *entry) sufficesBeyond(now proto.Instant, explained map[EventID]bool) bool {
	rest := slices.DeleteFunc(e.crashes.counted(), func(c event) bool { return explained[c.id] })
	return rest.suffice(now)
}
