package lease_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/core/configlog"
	"github.com/kumquatsill/kumquatsill/core/lease"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"pgregory.net/rapid"
)

const step = 100 * time.Millisecond

// appendCall is an append that has not reached the log yet.
type appendCall struct {
	rec   proto.Record
	lease configlog.Lease
	at    time.Duration
	lost  bool
}

// node is a router with its lease and its copy of the config state.
type node struct {
	id proto.RouterID
	// clock is the offset of the node's clock from the simulated time.
	clock time.Duration
	state *configlog.State
	l     *lease.Lease
	// paused is the time until which the node does nothing.
	paused time.Duration
	// cutOff is set while the node cannot reach the log.
	cutOff bool
	calls  []appendCall
	// n is the number of records that the node appended.
	n int
}

func (n *node) now(t time.Duration) proto.Instant { return proto.Instant(t + n.clock) }

// cluster is a simulated log with nodes whose clocks differ.
type cluster struct {
	nodes   []*node
	records []proto.Record
	logDown bool
	t       time.Duration
	started int
	held    map[proto.RouterID]int
	highest proto.Offset
}

func (cl *cluster) append(id string, kind proto.RecordKind, body any) {
	data, _ := json.Marshal(body)
	cl.records = append(cl.records, proto.Record{ID: proto.RecordID(id), Kind: kind, Offset: proto.Offset(len(cl.records)), Body: data})
}

// start registers a node at a port and replaces the node that had the port.
func (cl *cluster) start(port int, clock time.Duration) *node {
	cl.started++
	id := proto.RouterID(fmt.Sprint("r", cl.started))
	n := &node{id: id, clock: clock, state: configlog.NewState(nil)}
	n.l = lease.New(lease.Config{Name: "p", Self: id, MaxExtension: 10 * time.Second, Seed: uint64(cl.started)})
	cl.append(string(id)+".0", configlog.KindRegistration, configlog.Registration{Router: id, Addr: fmt.Sprintf("127.0.0.1:%d", port), Slot: configlog.NoSlot})
	return n
}

func (cl *cluster) read(n *node) {
	if cl.logDown || n.cutOff {
		return
	}
	for n.state.NextOffset() < proto.Offset(len(cl.records)) {
		res := n.state.Apply(cl.records[n.state.NextOffset()])
		n.l.Observe(n.now(cl.t), n.state.Snapshot())
		n.l.RecordApplied(res)
	}
	n.l.Observe(n.now(cl.t), n.state.Snapshot())
}

func (cl *cluster) send(n *node, rec configlog.Lease, delay time.Duration, lost bool) {
	n.n++
	id := fmt.Sprintf("%s.%d", n.id, n.n)
	data, _ := json.Marshal(rec)
	n.l.AppendSent(n.now(cl.t), proto.RecordID(id), rec)
	n.calls = append(n.calls, appendCall{rec: proto.Record{ID: proto.RecordID(id), Kind: configlog.KindLease, Body: data}, lease: rec, at: cl.t + delay, lost: lost})
}

// deliver applies the due appends of a node. An append whose reply is lost is
// first reported as failed and takes effect later.
func (cl *cluster) deliver(n *node) {
	rest := n.calls[:0]
	for _, c := range n.calls {
		switch {
		case c.lost:
			n.l.AppendFailed(c.rec.ID, false)
			c.lost = false
			rest = append(rest, c)
		case cl.t < c.at || cl.logDown || n.cutOff:
			rest = append(rest, c)
		default:
			c.rec.Offset = proto.Offset(len(cl.records))
			cl.records = append(cl.records, c.rec)
		}
	}
	n.calls = rest
}

func (cl *cluster) promise(n *node) {
	req, others, ok := n.l.RequestPromises(n.now(cl.t), uint64(cl.t), n.state.Snapshot())
	if !ok {
		return
	}
	for _, id := range others {
		for _, o := range cl.nodes {
			if o.id == id && o.paused <= cl.t {
				reply := o.l.HandlePromiseRequest(o.now(cl.t), req, !cl.logDown && !o.cutOff)
				n.l.HandlePromiseReply(n.now(cl.t), id, reply)
			}
		}
	}
}

