package peer_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/core/crash"
	"github.com/kumquatsill/kumquatsill/core/peer"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/core/quota"
)

const (
	step       = 10 * time.Millisecond
	earlyDelay = 40 * time.Millisecond
	// periodicBytes is the size of a periodic message without facts.
	periodicBytes = 600
	// headerBytes is what each packet adds.
	headerBytes = 28
	// packetBytes is the size of a packet without its headers.
	packetBytes = 1472
	// latency is that of a message without a queue.
	latency = 2 * time.Millisecond
	// queueTime is the time that a link takes to send what it can hold.
	queueTime = 200 * time.Millisecond
	// silence is the time after which the counts of a peer no longer count.
	silence = 6 * quota.Interval
	// calm is the time without loss after which each router has each fact.
	calm    = 1500 * time.Millisecond
	domains = 4
)

// node is a router with its link, on which it sends and receives.
type node struct {
	register   *crash.Register
	facts      *peer.FactSync
	linkFreeAt proto.Instant
	// earlyAt is when it sends before the next periodic message, or 0.
	earlyAt    proto.Instant
	heardAt    []proto.Instant
	longestGap time.Duration
	sent       int64
	// known holds the facts that it has observed or read.
	known map[fact]bool
}

// fact is a crash under a trait.
type fact struct {
	trait crash.Trait
	event crash.EventID
}

// learn adds what a page tells.
func (n *node) learn(p *crash.Page) {
	for _, ev := range p.Evidence() {
		for _, c := range ev.Crashes {
			n.known[fact{ev.Trait, c.ID}] = true
		}
	}
}

type datagram struct {
	at       proto.Instant
	from, to int
	bytes    int
	facts    *crash.Page
	forward  []int
	confirms []peer.Confirmation
}

// fleet simulates routers whose messages share slow links that lose packets.
type fleet struct {
	rng   *rand.Rand
	now   proto.Instant
	nodes []*node
	// bytesPerSecond is the rate of each router's link, loss the share of packets lost.
	bytesPerSecond float64
	loss           float64
	queue          []datagram
	observed       map[fact]bool
}

func newFleet(routers int, bytesPerSecond, loss float64) *fleet {
	f := &fleet{
		rng: rand.New(rand.NewPCG(1, uint64(routers))), now: proto.Instant(time.Hour), bytesPerSecond: bytesPerSecond, loss: loss,
		observed: map[fact]bool{},
	}
	for i := range routers {
		n := &node{register: crash.NewRegister(), heardAt: make([]proto.Instant, routers), known: map[fact]bool{}}
		n.facts = peer.NewFactSync(routerID(i), 1, n.register)
		for j := range routers {
			n.heardAt[j] = f.now
			if j != i {
				n.facts.Add(routerID(j))
				n.facts.Heard(routerID(j), 1)
			}
		}
		f.nodes = append(f.nodes, n)
	}
	return f
}

func routerID(i int) proto.RouterID {
	return proto.RouterID(fmt.Sprintf("front-domain%d-%d", i%domains, i))
}

// crash ends an engine under requests of random routers. Their prompts have four parts: all
// share one, a fifth another one, and the last one counts for nothing.
func (f *fleet) crash(engine, requests int) {
	ended := crash.Incarnation{Endpoint: proto.EndpointID(fmt.Sprintf("i-%010x", engine*7919)), Started: int64(f.now)}
	for i := range requests {
		router, id := f.rng.IntN(len(f.nodes)), fmt.Sprint(engine, "/", i)
		traits := []crash.Trait{
			crash.ContentTrait(proto.Fingerprint(id)), crash.PartTrait("m", "all"),
			crash.PartTrait("m", fmt.Sprint(i%5)), crash.PartTrait("m", id),
		}
		n := f.nodes[router]
		before := n.register.End()
		n.register.ConnectionLost(f.now, f.now.Add(-time.Duration(f.rng.IntN(100))*time.Millisecond), ended, traits)
		if n.earlyAt == 0 {
			n.earlyAt = f.now.Add(earlyDelay)
		}
		page := n.register.Page(f.now, before)
		n.learn(&page)
		maps.Copy(f.observed, n.known)
	}
}

