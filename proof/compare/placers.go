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

// Policy names a way to place requests.
type Policy string

// The policy, the baselines and the upper bound.
const (
	View        Policy = "view"
	RoundRobin  Policy = "round-robin"
	LeastLoaded Policy = "least-loaded"
	WholeHash   Policy = "whole-hash"
	Oracle      Policy = "oracle"
)

// Policies lists all, the baselines in the middle.
func Policies() []Policy { return []Policy{View, RoundRobin, LeastLoaded, WholeHash, Oracle} }

// Baselines lists those that the policy is measured against.
func Baselines() []Policy { return []Policy{RoundRobin, LeastLoaded, WholeHash} }

// newRoundRobin takes the endpoints in turn. Routers start at different ones.
func newRoundRobin(index int) *baseline {
	b := newBaseline()
	b.turn = index
	turn := index * 7
	b.generate = func(_ proto.Instant, members []proto.EndpointID, _ route.Query) int {
		turn++
		return turn % len(members)
	}
	return b
}

// newWholeHash sends each whole prefix to one endpoint, by rendezvous hashing.
func newWholeHash(index int) *baseline {
	b := newBaseline()
	b.turn = index
	b.generate = func(_ proto.Instant, members []proto.EndpointID, q route.Query) int {
		var key [8]byte
		if n := len(q.Blocks); n > 0 {
			binary.LittleEndian.PutUint64(key[:], uint64(q.Blocks[n-1]))
		}
		best, most := 0, uint64(0)
		for i, id := range members {
			var d xxhash.Digest
			d.Reset()
			d.WriteString(string(id))
			d.Write(key[:])
			if score := d.Sum64(); score >= most {
				best, most = i, score
			}
		}
		return best
	}
	return b
}

const (
	// loadEvery and loadLag are the time between load reports and their age on
	// arrival.
	loadEvery = time.Second
	loadLag   = 500 * time.Millisecond
)

// loads are the endpoints' load reports as all routers receive them.
type loads struct {
	// round counts the reports.
	round   int
	prefill map[proto.EndpointID]int64
}

// newLeastLoaded picks the endpoint with the least prompt work in the last
// report plus what this router sent since.
func newLeastLoaded(index int, reported *loads) *baseline {
	b := newBaseline()
	b.turn = index
	own := map[proto.EndpointID]int64{}
	round := 0
	b.generate = func(_ proto.Instant, members []proto.EndpointID, q route.Query) int {
		if round != reported.round {
			round = reported.round
			clear(own)
		}
		best, least := 0, int64(math.MaxInt64)
		for n := range members {
			// Routers break ties in different orders.
			i := (n + index*7) % len(members)
			if load := reported.prefill[members[i]] + own[members[i]]; load < least {
				best, least = i, load
			}
		}
		own[members[best]] += q.PromptTokens
		return best
	}
	return b
}

// oracle knows the true caches and queues at every moment, and minimises the
// expected time to first token plus the weighted time to compute what is
// missed. All routers share it. It is greedy, so it is no strict upper bound.
type oracle struct {
	fleet *fleet.Fleet
	dep   workload.Deployment
	// sent is the prompt work on its way to an agent.
	sent []inTransit
}

type inTransit struct {
	endpoint proto.EndpointID
	arrives  proto.Instant
	work     time.Duration
}

func newOracle(index int, shared *oracle) *baseline {
	b := newBaseline()
	b.turn = index
	b.generate = func(now proto.Instant, members []proto.EndpointID, q route.Query) int {
		return shared.choose(now, members, q)
	}
	return b
}

func (o *oracle) choose(now proto.Instant, members []proto.EndpointID, q route.Query) int {
	best, least, work := 0, math.Inf(1), time.Duration(0)
	for i, id := range members {
		if !alive(o.fleet, id) {
			continue
		}
		missed := max(0, q.PromptTokens-int64(o.fleet.Engines[id].Held(q.Blocks))*route.PieceTokens)
		compute := time.Duration(missed) * o.dep.Engine.PrefillPerToken
		first := o.wait(now, id) + compute
		score := float64(first) + o.dep.OracleHitWeight*float64(compute)
		if score < least {
			best, least, work = i, score, compute
		}
	}
	o.sent = append(o.sent, inTransit{endpoint: members[best], arrives: now.Add(2 * o.dep.InterDomainDelay), work: work})
	return best
}

// wait is the time until the endpoint has done the prompt work that it has.
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

// alive reports whether an endpoint's agent and engine run.
func alive(f *fleet.Fleet, id proto.EndpointID) bool {
	e := f.Engines[id]
	return e != nil && f.Sim.Alive(proto.EngineAddr(id)) && f.Sim.Alive(proto.AgentAddr(id)) && e.Incarnation() != ""
}
