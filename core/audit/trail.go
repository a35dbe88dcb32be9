package audit

import (
	"github.com/kumquatsill/kumquatsill/core/proto"
)

const (
	// maxBatchEntries is the maximum number of entries in one log record.
	maxBatchEntries = 128
	// maxPending is the maximum number of entries that are not confirmed by the
	// log; they take about 8 MB of memory.
	maxPending = 8192
)

// Trail is the hash chain of one incarnation of a router. It buffers entries
// until the log has confirmed them. It is not safe for concurrent use.
type Trail struct {
	chain  proto.Incarnation
	router proto.RouterID
	index  int64
	prev   string
	// pending holds the entries that the log has not confirmed. The first
	// inFlight of them are in the batch in flight.
	pending  []Entry
	inFlight int
	dropped  int64
	// closed is set by Close, endInFlight while a batch with Closed set is in
	// flight, and endConfirmed once the log has confirmed such a batch.
	closed       bool
	endConfirmed bool
	endInFlight  bool
	stats        Stats
}

// Stats counts the entries of a Trail. Added and Confirmed are totals, Dropped
// is the total of requests that were not recorded, and Pending is the current
// number of unconfirmed entries.
type Stats struct {
	Added, Confirmed, Dropped int64
	Pending                   int
}

// NewTrail returns an empty trail.
func NewTrail(chain proto.Incarnation, router proto.RouterID) *Trail {
	return &Trail{chain: chain, router: router}
}

// Add appends a request to the chain. If the buffer is full, it drops and counts
// the request. The next entry that fits is preceded by a gap entry with the
// number of dropped requests.
func (t *Trail) Add(r proto.RequestEnded) error {
	if len(t.pending) >= maxPending {
		t.dropped++
		t.stats.Dropped++
		return nil
	}
	if err := t.appendGap(); err != nil {
		return err
	}
	t.stats.Added++
	return t.appendEntry(Entry{Request: &r})
}

// appendGap appends a gap entry if requests were dropped since the last entry.
func (t *Trail) appendGap() error {
	if t.dropped == 0 {
		return nil
	}
	n := t.dropped
	t.dropped = 0
	return t.appendEntry(Entry{Dropped: n})
}

func (t *Trail) appendEntry(e Entry) error {
	e.Index = t.index + 1
	e.Prev = t.prev
	hash, err := e.sum(t.chain)
	if err != nil {
		return err
	}
	e.Hash = hash
	t.index, t.prev = e.Index, hash
	t.endConfirmed = false
	t.pending = append(t.pending, e)
	return nil
}

// Next returns the next batch to append to the log. It returns false while a
// batch is in flight or if there is nothing to append. The caller must report the
// outcome of the append with Confirm or Retry.
func (t *Trail) Next() (Batch, bool) {
	if t.inFlight > 0 || t.endInFlight || t.Empty() {
		return Batch{}, false
	}
	if len(t.pending) == 0 {
		t.endInFlight = true
		return Batch{Chain: t.chain, Router: t.router, Entries: []Entry{}, Closed: true, Last: t.index}, true
	}
	t.inFlight = min(len(t.pending), maxBatchEntries)
	b := Batch{Chain: t.chain, Router: t.router, Entries: t.pending[:t.inFlight:t.inFlight]}
	if t.closed && t.inFlight == len(t.pending) {
		b.Closed, b.Last = true, t.index
		t.endInFlight = true
	}
	return b, true
}

// Confirm reports that the log has stored the batch in flight.
func (t *Trail) Confirm() {
	t.stats.Confirmed += int64(t.inFlight)
	t.endConfirmed = t.endInFlight && t.inFlight == len(t.pending)
	t.endInFlight = false
	t.pending = append([]Entry(nil), t.pending[t.inFlight:]...)
	t.inFlight = 0
}

// Retry makes Next return the entries in flight again, after an append that
// failed or whose outcome is unknown. A duplicate batch is harmless, because
// verification ignores duplicate entries.
func (t *Trail) Retry() { t.inFlight, t.endInFlight = 0, false }

// Close marks the end of the chain, after a gap entry for any dropped requests.
// If a request is added after Close, the end is marked again after it.
func (t *Trail) Close() error {
	t.closed = true
	return t.appendGap()
}

// Empty reports whether the log has confirmed all entries and, for a closed
// chain, its end.
func (t *Trail) Empty() bool {
	return len(t.pending) == 0 && (!t.closed || t.endConfirmed || t.index == 0)
}

// Stats returns the current counts.
func (t *Trail) Stats() Stats {
	s := t.stats
	s.Pending = len(t.pending)
	return s
}
