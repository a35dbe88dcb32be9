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
	r.Broke(now, "f")
	r.Heard(now, "r2", []crash.Count{{Fingerprint: "f", Breaks: 1}})
	if r.Refused(now, "f") {
		t.Fatal("refused after two broken connections, which other crashes may explain")
	}
	r.Heard(now, "r2", []crash.Count{{Fingerprint: "f", Breaks: 1}})
	if r.Refused(now, "f") {
		t.Fatal("a repeated message was counted twice")
	}
	r.Heard(now, "r3", []crash.Count{{Fingerprint: "f", Breaks: 1}})
	if !r.Refused(now, "f") {
		t.Fatal("not refused after three broken connections")
	}
}

// Guards against refusing a request for good that only met other crashes.
func TestAnswerClears(t *testing.T) {
	r := crash.NewRegister()
	for range 3 {
		r.Broke(now, "f")
	}
	r.Answered("f")
	if r.Refused(now, "f") {
		t.Fatal("refused although an endpoint has answered it")
	}
}

// Guards against memory that grows with each broken connection, and against
// refusing for longer than a minute.
func TestEntriesExpire(t *testing.T) {
	r := crash.NewRegister()
	for range 3 {
		r.Broke(now, "f")
	}
	later := now.Add(61 * time.Second)
	if r.Refused(later, "f") || len(r.Own(later)) != 0 {
		t.Fatal("an old entry still counts")
	}
}

// Guards against routers that keep each other's counts alive: the messages that
// repeat them made a request be refused for good (soak seed 300).
func TestPeersDoNotKeepCountsAlive(t *testing.T) {
	a, b := crash.NewRegister(), crash.NewRegister()
	for range 3 {
		a.Broke(now, "f")
		b.Broke(now, "f")
	}
	end := now.Add(61 * time.Second)
	for at := now; at < end; at = at.Add(time.Second) {
		a.Heard(at, "b", b.Own(at))
		b.Heard(at, "a", a.Own(at))
	}
	if a.Refused(end, "f") || b.Refused(end, "f") {
		t.Fatal("refused a minute after the last broken connection")
	}
}
