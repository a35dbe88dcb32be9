package transport

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
	"gopkg.in/tomb.v2"
)

const (
	// maxEngineMessages bounds the messages to the engine that are in flight.
	maxEngineMessages = 1024
	// engineRetry is the pause before the event stream is opened again.
	engineRetry = 250 * time.Millisecond
)

// EngineClient connects an agent's machine with its engine or plain service.
//
// A connection that breaks or goes silent does not mean that the engine died:
// the event stream is opened again and goes on where it broke. EngineDown is
// told only when the engine cannot be reached any more; a crash with a fast
// return shows as another incarnation.
type EngineClient struct {
	t       tomb.Tomb
	client  *Client
	addr    string
	engine  proto.Addr
	agent   proto.Addr
	slots   chan struct{}
	step    func(proto.Envelope) bool
	metrics *Metrics

	mu sync.Mutex
	// starting holds the runs that are being sent, so that a cancel does not
	// overtake its run.
	starting map[proto.AttemptID]chan struct{}

	// The fields below belong to the goroutine that receives.
	epoch       string
	last        int64
	incarnation proto.Incarnation
	down        bool
}

// NewEngineClient returns the connection of an endpoint's agent to the engine at addr.
func NewEngineClient(client *Client, addr string, endpoint proto.EndpointID, metrics *Metrics, step func(proto.Envelope) bool) *EngineClient {
	return &EngineClient{
		client:   client,
		addr:     addr,
		engine:   proto.EngineAddr(endpoint),
		agent:    proto.AgentAddr(endpoint),
		slots:    make(chan struct{}, maxEngineMessages),
		step:     step,
		metrics:  metrics,
		starting: map[proto.AttemptID]chan struct{}{},
		down:     true,
	}
}

// Start opens the event stream and keeps it open.
func (e *EngineClient) Start() { e.t.Go(e.receive) }

// Stop closes the connections and waits.
func (e *EngineClient) Stop() error {
	e.t.Kill(nil)
	return e.t.Wait()
}

// Send sends a message to the engine. It does not block.
func (e *EngineClient) Send(env proto.Envelope) {
	if !e.t.Alive() {
		return
	}
	select {
	case e.slots <- struct{}{}:
	default:
		e.t.Go(func() error {
			e.refuse(env, proto.NotRun)
			return nil
		})
		return
	}
	before, done := e.order(env.Msg)
	e.t.Go(func() error {
		defer func() { <-e.slots }()
		defer done()
		if before != nil {
			<-before
		}
		e.post(env)
		return nil
	})
}

// order returns what a message has to wait for, and what to call after it was sent.
func (e *EngineClient) order(m proto.Message) (before <-chan struct{}, done func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch m := m.(type) {
	case proto.EngineCancel:
		return e.starting[m.Attempt], func() {}
	case proto.EngineRun:
		sent := make(chan struct{})
		e.starting[m.Attempt] = sent
		return nil, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			delete(e.starting, m.Attempt)
			close(sent)
		}
	}
	return nil, func() {}
}

func (e *EngineClient) post(env proto.Envelope) {
	err := e.postOnce(env)
	if err == nil {
		return
	}
	verdict := proto.MayHaveRun
	if rejectedBefore(err) {
		verdict = proto.NotRun
	}
	e.refuse(env, verdict)
	if run, ok := env.Msg.(proto.EngineRun); ok && verdict == proto.MayHaveRun {
		// The engine may run what nobody waits for; a second failure changes nothing.
		cancel := proto.EngineCancel{Attempt: run.Attempt}
		_ = e.postOnce(proto.Envelope{From: env.From, To: env.To, Msg: cancel})
	}
}

func (e *EngineClient) postOnce(env proto.Envelope) error {
	data, err := proto.Encode(env)
	if err != nil {
		return &ConnectionError{Unsent: true, Err: err}
	}
	ctx, cancel := context.WithTimeout(e.t.Context(context.Background()), SilenceTimeout)
	defer cancel()
	return e.client.do(ctx, http.MethodPost, e.addr, MessagePath, data, e.client.silence, nil, func([]byte) error { return nil })
}

// refuse tells the machine that a run or call did not reach the engine, or may not have.
func (e *EngineClient) refuse(env proto.Envelope, verdict proto.Verdict) {
	var attempt proto.AttemptID
	switch m := env.Msg.(type) {
	case proto.EngineRun:
		attempt = m.Attempt
	case proto.EngineCall:
		attempt = m.Attempt
	default:
		return
	}
	e.tell(proto.EngineFailed{Attempt: attempt, Cause: proto.CauseEndpointFailed, Verdict: verdict})
}

func (e *EngineClient) tell(m proto.Message) {
	e.step(proto.Envelope{From: e.engine, To: e.agent, Msg: m})
}

func (e *EngineClient) receive() error {
	for e.t.Alive() {
		opened := e.follow()
		if opened {
			continue
		}
		e.lost()
		select {
		case <-time.After(engineRetry):
		case <-e.t.Dying():
		}
	}
	return nil
}

// lost tells once that the engine cannot be reached.
func (e *EngineClient) lost() {
	if e.down || !e.t.Alive() {
		return
	}
	e.down = true
	e.metrics.EngineDown.Inc()
	e.tell(proto.EngineDown{Incarnation: e.incarnation})
}

// follow reads one event stream to its end and reports whether it was opened.
func (e *EngineClient) follow() (opened bool) {
	query := url.Values{"addr": {e.agent.String()}}
	if e.epoch != "" {
		query.Set("epoch", e.epoch)
		query.Set("after", strconv.FormatInt(e.last, 10))
	}
	ctx := e.t.Context(context.Background())
	path := EventsPath + "?" + query.Encode()
	err := e.client.do(ctx, http.MethodGet, e.addr, path, nil, e.client.silence, e.onOpen, func(line []byte) error {
		if !opened {
			opened = true
			// The answer shows the engine's incarnation and cache.
			e.Send(proto.Envelope{From: e.agent, To: e.engine, Msg: proto.CacheListRequest{}})
		}
		return e.onLine(line)
	})
	var lost *ConnectionError
	if errors.As(err, &lost) && lost.Silent {
		e.metrics.ConnSilent.Inc()
	}
	return opened
}

func (e *EngineClient) onOpen(h http.Header) {
	if epoch := h.Get("Epoch"); epoch != e.epoch {
		e.epoch, e.last = epoch, 0
	}
}

func (e *EngineClient) onLine(line []byte) error {
	if len(line) == 0 {
		return nil
	}
	number, text, _ := bytes.Cut(line, []byte{' '})
	n, err := strconv.ParseInt(string(number), 10, 64)
	if err != nil {
		return Error.New("an event without a number")
	}
	if n <= e.last {
		return nil
	}
	in, err := proto.Decode(text)
	if err != nil {
		return err
	}
	e.last = n
	if in.From != e.engine || in.To != e.agent {
		e.metrics.Misdelivered.Inc()
		return nil
	}
	if up, ok := in.Msg.(proto.EngineUp); ok {
		e.incarnation = up.Incarnation
		e.down = false
	}
	e.step(in)
	return nil
}
