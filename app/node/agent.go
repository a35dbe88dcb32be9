package node

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/kumquatsill/kumquatsill/app/transport"
	"github.com/kumquatsill/kumquatsill/core/check"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/uptrace/bunrouter"
	"gopkg.in/tomb.v2"
)

// AgentConfig configures an agent process.
type AgentConfig struct {
	Endpoint proto.EndpointID
	Machine  proto.Machine
	Checks   *check.Monitor
	// Internal is the open listener for routers and operators.
	Internal net.Listener
	// EngineAddr is the "ip:port" of the engine or plain service.
	EngineAddr string
	// EngineClient holds the TLS files for connections to the engine. The zero value
	// means plain TCP.
	EngineClient transport.TLSFiles
	// DrainGrace is the time without new work after which a draining agent that has
	// finished its work stops listening. Until then it refuses new work, so that
	// routers learn that it is draining.
	DrainGrace time.Duration
	// DrainTimeout bounds the wait for attempts in flight, and then the wait for
	// routers that keep sending work.
	DrainTimeout time.Duration
	// StartDrain tells the machine to refuse new work. It may be nil.
	StartDrain func(now proto.Instant)
	// Drained reports that no accepted work is left. It may be nil.
	Drained func() bool
	// State returns what /debug/state shows. It may be nil.
	State func() any
	Log   *slog.Logger
}

// Agent runs the agent of one endpoint and its HTTP server.
type Agent struct {
	t         tomb.Tomb
	cfg       AgentConfig
	transport *transport.Agent
	internal  *http.Server
	draining  atomic.Bool
}

// NewAgent returns an agent that Start starts.
func NewAgent(cfg AgentConfig) (*Agent, error) {
	client, err := transport.ClientTLS(cfg.EngineClient)
	if err != nil {
		return nil, err
	}
	set := metrics.NewSet()
	a := &Agent{cfg: cfg}
	a.transport = transport.NewAgent(cfg.Endpoint, cfg.Machine, transport.NewClient(client), cfg.EngineAddr, transport.NewMetrics(set))
	mux := bunrouter.New()
	mux.POST(transport.EnvelopePath, bunrouter.HTTPHandler(a.transport.Inbound()))
	o := &opsHandler{set: set, checks: cfg.Checks, ready: a.Ready, state: a.state}
	o.registerRoutes(mux)
	a.internal = &http.Server{Handler: mux, ReadHeaderTimeout: internalHeaderTimeout}
	return a, nil
}

// Ready reports whether the agent accepts work, that is, is not draining.
func (a *Agent) Ready() bool { return !a.draining.Load() }

func (a *Agent) state() any {
	var state any
	if a.cfg.State != nil {
		a.transport.Do(func(proto.Instant) { state = a.cfg.State() })
	}
	return state
}

// Start starts the machine and the server.
func (a *Agent) Start() {
	a.transport.Start()
	a.t.Go(func() error { return ignoreServerClosed(a.internal.Serve(a.cfg.Internal)) })
	a.cfg.Log.Info("agent started", "endpoint", a.cfg.Endpoint, "internal", a.cfg.Internal.Addr().String())
}

// Failed returns a channel that is closed when the server has failed or
// stopped.
func (a *Agent) Failed() <-chan struct{} { return a.t.Dying() }

// Err returns the error of the server if it failed.
func (a *Agent) Err() error { return a.t.Err() }

// Kill stops the agent at once, like a crash.
func (a *Agent) Kill() error {
	return errors.Join(a.internal.Close(), a.transport.Stop(), a.t.Wait())
}

// Drain stops the agent after the attempts in flight have ended and no new work
// has arrived for DrainGrace.
func (a *Agent) Drain() error {
	a.cfg.Log.Info("agent drains", "endpoint", a.cfg.Endpoint)
	a.draining.Store(true)
	if a.cfg.StartDrain != nil {
		a.transport.Do(a.cfg.StartDrain)
	}
	a.waitDrained()
	if !waitIdle(a.cfg.DrainGrace, a.cfg.DrainTimeout, a.transport.LastDispatch) {
		a.cfg.Log.Warn("agent stops while routers still send work", "endpoint", a.cfg.Endpoint)
	}
	ctx, cancel := context.WithTimeout(context.Background(), a.cfg.DrainTimeout)
	defer cancel()
	err := errors.Join(shutdown(ctx, a.internal), a.transport.Stop(), a.t.Wait())
	a.cfg.Log.Info("agent stopped", "endpoint", a.cfg.Endpoint)
	return err
}

// waitDrained waits until no accepted work is left, for at most DrainTimeout. It
// asks the machine, since a stream without an open response may still be resumed by
// another router.
func (a *Agent) waitDrained() {
	if a.cfg.Drained == nil {
		return
	}
	for end := time.Now().Add(a.cfg.DrainTimeout); time.Now().Before(end); time.Sleep(drainPollInterval) {
		drained := false
		if !a.transport.Do(func(proto.Instant) { drained = a.cfg.Drained() }) || drained {
			return
		}
	}
	a.cfg.Log.Warn("agent stops with work in flight", "endpoint", a.cfg.Endpoint)
}

// waitIdle waits until no work has arrived for the duration grace, which starts at
// the call or at the last arrival, whichever is later. It reports false if that
// would take longer than both timeout and grace. lastArrival returns when work last
// arrived.
func waitIdle(grace, timeout time.Duration, lastArrival func() time.Time) bool {
	start := time.Now()
	for {
		idleSince := start
		if at := lastArrival(); at.After(start) {
			idleSince = at
		}
		wait := time.Until(idleSince.Add(grace))
		if wait <= 0 {
			return true
		}
		if time.Since(start)+wait > max(timeout, grace) {
			return false
		}
		time.Sleep(wait)
	}
}
