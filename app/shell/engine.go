package shell

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
	"gopkg.in/tomb.v2"
)

const (
	// engineQueue bounds the messages that wait for the engine.
	engineQueue = 4096
	// engineRetry is the pause before the event stream is opened again.
	engineRetry = 250 * time.Millisecond
)

// EngineClient connects an agent's machine with its engine or plain service.
type EngineClient struct {
	t       tomb.Tomb
	client  *Client
	addr    string
	engine  proto.Addr
	agent   proto.Addr
	queue   chan proto.Envelope
	step    func(proto.Envelope) bool
	metrics *Metrics
}

// NewEngineClient returns the connection of an endpoint's agent to the engine at addr.
func NewEngineClient(client *Client, addr string, endpoint proto.EndpointID, metrics *Metrics, step func(proto.Envelope) bool) *EngineClient {
	return &EngineClient{
		client:  client,
		addr:    addr,
		engine:  proto.EngineAddr(endpoint),
		agent:   proto.AgentAddr(endpoint),
		queue:   make(chan proto.Envelope, engineQueue),
		step:    step,
		metrics: metrics,
	}
}

// Start opens the event stream and keeps it open.
func (e *EngineClient) Start() {
	e.t.Go(func() error {
		e.t.Go(e.send)
		return e.receive()
	})
}

// Stop closes the connections and waits.
func (e *EngineClient) Stop() error {
	e.t.Kill(nil)
	return e.t.Wait()
}

// Send queues a message to the engine. It does not block.
func (e *EngineClient) Send(env proto.Envelope) {
	select {
	case e.queue <- env:
	default:
		e.t.Go(func() error {
			e.refuse(env, proto.NotRun)
			return nil
		})
	}
}

func (e *EngineClient) send() error {
	for {
		select {
		case env := <-e.queue:
			e.post(env)
		case <-e.t.Dying():
			return nil
		}
	}
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
}

func (e *EngineClient) postOnce(env proto.Envelope) error {
	data, err := proto.Encode(env)
	if err != nil {
		return &LostError{Unsent: true, Err: err}
	}
	ctx, cancel := context.WithTimeout(e.t.Context(context.Background()), SilenceTimeout)
	defer cancel()
	return e.client.do(ctx, http.MethodPost, e.addr, MessagePath, data, SilenceTimeout, func([]byte) error { return nil })
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
		incarnation, opened := e.follow()
		if opened {
			e.metrics.EngineDown.Inc()
			e.tell(proto.EngineDown{Incarnation: incarnation})
		}
		select {
		case <-time.After(engineRetry):
		case <-e.t.Dying():
		}
	}
	return nil
}

// follow reads one event stream to its end.
func (e *EngineClient) follow() (last proto.Incarnation, opened bool) {
	path := EventsPath + "?addr=" + url.QueryEscape(e.agent.String())
	err := e.client.do(e.t.Context(context.Background()), http.MethodGet, e.addr, path, nil, SilenceTimeout, func(line []byte) error {
		if !opened {
			opened = true
			e.Send(proto.Envelope{From: e.agent, To: e.engine, Msg: proto.CacheListRequest{}})
		}
		if len(line) == 0 {
			return nil
		}
		in, err := proto.Decode(line)
		if err != nil {
			return err
		}
		if up, ok := in.Msg.(proto.EngineUp); ok {
			last = up.Incarnation
		}
		if in.From == e.engine && in.To == e.agent {
			e.step(in)
		} else {
			e.metrics.Misdelivered.Inc()
		}
		return nil
	})
	var lost *LostError
	if errors.As(err, &lost) && lost.Silent {
		e.metrics.ConnSilent.Inc()
	}
	return last, opened
}
