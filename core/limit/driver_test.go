package limit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/kumquatsill/kumquatsill/core/check"
	"github.com/kumquatsill/kumquatsill/core/note"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

const (
	step     = time.Millisecond
	leaseTTL = 3 * time.Second
	acct     = proto.AccountID("shop")
)

// fleet simulates limiters and holders in virtual time. A shadow bucket with the
// account's whole limit records every token spent: if its level falls below 0,
// more than burst + rate x interval was spent over some interval.
type fleet struct {
	rng         *rand.Rand
	now         proto.Instant
	limit       note.Account
	nodes       []*fleetNode
	queue       map[proto.Instant][]proto.Envelope
	slots       []Slot
	owner       [Parts]int
	until       [Parts]proto.Instant
	fence       proto.Offset
	shadowLevel float64
	shadowAt    proto.Instant
	minLevel    float64
	loss        float64
	duplication float64
	maxDelay    time.Duration
	requests    []*request
	checks      check.Monitor

	served, refused, messages int
	waits                     []time.Duration
	// faults injected into the limiter, for tests that the checks detect them
	ignoreLeaseExpiry, startFull, staleGrants bool
}

type request struct {
	node           *fleetNode
	tokens         int64
	arrived, retry proto.Instant
	refund         int64
}

type fleetNode struct {
	f           *fleet
	index       int
	incarnation int
	id          proto.RouterID
	offset      proto.Instant
	limiter     *LocalLimiter
	holders     [Parts]*Holder
	leases      [Parts]*fleetLease
	pausedUntil proto.Instant
	// Until networkCutUntil the node exchanges no messages with other nodes, until
	// logCutUntil it cannot reach the log.
	networkCutUntil, logCutUntil proto.Instant
}

type fleetLease struct {
	f     *fleet
	until proto.Instant
	fence proto.Offset
}

func (l *fleetLease) Valid(now proto.Instant) bool {
	return l.fence > 0 && (now < l.until || l.f.ignoreLeaseExpiry)
}
func (l *fleetLease) Fence() proto.Offset { return l.fence }

func newFleet(seed uint64, n int, limit note.Account) *fleet {
	f := &fleet{
		rng: rand.New(rand.NewPCG(seed, 1)), limit: limit, shadowLevel: float64(limit.Burst),
		minLevel: float64(limit.Burst), maxDelay: 2 * time.Millisecond, slots: make([]Slot, 4),
		queue: map[proto.Instant][]proto.Envelope{},
	}
	for i := range n {
		f.nodes = append(f.nodes, &fleetNode{f: f, index: i})
		f.start(f.nodes[i])
	}
	for p := range Parts {
		f.assign(p, p%n)
	}
	return f
}

// start starts a new incarnation of a node with a new ID, clock and empty state.
func (f *fleet) start(n *fleetNode) {
	n.incarnation++
	for i := range f.slots {
		if f.slots[i].Owner == n.id && n.id != "" {
			f.fence++
			f.slots[i] = Slot{ChangeOffset: f.fence}
		}
	}
	n.id = proto.RouterID(fmt.Sprintf("r%d.%d", n.index, n.incarnation))
	n.offset = proto.Instant(f.rng.Int64N(int64(time.Hour)))
	n.limiter = NewLocalLimiter(n.id)
	n.limiter.Checks = &f.checks
	for p := range Parts {
		n.leases[p] = &fleetLease{f: f}
		n.holders[p] = NewHolder(n.id, Lease{Group: Group(acct), Part: p}, n.leases[p])
		n.holders[p].Checks = &f.checks
	}
	for i := range f.slots {
		if f.slots[i].Owner == "" && i != 3 {
			f.fence++
			f.slots[i] = Slot{Owner: n.id, ChangeOffset: f.fence}
			break
		}
	}
	f.requests = slices.DeleteFunc(f.requests, func(r *request) bool { return r.node == n })
	n.configure(f.limit)
}

func (n *fleetNode) local() proto.Instant { return n.f.now + n.offset }

func (n *fleetNode) alive() bool { return n.f.now >= n.pausedUntil }

func (n *fleetNode) configure(limit note.Account) {
	accounts := map[proto.AccountID]note.Account{acct: limit}
	n.limiter.SetAccounts(n.local(), accounts)
	for _, h := range n.holders {
		h.SetAccounts(n.local(), accounts)
	}
	if n.f.now >= n.logCutUntil {
		n.refreshViews()
	}
}

// refreshViews updates a node's view of leases and slots.
func (n *fleetNode) refreshViews() {
	holders := map[Lease]proto.RouterID{}
	for p := range Parts {
		if n.f.fence > 0 && n.f.until[p] > 0 {
			holders[Lease{Group: Group(acct), Part: p}] = n.f.nodes[n.f.owner[p]].id
		}
	}
	n.limiter.SetHolders(holders)
	view := SlotView{Slots: slices.Clone(n.f.slots), ReadAt: n.local()}
	n.limiter.SetSlots(n.local(), view)
	for _, h := range n.holders {
		h.SetSlots(n.local(), view)
	}
}

func (f *fleet) assign(p, i int) {
	f.fence++
	f.owner[p] = i
	f.until[p] = f.now.Add(leaseTTL)
	l := f.nodes[i].leases[p]
	l.fence, l.until = f.fence, f.nodes[i].local().Add(leaseTTL)
	if f.startFull {
		h := f.nodes[i].holders[p]
		h.Tick(f.nodes[i].local())
		b := h.buckets[acct]
		b.refilledAt, b.balance = f.nodes[i].local(), b.burst
	}
}

