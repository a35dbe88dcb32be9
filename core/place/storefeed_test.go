package place_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/core/place"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// cacheStore is a store that numbers its events.
type cacheStore struct {
	epoch  int64
	events []place.StoreEvent
	held   map[string]bool
}

func (s *cacheStore) change(part string, added bool) {
	s.events = append(s.events, place.StoreEvent{Added: added, Salt: "s", Part: part})
	s.held[part] = added
}

func (s *cacheStore) read(from int64) place.StorePage {
	end := int64(len(s.events))
	return place.StorePage{Epoch: s.epoch, From: from, Next: end, Events: s.events[min(from, end):]}
}

// Pattern: twenty routers of a failure domain follow one cache store, and one of them
// reads it for all. Guards against an index that differs from the store after lost,
// repeated and reordered messages, and against each router reading for itself.
func TestSharedStoreFeedFollowsTheStore(t *testing.T) {
	const routers, rounds = 20, 400
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		store := &cacheStore{epoch: 1, held: map[string]bool{}}
		var feeds []*place.StoreFeed
		for range routers {
			feeds = append(feeds, place.NewStoreFeed())
		}
		now, reads := proto.Instant(time.Hour), 0
		var late []place.StorePage
		for range rounds {
			now = now.Add(500 * time.Millisecond)
			for range rng.IntN(4) {
				store.change(fmt.Sprint(rng.IntN(30)), rng.IntN(2) == 0)
			}
			for i, f := range feeds {
				if !f.NeedsRead(now, i == 0) {
					continue
				}
				reads++
				page := store.read(f.Next())
				f.ApplyRead(now, page, false)
				if i > 0 {
					continue
				}
				late = append(late, page)
				for _, other := range feeds[1:] {
					if rng.IntN(50) > 0 {
						other.ApplyShared(now, page)
					}
					if rng.IntN(50) == 0 {
						other.ApplyShared(now, late[rng.IntN(len(late))])
					}
				}
			}
		}
		for i, f := range feeds {
			f.ApplyRead(now, store.read(f.Next()), false)
			for part, held := range store.held {
				if got := f.Index.LeadingParts("s", []place.Part{{ID: part}}) == 1; got != held {
					t.Fatalf("seed %d, router %d: part %s held %t, the store says %t", seed, i, part, got, held)
				}
			}
		}
		if most := rounds * routers / 8; reads > most {
			t.Errorf("seed %d: %d reads, want at most %d", seed, reads, most)
		}
	}
}

// Guards against an index that stays as it was while the router that reads the store is
// gone, or has lost it.
func TestStoreIsReadWithoutReader(t *testing.T) {
	f := place.NewStoreFeed()
	now := proto.Instant(time.Hour)
	if !f.NeedsRead(now, false) {
		t.Error("a store that was never read is not read")
	}
	f.ApplyRead(now, place.StorePage{Epoch: 1}, false)
	if f.NeedsRead(now.Add(time.Second), false) {
		t.Error("the store is read although a peer has read it a second ago")
	}
	if !f.NeedsRead(now.Add(3*time.Second), false) {
		t.Error("the store is not read after 3 s without a peer")
	}
}

// Guards against the entries of a store that has restarted empty.
func TestSharedStoreFeedNoticesRestart(t *testing.T) {
	f := place.NewStoreFeed()
	now := proto.Instant(time.Hour)
	f.ApplyRead(now, place.StorePage{Epoch: 1, Next: 1, Events: []place.StoreEvent{{Added: true, Salt: "s", Part: "p"}}}, false)
	if f.ApplyShared(now, place.StorePage{Epoch: 2, From: 0, Next: 0}) || !f.NeedsRead(now, false) {
		t.Error("a page of another epoch was applied")
	}
}
