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
func (s *Sim) Now() proto.Instant { return s.now }

// Rand returns the seeded source of the simulation.
func (s *Sim) Rand() *rand.Rand { return s.rng }

// Add starts a node whose local clock is ahead of the simulated time by offset.
// It replaces any node with the same address.
func (s *Sim) Add(addr proto.Addr, m proto.Machine, offset time.Duration) {
	s.serial++
	s.nodes[addr] = &node{machine: m, offset: offset, instance: s.serial, wakeAt: proto.Never}
	s.sendAndSchedule(addr)
}

// AddRoleHandler delivers all messages for a role, such as the callers, to one
// machine, unless a node has the address.
func (s *Sim) AddRoleHandler(role proto.Role, m proto.Machine) { s.roles[role] = m }

// Alive reports whether a node is running.
func (s *Sim) Alive(addr proto.Addr) bool { return s.nodes[addr] != nil }

// Crash removes a node at once. The peers of its open attempts get ConnLost.
func (s *Sim) Crash(addr proto.Addr) {
	delete(s.nodes, addr)
	for _, id := range slices.Sorted(maps.Keys(s.connections)) {
		c := s.connections[id]
		switch addr {
		case c.to:
			s.loseConnection(id, c.from)
		case c.from:
			s.loseConnection(id, c.to)
		}
	}
}

func (s *Sim) loseConnection(id proto.AttemptID, peer proto.Addr) {
	delete(s.connections, id)
	s.deliverAfter(proto.Envelope{From: peer, To: peer, Msg: proto.ConnLost{Attempt: id}}, s.cfg.Latency(peer, peer))
}

// Freeze pauses a node; its deliveries and ticks wait until the pause is over.
func (s *Sim) Freeze(addr proto.Addr, d time.Duration) {
	if n := s.nodes[addr]; n != nil {
		n.frozenUntil = s.now.Add(d)
	}
}

// Call calls f with the local time of a running node and sends the messages that
// the node then has in its outbox.
func (s *Sim) Call(addr proto.Addr, f func(now proto.Instant)) {
	n := s.nodes[addr]
	if n == nil {
		return
	}
	f(s.now.Add(n.offset))
	s.sendAndSchedule(addr)
}

// Inject sends a message as if its sender had produced it now.
func (s *Sim) Inject(e proto.Envelope) { s.send(e) }

// Misdeliver delivers a copy of a message to another node. The connections of
// the sender are not affected.
func (s *Sim) Misdeliver(e proto.Envelope, to proto.Addr) {
	e.To = to
	s.push(event{at: s.now.Add(s.cfg.Latency(e.From, to)), envelope: e, misdelivered: true})
}

// After calls f once d has passed.
func (s *Sim) After(d time.Duration, f func()) {
	s.push(event{at: s.now.Add(d), call: f})
}

// Run processes all events that are due within d and advances the time by d.
func (s *Sim) Run(d time.Duration) {
	until := s.now.Add(d)
	for len(s.events) > 0 && s.events[0].at <= until {
		s.next()
	}
	s.now = until
}

// RunUntil processes events until done returns true. It reports false if that
// did not happen within d.
func (s *Sim) RunUntil(d time.Duration, done func() bool) bool {
	until := s.now.Add(d)
	for !done() {
		if len(s.events) == 0 || s.events[0].at > until {
			s.now = until
			return false
		}
		s.next()
	}
	return true
}

func (s *Sim) next() {
	e := heap.Pop(&s.events).(event)
	s.now = max(s.now, e.at)
	switch {
	case e.call != nil:
		e.call()
	case e.tick:
		s.tick(e)
	default:
		s.deliver(e)
	}
}

func (s *Sim) tick(e event) {
	n := s.nodes[e.envelope.To]
	if n == nil || n.instance != e.instance || n.wakeAt != e.at {
		return
	}
	if s.now < n.frozenUntil {
		n.wakeAt = n.frozenUntil
		e.at = n.frozenUntil
		s.push(e)
		return
	}
	n.wakeAt = proto.Never
	s.checkTickLoop(e)
	n.machine.Tick(s.now.Add(n.offset))
	s.sendAndSchedule(e.envelope.To)
}

