// Package orders simulates a plain order or booking service for tests and
// development. It executes every request that it receives, so that a request sent
// twice shows up as a second run of its order.
package orders

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/standin/faultqueue"
)

// RunCounter counts the runs of each order. All endpoints of a deployment share one.
type RunCounter struct{ runs map[string]int }

// NewRunCounter returns a counter without any runs.
func NewRunCounter() *RunCounter { return &RunCounter{runs: map[string]int{}} }

// Runs returns the number of runs of an order.
func (c *RunCounter) Runs(order string) int { return c.runs[order] }

// RepeatedOrders returns the number of orders that ran more than once.
func (c *RunCounter) RepeatedOrders() int {
	n := 0
	for _, runs := range c.runs {
		if runs > 1 {
			n++
		}
	}
	return n
}

// OrderCount returns the number of distinct orders that ran.
func (c *RunCounter) OrderCount() int { return len(c.runs) }

// Config holds the settings of one service endpoint.
type Config struct {
	Endpoint    proto.EndpointID
	Incarnation proto.Incarnation
	Seed        uint64
	Faults      faultqueue.Faults
	// RunCounter may be nil; the endpoint then counts for itself.
	RunCounter *RunCounter
}

// Service simulates one endpoint of the order service. It implements proto.Machine.
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

// Queue returns the send queue, which injects the faults of responses.
func (s *Service) Queue() *faultqueue.Queue { return s.out }

// Step implements proto.Machine.
func (s *Service) Step(now proto.Instant, in proto.Envelope) {
	s.Tick(now)
	switch m := in.Msg.(type) {
	case proto.EngineCall:
		s.handleCall(in.From, m)
	case proto.CacheListRequest:
		s.announce()
	}
}

func (s *Service) handleCall(from proto.Addr, m proto.EngineCall) {
	if s.out.ShouldRefuse() {
		s.out.Send(s.now, from, proto.EngineFailed{Attempt: m.Attempt, Cause: proto.CauseEndpointFailed, Verdict: proto.NotRun})
		return
	}
	status, body := s.execute(m)
	if s.out.NoResponse() {
		return
	}
	s.out.Send(s.now, from, proto.EngineDone{Attempt: m.Attempt, Status: status, ContentType: "application/json", Body: body})
}

// response is the body of a response.
type response struct {
	Order string `json:"order"`
	Runs  int    `json:"runs"`
}

// execute returns the run count of an order for GET and HEAD, and runs the order
// for any other method.
func (s *Service) execute(m proto.EngineCall) (int, []byte) {
	if m.Method == http.MethodGet || m.Method == http.MethodHead {
		order := m.Path[strings.LastIndexByte(m.Path, '/')+1:]
		return http.StatusOK, mustJSON(response{Order: order, Runs: s.cfg.RunCounter.runs[order]})
	}
	var in struct {
		Order string `json:"order"`
	}
	if err := json.Unmarshal(m.Body, &in); err != nil || in.Order == "" {
		return http.StatusBadRequest, mustJSON(response{})
	}
	s.cfg.RunCounter.runs[in.Order]++
	return http.StatusCreated, mustJSON(response{Order: in.Order, Runs: s.cfg.RunCounter.runs[in.Order]})
}

func mustJSON(r response) []byte {
	data, err := json.Marshal(r)
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
