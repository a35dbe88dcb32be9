// Package faultqueue provides the send queue of the stand-ins. It injects faults that
// are reproducible from a seed.
package faultqueue

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// Faults configures the faults of responses. Fractions are from 0 to 1.
type Faults struct {
	// Latency delays every response. Delayed is the fraction of responses to which
	// ExtraDelay is added.
	Latency    time.Duration
	Delayed    float64
	ExtraDelay time.Duration
	// Lost and Duplicated are fractions of all responses. A duplicate arrives
	// ExtraDelay after the original.
	Lost       float64
	Duplicated float64
	// Refused is the fraction of requests that are refused without effect.
	Refused float64
	// NoResponse is the fraction of requests that take effect but get no response.
	NoResponse float64
}

type pending struct {
	at  proto.Instant
	env proto.Envelope
}

// Queue holds messages until they are due. Messages due at the same time keep the
// order in which they were sent.
type Queue struct {
	self     proto.Addr
	rng      *rand.Rand
	faults   Faults
	silent   map[proto.Addr]bool
	messages []pending
}

// New returns an empty queue for messages from self.
func New(self proto.Addr, seed uint64, faults Faults) *Queue {
	return &Queue{
		self:   self,
		rng:    rand.New(rand.NewPCG(seed, 0x6b756d71)),
		faults: faults,
		silent: map[proto.Addr]bool{},
	}
}

// SetFaults replaces the faults for messages sent later.
func (q *Queue) SetFaults(f Faults) { q.faults = f }

// Silence drops every message sent to an address until Reconnect, like a connection
// that stays open but carries no data.
func (q *Queue) Silence(to proto.Addr) { q.silent[to] = true }

// Reconnect ends the effect of Silence on an address.
func (q *Queue) Reconnect(to proto.Addr) { delete(q.silent, to) }

// Chance returns true with the given probability.
func (q *Queue) Chance(probability float64) bool {
	return probability > 0 && q.rng.Float64() < probability
}

// ShouldRefuse decides whether the next request is refused.
func (q *Queue) ShouldRefuse() bool { return q.Chance(q.faults.Refused) }

// NoResponse decides whether the next request takes effect but gets no response.
func (q *Queue) NoResponse() bool { return q.Chance(q.faults.NoResponse) }

// Rand returns the seeded random source of the stand-in.
func (q *Queue) Rand() *rand.Rand { return q.rng }

// Send queues a message and applies the configured latency and faults.
func (q *Queue) Send(now proto.Instant, to proto.Addr, m proto.Message) {
	q.SendAfter(now, 0, to, m)
}

// SendAfter is like Send with an additional delay.
func (q *Queue) SendAfter(now proto.Instant, delay time.Duration, to proto.Addr, m proto.Message) {
	if q.silent[to] || q.Chance(q.faults.Lost) {
		return
	}
	at := now.Add(delay + q.faults.Latency)
	if q.Chance(q.faults.Delayed) {
		at = at.Add(q.faults.ExtraDelay)
	}
	env := proto.Envelope{From: q.self, To: to, Msg: m}
	q.insert(pending{at: at, env: env})
	if q.Chance(q.faults.Duplicated) {
		q.insert(pending{at: at.Add(q.faults.ExtraDelay), env: env})
	}
}

// insert adds a message behind all messages that are due no later.
func (q *Queue) insert(p pending) {
	i := len(q.messages)
	for i > 0 && p.at.Before(q.messages[i-1].at) {
		i--
	}
	q.messages = slices.Insert(q.messages, i, p)
}

// Clear discards all queued messages, as a crash does.
func (q *Queue) Clear() { q.messages = nil }

// Wake returns the time at which the next message is due, or proto.Never.
func (q *Queue) Wake() proto.Instant {
	if len(q.messages) == 0 {
		return proto.Never
	}
	return q.messages[0].at
}

// TakeDue removes and returns the messages that are due at now.
func (q *Queue) TakeDue(now proto.Instant) []proto.Envelope {
	n := 0
	for n < len(q.messages) && !now.Before(q.messages[n].at) {
		n++
	}
	out := make([]proto.Envelope, n)
	for i := range out {
		out[i] = q.messages[i].env
	}
	q.messages = slices.Delete(q.messages, 0, n)
	return out
}
