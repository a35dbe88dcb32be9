package crash_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/core/crash"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

const now = proto.Instant(time.Hour)

var (
	bad   = crash.PartTrait("m", "bad")
	first = crash.PartTrait("m", "first")
)

// lose records n crashes of different endpoints, one second apart, and returns the
// time of the last one.
func lose(r *crash.Register, n int, traits ...crash.Trait) proto.Instant {
	at := now
	for i := range n {
		at = now.Add(time.Duration(i) * time.Second)
		connectionLost(r, at, proto.EndpointID(fmt.Sprint("e", i)), traits)
	}
	return at
}

// connectionLost records the crash of an endpoint that has no other incarnation.
func connectionLost(r *crash.Register, at proto.Instant, endpoint proto.EndpointID, traits []crash.Trait) {
	r.ConnectionLost(at, at, crash.Incarnation{Endpoint: endpoint}, traits)
}

// merge merges evidence that is read at once.
func merge(r *crash.Register, at proto.Instant, evidence []crash.Evidence) {
	r.Merge(at, at, "peer", evidence)
}

// pages returns all that a router tells one that knows nothing.
func pages(r *crash.Register, at proto.Instant) []crash.Page {
	var all []crash.Page
	for from := r.First(); from < r.End(); {
		p := r.Page(at, from)
		all = append(all, p)
		from = p.To
	}
	return all
}

// told returns the evidence in all that a router tells one that knows nothing.
func told(r *crash.Register, at proto.Instant) []crash.Evidence {
	var evidence []crash.Evidence
	for _, p := range pages(r, at) {
		evidence = append(evidence, p.Evidence()...)
	}
	return evidence
}

// allows reports whether a request with the traits may be sent, other than as a trial.
func allows(r *crash.Register, at proto.Instant, traits ...crash.Trait) bool {
	a := r.Admit(at, traits)
	return a.Allowed && !a.Trial
}

// Guards against missing what crashes endpoints through several routers: the crashes
// that all routers have observed must add up, and repeated messages must not.
func TestCrashesOfAllRoutersAddUp(t *testing.T) {
	r1, r2, r3 := crash.NewRegister(), crash.NewRegister(), crash.NewRegister()
	traits := []crash.Trait{bad}
	connectionLost(r1, now, "e1", traits)
	connectionLost(r2, now.Add(time.Second), "e2", traits)
	at := now.Add(2 * time.Second)
	for range 3 {
		merge(r1, at, told(r2, at))
	}
	if !allows(r1, at, bad) {
		t.Fatal("blocked after two crashes, which other requests may explain")
	}
	connectionLost(r3, at, "e3", traits)
	merge(r1, at, told(r3, at))
	if a := r1.Admit(at, traits); a.Allowed || a.Rounds != 3 || a.RetryAfter <= 0 {
		t.Fatalf("after three crashes: %+v", a)
	}
}

// Guards against counting the crash of one endpoint once for each request that was
// running there.
func TestOneCrashCountsOnce(t *testing.T) {
	r := crash.NewRegister()
	for i := range 10 {
		connectionLost(r, now.Add(time.Duration(i)*time.Millisecond), "e1", []crash.Trait{bad})
	}
	if n := r.Rounds(bad); n != 1 {
		t.Fatalf("%d rounds", n)
	}
}

// Guards against blaming requests for endpoints that crash together, as with the loss
// of a failure domain.
func TestCrashesAtTheSameMomentAreOneRound(t *testing.T) {
	r := crash.NewRegister()
	for i := range 10 {
		connectionLost(r, now.Add(time.Duration(i)*time.Millisecond), proto.EndpointID(fmt.Sprint("e", i)), []crash.Trait{first})
	}
	if !allows(r, now, first) {
		t.Fatal("blocked after one moment")
	}
}

// Guards against permanently refusing requests that were only running at endpoints
// while others crashed them.
func TestAnswerReleases(t *testing.T) {
	r := crash.NewRegister()
	last := lose(r, 3, bad, first)
	r.Survived(last.Add(time.Second), last.Add(time.Millisecond), []crash.Trait{first})
	if !allows(r, last, first) {
		t.Error("refused although an answer has begun since")
	}
	if allows(r, last, bad) {
		t.Error("an answer to another request released the trait")
	}
	r.Survived(last.Add(time.Second), now.Add(-time.Second), []crash.Trait{bad})
	if allows(r, last, bad) {
		t.Error("an answer that began before the crashes released the trait")
	}
}

