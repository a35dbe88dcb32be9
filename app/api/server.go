package api

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/kumquatsill/kumquatsill/app/transport"
	"github.com/kumquatsill/kumquatsill/core/membudget"
	"github.com/kumquatsill/kumquatsill/core/note"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/uptrace/bunrouter"
)

// responseGrace is how long after a request's deadline to wait for the router's
// own response.
const responseGrace = 5 * time.Second

// Router is the part of a router that the API uses.
type Router interface {
	// Submit passes a request to the router, which puts the messages for the
	// caller into the mailbox. limit bounds the mailbox, in bytes. Submit
	// reports false if the router has stopped.
	Submit(req proto.CallerRequest, limit int) (*transport.Mailbox, bool)
	// EndRequest closes a request's mailbox. gone reports that the caller no
	// longer receives the response.
	EndRequest(id proto.RequestID, gone bool)
	View() transport.View
}

// Server serves the HTTP API for callers. It implements http.Handler.
type Server struct {
	router   Router
	limits   Limits
	metrics  *Metrics
	mux      *bunrouter.Router
	budget   *membudget.Budget
	refusals refusals
	inFlight atomic.Int64
	draining atomic.Bool
}

// New returns the handler of the caller API.
func New(router Router, limits Limits, m *Metrics) *Server {
	s := &Server{router: router, limits: limits, metrics: m, budget: membudget.New()}
	s.budget.SetMemory(limits.Memory)
	s.refusals = refusals{log: limits.Log, counts: map[string]*refusalCount{}}
	m.observeBudget(s.budget)
	s.mux = bunrouter.New(
		bunrouter.WithNotFoundHandler(s.wrap(s.serviceCall)),
		bunrouter.WithMethodNotAllowedHandler(s.wrap(s.serviceCall)),
	)
	s.mux.POST("/v1/chat/completions", s.wrap(s.chat))
	s.mux.POST("/v1/completions", s.wrap(s.completion))
	s.mux.GET("/v1/models", s.wrap(s.models))
	s.mux.GET("/healthz", Health)
	s.mux.GET("/readyz", s.Ready)
	return s
}

// Configure sets the limits that net/http enforces.
func (s *Server) Configure(h *http.Server) {
	h.MaxHeaderBytes = s.limits.Header
	h.ReadHeaderTimeout = s.limits.HeaderTimeout
	h.IdleTimeout = time.Minute
}

// Drain makes the server report that it is not ready and close each
// connection after its next response. Requests are still served.
func (s *Server) Drain() { s.draining.Store(true) }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// The write deadline of an earlier response on this connection must not apply.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
	h := w.Header()
	h.Set("X-Content-Type-Options", "nosniff")
	h.Set("Cache-Control", "no-store")
	if s.draining.Load() {
		h.Set("Connection", "close")
	}
	if problem := validateRequest(r); problem != nil {
		s.refuse(w, problem, "")
		return
	}
	s.mux.ServeHTTP(w, r)
}

// Health is the liveness check: it returns 200 while the process runs.
func Health(w http.ResponseWriter, _ bunrouter.Request) error {
	_, err := io.WriteString(w, "ok\n")
	return err
}

// Ready is the readiness check: it returns 200 while the router is ready, as
// transport.View defines it, and not draining.
func (s *Server) Ready(w http.ResponseWriter, _ bunrouter.Request) error {
	if s.draining.Load() || !s.router.View().Ready {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, err := io.WriteString(w, "not ready\n")
		return err
	}
	_, err := io.WriteString(w, "ready\n")
	return err
}

// request is one caller's request while the API handles it.
type request struct {
	proto.CallerRequest
	arrived time.Time
	account proto.AccountID
	chat    bool
}

type handler func(w http.ResponseWriter, r *http.Request, req *request) *Problem

// wrap assigns request ids, limits the requests in flight and writes the
// problem that a handler returns.
func (s *Server) wrap(next handler) bunrouter.HandlerFunc {
	return func(w http.ResponseWriter, r bunrouter.Request) error {
		req := &request{arrived: time.Now()}
		req.ID = newRequestID(r.Header.Get("X-Request-Id"))
		w.Header().Set("X-Request-Id", callerID(r.Header.Get("X-Request-Id"), req.ID))
		w.Header().Set("Kumquatsill-Request-Id", string(req.ID))
		defer s.inFlight.Add(-1)
		if s.inFlight.Add(1) > s.limits.ConcurrentRequests {
			detail := "This router has too many requests in flight."
			s.refuse(w, newProblem(proto.CauseOverload, proto.NotRun, detail).withRetry(time.Second), req.ID)
			return nil
		}
		if problem := next(w, r.Request, req); problem != nil {
			s.refuse(w, problem, req.ID)
		}
		return nil
	}
}