func (cl *cluster) check(t interface{ Fatalf(string, ...any) }) {
	holders := 0
	for _, n := range cl.nodes {
		fence, ok := n.l.Held(n.now(cl.t))
		if !ok {
			continue
		}
		holders++
		cl.held[n.id]++
		if fence < cl.highest {
			t.Fatalf("%v: %s holds under fence %d after %d", cl.t, n.id, fence, cl.highest)
		}
		cl.highest = fence
	}
	if holders > 1 {
		t.Fatalf("%v: %d holders", cl.t, holders)
	}
}

// maxNodes limits the routers of a run. Without it TestOneHolder took more than
// ten minutes.
const maxNodes = 6

// Guards against two holders at the same time and against a fencing token that
// decreases, under pauses, restarts, lost and late appends, hand-overs,
// partitions from the log, outages and promises. Also guards against a lease
// that has no holder after all faults have ended.
func TestOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cl := &cluster{held: map[proto.RouterID]int{}}
		for i := range 3 {
			cl.nodes = append(cl.nodes, cl.start(i+1, time.Duration(i)*time.Hour))
		}
		faultTime := 60 * time.Second
		for cl.t = 0; cl.t < 2*faultTime; cl.t += step {
			faultsOver := cl.t > faultTime
			if faultsOver {
				cl.logDown = false
			} else if rapid.IntRange(0, 39).Draw(t, "log") == 39 {
				cl.logDown = !cl.logDown
			}
			for i, n := range cl.nodes {
				fault := 0
				if !faultsOver {
					fault = rapid.IntRange(0, 199).Draw(t, "fault")
				}
				switch {
				case faultsOver:
					n.cutOff = false
				case fault == 1:
					n.paused = cl.t + time.Duration(rapid.IntRange(1, 12).Draw(t, "pause"))*time.Second
				case fault == 2:
					n = cl.start(i+1, time.Duration(cl.started)*time.Minute)
					cl.nodes[i] = n
				case fault == 3:
					n.cutOff = !n.cutOff
				case fault == 4:
					if rec, ok := n.l.HandOver(n.now(cl.t), cl.nodes[0].id, 5); ok {
						cl.send(n, rec, 0, true)
					}
				case fault == 5 && !cl.logDown && len(cl.nodes) < maxNodes:
					// A router at a new address, which the holder may not know.
					cl.nodes = append(cl.nodes, cl.start(100+cl.started, 0))
				}
				cl.deliver(n)
				if n.paused > cl.t {
					continue
				}
				cl.read(n)
				if rec, ok := n.l.NextRecord(n.now(cl.t), true); ok {
					lost := !faultsOver && rapid.IntRange(0, 9).Draw(t, "lost") == 9
					delay := time.Duration(0)
					if !faultsOver {
						delay = time.Duration(rapid.IntRange(0, 8).Draw(t, "delay")) * step
					}
					cl.send(n, rec, delay, lost)
				}
				if cl.logDown || n.cutOff {
					cl.promise(n)
				}
			}
			cl.check(t)
		}
		if cl.highest == 0 || len(cl.held) == 0 {
			t.Fatal("no node ever held the lease")
		}
		for _, n := range cl.nodes {
			if _, ok := n.l.Held(n.now(cl.t)); ok {
				return
			}
		}
		t.Fatal("no node holds the lease after a minute without faults")
	})
}

// newPair returns a cluster of two routers of which the first holds the lease.
func newPair(t *testing.T) *cluster {
	cl := &cluster{held: map[proto.RouterID]int{}}
	cl.nodes = []*node{cl.start(1, 0), cl.start(2, time.Hour)}
	cl.run(time.Second, func(n *node) bool { return n == cl.nodes[0] })
	if _, ok := cl.nodes[0].l.Held(cl.nodes[0].now(cl.t)); !ok {
		t.Fatal("the claim failed")
	}
	return cl
}

func (cl *cluster) run(d time.Duration, want func(*node) bool) {
	for end := cl.t + d; cl.t < end; cl.t += step {
		for _, n := range cl.nodes {
			if n.paused > cl.t {
				continue
			}
			cl.deliver(n)
			cl.read(n)
			if rec, ok := n.l.NextRecord(n.now(cl.t), want(n)); ok {
				cl.send(n, rec, 0, false)
			}
			if cl.logDown {
				cl.promise(n)
			}
		}
	}
}

