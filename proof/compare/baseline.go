// Package compare compares the routing policy with baselines and an oracle. All
// of them run in virtual time with the real routers and agents, and with the same
// stand-ins and seeds.
package compare

import (
	"slices"
	"time"

	"github.com/kumquatsill/kumquatsill/core/note"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/core/route"
)

// cooldown is how long an endpoint is skipped after it failed or reported that it
// is down, as by the health checks of a typical load balancer.
const cooldown = 2 * time.Second

// baseline is the common part of the baselines and the oracle: the candidate
// endpoints from the configuration, health checks, and round robin for plain
// calls.
type baseline struct {
	cfg *note.Config
	// members holds the sorted endpoints by "s/" and service or "m/" and model.
	members map[string][]proto.EndpointID
	// avoidUntil is the time until which a failed endpoint is skipped.
	avoidUntil map[proto.EndpointID]proto.Instant
	// next counts the plain calls from the index of the router on, for round
	// robin.
	next int
	// pickEngine returns the index of the member that gets a generation.
	pickEngine func(now proto.Instant, members []proto.EndpointID, q route.Query) int
}

func newBaseline() *baseline {
	return &baseline{
		cfg:        note.Empty(),
		avoidUntil: map[proto.EndpointID]proto.Instant{},
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
	key := "m/" + q.Model
	if q.Class == proto.ClassCall {
		key = "s/" + q.Service
	}
	members := b.usable(now, b.members[key], q.Exclude)
	if len(members) == 0 {
		return route.Choice{}, proto.CauseNoEndpoint
	}
	if q.Class == proto.ClassGenerate {
		id := members[b.pickEngine(now, members, q)]
		return route.Choice{Endpoint: id, Reason: "baseline"}, ""
	}
	b.next++
	return route.Choice{Endpoint: members[b.next%len(members)], Reason: "baseline"}, ""
}

// usable returns the members that are not excluded. Members that failed recently
// are returned only if there are no others.
func (b *baseline) usable(now proto.Instant, members, exclude []proto.EndpointID) []proto.EndpointID {
	var healthy, failed []proto.EndpointID
	for _, id := range members {
		switch {
		case slices.Contains(exclude, id):
		case now < b.avoidUntil[id]:
			failed = append(failed, id)
		default:
			healthy = append(healthy, id)
		}
	}
	if len(healthy) == 0 {
		return failed
	}
	return healthy
}

// AttemptStarted implements route.Placer.
func (b *baseline) AttemptStarted(proto.Instant, proto.EndpointID, route.Query) {}

// AttemptEnded implements route.Placer.
func (b *baseline) AttemptEnded(proto.Instant, proto.EndpointID, route.Query) {}

// Observe implements route.Placer.
func (b *baseline) Observe(now proto.Instant, r proto.Report, _ []proto.BlockHash) {
	if r.Down {
		b.avoidUntil[r.Endpoint] = now.Add(cooldown)
		return
	}
	delete(b.avoidUntil, r.Endpoint)
}

// ObserveFailure implements route.Placer.
func (b *baseline) ObserveFailure(now proto.Instant, id proto.EndpointID) {
	b.avoidUntil[id] = now.Add(cooldown)
}
