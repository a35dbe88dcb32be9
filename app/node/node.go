// Package node assembles the router and agent processes from their listeners,
// transports, the caller API and the HTTP paths for operators.
package node

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/kumquatsill/kumquatsill/app/transport"
	"github.com/kumquatsill/kumquatsill/core/check"
	"github.com/uptrace/bunrouter"
	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("node")

// internalHeaderTimeout bounds the time to receive request headers on internal
// listeners.
const internalHeaderTimeout = 10 * time.Second

// Listen opens a TCP listener, with TLS if files names a certificate.
func Listen(addr string, files transport.TLSFiles) (net.Listener, error) {
	config, err := transport.ServerTLS(files)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if config == nil {
		return listener, nil
	}
	return tls.NewListener(listener, config), nil
}

// opsHandler serves the HTTP paths for operators: health, readiness, metrics and
// state.
type opsHandler struct {
	set    *metrics.Set
	checks *check.Monitor
	ready  func() bool
	state  func() any
}

func (o *opsHandler) registerRoutes(mux *bunrouter.Router) {
	mux.GET("/healthz", func(w http.ResponseWriter, _ bunrouter.Request) error {
		_, err := io.WriteString(w, "ok\n")
		return err
	})
	mux.GET("/readyz", o.serveReady)
	mux.GET("/metrics", o.serveMetrics)
	mux.GET("/debug/state", o.serveState)
}

func (o *opsHandler) serveReady(w http.ResponseWriter, _ bunrouter.Request) error {
	if !o.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, err := io.WriteString(w, "not ready\n")
		return err
	}
	_, err := io.WriteString(w, "ready\n")
	return err
}

func (o *opsHandler) serveMetrics(w http.ResponseWriter, _ bunrouter.Request) error {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	o.set.WritePrometheus(w)
	for _, inv := range check.All {
		counts := o.checks.Counts(inv)
		metrics.WriteCounterUint64(w, fmt.Sprintf("kumquatsill_invariant_checked_total{name=%q}", inv), uint64(counts.Checked))
		metrics.WriteCounterUint64(w, fmt.Sprintf("kumquatsill_invariant_failed_total{name=%q}", inv), uint64(counts.Failed))
	}
	metrics.WriteProcessMetrics(w)
	return nil
}

func (o *opsHandler) serveState(w http.ResponseWriter, _ bunrouter.Request) error {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(o.state())
}

// shutdown waits for the requests of a server and stops it. When ctx reaches its
// deadline, it closes the remaining connections and returns an error.
func shutdown(ctx context.Context, server *http.Server) error {
	err := server.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		return errors.Join(err, server.Close())
	}
	return err
}

// ignoreServerClosed returns nil for the error of a server that was shut down.
func ignoreServerClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
