package crash_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against routers that come to other verdicts than their peers, because they have
// read the same evidence late, in another order, more than once or in part at first
// (suspensions, restarts, lost messages).
func TestRoutersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newGroup(rapid.IntRange(2, 5).Draw(t, "routers"))
		small := rapid.IntRange(0, 63)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			g.step(small.Draw(t, "kind"), small.Draw(t, "a"), small.Draw(t, "b"), small.Draw(t, "trait"))
		}
		g.checkAgreement(t)
	})
}

func FuzzRoutersAgree(f *testing.F) {
	f.Add(uint8(3), []byte{0, 0, 0, 0, 5, 1, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 3, 0, 1, 0})
	f.Add(uint8(2), []byte{0, 0, 1, 1, 2, 1, 0, 1, 4, 0, 0, 0, 7, 0, 0, 0, 6, 1, 0, 0})
	f.Fuzz(func(t *testing.T, members uint8, steps []byte) {
		g := newGroup(2 + int(members%4))
		for s := range slices.Chunk(steps[:min(len(steps), 400)], 4) {
			if len(s) == 4 {
				g.step(int(s[0]), int(s[1]), int(s[2]), int(s[3]))
			}
		}
		g.checkAgreement(t)
	})
}

// Guards against a router that takes crashes of several moments for one, or dates them
// late, as it reads of all of them when it wakes.
func TestWakingRouterDatesCrashesLikeOthers(t *testing.T) {
	const observers, awake, suspended = 3, 3, 4
	g := newGroup(5)
	g.members[suspended].suspendedUntil = g.now.Add(longestSuspension)
	wakes := g.members[suspended].suspendedUntil
	for i := range observers {
		g.now = g.now.Add(400 * time.Millisecond)
		g.crash(g.traits[0], i)
		g.send(i, nil)
		g.read(awake, inOrder(len(g.members[awake].unread)))
	}
	g.now = max(g.now.Add(time.Second), wakes)
	g.read(suspended, inOrder(len(g.members[suspended].unread)))
	if got, want := g.verdicts(suspended), g.verdicts(awake); got != want || g.members[awake].register.Rounds(g.traits[0]) != observers {
		t.Errorf("the router that was suspended: %s, another one: %s", got, want)
	}
}
