// Package driver runs state machines, which do no I/O themselves, each in a
// goroutine of its own.
package driver

import (
	"sync"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
	"gopkg.in/tomb.v2"
)

// inboxSize is the number of messages that can be queued for a machine before Step
// blocks.
const inboxSize = 4096

// batchSize bounds the number of queued messages that are processed before outputs
// are delivered.
const batchSize = 64

// Driver runs one machine in its own goroutine.
type Driver struct {
	t             tomb.Tomb
	machine       proto.Machine
	deliver       func(proto.Envelope)
	inbox         chan proto.Envelope
	calls         chan func(proto.Instant)
	tickRequested chan struct{}

	mu sync.Mutex
	// posted holds messages from other machines in this process. It is unbounded,
	// since two machines that wait for space in each other's queue would deadlock.
	posted []proto.Envelope
	// postedReady holds a token while posted is not empty.
	postedReady chan struct{}
}

// New returns a driver that Start starts. deliver is called in the
// driver's goroutine for each output; it must not block and must not call
// Step or Do of this driver.
func New(m proto.Machine, deliver func(proto.Envelope)) *Driver {
	return &Driver{
		machine:       m,
		deliver:       deliver,
		inbox:         make(chan proto.Envelope, inboxSize),
		calls:         make(chan func(proto.Instant)),
		tickRequested: make(chan struct{}, 1),
		postedReady:   make(chan struct{}, 1),
	}
}

// Start starts the goroutine.
func (d *Driver) Start() { d.t.Go(d.loop) }

// Stop stops the goroutine and waits until it has ended.
func (d *Driver) Stop() error {
	d.t.Kill(nil)
	return d.t.Wait()
}

// Step queues a message for the machine and blocks while the queue is full. It
// reports false if the driver has stopped.
func (d *Driver) Step(env proto.Envelope) bool {
	select {
	case d.inbox <- env:
		return true
	case <-d.t.Dying():
		return false
	}
}

// Post queues a message for the machine and never blocks. It is for machines that
// send messages to each other.
func (d *Driver) Post(env proto.Envelope) {
	d.mu.Lock()
	d.posted = append(d.posted, env)
	d.mu.Unlock()
	notify(d.postedReady)
}

// RequestTick makes the driver call the machine's Tick without delay. It never
// blocks.
func (d *Driver) RequestTick() { notify(d.tickRequested) }

// notify puts a token into a channel of capacity 1 unless it holds one already.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Do runs f in the machine's goroutine and waits until it has returned. It reports
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
		case <-d.tickRequested:
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

// drainInbox processes queued messages without waiting for more.
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

// stepPosted processes the messages of Post.
func (d *Driver) stepPosted() {
	d.mu.Lock()
	posted := d.posted
	d.posted = nil
	d.mu.Unlock()
	for _, env := range posted {
		d.machine.Step(Now(), env)
	}
}

// flush delivers the machine's outputs.
func (d *Driver) flush() {
	for _, env := range d.machine.Take() {
		d.deliver(env)
	}
}

// arm sets the timer to the time of the machine's next tick.
func (d *Driver) arm(timer *time.Timer) {
	wake := d.machine.Wake()
	if wake == proto.Never {
		timer.Stop()
		return
	}
	timer.Reset(max(0, wake.Sub(Now())))
}
