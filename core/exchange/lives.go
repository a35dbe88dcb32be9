package exchange

import (
	"sync"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// Lives remembers the last reported lives of each endpoint. It is safe for
// concurrent use, and a nil *Lives knows nothing.
type Lives struct {
	mu   sync.RWMutex
	last map[proto.EndpointID]Life
}

// Life is what an agent last said about itself and its engine.
type Life struct {
	Agent  proto.Incarnation
	Engine proto.Incarnation
	Seen   proto.Instant
	// Report is the whole report.
	Report proto.Report
}

// NewLives returns an empty Lives.
func NewLives() *Lives { return &Lives{last: map[proto.EndpointID]Life{}} }

// Observe takes in a report.
func (l *Lives) Observe(now proto.Instant, r proto.Report) {
	if l == nil || r.Endpoint == "" || r.Life == "" {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last[r.Endpoint] = Life{Agent: r.Life, Engine: r.Incarnation, Seen: now, Report: r}
}

// Of returns the last life of an endpoint, and false before the first report.
func (l *Lives) Of(id proto.EndpointID) (Life, bool) {
	if l == nil {
		return Life{}, false
	}
	l.mu.RLock()
	defer l.mu.RUnlock()
	life, ok := l.last[id]
	return life, ok
}
