// Package load replays a workload against routers over HTTP and measures what
// callers can observe.
package load

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/kumquatsill/kumquatsill/app/httpconn"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/proof/workload"
	"gopkg.in/tomb.v2"
)

// progressInterval is the time between two progress lines.
const progressInterval = time.Second

// responseGrace is how long after a request's deadline to wait for the router's
// response.
const responseGrace = 5 * time.Second

// Config sets up a run.
type Config struct {
	Deployment workload.Deployment
	Seed       uint64
	// Duration is the length of the workload. TimeLimit bounds the whole run,
	// including the requests in flight at its end; MaxRequests bounds the number
	// of requests.
	Duration, TimeLimit time.Duration
	MaxRequests         int
	// Rate is the number of requests per second.
	Rate float64
	// Concurrency is the maximum number of requests in flight.
	Concurrency int
	// Routers are base URLs such as "http://127.0.0.1:8080", used round-robin.
	Routers []string
	Keys    map[proto.AccountID]string
	// Flood, if set, is an account that sends at FloodFactor times its rate in
	// the example note. ShiftEvery, if set, is the interval after which other
	// prefixes become hot.
	Flood       proto.AccountID
	FloodFactor float64
	ShiftEvery  time.Duration
	// ExampleLimits states that the accounts have the rates and bursts of the
	// example note, by which the report classifies refusals as wrongful.
	ExampleLimits bool
	// TLS, if set, is used for connections to routers.
	TLS *tls.Config
	// Progress, if set, receives the progress line.
	Progress io.Writer
}

// StopReason is the reason for the end of a run.
type StopReason string

// Reasons for the end of a run.
const (
	StopCompleted    StopReason = "workload done"
	StopRequestLimit StopReason = "request limit"
	StopTimeLimit    StopReason = "time limit"
	StopInterrupted  StopReason = "interrupted"
)

type runner struct {
	cfg    Config
	id     string
	client *http.Client
	start  time.Time
	slots  chan struct{}

	sent, inFlight, answered, refused atomic.Int64

	mu      sync.Mutex
	results []result
}

// Run replays the workload until it is complete, a limit is reached or the
// context ends, and reports the results up to then.
func Run(ctx context.Context, cfg Config) Report {
	limited, cancel := context.WithTimeout(ctx, cfg.TimeLimit)
	defer cancel()
	r := &runner{
		// The run id makes the idempotency keys of runs with the same seed differ.
		cfg: cfg, id: uuid.NewString()[:8], client: &http.Client{Transport: newTransport(cfg), CheckRedirect: doNotFollow},
		start: time.Now(), slots: make(chan struct{}, cfg.Concurrency),
	}
	defer r.client.CloseIdleConnections()
	t, tombContext := tomb.WithContext(limited)
	stop := StopCompleted
	t.Go(func() error {
		stop = r.send(tombContext, t)
		return nil
	})
	r.waitWithProgress(t)
	switch {
	case ctx.Err() != nil:
		stop = StopInterrupted
	case errors.Is(limited.Err(), context.DeadlineExceeded):
		stop = StopTimeLimit
	}
	return r.report(stop, time.Since(r.start))
}

func newTransport(cfg Config) http.RoundTripper {
	return httpconn.NewTransport(&http.Transport{
		TLSClientConfig: cfg.TLS, MaxIdleConnsPerHost: cfg.Concurrency, DisableCompression: true,
	})
}

// doNotFollow returns redirects as responses: routers send none, and the key
// must not be sent to another server.
func doNotFollow(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// waitWithProgress prints the progress until the run has ended.
func (r *runner) waitWithProgress(t *tomb.Tomb) {
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-t.Dead():
			r.printProgress("\n")
			return
		case <-ticker.C:
			r.printProgress("")
		}
	}
}

func (r *runner) printProgress(end string) {
	if r.cfg.Progress == nil {
		return
	}
	_, _ = fmt.Fprintf(r.cfg.Progress, "\r%4.0f s: %d sent, %d in flight, %d answered, %d refused%s",
		time.Since(r.start).Seconds(), r.sent.Load(), r.inFlight.Load(), r.answered.Load(), r.refused.Load(), end)
}

// generator returns the workload at the configured rate.
func (r *runner) generator() *workload.Generator {
	dep := r.cfg.Deployment
	// The generator applies the flood factor to the rate it is given, but the
	// configured factor refers to the deployment's rate.
	factor := r.cfg.FloodFactor * dep.Traffic.Rate / r.cfg.Rate
	dep.Traffic.Rate = r.cfg.Rate
	return workload.New(dep, workload.Config{
		Seed: r.cfg.Seed, Duration: r.cfg.Duration, ShiftEvery: r.cfg.ShiftEvery, Flood: r.cfg.Flood, FloodFactor: factor,
	})
}

// send starts each request at its scheduled time, or later when all slots are
// in use.
func (r *runner) send(ctx context.Context, t *tomb.Tomb) StopReason {
	gen := r.generator()
	for serial := 0; ; serial++ {
		a, more := gen.Next()
		switch {
		case !more:
			return StopCompleted
		case serial == r.cfg.MaxRequests:
			return StopRequestLimit
		case !r.waitForSlot(ctx, a.At):
			return StopTimeLimit
		}
		router := r.cfg.Routers[serial%len(r.cfg.Routers)]
		r.sent.Add(1)
		r.inFlight.Add(1)
		t.Go(func() error {
			r.addResult(r.sendRequest(ctx, a, router))
			r.inFlight.Add(-1)
			<-r.slots
			return nil
		})
	}
}

// waitForSlot waits for the scheduled time of a request and then for a free
// slot. It reports false if the context ends first.
func (r *runner) waitForSlot(ctx context.Context, at time.Duration) bool {
	timer := time.NewTimer(time.Until(r.start.Add(at)))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	select {
	case r.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *runner) addResult(res result) {
	switch {
	case res.interrupted:
	case res.cause != "":
		r.refused.Add(1)
	default:
		r.answered.Add(1)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, res)
}

// ValidRate reports whether a rate is positive and finite.
func ValidRate(rate float64) bool { return rate > 0 && !math.IsInf(rate, 0) && !math.IsNaN(rate) }
