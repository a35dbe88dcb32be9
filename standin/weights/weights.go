// Package weights is a stand-in of the rate-limited weight store.
package weights

import (
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/standin/faultqueue"
)

// Addr is the address of the weight store.
var Addr = proto.Addr{Role: "weights"}

// Fetch asks for the weights of a model version.
type Fetch struct {
	Call    uint64 `json:"call"`
	Model   string `json:"model"`
	Version string `json:"version"`
}

// Fetched answers a Fetch when the last byte is there.
type Fetched struct {
	Call    uint64 `json:"call"`
	OK      bool   `json:"ok"`
	Version string `json:"version"`
}

// Kind implements proto.Message.
func (Fetch) Kind() proto.Kind { return "Fetch" }

// Kind implements proto.Message.
func (Fetched) Kind() proto.Kind { return "Fetched" }

// Config sets the speed of the store.
type Config struct {
	Seed   uint64
	Faults faultqueue.Faults
	// LoadTime is the time of a load with no more than Parallel at once; 0 means 500 ms.
	LoadTime time.Duration
	// ParallelLoads is the number of loads at full speed; 0 means 2.
	ParallelLoads int
}

// Store is the weight store. It implements proto.Machine.
type Store struct {
	cfg Config
	out *faultqueue.Queue
	now proto.Instant
	// lanes holds when each of the parallel lanes is free.
	lanes []proto.Instant
}

// New returns an idle store.
func New(cfg Config) *Store {
	if cfg.LoadTime == 0 {
		cfg.LoadTime = 500 * time.Millisecond
	}
	if cfg.ParallelLoads == 0 {
		cfg.ParallelLoads = 2
	}
	return &Store{cfg: cfg, out: faultqueue.New(Addr, cfg.Seed, cfg.Faults), lanes: make([]proto.Instant, cfg.ParallelLoads)}
}

// Queue gives access to the faults of answers.
func (s *Store) Queue() *faultqueue.Queue { return s.out }

// Reserve starts a load and returns when it ends. Engines in the same driver
// call it directly.
func (s *Store) Reserve(now proto.Instant) proto.Instant {
	first := 0
	for i, free := range s.lanes {
		if free.Before(s.lanes[first]) {
			first = i
		}
	}
	end := max(now, s.lanes[first]).Add(s.cfg.LoadTime)
	s.lanes[first] = end
	return end
}

// Step implements proto.Machine.
func (s *Store) Step(now proto.Instant, in proto.Envelope) {
	s.Tick(now)
	m, ok := in.Msg.(Fetch)
	if !ok {
		return
	}
	if s.out.ShouldRefuse() {
		s.out.Send(s.now, in.From, Fetched{Call: m.Call, Version: m.Version})
		return
	}
	end := s.Reserve(s.now)
	s.out.SendAfter(s.now, end.Sub(s.now), in.From, Fetched{Call: m.Call, OK: true, Version: m.Version})
}

// Tick implements proto.Machine.
func (s *Store) Tick(now proto.Instant) { s.now = max(s.now, now) }

// Wake implements proto.Machine.
func (s *Store) Wake() proto.Instant { return s.out.Wake() }

// Take implements proto.Machine.
func (s *Store) Take() []proto.Envelope { return s.out.TakeDue(s.now) }
