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
// engine can reuse a cached part only if it also holds all preceding parts.
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

// unconfirmedLifetime is how long after its expected prefill a part counts as
// held without a cache event that confirms it: events are fetched every few
// seconds.
const unconfirmedLifetime = 5 * time.Second

// heldPart is a part that an endpoint is believed to hold.
type heldPart struct {
	key    PartKey
	tokens int64
	// readyAt is when the endpoint will have prefilled the part.
	readyAt proto.Instant
	// expiresAt is when a part that is not confirmed no longer counts as held.
	expiresAt proto.Instant
	// confirmed is set once a cache event of the endpoint has reported the part.
	confirmed bool
}

// expectedPart returns a part that an endpoint should have prefilled by readyAt.
func expectedPart(key PartKey, tokens int64, readyAt proto.Instant) heldPart {
	return heldPart{key: key, tokens: tokens, readyAt: readyAt, expiresAt: readyAt.Add(unconfirmedLifetime)}
}

// partCache models the cache of one endpoint: an LRU list whose last element is
// the least recently used part. It is not safe for concurrent use.
type partCache struct {
	capacity int64
	tokens   int64
	order    *list.List
	byKey    map[PartKey]*list.Element
}

func newPartCache(capacity int64) *partCache {
	return &partCache{capacity: capacity, order: list.New(), byKey: map[PartKey]*list.Element{}}
}

// lookup returns a part and whether the endpoint is believed to hold it.
func (c *partCache) lookup(now proto.Instant, key PartKey) (heldPart, bool) {
	e, ok := c.byKey[key]
	if !ok {
		return heldPart{}, false
	}
	p := e.Value.(heldPart)
	return p, p.confirmed || now < p.expiresAt
}

// put records that the endpoint holds or will hold a part, and evicts the parts
// that it displaces.
func (c *partCache) put(p heldPart) {
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

// resize sets the capacity in tokens.
func (c *partCache) resize(capacity int64) {
	c.capacity = capacity
	c.evict()
}

// evict removes the least recently used parts beyond the capacity.
func (c *partCache) evict() {
	for c.tokens > c.capacity && c.order.Len() > 1 {
		c.remove(c.order.Back().Value.(heldPart).key)
	}
}

// remove removes a part.
func (c *partCache) remove(key PartKey) {
	e, ok := c.byKey[key]
	if !ok {
		return
	}
	c.order.Remove(e)
	delete(c.byKey, key)
	c.tokens -= e.Value.(heldPart).tokens
}

// clear removes all parts.
func (c *partCache) clear() {
	c.order.Init()
	clear(c.byKey)
	c.tokens = 0
}

// StoreIndex lists the parts that a cache store holds, built from the store's
// events. It is safe for concurrent use.
type StoreIndex struct {
	mu      sync.RWMutex
	alive   bool
	entries map[storeKey]struct{}
}

type storeKey struct{ salt, part string }

// NewStoreIndex returns an empty index of a store that has not responded yet.
func NewStoreIndex() *StoreIndex { return &StoreIndex{entries: map[storeKey]struct{}{}} }

// Reset removes all parts, for example after a restart of the store.
func (s *StoreIndex) Reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.entries)
}

// SetAlive records whether the store responds.
func (s *StoreIndex) SetAlive(alive bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.alive = alive
}

// Alive reports whether the store responds.
func (s *StoreIndex) Alive() bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.alive
}

// Put records that the store holds a part.
func (s *StoreIndex) Put(salt, part string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries[storeKey{salt, part}] = struct{}{}
}

// Remove records that the store no longer holds a part.
func (s *StoreIndex) Remove(salt, part string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.entries, storeKey{salt, part})
}

// Len returns the number of parts.
func (s *StoreIndex) Len() int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return len(s.entries)
}

// LeadingParts returns how many of the leading parts the store holds, 0 while
// it does not respond.
func (s *StoreIndex) LeadingParts(salt string, parts []Part) int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if !s.alive {
		return 0
	}
	for i, p := range parts {
		if _, ok := s.entries[storeKey{salt, p.ID}]; !ok {
			return i
		}
	}
	return len(parts)
}
