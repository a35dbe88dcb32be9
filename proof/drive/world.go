// Package drive is a discrete-event simulation of any number of nodes in virtual
// time. It delivers the messages between them with delays and faults drawn from
// a seeded source, so that the same seed repeats a run exactly.
package drive

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// MessageFault is the fault that the network applies to one message; the zero
// value delivers it normally.
type MessageFault struct {
	// Drop loses the message; neither end gets an error.
	Drop bool
	// Copies is the number of additional deliveries of the message.
	Copies int
	// Delay is added to the latency of the link.
	Delay time.Duration
}

// Config holds the settings of a simulation.
type Config struct {
	Seed uint64
	// Latency returns the one-way delay between two addresses; nil means 1 ms.
	Latency func(from, to proto.Addr) time.Duration
	// MessageFault, if set, returns the fault of each message that is sent.
	MessageFault func(now proto.Instant, e proto.Envelope) MessageFault
	// Alter, if set, replaces each message that is sent. Mutation tests break a
	// mechanism with it.
	Alter func(e proto.Envelope) proto.Envelope
	// Sent, if set, is called with each message when it is sent.
	Sent func(now proto.Instant, e proto.Envelope)
	// Observe, if set, is called with each message when it is delivered.
	Observe func(now proto.Instant, e proto.Envelope)
}

// Sim is a simulation of nodes with a common virtual time.
type Sim struct {
	cfg    Config
	rng    *rand.Rand
	now    proto.Instant
	nodes  map[proto.Addr]*node
	roles  map[proto.Role]proto.Machine
	events eventQueue
	serial uint64
	// connections maps each attempt in flight to the node that dispatched it and
	// the node that runs it.
	connections map[proto.AttemptID]connection
	// ticks counts the ticks at tickedAt.
	tickedAt proto.Instant
	ticks    int
	// Delivered counts delivered messages.
	Delivered int64
}

type node struct {
	machine proto.Machine
	// offset is added to the simulated time to get the node's local time.
	offset   time.Duration
	instance uint64
	// frozenUntil is the end of a pause; deliveries and ticks wait until then.
	frozenUntil proto.Instant
	wakeAt      proto.Instant
}

type connection struct{ from, to proto.Addr }

// New returns a simulation without nodes at time 0.
func New(cfg Config) *Sim {
	if cfg.Latency == nil {
		cfg.Latency = func(proto.Addr, proto.Addr) time.Duration { return time.Millisecond }
	}
	return &Sim{
		cfg:         cfg,
		rng:         rand.New(rand.NewPCG(cfg.Seed, 0)),
		nodes:       map[proto.Addr]*node{},
		roles:       map[proto.Role]proto.Machine{},
		connections: map[proto.AttemptID]connection{},
	}
}

// Now returns the simulated time.
func (w *Sim) Now() proto.Instant { return w.now }

// Rand returns the seeded source of the simulation.
func (w *Sim) Rand() *rand.Rand { return w.rng }

// Add starts a node whose local clock is ahead of the simulated time by offset.
// It replaces any node with the same address.
func (w *Sim) Add(addr proto.Addr, m proto.Machine, offset time.Duration) {
	w.serial++
	w.nodes[addr] = &node{machine: m, offset: offset, instance: w.serial, wakeAt: proto.Never}
	w.sendAndSchedule(addr)
}

// AddRoleHandler delivers all messages for a role, such as the callers, to one
// machine, unless a node has the address.
func (w *Sim) AddRoleHandler(role proto.Role, m proto.Machine) { w.roles[role] = m }

// Alive reports whether a node is running.
func (w *Sim) Alive(addr proto.Addr) bool { return w.nodes[addr] != nil }

// Crash removes a node at once. The peers of its open attempts get ConnLost.
func (w *Sim) Crash(addr proto.Addr) {
	delete(w.nodes, addr)
	for _, id := range slices.Sorted(maps.Keys(w.connections)) {
		c := w.connections[id]
		switch addr {
		case c.to:
			w.loseConnection(id, c.from)
		case c.from:
			w.loseConnection(id, c.to)
		}
	}
}

func (w *Sim) loseConnection(id proto.AttemptID, peer proto.Addr) {
	delete(w.connections, id)
	w.deliverAfter(proto.Envelope{From: peer, To: peer, Msg: proto.ConnLost{Attempt: id}}, w.cfg.Latency(peer, peer))
}

// Freeze pauses a node; its deliveries and ticks wait until the pause is over.
func (w *Sim) Freeze(addr proto.Addr, d time.Duration) {
	if n := w.nodes[addr]; n != nil {
		n.frozenUntil = w.now.Add(d)
	}
}

// Call calls f with the local time of a running node and sends the messages that
// the node then has in its outbox.
func (w *Sim) Call(addr proto.Addr, f func(now proto.Instant)) {
	n := w.nodes[addr]
	if n == nil {
		return
	}
	f(w.now.Add(n.offset))
	w.sendAndSchedule(addr)
}

// Inject sends a message as if its sender had produced it now.
func (w *Sim) Inject(e proto.Envelope) { w.send(e) }

// Misdeliver delivers a copy of a message to another node. The connections of
// the sender are not affected.
func (w *Sim) Misdeliver(e proto.Envelope, to proto.Addr) {
	e.To = to
	w.push(event{at: w.now.Add(w.cfg.Latency(e.From, to)), envelope: e, misdelivered: true})
}

// After calls f once d has passed.
func (w *Sim) After(d time.Duration, f func()) {
	w.push(event{at: w.now.Add(d), call: f})
}

