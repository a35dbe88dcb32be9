package place

import (
	"sync"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// maxSharedSilence is how long a router relies on a peer that reads a store for it
// before it reads the store itself. The peer passes on each read, and a read waits for
// an event for less than a second.
const maxSharedSilence = 2500 * time.Millisecond

// StoreEvent is one change of the contents of a cache store.
type StoreEvent struct {
	Added bool   `json:"add,omitempty"`
	Salt  string `json:"salt"`
	Part  string `json:"part"`
}

// StorePage is the result of one read of a store's events.
type StorePage struct {
	// Epoch changes when the store restarts.
	Epoch int64 `json:"epoch"`
	// From and Next are the sequence numbers from which this read and the following
	// one continue.
	From int64 `json:"from"`
	Next int64 `json:"next"`
	// Gap is set if events before Events were lost.
	Gap    bool         `json:"gap,omitempty"`
	Events []StoreEvent `json:"events,omitempty"`
}

// StoreFeed keeps the index of one store up to date, from reads of the store by this
// router or by a peer that passes them on. It is safe for concurrent use.
type StoreFeed struct {
	Index *StoreIndex

	mu    sync.Mutex
	epoch int64
	next  int64
	// known is set once a read has returned the epoch, and reset when events were
	// missed.
	known bool
	// currentAt is when the index was last brought up to date.
	currentAt proto.Instant
}

// NewStoreFeed returns a feed with an empty index.
func NewStoreFeed() *StoreFeed { return &StoreFeed{Index: NewStoreIndex()} }

// Next returns the sequence number from which to read.
func (f *StoreFeed) Next() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.next
}

// NeedsRead reports whether this router has to read the store: if it is the reader, and
// if the index is not kept up to date by a peer.
func (f *StoreFeed) NeedsRead(now proto.Instant, isReader bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return isReader || !f.known || now.Sub(f.currentAt) > maxSharedSilence
}

// MissedEvents reports whether events are missing before a page that this router has
// read, because the store restarted or has dropped them, so that its contents have to
// be listed.
func (f *StoreFeed) MissedEvents(p StorePage) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.known && (p.Epoch != f.epoch || p.Gap)
}

// ApplyRead applies a page that this router has read. If reset is set, the page lists
// the whole contents.
func (f *StoreFeed) ApplyRead(now proto.Instant, p StorePage, reset bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if reset {
		f.Index.Reset()
	}
	f.apply(now, p)
}

// ApplyShared applies a page that a peer has read and reports whether it could be
// applied. Pages may be lost, repeated and reordered; after a loss this router reads the
// store itself.
func (f *StoreFeed) ApplyShared(now proto.Instant, p StorePage) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.known {
		return false
	}
	if p.Epoch != f.epoch || p.From > f.next || p.Gap {
		f.known = false
		return false
	}
	if p.Next < f.next {
		return true // an old page
	}
	f.apply(now, p)
	return true
}

// apply applies the events of a page; mu must be held.
func (f *StoreFeed) apply(now proto.Instant, p StorePage) {
	for _, e := range p.Events {
		if e.Added {
			f.Index.Put(e.Salt, e.Part)
		} else {
			f.Index.Remove(e.Salt, e.Part)
		}
	}
	f.epoch, f.next, f.known, f.currentAt = p.Epoch, p.Next, true, now
	f.Index.SetAlive(true)
}
