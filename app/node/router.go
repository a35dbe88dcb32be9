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

// RouterConfig configures a router process.
type RouterConfig struct {
	ID      proto.RouterID
	Control *router.Control
	Checks  *check.Monitor
	// Callers and Internal are the open listeners.
	Callers  net.Listener
	Internal net.Listener
	// LogAddr is the "ip:port" of the log service.
	LogAddr string
	// Client holds the TLS files for connections to agents and routers, LogClient
	// those for the log service. Zero values mean plain TCP.
	Client    transport.TLSFiles
	LogClient transport.TLSFiles
	Limits    api.Limits
	// DrainGrace is how long the router still serves new requests after a drain
	// began, so that the load balancer can stop sending them.
	DrainGrace time.Duration
	// DrainTimeout bounds the wait for requests in flight.
	DrainTimeout time.Duration
	Log          *slog.Logger
}

// flushTimeout bounds the wait for the last records of a stopping router to be
// appended to the log.
const flushTimeout = 5 * time.Second

// internalShutdownTimeout bounds the wait for requests of other processes. It must
// be longer than the 5 s for which the shutdown of an HTTP server waits for a
// connection without a request: clients open connections in advance.
const internalShutdownTimeout = 10 * time.Second

// drainPollInterval is the interval at which a drain checks whether a machine has
// finished its work.
const drainPollInterval = 20 * time.Millisecond

// Router runs a router with its HTTP servers for callers and for other processes.
type Router struct {
	t         tomb.Tomb
	cfg       RouterConfig
	transport *transport.Router
	api       *api.Server
	callers   *http.Server
	internal  *http.Server
}

// NewRouter returns a router that Start starts.
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
	o := &opsHandler{set: set, checks: cfg.Checks, ready: func() bool { return r.transport.View().Ready }, state: r.state}
	o.registerRoutes(mux)
	r.internal = &http.Server{Handler: mux, ReadHeaderTimeout: internalHeaderTimeout}
	set.NewGauge("kumquatsill_requests_in_flight", func() float64 { return float64(r.transport.InFlight()) })
	return r, nil
}

func (r *Router) state() any {
	return newRouterState(r.cfg.ID, r.cfg.Control, r.transport.Machine().InFlight())
}

// Start starts the machine and both servers.
func (r *Router) Start() {
	r.transport.Start()
	r.t.Go(func() error {
		r.t.Go(func() error { return ignoreServerClosed(r.callers.Serve(r.cfg.Callers)) })
		return ignoreServerClosed(r.internal.Serve(r.cfg.Internal))
	})
	r.cfg.Log.Info("router started", "id", r.cfg.ID, "callers", r.cfg.Callers.Addr().String(), "internal", r.cfg.Internal.Addr().String())
}

// Failed returns a channel that is closed when a server has failed or both
// have stopped.
func (r *Router) Failed() <-chan struct{} { return r.t.Dying() }

// Err returns the error of a server that failed.
func (r *Router) Err() error { return r.t.Err() }

// Ready reports whether the router has applied the config stream up to its head, and
// the recorded intents of calls that must not be repeated.
func (r *Router) Ready() bool { return r.transport.View().Ready }

// Funded reports whether every client account's bucket has had a holder for long
// enough to contain tokens.
func (r *Router) Funded() bool { return r.transport.View().Funded }

// Revision returns the revision in force at this router.
func (r *Router) Revision() proto.Revision { return r.transport.View().Config.Revision }

// Kill stops the router at once and closes its connections, like a crash.
func (r *Router) Kill() error {
	return errors.Join(r.callers.Close(), r.internal.Close(), r.transport.Stop(), r.t.Wait())
}

// Drain stops the router after the requests in flight have ended. It still serves
// new requests during DrainGrace, and closes every connection after its response.
func (r *Router) Drain() error {
	r.cfg.Log.Info("router drains", "in_flight", r.transport.InFlight())
	r.api.Drain()
	time.Sleep(r.cfg.DrainGrace)
	ctx, cancel := context.WithTimeout(context.Background(), r.cfg.DrainTimeout)
	defer cancel()
	err := shutdown(ctx, r.callers)
	r.transport.Do(r.transport.Machine().Drain)
	r.waitDrained()
	ctx, cancelInternal := context.WithTimeout(context.Background(), internalShutdownTimeout)
	defer cancelInternal()
	err = errors.Join(err, shutdown(ctx, r.internal), r.transport.Stop(), r.t.Wait())
	r.cfg.Log.Info("router stopped", "id", r.cfg.ID)
	return err
}

// waitDrained waits until the machine's last records are in the log, for at most
// flushTimeout in case the log is unreachable.
func (r *Router) waitDrained() {
	for end := time.Now().Add(flushTimeout); time.Now().Before(end); time.Sleep(drainPollInterval) {
		drained := false
		if !r.transport.Do(func(proto.Instant) { drained = r.transport.Machine().Drained() }) || drained {
			return
		}
	}
	r.cfg.Log.Warn("router stops with records that may not be in the log", "id", r.cfg.ID)
}
