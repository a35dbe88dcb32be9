package transport

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/standin/rawanswer"
)

// answerServer starts a server that gives an answer to each request, with TLS if secure is set.
func answerServer(t *testing.T, secure bool, answer rawanswer.Answer) (addr string, config *tls.Config) {
	t.Helper()
	s := httptest.NewUnstartedServer(answer)
	if secure {
		s.StartTLS()
		config = s.Client().Transport.(*http.Transport).TLSClientConfig
	} else {
		s.Start()
	}
	t.Cleanup(s.Close)
	return s.Listener.Addr().String(), config
}

// encodeLine returns an envelope as a line of a response.
func encodeLine(t *testing.T, env proto.Envelope) string {
	t.Helper()
	data, err := proto.Encode(env)
	if err != nil {
		t.Fatal(err)
	}
	return string(data) + "\n"
}

// Guards against an answer of another router, of an agent or of an engine that is not valid and
// whose envelopes are handled; and against one that is valid and whose envelopes are not.
func TestInvalidAnswerIsNotHandled(t *testing.T) {
	reply := proto.Envelope{From: proto.AgentAddr("e1"), To: proto.RouterAddr("r1"), Msg: proto.Cancel{Attempt: "q#2"}}
	body := encodeLine(t, reply)
	for _, secure := range []bool{false, true} {
		post := func(text string) (handled int, err error) {
			addr, config := answerServer(t, secure, rawanswer.Text(text))
			err = NewClient(config).PostEnvelope(context.Background(), addr, cancelMessage, func(proto.Envelope) { handled++ })
			return handled, err
		}
		for name, text := range rawanswer.InvalidHeads("", body) {
			if handled, err := post(text); handled != 0 || err == nil {
				t.Errorf("%s, TLS %t: %d envelopes, %v", name, secure, handled, err)
			}
		}
		for name, text := range rawanswer.Sound("", body) {
			if handled, err := post(text); handled != 1 || err != nil {
				t.Errorf("%s, TLS %t: %d envelopes, %v", name, secure, handled, err)
			}
		}
	}
}

// longBody is more than the socket buffers of a connection hold.
const longBody = 6 << 20

// engineCall returns a call to an engine with a body.
func engineCall(bodyBytes int) proto.Envelope {
	return proto.Envelope{From: proto.AgentAddr("e1"), To: proto.EngineAddr("e1"), Msg: proto.EngineCall{Attempt: "q#1", Body: make([]byte, bodyBytes)}}
}

// Guards against a message that counts as received, or an append as made, though the process
// has reset the connection while it was being written.
func TestAnswerResetDuringWriteIsLost(t *testing.T) {
	const repetitions = 8 // it is left to chance whether the read or the write receives the reset
	const head = "HTTP/1.1 200 OK\r\n\r\n"
	for _, secure := range []bool{false, true} {
		addr, config := answerServer(t, secure, func(c net.Conn, _ *http.Request) {
			rawanswer.Send(c, head)
			if above, ok := c.(*tls.Conn); ok {
				c = above.NetConn() // the end of TLS is not sent, as by a process that crashes
			}
			rawanswer.SendAndReset(c, "")
		})
		for range repetitions {
			err := NewClient(config).PostEnvelope(context.Background(), addr, engineCall(longBody), func(proto.Envelope) {})
			var lost *ConnectionError
			if !errors.As(err, &lost) || lost.Unsent {
				t.Errorf("TLS %t: %v", secure, err)
			}
		}
	}
}

// Guards against a caller of the form with agents who waits for an engine that has not taken
// the call: the agent's machine is told that the call may have run.
func TestEngineCallWithBrokenAnswerIsReported(t *testing.T) {
	const repetitions = 8 // it is left to chance whether the read or the write receives the reset
	expect := func(name string, answer rawanswer.Answer, call proto.Envelope, want string) {
		addr, _ := answerServer(t, false, answer)
		if got := callEngine(addr, call); got != want {
			t.Errorf("%s: the machine was told %s, want %s", name, got, want)
		}
	}
	for range repetitions {
		reset := func(c net.Conn, _ *http.Request) { rawanswer.SendAndReset(c, "HTTP/1.1 200 OK\r\n\r\n") }
		expect("reset", reset, engineCall(longBody), proto.MayHaveRun.String())
	}
	for name, text := range rawanswer.InvalidHeads("", "") {
		expect(name, rawanswer.Text(text), engineCall(0), proto.MayHaveRun.String())
	}
	for name, text := range rawanswer.Sound("", "") {
		expect(name, rawanswer.Text(text), engineCall(0), "nothing")
	}
}

// callEngine sends a call to an engine and returns the verdict that the machine is told.
func callEngine(addr string, call proto.Envelope) string {
	told := make(chan proto.Message, 1)
	e := NewEngineClient(NewClient(nil), addr, "e1", NewMetrics(metrics.NewSet()), func(env proto.Envelope) bool {
		told <- env.Msg
		return true
	})
	e.post(call)
	select {
	case m := <-told:
		failed, ok := m.(proto.EngineFailed)
		if !ok {
			return string(m.Kind())
		}
		return failed.Verdict.String()
	default:
		return "nothing"
	}
}

// Guards against an append to the log that counts as made by an answer that is not valid.
func TestLogCallWithInvalidAnswerFails(t *testing.T) {
	env := proto.Envelope{From: proto.RouterAddr("r1"), To: proto.Log, Msg: proto.LogAppend{Call: 7, Stream: "config", Records: []proto.Record{{ID: "a", Kind: "k"}}}}
	body := encodeLine(t, proto.Envelope{From: proto.Log, To: env.From, Msg: proto.LogAppended{Call: 7, Stream: "config"}})
	call := func(text string) proto.Message {
		addr, _ := answerServer(t, false, rawanswer.Text(text))
		l := NewLogClient(NewClient(nil), addr, NewMetrics(metrics.NewSet()), nil)
		defer func() {
			if err := l.Stop(); err != nil {
				t.Error(err)
			}
		}()
		return l.call(env)
	}
	for name, text := range rawanswer.InvalidHeads("", body) {
		if failed, ok := call(text).(proto.LogFailed); !ok || failed.Rejected {
			t.Errorf("%s: the append counts as made or as rejected", name)
		}
	}
	for name, text := range rawanswer.Sound("", body) {
		if _, ok := call(text).(proto.LogAppended); !ok {
			t.Errorf("%s: the append does not count as made", name)
		}
	}
}
