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
	// engineRetry is the delay before the event stream is opened again.
	engineRetry = 250 * time.Millisecond
)

// EngineClient connects an agent's machine to its engine or plain service.
//
// A lost or silent connection does not mean that the engine has stopped: the event
// stream is opened again and continues after the last event received. The machine
// gets an EngineDown only when the engine cannot be reached any more. It detects a
// crash with a fast restart by the engine's new incarnation.
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
	// sending holds the runs that are being sent, each with a channel that is closed
	// when it was sent, so that a cancel does not overtake its run.
	sending map[proto.AttemptID]chan struct{}

	// Only the goroutine of receive uses the fields below. The epoch identifies the
	// numbering of the events, of which lastEvent is the last one received.
	epoch       string
	lastEvent   int64
	incarnation proto.Incarnation
	down        bool
}

// NewEngineClient returns a client for an endpoint's agent of the engine at addr.
func NewEngineClient(client *Client, addr string, endpoint proto.EndpointID, metrics *Metrics, step func(proto.Envelope) bool) *EngineClient {
	return &EngineClient{
		client:  client,
		addr:    addr,
		engine:  proto.EngineAddr(endpoint),
		agent:   proto.AgentAddr(endpoint),
		slots:   make(chan struct{}, maxEngineMessages),
		step:    step,
		metrics: metrics,
		sending: map[proto.AttemptID]chan struct{}{},
		down:    true,
	}
}

// Start opens the event stream and keeps it open.
func (e *EngineClient) Start() { e.t.Go(e.receive) }

// Stop closes the connections and waits until all goroutines have ended.
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
			e.reportFailure(env, proto.NotRun)
			return nil
		})
		return
	}
	waitFor, done := e.sequenceSend(env.Msg)
	e.t.Go(func() error {
		defer func() { <-e.slots }()
		defer done()
		if waitFor != nil {
			<-waitFor
		}
		e.post(env)
		return nil
	})
}

// sequenceSend returns a channel that must be closed before a message is sent, or
// nil, and a function to call after it was sent.
func (e *EngineClient) sequenceSend(m proto.Message) (waitFor <-chan struct{}, done func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch m := m.(type) {
	case proto.EngineCancel:
		return e.sending[m.Attempt], func() {}
	case proto.EngineRun:
		sent := make(chan struct{})
		e.sending[m.Attempt] = sent
		return nil, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			delete(e.sending, m.Attempt)
			close(sent)
		}
	}
	return nil, func() {}
}

// post sends a message and reports a failure to the machine.
func (e *EngineClient) post(env proto.Envelope) {
	err := e.postOnce(env)
	if err == nil {
		return
	}
	verdict := proto.MayHaveRun
	if hadNoEffect(err) {
		verdict = proto.NotRun
	}
	e.reportFailure(env, verdict)
	if run, ok := env.Msg.(proto.EngineRun); ok && verdict == proto.MayHaveRun {
		// The engine may execute a run that nobody waits for. A failure of the cancel
		// needs no handling.
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

// reportFailure tells the machine that a run or call did not reach the engine, or
// may not have reached it.
func (e *EngineClient) reportFailure(env proto.Envelope, verdict proto.Verdict) {
	var attempt proto.AttemptID
	switch m := env.Msg.(type) {
	case proto.EngineRun:
		attempt = m.Attempt
	case proto.EngineCall:
		attempt = m.Attempt
	default:
		return
	}
	e.toMachine(proto.EngineFailed{Attempt: attempt, Cause: proto.CauseEndpointFailed, Verdict: verdict})
}

// toMachine passes a message to the machine as one from the engine.
func (e *EngineClient) toMachine(m proto.Message) {
	e.step(proto.Envelope{From: e.engine, To: e.agent, Msg: m})
}

// receive keeps the event stream open until Stop.
func (e *EngineClient) receive() error {
	for e.t.Alive() {
		opened := e.readEvents()
		if opened {
			continue
		}
		e.reportDown()
		select {
		case <-time.After(engineRetry):
		case <-e.t.Dying():
		}
	}
	return nil
}

// reportDown tells the machine that the engine cannot be reached, once until the
// engine is up again.
func (e *EngineClient) reportDown() {
	if e.down || !e.t.Alive() {
		return
	}
	e.down = true
	e.metrics.EngineDown.Inc()
	e.toMachine(proto.EngineDown{Incarnation: e.incarnation})
}

// readEvents reads one event stream to its end and reports whether it received any
// line.
func (e *EngineClient) readEvents() (opened bool) {
	query := url.Values{"addr": {e.agent.String()}}
	if e.epoch != "" {
		query.Set("epoch", e.epoch)
		query.Set("after", strconv.FormatInt(e.lastEvent, 10))
	}
	ctx := e.t.Context(context.Background())
	path := EventsPath + "?" + query.Encode()
	err := e.client.do(ctx, http.MethodGet, e.addr, path, nil, e.client.silence, e.handleHeader, func(line []byte) error {
		if !opened {
			opened = true
			// The response states the engine's incarnation and cache contents.
			e.Send(proto.Envelope{From: e.agent, To: e.engine, Msg: proto.CacheListRequest{}})
		}
		return e.handleLine(line)
	})
	var connErr *ConnectionError
	if errors.As(err, &connErr) && connErr.Silent {
		e.metrics.ConnSilent.Inc()
	}
	return opened
}

// handleHeader resets lastEvent if the engine has started a new epoch.
func (e *EngineClient) handleHeader(h http.Header) {
	if epoch := h.Get("Epoch"); epoch != e.epoch {
		e.epoch, e.lastEvent = epoch, 0
	}
}

// handleLine processes one event: its number, a space and an envelope. An empty
// line only keeps the connection alive.
func (e *EngineClient) handleLine(line []byte) error {
	if len(line) == 0 {
		return nil
	}
	number, text, _ := bytes.Cut(line, []byte{' '})
	n, err := strconv.ParseInt(string(number), 10, 64)
	if err != nil {
		return Error.New("an event without a number")
	}
	if n <= e.lastEvent {
		return nil
	}
	in, err := proto.Decode(text)
	if err != nil {
		return err
	}
	e.lastEvent = n
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
