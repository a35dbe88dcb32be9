package member

import (
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

const second = proto.Instant(time.Second)

// Guards against one broken connection, or the host list alone, taking an endpoint
// out of service, against failures that never expire, and against a delayed message
// that ends a drain.
func TestUnhealthyNeedsTwoPaths(t *testing.T) {
	var e Evidence
	want := func(now proto.Instant, s Health) {
		t.Helper()
		if got := e.Health(now); got != s {
			t.Errorf("at %d: health %d, want %d", now, got, s)
		}
	}
	want(0, Healthy)
	e.ObserveFailure(1*second, PathTraffic)
	e.ObserveFailure(2*second, PathTraffic)
	want(2*second, Doubtful)
	e.ObserveFailure(3*second, PathNewConnection)
	want(3*second, Unhealthy)
	want(14*second, Healthy)
	e.ObserveHostList(20*second, false)
	want(20*second, Doubtful)
	e.ObserveFailure(21*second, PathTraffic)
	want(21*second, Unhealthy)
	e.ObserveContact(22*second, "b", false)
	want(22*second, Doubtful)
	e.ObserveContact(23*second, "b", true)
	want(23*second, Leaving)
	e.ObserveContact(24*second, "b", false)
	want(24*second, Leaving)
	e.ObserveContact(30*second, "b", false)
	want(30*second, Healthy)
}

// Guards against a delayed message of an earlier incarnation clearing the failures of
// the current one, and against a message without an incarnation being taken for a new
// incarnation.
func TestLateIncarnation(t *testing.T) {
	var e Evidence
	e.ObserveContact(1, "a", false)
	e.ObserveContact(2, "b", false)
	e.ObserveFailure(3, PathTraffic)
	if e.ObserveContact(4, "a", false) || e.Incarnation() != "b" || e.Health(4) != Doubtful {
		t.Errorf("a delayed message of the previous incarnation counted")
	}
	if !e.ObserveContact(5, "", false) || !e.ObserveContact(6, "b", false) || e.Incarnation() != "b" {
		t.Errorf("incarnation %q after a message without one", e.Incarnation())
	}
}

// Guards against an endpoint that left and came back but is never used again, because
// a router gets no reports from an endpoint to which it gives no work.
func TestLeavingMemberIsTriedAgain(t *testing.T) {
	var e Evidence
	e.ObserveContact(0, "i1", true)
	if got := e.Health(9 * second); got != Leaving {
		t.Errorf("after 9 s: health %d, want leaving", got)
	}
	if got := e.Health(10 * second); got != Doubtful {
		t.Errorf("after 10 s: health %d, want doubtful", got)
	}
	e.ObserveContact(11*second, "i1", true)
	if got := e.Health(12 * second); got != Leaving {
		t.Errorf("after another report: health %d, want leaving", got)
	}
}
