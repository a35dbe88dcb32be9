package upstream

import (
	"sync"
	"sync/atomic"
)

// uncountedBytes is what each response may hold without being counted, which suffices for
// nearly every head or event. A response that holds no more is never given up.
const uncountedBytes = 2 << 10

// ErrMemory is the error of a response that was given up because the responses in progress
// together held too much memory.
var ErrMemory error = &invalidResponseError{"the answers in progress take too much memory"}

// Memory limits what all responses in progress hold. Above the limit, one that grows without
// end makes room for the others. It is safe for concurrent use.
type Memory struct {
	// Limit is a number of bytes; 0 means none. GivenUp is the number of responses given up.
	Limit, GivenUp atomic.Int64

	mu sync.Mutex
	// held is what the responses hold beyond uncountedBytes each.
	held int64
	// counted holds the responses that hold more than uncountedBytes.
	counted map[*hold]struct{}
}

// hold is what one response holds; a nil hold is not limited. memory.mu guards its fields.
type hold struct {
	memory  *Memory
	conn    *conn
	bytes   int64
	givenUp bool
	// interrupt, if set, ends what the response waits for other than its connection.
	interrupt func()
}

// add counts n more bytes. It returns ErrMemory if the response is given up.
func (h *hold) add(n int) error {
	if h == nil {
		return nil
	}
	m := h.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	m.set(h, h.bytes+int64(n))
	if limit := m.Limit.Load(); limit > 0 && n > 0 && h.bytes > uncountedBytes && m.held > limit {
		m.giveUpOne(h)
	}
	if h.givenUp {
		return ErrMemory
	}
	return nil
}

// release says that the response holds nothing any more.
func (h *hold) release() {
	if h != nil {
		h.memory.mu.Lock()
		defer h.memory.mu.Unlock()
		h.memory.set(h, 0)
	}
}

func (m *Memory) set(h *hold, bytes int64) {
	m.held += max(0, bytes-uncountedBytes) - max(0, h.bytes-uncountedBytes)
	h.bytes = bytes
	if bytes > uncountedBytes {
		m.counted[h] = struct{}{}
	} else {
		delete(m.counted, h)
	}
}

// Held returns what the responses hold beyond uncountedBytes each.
func (m *Memory) Held() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.held
}

// isHalfHeld reports whether half of the limit is exceeded.
func (m *Memory) isHalfHeld() bool {
	limit := m.Limit.Load()
	return limit > 0 && m.Held() > limit/2
}

// giveUpOne gives up the response that holds the most, and ends the read that its request
// waits for. A growing one that holds nearly as much is preferred: it is gone at once.
func (m *Memory) giveUpOne(growing *hold) {
	victim := growing
	for h := range m.counted {
		if h.bytes > victim.bytes {
			victim = h
		}
	}
	if growing.bytes >= victim.bytes/2 {
		victim = growing
	}
	m.set(victim, 0)
	victim.givenUp = true
	m.GivenUp.Add(1)
	if victim == growing {
		return
	}
	_ = victim.conn.Close()
	if victim.interrupt != nil {
		victim.interrupt()
	}
}

// keepCounted ends the hold, but counts what it holds until the returned function is called.
func (h *hold) keepCounted() (release func()) {
	m := h.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	kept := max(0, h.bytes-uncountedBytes)
	m.set(h, 0)
	m.held += kept
	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.held -= kept
		kept = 0
	}
}
