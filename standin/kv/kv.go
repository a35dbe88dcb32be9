// Package kv simulates the KV cache store for tests and development.
package kv

import (
	"container/list"

	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/standin/faultqueue"
)

// Addr is the address of the KV cache store.
var Addr = proto.Addr{Role: proto.RoleKV}

// Put asks the store to save blocks.
type Put struct {
	Blocks []proto.BlockHash `json:"blocks"`
}

// Get asks how many leading blocks are stored.
type Get struct {
	Call   uint64            `json:"call"`
	Blocks []proto.BlockHash `json:"blocks"`
}

// Held is the response to a Get.
type Held struct {
	Call   uint64 `json:"call"`
	Blocks int    `json:"blocks"`
}

// Kind implements proto.Message.
func (Put) Kind() proto.Kind { return "Put" }

// Kind implements proto.Message.
func (Get) Kind() proto.Kind { return "Get" }

// Kind implements proto.Message.
func (Held) Kind() proto.Kind { return "Held" }

// LRU is a bounded set of blocks that evicts the least recently used block. It is
// also the prefix cache of the engine stand-in.
type LRU struct {
	capacity int
	order    *list.List
	items    map[proto.BlockHash]*list.Element
}

// NewLRU returns an empty set that holds up to capacity blocks.
func NewLRU(capacity int) *LRU {
	return &LRU{capacity: capacity, order: list.New(), items: map[proto.BlockHash]*list.Element{}}
}

// MatchPrefix returns the number of leading blocks in the set and marks them as used.
func (l *LRU) MatchPrefix(blocks []proto.BlockHash) int {
	for i, b := range blocks {
		el, ok := l.items[b]
		if !ok {
			return i
		}
		l.order.MoveToFront(el)
	}
	return len(blocks)
}

// PeekPrefix returns the number of leading blocks in the set without marking them as
// used.
func (l *LRU) PeekPrefix(blocks []proto.BlockHash) int {
	for i, b := range blocks {
		if _, ok := l.items[b]; !ok {
			return i
		}
	}
	return len(blocks)
}

// Add inserts blocks and returns those that were new and those that were evicted.
// The first block becomes the most recently used, because a block is of no use
// without the blocks before it and must not be evicted before them.
func (l *LRU) Add(blocks []proto.BlockHash) (added, evicted []proto.BlockHash) {
	if len(blocks) > l.capacity {
		blocks = blocks[:l.capacity]
	}
	for i := len(blocks) - 1; i >= 0; i-- {
		b := blocks[i]
		if el, ok := l.items[b]; ok {
			l.order.MoveToFront(el)
			continue
		}
		l.items[b] = l.order.PushFront(b)
		added = append(added, b)
	}
	for l.order.Len() > l.capacity {
		b := l.order.Remove(l.order.Back()).(proto.BlockHash)
		delete(l.items, b)
		evicted = append(evicted, b)
	}
	return added, evicted
}

// All returns the blocks, most recently used first.
func (l *LRU) All() []proto.BlockHash {
	all := make([]proto.BlockHash, 0, l.order.Len())
	for el := l.order.Front(); el != nil; el = el.Next() {
		all = append(all, el.Value.(proto.BlockHash))
	}
	return all
}

// Config holds the capacity and the faults of the store.
type Config struct {
	Seed   uint64
	Faults faultqueue.Faults
	// Blocks is the capacity in blocks; 0 means 65,536.
	Blocks int
}

// Store simulates the KV cache store. It implements proto.Machine.
type Store struct {
	out *faultqueue.Queue
	now proto.Instant
	lru *LRU
}

// New returns an empty store.
func New(cfg Config) *Store {
	if cfg.Blocks == 0 {
		cfg.Blocks = 65536
	}
	return &Store{out: faultqueue.New(Addr, cfg.Seed, cfg.Faults), lru: NewLRU(cfg.Blocks)}
}

// Queue returns the send queue, which injects the faults of responses.
func (s *Store) Queue() *faultqueue.Queue { return s.out }

// Export stores blocks. Engines in the same driver call it directly.
func (s *Store) Export(blocks []proto.BlockHash) { s.lru.Add(blocks) }

// Import returns the number of leading blocks in the store and marks them as used.
func (s *Store) Import(blocks []proto.BlockHash) int { return s.lru.MatchPrefix(blocks) }

// Step implements proto.Machine.
func (s *Store) Step(now proto.Instant, in proto.Envelope) {
	s.Tick(now)
	switch m := in.Msg.(type) {
	case Put:
		if !s.out.ShouldRefuse() {
			s.Export(m.Blocks)
		}
	case Get:
		if !s.out.NoResponse() {
			s.out.Send(s.now, in.From, Held{Call: m.Call, Blocks: s.Import(m.Blocks)})
		}
	}
}

// Tick implements proto.Machine.
func (s *Store) Tick(now proto.Instant) { s.now = max(s.now, now) }

// Wake implements proto.Machine.
func (s *Store) Wake() proto.Instant { return s.out.Wake() }

// Take implements proto.Machine.
func (s *Store) Take() []proto.Envelope { return s.out.TakeDue(s.now) }
