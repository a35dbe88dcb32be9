package router

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/kumquatsill/kumquatsill/core/audit"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

const (
	// maxSearches bounds the concurrent searches. Each holds one window of records.
	maxSearches = 4
	// searchTimeout is the longest time that the search for one request takes.
	searchTimeout = 20 * time.Second
	// searchWindow is the number of records in one read, about 2 MB with full
	// batches.
	searchWindow = 32
	// searchReadTimeout is the time after which a read counts as lost.
	// searchRetryInterval is the pause after a failed read.
	searchReadTimeout   = 3 * time.Second
	searchRetryInterval = 500 * time.Millisecond
	// searchCallBase is added to the call numbers of search reads to keep them
	// apart from those of the log client.
	searchCallBase = 1 << 62
	// beyondHead is an offset beyond any head. A read there returns no records,
	// only the bounds of the stream.
	beyondHead proto.Offset = 1 << 62
)

// search is a search for one request in the audit stream, from the newest
// records to the oldest.
type search struct {
	query    proto.ExplainQuery
	from     proto.Addr
	deadline proto.Instant
	// call is the number of the read in progress, 0 if there is none.
	call uint64
	// nextReadAt is when the read in progress counts as lost or, if there is
	// none, when the next one may start.
	nextReadAt proto.Instant
	// The current window begins at low and ends before high. Its records from
	// next on have not been read yet. headKnown is set once the offset of the
	// head is known.
	low, next, high proto.Offset
	headKnown       bool
	// found is the newest match in the current window.
	found *proto.ExplainReply
}

// searches holds the running searches.
type searches struct {
	calls  uint64
	active []*search
}

func (s *searches) wake() proto.Instant {
	wake := proto.Never
	for _, x := range s.active {
		wake = proto.Earliest(wake, x.nextReadAt, x.deadline)
	}
	return wake
}

func (s *searches) remove(x *search) {
	s.active = slices.DeleteFunc(s.active, func(other *search) bool { return other == x })
}

// search starts a search for a request in the audit stream.
func (c *Control) search(now proto.Instant, from proto.Addr, m proto.ExplainQuery) {
	if len(c.searches.active) >= maxSearches {
		c.Send(from, proto.ExplainReply{ID: m.ID, Incomplete: true, Detail: "this router searches for too many other requests, ask again"})
		return
	}
	x := &search{query: m, from: from, deadline: now.Add(searchTimeout), next: beyondHead}
	c.searches.active = append(c.searches.active, x)
	c.sendSearchRead(now, x)
}

func (c *Control) sendSearchRead(now proto.Instant, x *search) {
	c.searches.calls++
	x.call = searchCallBase + c.searches.calls
	x.nextReadAt = now.Add(searchReadTimeout)
	limit := searchWindow
	if x.headKnown {
		limit = int(x.high - x.next)
	}
	c.Send(proto.Log, proto.LogRead{Call: x.call, Stream: proto.StreamAudit, From: x.next, Max: limit})
}

// onSearchReply processes the log's reply to a read of a search. It returns
// false for replies to the log client.
func (c *Control) onSearchReply(now proto.Instant, in proto.Envelope) bool {
	if in.From != proto.Log {
		return false
	}
	switch m := in.Msg.(type) {
	case proto.LogRecords:
		if x := c.searchByCall(m.Call); x != nil {
			c.onSearchRecords(now, x, m)
		}
		return m.Call > searchCallBase
	case proto.LogFailed:
		if x := c.searchByCall(m.Call); x != nil {
			x.call, x.nextReadAt = 0, now.Add(searchRetryInterval)
		}
		return m.Call > searchCallBase
	}
	return false
}

func (c *Control) searchByCall(call uint64) *search {
	for _, x := range c.searches.active {
		if x.call == call && call != 0 {
			return x
		}
	}
	return nil
}

func (c *Control) onSearchRecords(now proto.Instant, x *search, m proto.LogRecords) {
	x.call, x.nextReadAt = 0, now.Add(searchRetryInterval)
	if m.Stream != proto.StreamAudit || m.First > m.Head {
		return
	}
	if !x.headKnown {
		x.headKnown = true
		x.low = m.Head
	} else if !x.scan(m) {
		return
	}
	// Offsets below First have expired since the window was chosen.
	x.next = max(x.next, m.First)
	if x.next >= x.high && x.found != nil {
		c.endSearch(x, *x.found)
		return
	}
	if x.next >= x.high {
		x.high = x.low
		x.low = max(m.First, x.high-searchWindow)
		x.next = x.low
	}
	if x.high <= m.First {
		c.endSearch(x, proto.ExplainReply{Detail: "neither this router nor the audit stream holds the request"})
		return
	}
	c.sendSearchRead(now, x)
}

// scan searches the records of one reply. It returns false if the reply does not
// continue the window.
func (x *search) scan(m proto.LogRecords) bool {
	if len(m.Records) > 0 && m.Records[0].Offset > max(x.next, m.First) {
		return false
	}
	for _, rec := range m.Records {
		if rec.Offset < x.next || rec.Offset >= x.high {
			continue
		}
		if reply, ok := findInBatch(rec, x.query.Request); ok {
			x.found = &reply
		}
	}
	if n := len(m.Records); n > 0 {
		x.next = max(x.next, m.Records[n-1].Offset+1)
		return true
	}
	return x.next < m.First
}

func findInBatch(rec proto.Record, id proto.RequestID) (proto.ExplainReply, bool) {
	var batch audit.Batch
	if rec.Kind != audit.KindBatch || json.Unmarshal(rec.Body, &batch) != nil {
		return proto.ExplainReply{}, false // "audit verify" reports such records
	}
	for _, e := range slices.Backward(batch.Entries) {
		if e.Request != nil && matchesRequest(e.Request.Request, id) {
			return proto.ExplainReply{
				Request: e.Request, Source: proto.ExplainedByAudit, Router: batch.Router, Offset: rec.Offset, Index: e.Index,
			}, true
		}
	}
	return proto.ExplainReply{}, false
}

func (c *Control) endSearch(x *search, reply proto.ExplainReply) {
	c.searches.remove(x)
	reply.ID = x.query.ID
	c.Send(x.from, reply)
}

// tickSearches repeats lost reads and ends searches that have timed out.
func (c *Control) tickSearches(now proto.Instant) {
	for _, x := range slices.Clone(c.searches.active) {
		switch {
		case now >= x.deadline:
			c.endSearch(x, proto.ExplainReply{Incomplete: true, Detail: "the audit stream could not be searched in time"})
		case now >= x.nextReadAt:
			c.sendSearchRead(now, x)
		}
	}
}
