package audit

import (
	"github.com/kumquatsill/kumquatsill/core/proto"
)

const (
	// maxBatch bounds the entries of one log record.
	maxBatch = 128
	// maxHeld bounds the entries that wait for the log, about 8 MB.
	maxHeld = 8192
)

// Trail is the chain of one router's life. Entries wait in it until the log
// has confirmed them. It is not safe for concurrent use.
type Trail struct {
	chain  proto.Incarnation
	router proto.RouterID
	index  int64
	prev   string
	// held are entries that the log has not confirmed; the first sent of them
	// are in a batch under way.
	held    []Entry
	sent    int
	dropped int64
	// closed is set by Close, marking while a batch that says so is under way,
	// and marked once the log holds it.
	closed  bool
	marked  bool
	marking bool
	stats   Stats
}

// Stats counts entries.
type Stats struct {
	Added, Confirmed, Dropped int64
	Pending                   int
}

// NewTrail returns an empty chain.
func NewTrail(chain proto.Incarnation, router proto.RouterID) *Trail {
	return &Trail{chain: chain, router: router}
}

// Add appends a request to the chain. Above the memory bound the request is
// dropped and counted; the next entry that fits is preceded by a gap entry
// with the count.
func (t *Trail) Add(r proto.RequestEnded) error {
	if len(t.held) >= maxHeld {
		t.dropped++
		t.stats.Dropped++
		return nil
	}
	if err := t.recordGap(); err != nil {
		return err
	}
	t.stats.Added++
	return t.link(Entry{Request: &r})
}

func (t *Trail) recordGap() error {
	if t.dropped == 0 {
		return nil
	}
	n := t.dropped
	t.dropped = 0
	return t.link(Entry{Dropped: n})
}

func (t *Trail) link(e Entry) error {
	e.Index = t.index + 1
	e.Prev = t.prev
	hash, err := e.sum(t.chain)
	if err != nil {
		return err
	}
	e.Hash = hash
	t.index, t.prev = e.Index, hash
	t.marked = false
	t.held = append(t.held, e)
	return nil
}

// Next returns the next batch to append, or false while one is under way or
// nothing waits. Confirm or Retry must follow.
func (t *Trail) Next() (Batch, bool) {
	if t.sent > 0 || t.marking || t.Empty() {
		return Batch{}, false
	}
	if len(t.held) == 0 {
		t.marking = true
		return Batch{Chain: t.chain, Router: t.router, Entries: []Entry{}, Closed: true, Last: t.index}, true
	}
	t.sent = min(len(t.held), maxBatch)
	b := Batch{Chain: t.chain, Router: t.router, Entries: t.held[:t.sent:t.sent]}
	if t.closed && t.sent == len(t.held) {
		b.Closed, b.Last = true, t.index
		t.marking = true
	}
	return b, true
}

// Confirm drops the batch that the log has taken.
func (t *Trail) Confirm() {
	t.stats.Confirmed += int64(t.sent)
	t.marked = t.marking && t.sent == len(t.held)
	t.marking = false
	t.held = append([]Entry(nil), t.held[t.sent:]...)
	t.sent = 0
}

// Retry makes Next return the same entries again, after an append that did
// not take effect or whose effect is unknown. A doubled batch is harmless:
// verification takes equal entries once.
func (t *Trail) Retry() { t.sent, t.marking = 0, false }

// Close marks the end of the chain. Dropped requests are recorded first. A
// request that is added afterwards makes for another end.
func (t *Trail) Close() error {
	t.closed = true
	return t.recordGap()
}

// Empty reports whether the log has confirmed everything, also the end of a
// chain that was closed.
func (t *Trail) Empty() bool {
	return len(t.held) == 0 && (!t.closed || t.marked || t.index == 0)
}

// Stats returns the counters.
func (t *Trail) Stats() Stats {
	s := t.stats
	s.Pending = len(t.held)
	return s
}
