package e2e_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/kumquatsill/kumquatsill/app/transport"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/standin/engine"
)

const (
	overheadRate   = 500 // requests per second
	overheadPhase  = time.Second
	overheadRounds = 8
	overheadTokens = 8
	overheadPrompt = "overhead"
)

// sample holds the time to the first token and to the end of one response,
// measured from the instant at which the request was due.
type sample struct{ first, total time.Duration }

// latencies holds the samples of one path to the engine, direct or routed.
type latencies struct {
	mu      sync.Mutex
	samples []sample
	failed  int
}

// sendPhase sends requests at a fixed rate, whether or not earlier ones have
// ended.
func (l *latencies) sendPhase(round int, send func(id string, due time.Time) (sample, error)) {
	var wg sync.WaitGroup
	start := time.Now()
	for n := range int(overheadPhase.Seconds() * overheadRate) {
		due := start.Add(time.Duration(n) * time.Second / overheadRate)
		time.Sleep(time.Until(due))
		wg.Go(func() {
			s, err := send(fmt.Sprintf("%d-%d", round, n), due)
			l.mu.Lock()
			defer l.mu.Unlock()
			if err != nil {
				l.failed++
				return
			}
			l.samples = append(l.samples, s)
		})
	}
	wg.Wait()
}

func (l *latencies) quantile(q float64, of func(sample) time.Duration) time.Duration {
	var times []time.Duration
	for _, s := range l.samples {
		times = append(times, of(s))
	}
	slices.Sort(times)
	return times[int(q*float64(len(times)-1))]
}

// directClient calls an engine as its agent does, without router and agent.
type directClient struct {
	client *transport.EngineClient
	mu     sync.Mutex
	runs   map[proto.AttemptID]*directRun
}

type directRun struct {
	first time.Time
	done  chan error
}

func newDirectClient(b *testing.B, addr string) *directClient {
	d := &directClient{runs: map[proto.AttemptID]*directRun{}}
	up := make(chan struct{}, 1)
	d.client = transport.NewEngineClient(transport.NewClient(nil), addr, "direct", transport.NewMetrics(metrics.NewSet()), func(e proto.Envelope) bool {
		if _, ok := e.Msg.(proto.EngineUp); ok {
			select {
			case up <- struct{}{}:
			default:
			}
		}
		d.handle(e.Msg)
		return true
	})
	d.client.Start()
	b.Cleanup(func() { _ = d.client.Stop() })
	select {
	case <-up:
	case <-time.After(waitTimeout):
		b.Fatal("the engine did not come up")
	}
	return d
}

func (d *directClient) handle(m proto.Message) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch m := m.(type) {
	case proto.EngineToken:
		if r := d.runs[m.Attempt]; r != nil && r.first.IsZero() {
			r.first = time.Now()
		}
	case proto.EngineDone:
		d.end(m.Attempt, nil)
	case proto.EngineFailed:
		d.end(m.Attempt, fmt.Errorf("engine: %s", m.Cause))
	}
}

func (d *directClient) end(id proto.AttemptID, err error) {
	if r := d.runs[id]; r != nil {
		delete(d.runs, id)
		r.done <- err
	}
}

func (d *directClient) send(id string, due time.Time) (sample, error) {
	r := &directRun{done: make(chan error, 1)}
	attempt := proto.AttemptID(id)
	d.mu.Lock()
	d.runs[attempt] = r
	d.mu.Unlock()
	d.client.Send(proto.Envelope{From: proto.AgentAddr("direct"), To: proto.EngineAddr("direct"), Msg: proto.EngineRun{
		Attempt: attempt, StreamID: id, Model: "fast", Version: "v1",
		Body: []byte(completionBody("fast", overheadPrompt, overheadTokens)), MaxTokens: overheadTokens, PromptTokens: int64(len(overheadPrompt)) / 4,
	}})
	if err := <-r.done; err != nil {
		return sample{}, err
	}
	return sample{first: r.first.Sub(due), total: time.Since(due)}, nil
}

// sendRouted streams a response through a router and an agent.
func sendRouted(client *http.Client, addr string, due time.Time) (sample, error) {
	body := completionBody("fast", overheadPrompt, overheadTokens)
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return sample{}, err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	res, err := client.Do(req)
	if err != nil {
		return sample{}, err
	}
	defer func() { _ = res.Body.Close() }()
	var s sample
	done := false
	lines := bufio.NewScanner(res.Body)
	for lines.Scan() {
		switch {
		case bytes.Equal(lines.Bytes(), []byte("data: [DONE]")):
			done = true
		case s.first == 0 && bytes.HasPrefix(lines.Bytes(), []byte("data: ")):
			s.first = time.Since(due)
		}
	}
	s.total = time.Since(due)
	_, _ = io.Copy(io.Discard, res.Body)
	if !done {
		return sample{}, fmt.Errorf("status %d, stream not complete: %v", res.StatusCode, lines.Err())
	}
	return s, nil
}

// BenchmarkOverhead compares the latency through router and agent with that of an
// identical engine that is called directly. It alternates between short phases of
// each, so that the load of other programs on the machine affects both alike.
func BenchmarkOverhead(b *testing.B) {
	f := startFleet(b)
	d := newDirectClient(b, f.host(engine.New(fastEngine("direct"))))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	addr := f.routers[0].startLine["callers"]
	var directLatencies, routedLatencies latencies
	for b.Loop() {
		for round := range overheadRounds {
			directLatencies.sendPhase(round, d.send)
			routedLatencies.sendPhase(round, func(_ string, due time.Time) (sample, error) { return sendRouted(client, addr, due) })
		}
	}
	if directLatencies.failed+routedLatencies.failed > 0 {
		b.Fatalf("%d direct and %d routed requests failed", directLatencies.failed, routedLatencies.failed)
	}
	for _, of := range []struct {
		name string
		time func(sample) time.Duration
	}{
		{"first token", func(s sample) time.Duration { return s.first }},
		{"whole answer", func(s sample) time.Duration { return s.total }},
	} {
		for _, q := range []float64{0.5, 0.99} {
			direct, routed := directLatencies.quantile(q, of.time), routedLatencies.quantile(q, of.time)
			b.Logf("%-12s p%-3.0f direct %8v routed %8v added %8v", of.name, q*100, direct.Round(time.Microsecond), routed.Round(time.Microsecond), (routed - direct).Round(time.Microsecond))
		}
	}
	b.Logf("%d direct and %d routed requests, %d/s", len(directLatencies.samples), len(routedLatencies.samples), overheadRate)
	b.Logf("processor time per routed request: router %v, agent %v", f.routers[0].killAndMeasureCPU(b)/time.Duration(len(routedLatencies.samples)), f.agents[2].killAndMeasureCPU(b)/time.Duration(len(routedLatencies.samples)))
}

// killAndMeasureCPU kills a process and returns the processor time that it used,
// including its start.
func (p *process) killAndMeasureCPU(b *testing.B) time.Duration {
	p.signal(b, syscall.SIGKILL)
	p.waitExit(b)
	return p.cmd.ProcessState.UserTime() + p.cmd.ProcessState.SystemTime()
}
