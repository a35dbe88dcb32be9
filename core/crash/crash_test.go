package crash_test

import (
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/core/crash"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

const now = proto.Instant(time.Hour)

// Guards against a request that crashes endpoints through several routers: the
// counts of all of them add up.
func TestCountsOfAllRoutersAddUp(t *testing.T) {
	r := crash.NewRegister()
	r.ConnectionLost(now, "f")
	r.Merge(now, "r2", []crash.Count{{Fingerprint: "f", ConnectionsLost: 1}})
	if r.ShouldRefuse(now, "f") {
		t.Fatal("refused after two broken connections, which other crashes may explain")
	}
	r.Merge(now, "r2", []crash.Count{{Fingerprint: "f", ConnectionsLost: 1}})
	if r.ShouldRefuse(now, "f") {
		t.Fatal("a repeated message was counted twice")
	}
	r.Merge(now, "r3", []crash.Count{{Fingerprint: "f", ConnectionsLost: 1}})
	if !r.ShouldRefuse(now, "f") {
		t.Fatal("not refused after three broken connections")
	}
}

// Guards against refusing a request for good that only met other crashes.
func TestAnswerClears(t *testing.T) {
	r := crash.NewRegister()
	for range 3 {
		r.ConnectionLost(now, "f")
	}
	r.Answered("f")
	if r.ShouldRefuse(now, "f") {
		t.Fatal("refused although an endpoint has answered it")
	}
}

// Guards against memory that grows with each broken connection, and against
// refusing for longer than a minute.
func TestEntriesExpire(t *testing.T) {
	r := crash.NewRegister()
	for range 3 {
		r.ConnectionLost(now, "f")
	}
	later := now.Add(61 * time.Second)
	if r.ShouldRefuse(later, "f") || len(r.LocalCounts(later)) != 0 {
		t.Fatal("an old entry still counts")
	}
}

// Guards against routers that keep each other's counts alive: the messages that
// repeat them made a request be refused for good (soak seed 300).
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
		t.Fatal("refused a minute after the last broken connection")
	}
}
