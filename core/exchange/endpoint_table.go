package exchange

import (
	"sync"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// EndpointTable remembers the last reported lives of each endpoint. It is safe for
// concurrent use, and a nil *EndpointTable knows nothing.
type EndpointTable struct {
	mu   sync.RWMutex
	last map[proto.EndpointID]AgentInstance
}

// AgentInstance is what an agent last said about itself and its engine.
type AgentInstance struct {
	AgentIncarnation  proto.Incarnation
	EngineIncarnation proto.Incarnation
	ReportedAt        proto.Instant
	// Report is the whole report.
	Report proto.Report
}

// NewEndpointTable returns an empty Lives.
func NewEndpointTable() *EndpointTable {
	return &EndpointTable{last: map[proto.EndpointID]AgentInstance{}}
}

// Observe takes in a report.
func (l *EndpointTable) Observe(now proto.Instant, r proto.Report) {
	if l == nil || r.Endpoint == "" || r.AgentInstance == "" {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last[r.Endpoint] = AgentInstance{AgentIncarnation: r.AgentInstance, EngineIncarnation: r.Incarnation, ReportedAt: now, Report: r}
}

// Get returns the last life of an endpoint, and false before the first report.
func (l *EndpointTable) Get(id proto.EndpointID) (AgentInstance, bool) {
	if l == nil {
		return AgentInstance{}, false
	}
	l.mu.RLock()
	defer l.mu.RUnlock()
	life, ok := l.last[id]
	return life, ok
}
