package node

import (
	"testing"
	"testing/synctest"
	"time"
)

const (
	testGrace   = time.Second
	testTimeout = 10 * time.Second
)

// sendEvery simulates a router that sends work once per interval, sends times, from
// now on. It returns a function that returns the time of the last send.
func sendEvery(interval time.Duration, sends int) func() time.Time {
	start := time.Now()
	return func() time.Time {
		done := min(sends, int(time.Since(start)/interval))
		return start.Add(time.Duration(done) * interval)
	}
}

// Guards against an agent that stops listening a fixed time after its last work
// ended. A router that does not know of the drain by then, such as one on a busy
// machine, would lose the work that it sends.
func TestDrainWaitsForRoutersThatStillSend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		last := sendEvery(700*time.Millisecond, 5)
		if !waitIdle(testGrace, testTimeout, last) {
			t.Error("waitIdle reported a timeout before the time limit")
		}
		if got, want := time.Since(start), 5*700*time.Millisecond+testGrace; got != want {
			t.Errorf("waited %v, want %v", got, want)
		}
	})
}

// Guards against a drain that waits longer than the grace period although no work
// arrives.
func TestDrainWithoutSendersTakesTheGrace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		if !waitIdle(testGrace, testTimeout, func() time.Time { return start.Add(-time.Hour) }) {
			t.Error("waitIdle reported a timeout")
		}
		if got := time.Since(start); got != testGrace {
			t.Errorf("waited %v, want %v", got, testGrace)
		}
	})
}

// Guards against a drain that never ends because a router that does not learn of it
// keeps sending work.
func TestDrainEndsThoughRoutersSendOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		last := sendEvery(700*time.Millisecond, 20)
		if waitIdle(testGrace, testTimeout, last) {
			t.Error("waitIdle reported an idle agent while work arrived")
		}
		if got := time.Since(start); got > testTimeout {
			t.Errorf("waited %v, over the limit of %v", got, testTimeout)
		}
	})
}