func everyNode(*node) bool { return true }

// Guards against losing the lease in a log outage although every router
// promised, and against keeping it although one router did not.
func TestPromisesInOutage(t *testing.T) {
	for _, silent := range []bool{false, true} {
		cl := newPair(t)
		cl.logDown = true
		if silent {
			cl.nodes[1].paused = time.Hour
		}
		cl.run(lease.DefaultTTL+2*time.Second, everyNode)
		if _, ok := cl.nodes[0].l.Held(cl.nodes[0].now(cl.t)); ok == silent {
			t.Errorf("silent=%v: held=%v", silent, ok)
		}
		cl.run(10*time.Second, everyNode)
		if _, ok := cl.nodes[0].l.Held(cl.nodes[0].now(cl.t)); ok {
			t.Error("the lease is held beyond the maximum extension")
		}
	}
}

// Guards against a holder that was paused and still uses its expired lease.
func TestPausedHolderSeesExpiry(t *testing.T) {
	cl := newPair(t)
	old := cl.nodes[0]
	old.paused = time.Hour
	cl.run(10*time.Second, everyNode)
	if _, ok := old.l.Held(old.now(cl.t)); ok {
		t.Error("the paused holder still holds")
	}
	fence, ok := cl.nodes[1].l.Held(cl.nodes[1].now(cl.t))
	if st, _ := cl.nodes[1].l.State(); !ok || st.Fence != fence || st.Balance != 0 {
		t.Errorf("takeover: held=%v, state %+v", ok, st)
	}
}

// Guards against both sides of a hand-over holding the lease, and so spending
// the same balance of tokens.
func TestHandOver(t *testing.T) {
	cl := newPair(t)
	a, b := cl.nodes[0], cl.nodes[1]
	rec, ok := a.l.HandOver(a.now(cl.t), b.id, 77)
	if _, held := a.l.Held(a.now(cl.t)); !ok || held {
		t.Fatal("the lease is still held after it was handed over")
	}
	cl.send(a, rec, 0, true)
	cl.run(step, func(*node) bool { return false })
	if _, again := a.l.NextRecord(a.now(cl.t), true); again {
		t.Error("the lease is renewed although the hand-over may still take effect")
	}
	cl.run(time.Second, func(*node) bool { return false })
	if st, _ := b.l.State(); st.Holder != b.id || st.Balance != 77 {
		t.Errorf("state %+v", st)
	}
	if _, ok := b.l.Held(b.now(cl.t)); !ok {
		t.Error("the new holder does not hold the lease")
	}
}

// Guards against a lease that is never claimed again after a log outage in which
// the claims of all routers were lost. Also guards against holding the lease twice,
// by both claims, if the lost one appears in the log late: the node must hold it
// under the fencing token that the log shows.
func TestLostClaimIsRepeated(t *testing.T) {
	for _, late := range []bool{false, true} {
		cl := &cluster{held: map[proto.RouterID]int{}}
		cl.nodes = []*node{cl.start(1, 0)}
		n := cl.nodes[0]
		cl.read(n)
		cl.t = time.Second
		first, ok := n.l.NextRecord(n.now(cl.t), true)
		if !ok {
			t.Fatal("no claim")
		}
		cl.send(n, first, 0, true)
		lost := n.calls[0].rec
		n.calls = nil
		n.l.AppendFailed(lost.ID, false)
		second, ok := n.l.NextRecord(n.now(cl.t), true)
		if !ok || second.Action != configlog.LeaseClaim {
			t.Fatalf("after a lost claim the node appends %+v, %v, want a claim", second, ok)
		}
		if late {
			lost.Offset = proto.Offset(len(cl.records))
			cl.records = append(cl.records, lost)
		}
		cl.send(n, second, 0, false)
		cl.run(time.Second, everyNode)
		state, _ := n.l.State()
		if fence, held := n.l.Held(n.now(cl.t)); !held || fence != state.Fence {
			t.Errorf("late=%v: held=%v under %d, the log says %d", late, held, fence, state.Fence)
		}
	}
}
