// Package prefix keeps an exact index of the blocks that one engine
// incarnation holds, built from its cache events.
package prefix

import "github.com/kumquatsill/kumquatsill/core/proto"

// maxPending bounds the number of events buffered while the index is out of
// sync. On overflow the buffer is dropped, and another list is needed.
const maxPending = 4096

// Stats counts irregularities in the event stream and resynchronizations.
type Stats struct {
	// Gaps counts gaps in the sequence, Duplicates events that were already
	// applied, Stale batches of another incarnation and unusable lists, Resyncs
	// applied lists.
	Gaps, Duplicates, Stale, Resyncs int64
}

// Index is the content of one engine's cache. It is out of sync from its creation
// until the first list, and from each gap until the missing events or a list
// that covers them arrive. It is not safe for concurrent use.
type Index struct {
	incarnation proto.Incarnation
	held        map[proto.BlockHash]struct{}
	// next is the sequence number of the next event to apply, or 0 before the
	// first list.
	next uint64
	// newest is the highest sequence number seen. The index is out of sync until
	// all events up to it are applied.
	newest uint64
	synced bool
	// pending buffers events that cannot be applied yet, by sequence number.
	pending map[uint64]proto.CacheEvent
	stats   Stats
}

// New returns the index of an engine incarnation. It matches nothing until the
// first list.
func New(engine proto.Incarnation) *Index {
	x := &Index{}
	x.Reset(engine)
	return x
}

// Reset empties the index and assigns it to another engine incarnation.
func (x *Index) Reset(engine proto.Incarnation) {
	x.incarnation = engine
	x.held = map[proto.BlockHash]struct{}{}
	x.pending = map[uint64]proto.CacheEvent{}
	x.next, x.newest = 0, 0
	x.synced = false
}

// Incarnation returns the engine incarnation that the index describes.
func (x *Index) Incarnation() proto.Incarnation { return x.incarnation }

// Stats returns the counters.
func (x *Index) Stats() Stats { return x.stats }

// NeedsList reports whether the index is out of sync, so that the caller should
// send a CacheListRequest.
func (x *Index) NeedsList() bool { return !x.synced }

// Len returns the number of cached blocks, 0 while out of sync.
func (x *Index) Len() int {
	if !x.synced {
		return 0
	}
	return len(x.held)
}

// Events applies a batch of cache events. Batches of another incarnation are
// dropped.
func (x *Index) Events(batch proto.CacheEvents) {
	if batch.Incarnation != x.incarnation {
		x.stats.Stale++
		return
	}
	for _, event := range batch.Events {
		x.newest = max(x.newest, event.Seq)
		x.event(event)
	}
}

func (x *Index) event(event proto.CacheEvent) {
	switch {
	case !x.synced:
		x.buffer(event)
	case event.Seq < x.next:
		x.stats.Duplicates++
	case event.Seq > x.next:
		x.stats.Gaps++
		x.synced = false
		x.buffer(event)
	default:
		x.apply(event)
	}
}

func (x *Index) buffer(event proto.CacheEvent) {
	if len(x.pending) >= maxPending {
		clear(x.pending)
	}
	x.pending[event.Seq] = event
	x.applyPending()
}

// applyPending applies buffered events in sequence, so that late events can close
// a gap without a list. It has no effect before the first list, as next is then
// unknown.
func (x *Index) applyPending() {
	if x.next == 0 {
		return
	}
	for {
		event, ok := x.pending[x.next]
		if !ok {
			break
		}
		delete(x.pending, x.next)
		x.apply(event)
	}
	for seq := range x.pending {
		if seq < x.next {
			delete(x.pending, seq)
		}
	}
	x.synced = x.next > x.newest
}

func (x *Index) apply(event proto.CacheEvent) {
	if event.Cleared {
		clear(x.held)
	}
	for _, block := range event.Evicted {
		delete(x.held, block)
	}
	for _, block := range event.Added {
		x.held[block] = struct{}{}
	}
	x.next = event.Seq + 1
}

// List replaces the content by a full list as of a sequence number. A list of
// another incarnation, or one older than the index, has no effect.
func (x *Index) List(list proto.CacheList) {
	if list.Incarnation != x.incarnation || list.AsOf+1 < x.next {
		x.stats.Stale++
		return
	}
	x.held = make(map[proto.BlockHash]struct{}, len(list.Blocks))
	for _, block := range list.Blocks {
		x.held[block] = struct{}{}
	}
	x.next = list.AsOf + 1
	x.stats.Resyncs++
	x.applyPending()
}

// Lookup returns how many leading blocks the engine has cached, 0 while the index
// is out of sync or belongs to another incarnation.
func (x *Index) Lookup(engine proto.Incarnation, blocks []proto.BlockHash) int {
	if !x.synced || engine != x.incarnation {
		return 0
	}
	for i, block := range blocks {
		if _, ok := x.held[block]; !ok {
			return i
		}
	}
	return len(blocks)
}
