package admission

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxGroups bounds the groups of requests that a rank keeps credits of.
	maxGroups = 4096
	// maxOverdraft is the number of requests of a group that may return before their turn.
	maxOverdraft = 2
)

// credits admits a fraction of each group of requests: those of one account, kind and size. A
// group begins with a credit of 1, so that its first request is admitted, and few requests of
// a group get no less than many of another one.
type credits map[uint64]float64

// take counts a request and reports whether it is admitted. One that returns is admitted
// before new ones of its group.
func (c *credits) take(q Request, fraction float64) bool {
	key := groupOf(q)
	left, known := (*c)[key]
	switch {
	case !known && len(*c) >= maxGroups, *c == nil:
		*c = credits{}
		left = 1 - fraction
	case !known:
		left = 1 - fraction
	}
	// Requests that return were counted when they came first.
	least := 1.0
	if q.Returning {
		least = 1 - maxOverdraft
	} else {
		left = min(left+fraction, 2)
	}
	ok := left >= least-1e-9 // sums of fractions are not exact
	if ok {
		left--
	}
	(*c)[key] = left
	return ok
}

// groupOf returns the group of a request. Sizes within a factor of two are alike.
func groupOf(q Request) uint64 {
	size := string([]byte{0, byte(bits.Len64(uint64(max(0, q.Tokens))))})
	return xxhash.Sum64String(string(q.Account) + "\x00" + q.Route + size)
}
