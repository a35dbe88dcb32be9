// Package driver runs state machines without I/O, each in a goroutine of its own.
package driver

import (
	"sync"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
	"gopkg.in/tomb.v2"
)

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
	nudged  chan struct{}

	mu sync.Mutex
	// posted holds messages of other machines in this process. Its size is not
	// bounded, as two machines that wait for each other would never go on.
	posted []proto.Envelope
	// postedReady holds a token while posted is not empty.
	postedReady chan struct{}
}

// New returns a driver that is not yet running. deliver is called in the
// driver's goroutine for each output; it must not block and must not call
// Step or Do of this driver.
func New(m proto.Machine, deliver func(proto.Envelope)) *Driver {
	return &Driver{
		machine:     m,
		deliver:     deliver,
		inbox:       make(chan proto.Envelope, inboxSize),
		calls:       make(chan func(proto.Instant)),
		nudged:      make(chan struct{}, 1),
		postedReady: make(chan struct{}, 1),
	}
}

// Start starts the goroutine.
func (d *Driver) Start() { d.t.Go(d.loop) }

// Stop ends the goroutine and waits for it.
func (d *Driver) Stop() error {
	d.t.Kill(nil)
	return d.t.Wait()
}

// Step hands a message to the machine and blocks while too many wait. It
// reports false if the driver has stopped.
func (d *Driver) Step(env proto.Envelope) bool {
	select {
	case d.inbox <- env:
		return true
	case <-d.t.Dying():
		return false
	}
}

// Post hands a message to the machine and never blocks. It is for machines
// that drive each other.
func (d *Driver) Post(env proto.Envelope) {
	d.mu.Lock()
	d.posted = append(d.posted, env)
	d.mu.Unlock()
	notify(d.postedReady)
}

// RequestTick has the machine's Tick called without delay. It never blocks.
func (d *Driver) RequestTick() { notify(d.nudged) }

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
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
			d.machine.Step(Now(), env)
			d.drainInbox()
		case <-d.postedReady:
			d.stepPosted()
		case f := <-d.calls:
			f(Now())
		case <-d.nudged:
			d.machine.Tick(Now())
		case <-timer.C:
			d.machine.Tick(Now())
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
			d.machine.Step(Now(), env)
		default:
			return
		}
	}
}

func (d *Driver) stepPosted() {
	d.mu.Lock()
	posted := d.posted
	d.posted = nil
	d.mu.Unlock()
	for _, env := range posted {
		d.machine.Step(Now(), env)
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
	timer.Reset(max(0, wake.Sub(Now())))
}