// Guards against a peer that never hears of a release, or that undoes it with its own
// old evidence.
func TestReleaseReachesPeers(t *testing.T) {
	r1, r2 := crash.NewRegister(), crash.NewRegister()
	last := lose(r1, 3, first)
	merge(r2, last, told(r1, last))
	r1.Survived(last.Add(time.Second), last.Add(time.Millisecond), []crash.Trait{first})
	at := last.Add(20 * time.Second) // r2 has missed all messages in between
	merge(r1, at, told(r2, at))
	merge(r2, at, told(r1, at))
	merge(r1, at, told(r2, at))
	if !allows(r1, at, first) || !allows(r2, at, first) {
		t.Fatal("still refused after the release")
	}
}

// Guards against a trait that stays blocked by mistake, and against trials that crash
// many endpoints: one request in the fleet is tried, with growing delays.
func TestTrials(t *testing.T) {
	r1, r2 := crash.NewRegister(), crash.NewRegister()
	at := lose(r1, 3, bad)
	trials, lastTrial := 0, at
	for end := at.Add(time.Hour); at < end; at = at.Add(100 * time.Millisecond) {
		merge(r1, at, told(r2, at))
		merge(r2, at, told(r1, at))
		for _, r := range []*crash.Register{r1, r2} {
			if a := r.Admit(at, []crash.Trait{bad}); a.Allowed {
				if trials++; trials > 1 && at.Sub(lastTrial) < 2*time.Minute {
					t.Fatalf("trial %d only %v after the one before", trials, at.Sub(lastTrial))
				}
				lastTrial = at
				connectionLost(r, at.Add(time.Millisecond), proto.EndpointID(fmt.Sprint("t", trials)), []crash.Trait{bad})
				merge(r1, at, told(r2, at))
				merge(r2, at, told(r1, at))
			}
		}
	}
	if trials < 3 || trials > 4 {
		t.Fatalf("%d trials in an hour", trials)
	}
}

// Guards against entries that are never removed, and against refusing requests long
// after the last crash and the last of them.
func TestEntriesExpire(t *testing.T) {
	r := crash.NewRegister()
	later := lose(r, 5, bad).Add(11 * time.Minute)
	r.Expire(later)
	if !allows(r, later, bad) || len(told(r, later)) != 0 {
		t.Fatal("an expired entry still counts")
	}
}

// Guards against routers that extend each other's entries: messages that repeat them
// must not refresh them, or requests are refused forever (soak seed 300).
func TestPeersDoNotKeepEntriesAlive(t *testing.T) {
	a, b := crash.NewRegister(), crash.NewRegister()
	end := lose(a, 5, bad).Add(11 * time.Minute)
	lose(b, 5, bad)
	const delay = 5 * time.Millisecond
	for at := now.Add(5 * time.Second); at < end; at = at.Add(2 * time.Second) {
		merge(a, at.Add(delay), told(b, at))
		merge(b, at.Add(delay), told(a, at))
	}
	a.Expire(end)
	b.Expire(end)
	if !allows(a, end, bad) || !allows(b, end, bad) {
		t.Fatal("refused ten minutes after the last crash")
	}
}

// Guards against losing the evidence on a harmful part when more is suspected than a
// register or a message holds.
func TestBlockedTraitsOutlastOthers(t *testing.T) {
	r, peer := crash.NewRegister(), crash.NewRegister()
	at := lose(r, 3, bad)
	for i := range 10_000 {
		connectionLost(r, at, "e9", []crash.Trait{crash.PartTrait("m", fmt.Sprint(i))})
	}
	merge(peer, at, told(r, at))
	if allows(r, at, bad) || allows(peer, at, bad) {
		t.Fatal("no longer blocked")
	}
}

// Guards against messages to peers that outgrow a packet, and against evidence that is never
// told behind other evidence, when many endpoints crash under many requests.
func TestAllEvidenceIsToldInPages(t *testing.T) {
	const maxBytes = 1200
	r := crash.NewRegister()
	want := map[crash.Trait]int{}
	for i := range 100 {
		var traits []crash.Trait
		for j := range 100 {
			traits = append(traits, crash.PartTrait("m", fmt.Sprint("part", j)))
		}
		connectionLost(r, now.Add(time.Duration(i)*20*time.Millisecond), proto.EndpointID(fmt.Sprint("i-0123456789", i)), traits)
		for _, trait := range traits {
			want[trait] = min(i+1, 32) // the register keeps 32 of a trait
		}
	}
	at := now.Add(2 * time.Second)
	got := map[crash.Trait]int{}
	for _, p := range pages(r, at) {
		data, err := json.Marshal(p)
		if err != nil {
			t.Fatal(err)
		}
		if len(data) > maxBytes {
			t.Errorf("a page of %d bytes", len(data))
		}
		for _, ev := range p.Evidence() {
			got[ev.Trait] += len(ev.Crashes)
		}
	}
	if !maps.Equal(got, want) {
		t.Errorf("told %v, want %v", got, want)
	}
}

