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

// sendEvery stands for a router that sends work at each interval from now on.
// It returns a function that tells the time of the last send.
func sendEvery(interval time.Duration, sends int) func() time.Time {
	start := time.Now()
	return func() time.Time {
		done := min(sends, int(time.Since(start)/interval))
		return start.Add(time.Duration(done) * interval)
	}
}

// Guards against an agent that stops listening a fixed time after its last
// work has ended: a router that has not learned of the drain, as on a busy
// machine, loses what it sends then.
func TestDrainWaitsForRoutersThatStillSend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		last := sendEvery(700*time.Millisecond, 5)
		if !waitQuiet(testGrace, testTimeout, last) {
			t.Error("gave up before the time limit")
		}
		if got, want := time.Since(start), 5*700*time.Millisecond+testGrace; got != want {
			t.Errorf("waited %v, want %v", got, want)
		}
	})
}

// Guards against a drain that waits longer than the grace when nobody sends.
func TestDrainWithoutSendersTakesTheGrace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		if !waitQuiet(testGrace, testTimeout, func() time.Time { return start.Add(-time.Hour) }) {
			t.Error("gave up")
		}
		if got := time.Since(start); got != testGrace {
			t.Errorf("waited %v, want %v", got, testGrace)
		}
	})
}

// Guards against a drain that never ends, as a router that does not learn of
// it sends on for ever.
func TestDrainEndsThoughRoutersSendOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		last := sendEvery(700*time.Millisecond, 20)
		if waitQuiet(testGrace, testTimeout, last) {
			t.Error("reported quiet while work arrived")
		}
		if got := time.Since(start); got > testTimeout {
			t.Errorf("waited %v, over the limit of %v", got, testTimeout)
		}
	})
}
