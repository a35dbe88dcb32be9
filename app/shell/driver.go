// Package shell connects state machines without I/O to clocks and sockets.
package shell

import (
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/zeebo/errs"
	"gopkg.in/tomb.v2"
)

// Error is the class of all errors of this package.
var Error = errs.Class("shell")

// inboxSize is the number of messages that may wait for a machine before
// senders block.
const inboxSize = 4096

// batchSize bounds the messages applied before outputs are delivered.
const batchSize = 64

// Driver runs one machine in its own goroutine.
type Driver struct {
	t       tomb.Tomb
	machine proto.Machine
	deliver func(proto.Envelope)
	inbox   chan proto.Envelope
	calls   chan func(proto.Instant)
	start   time.Time
}

// NewDriver returns a driver that is not yet running. deliver is called in
// the driver's goroutine for each output; it must not block and must not
// call Step or Do.
func NewDriver(m proto.Machine, deliver func(proto.Envelope)) *Driver {
	return &Driver{
		machine: m,
		deliver: deliver,
		inbox:   make(chan proto.Envelope, inboxSize),
		calls:   make(chan func(proto.Instant)),
		start:   time.Now(),
	}
}

// Start starts the goroutine.
func (d *Driver) Start() { d.t.Go(d.loop) }

// Stop ends the goroutine and waits for it.
func (d *Driver) Stop() error {
	d.t.Kill(nil)
	return d.t.Wait()
}

// Now returns the time on the machine's clock.
func (d *Driver) Now() proto.Instant { return proto.Instant(time.Since(d.start)) }

// Step hands a message to the machine. It reports false if the driver has stopped.
func (d *Driver) Step(env proto.Envelope) bool {
	select {
	case d.inbox <- env:
		return true
	case <-d.t.Dying():
		return false
	}
}

// Do runs f in the machine's goroutine and waits for its end. It reports
// false if the driver has stopped.
func (d *Driver) Do(f func(now proto.Instant)) bool {
	done := make(chan struct{})
	call := func(now proto.Instant) {
		defer close(done)
		f(now)
	}
	select {
	case d.calls <- call:
	case <-d.t.Dying():
		return false
	}
	<-done
	return true
}

func (d *Driver) loop() error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case env := <-d.inbox:
			d.machine.Step(d.Now(), env)
			d.drainInbox()
		case f := <-d.calls:
			f(d.Now())
		case <-timer.C:
			d.machine.Tick(d.Now())
		case <-d.t.Dying():
			return nil
		}
		d.flush()
		d.arm(timer)
	}
}

func (d *Driver) drainInbox() {
	for range batchSize {
		select {
		case env := <-d.inbox:
			d.machine.Step(d.Now(), env)
		default:
			return
		}
	}
}

func (d *Driver) flush() {
	for _, env := range d.machine.Take() {
		d.deliver(env)
	}
}

func (d *Driver) arm(timer *time.Timer) {
	wake := d.machine.Wake()
	if wake == proto.Never {
		timer.Stop()
		return
	}
	timer.Reset(max(0, wake.Sub(d.Now())))
}
