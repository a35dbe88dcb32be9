package place

import (
	"container/list"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// Part is one piece of a prompt. Requests whose prompts begin with the same
// parts can use each other's cache entries for them.
type Part struct {
	ID     string
	Tokens int64
}

// PartKey identifies a part together with the salt under which it is cached. An
// engine can use a part only if it holds all parts before it, too.
type PartKey uint64

// KeyOf returns the key of a part.
func KeyOf(salt, part string) PartKey {
	return PartKey(xxhash.Sum64String(salt + "\x00" + part))
}

// Keys returns the key of each part of a prompt.
func Keys(salt string, parts []Part) []PartKey {
	keys := make([]PartKey, len(parts))
	for i, p := range parts {
		keys[i] = KeyOf(salt, p.ID)
	}
	return keys
}

// unconfirmedLife is how long a part counts as held that should have been read
// by now, without an event that tells so: the events are read every few seconds.
const unconfirmedLife = 5 * time.Second

// heldPart is a part that an endpoint is believed to hold.
type heldPart struct {
	key    PartKey
	tokens int64
	// readyAt is when the endpoint will have read the part.
	readyAt proto.Instant
	// trustedUntil ends the belief in a part that is not confirmed.
	trustedUntil proto.Instant
	// confirmed is set once the endpoint has told that it holds the part.
	confirmed bool
}

// expectedPart returns a part that an endpoint should have read at a time.
func expectedPart(key PartKey, tokens int64, readyAt proto.Instant) heldPart {
	return heldPart{key: key, tokens: tokens, readyAt: readyAt, trustedUntil: readyAt.Add(unconfirmedLife)}
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
func (c *partCache) held(now proto.Instant, key PartKey) (heldPart, bool) {
	e, ok := c.byKey[key]
	if !ok {
		return heldPart{}, false
	}
	p := e.Value.(heldPart)
	return p, p.confirmed || now < p.trustedUntil
}

// use records that the endpoint holds or will hold a part, and forgets what
// that displaces.
func (c *partCache) use(p heldPart) {
	if e, ok := c.byKey[p.key]; ok {
		old := e.Value.(heldPart)
		p.readyAt = min(p.readyAt, old.readyAt)
		p.confirmed = p.confirmed || old.confirmed
		e.Value = p
		c.order.MoveToFront(e)
		return
	}
	c.byKey[p.key] = c.order.PushFront(p)
	c.tokens += p.tokens
	c.evict()
}

// resize sets the tokens that the endpoint can hold.
func (c *partCache) resize(capacity int64) {
	c.capacity = capacity
	c.evict()
}

// evict forgets what the endpoint has no room for.
func (c *partCache) evict() {
	for c.tokens > c.capacity && c.order.Len() > 1 {
		c.remove(c.order.Back().Value.(heldPart).key)
	}
}

// remove records that the endpoint does not hold a part.
func (c *partCache) remove(key PartKey) {
	e, ok := c.byKey[key]
	if !ok {
		return
	}
	c.order.Remove(e)
	delete(c.byKey, key)
	c.tokens -= e.Value.(heldPart).tokens
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

// LeadingParts returns how many of the leading parts the store holds; 0 while it
// does not answer.
func (s *StoreIndex) LeadingParts(salt string, parts []Part) int {
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