// newRequestID returns an id that is unique in the fleet even if callers
// reuse theirs.
func newRequestID(given string) proto.RequestID {
	unique := uuid.NewString()
	if given == "" {
		return proto.RequestID(unique)
	}
	return proto.RequestID(given + "~" + unique)
}

// callerID returns the X-Request-Id of the response.
func callerID(given string, id proto.RequestID) string {
	if given != "" {
		return given
	}
	return string(id)
}

// refuse counts a problem and writes it as the response.
func (s *Server) refuse(w http.ResponseWriter, p *Problem, id proto.RequestID) {
	p.Request = id
	s.metrics.requestRefused(p)
	s.extendWriteDeadline(w)
	p.write(w)
}

// extendWriteDeadline sets the deadline for the next write.
func (s *Server) extendWriteDeadline(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(s.limits.WriteTimeout))
}

func (s *Server) chat(w http.ResponseWriter, r *http.Request, req *request) *Problem {
	req.chat = true
	return s.generate(w, r, req)
}

func (s *Server) completion(w http.ResponseWriter, r *http.Request, req *request) *Problem {
	return s.generate(w, r, req)
}

func (s *Server) generate(w http.ResponseWriter, r *http.Request, req *request) *Problem {
	return s.serve(w, r, req, func(body []byte) *Problem {
		if problem := ParseGenerate(body, req.chat, &req.CallerRequest); problem != nil {
			return problem
		}
		if req.Resume != nil && !req.Stream {
			return badRequest("Last-Event-ID continues only streams; set \"stream\" to true.")
		}
		return nil
	})
}

// serviceCall handles every path that has no handler of its own as a call to a
// plain service. Paths below /internal/ exist only on the internal listener.
func (s *Server) serviceCall(w http.ResponseWriter, r *http.Request, req *request) *Problem {
	if strings.HasPrefix(r.URL.Path, "/internal/") {
		return newProblem(proto.CauseUnknownRoute, proto.NotRun, "")
	}
	return s.serve(w, r, req, func(body []byte) *Problem { return parseCall(r, body, &req.CallerRequest) })
}

// serve validates a request, parses its body with parse and forwards it.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, req *request, parse func([]byte) *Problem) *Problem {
	key, query, problem := extractKey(r)
	if problem != nil {
		return problem
	}
	if problem := parseHeaders(r.Header, s.limits, &req.CallerRequest); problem != nil {
		return problem
	}
	body, held, problem := s.readBody(w, r, key)
	if problem != nil {
		return problem
	}
	defer held.Release()
	req.Method, req.Path, req.Query = r.Method, r.URL.Path, query
	req.ArrivedWall = req.arrived
	if problem := parse(body); problem != nil {
		return problem
	}
	if problem := validateKeyUse(&req.CallerRequest, key); problem != nil {
		return problem
	}
	if key != "" {
		req.Key = note.HashKey(key)
	}
	req.account = s.router.View().Config.Keys[req.Key].Account
	return s.forward(w, r, req)
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Version string `json:"version"`
	OwnedBy string `json:"owned_by"`
}

// models lists the configured models. It needs a valid key.
func (s *Server) models(w http.ResponseWriter, r *http.Request, _ *request) *Problem {
	key, _, problem := extractKey(r)
	if problem != nil {
		return problem
	}
	config := s.router.View().Config
	if key == "" {
		return newProblem(proto.CauseMissingKey, proto.NotRun, "Send the key as Authorization: Bearer.")
	}
	if _, known := config.Keys[note.HashKey(key)]; !known {
		return newProblem(proto.CauseUnknownKey, proto.NotRun, "")
	}
	list := struct {
		Object string       `json:"object"`
		Data   []modelEntry `json:"data"`
	}{Object: "list", Data: []modelEntry{}}
	for _, m := range config.Models {
		list.Data = append(list.Data, modelEntry{ID: m.Name, Object: "model", Version: m.Version, OwnedBy: "operator"})
	}
	s.extendWriteDeadline(w)
	slices.SortFunc(list.Data, func(a, b modelEntry) int { return strings.Compare(a.ID, b.ID) })
	writeJSON(w, list)
	return nil
}

func writeJSON(w http.ResponseWriter, value any) {
	var out bytes.Buffer
	if err := json.NewEncoder(&out).Encode(value); err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(out.Bytes())
}