// Guards against a part that most prompts share being told never, as the content of single
// requests was told first: twelve engines crash at the same moment, each under ten requests.
func TestSharedPartIsToldAmongManyRequests(t *testing.T) {
	r, peer := crash.NewRegister(), crash.NewRegister()
	for engine := range 12 {
		for request := range 10 {
			id := fmt.Sprint(engine, "/", request)
			connectionLost(r, now, proto.EndpointID(fmt.Sprint("e", engine)),
				[]crash.Trait{crash.ContentTrait(proto.Fingerprint(id)), first, crash.PartTrait("m", fmt.Sprint(request%5)), crash.PartTrait("m", id)})
		}
	}
	merge(peer, now, told(r, now))
	if peer.Rounds(first) == 0 {
		t.Error("the peer does not know the part that all prompts share")
	}
}

// Guards against trial after trial of a harmful request whose callers leave before its
// engine crashes, so that no router sees the outcome.
func TestTrialsWithoutOutcome(t *testing.T) {
	r1, r2 := crash.NewRegister(), crash.NewRegister()
	start := lose(r1, 3, bad)
	trials := map[time.Duration]int{time.Minute: 0, time.Hour: 0}
	for at := start; at < start.Add(time.Hour); at = at.Add(100 * time.Millisecond) {
		merge(r1, at, told(r2, at))
		merge(r2, at, told(r1, at))
		for _, r := range []*crash.Register{r1, r2} {
			if !r.Admit(at, []crash.Trait{bad}).Allowed {
				continue
			}
			merge(r1, at, told(r2, at))
			merge(r2, at, told(r1, at))
			for within := range trials {
				if at.Sub(start) < within {
					trials[within]++
				}
			}
		}
	}
	if trials[time.Minute] > 2 || trials[time.Hour] > 5 {
		t.Fatalf("%d trials in a minute, %d in an hour", trials[time.Minute], trials[time.Hour])
	}
}

// Guards against a sound trait that stays blocked because its trial did not run.
func TestTrialThatDidNotRunIsRepeated(t *testing.T) {
	r := crash.NewRegister()
	at := lose(r, 3, first)
	for range 5 {
		at = at.Add(2 * time.Second)
		if a := r.Admit(at, []crash.Trait{first}); !a.Trial {
			t.Fatalf("no trial: %+v", a)
		}
		r.TrialNotRun([]crash.Trait{first})
	}
}

// Guards against a peer that never hears that a trait did no harm, because many others
// were present at one crash each.
func TestReleaseIsToldAmongManySuspects(t *testing.T) {
	r, peer := crash.NewRegister(), crash.NewRegister()
	last := lose(r, 3, first)
	merge(peer, last, told(r, last))
	for i := range 1000 {
		connectionLost(r, last, "e9", []crash.Trait{crash.PartTrait("m", fmt.Sprint(i))})
	}
	at := last.Add(time.Second)
	r.Survived(at, last.Add(time.Millisecond), []crash.Trait{first})
	merge(peer, at, told(r, at))
	if !allows(peer, at, first) {
		t.Fatal("still refused by the peer")
	}
}

// Guards against a router that never gets on, or blocks for what is not there, because a
// stored trait, or a message about one, has a huge number of events or odd ages.
func TestOddEvidenceIsBounded(t *testing.T) {
	many := func(age int64) []crash.Event {
		var events []crash.Event
		for i := range 100_000 {
			events = append(events, crash.Event{ID: crash.EventID(fmt.Sprint("e", i)), AgeMillis: age + int64(i)*200})
		}
		return events
	}
	for name, test := range map[string]struct {
		crashes []crash.Event
		blocked bool
	}{
		"many crashes": {many(0), true}, "from the future": {many(math.MinInt64), false}, "from the past": {many(math.MaxInt64 - 20_000_000), false},
		"one crash, told again": {[]crash.Event{{ID: "e"}, {ID: "e", AgeMillis: 2000}, {ID: "e", AgeMillis: 4000}}, false},
		"without identity":      {[]crash.Event{{}, {AgeMillis: 2000}, {AgeMillis: 4000}}, false},
	} {
		done := make(chan crash.Admission, 1)
		go func() {
			r := crash.NewRegister()
			merge(r, now, []crash.Evidence{{Trait: bad, Crashes: test.crashes, Trials: test.crashes}})
			done <- r.Admit(now.Add(time.Millisecond), []crash.Trait{bad})
		}()
		select {
		case a := <-done:
			if a.Allowed == test.blocked {
				t.Errorf("%s: %+v", name, a)
			}
		case <-time.After(20 * time.Second):
			t.Errorf("%s: no decision within 20 s", name)
		}
	}
}
