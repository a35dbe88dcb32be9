// Package prefix keeps an exact index of the blocks that one engine
// incarnation holds, built from its cache events.
package prefix

import "github.com/kumquatsill/kumquatsill/core/proto"

// maxPending bounds the events kept while a list is awaited. Beyond it they
// are dropped, and another list is asked for.
const maxPending = 4096

// Stats counts what the index met.
type Stats struct {
	Gaps, Duplicates, Stale, Resyncs int64
}

// Index is the content of one engine's cache. It is in doubt from its
// creation, and from each gap, until a list arrives that closes the gap. It
// is not safe for concurrent use.
type Index struct {
	incarnation proto.Incarnation
	held        map[proto.BlockHash]struct{}
	// next is the number of the next event to apply, once synced.
	next uint64
	// newest is the highest event number seen; the index is in doubt until
	// everything up to it is applied.
	newest  uint64
	synced  bool
	pending map[uint64]proto.CacheEvent
	stats   Stats
}

// New returns the index of an engine incarnation; it holds nothing until the
// first list.
func New(life proto.Incarnation) *Index {
	x := &Index{}
	x.Reset(life)
	return x
}

// Reset forgets everything and starts on another incarnation.
func (x *Index) Reset(life proto.Incarnation) {
	x.incarnation = life
	x.held = map[proto.BlockHash]struct{}{}
	x.pending = map[uint64]proto.CacheEvent{}
	x.next, x.newest = 0, 0
	x.synced = false
}

// Incarnation returns the engine incarnation that the index describes.
func (x *Index) Incarnation() proto.Incarnation { return x.incarnation }

// Stats returns the counters.
func (x *Index) Stats() Stats { return x.stats }

// NeedsList reports whether the caller should send a CacheListRequest.
func (x *Index) NeedsList() bool { return !x.synced }

// Len returns the number of blocks held, 0 while in doubt.
func (x *Index) Len() int {
	if !x.synced {
		return 0
	}
	return len(x.held)
}

// Events applies a batch. Batches of another incarnation are dropped.
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
		x.keep(event)
	case event.Seq < x.next:
		x.stats.Duplicates++
	case event.Seq > x.next:
		x.stats.Gaps++
		x.synced = false
		x.keep(event)
	default:
		x.apply(event)
	}
}

func (x *Index) keep(event proto.CacheEvent) {
	if len(x.pending) >= maxPending {
		clear(x.pending)
	}
	x.pending[event.Seq] = event
	x.catchUp()
}

// catchUp closes a gap with a late event, without a list. It has no effect
// before the first list, as next is then unknown.
func (x *Index) catchUp() {
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

// List takes in the full content as of an event number. A list of another
// incarnation, or one older than the index, has no effect.
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
	x.catchUp()
}

// Lookup returns how many leading blocks the engine holds, 0 while the index
// is in doubt or describes another incarnation.
func (x *Index) Lookup(life proto.Incarnation, blocks []proto.BlockHash) int {
	if !x.synced || life != x.incarnation {
		return 0
	}
	for i, block := range blocks {
		if _, ok := x.held[block]; !ok {
			return i
		}
	}
	return len(blocks)
}
