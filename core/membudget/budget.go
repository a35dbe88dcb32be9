// Package membudget decides how a process shares its memory between callers: what a body may
// hold, whose body makes room for others, and which connection does. It performs no I/O; the
// code that uses it interrupts the holders that it names.
package membudget

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// Kind is what memory is held for.
type Kind uint8

// Kinds of memory.
const (
	// Headers is the part of heads beyond what Sockets covers.
	Headers Kind = iota
	// Bodies is bodies that are being read.
	Bodies
	// KeptBodies is complete bodies, kept for their attempts.
	KeptBodies
	// Sockets is callers' connections with their buffers and goroutines.
	Sockets
	// Requests is requests in progress, each with its state and a connection to an endpoint.
	Requests
	numKinds
)

var kindNames = [numKinds]string{Headers: "headers", Bodies: "bodies", KeptBodies: "kept_bodies", Sockets: "connections", Requests: "requests"}

// String returns the name used in metrics.
func (k Kind) String() string { return kindNames[k] }

// Kinds returns all kinds.
func Kinds() []Kind { return []Kind{Headers, Bodies, KeptBodies, Sockets, Requests} }

const (
	// budgetShare and largeShare are divisors of the memory limit: the budget is half of it,
	// and large bodies hold at most half of the budget. The Go runtime needs up to as much as
	// is held until it collects what was released.
	budgetShare = 2
	largeShare  = 2
	// goLimitFraction is the fraction of the memory limit that is the soft limit of the Go
	// runtime. The rest is for the program's text and what the runtime does not count.
	goLimitFraction = 0.7
	// SmallBytes is the size up to which a body may use the part of the budget that large
	// ones may not.
	SmallBytes = 64 << 10
	// tinyBytes is the size up to which a body is not limited by the share of its client.
	tinyBytes = 4 << 10
	// shareFactor limits what one account or address holds, as a multiple of what is free:
	// alone it gets three quarters, two get three sevenths each, and some is always free.
	shareFactor = 3
	// progressBytes is what must arrive of a body for it to count as progress.
	progressBytes = 4 << 10
	// stalledAfter is the time without progress after which a body makes room for others
	// when memory is short.
	stalledAfter = time.Second
)

// GoLimit returns the soft limit of the Go runtime for a memory limit.
func GoLimit(memory int64) int64 { return int64(goLimitFraction * float64(memory)) }

// Budget is what a process may hold for its callers. It is safe for concurrent use.
type Budget struct {
	mu sync.Mutex
	// limit is 0 if there is none.
	limit, largeLimit int64
	held              [numKinds]int64
	total             int64
	// large is what holders beyond SmallBytes hold, largeHolders their number.
	large        int64
	largeHolders int
	// reclaiming is what holders hold that were told to release it.
	reclaiming int64
	accounts   map[string]*group
	addresses  map[string]*group
	holders    map[*Holder]struct{}
	// released is closed and replaced when memory is released that was reclaimed.
	released chan struct{}
}

// group is what one account or address holds.
type group struct{ total, large int64 }

// New returns a budget without a limit.
func New() *Budget {
	return &Budget{
		accounts: map[string]*group{}, addresses: map[string]*group{}, holders: map[*Holder]struct{}{}, released: make(chan struct{}),
	}
}

// SetMemory derives the limits from the memory limit of the process; 0 means none.
func (b *Budget) SetMemory(memory int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = memory / budgetShare
	b.largeLimit = b.limit / largeShare
}

// Limit returns the limit in bytes, or 0.
func (b *Budget) Limit() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.limit
}

// Held returns what is held of a kind.
func (b *Budget) Held(k Kind) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held[k]
}

// AddConnections counts connections that were opened, or closed if n is negative.
func (b *Budget) AddConnections(n int64) { b.add(Sockets, n*connectionBytes) }

// AddRequests counts requests that have begun, or ended if n is negative. They are never
// refused for their own memory, but leave less to bodies.
func (b *Budget) AddRequests(n int64) { b.add(Requests, n*requestBytes) }

func (b *Budget) add(k Kind, bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held[k] += bytes
	b.total += bytes
}

// Cause is why a holder was told to release its memory.
type Cause uint32

// Causes.
const (
	NotReclaimed Cause = iota
	// Stalled means that the body made no progress.
	Stalled
	// BeyondShare means that its client held more than its share.
	BeyondShare
)

// Holder is what one body or head holds. All methods but Progress and Cause use the budget's
// lock; Progress must be called by one goroutine only.
type Holder struct {
	budget           *Budget
	kind             Kind
	bytes            int64
	account, address string
	interrupt        func()
	cause            atomic.Uint32
	// progressAt is when progress was last made, arrived what has arrived since.
	progressAt atomic.Int64
	arrived    int64
}

// NewHolder returns a holder that holds nothing. interrupt makes it release its memory soon;
// it is called without the budget's lock, at most once. account may be empty.
func (b *Budget) NewHolder(now proto.Instant, kind Kind, account, address string, interrupt func()) *Holder {
	h := &Holder{budget: b, kind: kind, account: account, address: address, interrupt: interrupt}
	h.progressAt.Store(int64(now))
	return h
}

// Cause returns why the holder was told to release its memory.
func (h *Holder) Cause() Cause { return Cause(h.cause.Load()) }

