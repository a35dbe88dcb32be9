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

// append is a record on its way to the log.
type appendCall struct {
	rec   proto.Record
	lease configlog.Lease
	at    time.Duration
	lost  bool
}

type node struct {
	id     proto.RouterID
	clock  time.Duration
	state  *configlog.State
	l      *lease.Lease
	paused time.Duration
	cutOff bool
	calls  []appendCall
	n      int
}

func (n *node) now(t time.Duration) proto.Instant { return proto.Instant(t + n.clock) }

// world has one log and nodes whose clocks differ.
type world struct {
	nodes   []*node
	records []proto.Record
	down    bool
	t       time.Duration
	started int
	held    map[proto.RouterID]int
	highest proto.Offset
}

func (w *world) append(id string, kind proto.RecordKind, body any) {
	data, _ := json.Marshal(body)
	w.records = append(w.records, proto.Record{ID: proto.RecordID(id), Kind: kind, Offset: proto.Offset(len(w.records)), Body: data})
}

// start adds a node at a port; another at the same port is gone.
func (w *world) start(port int, clock time.Duration) *node {
	w.started++
	id := proto.RouterID(fmt.Sprint("r", w.started))
	n := &node{id: id, clock: clock, state: configlog.NewState(nil)}
	n.l = lease.New(lease.Config{Name: "p", Self: id, MaxExtension: 10 * time.Second, Seed: uint64(w.started)})
	w.append(string(id)+".0", configlog.KindRegistration, configlog.Registration{Router: id, Addr: fmt.Sprintf("127.0.0.1:%d", port), Slot: configlog.NoSlot})
	return n
}

func (w *world) read(n *node) {
	if w.down || n.cutOff {
		return
	}
	for n.state.Next() < proto.Offset(len(w.records)) {
		res := n.state.Fold(w.records[n.state.Next()])
		n.l.Observe(n.now(w.t), n.state.Snapshot())
		n.l.RecordFolded(res)
	}
	n.l.Observe(n.now(w.t), n.state.Snapshot())
}

func (w *world) send(n *node, rec configlog.Lease, delay time.Duration, lost bool) {
	n.n++
	id := fmt.Sprintf("%s.%d", n.id, n.n)
	data, _ := json.Marshal(rec)
	n.l.AppendSent(n.now(w.t), proto.RecordID(id), rec)
	n.calls = append(n.calls, appendCall{rec: proto.Record{ID: proto.RecordID(id), Kind: configlog.KindLease, Body: data}, lease: rec, at: w.t + delay, lost: lost})
}

// deliver lets appends take effect. A lost one fails first and may take
// effect later all the same.
func (w *world) deliver(n *node) {
	rest := n.calls[:0]
	for _, c := range n.calls {
		switch {
		case c.lost:
			n.l.AppendFailed(c.rec.ID, false)
			c.lost = false
			rest = append(rest, c)
		case w.t < c.at || w.down || n.cutOff:
			rest = append(rest, c)
		default:
			c.rec.Offset = proto.Offset(len(w.records))
			w.records = append(w.records, c.rec)
		}
	}
	n.calls = rest
}

func (w *world) promise(n *node) {
	req, others, ok := n.l.RequestPromises(n.now(w.t), uint64(w.t), n.state.Snapshot())
	if !ok {
		return
	}
	for _, id := range others {
		for _, o := range w.nodes {
			if o.id == id && o.paused <= w.t {
				reply := o.l.HandlePromiseRequest(o.now(w.t), req, !w.down && !o.cutOff)
				n.l.HandlePromiseReply(n.now(w.t), id, reply)
			}
		}
	}
}

func (w *world) check(t interface{ Fatalf(string, ...any) }) {
	holders := 0
	for _, n := range w.nodes {
		fence, ok := n.l.Held(n.now(w.t))
		if !ok {
			continue
		}
		holders++
		w.held[n.id]++
		if fence < w.highest {
			t.Fatalf("%v: %s holds under fence %d after %d", w.t, n.id, fence, w.highest)
		}
		w.highest = fence
	}
	if holders > 1 {
		t.Fatalf("%v: %d holders", w.t, holders)
	}
}

// maxNodes bounds the routers of a run; without it a run of TestOneHolder took
// over ten minutes.
const maxNodes = 6

// Guards against two holders at one time and a fencing number that falls,
// under pauses, restarts, lost and late appends, hand-overs, partitions from
// the log, outages and promises; and against a lease that nobody gets back.
func TestOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{held: map[proto.RouterID]int{}}
		for i := range 3 {
			w.nodes = append(w.nodes, w.start(i+1, time.Duration(i)*time.Hour))
		}
		calm := 60 * time.Second
		for w.t = 0; w.t < 2*calm; w.t += step {
			quiet := w.t > calm
			if quiet {
				w.down = false
			} else if rapid.IntRange(0, 39).Draw(t, "log") == 39 {
				w.down = !w.down
			}
			for i, n := range w.nodes {
				fault := 0
				if !quiet {
					fault = rapid.IntRange(0, 199).Draw(t, "fault")
				}
				switch {
				case quiet:
					n.cutOff = false
				case fault == 1:
					n.paused = w.t + time.Duration(rapid.IntRange(1, 12).Draw(t, "pause"))*time.Second
				case fault == 2:
					n = w.start(i+1, time.Duration(w.started)*time.Minute)
					w.nodes[i] = n
				case fault == 3:
					n.cutOff = !n.cutOff
				case fault == 4:
					if rec, ok := n.l.HandOver(n.now(w.t), w.nodes[0].id, 5); ok {
						w.send(n, rec, 0, true)
					}
				case fault == 5 && !w.down && len(w.nodes) < maxNodes:
					// A router that the holder may not know, at a new address.
					w.nodes = append(w.nodes, w.start(100+w.started, 0))
				}
				w.deliver(n)
				if n.paused > w.t {
					continue
				}
				w.read(n)
				if rec, ok := n.l.NextRecord(n.now(w.t), true); ok {
					lost := !quiet && rapid.IntRange(0, 9).Draw(t, "lost") == 9
					delay := time.Duration(0)
					if !quiet {
						delay = time.Duration(rapid.IntRange(0, 8).Draw(t, "delay")) * step
					}
					w.send(n, rec, delay, lost)
				}
				if w.down || n.cutOff {
					w.promise(n)
				}
			}
			w.check(t)
		}
		if w.highest == 0 || len(w.held) == 0 {
			t.Fatal("nobody ever held the lease")
		}
		for _, n := range w.nodes {
			if _, ok := n.l.Held(n.now(w.t)); ok {
				return
			}
		}
		t.Fatal("nobody holds the lease after a minute without faults")
	})
}

