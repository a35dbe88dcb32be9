package place

import (
	"container/list"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// Part is one piece of a prompt. Requests whose prompts begin with the same
// parts can use each other's cache entries for them.
type Part struct {
	ID     string
	Tokens int64
}

// PartKey identifies a part together with all parts before it and with the
// salt under which it is cached.
type PartKey uint64

// Keys returns the key of each part of a prompt.
func Keys(salt string, parts []Part) []PartKey {
	keys := make([]PartKey, len(parts))
	h := xxhash.New()
	// The writes of a hash never fail.
	_, _ = h.WriteString(salt)
	for i, p := range parts {
		_, _ = h.WriteString("\x00" + p.ID)
		keys[i] = PartKey(h.Sum64())
	}
	return keys
}

// heldPart is a part that an endpoint is believed to hold.
type heldPart struct {
	key    PartKey
	tokens int64
	// readyAt is when the endpoint will have read the part.
	readyAt proto.Instant
}

// partCache is what one endpoint is believed to hold, the least recently used
// part last. It is not safe for concurrent use.
type partCache struct {
	capacity int64
	tokens   int64
	order    *list.List
	byKey    map[PartKey]*list.Element
}

func newPartCache(capacity int64) *partCache {
	return &partCache{capacity: capacity, order: list.New(), byKey: map[PartKey]*list.Element{}}
}

// held returns the part if the endpoint is believed to hold it.
func (c *partCache) held(key PartKey) (heldPart, bool) {
	e, ok := c.byKey[key]
	if !ok {
		return heldPart{}, false
	}
	return e.Value.(heldPart), true
}

// use records that the endpoint holds or will hold a part, and forgets what
// that displaces.
func (c *partCache) use(p heldPart) {
	if e, ok := c.byKey[p.key]; ok {
		old := e.Value.(heldPart)
		p.readyAt = min(p.readyAt, old.readyAt)
		e.Value = p
		c.order.MoveToFront(e)
		return
	}
	c.byKey[p.key] = c.order.PushFront(p)
	c.tokens += p.tokens
	for c.tokens > c.capacity && c.order.Len() > 1 {
		last := c.order.Back()
		old := last.Value.(heldPart)
		c.order.Remove(last)
		delete(c.byKey, old.key)
		c.tokens -= old.tokens
	}
}

// clear forgets everything.
func (c *partCache) clear() {
	c.order.Init()
	clear(c.byKey)
	c.tokens = 0
}

// StoreIndex is what a store of cache entries holds, by its own events. It is
// safe for concurrent use.
type StoreIndex struct {
	mu    sync.RWMutex
	alive bool
	held  map[storeKey]struct{}
}

type storeKey struct{ salt, part string }

// NewStoreIndex returns the index of a store that was not heard yet.
func NewStoreIndex() *StoreIndex { return &StoreIndex{held: map[storeKey]struct{}{}} }

// Reset forgets everything, as after a restart of the store.
func (s *StoreIndex) Reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.held)
}

// SetAlive records whether the store answers.
func (s *StoreIndex) SetAlive(alive bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.alive = alive
}

// Alive reports whether the store answers.
func (s *StoreIndex) Alive() bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.alive
}

// Put records that the store holds a part.
func (s *StoreIndex) Put(salt, part string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held[storeKey{salt, part}] = struct{}{}
}

// Remove records that the store has dropped a part.
func (s *StoreIndex) Remove(salt, part string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.held, storeKey{salt, part})
}

// Len returns the number of parts.
func (s *StoreIndex) Len() int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return len(s.held)
}

// Leading returns how many of the leading parts the store holds; 0 while it
// does not answer.
func (s *StoreIndex) Leading(salt string, parts []Part) int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if !s.alive {
		return 0
	}
	for i, p := range parts {
		if _, ok := s.held[storeKey{salt, p.ID}]; !ok {
			return i
		}
	}
	return len(parts)
}
