package peer_test

import (
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/core/peer"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// Guards against a router that dates what its peers tell by when it reads it, seconds late
// after a suspension, and against a clock that is followed no more once it has drifted.
func TestClockIgnoresDelays(t *testing.T) {
	const ahead, delay = 17 * time.Hour, 2 * time.Millisecond
	var c peer.Clock
	start := proto.Instant(time.Hour)
	converted := func(sent, readLate time.Duration) time.Duration {
		return c.Convert(start.Add(sent+delay+readLate), start.Add(sent+ahead)).Sub(start.Add(sent))
	}
	for sent := time.Duration(0); sent < time.Second; sent += 200 * time.Millisecond {
		if off := converted(sent, 0); off != delay {
			t.Fatalf("a message that is read at once is dated %v late", off)
		}
	}
	for sent := time.Second; sent < 5*time.Second; sent += 200 * time.Millisecond {
		if off := converted(sent, 5*time.Second-sent); off != delay {
			t.Fatalf("a message that is read by a router which wakes is dated %v late", off)
		}
	}
	const drift = time.Second
	for sent := 5 * time.Second; sent < 2*time.Minute; sent += 200 * time.Millisecond {
		converted(sent, drift)
	}
	if off := converted(2*time.Minute, drift); off != delay+drift {
		t.Errorf("after a drift of %v, a message is dated %v late", drift, off)
	}
	if at := c.Convert(start, 0); at != start {
		t.Errorf("a message without a time is dated %v late", at.Sub(start))
	}
}
