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

// AgentConfig sets up an agent process.
type AgentConfig struct {
	Endpoint proto.EndpointID
	Machine  proto.Machine
	Checks   *check.Monitor
	// Internal is the open listener.
	Internal net.Listener
	// EngineAddr is the "ip:port" of the engine or plain service.
	EngineAddr string
	// EngineClient verifies the engine. It may be zero.
	EngineClient transport.TLSFiles
	// DrainGrace is how long an agent without work goes without new work
	// before it stops listening. Until then it refuses what arrives, so that
	// routers learn that it leaves.
	DrainGrace time.Duration
	// DrainTimeout bounds the wait for attempts in flight, and the wait for
	// routers that keep on sending.
	DrainTimeout time.Duration
	// StartDrain tells the machine to take no new work. It may be nil.
	StartDrain func(now proto.Instant)
	// Drained reports that no accepted work is left. It may be nil.
	Drained func() bool
	// State is shown on /debug/state. It may be nil.
	State func() any
	Log   *slog.Logger
}

// Agent is an agent process.
type Agent struct {
	t         tomb.Tomb
	cfg       AgentConfig
	transport *transport.Agent
	internal  *http.Server
	draining  atomic.Bool
}

// NewAgent returns an agent that is not yet running.
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
	o := &ops{set: set, checks: cfg.Checks, ready: a.Ready, state: a.state}
	o.register(mux)
	a.internal = &http.Server{Handler: mux, ReadHeaderTimeout: internalHeaderTime}
	return a, nil
}

// Ready reports whether the agent takes work.
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
	a.t.Go(func() error { return serveErr(a.internal.Serve(a.cfg.Internal)) })
	a.cfg.Log.Info("agent started", "endpoint", a.cfg.Endpoint, "internal", a.cfg.Internal.Addr().String())
}

// Failed is closed when a part has ended by itself.
func (a *Agent) Failed() <-chan struct{} { return a.t.Dying() }

// Err returns why the server ended by itself.
func (a *Agent) Err() error { return a.t.Err() }

// Kill ends the agent at once, like a crash.
func (a *Agent) Kill() error {
	return errors.Join(a.internal.Close(), a.transport.Stop(), a.t.Wait())
}

// Drain ends the agent after the attempts in flight.
func (a *Agent) Drain() error {
	a.cfg.Log.Info("agent drains", "endpoint", a.cfg.Endpoint)
	a.draining.Store(true)
	if a.cfg.StartDrain != nil {
		a.transport.Do(a.cfg.StartDrain)
	}
	a.waitDrained()
	if !waitQuiet(a.cfg.DrainGrace, a.cfg.DrainTimeout, a.transport.LastDispatch) {
		a.cfg.Log.Warn("agent stops while routers still send work", "endpoint", a.cfg.Endpoint)
	}
	ctx, cancel := context.WithTimeout(context.Background(), a.cfg.DrainTimeout)
	defer cancel()
	err := errors.Join(shutdown(ctx, a.internal), a.transport.Stop(), a.t.Wait())
	a.cfg.Log.Info("agent stopped", "endpoint", a.cfg.Endpoint)
	return err
}

// waitDrained waits until no accepted work is left. It does not look only at
// open responses, since a stream whose router is gone may still be resumed.
func (a *Agent) waitDrained() {
	if a.cfg.Drained == nil {
		return
	}
	for end := time.Now().Add(a.cfg.DrainTimeout); time.Now().Before(end); time.Sleep(flushPoll) {
		drained := false
		if !a.transport.Do(func(proto.Instant) { drained = a.cfg.Drained() }) || drained {
			return
		}
	}
	a.cfg.Log.Warn("agent stops with work in flight", "endpoint", a.cfg.Endpoint)
}

// waitQuiet waits until no work has arrived for grace, counted from the call
// at the earliest, and reports false if that is not so within timeout. last
// returns when work last arrived.
func waitQuiet(grace, timeout time.Duration, last func() time.Time) bool {
	start := time.Now()
	for {
		quietSince := start
		if at := last(); at.After(start) {
			quietSince = at
		}
		wait := time.Until(quietSince.Add(grace))
		if wait <= 0 {
			return true
		}
		if time.Since(start)+wait > max(timeout, grace) {
			return false
		}
		time.Sleep(wait)
	}
}