// pair returns two routers of which the first holds the lease.
func pair(t *testing.T) *world {
	w := &world{held: map[proto.RouterID]int{}}
	w.nodes = []*node{w.start(1, 0), w.start(2, time.Hour)}
	w.run(time.Second, func(n *node) bool { return n == w.nodes[0] })
	if _, ok := w.nodes[0].l.Held(w.nodes[0].now(w.t)); !ok {
		t.Fatal("the claim failed")
	}
	return w
}

func (w *world) run(d time.Duration, want func(*node) bool) {
	for end := w.t + d; w.t < end; w.t += step {
		for _, n := range w.nodes {
			if n.paused > w.t {
				continue
			}
			w.deliver(n)
			w.read(n)
			if rec, ok := n.l.NextRecord(n.now(w.t), want(n)); ok {
				w.send(n, rec, 0, false)
			}
			if w.down {
				w.promise(n)
			}
		}
	}
}

func all(*node) bool { return true }

// Guards against a lease that is lost in an outage although all promise, and
// against one that is kept although one router does not.
func TestPromisesInOutage(t *testing.T) {
	for _, silent := range []bool{false, true} {
		w := pair(t)
		w.down = true
		if silent {
			w.nodes[1].paused = time.Hour
		}
		w.run(lease.DefaultTTL+2*time.Second, all)
		if _, ok := w.nodes[0].l.Held(w.nodes[0].now(w.t)); ok == silent {
			t.Errorf("silent=%v: held=%v", silent, ok)
		}
		w.run(10*time.Second, all)
		if _, ok := w.nodes[0].l.Held(w.nodes[0].now(w.t)); ok {
			t.Error("held beyond the greatest extension")
		}
	}
}

// Guards against a paused holder that uses its lease after it woke up.
func TestPausedHolderSeesExpiry(t *testing.T) {
	w := pair(t)
	old := w.nodes[0]
	old.paused = time.Hour
	w.run(10*time.Second, all)
	if _, ok := old.l.Held(old.now(w.t)); ok {
		t.Error("the paused holder still holds")
	}
	fence, ok := w.nodes[1].l.Held(w.nodes[1].now(w.t))
	if st, _ := w.nodes[1].l.State(); !ok || st.Fence != fence || st.Balance != 0 {
		t.Errorf("takeover: held=%v, state %+v", ok, st)
	}
}

// Guards against tokens that are spent by both sides of a hand-over.
func TestHandOver(t *testing.T) {
	w := pair(t)
	a, b := w.nodes[0], w.nodes[1]
	rec, ok := a.l.HandOver(a.now(w.t), b.id, 77)
	if _, held := a.l.Held(a.now(w.t)); !ok || held {
		t.Fatal("the lease is still held after it was handed over")
	}
	w.send(a, rec, 0, true)
	w.run(step, func(*node) bool { return false })
	if _, again := a.l.NextRecord(a.now(w.t), true); again {
		t.Error("the lease is renewed although the hand-over may take effect")
	}
	w.run(time.Second, func(*node) bool { return false })
	if st, _ := b.l.State(); st.Holder != b.id || st.Balance != 77 {
		t.Errorf("state %+v", st)
	}
	if _, ok := b.l.Held(b.now(w.t)); !ok {
		t.Error("the new holder does not hold the lease")
	}
}

// Guards against a lease that nobody claims again after the log was silent and
// lost the claims of all routers, and against two holds from two claims if the
// lost one appears late.
func TestLostClaimIsRepeated(t *testing.T) {
	for _, late := range []bool{false, true} {
		w := &world{held: map[proto.RouterID]int{}}
		w.nodes = []*node{w.start(1, 0)}
		n := w.nodes[0]
		w.read(n)
		w.t = time.Second
		first, ok := n.l.NextRecord(n.now(w.t), true)
		if !ok {
			t.Fatal("no claim")
		}
		w.send(n, first, 0, true)
		lost := n.calls[0].rec
		n.calls = nil
		n.l.AppendFailed(lost.ID, false)
		second, ok := n.l.NextRecord(n.now(w.t), true)
		if !ok || second.Action != configlog.LeaseClaim {
			t.Fatalf("after a lost claim the node appends %+v, %v, want a claim", second, ok)
		}
		if late {
			lost.Offset = proto.Offset(len(w.records))
			w.records = append(w.records, lost)
		}
		w.send(n, second, 0, false)
		w.run(time.Second, all)
		state, _ := n.l.State()
		if fence, held := n.l.Held(n.now(w.t)); !held || fence != state.Fence {
			t.Errorf("late=%v: held=%v under %d, the log says %d", late, held, fence, state.Fence)
		}
	}
}
