package leader_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/core/leader"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

const takeoverDelay = 3 * time.Second

// topic is an in-memory log topic with conditional appends.
type topic struct {
	era    int64
	claims []leader.Claim
}

func (t *topic) end() proto.LogPosition {
	return proto.LogPosition{Era: t.era, Offset: int64(len(t.claims))}
}

// restore removes the last n claims and begins a new era.
func (t *topic) restore(n int) {
	t.era++
	t.claims = t.claims[:max(0, len(t.claims)-n)]
}

func (t *topic) last() leader.Claim {
	if len(t.claims) == 0 {
		return leader.Claim{}
	}
	return t.claims[len(t.claims)-1]
}

func (t *topic) append(at proto.LogPosition, c leader.Claim) bool {
	if at != t.end() {
		return false
	}
	t.claims = append(t.claims, c)
	return true
}

// node is a router with one lease. It may be frozen or cut off from the log.
type node struct {
	name   string
	lease  *leader.Lease
	frozen bool
	cutOff bool
}

func (n *node) step(now proto.Instant, t *topic, rank int) {
	n.lease.SetHasWork(now, true, rank)
	switch n.lease.Next(now) {
	case leader.OpRead:
		if n.cutOff {
			n.lease.ReadFailed()
			return
		}
		n.lease.ReadSucceeded(now, t.end(), t.last())
	case leader.OpAppend:
		if n.cutOff {
			n.lease.ClaimFailed()
			return
		}
		end := n.lease.End()
		if t.append(end, n.lease.ClaimRecord()) {
			n.lease.ClaimSucceeded(now, end)
			return
		}
		n.lease.ClaimFailed()
	}
}

// mail is a disclaimer on its way to all other routers.
type mail struct {
	from     string
	at       proto.Instant
	contents leader.Disclaimer
}

// Guards against two holders at the same time, a new holder whose fencing token
// is not greater than the previous one, and two holders that act within the
// takeover delay, under frozen processes, partitions from the log and disclaimers
// that are lost, repeated, late and out of order.
func TestOneHolderAtATime(t *testing.T) {
	for seed := range uint64(200) {
		s := newSimulation(seed, &topic{})
		for range 1500 {
			s.step(t)
		}
		if s.lastHolder == "" {
			t.Fatalf("seed %d: no router ever held the lease", seed)
		}
	}
}

// Guards against the same under restores of the log from older copies, of which the
// routers hear late.
func TestOneHolderAcrossRestores(t *testing.T) {
	const seeds, steps, stepsPerRestore, maxLostClaims = 60, 3000, 800, 30
	for seed := range uint64(seeds) {
		s := newSimulation(seed, &topic{era: 1})
		for range steps {
			if s.rng.IntN(stepsPerRestore) == 0 {
				s.log.restore(s.rng.IntN(maxLostClaims))
			}
			s.hearOfEra()
			s.step(t)
		}
		if s.lastHolder == "" {
			t.Fatalf("seed %d: no router ever held the lease", seed)
		}
	}
}

// simulation runs routers that claim the lease whenever they can.
type simulation struct {
	seed      uint64
	rng       *rand.Rand
	log       *topic
	now       proto.Instant
	nodes     []*node
	inTransit []mail

	lastHolder string
	lastFence  int64
	lastAt     proto.Instant
}

func newSimulation(seed uint64, log *topic) *simulation {
	s := &simulation{seed: seed, rng: rand.New(rand.NewPCG(seed, 1)), log: log, now: proto.Instant(time.Hour)}
	for i := range 4 {
		name := fmt.Sprint("h", i)
		s.nodes = append(s.nodes, &node{name: name, lease: newLease(name, takeoverDelay)})
	}
	return s
}

// hearOfEra tells some of the routers that reach the log of its era.
func (s *simulation) hearOfEra() {
	for _, n := range s.nodes {
		if !n.frozen && !n.cutOff && s.rng.IntN(10) == 0 {
			n.lease.ObserveEra(s.now, s.log.era)
		}
	}
}