// post sends a message of d.from from one router to d.to over the links of both, and drops
// it if a link's queue is full or any of its packets is lost.
func (f *fleet) post(sender int, d datagram) {
	packets := (d.bytes + packetBytes - 1) / packetBytes
	onLink := d.bytes + packets*headerBytes
	f.nodes[sender].sent += int64(onLink)
	at := f.transmit(sender, f.now, onLink)
	if at != 0 {
		at = f.transmit(d.to, at, onLink)
	}
	lost := at == 0
	for range packets {
		lost = lost || f.rng.Float64() < f.loss
	}
	if !lost {
		d.at = at.Add(latency)
		f.queue = append(f.queue, d)
	}
}

// transmit returns when a router's link has sent so many bytes, or 0 if its queue is full.
func (f *fleet) transmit(router int, from proto.Instant, bytes int) proto.Instant {
	n := f.nodes[router]
	start := max(from, n.linkFreeAt)
	if start.Sub(from) > queueTime {
		return 0
	}
	n.linkFreeAt = start.Add(time.Duration(float64(bytes) / f.bytesPerSecond * float64(time.Second)))
	return n.linkFreeAt
}

// sendAll sends a message to all near routers and, through one of each other failure
// domain, to the far ones.
func (f *fleet) sendAll(from int, d datagram, toNear, toFar bool) {
	d.from = from
	var byDomain [domains][]int
	for to := range f.nodes {
		if to != from {
			byDomain[to%domains] = append(byDomain[to%domains], to)
		}
	}
	for domain, members := range byDomain {
		switch {
		case domain == from%domains && toNear:
			for _, to := range members {
				d.to = to
				f.post(from, d)
			}
		case domain != from%domains && toFar && len(members) > 0:
			i := f.rng.IntN(len(members))
			d.to = members[i]
			d.forward = append(append([]int{}, members[:i]...), members[i+1:]...)
			f.post(from, d)
			d.forward = nil
		}
	}
}

func (f *fleet) deliver(d datagram) {
	n := f.nodes[d.to]
	n.heardAt[d.from] = f.now
	n.facts.Heard(routerID(d.from), 1)
	n.facts.Confirmed(f.now, routerID(d.from), d.confirms)
	if d.facts != nil {
		n.learn(d.facts)
		n.facts.Read(f.now, f.now, routerID(d.from), d.facts)
	}
	for _, to := range d.forward {
		forwarded := d
		forwarded.to, forwarded.forward = to, nil
		f.post(d.to, forwarded)
	}
}

func (f *fleet) advance() {
	f.now = f.now.Add(step)
	queue := f.queue
	f.queue = nil
	for _, d := range queue {
		if d.at <= f.now {
			f.deliver(d)
		} else {
			f.queue = append(f.queue, d)
		}
	}
	tick := int(f.now.Sub(proto.Instant(time.Hour)) / step)
	for i, n := range f.nodes {
		const interval = int(quota.Interval / step)
		periodic := (tick+i)%interval == 0
		if periodic {
			f.sendPeriodic(i, (tick+i)/interval)
		}
		if periodic || n.earlyAt != 0 && f.now >= n.earlyAt {
			n.earlyAt = 0
			f.sendFacts(i)
		}
		for j, at := range n.heardAt {
			if j != i {
				n.longestGap = max(n.longestGap, f.now.Sub(at))
			}
		}
	}
}

func (f *fleet) sendPeriodic(i, n int) {
	withFar := n%2 == 0
	confirms := f.nodes[i].facts.TakeConfirmations(func(id proto.RouterID) bool { return withFar || isNear(id, i) })
	bytes := periodicBytes
	if len(confirms) > 0 {
		data, _ := json.Marshal(confirms)
		bytes += len(data)
	}
	f.sendAll(i, datagram{bytes: bytes, confirms: confirms}, true, withFar)
}

func isNear(id proto.RouterID, i int) bool { return id[len("front-domain")] == byte('0'+i%domains) }

