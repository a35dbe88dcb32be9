// Package load replays a workload against routers as their callers do, and
// measures what callers can see.
package load

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/proof/workload"
	"gopkg.in/tomb.v2"
)

// progressEvery is the time between two progress lines.
const progressEvery = time.Second

// answerGrace is how long the router may exceed the deadline of a request
// before the load gives the request up.
const answerGrace = 5 * time.Second

// Config sets up a run.
type Config struct {
	Deployment workload.Deployment
	Seed       uint64
	// Duration is the length of the workload; TimeLimit bounds the whole run
	// with the requests in flight; MaxRequests bounds their number.
	Duration, TimeLimit time.Duration
	MaxRequests         int
	// Rate is the number of requests per second.
	Rate float64
	// Concurrency is the greatest number of requests in flight.
	Concurrency int
	// Routers are base URLs such as "http://127.0.0.1:8080", used in turn.
	Routers []string
	Keys    map[proto.AccountID]string
	// Flood, if set, is an account that sends FloodFactor times the rate of
	// the example note. ShiftEvery, if set, makes other prefixes hot.
	Flood       proto.AccountID
	FloodFactor float64
	ShiftEvery  time.Duration
	// ExampleLimits states that the accounts have the rates and bursts of the
	// example note, so that refusals can be judged.
	ExampleLimits bool
	Transport     http.RoundTripper
	// Progress, if set, gets the progress line.
	Progress io.Writer
}

// StopReason says why a run ended.
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

// Run replays the workload until it is done, a bound is reached or the context
// ends, and reports what was done until then.
func Run(ctx context.Context, cfg Config) Report {
	limited, cancel := context.WithTimeout(ctx, cfg.TimeLimit)
	defer cancel()
	r := &runner{
		// The run's id keeps the idempotency keys of two runs with one seed apart.
		cfg: cfg, id: uuid.NewString()[:8], client: &http.Client{Transport: cfg.Transport, CheckRedirect: keepRedirect},
		start: time.Now(), slots: make(chan struct{}, cfg.Concurrency),
	}
	t, work := tomb.WithContext(limited)
	stop := StopCompleted
	t.Go(func() error {
		stop = r.send(work, t)
		return nil
	})
	r.follow(t)
	switch {
	case ctx.Err() != nil:
		stop = StopInterrupted
	case errors.Is(limited.Err(), context.DeadlineExceeded):
		stop = StopTimeLimit
	}
	return r.report(stop, time.Since(r.start))
}

// keepRedirect makes a redirect an answer, as routers send none and a key must
// not go elsewhere.
func keepRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// follow waits for the end of the work and prints the progress.
func (r *runner) follow(t *tomb.Tomb) {
	ticker := time.NewTicker(progressEvery)
	defer ticker.Stop()
	for {
		select {
		case <-t.Dead():
			r.progress("\n")
			return
		case <-ticker.C:
			r.progress("")
		}
	}
}

func (r *runner) progress(end string) {
	if r.cfg.Progress == nil {
		return
	}
	_, _ = fmt.Fprintf(r.cfg.Progress, "\r%4.0f s: %d sent, %d in flight, %d answered, %d refused%s",
		time.Since(r.start).Seconds(), r.sent.Load(), r.inFlight.Load(), r.answered.Load(), r.refused.Load(), end)
}

func (r *runner) generator() *workload.Generator {
	dep := r.cfg.Deployment
	// The generator's factor is relative to the rate that it is given.
	factor := r.cfg.FloodFactor * dep.Traffic.Rate / r.cfg.Rate
	dep.Traffic.Rate = r.cfg.Rate
	return workload.New(dep, workload.Config{
		Seed: r.cfg.Seed, Duration: r.cfg.Duration, ShiftEvery: r.cfg.ShiftEvery, Flood: r.cfg.Flood, FloodFactor: factor,
	})
}

// send starts each request at its time, or when one in flight has ended.
func (r *runner) send(ctx context.Context, t *tomb.Tomb) StopReason {
	gen := r.generator()
	for serial := 0; ; serial++ {
		a, more := gen.Next()
		switch {
		case !more:
			return StopCompleted
		case serial == r.cfg.MaxRequests:
			return StopRequestLimit
		case !r.await(ctx, a.At):
			return StopTimeLimit
		}
		router := r.cfg.Routers[serial%len(r.cfg.Routers)]
		r.sent.Add(1)
		r.inFlight.Add(1)
		t.Go(func() error {
			r.add(r.do(ctx, a, router))
			r.inFlight.Add(-1)
			<-r.slots
			return nil
		})
	}
}

// await waits for the time of a request and for a free slot.
func (r *runner) await(ctx context.Context, at time.Duration) bool {
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

func (r *runner) add(res result) {
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

// ValidRate reports whether a number of requests per second can be replayed.
func ValidRate(rate float64) bool { return rate > 0 && !math.IsInf(rate, 0) && !math.IsNaN(rate) }
