package driver

import (
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// hangGuard ends a test that waits for something that does not come.
const hangGuard = 30 * time.Second

// echo is a machine that forwards each message and reports each tick, including the
// one that every driver gives at its start. It schedules no ticks.
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

// receive waits for a value from c.
func receive[T any](t *testing.T, c <-chan T, what string) {
	t.Helper()
	select {
	case <-c:
	case <-time.After(hangGuard):
		t.Fatalf("timeout while waiting for %s", what)
	}
}

// Guards against a requested tick that is lost while the machine has none scheduled.
func TestRequestTick(t *testing.T) {
	e := &echo{ticks: make(chan struct{}, 2)}
	d := New(e, func(proto.Envelope) {})
	d.Start()
	receive(t, e.ticks, "the first tick")
	d.RequestTick()
	receive(t, e.ticks, "the requested tick")
	if err := d.Stop(); err != nil {
		t.Error(err)
	}
}

// Guards against a deadlock of two machines that each wait for space in the other's
// queue: Post must accept more messages than an inbox holds without blocking.
func TestMachinesThatPostToEachOtherDoNotDeadlock(t *testing.T) {
	const messages = 3 * inboxSize
	var first, second *Driver
	arrived := make(chan struct{}, messages)
	first = New(&echo{ticks: make(chan struct{}, 1)}, func(e proto.Envelope) { second.Post(e) })
	second = New(&echo{ticks: make(chan struct{}, 1)}, func(proto.Envelope) { arrived <- struct{}{} })
	for range messages {
		first.Post(proto.Envelope{})
	}
	first.Start()
	second.Start()
	for range messages {
		receive(t, arrived, "a message")
	}
	for _, d := range []*Driver{first, second} {
		if err := d.Stop(); err != nil {
			t.Error(err)
		}
	}
}
