package transport

import (
	"context"
	"crypto/tls"
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

// engineCall returns a call to an engine.
func engineCall() proto.Envelope {
	return proto.Envelope{From: proto.AgentAddr("e1"), To: proto.EngineAddr("e1"), Msg: proto.EngineCall{Attempt: "q#1"}}
}

// Guards against a caller of the form with agents who waits for an engine that has not taken
// the call: the agent's machine is told that the call may have run.
func TestEngineCallWithBrokenAnswerIsReported(t *testing.T) {
	expect := func(name string, answer rawanswer.Answer, call proto.Envelope, want string) {
		addr, _ := answerServer(t, false, answer)
		if got := callEngine(addr, call); got != want {
			t.Errorf("%s: the machine was told %s, want %s", name, got, want)
		}
	}
	for name, text := range rawanswer.InvalidHeads("", "") {
		expect(name, rawanswer.Text(text), engineCall(), proto.MayHaveRun.String())
	}
	for name, text := range rawanswer.Sound("", "") {
		expect(name, rawanswer.Text(text), engineCall(), "nothing")
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
