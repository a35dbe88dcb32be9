package node

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/kumquatsill/kumquatsill/app/api"
	"github.com/kumquatsill/kumquatsill/app/transport"
	"github.com/kumquatsill/kumquatsill/core/check"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/core/router"
	"github.com/uptrace/bunrouter"
	"gopkg.in/tomb.v2"
)

// RouterConfig sets up a router process.
type RouterConfig struct {
	ID      proto.RouterID
	Control *router.Control
	Checks  *check.Monitor
	// Callers and Internal are the open listeners.
	Callers  net.Listener
	Internal net.Listener
	// LogAddr is the "ip:port" of the log service.
	LogAddr string
	// Client verifies agents and routers, LogClient the log service. Both may be zero.
	Client    transport.TLSFiles
	LogClient transport.TLSFiles
	Limits    api.Limits
	// DrainGrace is how long new requests are still served after a shutdown
	// began, so that the load balancer notices.
	DrainGrace time.Duration
	// DrainTimeout bounds the wait for requests in flight.
	DrainTimeout time.Duration
	Log          *slog.Logger
}

// flushTimeout bounds the wait for the last records of a stopping router.
const flushTimeout = 5 * time.Second

// internalShutdown bounds the wait for the requests of other processes. An
// HTTP server waits 5 s for a connection on which nothing was sent yet, as
// clients open them ahead of need, so the bound must be above that.
const internalShutdown = 10 * time.Second

// flushPoll is the time between two looks at whether a machine has left.
const flushPoll = 20 * time.Millisecond

// Router is a router process.
type Router struct {
	t         tomb.Tomb
	cfg       RouterConfig
	transport *transport.Router
	api       *api.Server
	callers   *http.Server
	internal  *http.Server
}

// NewRouter returns a router that is not yet running.
func NewRouter(cfg RouterConfig) (*Router, error) {
	client, err := transport.ClientTLS(cfg.Client)
	if err != nil {
		return nil, err
	}
	logClient, err := transport.ClientTLS(cfg.LogClient)
	if err != nil {
		return nil, err
	}
	set := metrics.NewSet()
	r := &Router{cfg: cfg}
	r.transport = transport.NewRouter(cfg.ID, cfg.Control, transport.NewClient(client), transport.NewClient(logClient), cfg.LogAddr, transport.NewMetrics(set))
	r.api = api.New(r.transport, cfg.Limits, api.NewMetrics(set))
	r.callers = &http.Server{Handler: r.api}
	r.api.Configure(r.callers)
	mux := bunrouter.New()
	mux.POST(transport.EnvelopePath, bunrouter.HTTPHandler(r.transport.Inbound()))
	o := &ops{set: set, checks: cfg.Checks, ready: func() bool { return r.transport.View().Ready }, state: r.state}
	o.register(mux)
	r.internal = &http.Server{Handler: mux, ReadHeaderTimeout: internalHeaderTime}
	set.NewGauge("kumquatsill_requests_in_flight", func() float64 { return float64(r.transport.InFlight()) })
	return r, nil
}

func (r *Router) state() any {
	return stateOf(r.cfg.ID, r.cfg.Control, r.transport.Machine().InFlight())
}

// Start starts the machine and both servers.
func (r *Router) Start() {
	r.transport.Start()
	r.t.Go(func() error {
		r.t.Go(func() error { return serveErr(r.callers.Serve(r.cfg.Callers)) })
		return serveErr(r.internal.Serve(r.cfg.Internal))
	})
	r.cfg.Log.Info("router started", "id", r.cfg.ID, "callers", r.cfg.Callers.Addr().String(), "internal", r.cfg.Internal.Addr().String())
}

// Failed is closed when a part has ended by itself.
func (r *Router) Failed() <-chan struct{} { return r.t.Dying() }

// Err returns why a server ended by itself.
func (r *Router) Err() error { return r.t.Err() }

// Ready reports whether the router serves warm.
func (r *Router) Ready() bool { return r.transport.View().Ready }

// Funded reports whether the accounts' buckets have had time to fill.
func (r *Router) Funded() bool { return r.transport.View().Funded }

// Revision returns the revision in force at this router.
func (r *Router) Revision() proto.Revision { return r.transport.View().Config.Revision }

// Kill ends the router at once, like a crash: connections break.
func (r *Router) Kill() error {
	return errors.Join(r.callers.Close(), r.internal.Close(), r.transport.Stop(), r.t.Wait())
}

// Drain ends the router after the requests in flight. New requests are served
// during the grace period, and every connection is closed after its answer.
func (r *Router) Drain() error {
	r.cfg.Log.Info("router drains", "in_flight", r.transport.InFlight())
	r.api.Drain()
	time.Sleep(r.cfg.DrainGrace)
	ctx, cancel := context.WithTimeout(context.Background(), r.cfg.DrainTimeout)
	defer cancel()
	err := shutdown(ctx, r.callers)
	r.transport.Do(r.transport.Machine().Drain)
	r.waitLeft()
	ctx, cancelInternal := context.WithTimeout(context.Background(), internalShutdown)
	defer cancelInternal()
	err = errors.Join(err, shutdown(ctx, r.internal), r.transport.Stop(), r.t.Wait())
	r.cfg.Log.Info("router stopped", "id", r.cfg.ID)
	return err
}

// waitLeft waits until the log holds what the machine had to hand over, or
// until flushTimeout if the log is away.
func (r *Router) waitLeft() {
	for end := time.Now().Add(flushTimeout); time.Now().Before(end); time.Sleep(flushPoll) {
		left := false
		if !r.transport.Do(func(proto.Instant) { left = r.transport.Machine().Drained() }) || left {
			return
		}
	}
	r.cfg.Log.Warn("router stops with records that may not be in the log", "id", r.cfg.ID)
}
