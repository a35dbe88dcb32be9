package transport

import (
	"context"
	"sync"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// Mailbox is a bounded queue of messages from a state machine, which must never
// block, to a goroutine that writes to a socket.
type Mailbox struct {
	mu       sync.Mutex
	notify   chan struct{}
	queue    []proto.Envelope
	size     int
	limit    int
	overflow bool
	closed   bool
}

// NewMailbox returns a mailbox that queues up to limit bytes.
func NewMailbox(limit int) *Mailbox {
	return &Mailbox{notify: make(chan struct{}, 1), limit: limit}
}

// Put appends a message and never blocks. If the message would exceed the limit, the
// queue is discarded, the mailbox accepts no more messages and Next returns Overflow.
// An empty mailbox accepts a message of any size, so that a single large
// response can still be delivered.
func (m *Mailbox) Put(env proto.Envelope) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.overflow || m.closed {
		return
	}
	size := contentSize(env.Msg)
	if len(m.queue) > 0 && m.size+size > m.limit {
		m.overflow = true
		m.queue = nil
	} else {
		m.queue = append(m.queue, env)
		m.size += size
	}
	m.wake()
}

// Close stops the mailbox from accepting messages. Next still returns those that
// are queued.
func (m *Mailbox) Close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closed = true
	m.wake()
}

func (m *Mailbox) wake() {
	select {
	case m.notify <- struct{}{}:
	default:
	}
}

// Result is the outcome of a call to Next.
type Result int

// Results of Next.
const (
	// Received means that a message was returned.
	Received Result = iota
	// Idle means that no message arrived within the given time.
	Idle
	// Overflow means that the reader was too slow and queued messages were dropped.
	Overflow
	// Closed means that the mailbox is closed and empty.
	Closed
	// Canceled means that the context was canceled.
	Canceled
)

// Next returns the next message and waits for it up to the duration idle.
func (m *Mailbox) Next(ctx context.Context, idle time.Duration) (proto.Envelope, Result) {
	if env, result, ok := m.take(); ok {
		return env, result
	}
	timer := time.NewTimer(idle)
	defer timer.Stop()
	for {
		select {
		case <-m.notify:
			if env, result, ok := m.take(); ok {
				return env, result
			}
		case <-timer.C:
			return proto.Envelope{}, Idle
		case <-ctx.Done():
			return proto.Envelope{}, Canceled
		}
	}
}

func (m *Mailbox) take() (proto.Envelope, Result, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.overflow {
		return proto.Envelope{}, Overflow, true
	}
	if len(m.queue) > 0 {
		env := m.queue[0]
		m.queue = m.queue[1:]
		m.size -= contentSize(env.Msg)
		return env, Received, true
	}
	return proto.Envelope{}, Closed, m.closed
}

// envelopeOverhead is the size in bytes that each message counts for in addition
// to its content.
const envelopeOverhead = 128

// contentSize returns the number of bytes that a message counts for.
func contentSize(m proto.Message) int {
	switch m := m.(type) {
	case proto.CallerChunk:
		return envelopeOverhead + len(m.Text)
	case proto.Chunk:
		return envelopeOverhead + len(m.Text)
	case proto.CallerFinish:
		return envelopeOverhead + len(m.Body)
	case proto.Finish:
		return envelopeOverhead + len(m.Body)
	}
	return envelopeOverhead
}
