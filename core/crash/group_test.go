package crash_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/kumquatsill/kumquatsill/core/crash"
	"github.com/kumquatsill/kumquatsill/core/peer"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

const (
	// longestSuspension is that of a router in these tests, messageDelay the delay of a
	// message to one that is not suspended.
	longestSuspension = 4 * time.Second
	messageDelay      = 2 * time.Millisecond
	// exchangeInterval is the time between two messages of a router, and silence the time
	// after which peers that are not heard count as silent.
	exchangeInterval = 200 * time.Millisecond
	silence          = 2 * time.Second
	// calm is the time without loss after which each router has each fact.
	calm = 1500 * time.Millisecond
)

// member is a router with a clock of its own.
type member struct {
	id          proto.RouterID
	register    *crash.Register
	facts       *peer.FactSync
	incarnation int64
	// ahead is how far its clock is ahead of true time.
	ahead time.Duration
	// clocks holds the clocks of the other members, heardAt when they were heard.
	clocks         map[int]*peer.Clock
	heardAt        map[int]proto.Instant
	suspendedUntil proto.Instant
	unread         []message
}

type message struct {
	from        int
	incarnation int64
	sentAt      proto.Instant
	facts       *crash.Page
	confirmed   []peer.Confirmation
}

// observation is a crash that a router has observed.
type observation struct {
	router      int
	incarnation int64
	trait       crash.Trait
	event       crash.EventID
}

// group is a set of routers that tell each other of crashes.
type group struct {
	now     proto.Instant
	members []*member
	traits  []crash.Trait
	crashes int
	// observed lists all observations, the last ones of a trait at the end.
	observed []observation
}

func newGroup(members int) *group {
	g := &group{now: now}
	for i := range 4 {
		g.traits = append(g.traits, crash.PartTrait("m", fmt.Sprint(i)))
	}
	g.members = make([]*member, members)
	for i := range members {
		g.start(i, 1)
	}
	g.exchange(nil)
	return g
}

// start starts a router that knows nothing but its peers.
func (g *group) start(i int, incarnation int64) {
	m := &member{
		id: routerID(i), register: crash.NewRegister(), incarnation: incarnation, ahead: time.Duration(i) * time.Hour,
		clocks: map[int]*peer.Clock{}, heardAt: map[int]proto.Instant{},
	}
	m.facts = peer.NewFactSync(m.id, incarnation, m.register)
	for other := range g.members {
		if other != i {
			m.facts.Add(routerID(other))
		}
	}
	g.members[i] = m
}

func routerID(i int) proto.RouterID { return proto.RouterID(fmt.Sprint("r", i)) }

func (g *group) at(m *member) proto.Instant { return g.now.Add(m.ahead) }

// crash lets an engine crash under a trait. Routers that are not suspended observe it.
func (g *group) crash(trait crash.Trait, observers ...int) {
	g.crashes++
	ended := crash.Incarnation{Endpoint: "e", Started: int64(g.crashes)}
	for _, i := range observers {
		if m := g.members[i]; m.suspendedUntil <= g.now {
			m.register.ConnectionLost(g.at(m), g.at(m), ended, []crash.Trait{trait})
			id := crash.EventID(fmt.Sprintf("e/%s", strconv.FormatInt(int64(g.crashes), 36)))
			g.observed = append(g.observed, observation{i, m.incarnation, trait, id})
		}
	}
}

// survive lets a request with the trait do no harm.
func (g *group) survive(trait crash.Trait, observer int) {
	if m := g.members[observer]; m.suspendedUntil <= g.now {
		m.register.Survived(g.at(m), g.at(m), []crash.Trait{trait})
	}
}

// send sends what is due at a router to those that it does not lose.
func (g *group) send(from int, lost func(to int) bool) {
	m := g.members[from]
	if m.suspendedUntil > g.now {
		return
	}
	put := func(to int, msg message) {
		if to != from && (lost == nil || !lost(to)) {
			msg.from, msg.incarnation, msg.sentAt = from, m.incarnation, g.at(m)
			g.members[to].unread = append(g.members[to].unread, msg)
		}
	}
	confirmed := m.facts.TakeConfirmations(func(proto.RouterID) bool { return true })
	for to := range g.members {
		put(to, message{confirmed: confirmed})
	}
	due, _ := m.facts.Due(g.at(m))
	for _, d := range due {
		for to := range g.members {
			if slices.Contains(d.To, routerID(to)) {
				put(to, message{facts: &d.Page})
			}
		}
	}
}

// read lets a router read its messages in the given order, unless it is suspended.
func (g *group) read(to int, order []int) {
	m := g.members[to]
	if m.suspendedUntil > g.now {
		return
	}
	for _, i := range order {
		g.readOne(m, m.unread[i])
	}
	m.unread = nil
	for i, heardAt := range m.heardAt {
		if g.now.Sub(heardAt) >= silence {
			m.facts.Silent(routerID(i))
		}
	}
	m.register.TakeChanges(g.at(m))
}

func (g *group) readOne(m *member, unread message) {
	if m.clocks[unread.from] == nil {
		m.clocks[unread.from] = &peer.Clock{}
	}
	from := routerID(unread.from)
	sentAt := m.clocks[unread.from].Convert(g.at(m), unread.sentAt)
	m.heardAt[unread.from] = g.now
	m.facts.Heard(from, unread.incarnation)
	m.facts.Confirmed(g.at(m), from, unread.confirmed)
	if unread.facts != nil {
		m.facts.Read(g.at(m), sentAt, from, unread.facts)
	}
}

func inOrder(n int) []int {
	var order []int
	for i := range n {
		order = append(order, i)
	}
	return order
}

// exchange lets all routers that are not suspended send what is due, and read it.
func (g *group) exchange(lost func(to int) bool) {
	for from := range g.members {
		g.send(from, lost)
	}
	g.now = g.now.Add(messageDelay)
	for to := range g.members {
		g.read(to, inOrder(len(g.members[to].unread)))
	}
}

// settle wakes all routers and lets them hear each other for the time of a calm.
func (g *group) settle() {
	g.now = g.now.Add(longestSuspension)
	for end := g.now.Add(calm); g.now < end; g.now = g.now.Add(exchangeInterval) {
		g.exchange(nil)
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
		g.send(a, func(to int) bool { return to != b })
		if trait == 0 { // copies
			g.members[b].unread = append(g.members[b].unread, g.members[b].unread...)
		}
	case 4:
		loss := rand.New(rand.NewPCG(uint64(a), uint64(b)))
		g.exchange(func(int) bool { return trait > 0 && loss.IntN(10) < 3 })
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
			g.start(a, g.members[a].incarnation+1)
			g.exchange(nil)
		}
	}
}

// checkAgreement checks that all routers have come to the same verdicts, and know all
// crashes that a router has observed which still runs.
func (g *group) checkAgreement(t interface{ Fatalf(string, ...any) }) {
	const kept = 32 // crashes that a register keeps of a trait
	g.settle()
	for _, o := range g.observed[max(0, len(g.observed)-kept):] {
		for i, m := range g.members {
			if g.members[o.router].incarnation == o.incarnation && !m.register.Knows(o.trait, o.event) {
				t.Fatalf("router %d does not know %+v", i, o)
			}
		}
	}
	want := g.verdicts(0)
	for i := range g.members {
		if got := g.verdicts(i); got != want {
			t.Fatalf("router %d: %s, router 0: %s", i, got, want)
		}
	}
}
