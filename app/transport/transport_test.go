package transport

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/standin/faultqueue"
	"github.com/kumquatsill/kumquatsill/standin/logsvc"
	"github.com/kumquatsill/kumquatsill/standin/serve"
)

var cancelMessage = proto.Envelope{From: proto.RouterAddr("r1"), To: proto.AgentAddr("e1"), Msg: proto.Cancel{Attempt: "q#1"}}

// Guards against sending a message over a pooled connection after another
// connection to the same address went silent.
func TestSilentConnectionRetiresThePool(t *testing.T) {
	var mu sync.Mutex
	silent := true
	conns := map[string]bool{}
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		mu.Lock()
		hold := silent && len(conns) > 0
		conns[r.RemoteAddr] = true
		mu.Unlock()
		if hold {
			<-release
		}
	}))
	defer server.Close()
	defer close(release)
	addr := strings.TrimPrefix(server.URL, "http://")
	c := NewClient(nil)
	c.silence = 100 * time.Millisecond
	post := func() error {
		return c.PostEnvelope(context.Background(), addr, cancelMessage, func(proto.Envelope) {})
	}
	if err := post(); err != nil {
		t.Fatal(err)
	}
	var connErr *ConnectionError
	if err := post(); !errors.As(err, &connErr) || !connErr.Silent || connErr.Unsent {
		t.Fatalf("got %v", err)
	}
	mu.Lock()
	silent = false
	before := len(conns)
	mu.Unlock()
	if err := post(); err != nil {
		t.Fatal(err)
	}
	mu.Lock()
	defer mu.Unlock()
	if len(conns) != before+1 {
		t.Errorf("%d connections before the silence, %d after; want a new one", before, len(conns))
	}
}

// Guards against treating a refused connection as a message that may have had an
// effect.
func TestRefusedConnectionIsUnsent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := listener.Addr().String()
	_ = listener.Close()
	var connErr *ConnectionError
	err = NewClient(nil).PostEnvelope(context.Background(), addr, cancelMessage, func(proto.Envelope) {})
	if !errors.As(err, &connErr) || !connErr.Unsent {
		t.Errorf("got %v", err)
	}
}

// Guards against reporting an append as rejected when only its response was lost.
func TestLogCallOutcomes(t *testing.T) {
	for name, tc := range map[string]struct {
		faults   faultqueue.Faults
		rejected bool
		want     proto.Kind
	}{
		"answered":   {faultqueue.Faults{}, false, proto.LogAppended{}.Kind()},
		"unanswered": {faultqueue.Faults{NoResponse: 1}, false, proto.LogFailed{}.Kind()},
		"refused":    {faultqueue.Faults{Refused: 1}, true, proto.LogFailed{}.Kind()},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			host := serve.New(logsvc.New(logsvc.Config{Faults: tc.faults}))
			defer host.Close()
			server := httptest.NewServer(host)
			defer server.Close()
			responses := make(chan proto.Envelope, 1)
			l := NewLogClient(NewClient(nil), strings.TrimPrefix(server.URL, "http://"), NewMetrics(metrics.NewSet()), func(env proto.Envelope) bool {
				responses <- env
				return true
			})
			l.Send(proto.Envelope{From: proto.RouterAddr("r1"), To: proto.Log, Msg: proto.LogAppend{Call: 7, Stream: "config", Records: []proto.Record{{ID: "a", Kind: "k"}}}})
			got := (<-responses).Msg
			failed, _ := got.(proto.LogFailed)
			if got.Kind() != tc.want || failed.Rejected != tc.rejected || got.Kind() == failed.Kind() && failed.Call != 7 {
				t.Errorf("got %+v", got)
			}
			if err := l.Stop(); err != nil {
				t.Error(err)
			}
		})
	}
}

// Guards against passing messages to a machine that are for another process, come
// from a sender that may not send them, or are of a kind that is never sent over
// the network.
func TestInboundRefusesForeignMessages(t *testing.T) {
	self := proto.AgentAddr("e1")
	router := proto.RouterAddr("r1")
	var stepped []proto.Envelope
	h := NewInbound(self, NewMetrics(metrics.NewSet()), func(env proto.Envelope) bool {
		stepped = append(stepped, env)
		return true
	})
	for name, tc := range map[string]struct {
		env    proto.Envelope
		status int
	}{
		"other agent":    {proto.Envelope{From: router, To: proto.AgentAddr("e2"), Msg: proto.Cancel{}}, http.StatusMisdirectedRequest},
		"from a caller":  {proto.Envelope{From: proto.CallerAddr("c"), To: self, Msg: proto.Dispatch{}}, http.StatusForbidden},
		"engine message": {proto.Envelope{From: router, To: self, Msg: proto.EngineDown{}}, http.StatusForbidden},
		"internal kind":  {proto.Envelope{From: router, To: self, Msg: proto.ConnLost{}}, http.StatusForbidden},
	} {
		data, err := proto.Encode(tc.env)
		if err != nil {
			t.Fatal(err)
		}
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, EnvelopePath, strings.NewReader(string(data))))
		if w.Code != tc.status || len(stepped) != 0 {
			t.Errorf("%s: status %d, stepped %v", name, w.Code, stepped)
		}
	}
}
