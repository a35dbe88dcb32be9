package place_test

import (
	"fmt"
	"hash/fnv"
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/core/place"
)

// digestBefore is the digest of choicesDigest with the code before pacing and the memory
// ledger were added.
const digestBefore = "6688c5f68acdffe2"

// choicesDigest makes some hundred choices for engines that report no slowdown, with
// changing load, failures and peers' attempts, and returns a digest of the endpoints
// chosen. set changes each query.
func choicesDigest(t *testing.T, set func(*place.Query)) string {
	r := newFixture(t, 12)
	digest := fnv.New64a()
	var running []*place.Attempt
	for n := range 1500 {
		q := r.query(fmt.Sprint("own", n))
		q.Parts[1].ID = fmt.Sprint("thing", n%5)
		set(q)
		c := r.choose(q)
		_, _ = fmt.Fprintln(digest, c.Endpoint.ID) // writes to a hash never fail
		a := r.placer.StartAttempt(r.now, q, c)
		running = append(running, a)
		r.now = r.now.Add(time.Duration(7+n%11) * time.Millisecond)
		r.placer.ObserveLoad(r.now, a, place.EndpointLoad{Running: n % 9, Waiting: n % 2, Slots: 8})
		if n%4 > 0 {
			r.placer.RecordFirstByte(r.now, a)
		}
		if n%13 == 0 {
			r.placer.HandleAttemptNotice(r.now, place.AttemptNotice{Endpoint: engineID(n % 12), Started: 1, ReadyInMillis: 50, PrefillTokens: 3000})
		}
		if len(running) > 10 {
			r.placer.EndAttempt(r.now, running[0], n%50 > 0)
			running = running[1:]
		}
	}
	return fmt.Sprintf("%x", digest.Sum64())
}

// Guards against other choices for a deployment whose engines report no slowdown, whether
// or not its routes limit gaps and its requests state sizes that fit the memory.
func TestWithoutSlowdownChoicesAreAsBefore(t *testing.T) {
	for name, set := range map[string]func(*place.Query){
		"without bounds": func(*place.Query) {},
		"with bounds":    func(q *place.Query) { q.TargetGap, q.TargetLatency = testGap, testLatency },
		"with sizes": func(q *place.Query) {
			q.Size = place.Size{PromptTokens: 6800, MaxOutput: 200, LengthHint: 60}
		},
	} {
		if got := choicesDigest(t, set); got != digestBefore {
			t.Errorf("%s: %s, before %s", name, got, digestBefore)
		}
	}
}