// maxTicksAtOnce is far above the number of ticks that the nodes need at one instant.
const maxTicksAtOnce = 10_000

// checkTickLoop panics if nodes keep requesting ticks at the same instant; the
// time would then never advance and the run never end.
func (s *Sim) checkTickLoop(e event) {
	if s.now != s.tickedAt {
		s.tickedAt, s.ticks = s.now, 0
	}
	s.ticks++
	if s.ticks > maxTicksAtOnce {
		panic(fmt.Sprintf("drive: %v keeps requesting ticks at %v", e.envelope.To, s.now))
	}
}

func (s *Sim) deliver(e event) {
	to := e.envelope.To
	if n := s.nodes[to]; n != nil {
		if s.now < n.frozenUntil {
			e.at = n.frozenUntil
			s.push(e)
			return
		}
		s.observe(e.envelope)
		n.machine.Step(s.now.Add(n.offset), e.envelope)
		s.sendAndSchedule(to)
		return
	}
	if m := s.roles[to.Role]; m != nil {
		s.observe(e.envelope)
		m.Step(s.now, e.envelope)
		s.sendAll(m)
		return
	}
	if !e.misdelivered {
		s.refuse(e.envelope)
	}
}

func (s *Sim) observe(e proto.Envelope) {
	s.Delivered++
	if s.cfg.Observe != nil {
		s.cfg.Observe(s.now, e)
	}
}

// refuse replies to work for a node that is not running, as the kernel of its
// host would: the connection is refused before any byte is sent.
func (s *Sim) refuse(e proto.Envelope) {
	var reply proto.Message
	switch m := e.Msg.(type) {
	case proto.Dispatch:
		delete(s.connections, m.Attempt)
		reply = proto.ConnLost{Attempt: m.Attempt, Unsent: true}
	case proto.EngineCall:
		reply = proto.EngineFailed{Attempt: m.Attempt, Cause: proto.CauseEndpointFailed, Verdict: proto.NotRun}
	default:
		return
	}
	s.deliverAfter(proto.Envelope{From: e.To, To: e.From, Msg: reply}, s.cfg.Latency(e.To, e.From))
}

// sendAndSchedule sends the messages in a node's outbox and schedules its next tick.
func (s *Sim) sendAndSchedule(addr proto.Addr) {
	n := s.nodes[addr]
	s.sendAll(n.machine)
	wake := n.machine.Wake()
	if wake == proto.Never {
		n.wakeAt = proto.Never
		return
	}
	at := max(wake.Add(-n.offset), s.now)
	if at == n.wakeAt {
		return
	}
	n.wakeAt = at
	s.push(event{at: at, tick: true, instance: n.instance, envelope: proto.Envelope{To: addr}})
}

func (s *Sim) sendAll(m proto.Machine) {
	for _, e := range m.Take() {
		s.send(e)
	}
}

func (s *Sim) send(e proto.Envelope) {
	if s.cfg.Alter != nil {
		e = s.cfg.Alter(e)
	}
	s.trackConnection(e)
	if s.cfg.Sent != nil {
		s.cfg.Sent(s.now, e)
	}
	var fault MessageFault
	if s.cfg.MessageFault != nil {
		fault = s.cfg.MessageFault(s.now, e)
	}
	if fault.Drop {
		return
	}
	latency := s.cfg.Latency(e.From, e.To) + fault.Delay
	for range 1 + fault.Copies {
		s.deliverAfter(e, latency)
	}
}

// trackConnection records which attempts have an open connection.
func (s *Sim) trackConnection(e proto.Envelope) {
	switch m := e.Msg.(type) {
	case proto.Dispatch:
		s.connections[m.Attempt] = connection{from: e.From, to: e.To}
	case proto.Finish:
		delete(s.connections, m.Attempt)
	case proto.AttemptRefused:
		delete(s.connections, m.Attempt)
	case proto.Cancel:
		delete(s.connections, m.Attempt)
	}
}

func (s *Sim) deliverAfter(e proto.Envelope, delay time.Duration) {
	s.push(event{at: s.now.Add(delay), envelope: e})
}

func (s *Sim) push(e event) {
	s.serial++
	e.serial = s.serial
	heap.Push(&s.events, e)
}
