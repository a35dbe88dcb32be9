package exchange

import (
	"sync"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// EndpointTable holds the last report of each endpoint. It is safe for concurrent
// use, and a nil *EndpointTable is always empty.
type EndpointTable struct {
	mu     sync.RWMutex
	states map[proto.EndpointID]Life
}

// Life holds the incarnations of an endpoint's agent and engine, as last reported
// by the agent.
type Life struct {
	AgentIncarnation  proto.Incarnation
	EngineIncarnation proto.Incarnation
	ReportedAt        proto.Instant
	// Report is the complete report.
	Report proto.Report
}

// NewEndpointTable returns an empty table.
func NewEndpointTable() *EndpointTable {
	return &EndpointTable{states: map[proto.EndpointID]Life{}}
}

// Observe records a report. It ignores reports without an endpoint or an agent
// incarnation.
func (l *EndpointTable) Observe(now proto.Instant, r proto.Report) {
	if l == nil || r.Endpoint == "" || r.Life == "" {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.states[r.Endpoint] = Life{AgentIncarnation: r.Life, EngineIncarnation: r.Incarnation, ReportedAt: now, Report: r}
}

// Get returns the last reported Life of an endpoint, and false before its first
// report.
func (l *EndpointTable) Get(id proto.EndpointID) (Life, bool) {
	if l == nil {
		return Life{}, false
	}
	l.mu.RLock()
	defer l.mu.RUnlock()
	life, ok := l.states[id]
	return life, ok
}
