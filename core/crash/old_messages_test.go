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
	connectionLost(observer, start, "e1", traits)
	var messages [][]crash.Evidence
	const interval, pause = 200 * time.Millisecond, 1400 * time.Millisecond
	for sent := time.Duration(0); sent <= pause; sent += interval {
		messages = append(messages, told(observer, start.Add(sent)))
	}
	for _, m := range messages {
		merge(suspended, start.Add(pause), m)
	}
	if n := suspended.Rounds(traits[0]); n != 1 {
		t.Errorf("%d rounds of crashes, want 1", n)
	}
}

// Guards against crashes of several moments that count as one for good, because the first
// message about them was read late.
func TestEarliestDateOfACrashCounts(t *testing.T) {
	wakes := proto.Instant(time.Hour)
	traits := []crash.Trait{crash.ContentTrait("c")}
	var late, atOnce []crash.Evidence
	for i, id := range []crash.EventID{"e1", "e2", "e3"} {
		late = append(late, crash.Evidence{Trait: traits[0], Crashes: []crash.Event{{ID: id}}})
		atOnce = append(atOnce, crash.Evidence{Trait: traits[0], Crashes: []crash.Event{{ID: id, AgeMillis: int64(400 * i)}}})
	}
	for _, messages := range [][][]crash.Evidence{{late, atOnce}, {atOnce, late}} {
		r := crash.NewRegister()
		for _, m := range messages {
			merge(r, wakes, m)
		}
		if n := r.Rounds(traits[0]); n != 3 {
			t.Errorf("%d rounds of crashes, want 3", n)
		}
	}
}
