package prefix

import (
	"testing"

	"github.com/kumquatsill/kumquatsill/core/proto"
	"pgregory.net/rapid"
)

// Guards against a lookup that matches a block which the engine does not hold,
// after any mix of lost, late and duplicate events and of lists.
func TestLookupNeverClaimsTooMuch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := New("a")
		held := map[proto.BlockHash]bool{}
		var sent []proto.CacheEvent
		seq := uint64(0)
		delivered := true
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			block := proto.BlockHash(rapid.IntRange(1, 4).Draw(t, "block"))
			switch rapid.IntRange(0, 5).Draw(t, "op") {
			case 0, 1, 2:
				seq++
				event := proto.CacheEvent{Seq: seq, Added: []proto.BlockHash{block}}
				if held[block] {
					event = proto.CacheEvent{Seq: seq, Evicted: []proto.BlockHash{block}}
				}
				held[block] = !held[block]
				sent = append(sent, event)
				delivered = rapid.Bool().Draw(t, "deliver")
				if delivered {
					x.Events(proto.CacheEvents{Incarnation: "a", Events: []proto.CacheEvent{event}})
				}
			case 3, 4:
				if len(sent) > 0 {
					i := rapid.IntRange(0, len(sent)-1).Draw(t, "repeat")
					x.Events(proto.CacheEvents{Incarnation: "a", Events: sent[i : i+1]})
				}
				delivered = delivered || x.next == seq+1
			case 5:
				list := proto.CacheList{Incarnation: "a", AsOf: seq}
				for b, ok := range held {
					if ok {
						list.Blocks = append(list.Blocks, b)
					}
				}
				x.List(list)
				delivered = true
			}
			// The loss of the newest event is not detectable before a later
			// event arrives.
			if !delivered {
				continue
			}
			for b := proto.BlockHash(1); b <= 4; b++ {
				if x.Lookup("a", []proto.BlockHash{b}) == 1 && !held[b] {
					t.Fatalf("block %d matched after event %d, but the engine does not hold it", b, seq)
				}
			}
		}
	})
}

// Guards against an index that stays out of sync after a list, that accepts data
// of a previous incarnation, or that matches blocks before its first list.
func TestResync(t *testing.T) {
	x := New("a")
	blocks := []proto.BlockHash{1, 2, 3}
	want := func(n int) {
		t.Helper()
		if got := x.Lookup("a", blocks); got != n {
			t.Errorf("lookup %d, want %d", got, n)
		}
	}
	event := func(seq uint64, b proto.BlockHash) {
		x.Events(proto.CacheEvents{Incarnation: "a", Events: []proto.CacheEvent{{Seq: seq, Added: []proto.BlockHash{b}}}})
	}
	event(1, 1)
	want(0)
	x.List(proto.CacheList{Incarnation: "a", AsOf: 1, Blocks: []proto.BlockHash{1}})
	want(1)
	event(3, 3)
	want(0)
	event(2, 2)
	want(3)
	event(6, 6)
	want(0)
	x.List(proto.CacheList{Incarnation: "a", AsOf: 5, Blocks: []proto.BlockHash{1, 2}})
	want(2)
	if x.Lookup("b", blocks) != 0 {
		t.Error("another incarnation matched")
	}
	x.Reset("b")
	x.List(proto.CacheList{Incarnation: "a", AsOf: 9, Blocks: blocks})
	if x.Lookup("b", blocks) != 0 {
		t.Error("a list of a previous incarnation was applied")
	}
}

// Guards against an index that counts as synced although it dropped events when
// its buffer overflowed.
func TestPendingOverflow(t *testing.T) {
	x := New("a")
	x.List(proto.CacheList{Incarnation: "a", Blocks: []proto.BlockHash{1}})
	for seq := uint64(2); seq <= maxPending+3; seq++ {
		x.Events(proto.CacheEvents{Incarnation: "a", Events: []proto.CacheEvent{{Seq: seq}}})
	}
	x.Events(proto.CacheEvents{Incarnation: "a", Events: []proto.CacheEvent{{Seq: 1}}})
	if !x.NeedsList() || x.Lookup("a", []proto.BlockHash{1}) != 0 {
		t.Error("the index counts as synced although events were dropped")
	}
}
