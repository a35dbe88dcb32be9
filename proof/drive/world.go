// Package drive steps any number of nodes in one process in virtual time. It
// delivers the messages between them with delays and faults that come from a
// seeded source, so that a run is repeated exactly by its seed.
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

// MessageFault is what happens to one message on its way.
type MessageFault struct {
	// Drop loses the message without a trace, as a silent connection does.
	Drop bool
	// Copies is the number of further deliveries of the same message.
	Copies int
	// Delay is added to the link's latency.
	Delay time.Duration
}

// Config holds the settings of a World.
type Config struct {
	Seed uint64
	// Latency is the one-way delay between two parties; nil means 1 ms.
	Latency func(from, to proto.Addr) time.Duration
	// MessageFault, if set, decides on each message that is sent.
	MessageFault func(now proto.Instant, e proto.Envelope) MessageFault
	// Alter, if set, replaces each message that is sent, to break a mechanism.
	Alter func(e proto.Envelope) proto.Envelope
	// Sent, if set, sees each message when its sender produces it.
	Sent func(now proto.Instant, e proto.Envelope)
	// Observe, if set, sees each message at its delivery.
	Observe func(now proto.Instant, e proto.Envelope)
}

// Sim is a set of nodes on one virtual time line.
type Sim struct {
	cfg    Config
	rng    *rand.Rand
	now    proto.Instant
	nodes  map[proto.Addr]*node
	roles  map[proto.Role]proto.Machine
	events eventQueue
	serial uint64
	// connections maps an attempt in flight to the node that dispatched it and the
	// one that runs it.
	connections map[proto.AttemptID]connection
	// ticks counts the ticks at tickedAt.
	tickedAt proto.Instant
	ticks    int
	// Delivered counts messages.
	Delivered int64
}

type node struct {
	machine proto.Machine
	// offset is added to the world's time to get the node's own clock.
	offset   time.Duration
	instance uint64
	// frozenUntil delays every delivery and tick, as a paused process does.
	frozenUntil proto.Instant
	wakeAt      proto.Instant
}

type connection struct{ from, to proto.Addr }

// New returns an empty world at time 0.
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

// Now returns the world's time.
func (w *Sim) Now() proto.Instant { return w.now }

// Rand returns the world's seeded source.
func (w *Sim) Rand() *rand.Rand { return w.rng }

// Add starts a node whose own clock is offset ahead of the world's. It
// replaces a node of the same address.
func (w *Sim) Add(addr proto.Addr, m proto.Machine, offset time.Duration) {
	w.serial++
	w.nodes[addr] = &node{machine: m, offset: offset, instance: w.serial, wakeAt: proto.Never}
	w.sendAndSchedule(addr)
}

// AddRoleHandler lets one machine take all messages to a role, such as the callers.
func (w *Sim) AddRoleHandler(role proto.Role, m proto.Machine) { w.roles[role] = m }

// Alive reports whether a node runs.
func (w *Sim) Alive(addr proto.Addr) bool { return w.nodes[addr] != nil }

// Crash ends a node at once. Its peers see their connections break.
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

// Freeze pauses a node; what reaches it meanwhile is delivered afterwards.
func (w *Sim) Freeze(addr proto.Addr, d time.Duration) {
	if n := w.nodes[addr]; n != nil {
		n.frozenUntil = w.now.Add(d)
	}
}

// Call runs f with the local time of a running node and sends what the node
// then has to send.
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

// Misdeliver brings a copy of a message to another node. The sender's own
// connections stay as they are.
func (w *Sim) Misdeliver(e proto.Envelope, to proto.Addr) {
	e.To = to
	w.push(event{at: w.now.Add(w.cfg.Latency(e.From, to)), envelope: e, misdelivered: true})
}

// After runs f at a later time.
func (w *Sim) After(d time.Duration, f func()) {
	w.push(event{at: w.now.Add(d), call: f})
}

// Run delivers everything that is due within d.
func (w *Sim) Run(d time.Duration) {
	until := w.now.Add(d)
	for len(w.events) > 0 && w.events[0].at <= until {
		w.next()
	}
	w.now = until
}

// RunUntil delivers events until done holds, and reports whether it did
// within d.
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

// maxTicksAtOnce is far above what any node needs at one instant.
const maxTicksAtOnce = 10_000

// checkTickLoop stops a run in which nodes ask to be woken again and again
// without letting time pass, which would otherwise never end.
func (w *Sim) checkTickLoop(e event) {
	if w.now != w.tickedAt {
		w.tickedAt, w.ticks = w.now, 0
	}
	w.ticks++
	if w.ticks > maxTicksAtOnce {
		panic(fmt.Sprintf("drive: %v asks for a tick at %v without end", e.envelope.To, w.now))
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

// refuse answers work for a node that does not run as the kernel of its host
// would: the connection is refused before a byte is sent.
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

// sendAndSchedule sends what a node produced and schedules its next tick.
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

// trackConnection follows which attempts have an open connection.
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
