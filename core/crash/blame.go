package crash

import (
	"cmp"
	"slices"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// assignBlame decides which candidates are blocked. All requests that were beginning at
// an endpoint are suspects of its crash, so that a part that most requests share is
// present at as many crashes as a harmful one. The traits with the highest suspicion are
// blocked first, and crashes under them do not count against others; mu must be held.
func (r *Register) assignBlame(now proto.Instant) {
	r.blamedAt = now
	type candidate struct {
		trait Trait
		entry *entry
	}
	order := make([]candidate, 0, len(r.candidates))
	for t, e := range r.candidates {
		order = append(order, candidate{t, e})
	}
	slices.SortFunc(order, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.entry.suspicion(), a.entry.suspicion()), cmp.Compare(a.trait, b.trait))
	})
	explained := map[proto.EndpointID][]proto.Instant{}
	for _, c := range order {
		blocked := c.entry.sufficesBeyond(now, explained)
		r.setBlocked(now, c.trait, c.entry, blocked)
		if !blocked {
			continue
		}
		for _, k := range c.entry.crashes {
			explained[k.endpoint] = append(explained[k.endpoint], k.at)
		}
	}
}

// suspicion grows with the number of crashes, and with their share of the requests with
// the trait that this router has let through.
func (e *entry) suspicion() float64 {
	crashes := float64(max(len(e.crashes), e.restored))
	return crashes * crashes / float64(1+e.sent)
}

// sufficesBeyond reports whether the crashes that others do not explain suffice to
// block the trait.
func (e *entry) sufficesBeyond(now proto.Instant, explained map[proto.EndpointID][]proto.Instant) bool {
	if e.restored >= blockThreshold {
		return true
	}
	rest := entry{crashes: slices.Clone(e.crashes)}
	rest.crashes = slices.DeleteFunc(rest.crashes, func(c endpointCrash) bool {
		return slices.ContainsFunc(explained[c.endpoint], func(at proto.Instant) bool { return c.at.Sub(at).Abs() < sameCrashWindow })
	})
	return rest.suffices(now)
}