// Run processes all events that are due within d and advances the time by d.
func (w *Sim) Run(d time.Duration) {
	until := w.now.Add(d)
	for len(w.events) > 0 && w.events[0].at <= until {
		w.next()
	}
	w.now = until
}

// RunUntil processes events until done returns true. It reports false if that
// did not happen within d.
func (w *Sim) RunUntil(d time.Duration, done func() bool) bool {
	until := w.now.Add(d)
	for !done() {
		if len(w.events) == 0 || w.events[0].at > until {
			w.now = until
			return false
		}
		w.next()
	}
	return true
}

func (w *Sim) next() {
	e := heap.Pop(&w.events).(event)
	w.now = max(w.now, e.at)
	switch {
	case e.call != nil:
		e.call()
	case e.tick:
		w.tick(e)
	default:
		w.deliver(e)
	}
}

func (w *Sim) tick(e event) {
	n := w.nodes[e.envelope.To]
	if n == nil || n.instance != e.instance || n.wakeAt != e.at {
		return
	}
	if w.now < n.frozenUntil {
		n.wakeAt = n.frozenUntil
		e.at = n.frozenUntil
		w.push(e)
		return
	}
	n.wakeAt = proto.Never
	w.checkTickLoop(e)
	n.machine.Tick(w.now.Add(n.offset))
	w.sendAndSchedule(e.envelope.To)
}

// maxTicksAtOnce is far above the number of ticks that the nodes need at one instant.
const maxTicksAtOnce = 10_000

// checkTickLoop panics if nodes keep requesting ticks at the same instant; the
// time would then never advance and the run never end.
func (w *Sim) checkTickLoop(e event) {
	if w.now != w.tickedAt {
		w.tickedAt, w.ticks = w.now, 0
	}
	w.ticks++
	if w.ticks > maxTicksAtOnce {
		panic(fmt.Sprintf("drive: %v keeps requesting ticks at %v", e.envelope.To, w.now))
	}
}

func (w *Sim) deliver(e event) {
	to := e.envelope.To
	if n := w.nodes[to]; n != nil {
		if w.now < n.frozenUntil {
			e.at = n.frozenUntil
			w.push(e)
			return
		}
		w.observe(e.envelope)
		n.machine.Step(w.now.Add(n.offset), e.envelope)
		w.sendAndSchedule(to)
		return
	}
	if m := w.roles[to.Role]; m != nil {
		w.observe(e.envelope)
		m.Step(w.now, e.envelope)
		w.sendAll(m)
		return
	}
	if !e.misdelivered {
		w.refuse(e.envelope)
	}
}

func (w *Sim) observe(e proto.Envelope) {
	w.Delivered++
	if w.cfg.Observe != nil {
		w.cfg.Observe(w.now, e)
	}
}

// refuse replies to work for a node that is not running, as the kernel of its
// host would: the connection is refused before any byte is sent.
func (w *Sim) refuse(e proto.Envelope) {
	var reply proto.Message
	switch m := e.Msg.(type) {
	case proto.Dispatch:
		delete(w.connections, m.Attempt)
		reply = proto.ConnLost{Attempt: m.Attempt, Unsent: true}
	case proto.EngineCall:
		reply = proto.EngineFailed{Attempt: m.Attempt, Cause: proto.CauseEndpointFailed, Verdict: proto.NotRun}
	default:
		return
	}
	w.deliverAfter(proto.Envelope{From: e.To, To: e.From, Msg: reply}, w.cfg.Latency(e.To, e.From))
}

// sendAndSchedule sends the messages in a node's outbox and schedules its next tick.
func (w *Sim) sendAndSchedule(addr proto.Addr) {
	n := w.nodes[addr]
	w.sendAll(n.machine)
	wake := n.machine.Wake()
	if wake == proto.Never {
		n.wakeAt = proto.Never
		return
	}
	at := max(wake.Add(-n.offset), w.now)
	if at == n.wakeAt {
		return
	}
	n.wakeAt = at
	w.push(event{at: at, tick: true, instance: n.instance, envelope: proto.Envelope{To: addr}})
}

func (w *Sim) sendAll(m proto.Machine) {
	for _, e := range m.Take() {
		w.send(e)
	}
}

func (w *Sim) send(e proto.Envelope) {
	if w.cfg.Alter != nil {
		e = w.cfg.Alter(e)
	}
	w.trackConnection(e)
	if w.cfg.Sent != nil {
		w.cfg.Sent(w.now, e)
	}
	var fate MessageFault
	if w.cfg.MessageFault != nil {
		fate = w.cfg.MessageFault(w.now, e)
	}
	if fate.Drop {
		return
	}
	latency := w.cfg.Latency(e.From, e.To) + fate.Delay
	for range 1 + fate.Copies {
		w.deliverAfter(e, latency)
	}
}

// trackConnection records which attempts have an open connection.
func (w *Sim) trackConnection(e proto.Envelope) {
	switch m := e.Msg.(type) {
	case proto.Dispatch:
		w.connections[m.Attempt] = connection{from: e.From, to: e.To}
	case proto.Finish:
		delete(w.connections, m.Attempt)
	case proto.AttemptRefused:
		delete(w.connections, m.Attempt)
	case proto.Cancel:
		delete(w.connections, m.Attempt)
	}
}

func (w *Sim) deliverAfter(e proto.Envelope, delay time.Duration) {
	w.push(event{at: w.now.Add(delay), envelope: e})
}

func (w *Sim) push(e event) {
	w.serial++
	e.serial = w.serial
	heap.Push(&w.events, e)
}
