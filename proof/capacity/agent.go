package capacity

import (
	"time"

	"github.com/kumquatsill/kumquatsill/core/agent"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// AgentLoad is the load that the engine puts on its agent.
type AgentLoad struct {
	// Blocks is the number of blocks in the engine's cache, Events the number of
	// its cache events per second.
	Blocks int
	Events float64
}

// BaseAgent returns the load of which the measurements vary one size at a time.
func BaseAgent() AgentLoad { return AgentLoad{Blocks: 10_000, Events: 20} }

// AgentCost is the resource use of one agent.
type AgentCost struct {
	// CPUPercent is the use of one core, including the decoding of events.
	CPUPercent float64
	HeapBytes  float64
	// LocalTraffic is the traffic per second from the engine to its agent,
	// which stays on the host.
	LocalTraffic Traffic
}

const (
	agentBatchesPerSecond = 10
	agentMeasureTime      = 60 * time.Second
)

// MeasureAgent sends an agent the cache events of its engine and measures what
// they cost. Each event adds one block and evicts one.
func MeasureAgent(load AgentLoad) (AgentCost, error) {
	before := liveHeapBytes()
	a := agent.New(agent.Config{Endpoint: "engine-1", Incarnation: "agent-life-1", Seed: 1})
	engine, self := proto.EngineAddr("engine-1"), proto.AgentAddr("engine-1")
	step := func(now proto.Instant, m proto.Message) {
		a.Step(now, proto.Envelope{From: engine, To: self, Msg: m})
		a.Take()
	}
	step(0, proto.EngineUp{Incarnation: "engine-life-1", Versions: map[string]string{modelName(0): "v1"}, BatchSize: 8})
	blocks := make([]proto.BlockHash, load.Blocks)
	for i := range blocks {
		blocks[i] = blockHash(uint64(i))
	}
	step(0, proto.CacheList{Incarnation: "engine-life-1", AsOf: 1, Blocks: blocks})
	blocks = nil
	var cost AgentCost
	var spent time.Duration
	seq, due := uint64(1), 0.0
	for now := proto.Instant(0); now < proto.Instant(0).Add(agentMeasureTime); now = now.Add(time.Second / agentBatchesPerSecond) {
		due += load.Events / agentBatchesPerSecond
		batch := proto.CacheEvents{Incarnation: "engine-life-1"}
		for ; due >= 1; due-- {
			seq++
			batch.Events = append(batch.Events, proto.CacheEvent{
				Seq: seq, Added: []proto.BlockHash{blockHash(uint64(load.Blocks) + seq)}, Evicted: []proto.BlockHash{blockHash(seq - 2)},
			})
		}
		if len(batch.Events) == 0 {
			continue
		}
		line, err := proto.Encode(proto.Envelope{From: engine, To: self, Msg: batch})
		if err != nil {
			return AgentCost{}, Error.Wrap(err)
		}
		cost.LocalTraffic.add(len(line))
		start := time.Now()
		in, err := proto.Decode(line)
		if err != nil {
			return AgentCost{}, Error.Wrap(err)
		}
		step(now, in.Msg)
		if a.Wake() <= now {
			a.Tick(now)
			a.Take()
		}
		spent += time.Since(start)
	}
	cost.CPUPercent = 100 * spent.Seconds() / agentMeasureTime.Seconds()
	cost.LocalTraffic = cost.LocalTraffic.perSecond(agentMeasureTime)
	cost.HeapBytes = liveHeapBytes() - before
	if stale := a.Stats().StaleEvents; stale != 0 {
		return AgentCost{}, Error.New("the agent dropped %d events", stale)
	}
	return cost, nil
}
