package route

import "github.com/cespare/xxhash/v2"

const (
	// numSlots divides the hash space. Each slot keeps its own rendezvous
	// ranking, computed when the configuration changes, so that a decision
	// does not score every endpoint.
	numSlots = 8192
	// maxHomes is the number of ranked endpoints per slot, and so the widest
	// spread of a hot prefix.
	maxHomes = 8
)

// homes is the ranked home endpoints of every slot for one model or service.
// Rankings depend on the endpoints' ids only, so that all routers, new ones
// included, compute the same.
type homes struct {
	// ranked holds width indexes into the snapshot's endpoints for each slot.
	ranked []uint16
	width  int
	// members are all endpoints of the model or service.
	members []uint16
}

// newHomes ranks members, which index into endpoints. The second home is in
// another failure domain than the first where there is one, so that a prefix
// survives the loss of its first home's domain.
func newHomes(endpoints []*endpoint, members []uint16) *homes {
	h := &homes{members: members, width: min(maxHomes, len(members))}
	h.ranked = make([]uint16, 0, numSlots*h.width)
	ids := make([]uint64, len(members))
	for i, m := range members {
		ids[i] = xxhash.Sum64String(string(endpoints[m].id))
	}
	var best [maxHomes]scored
	for slot := range uint64(numSlots) {
		top := best[:0]
		salt := mix(slot + 1)
		for i, m := range members {
			top = insertTop(top, scored{score: mix(ids[i] ^ salt), member: m}, h.width)
		}
		spreadDomains(endpoints, top)
		for _, s := range top {
			h.ranked = append(h.ranked, s.member)
		}
	}
	return h
}

// of returns the homes of a block, best first.
func (h *homes) of(hash uint64) []uint16 {
	slot := int(hash % numSlots)
	return h.ranked[slot*h.width : (slot+1)*h.width]
}

type scored struct {
	score  uint64
	member uint16
}

// insertTop keeps top sorted by falling score and at most width long. The
// backing array must have room for width.
func insertTop(top []scored, s scored, width int) []scored {
	if len(top) == width {
		if s.score <= top[width-1].score {
			return top
		}
		top = top[:width-1]
	}
	i := len(top)
	top = append(top, s)
	for ; i > 0 && top[i-1].score < s.score; i-- {
		top[i] = top[i-1]
	}
	top[i] = s
	return top
}

// spreadDomains moves the best member of another failure domain to the second rank.
func spreadDomains(endpoints []*endpoint, top []scored) {
	for i := 1; i < len(top); i++ {
		if endpoints[top[i].member].domain == endpoints[top[0].member].domain {
			continue
		}
		moved := top[i]
		copy(top[2:i+1], top[1:i])
		top[1] = moved
		return
	}
}
