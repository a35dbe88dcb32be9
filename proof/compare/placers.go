package compare

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/core/route"
	"github.com/kumquatsill/kumquatsill/proof/fleet"
	"github.com/kumquatsill/kumquatsill/proof/workload"
)

// Policy is the name of a placement algorithm.
type Policy string

// View is the routing policy and Oracle its reference; the others are the
// baselines.
const (
	View        Policy = "view"
	RoundRobin  Policy = "round-robin"
	LeastLoaded Policy = "least-loaded"
	WholeHash   Policy = "whole-hash"
	Oracle      Policy = "oracle"
)

// Policies returns all placements in the order of the table.
func Policies() []Policy { return []Policy{View, RoundRobin, LeastLoaded, WholeHash, Oracle} }

// Baselines returns the placements that the routing policy is measured against.
func Baselines() []Policy { return []Policy{RoundRobin, LeastLoaded, WholeHash} }

// newRoundRobin returns a placement that uses the endpoints in turn. Each router
// starts at a different endpoint.
func newRoundRobin(index int) *baseline {
	b := newBaseline()
	b.next = index
	next := index * 7
	b.pickEngine = func(_ proto.Instant, members []proto.EndpointID, _ route.Query) int {
		next++
		return next % len(members)
	}
	return b
}

// newWholeHash returns a placement that assigns each complete prompt prefix to one
// endpoint by rendezvous hashing.
func newWholeHash(index int) *baseline {
	b := newBaseline()
	b.next = index
	b.pickEngine = func(_ proto.Instant, members []proto.EndpointID, q route.Query) int {
		var key [8]byte
		if n := len(q.Blocks); n > 0 {
			binary.LittleEndian.PutUint64(key[:], uint64(q.Blocks[n-1]))
		}
		best, highest := 0, uint64(0)
		for i, id := range members {
			var d xxhash.Digest
			d.Reset()
			d.WriteString(string(id))
			d.Write(key[:])
			if score := d.Sum64(); score >= highest {
				best, highest = i, score
			}
		}
		return best
	}
	return b
}

const (
	// loadReportInterval is the time between two load reports, loadReportDelay
	// their age when they reach the routers.
	loadReportInterval = time.Second
	loadReportDelay    = 500 * time.Millisecond
)

// loads holds the latest load report, which all routers receive.
type loads struct {
	// round counts the reports. prefill holds the outstanding prompt tokens of
	// each endpoint.
	round   int
	prefill map[proto.EndpointID]int64
}

// newLeastLoaded returns a placement that picks the endpoint with the fewest
// outstanding prompt tokens: those in the last load report plus those that this
// router has sent since.
func newLeastLoaded(index int, reported *loads) *baseline {
	b := newBaseline()
	b.next = index
	sentSince := map[proto.EndpointID]int64{}
	round := 0
	b.pickEngine = func(_ proto.Instant, members []proto.EndpointID, q route.Query) int {
		if round != reported.round {
			round = reported.round
			clear(sentSince)
		}
		best, lowest := 0, int64(math.MaxInt64)
		for n := range members {
			// Each router breaks ties in a different order, so that they do not
			// all pick the same endpoint.
			i := (n + index*7) % len(members)
			if load := reported.prefill[members[i]] + sentSince[members[i]]; load < lowest {
				best, lowest = i, load
			}
		}
		sentSince[members[best]] += q.PromptTokens
		return best
	}
	return b
}

// oracle is a placement that knows the exact state of all caches and queues. It
// minimizes the expected time to first token plus the weighted time to prefill
// uncached tokens. All routers share one instance. It is greedy, so it is not a
// strict upper bound.
type oracle struct {
	fleet *fleet.Fleet
	dep   workload.Deployment
	// sent holds the dispatched requests that have not reached their agent yet.
	sent []inTransit
}

// inTransit is the prefill work of a dispatched request.
type inTransit struct {
	endpoint proto.EndpointID
	arrives  proto.Instant
	work     time.Duration
}

func newOracle(index int, shared *oracle) *baseline {
	b := newBaseline()
	b.next = index
	b.pickEngine = func(now proto.Instant, members []proto.EndpointID, q route.Query) int {
		return shared.choose(now, members, q)
	}
	return b
}

func (o *oracle) choose(now proto.Instant, members []proto.EndpointID, q route.Query) int {
	best, lowest, work := 0, math.Inf(1), time.Duration(0)
	for i, id := range members {
		if !alive(o.fleet, id) {
			continue
		}
		uncached := max(0, q.PromptTokens-int64(o.fleet.Engines[id].Held(q.Blocks))*route.PieceTokens)
		compute := time.Duration(uncached) * o.dep.Engine.PrefillPerToken
		ttft := o.wait(now, id) + compute
		score := float64(ttft) + o.dep.OracleHitWeight*float64(compute)
		if score < lowest {
			best, lowest, work = i, score, compute
		}
	}
	o.sent = append(o.sent, inTransit{endpoint: members[best], arrives: now.Add(2 * o.dep.InterDomainDelay), work: work})
	return best
}

// wait returns the time until the endpoint has completed its outstanding prefill
// work, including requests in transit to it.
func (o *oracle) wait(now proto.Instant, id proto.EndpointID) time.Duration {
	wait := o.fleet.Engines[id].PrefillBacklog(now)
	wait += time.Duration(o.fleet.Agents[id].QueuedTokens()) * o.dep.Engine.PrefillPerToken
	kept := o.sent[:0]
	for _, s := range o.sent {
		if now >= s.arrives {
			continue
		}
		kept = append(kept, s)
		if s.endpoint == id {
			wait += s.work
		}
	}
	o.sent = kept
	return wait
}

// alive reports whether the agent and the engine of an endpoint are running.
func alive(f *fleet.Fleet, id proto.EndpointID) bool {
	e := f.Engines[id]
	return e != nil && f.Sim.Alive(proto.EngineAddr(id)) && f.Sim.Alive(proto.AgentAddr(id)) && e.Incarnation() != ""
}
