// Package orders is a stand-in of a plain order or booking service. It runs
// what it is told each time, so that a second run shows.
package orders

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/standin/faultqueue"
)

// RunCounter counts the runs of every order; the services of one deployment share it.
type RunCounter struct{ runs map[string]int }

// NewRunCounter returns an empty book.
func NewRunCounter() *RunCounter { return &RunCounter{runs: map[string]int{}} }

// Runs returns how often an order ran.
func (b *RunCounter) Runs(order string) int { return b.runs[order] }

// RepeatedOrders returns the number of orders that ran more than once.
func (b *RunCounter) RepeatedOrders() int {
	n := 0
	for _, runs := range b.runs {
		if runs > 1 {
			n++
		}
	}
	return n
}

// OrderCount returns the number of orders that ran.
func (b *RunCounter) OrderCount() int { return len(b.runs) }

// Config sets up one service endpoint.
type Config struct {
	Endpoint    proto.EndpointID
	Incarnation proto.Incarnation
	Seed        uint64
	Faults      faultqueue.Faults
	RunCounter  *RunCounter
}

// Service is one endpoint of the order service. It implements proto.Machine.
type Service struct {
	cfg     Config
	out     *faultqueue.Queue
	now     proto.Instant
	started bool
}

// New returns a service that announces itself to its agent on the first tick.
func New(cfg Config) *Service {
	if cfg.RunCounter == nil {
		cfg.RunCounter = NewRunCounter()
	}
	if cfg.Incarnation == "" {
		cfg.Incarnation = proto.Incarnation(string(cfg.Endpoint) + "-1")
	}
	return &Service{cfg: cfg, out: faultqueue.New(proto.EngineAddr(cfg.Endpoint), cfg.Seed, cfg.Faults)}
}

// Queue gives access to the faults of answers.
func (s *Service) Queue() *faultqueue.Queue { return s.out }

// Step implements proto.Machine.
func (s *Service) Step(now proto.Instant, in proto.Envelope) {
	s.Tick(now)
	switch m := in.Msg.(type) {
	case proto.EngineCall:
		s.call(in.From, m)
	case proto.CacheListRequest:
		s.announce()
	}
}

func (s *Service) call(from proto.Addr, m proto.EngineCall) {
	if s.out.ShouldRefuse() {
		s.out.Send(s.now, from, proto.EngineFailed{Attempt: m.Attempt, Cause: proto.CauseEndpointFailed, Verdict: proto.NotRun})
		return
	}
	status, body := s.run(m)
	if s.out.NoResponse() {
		return
	}
	s.out.Send(s.now, from, proto.EngineDone{Attempt: m.Attempt, Status: status, ContentType: "application/json", Body: body})
}

type answer struct {
	Order string `json:"order"`
	Runs  int    `json:"runs"`
}

func (s *Service) run(m proto.EngineCall) (int, []byte) {
	if m.Method == http.MethodGet || m.Method == http.MethodHead {
		order := m.Path[strings.LastIndexByte(m.Path, '/')+1:]
		return http.StatusOK, mustJSON(answer{Order: order, Runs: s.cfg.RunCounter.runs[order]})
	}
	var in struct {
		Order string `json:"order"`
	}
	if err := json.Unmarshal(m.Body, &in); err != nil || in.Order == "" {
		return http.StatusBadRequest, mustJSON(answer{})
	}
	s.cfg.RunCounter.runs[in.Order]++
	return http.StatusCreated, mustJSON(answer{Order: in.Order, Runs: s.cfg.RunCounter.runs[in.Order]})
}

func mustJSON(a answer) []byte {
	data, err := json.Marshal(a)
	if err != nil {
		panic(err)
	}
	return data
}

func (s *Service) announce() {
	s.out.Send(s.now, proto.AgentAddr(s.cfg.Endpoint), proto.EngineUp{Incarnation: s.cfg.Incarnation, BatchSize: 64})
}

// Tick implements proto.Machine.
func (s *Service) Tick(now proto.Instant) {
	s.now = max(s.now, now)
	if !s.started {
		s.started = true
		s.announce()
	}
}

// Wake implements proto.Machine.
func (s *Service) Wake() proto.Instant {
	if !s.started {
		return s.now
	}
	return s.out.Wake()
}

// Take implements proto.Machine.
func (s *Service) Take() []proto.Envelope { return s.out.TakeDue(s.now) }
