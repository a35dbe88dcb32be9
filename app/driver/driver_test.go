package driver

import (
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

const hangGuard = 30 * time.Second

// echo passes each message on and tells of each tick after the first, which
// every driver gives at its start. It never asks for a tick.
type echo struct {
	out   []proto.Envelope
	ticks chan struct{}
}

func (e *echo) Step(_ proto.Instant, in proto.Envelope) { e.out = append(e.out, in) }
func (e *echo) Tick(proto.Instant)                      { e.ticks <- struct{}{} }
func (e *echo) Wake() proto.Instant                     { return proto.Never }
func (e *echo) Take() []proto.Envelope {
	out := e.out
	e.out = nil
	return out
}

func receive[T any](t *testing.T, c <-chan T, what string) {
	t.Helper()
	select {
	case <-c:
	case <-time.After(hangGuard):
		t.Fatalf("waited in vain for %s", what)
	}
}

// Guards against a nudge that is lost while the machine wants no tick.
func TestNudgeTicks(t *testing.T) {
	e := &echo{ticks: make(chan struct{}, 2)}
	d := New(e, func(proto.Envelope) {})
	d.Start()
	receive(t, e.ticks, "the first tick")
	d.RequestTick()
	receive(t, e.ticks, "the tick asked for")
	if err := d.Stop(); err != nil {
		t.Error(err)
	}
}

// Guards against machines that pass messages to each other and wait for room
// in each other's inbox forever.
func TestMachinesThatPostToEachOtherGoOn(t *testing.T) {
	const messages = 3 * inboxSize
	var one, two *Driver
	arrived := make(chan struct{}, messages)
	one = New(&echo{ticks: make(chan struct{}, 1)}, func(e proto.Envelope) { two.Post(e) })
	two = New(&echo{ticks: make(chan struct{}, 1)}, func(proto.Envelope) { arrived <- struct{}{} })
	for range messages {
		one.Post(proto.Envelope{})
	}
	one.Start()
	two.Start()
	for range messages {
		receive(t, arrived, "a message")
	}
	for _, d := range []*Driver{one, two} {
		if err := d.Stop(); err != nil {
			t.Error(err)
		}
	}
}
