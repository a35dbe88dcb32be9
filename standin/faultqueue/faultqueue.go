// Package outlet sends the answers of a stand-in with seeded faults.
package faultqueue

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// Faults says how often answers go wrong. Shares are from 0 to 1.
type Faults struct {
	// Latency delays every answer; Late adds LateBy to a share of them.
	Latency    time.Duration
	Delayed    float64
	ExtraDelay time.Duration
	// Lost and Duplicated are shares of all answers.
	Lost       float64
	Duplicated float64
	// Refused is the share of requests that are refused without effect.
	Refused float64
	// NoResponse is the share of requests that take effect without an answer.
	NoResponse float64
}

type pending struct {
	at  proto.Instant
	env proto.Envelope
}

// Queue queues messages until they are due. Messages of one delay keep their order.
type Queue struct {
	self   proto.Addr
	rng    *rand.Rand
	faults Faults
	silent map[proto.Addr]bool
	queue  []pending
}

// New returns an outlet for messages from self.
func New(self proto.Addr, seed uint64, faults Faults) *Queue {
	return &Queue{
		self:   self,
		rng:    rand.New(rand.NewPCG(seed, 0x6b756d71)),
		faults: faults,
		silent: map[proto.Addr]bool{},
	}
}

// SetFaults replaces the faults for messages sent from now on.
func (o *Queue) SetFaults(f Faults) { o.faults = f }

// Silence drops every message to a party until Reconnect, like a connection
// that stays open and carries nothing.
func (o *Queue) Silence(to proto.Addr) { o.silent[to] = true }

// Reconnect ends the silence towards a party.
func (o *Queue) Reconnect(to proto.Addr) { delete(o.silent, to) }

// Chance reports true with the given probability.
func (o *Queue) Chance(share float64) bool { return share > 0 && o.rng.Float64() < share }

// ShouldRefuse reports whether the next request is to be refused.
func (o *Queue) ShouldRefuse() bool { return o.Chance(o.faults.Refused) }

// NoResponse reports whether the next request is to take effect without an answer.
func (o *Queue) NoResponse() bool { return o.Chance(o.faults.NoResponse) }

// Rand returns the seeded source of the stand-in.
func (o *Queue) Rand() *rand.Rand { return o.rng }

// Send queues a message with the delay and the faults of an answer.
func (o *Queue) Send(now proto.Instant, to proto.Addr, m proto.Message) {
	o.SendAfter(now, 0, to, m)
}

// SendAfter is Send with a further delay.
func (o *Queue) SendAfter(now proto.Instant, delay time.Duration, to proto.Addr, m proto.Message) {
	if o.silent[to] || o.Chance(o.faults.Lost) {
		return
	}
	at := now.Add(delay + o.faults.Latency)
	if o.Chance(o.faults.Delayed) {
		at = at.Add(o.faults.ExtraDelay)
	}
	env := proto.Envelope{From: o.self, To: to, Msg: m}
	o.insert(pending{at: at, env: env})
	if o.Chance(o.faults.Duplicated) {
		o.insert(pending{at: at.Add(o.faults.ExtraDelay), env: env})
	}
}

func (o *Queue) insert(p pending) {
	i := len(o.queue)
	for i > 0 && p.at.Before(o.queue[i-1].at) {
		i--
	}
	o.queue = slices.Insert(o.queue, i, p)
}

// Clear discards everything that is not yet due, as a crash does.
func (o *Queue) Clear() { o.queue = nil }

// Wake returns when the next message is due.
func (o *Queue) Wake() proto.Instant {
	if len(o.queue) == 0 {
		return proto.Never
	}
	return o.queue[0].at
}

// TakeDue removes and returns the messages that are due.
func (o *Queue) TakeDue(now proto.Instant) []proto.Envelope {
	n := 0
	for n < len(o.queue) && !now.Before(o.queue[n].at) {
		n++
	}
	out := make([]proto.Envelope, n)
	for i := range out {
		out[i] = o.queue[i].env
	}
	o.queue = slices.Delete(o.queue, 0, n)
	return out
}
