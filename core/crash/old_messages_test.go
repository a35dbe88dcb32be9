package crash_test

import (
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/core/crash"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// Guards against a router that was suspended counting one crash several times, once for
// each message about it that it reads when it wakes.
func TestOldMessagesTellOfOneCrash(t *testing.T) {
	start := proto.Instant(time.Hour)
	traits := []crash.Trait{crash.ContentTrait("c")}
	observer, suspended := crash.NewRegister(), crash.NewRegister()
	observer.ConnectionLost(start, "e1", traits)
	var messages [][]crash.Evidence
	const interval, pause = 200 * time.Millisecond, 1400 * time.Millisecond
	for sent := time.Duration(0); sent <= pause; sent += interval {
		messages = append(messages, observer.Observations(start.Add(sent)))
	}
	for _, m := range messages {
		suspended.Merge(start.Add(pause), m)
	}
	if n := suspended.Rounds(traits[0]); n != 1 {
		t.Errorf("%d rounds of crashes, want 1", n)
	}
}