func (f *fleet) sendFacts(i int) {
	due, more := f.nodes[i].facts.Due(f.now)
	if more {
		f.nodes[i].earlyAt = f.now.Add(earlyDelay)
	}
	for _, d := range due {
		m := peer.Message{Counts: quota.Counts{Router: routerID(i), Incarnation: int64(f.now)}, SentAt: f.now, Facts: &d.Page}
		data, _ := peer.Encode(m)
		if len(d.To) > len(f.nodes)/2 {
			f.sendAll(i, datagram{bytes: len(data), facts: &d.Page}, true, true)
			continue
		}
		for _, id := range d.To {
			for to := range f.nodes {
				if routerID(to) == id {
					f.post(i, datagram{from: i, to: to, bytes: len(data), facts: &d.Page})
				}
			}
		}
	}
}

// allKnow reports whether all routers know all crashes.
func (f *fleet) allKnow() bool {
	return !slices.ContainsFunc(f.nodes, func(n *node) bool { return len(n.known) < len(f.observed) })
}

// play lets engines crash within 50 ms and returns the time until all routers know all of
// it, or 0, and the bytes that a router has sent a second, both in the first 2.5 s.
func (f *fleet) play(crashes, requests int) (known time.Duration, bytes float64) {
	for range 100 {
		f.advance()
	}
	before := f.bytesSent()
	start := f.now
	for i := range crashes {
		if i%3 == 0 {
			f.advance()
		}
		f.crash(i, requests)
	}
	for f.now.Sub(start) < 2500*time.Millisecond {
		f.advance()
		if known == 0 && f.allKnow() {
			known = f.now.Sub(start)
		}
	}
	bytes = float64(f.bytesSent()-before) / 2.5 / float64(len(f.nodes))
	return known, bytes
}

func (f *fleet) bytesSent() int64 {
	sent := int64(0)
	for _, n := range f.nodes {
		sent += n.sent
	}
	return sent
}

const tenMegabit = 10e6 / 8 // bytes per second

// Pattern: many engines crash at the same moment, each under many requests, and all that
// routers tell each other shares links of 10 Mbit/s.
// Guards against routers that count as silent since evidence crowds out their counts.
func TestEvidenceLeavesRoomOnSlowLinks(t *testing.T) {
	f := newFleet(27, tenMegabit, 0)
	known, bytes := f.play(12, 40)
	if known == 0 || known > calm {
		t.Errorf("all know all after %v", known)
	}
	for i, n := range f.nodes {
		if n.longestGap >= silence {
			t.Errorf("router %d has not heard a peer for %v", i, n.longestGap)
		}
	}
	t.Logf("all know all after %v, %.0f bytes a second and router", known, bytes)
}

// Pattern: the same while links lose 30 % of the packets, for longer than it takes to tell
// everything once.
// Guards against evidence that does not reach a router soon after its link is sound again.
func TestEvidenceArrivesAfterLoss(t *testing.T) {
	f := newFleet(27, tenMegabit, 0.3)
	for i := range 12 {
		f.crash(i, 40)
		for range 20 {
			f.advance()
		}
	}
	f.loss = 0
	for end := f.now.Add(calm); f.now < end; {
		f.advance()
	}
	if !f.allKnow() {
		t.Errorf("not all routers know all crashes after %v of calm", calm)
	}
}

// The bytes that a router sends a second in the 2.5 s after crashes, and the time until all
// routers know of them.
func BenchmarkEvidence(b *testing.B) {
	for _, routers := range []int{3, 27, 103} {
		for _, crashes := range []int{0, 1, 4, 12} {
			for _, requests := range []int{10, 40} {
				b.Run(fmt.Sprintf("routers=%d/crashes=%d/requests=%d", routers, crashes, requests), func(b *testing.B) {
					for b.Loop() {
						known, bytes := newFleet(routers, 100e6/8, 0).play(crashes, requests)
						b.ReportMetric(bytes, "B/s")
						b.ReportMetric(known.Seconds(), "s-known")
					}
				})
			}
		}
	}
}