// step advances the time and lets each router act that is not frozen.
func (s *simulation) step(t *testing.T) {
	t.Helper()
	s.now = s.now.Add(20 * time.Millisecond)
	s.inTransit = deliver(s.now, s.inTransit, s.nodes)
	for i, n := range s.nodes {
		if s.rng.IntN(150) == 0 {
			n.frozen = !n.frozen
		}
		if s.rng.IntN(150) == 0 {
			n.cutOff = !n.cutOff
		}
		if n.frozen {
			continue
		}
		if fence, held := n.lease.Held(s.now); held {
			s.act(t, n, fence)
		}
		n.step(s.now, s.log, i)
		if d, ok := n.lease.Disclaimer(s.now); ok && s.rng.IntN(2) == 0 {
			delay := time.Duration(s.rng.IntN(3000)) * time.Millisecond
			s.inTransit = append(s.inTransit, mail{from: n.name, at: s.now.Add(delay), contents: d})
		}
	}
}

// act checks that a router may act under the lease, and records that it does.
func (s *simulation) act(t *testing.T, n *node, fence int64) {
	t.Helper()
	sinceLast := s.now.Sub(s.lastAt)
	if n.name != s.lastHolder && s.lastHolder != "" && sinceLast < takeoverDelay {
		t.Fatalf("seed %d: %s acts %v after %s", s.seed, n.name, sinceLast, s.lastHolder)
	}
	if fence < s.lastFence || n.name != s.lastHolder && fence == s.lastFence {
		t.Fatalf("seed %d: %s acts with token %d after %d", s.seed, n.name, fence, s.lastFence)
	}
	s.lastHolder, s.lastFence, s.lastAt = n.name, fence, s.now
	n.lease.RecordAction(s.now)
}

// deliver hands the disclaimers that have arrived to all routers that are not frozen,
// and returns the others.
func deliver(now proto.Instant, inTransit []mail, nodes []*node) []mail {
	var left []mail
	for _, m := range inTransit {
		if now < m.at {
			left = append(left, m)
			continue
		}
		for _, n := range nodes {
			if n.name != m.from && !n.frozen {
				n.lease.HandleDisclaimer(now, m.from, m.contents)
			}
		}
	}
	return left
}

// Guards against engines that nobody upgrades for seconds because a claim was appended
// whose response was lost: its author cannot use it and, cut off from the log, cannot
// release it either, but still reaches the other routers.
func TestDisclaimedClaimLetsTheNextOneIn(t *testing.T) {
	const host = "a"
	for _, acted := range []bool{false, true} {
		log := &topic{}
		first, next := newLease(host, takeoverDelay), &node{name: "b", lease: newLease("b", takeoverDelay)}
		now := proto.Instant(time.Hour)
		first.SetHasWork(now, true, 0)
		first.Next(now)
		first.ReadSucceeded(now, log.end(), leader.Claim{})
		if first.Next(now) != leader.OpAppend {
			t.Fatal("a free lease is not claimed")
		}
		log.append(log.end(), first.ClaimRecord())
		if _, ok := first.Disclaimer(now); ok {
			t.Fatal("a claim is disclaimed while its outcome is not known")
		}
		if acted {
			first.ClaimSucceeded(now, proto.LogPosition{})
			first.RecordAction(now)
			now = now.Add(leader.TTL)
		} else {
			first.ClaimFailed()
		}
		d, ok := first.Disclaimer(now)
		if !ok {
			t.Fatal("a claim that is not held is not disclaimed")
		}
		next.lease.HandleDisclaimer(now, host, d)
		waited := next.timeToHold(t, now, log)
		if !acted && waited > time.Second {
			t.Errorf("the next router waits %v for a claim under which nobody acted", waited)
		}
		if minWait := takeoverDelay - leader.TTL; acted && (waited < minWait || waited > minWait+time.Second) {
			t.Errorf("the next router waits %v, %v after the last action", waited, waited+leader.TTL)
		}
	}
}

