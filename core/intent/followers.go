package intent

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// FollowersPerShard is the number of routers that follow one intent stream.
// Fleets of up to this size follow every stream.
const FollowersPerShard = 4

// Followers returns the routers that follow a stream, by rendezvous hashing, the
// preferred one first. Correctness does not depend on the choice, since the order
// of the log decides.
func Followers(stream string, routers []proto.RouterID) []proto.RouterID {
	ranked := slices.Clone(routers)
	slices.SortFunc(ranked, func(a, b proto.RouterID) int {
		return cmp.Or(cmp.Compare(weight(stream, b), weight(stream, a)), cmp.Compare(a, b))
	})
	return ranked[:min(len(ranked), FollowersPerShard)]
}

func weight(stream string, r proto.RouterID) uint64 {
	return xxhash.Sum64String(stream + "\x00" + string(r))
}
