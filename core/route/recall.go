package route

import (
	"sync"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

const (
	recallShards = 64
	// recallWays is the number of entries that a hash can occupy; the one
	// unused for longest is replaced.
	recallWays = 4
	// entryBytes is the size of a recallEntry, for the memory bound.
	entryBytes = 88
	// maxHolders is the number of endpoints remembered per block.
	maxHolders = 3
	// useWindow is the period over which uses of a prefix are counted.
	useWindow = 2 * time.Second
	// predictionLife protects a predicted holder from an older answer: an
	// agent reports the match from before it prefills the request.
	predictionLife = 3 * time.Second
)

// holder is what was last learned of one endpoint and one block.
type holder struct {
	at proto.Instant
	// tag identifies the endpoint's incarnation; 0 marks a free place.
	tag uint32
	num uint16
	// absent is set when the endpoint reported that it lacks the block.
	absent bool
	// predicted is set when the block is expected from a dispatch.
	predicted bool
}

// recallEntry is what is remembered of one block, and the spread of the
// prefix that ends with it.
type recallEntry struct {
	hash    uint64
	used    proto.Instant
	window  proto.Instant
	calm    proto.Instant
	holders [maxHolders]holder
	uses    uint16
	// spread is the number of homes beyond the first.
	spread uint8
}

// find returns the holder with the given tag, or nil.
func (e *recallEntry) find(tag uint32) *holder {
	for i := range e.holders {
		if e.holders[i].tag == tag && tag != 0 {
			return &e.holders[i]
		}
	}
	return nil
}

// put records h, in place of what is known of the same endpoint or, failing
// that, of the oldest. An absence does not displace the holder of a block,
// which is worth more.
func (e *recallEntry) put(h holder) {
	place := &e.holders[0]
	for i := range e.holders {
		other := &e.holders[i]
		if other.num == h.num && other.tag != 0 {
			place = other
			break
		}
		if other.rank() < place.rank() || other.rank() == place.rank() && other.at < place.at {
			place = other
		}
	}
	if h.absent && place.rank() == rankHolds && place.num != h.num {
		return
	}
	keepsPrediction := h.absent && place.num == h.num && place.tag == h.tag &&
		place.predicted && h.at.Sub(place.at) < predictionLife
	if !keepsPrediction {
		*place = h
	}
}

// Ranks of what a holder says, the first to be replaced first.
const (
	rankFree = iota
	rankAbsent
	rankHolds
)

func (h *holder) rank() int {
	switch {
	case h.tag == 0:
		return rankFree
	case h.absent:
		return rankAbsent
	}
	return rankHolds
}

// count adds one use and returns the uses in the current window.
func (e *recallEntry) count(now proto.Instant) uint16 {
	if now.Sub(e.window) >= useWindow {
		e.window, e.uses = now, e.uses/2
	}
	if e.uses < 1<<15 {
		e.uses++
	}
	return e.uses
}

// recall is a bounded, set-associative table of entries by block hash.
type recall struct {
	sets   uint64
	shards [recallShards]recallShard
}

type recallShard struct {
	mu      sync.Mutex
	entries []recallEntry
}

// newRecall returns a table of at most the given size in bytes, and at least
// one set per shard.
func newRecall(bytes int) *recall {
	perShard := max(1, bytes/entryBytes/recallWays/recallShards)
	r := &recall{sets: uint64(perShard)}
	for i := range r.shards {
		r.shards[i].entries = make([]recallEntry, perShard*recallWays)
	}
	return r
}

// get copies the entry of hash into out and reports whether there is one.
func (r *recall) get(hash uint64, out *recallEntry) bool {
	shard, set := r.locate(hash)
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

// update calls change on the entry of hash, which replaces the entry of the
// set that was unused for longest if it is new.
func (r *recall) update(now proto.Instant, hash uint64, change func(*recallEntry)) {
	shard, set := r.locate(hash)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	oldest := &set[0]
	for i := range set {
		if set[i].hash == hash {
			oldest = &set[i]
			break
		}
		if set[i].used < oldest.used {
			oldest = &set[i]
		}
	}
	if oldest.hash != hash {
		*oldest = recallEntry{hash: hash, window: now}
	}
	oldest.used = now
	change(oldest)
}

func (r *recall) locate(hash uint64) (*recallShard, []recallEntry) {
	spread := mix(hash)
	shard := &r.shards[spread%recallShards]
	set := spread / recallShards % r.sets * recallWays
	return shard, shard.entries[set : set+recallWays]
}
