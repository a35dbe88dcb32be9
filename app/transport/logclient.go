package transport

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
	"gopkg.in/tomb.v2"
)

const (
	// MessagePath is the path at which the log service and engines receive messages.
	MessagePath = "/v1/message"
	// EventsPath is the path of an engine's event stream.
	EventsPath = "/v1/events"
	// logTimeout bounds a call to the log service. The wait that a read asks for is
	// added to it.
	logTimeout = 3 * time.Second
	// maxLogCalls bounds the calls to the log service that are in flight.
	maxLogCalls = 64
)

// LogClient sends a machine's calls to the log service.
type LogClient struct {
	t       tomb.Tomb
	client  *Client
	addr    string
	step    func(proto.Envelope) bool
	slots   chan struct{}
	metrics *Metrics
}

// NewLogClient returns a client of the log service at addr. It passes responses to
// step.
func NewLogClient(client *Client, addr string, metrics *Metrics, step func(proto.Envelope) bool) *LogClient {
	l := &LogClient{client: client, addr: addr, step: step, slots: make(chan struct{}, maxLogCalls), metrics: metrics}
	l.t.Go(func() error {
		<-l.t.Dying()
		return nil
	})
	return l
}

// Stop cancels all calls and waits for them.
func (l *LogClient) Stop() error {
	l.t.Kill(nil)
	return l.t.Wait()
}

// Send starts a call and does not block. The response, or a LogFailed, is passed
// to the machine.
func (l *LogClient) Send(env proto.Envelope) {
	if !l.t.Alive() {
		return
	}
	select {
	case l.slots <- struct{}{}:
		l.t.Go(func() error {
			response := l.call(env)
			<-l.slots
			l.step(proto.Envelope{From: proto.Log, To: env.From, Msg: response})
			return nil
		})
	default:
		// Send runs in the machine's goroutine, where step may block forever.
		l.t.Go(func() error {
			failed := logFailed(env.Msg, true, "too many log calls in flight")
			l.step(proto.Envelope{From: proto.Log, To: env.From, Msg: failed})
			return nil
		})
	}
}

func (l *LogClient) call(env proto.Envelope) proto.Message {
	data, err := proto.Encode(env)
	if err != nil {
		return logFailed(env.Msg, true, err.Error())
	}
	timeout := logTimeout
	if read, ok := env.Msg.(proto.LogRead); ok {
		timeout += read.Wait
	}
	ctx, cancel := context.WithTimeout(l.t.Context(context.Background()), timeout)
	defer cancel()
	var response proto.Message
	err = l.client.do(ctx, http.MethodPost, l.addr, MessagePath, data, timeout, nil, func(line []byte) error {
		in, err := proto.Decode(line)
		if err != nil {
			return err
		}
		if !matchesLogCall(env.Msg, in.Msg) {
			return Error.New("the log service answered another call with %s", in.Msg.Kind())
		}
		response = in.Msg
		return nil
	})
	if err == nil && response != nil {
		return response
	}
	l.metrics.LogFailed.Inc()
	return logFailed(env.Msg, hadNoEffect(err), errorText(err))
}

// hadNoEffect reports whether an error proves that a request had no effect.
func hadNoEffect(err error) bool {
	var connErr *ConnectionError
	if errors.As(err, &connErr) {
		return connErr.Unsent
	}
	var status *StatusError
	return errors.As(err, &status) && status.Status/100 == 4
}

func errorText(err error) string {
	if err == nil {
		return "the log service sent an empty answer"
	}
	return err.Error()
}

// logFailed returns a LogFailed for the call m.
func logFailed(m proto.Message, rejected bool, detail string) proto.LogFailed {
	failed := proto.LogFailed{Rejected: rejected, Detail: detail}
	switch m := m.(type) {
	case proto.LogAppend:
		failed.Call, failed.Stream = m.Call, m.Stream
	case proto.LogRead:
		failed.Call, failed.Stream = m.Call, m.Stream
	}
	return failed
}

// matchesLogCall reports whether a response belongs to a call.
func matchesLogCall(call, response proto.Message) bool {
	want := logFailed(call, false, "")
	switch m := response.(type) {
	case proto.LogAppended:
		return m.Call == want.Call && m.Stream == want.Stream
	case proto.LogRecords:
		return m.Call == want.Call && m.Stream == want.Stream
	case proto.LogFailed:
		return m.Call == want.Call && m.Stream == want.Stream
	}
	return false
}
