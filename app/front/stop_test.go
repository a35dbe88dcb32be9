package front_test

import (
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/standin/hosting"
)

// Guards against closing the connection of a request without any answer when a router
// stops while it awaits a silent endpoint: no part of an answer was sent, so that it can
// say that the request failed.
func TestStoppingRouterAnswersRequestsThatItGivesUp(t *testing.T) {
	b := silentTestbed(t)
	for _, e := range b.engines[2:] {
		e.SetFailure(func(int) hosting.Failure { return hosting.Hang })
	}
	r := b.awaitEndpoints(b.start("r1"))
	time.AfterFunc(100*time.Millisecond, func() { _ = r.Drain() })
	if status, _ := r.callPatiently("/look/1"); status == 0 {
		t.Error("no answer")
	}
}
