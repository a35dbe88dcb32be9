package crash_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/core/crash"
	"github.com/kumquatsill/kumquatsill/core/peer"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"pgregory.net/rapid"
)

const (
	// longestSuspension is that of a router in these tests, messageDelay the delay of a
	// message to one that is not suspended.
	longestSuspension = 4 * time.Second
	messageDelay      = 2 * time.Millisecond
)

// member is a router with a clock of its own.
type member struct {
	register *crash.Register
	// ahead is how far its clock is ahead of true time.
	ahead time.Duration
	// peers holds the clocks of the other members.
	peers          map[int]*peer.Clock
	suspendedUntil proto.Instant
	unread         []message
}

type message struct {
	from     int
	sentAt   proto.Instant
	evidence []crash.Evidence
}

// group is a set of routers that tell each other of crashes.
type group struct {
	now     proto.Instant
	members []*member
	traits  []crash.Trait
	crashes int
}

func newGroup(members int) *group {
	g := &group{now: now}
	for i := range 4 {
		g.traits = append(g.traits, crash.PartTrait("m", fmt.Sprint(i)))
	}
	for i := range members {
		g.members = append(g.members, newMember(time.Duration(i)*time.Hour))
	}
	g.exchange(true)
	return g
}

func newMember(ahead time.Duration) *member {
	return &member{register: crash.NewRegister(), ahead: ahead, peers: map[int]*peer.Clock{}}
}

func (g *group) at(m *member) proto.Instant { return g.now.Add(m.ahead) }

// crash lets an engine crash under a trait. Routers that are not suspended observe it.
func (g *group) crash(trait crash.Trait, observers ...int) {
	g.crashes++
	ended := crash.Incarnation{Endpoint: "e", Started: int64(g.crashes)}
	for _, i := range observers {
		if m := g.members[i]; m.suspendedUntil <= g.now {
			m.register.ConnectionLost(g.at(m), g.at(m), ended, []crash.Trait{trait})
		}
	}
}

// survive lets a request with the trait do no harm.
func (g *group) survive(trait crash.Trait, observer int) {
	if m := g.members[observer]; m.suspendedUntil <= g.now {
		m.register.Survived(g.at(m), g.at(m), []crash.Trait{trait})
	}
}

// send sends what a router has observed, or all that it knows, to another one.
func (g *group) send(from, to int, all bool) {
	m := g.members[from]
	if from == to || m.suspendedUntil > g.now {
		return
	}
	evidence := m.register.Observations(g.at(m))
	if all {
		evidence = m.register.State(g.at(m))
	}
	g.members[to].unread = append(g.members[to].unread, message{from: from, sentAt: g.at(m), evidence: evidence})
}

// read lets a router read its messages in the given order, unless it is suspended.
func (g *group) read(to int, order []int) {
	m := g.members[to]
	if m.suspendedUntil > g.now {
		return
	}
	g.now = g.now.Add(messageDelay)
	for _, i := range order {
		unread := m.unread[i]
		if m.peers[unread.from] == nil {
			m.peers[unread.from] = &peer.Clock{}
		}
		m.register.Merge(g.at(m), m.peers[unread.from].Convert(g.at(m), unread.sentAt), unread.evidence)
	}
	m.unread = nil
	m.register.TakeChanges(g.at(m))
}

func inOrder(n int) []int {
	var order []int
	for i := range n {
		order = append(order, i)
	}
	return order
}

// exchange lets all routers that are not suspended hear of each other.
func (g *group) exchange(all bool) {
	for to := range g.members {
		for from := range g.members {
			g.send(from, to, all)
		}
		g.read(to, inOrder(len(g.members[to].unread)))
	}
}

// settle wakes all routers and lets them hear all that is known. Answers that clear what
// others have observed are told once more.
func (g *group) settle() {
	for range 3 {
		g.now = g.now.Add(longestSuspension)
		g.exchange(true)
	}
}

// verdicts returns the blocked traits of a router, and the rounds of those with several.
// What only a router has observed that has restarted since is passed on from the second
// round on.
func (g *group) verdicts(i int) string {
	m := g.members[i]
	m.register.TakeChanges(g.at(m))
	var verdicts []string
	for _, t := range g.traits {
		verdicts = append(verdicts, fmt.Sprint(max(1, m.register.Rounds(t)), m.register.IsBlocked(g.at(m), []crash.Trait{t})))
	}
	return fmt.Sprint(verdicts)
}

// step does one thing to the group.
func (g *group) step(kind, a, b, trait int) {
	// Crashes are far enough from each other that the delay of a message does not decide
	// whether two are one round.
	g.now = g.now.Add(200 * time.Millisecond)
	a, b, trait = a%len(g.members), b%len(g.members), trait%len(g.traits)
	switch kind % 8 {
	case 0, 1:
		g.crash(g.traits[trait], a, b)
	case 2:
		g.survive(g.traits[trait], a)
	case 3:
		g.send(a, b, false)
		g.send(a, b, trait == 0) // a copy, or more
	case 4:
		g.exchange(trait == 0)
	case 5:
		g.members[a].suspendedUntil = g.now.Add(longestSuspension / time.Duration(1+trait))
	case 6:
		n := len(g.members[a].unread)
		order := rand.New(rand.NewPCG(uint64(b), uint64(trait))).Perm(n)
		if n > 0 && trait == 0 {
			order = order[1:] // one is lost
		}
		g.read(a, order)
	case 7:
		if trait == 0 { // a restart
			g.members[a] = newMember(g.members[a].ahead)
			g.exchange(true)
		}
	}
}

// checkAgreement checks that all routers have come to the same verdicts.
func (g *group) checkAgreement(t interface{ Fatalf(string, ...any) }) {
	g.settle()
	want := g.verdicts(0)
	for i := range g.members {
		if got := g.verdicts(i); got != want {
			t.Fatalf("router %d: %s, router 0: %s", i, got, want)
		}
	}
}

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
		g.send(i, awake, false)
		g.send(i, suspended, false)
		g.read(awake, inOrder(len(g.members[awake].unread)))
	}
	g.now = max(g.now.Add(time.Second), wakes)
	g.read(suspended, inOrder(observers))
	if got, want := g.verdicts(suspended), g.verdicts(awake); got != want || g.members[awake].register.Rounds(g.traits[0]) != observers {
		t.Errorf("the router that was suspended: %s, another one: %s", got, want)
	}
}
