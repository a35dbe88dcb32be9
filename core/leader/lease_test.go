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
		rng := rand.New(rand.NewPCG(seed, 1))
		log := &topic{}
		var inTransit []mail
		var nodes []*node
		for i := range 4 {
			name := fmt.Sprint("h", i)
			nodes = append(nodes, &node{name: name, lease: newLease(name, takeoverDelay)})
		}
		lastHolder, lastFence, lastAt := "", int64(0), proto.Instant(0)
		now := proto.Instant(time.Hour)
		for range 1500 {
			now = now.Add(20 * time.Millisecond)
			inTransit = deliver(now, inTransit, nodes)
			for i, n := range nodes {
				if rng.IntN(150) == 0 {
					n.frozen = !n.frozen
				}
				if rng.IntN(150) == 0 {
					n.cutOff = !n.cutOff
				}
				if n.frozen {
					continue
				}
				fence, held := n.lease.Held(now)
				if held {
					if n.name != lastHolder && lastHolder != "" && now.Sub(lastAt) < takeoverDelay {
						t.Fatalf("seed %d: %s acts %v after %s", seed, n.name, now.Sub(lastAt), lastHolder)
					}
					if fence < lastFence || n.name != lastHolder && fence == lastFence {
						t.Fatalf("seed %d: %s acts with token %d after %d", seed, n.name, fence, lastFence)
					}
					lastHolder, lastFence, lastAt = n.name, fence, now
					n.lease.RecordAction(now)
				}
				n.step(now, log, i)
				if d, ok := n.lease.Disclaimer(now); ok && rng.IntN(2) == 0 {
					delay := time.Duration(rng.IntN(3000)) * time.Millisecond
					inTransit = append(inTransit, mail{from: n.name, at: now.Add(delay), contents: d})
				}
			}
		}
		if lastHolder == "" {
			t.Fatalf("seed %d: no router ever held the lease", seed)
		}
	}
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
	n.lease.ObserveEra(log.era)
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
	if l.Next(now) != leader.OpAppend {
		t.Fatal("a free lease is not claimed")
	}
	l.ObserveEra(2)
	l.ClaimSucceeded(now, log.end())
	if _, held := l.Held(now); held {
		t.Error("the lease is held under a claim that is lost")
	}
}
