// Package node assembles the processes: listeners, shells, the caller API and
// the operators' HTTP paths.
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

// internalHeaderTime bounds the arrival of headers on internal listeners.
const internalHeaderTime = 10 * time.Second

// Listen opens a TCP listener, with TLS if files are given.
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

// ops serves the operators' paths of one process.
type ops struct {
	set    *metrics.Set
	checks *check.Monitor
	ready  func() bool
	state  func() any
}

func (o *ops) register(mux *bunrouter.Router) {
	mux.GET("/healthz", func(w http.ResponseWriter, _ bunrouter.Request) error {
		_, err := io.WriteString(w, "ok\n")
		return err
	})
	mux.GET("/readyz", o.serveReady)
	mux.GET("/metrics", o.serveMetrics)
	mux.GET("/debug/state", o.serveState)
}

func (o *ops) serveReady(w http.ResponseWriter, _ bunrouter.Request) error {
	if !o.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, err := io.WriteString(w, "not ready\n")
		return err
	}
	_, err := io.WriteString(w, "ready\n")
	return err
}

func (o *ops) serveMetrics(w http.ResponseWriter, _ bunrouter.Request) error {
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

func (o *ops) serveState(w http.ResponseWriter, _ bunrouter.Request) error {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(o.state())
}

// shutdown ends a server after its requests, or cuts them when ctx ends.
func shutdown(ctx context.Context, server *http.Server) error {
	err := server.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		return errors.Join(err, server.Close())
	}
	return err
}

// serveErr turns the expected end of a server into nil.
func serveErr(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
