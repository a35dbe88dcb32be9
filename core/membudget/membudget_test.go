package membudget

import (
	"fmt"
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

const (
	mib    = 1 << 20
	memory = 112 * mib // a budget of 56 MiB, 28 of them for large bodies
	start  = proto.Instant(time.Hour)
)

func newBudget() *Budget {
	b := New()
	b.SetMemory(memory)
	return b
}

// fill lets holders of one client take n bytes each until one is refused, and returns them.
func fill(b *Budget, now proto.Instant, account, address string, n int64) []*Holder {
	var holders []*Holder
	for {
		h := b.NewHolder(now, Bodies, account, address, func() {})
		if !h.Grow(now, n).OK {
			return holders
		}
		holders = append(holders, h)
	}
}

// Guards against a crowd whose bodies together exceed the budget, and against one client that
// leaves nothing of the large part to others, by account as by address.
func TestCrowdLeavesRoomForOthers(t *testing.T) {
	for _, size := range []int64{SmallBytes, mib, 4 * mib} {
		b := newBudget()
		fill(b, start, "crowd", "10.0.0.1", size)
		other := b.NewHolder(start, Bodies, "other", "10.0.0.2", func() {})
		if !other.Grow(start, size).OK {
			t.Errorf("%d bytes: another client is refused beside the crowd", size)
		}
		small := b.NewHolder(start, Bodies, "third", "10.0.0.3", func() {})
		if !small.Grow(start, tinyBytes).OK {
			t.Errorf("%d bytes: a small body is refused beside the crowd", size)
		}
		if b.total > b.limit || b.large > b.largeLimit {
			t.Errorf("%d bytes: %d held of %d, %d large of %d", size, b.total, b.limit, b.large, b.largeLimit)
		}
	}
}

// Guards against many accounts or addresses that together exceed the budget.
func TestManyClientsStayWithinTheBudget(t *testing.T) {
	b := newBudget()
	for i := range 2000 {
		h := b.NewHolder(start, Bodies, fmt.Sprint("a", i), fmt.Sprint("h", i), func() {})
		h.Grow(start, int64(1+i%4)*mib)
	}
	if b.total > b.limit || b.large > b.largeLimit {
		t.Errorf("%d held of %d, %d large of %d", b.total, b.limit, b.large, b.largeLimit)
	}
}

// Guards against a single large body that is refused on a host whose budget is smaller, or
// whose connections take most of it.
func TestSingleLargeBodyIsAlwaysTaken(t *testing.T) {
	b := New()
	b.SetMemory(8 * mib)
	b.AddConnections(int64(ConnectionLimit(8*mib, 0)))
	h := b.NewHolder(start, Bodies, "a", "h", func() {})
	if !h.Grow(start, SmallBytes/2).OK || !h.Grow(start, 4*mib-SmallBytes/2).OK {
		t.Error("the body is refused")
	}
}

// Guards against bodies without progress that keep their memory while others are refused, and
// against a reclaimed body that makes progress and is chosen.
func TestStalledBodiesMakeRoom(t *testing.T) {
	b := newBudget()
	crowd := fill(b, start, "crowd", "10.0.0.1", 4*mib)
	now := start.Add(2 * stalledAfter)
	crowd[0].Progress(now, progressBytes)
	h := b.NewHolder(now, Bodies, "crowd", "10.0.0.1", func() {})
	a := h.Grow(now, 4*mib)
	if a.OK || len(a.Interrupt) != 1 || a.Released == nil || a.Interrupt[0] == crowd[0] || a.Interrupt[0].Cause() != Stalled {
		t.Fatalf("%+v", a)
	}
	if again := b.NewHolder(now, Bodies, "crowd", "10.0.0.1", func() {}).Grow(now, mib); len(again.Interrupt) > 0 {
		t.Error("more is reclaimed than needed")
	}
	a.Interrupt[0].Release()
	<-a.Released
	if !h.Grow(now, 4*mib).OK {
		t.Error("the released memory is not granted")
	}
}

// Guards against a sender that keeps its memory by a byte now and then.
func TestTrickleIsNoProgress(t *testing.T) {
	h := newBudget().NewHolder(start, Bodies, "", "h", func() {})
	for i := range 100 {
		if h.Progress(start.Add(time.Duration(i)*time.Second), 1) {
			t.Fatal("one byte counts as progress")
		}
	}
}

// Guards against a client beyond its share that keeps all memory while its bodies make progress.
func TestClientBeyondItsShareMakesRoom(t *testing.T) {
	b := newBudget()
	fill(b, start, "crowd", "10.0.0.1", mib)
	other := b.NewHolder(start, Bodies, "other", "10.0.0.3", func() {})
	other.Grow(start, 4*mib)
	a := other.Grow(start, 4*mib)
	if a.OK || len(a.Interrupt) != 1 || a.Interrupt[0].account != "crowd" || a.Interrupt[0].Cause() != BeyondShare {
		t.Errorf("%+v", a)
	}
}

// Guards against memory that is counted after its release, or under the wrong kind.
func TestReleaseLeavesNothing(t *testing.T) {
	b := newBudget()
	h := b.NewHolder(start, Bodies, "a", "h", func() {})
	h.Grow(start, mib)
	h.Keep()
	if b.Held(KeptBodies) != mib || b.Held(Bodies) != 0 {
		t.Errorf("%d kept, %d read", b.Held(KeptBodies), b.Held(Bodies))
	}
	h.Release()
	h.Release()
	if b.total+b.large+b.reclaiming != 0 || b.largeHolders != 0 || len(b.accounts)+len(b.addresses)+len(b.holders) > 0 {
		t.Errorf("%+v", b)
	}
}

// Guards against connections beyond the limit, and against one with a request in progress, or
// of another address, that is closed for a crowd.
func TestCrowdOfConnections(t *testing.T) {
	c := NewConnections()
	c.SetLimit(10)
	busy, _ := c.Admit(start, "10.0.0.1", nil)
	busy.SetActive()
	other, _ := c.Admit(start, "10.0.0.2", nil)
	for i := range 100 {
		added, evict := c.Admit(start.Add(time.Duration(i)), "10.0.0.1", nil)
		if added == nil || evict == busy || evict == other {
			t.Fatalf("connection %d: %v, %v", i, added, evict)
		}
	}
	if len(c.open) != 10 {
		t.Errorf("%d connections", len(c.open))
	}
	for conn := range c.open {
		conn.SetActive()
	}
	if added, _ := c.Admit(start, "10.0.0.3", nil); added != nil {
		t.Error("a connection is admitted though all have requests")
	}
}

// Guards against a limit above the descriptors or the memory, and one where nothing is set.
func TestConnectionLimit(t *testing.T) {
	for _, c := range []struct{ memory, descriptors, want int64 }{{0, 0, 0}, {0, 3075, 1437}, {memory, 0, 2389}, {memory, 3075, 1437}, {32 * mib, 10250, 682}, {0, 100, 1}} {
		if got := int64(ConnectionLimit(c.memory, c.descriptors)); got != c.want {
			t.Errorf("%d bytes, %d descriptors: %d, want %d", c.memory, c.descriptors, got, c.want)
		}
	}
}

// Measures what the accounting of one small body costs beside others.
func BenchmarkSmallBody(b *testing.B) {
	budget := newBudget()
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			h := budget.NewHolder(start, Bodies, "account", "address", nil)
			h.Grow(start, tinyBytes)
			h.Keep()
			h.Release()
		}
	})
}