// Interrupt makes the holder release its memory soon.
func (h *Holder) Interrupt() { h.interrupt() }

// Progress records that n bytes have arrived, and reports whether that counts as progress.
func (h *Holder) Progress(now proto.Instant, n int) bool {
	if h.arrived += int64(n); h.arrived < progressBytes {
		return false
	}
	h.arrived = 0
	h.progressAt.Store(int64(now))
	return true
}

// Admission is the answer to a request for memory.
type Admission struct {
	OK bool
	// Interrupt lists the holders to interrupt.
	Interrupt []*Holder
	// Released is set if memory will be released soon; it is closed when some was. The
	// request is then repeated.
	Released <-chan struct{}
}

// Grow requests n more bytes.
func (h *Holder) Grow(now proto.Instant, n int64) Admission {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.Cause() != NotReclaimed {
		return Admission{}
	}
	if b.limit <= 0 || b.fits(h, n) {
		b.set(h, h.bytes+n)
		return Admission{OK: true}
	}
	victims := b.reclaim(now, h, n)
	if len(victims) == 0 && b.reclaiming == 0 {
		return Admission{}
	}
	return Admission{Interrupt: victims, Released: b.released}
}

// Keep records that the body is complete. It keeps its memory also if it was told to release
// it a moment ago.
func (h *Holder) Keep() {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.Cause() != NotReclaimed {
		h.cause.Store(uint32(NotReclaimed))
		b.reclaiming -= h.bytes
	}
	b.held[h.kind] -= h.bytes
	h.kind = KeptBodies
	b.held[KeptBodies] += h.bytes
	delete(b.holders, h)
}

// Shrink records that n bytes less are held.
func (h *Holder) Shrink(n int64) {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.Cause() == NotReclaimed { // else it releases all soon
		b.set(h, h.bytes-n)
	}
}

// Release records that the holder holds nothing any more.
func (h *Holder) Release() {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.set(h, 0)
}

// fits reports whether a holder may hold n more bytes. A large body that is the only one
// always may. b.mu must be held.
func (b *Budget) fits(h *Holder, n int64) bool {
	after := h.bytes + n
	if after > SmallBytes && (b.largeHolders == 0 || b.largeHolders == 1 && h.bytes > SmallBytes) {
		return true
	}
	if b.total+n > b.limit || after > tinyBytes && !b.inShare(h, n, (*group).totalBytes, b.limit-b.total) {
		return false
	}
	if after <= SmallBytes {
		return true
	}
	more := after - largeBytes(h.bytes)
	return b.large+more <= b.largeLimit && b.inShare(h, more, (*group).largeBytes, b.largeLimit-b.large)
}

func (g *group) totalBytes() int64 { return g.total }
func (g *group) largeBytes() int64 { return g.large }

// inShare reports whether the account and the address of a holder may hold n more bytes of a
// part of which some is free.
func (b *Budget) inShare(h *Holder, n int64, held func(*group) int64, free int64) bool {
	for _, g := range b.groupsOf(h, false) {
		if g != nil && held(g) > h.bytes && held(g)+n > shareFactor*free {
			return false
		}
	}
	return true
}

// groupsOf returns the groups of a holder, which it creates if asked to.
func (b *Budget) groupsOf(h *Holder, create bool) (groups [2]*group) {
	if create && b.addresses[h.address] == nil {
		b.addresses[h.address] = &group{}
	}
	groups[0] = b.addresses[h.address]
	if h.account == "" {
		return groups
	}
	if create && b.accounts[h.account] == nil {
		b.accounts[h.account] = &group{}
	}
	groups[1] = b.accounts[h.account]
	return groups
}

// largeBytes returns what a holder of a number of bytes takes of the part for large ones.
func largeBytes(bytes int64) int64 {
	if bytes > SmallBytes {
		return bytes
	}
	return 0
}

// set changes what a holder holds. b.mu must be held.
func (b *Budget) set(h *Holder, bytes int64) {
	more, moreLarge := bytes-h.bytes, largeBytes(bytes)-largeBytes(h.bytes)
	if more == 0 {
		return
	}
	for _, g := range b.groupsOf(h, true) {
		if g != nil {
			g.total += more
			g.large += moreLarge
		}
	}
	b.total += more
	b.held[h.kind] += more
	b.large += moreLarge
	switch {
	case h.bytes <= SmallBytes && bytes > SmallBytes:
		b.largeHolders++
	case h.bytes > SmallBytes && bytes <= SmallBytes:
		b.largeHolders--
	}
	if h.kind != KeptBodies {
		b.holders[h] = struct{}{}
	}
	if bytes == 0 {
		b.forget(h)
	}
	h.bytes = bytes
}

// forget removes a holder that releases all its memory. b.mu must be held.
func (b *Budget) forget(h *Holder) {
	delete(b.holders, h)
	if g := b.addresses[h.address]; g != nil && g.total == 0 {
		delete(b.addresses, h.address)
	}
	if g := b.accounts[h.account]; g != nil && g.total == 0 {
		delete(b.accounts, h.account)
	}
	if h.Cause() != NotReclaimed {
		b.reclaiming -= h.bytes
		close(b.released)
		b.released = make(chan struct{})
	}
}
