package exchange

import (
	"sync"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// EndpointStates remembers the last reported lives of each endpoint. It is safe for
// concurrent use, and a nil *EndpointStates knows nothing.
type EndpointStates struct {
	mu   sync.RWMutex
	last map[proto.EndpointID]EndpointState
}

// EndpointState is what an agent last said about itself and its engine.
type EndpointState struct {
	AgentIncarnation  proto.Incarnation
	EngineIncarnation proto.Incarnation
	ReportedAt        proto.Instant
	// Report is the whole report.
	Report proto.Report
}

// NewEndpointStates returns an empty Lives.
func NewEndpointStates() *EndpointStates {
	return &EndpointStates{last: map[proto.EndpointID]EndpointState{}}
}

// Observe takes in a report.
func (l *EndpointStates) Observe(now proto.Instant, r proto.Report) {
	if l == nil || r.Endpoint == "" || r.Life == "" {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last[r.Endpoint] = EndpointState{AgentIncarnation: r.Life, EngineIncarnation: r.Incarnation, ReportedAt: now, Report: r}
}

// Get returns the last life of an endpoint, and false before the first report.
func (l *EndpointStates) Get(id proto.EndpointID) (EndpointState, bool) {
	if l == nil {
		return EndpointState{}, false
	}
	l.mu.RLock()
	defer l.mu.RUnlock()
	life, ok := l.last[id]
	return life, ok
}