// timeToHold returns how long a router takes to hold the lease.
func (n *node) timeToHold(t *testing.T, began proto.Instant, log *topic) time.Duration {
	t.Helper()
	for now := began; now.Sub(began) < time.Minute; now = now.Add(20 * time.Millisecond) {
		n.step(now, log, 1)
		if _, held := n.lease.Held(now); held {
			return now.Sub(began)
		}
	}
	t.Fatal("the router does not hold the lease after a minute")
	return 0
}

// Guards against a disclaimer of an earlier incarnation of a host, or of an earlier
// claim, that lets a router in beside the holder.
func TestDisclaimerCoversEarlierClaimsOnly(t *testing.T) {
	for _, d := range []leader.Disclaimer{{Incarnation: 1, Nonce: 1}, {Incarnation: 2, Nonce: 9}} {
		l := newLease("b", takeoverDelay)
		now := proto.Instant(time.Hour)
		l.HandleDisclaimer(now, "a", d)
		l.SetHasWork(now, true, 0)
		l.Next(now)
		l.ReadSucceeded(now, proto.LogPosition{Offset: 5}, leader.Claim{Holder: "a", Incarnation: 1, Nonce: 2})
		if op := l.Next(now.Add(500 * time.Millisecond)); op != leader.OpNone {
			t.Errorf("operation %d after disclaimer %+v", op, d)
		}
	}
}

// Guards against waiting for the time to live after a holder has released the
// lease.
func TestReleaseLetsTheNextOneIn(t *testing.T) {
	log := &topic{}
	first := &node{name: "a", lease: newLease("a", 0)}
	next := &node{name: "b", lease: newLease("b", 0)}
	now := proto.Instant(time.Hour)
	run := func(d time.Duration, nodes ...*node) {
		for end := now.Add(d); now < end; now = now.Add(20 * time.Millisecond) {
			for i, n := range nodes {
				n.step(now, log, i)
			}
		}
	}
	run(time.Second, first, next)
	if _, held := first.lease.Held(now); !held {
		t.Fatal("the first router does not hold the lease")
	}
	record, ok := first.lease.Release(now)
	if !ok || !log.append(first.lease.End(), record) {
		t.Fatal("the lease could not be released")
	}
	if _, held := first.lease.Held(now); held {
		t.Fatal("the router still held the lease after its release")
	}
	run(time.Second, next)
	if _, held := next.lease.Held(now); !held {
		t.Fatal("the next router does not hold the released lease within a second")
	}
}

// Guards against acting on a claim whose confirmation came late: the time to
// live counts from when the claim was sent.
func TestLateAnswerShortensTheHold(t *testing.T) {
	l := newLease("a", takeoverDelay)
	now := proto.Instant(time.Hour)
	l.SetHasWork(now, true, 0)
	l.Next(now)
	l.ReadSucceeded(now, proto.LogPosition{}, leader.Claim{})
	if l.Next(now) != leader.OpAppend {
		t.Fatal("a free lease is not claimed")
	}
	now = now.Add(leader.TTL)
	l.ClaimSucceeded(now, proto.LogPosition{})
	if _, held := l.Held(now); held {
		t.Fatal("the lease is held beyond its time to live")
	}
}

// Guards against calls to the log while there is no work.
func TestNoWorkNoCalls(t *testing.T) {
	l := newLease("a", takeoverDelay)
	for i := range 100 {
		now := proto.Instant(time.Hour).Add(time.Duration(i) * time.Second)
		l.SetHasWork(now, false, 0)
		if l.Next(now) != leader.OpNone {
			t.Fatal("the lease requests a log operation without work")
		}
	}
}

// Guards against a starting router that treats an old version as just announced,
// and against trusting wall clocks that have jumped.
func TestAgeOfVersions(t *testing.T) {
	written := time.UnixMilli(1_000_000)
	c := leader.Claim{WrittenAt: written.UnixMilli()}
	n := proto.VersionAge{Model: "m", Version: 2, AgeMillis: 2000}
	for elapsed, want := range map[time.Duration]time.Duration{
		time.Second: 3 * time.Second, -time.Minute: 2 * time.Second, time.Hour: 7 * time.Second,
	} {
		if got := c.Age(n, written.Add(elapsed)); got != want {
			t.Errorf("%v after the claim the version is %v old, want %v", elapsed, got, want)
		}
	}
}

