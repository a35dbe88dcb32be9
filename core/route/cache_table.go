package route

import (
	"sync"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

const (
	cacheShards = 64
	// cacheWays is the number of entries in a set, of which the least recently
	// used one is replaced.
	cacheWays = 4
	// cacheEntryBytes is the size of a cacheEntry in memory, by which newCacheTable
	// keeps the table within its size limit.
	cacheEntryBytes = 88
	// maxStates is the number of endpoints recorded per block.
	maxStates = 3
	// useWindow is the period over which uses of a prefix are counted.
	useWindow = 2 * time.Second
	// predictionTTL is how long after a dispatch a report that the endpoint lacks a
	// block is ignored, because an agent reports the match as it was before the
	// request's prefill.
	predictionTTL = 3 * time.Second
)

// cacheState is the last known state of one block in one endpoint's cache.
type cacheState struct {
	// at is when the state was reported or predicted.
	at proto.Instant
	// tag identifies the endpoint's incarnation; 0 marks an unused state.
	tag uint32
	// number is the endpoint's index in snapshot.byNumber.
	number uint16
	// absent is set if the endpoint reported that it does not cache the block.
	absent bool
	// predicted is set if the state follows from a dispatch instead of a report.
	predicted bool
}

// cacheEntry holds the states of one block at several endpoints, and the spread of
// the prefix that ends with the block.
type cacheEntry struct {
	hash     uint64
	lastUsed proto.Instant
	// windowStart is the start of the useWindow that uses counts.
	windowStart proto.Instant
	// busyAt is when the queue delay at the homes was last too long to narrow the
	// spread, or when the spread last narrowed.
	busyAt proto.Instant
	states [maxStates]cacheState
	uses   uint16
	// spread is the number of homes in use beyond the first.
	spread uint8
}

// find returns the state with the given tag, or nil.
func (e *cacheEntry) find(tag uint32) *cacheState {
	for i := range e.states {
		if e.states[i].tag == tag && tag != 0 {
			return &e.states[i]
		}
	}
	return nil
}

// record stores a state in place of the same endpoint's earlier one or, if there is
// none, of the one with the lowest rank and, among equals, the oldest. An absent block
// does not replace a cached one of another endpoint, which is more useful.
func (e *cacheEntry) record(state cacheState) {
	replaced := &e.states[0]
	for i := range e.states {
		other := &e.states[i]
		if other.number == state.number && other.tag != 0 {
			replaced = other
			break
		}
		if other.rank() < replaced.rank() || other.rank() == replaced.rank() && other.at < replaced.at {
			replaced = other
		}
	}
	if state.absent && replaced.rank() == rankCached && replaced.number != state.number {
		return
	}
	keepsPrediction := state.absent && replaced.number == state.number && replaced.tag == state.tag &&
		replaced.predicted && state.at.Sub(replaced.at) < predictionTTL
	if !keepsPrediction {
		*replaced = state
	}
}

// Ranks of states, in the order in which they are replaced.
const (
	rankFree = iota
	rankAbsent
	rankCached
)

func (s *cacheState) rank() int {
	switch {
	case s.tag == 0:
		return rankFree
	case s.absent:
		return rankAbsent
	}
	return rankCached
}

// countUse counts one use and returns the uses in the current window, to which half
// of the previous count carries over.
func (e *cacheEntry) countUse(now proto.Instant) uint16 {
	if now.Sub(e.windowStart) >= useWindow {
		e.windowStart, e.uses = now, e.uses/2
	}
	if e.uses < 1<<15 {
		e.uses++
	}
	return e.uses
}

// cacheTable records which endpoints cache which blocks. It is a set-associative
// table of entries by block hash, of fixed size.
type cacheTable struct {
	sets   uint64
	shards [cacheShards]cacheShard
}

type cacheShard struct {
	mu      sync.Mutex
	entries []cacheEntry
}

// newCacheTable returns a table of at most the given size in bytes, but with at least
// one set per shard.
func newCacheTable(bytes int) *cacheTable {
	perShard := max(1, bytes/cacheEntryBytes/cacheWays/cacheShards)
	t := &cacheTable{sets: uint64(perShard)}
	for i := range t.shards {
		t.shards[i].entries = make([]cacheEntry, perShard*cacheWays)
	}
	return t
}

// get copies the entry of hash into out and reports whether it exists.
func (t *cacheTable) get(hash uint64, out *cacheEntry) bool {
	shard, set := t.locate(hash)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	for i := range set {
		if set[i].hash == hash {
			*out = set[i]
			return true
		}
	}
	return false
}

// update calls change on the entry of hash. A new entry replaces the least recently
// used one of its set.
func (t *cacheTable) update(now proto.Instant, hash uint64, change func(*cacheEntry)) {
	shard, set := t.locate(hash)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	entry := &set[0]
	for i := range set {
		if set[i].hash == hash {
			entry = &set[i]
			break
		}
		if set[i].lastUsed < entry.lastUsed {
			entry = &set[i]
		}
	}
	if entry.hash != hash {
		*entry = cacheEntry{hash: hash, windowStart: now}
	}
	entry.lastUsed = now
	change(entry)
}

// locate returns the shard and the set that may contain the entry of hash.
func (t *cacheTable) locate(hash uint64) (*cacheShard, []cacheEntry) {
	mixed := mix(hash)
	shard := &t.shards[mixed%cacheShards]
	set := mixed / cacheShards % t.sets * cacheWays
	return shard, shard.entries[set : set+cacheWays]
}
