// Package compare runs the routing policy against baselines and an oracle,
// over the same stand-ins and seeds, in virtual time and through the real
// routers and agents.
package compare

import (
	"slices"
	"time"

	"github.com/kumquatsill/kumquatsill/core/note"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/core/route"
)

// avoidFor is how long an endpoint that failed or reported that it is down is
// passed over, as by the health checks of a usual load balancer.
const avoidFor = 2 * time.Second

// baseline is what all comparators share: the members of the configuration,
// health checks and the service of plain calls in turn. generate picks an
// index into its members.
type baseline struct {
	cfg      *note.Config
	members  map[string][]proto.EndpointID
	avoid    map[proto.EndpointID]proto.Instant
	turn     int
	generate func(now proto.Instant, members []proto.EndpointID, q route.Query) int
}

func newBaseline() *baseline {
	return &baseline{
		cfg:   note.Empty(),
		avoid: map[proto.EndpointID]proto.Instant{},
	}
}

// Configure implements route.Placer.
func (b *baseline) Configure(_ proto.Instant, cfg *note.Config) {
	b.cfg = cfg
	b.members = map[string][]proto.EndpointID{}
	for id, e := range cfg.Endpoints {
		if e.Leaving {
			continue
		}
		if e.Kind == note.KindService {
			b.members["s/"+e.Service] = append(b.members["s/"+e.Service], id)
			continue
		}
		for _, m := range e.Models {
			b.members["m/"+m] = append(b.members["m/"+m], id)
		}
	}
	for _, ids := range b.members {
		slices.Sort(ids)
	}
}

// Choose implements route.Placer.
func (b *baseline) Choose(now proto.Instant, q route.Query) (route.Choice, proto.Cause) {
	name := "m/" + q.Model
	if q.Class == proto.ClassCall {
		name = "s/" + q.Service
	}
	members := b.usable(now, b.members[name], q.Exclude)
	if len(members) == 0 {
		return route.Choice{}, proto.CauseNoEndpoint
	}
	if q.Class == proto.ClassGenerate {
		id := members[b.generate(now, members, q)]
		return route.Choice{Endpoint: id, Reason: "baseline"}, ""
	}
	b.turn++
	return route.Choice{Endpoint: members[b.turn%len(members)], Reason: "baseline"}, ""
}

// usable returns the members that are not excluded; those that failed lately
// only if there is no other.
func (b *baseline) usable(now proto.Instant, members, exclude []proto.EndpointID) []proto.EndpointID {
	var good, rest []proto.EndpointID
	for _, id := range members {
		switch {
		case slices.Contains(exclude, id):
		case now < b.avoid[id]:
			rest = append(rest, id)
		default:
			good = append(good, id)
		}
	}
	if len(good) == 0 {
		return rest
	}
	return good
}

// AttemptStarted implements route.Placer.
func (b *baseline) AttemptStarted(proto.Instant, proto.EndpointID, route.Query) {}

// AttemptEnded implements route.Placer.
func (b *baseline) AttemptEnded(proto.Instant, proto.EndpointID, route.Query) {}

// Observe implements route.Placer.
func (b *baseline) Observe(now proto.Instant, r proto.Report, _ []proto.BlockHash) {
	if r.Down {
		b.avoid[r.Endpoint] = now.Add(avoidFor)
		return
	}
	delete(b.avoid, r.Endpoint)
}

// ObserveFailure implements route.Placer.
func (b *baseline) ObserveFailure(now proto.Instant, id proto.EndpointID) {
	b.avoid[id] = now.Add(avoidFor)
}