func newLease(name string, releaseDelay time.Duration) *leader.Lease {
	l := leader.New(name, 1)
	l.SetTakeoverDelays(takeoverDelay, releaseDelay)
	return l
}

// Guards against a token that was used before: the log was restored from a copy without the
// claims, and assigns their offsets again.
func TestTokenRisesAcrossRestore(t *testing.T) {
	log := &topic{era: 1}
	n := &node{name: "a", lease: newLease("a", takeoverDelay)}
	now := proto.Instant(time.Hour)
	n.timeToHold(t, now, log)
	before, _ := n.lease.Held(now)
	log.restore(1)
	n.lease.ObserveEra(now, log.era)
	if _, held := n.lease.Held(now); held {
		t.Error("the lease is held under a claim that is lost")
	}
	n.timeToHold(t, now, log)
	if after, _ := n.lease.Held(now); after <= before {
		t.Errorf("token %d after %d", after, before)
	}
}

// Guards against holding the lease under a claim whose response came after the restore
// that has removed it.
func TestLateResponseAfterRestoreHoldsNothing(t *testing.T) {
	log := &topic{era: 1}
	l := newLease("a", takeoverDelay)
	now := proto.Instant(time.Hour)
	l.SetHasWork(now, true, 0)
	l.Next(now)
	l.ReadSucceeded(now, log.end(), leader.Claim{})
	now = now.Add(time.Minute)
	if l.Next(now) != leader.OpAppend {
		t.Fatal("a free lease is not claimed")
	}
	l.ObserveEra(now, 2)
	l.ClaimSucceeded(now, log.end())
	if _, held := l.Held(now); held {
		t.Error("the lease is held under a claim that is lost")
	}
}

// Guards against two holders that act within the takeover delay: the log was restored from
// a copy without the holder's claim, in which the topic is empty, or ends with an earlier
// claim of the next holder, with a release, or with a claim that its author disclaims. A
// router that starts after the restore has not seen the earlier era.
func TestLostClaimDelaysTheNextOne(t *testing.T) {
	lost := leader.Claim{Holder: "a", Incarnation: 1, Nonce: 9, Era: 1}
	for name, kept := range map[string][]leader.Claim{
		"empty":    nil,
		"own":      {{Holder: "b", Incarnation: 1, Nonce: 1, Era: 1}},
		"released": {{Holder: "c", Incarnation: 1, Nonce: 1, Era: 1, Released: true}},
		"denied":   {{Holder: "c", Incarnation: 1, Nonce: 1, Era: 1}},
	} {
		for _, starts := range []bool{false, true} {
			log := &topic{era: 1, claims: append(kept, lost)}
			next := &node{name: "b", lease: newLease("b", 0)}
			now := proto.Instant(time.Hour)
			if !starts {
				next.lease.ObserveEra(now, log.era)
			}
			log.restore(1)
			next.lease.ObserveEra(now, log.era)
			next.lease.HandleDisclaimer(now, "c", leader.Disclaimer{Incarnation: 1, Nonce: 1})
			if waited, minWait := next.timeToHold(t, now, log), leader.TTL+takeoverDelay; waited < minWait || waited > minWait+time.Second {
				t.Errorf("%s, starts %v: the next router holds the lease after %v", name, starts, waited)
			}
		}
	}
}

// Guards against a holder that waits for itself after a restore, so that engines are not
// upgraded meanwhile.
func TestHolderClaimsAgainAfterRestore(t *testing.T) {
	log := &topic{era: 1}
	n := &node{name: "a", lease: newLease("a", takeoverDelay)}
	now := proto.Instant(time.Hour)
	n.timeToHold(t, now, log)
	log.restore(1)
	n.lease.ObserveEra(now, log.era)
	if waited := n.timeToHold(t, now, log); waited > time.Second {
		t.Errorf("the holder holds the lease again after %v", waited)
	}
}
