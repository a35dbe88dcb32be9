package exchange_test

import (
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/core/route"
)

// probingPlacer asks for probes of all its endpoints.
type probingPlacer struct{ *placer }

func (p probingPlacer) Choose(now proto.Instant, q route.Query) (route.Choice, proto.Cause) {
	choice, cause := p.placer.Choose(now, q)
	choice.Probe = p.endpoints
	return choice, cause
}

func probeReply(endpoint proto.EndpointID) proto.ProbeReply {
	return proto.ProbeReply{Request: "q", Report: proto.Report{Endpoint: endpoint}}
}

// Guards against a placement on the first of several probe replies, which is
// that of the nearest agent and not of the one that holds the prefix.
func TestProbesWaitForAllReplies(t *testing.T) {
	b := newBench(t)
	b.startWith(generate, probingPlacer{&b.places})
	for _, id := range []proto.EndpointID{"e1", "e1", "e2"} {
		b.step(proto.AgentAddr(id), probeReply(id))
		if b.dispatch.Attempt != "" {
			t.Fatalf("dispatched after the reply of %s, e3 has not replied", id)
		}
	}
	b.step(proto.AgentAddr("e3"), probeReply("e3"))
	if b.dispatch.Attempt == "" {
		t.Error("not dispatched after all replies")
	}
}

// Guards against a request that waits for an agent that does not reply.
func TestProbesEnd(t *testing.T) {
	b := newBench(t)
	b.startWith(generate, probingPlacer{&b.places})
	b.step(proto.AgentAddr("e1"), probeReply("e1"))
	const longest = 15 * time.Millisecond
	if wake := b.x.Wake(); wake > b.now.Add(longest) {
		t.Errorf("the probes end after %v, want at most %v", wake.Sub(b.now), longest)
	}
	b.now = b.x.Wake()
	b.x.Tick(b.now)
	b.collect()
	if b.dispatch.Attempt == "" {
		t.Error("not dispatched after the wait for probes")
	}
}
