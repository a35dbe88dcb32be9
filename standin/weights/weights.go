// Package weights simulates the rate-limited store of model weights for tests and
// development.
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

// Fetched is the response to a Fetch, sent when the load is complete.
type Fetched struct {
	Call    uint64 `json:"call"`
	OK      bool   `json:"ok"`
	Version string `json:"version"`
}

// Kind implements proto.Message.
func (Fetch) Kind() proto.Kind { return "Fetch" }

// Kind implements proto.Message.
func (Fetched) Kind() proto.Kind { return "Fetched" }

// Config holds the speed and the faults of the store.
type Config struct {
	Seed   uint64
	Faults faultqueue.Faults
	// LoadTime is the duration of one load; 0 means 500 ms.
	LoadTime time.Duration
	// ParallelLoads is the number of loads that proceed at a time; further loads wait.
	// 0 means 2.
	ParallelLoads int
}

// Store simulates the weight store. It implements proto.Machine.
type Store struct {
	cfg Config
	out *faultqueue.Queue
	now proto.Instant
	// freeAt holds the time at which each of the parallel load slots becomes free.
	freeAt []proto.Instant
}

// New returns an idle store.
func New(cfg Config) *Store {
	if cfg.LoadTime == 0 {
		cfg.LoadTime = 500 * time.Millisecond
	}
	if cfg.ParallelLoads == 0 {
		cfg.ParallelLoads = 2
	}
	return &Store{cfg: cfg, out: faultqueue.New(Addr, cfg.Seed, cfg.Faults), freeAt: make([]proto.Instant, cfg.ParallelLoads)}
}

// Queue returns the send queue, which injects the faults of responses.
func (s *Store) Queue() *faultqueue.Queue { return s.out }

// Reserve starts a load in the first free slot and returns the time at which it
// ends. Engines in the same driver call it directly.
func (s *Store) Reserve(now proto.Instant) proto.Instant {
	first := 0
	for i, free := range s.freeAt {
		if free.Before(s.freeAt[first]) {
			first = i
		}
	}
	end := max(now, s.freeAt[first]).Add(s.cfg.LoadTime)
	s.freeAt[first] = end
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
