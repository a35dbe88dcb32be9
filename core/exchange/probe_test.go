package exchange_test

import (
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/core/route"
)

// probingPlacer requests probes of all its endpoints.
type probingPlacer struct{ *placer }

func (p probingPlacer) Choose(now proto.Instant, q route.Query) (route.Choice, proto.Cause) {
	choice, cause := p.placer.Choose(now, q)
	choice.ProbeEndpoints = p.endpoints
	return choice, cause
}

func probeReply(endpoint proto.EndpointID) proto.ProbeReply {
	return proto.ProbeReply{Request: "q", Report: proto.Report{Endpoint: endpoint}}
}

// Guards against placing the request after the first of several probe replies. That
// reply comes from the nearest agent, not from the one that has the prefix cached.
func TestProbesWaitForAllReplies(t *testing.T) {
	h := newHarness(t)
	h.startWith(generate, probingPlacer{&h.placement})
	for _, id := range []proto.EndpointID{"e1", "e1", "e2"} {
		h.step(proto.AgentAddr(id), probeReply(id))
		if h.dispatch.Attempt != "" {
			t.Fatalf("dispatched after the reply of %s, before e3 replied", id)
		}
	}
	h.step(proto.AgentAddr("e3"), probeReply("e3"))
	if h.dispatch.Attempt == "" {
		t.Error("not dispatched after all replies")
	}
}

// Guards against a request that waits indefinitely for an agent that does not reply.
func TestProbesEnd(t *testing.T) {
	h := newHarness(t)
	h.startWith(generate, probingPlacer{&h.placement})
	h.step(proto.AgentAddr("e1"), probeReply("e1"))
	const longest = 15 * time.Millisecond
	if wake := h.x.Wake(); wake > h.now.Add(longest) {
		t.Errorf("the wait for probes ends after %v, want at most %v", wake.Sub(h.now), longest)
	}
	h.now = h.x.Wake()
	h.x.Tick(h.now)
	h.collect()
	if h.dispatch.Attempt == "" {
		t.Error("not dispatched after the probe timeout")
	}
}
