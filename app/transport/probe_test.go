package transport

import (
	"context"
	"errors"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/core/rollout"
)

// Guards against a probe that counts as a lost connection because the next one to the
// same agent was sent before a slow agent had replied.
func TestOverlappingProbesAreNoLostConnection(t *testing.T) {
	agent := proto.AgentAddr("e1")
	received := make(chan struct{}, 2)
	inbound := NewInbound(agent, NewMetrics(metrics.NewSet()), func(proto.Envelope) bool {
		received <- struct{}{}
		return true
	})
	server := httptest.NewServer(inbound)
	defer server.Close()
	r := &Router{self: proto.RouterAddr("r1"), client: NewClient(nil), metrics: NewMetrics(metrics.NewSet())}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	probe := func() chan error {
		result := make(chan error, 1)
		go func() {
			env := proto.Envelope{From: r.self, To: agent, Msg: proto.Probe{Request: rollout.ProbeRequest}}
			result <- r.post(ctx, strings.TrimPrefix(server.URL, "http://"), env)
		}()
		<-received
		return result
	}
	first := probe()
	probe()
	select {
	case err := <-first:
		var lost *ConnectionError
		if errors.As(err, &lost) {
			t.Errorf("the first probe: %v", err)
		}
	case <-time.After(500 * time.Millisecond):
	}
}
