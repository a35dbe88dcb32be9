package crash_test

import (
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/core/crash"
)

// Guards against a preview that differs from the admission that follows, or that begins a
// trial or delays one.
func TestPreview(t *testing.T) {
	r, traits := crash.NewRegister(), []crash.Trait{bad}
	at := lose(r, 3, traits...)
	r.Admit(at, traits) // decides on the blame
	refused, trials := 0, 0
	for range 3600 {
		at = at.Add(time.Second)
		for range 3 {
			r.Preview(at, traits)
		}
		preview := r.Preview(at, traits)
		if got := r.Admit(at, traits); got != preview {
			t.Fatalf("admission %+v, preview %+v", got, preview)
		} else if got.Trial {
			trials++
		} else if !got.Allowed {
			refused++
		}
	}
	if refused == 0 || trials == 0 {
		t.Fatalf("%d refused, %d trials", refused, trials)
	}
}
