package canary_test

import (
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/core/canary"
)

// failing returns a response that fails early.
func failing(r simRequest) response { return response{canary.Failure, r.usual / 4} }

// Guards against a bad release that is not rolled back, or exceeds its bounds on the way, for
// each kind of fault.
func TestBadReleaseIsRolledBack(t *testing.T) {
	for name, bad := range map[string]func(simRequest) (response, bool){
		"fails":      func(r simRequest) (response, bool) { return failing(r), r.random < 0.3 },
		"slow":       func(r simRequest) (response, bool) { return response{canary.Answered, 4 * r.usual}, r.random < 0.5 },
		"later":      func(r simRequest) (response, bool) { return failing(r), r.at > 5*time.Second && r.random < 0.3 },
		"under load": func(r simRequest) (response, bool) { return failing(r), r.running >= 3 },
		"one route":  func(r simRequest) (response, bool) { return failing(r), r.route == "rare" && r.random < 0.5 },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSim(t, 27, 1)
			s.behave = func(r simRequest) response {
				if resp, isBad := bad(r); r.release == "v2" && isBad {
					return resp
				}
				return response{canary.Answered, r.usual}
			}
			s.warmUp(10 * time.Second)
			s.run(simDuration + 3*time.Second)
			if s.stored.State != canary.RolledBack || s.storeAt > simDuration {
				t.Errorf("%+v after %v", s.stored, s.storeAt)
			}
			s.checkBounds()
			t.Logf("exposed %d of %d, bad %d, final after %v", s.exposed, s.requests, s.bad, s.storeAt)
		})
	}
}

// Guards against a good release that is not completed in time.
func TestGoodReleaseIsCompleted(t *testing.T) {
	t.Parallel()
	s := newSim(t, 27, 1)
	s.warmUp(10 * time.Second)
	s.run(simDuration + time.Second)
	if s.stored.State != canary.Completed || s.storeAt > simDuration {
		t.Errorf("%+v after %v", s.stored, s.storeAt)
	}
	t.Logf("final after %v", s.storeAt)
}