// handOver moves a part to another node with its balance.
func (f *fleet) handOver(p, to int) {
	n := f.nodes[f.owner[p]]
	balances := n.holders[p].Export(n.local())
	if balances == nil || to == f.owner[p] || !f.nodes[to].alive() {
		return
	}
	f.assign(p, to)
	f.nodes[to].holders[p].Import(f.nodes[to].local(), balances)
}

// renewLeases renews the leases of live holders and replaces the other holders.
func (f *fleet) renewLeases() {
	for p := range Parts {
		n := f.nodes[f.owner[p]]
		if n.alive() && f.now >= n.logCutUntil && n.leases[p].fence > 0 && f.now < f.until[p] {
			f.until[p] = f.now.Add(leaseTTL)
			n.leases[p].until = n.local().Add(leaseTTL)
			continue
		}
		i := f.rng.IntN(len(f.nodes))
		if f.now >= f.until[p] && f.nodes[i].alive() && f.now >= f.nodes[i].logCutUntil {
			f.assign(p, i)
		}
	}
}

func (f *fleet) send(out []proto.Envelope) {
	for _, e := range out {
		f.messages++
		copies := 1
		if f.rng.Float64() < f.duplication {
			copies = 2
		}
		for range copies {
			if f.rng.Float64() >= f.loss {
				delay := step + time.Duration(f.rng.Int64N(int64(f.maxDelay)))
				f.enqueue(f.now.Add(delay), e)
			}
		}
	}
}

func (f *fleet) enqueue(at proto.Instant, e proto.Envelope) {
	at = max(f.now+1, at).Add(step-1) / proto.Instant(step) * proto.Instant(step)
	f.queue[at] = append(f.queue[at], e)
}

func (f *fleet) deliver() {
	due := f.queue[f.now]
	delete(f.queue, f.now)
	for _, e := range due {
		f.receive(e)
	}
}

// receive delivers a message; a paused node receives it when it resumes.
func (f *fleet) receive(e proto.Envelope) {
	for _, n := range f.nodes {
		if proto.RouterAddr(n.id) != e.To || f.now < n.networkCutUntil && e.From != e.To {
			continue
		}
		if !n.alive() {
			f.enqueue(n.pausedUntil, e)
			return
		}
		n.limiter.Step(n.local(), e)
		for _, h := range n.holders {
			h.Step(n.local(), e)
		}
		f.sendOutput(n)
	}
}

// sendOutput sends the messages of a node and retries the requests that its
// limiter reports as ready.
func (f *fleet) sendOutput(n *fleetNode) {
	if f.staleGrants {
		n.limiter.accountState(acct).neverExpireGrants()
	}
	out := n.limiter.Take()
	for _, h := range n.holders {
		out = append(out, h.Take()...)
	}
	out = slices.DeleteFunc(out, func(e proto.Envelope) bool { return f.now < n.networkCutUntil && e.From != e.To })
	f.send(out)
	if len(n.limiter.TakeReady()) > 0 {
		for _, r := range f.requests {
			if r.node == n {
				r.retry = f.now
			}
		}
	}
}

func (l *LocalLimiter) accountState(id proto.AccountID) *account { return (*l.accounts.Load())[id] }

func (a *account) neverExpireGrants() {
	for i := range a.grants {
		a.grants[i].expires = proto.Never
		a.grants[i].requested = proto.Never
	}
}

func (f *fleet) arrive(n *fleetNode, tokens, refund int64) {
	f.requests = append(f.requests, &request{n, tokens, f.now, f.now, refund})
}

func (f *fleet) advance() {
	f.now = f.now.Add(step)
	if f.now%proto.Instant(500*time.Millisecond) == 0 {
		f.renewLeases()
		for _, n := range f.nodes {
			if n.alive() && f.now >= n.logCutUntil {
				n.refreshViews()
			}
		}
	}
	f.deliver()
	f.serve()
	for _, n := range f.nodes {
		if n.alive() && n.limiter.Wake() <= n.local() {
			n.limiter.Tick(n.local())
			f.sendOutput(n)
		}
	}
}

func (f *fleet) serve() {
	f.requests = slices.DeleteFunc(f.requests, func(r *request) bool {
		if f.now < r.retry || !r.node.alive() {
			return false
		}
		d := r.node.limiter.Spend(r.node.local(), acct, r.tokens)
		if d.OK {
			f.spent(r.tokens)
			f.served++
			f.waits = append(f.waits, f.now.Sub(r.arrived))
			if r.refund > 0 {
				r.node.limiter.Refund(r.node.local(), acct, r.refund)
				f.spent(-r.refund)
			}
			return true
		}
		if d.Wait > 0 && f.now.Sub(r.arrived) < MaxWait {
			r.retry = f.now.Add(d.Wait)
			return false
		}
		f.refused++
		return true
	})
}

func (f *fleet) spent(tokens int64) {
	elapsed := f.now.Sub(f.shadowAt).Seconds()
	f.shadowLevel = min(float64(f.limit.Burst), f.shadowLevel+elapsed*float64(f.limit.Rate))
	f.shadowAt = f.now
	f.shadowLevel = min(float64(f.limit.Burst), f.shadowLevel-float64(tokens))
	f.minLevel = min(f.minLevel, f.shadowLevel)
}

// allowance is the token bucket of a caller that stays within its limit.
type allowance struct {
	rate, burst, level float64
	// bursty makes the caller send requests in batches.
	bursty bool
}

func (a *allowance) accrue(elapsed time.Duration) {
	a.level = min(a.burst, a.level+elapsed.Seconds()*a.rate)
}

func (a *allowance) spend(tokens int64) bool {
	if a.level < float64(tokens) {
		return false
	}
	a.level -= float64(tokens)
	return true
}
