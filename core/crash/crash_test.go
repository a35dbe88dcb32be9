package crash_test

import (
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/core/crash"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

const now = proto.Instant(time.Hour)

// Guards against missing a request that crashes endpoints through several
// routers: the counts of all routers must be summed.
func TestCountsOfAllRoutersAddUp(t *testing.T) {
	r := crash.NewRegister()
	r.ConnectionLost(now, "f")
	r.Merge(now, "r2", []crash.Count{{Fingerprint: "f", ConnectionsLost: 1}})
	if r.ShouldRefuse(now, "f") {
		t.Fatal("refused after two lost connections, which other crashes may explain")
	}
	r.Merge(now, "r2", []crash.Count{{Fingerprint: "f", ConnectionsLost: 1}})
	if r.ShouldRefuse(now, "f") {
		t.Fatal("a repeated message was counted twice")
	}
	r.Merge(now, "r3", []crash.Count{{Fingerprint: "f", ConnectionsLost: 1}})
	if !r.ShouldRefuse(now, "f") {
		t.Fatal("not refused after three lost connections")
	}
}

// Guards against permanently refusing a request that was only running at an
// endpoint while another request crashed it.
func TestResponseClears(t *testing.T) {
	r := crash.NewRegister()
	for range 3 {
		r.ConnectionLost(now, "f")
	}
	r.Completed("f")
	if r.ShouldRefuse(now, "f") {
		t.Fatal("refused although an endpoint has responded to it")
	}
}

// Guards against entries that are never removed, and against refusing a request
// for longer than a minute.
func TestEntriesExpire(t *testing.T) {
	r := crash.NewRegister()
	for range 3 {
		r.ConnectionLost(now, "f")
	}
	later := now.Add(61 * time.Second)
	if r.ShouldRefuse(later, "f") || len(r.LocalCounts(later)) != 0 {
		t.Fatal("an expired entry still counts")
	}
}

// Guards against routers that extend each other's counts: the messages that
// repeat the counts refreshed them, so that a request was refused forever (soak
// seed 300).
func TestPeersDoNotKeepCountsAlive(t *testing.T) {
	a, b := crash.NewRegister(), crash.NewRegister()
	for range 3 {
		a.ConnectionLost(now, "f")
		b.ConnectionLost(now, "f")
	}
	end := now.Add(61 * time.Second)
	for at := now; at < end; at = at.Add(time.Second) {
		a.Merge(at, "b", b.LocalCounts(at))
		b.Merge(at, "a", a.LocalCounts(at))
	}
	if a.ShouldRefuse(end, "f") || b.ShouldRefuse(end, "f") {
		t.Fatal("refused a minute after the last lost connection")
	}
}
