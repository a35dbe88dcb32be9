package place

import (
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// linkLagPlacer returns a placer that knows a lag of a store's link and the scorer's costs.
func linkLagPlacer() *Placer {
	return New(Config{Costs: DefaultCosts()})
}

// Guards against a store whose link is full being chosen again and again, because the delay
// of its transfers was charged to the endpoints that fetched from it.
func TestDelayOfTransferIsChargedToTheStore(t *testing.T) {
	p := linkLagPlacer()
	now := proto.Instant(time.Second)
	c := &Choice{Source: "store"}
	if left := p.observeTransferLag(now, c, 2*time.Second); left != minLinkLag {
		t.Errorf("the endpoint is charged %v", left)
	}
	if lag := p.storeLags["store"].current(now); lag < 500*time.Millisecond {
		t.Errorf("the store's link is charged %v", lag)
	}
}

// Guards against a store being avoided for ever after one slow transfer.
func TestLagOfStoreExpires(t *testing.T) {
	p := linkLagPlacer()
	now := proto.Instant(time.Second)
	p.observeTransferLag(now, &Choice{Source: "store"}, 2*time.Second)
	if lag := p.storeLags["store"].current(now.Add(maxLinkLagAge)); lag != 0 {
		t.Errorf("lag after its lifetime: %v", lag)
	}
}

// Guards against delays of endpoints, and of transfers between endpoints, being charged to a store.
func TestOtherDelaysStayWithTheEndpoint(t *testing.T) {
	p := linkLagPlacer()
	for _, c := range []*Choice{{}, {Source: "engine", SourceEngine: "e1"}} {
		if left := p.observeTransferLag(0, c, time.Second); left != time.Second {
			t.Errorf("%+v: the endpoint is charged %v", c, left)
		}
	}
}

// Guards against requests that queue for a full link although prefilling their parts is
// faster, and against recomputing parts when a short delay is cheaper.
func TestFetchFromLaggingStoreMustBeCheaperThanPrefill(t *testing.T) {
	s := &scorer{placer: linkLagPlacer()}
	c := &Choice{tokenTime: 33 * time.Microsecond}
	const tokens = 3000 // prefilled at 133 us each, with the cost of recomputing them
	if s.isWorthLag(c, &fetchPlan{wait: time.Second}, time.Second, tokens) {
		t.Error("fetched with a delay of 1 s instead of 0.4 s of prefill")
	}
	if !s.isWorthLag(c, &fetchPlan{wait: 200 * time.Millisecond}, 200*time.Millisecond, tokens) {
		t.Error("recomputed for a delay of 0.2 s")
	}
	if s.isWorthLag(c, &fetchPlan{wait: time.Second}, time.Second, 0) {
		t.Error("an unneeded source with a full link is named")
	}
}
