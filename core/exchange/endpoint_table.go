package exchange

import (
	"sync"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// EndpointTable holds the last report of each endpoint. It is safe for concurrent
// use, and a nil *EndpointTable is always empty.
type EndpointTable struct {
	mu        sync.RWMutex
	instances map[proto.EndpointID]AgentInstance
}

// AgentInstance holds the incarnations of an endpoint's agent and engine, as last
// reported by the agent.
type AgentInstance struct {
	AgentIncarnation  proto.Incarnation
	EngineIncarnation proto.Incarnation
	ReportedAt        proto.Instant
	// Report is the complete report.
	Report proto.Report
}

// NewEndpointTable returns an empty table.
func NewEndpointTable() *EndpointTable {
	return &EndpointTable{instances: map[proto.EndpointID]AgentInstance{}}
}

// Observe records a report. It ignores reports without an endpoint or an agent
// incarnation.
func (t *EndpointTable) Observe(now proto.Instant, r proto.Report) {
	if t == nil || r.Endpoint == "" || r.AgentInstance == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.instances[r.Endpoint] = AgentInstance{AgentIncarnation: r.AgentInstance, EngineIncarnation: r.Incarnation, ReportedAt: now, Report: r}
}

// Get returns the last reported AgentInstance of an endpoint, and false before its
// first report.
func (t *EndpointTable) Get(id proto.EndpointID) (AgentInstance, bool) {
	if t == nil {
		return AgentInstance{}, false
	}
	t.mu.RLock()
	defer t.mu.RUnlock()
	instance, ok := t.instances[id]
	return instance, ok
}
