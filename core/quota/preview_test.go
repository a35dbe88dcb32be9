package quota_test

import (
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/core/quota"
)

// Guards against a preview that differs from the admission that follows, or that charges,
// promises, redeems or counts anything: an account beyond its limit is played at two trackers,
// of which one is asked for previews.
func TestPreviewChangesNothing(t *testing.T) {
	limit := quota.Limit{Rate: 1000, Burst: 1000}
	asked, plain := newFleet(1, limit), newFleet(1, limit)
	refused, promised, returned := 0, 0, 0
	for i := range 3000 {
		r := quota.Request{Units: 50, Key: uint64(i%400 + 1), Remaining: 6 * time.Second, Returning: i%7 == 0}
		var preview quota.Decision
		for range 3 {
			preview = asked.trackers[0].Preview(asked.now, account, r)
		}
		d, expected := asked.trackers[0].Admit(asked.now, account, r), plain.trackers[0].Admit(plain.now, account, r)
		if preview != d || d != expected {
			t.Fatalf("request %d: preview %+v, admission %+v, without previews %+v", i, preview, d, expected)
		}
		if !d.OK {
			refused++
		}
		if d.Promised {
			promised++
		}
		if d.Returning && d.OK {
			returned++
		}
		asked.now, plain.now = asked.now.Add(20*time.Millisecond), plain.now.Add(20*time.Millisecond)
	}
	if refused == 0 || promised == 0 || returned == 0 {
		t.Errorf("%d refused, %d promised, %d returned", refused, promised, returned)
	}
}
