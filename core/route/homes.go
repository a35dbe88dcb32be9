package route

import "github.com/cespare/xxhash/v2"

const (
	// numSlots is the number of slots of the hash space. Each has a rendezvous
	// hashing ranking of its own, which is computed when the configuration changes,
	// so that a decision does not score every endpoint.
	numSlots = 8192
	// maxHomes is the number of ranked endpoints per slot, which limits the spread
	// of a hot prefix.
	maxHomes = 8
)

// homes holds the home endpoints of every slot for one model or service. The homes of
// a block are the endpoints that requests with it should go to, best first. Rankings
// depend only on the endpoints' IDs and failure domains, so all routers, including new
// ones, compute the same.
type homes struct {
	// ranked holds width indexes into the snapshot's endpoints for each slot.
	ranked []uint16
	width  int
	// members holds the indexes of all endpoints of the model or service.
	members []uint16
}

// newHomes ranks members, which are indexes into endpoints. If possible, the second
// home is in another failure domain than the first, so that a prefix survives the loss
// of its first home's domain.
func newHomes(endpoints []*endpoint, members []uint16) *homes {
	h := &homes{members: members, width: min(maxHomes, len(members))}
	h.ranked = make([]uint16, 0, numSlots*h.width)
	idHashes := make([]uint64, len(members))
	for i, m := range members {
		idHashes[i] = xxhash.Sum64String(string(endpoints[m].id))
	}
	var best [maxHomes]rankedMember
	for slot := range uint64(numSlots) {
		top := best[:0]
		salt := mix(slot + 1)
		for i, m := range members {
			top = insertTop(top, rankedMember{score: mix(idHashes[i] ^ salt), member: m}, h.width)
		}
		separateDomains(endpoints, top)
		for _, s := range top {
			h.ranked = append(h.ranked, s.member)
		}
	}
	return h
}

// forBlock returns the homes of a block, as indexes into the snapshot's endpoints, best
// first.
func (h *homes) forBlock(hash uint64) []uint16 {
	slot := int(hash % numSlots)
	return h.ranked[slot*h.width : (slot+1)*h.width]
}

// rankedMember is a member with its rendezvous hashing score in one slot.
type rankedMember struct {
	score  uint64
	member uint16
}

// insertTop inserts s into top, which stays sorted by descending score and at most
// width long. Its backing array must have room for width elements.
func insertTop(top []rankedMember, s rankedMember, width int) []rankedMember {
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

// separateDomains moves the best member of another failure domain than the first
// member's to the second rank.
func separateDomains(endpoints []*endpoint, top []rankedMember) {
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
