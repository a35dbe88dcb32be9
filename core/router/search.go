package router

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/kumquatsill/kumquatsill/core/audit"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

const (
	// maxSearches bounds the searches at once. Each holds one window of records.
	maxSearches = 4
	// searchTimeout bounds the search for one request.
	searchTimeout = 20 * time.Second
	// searchWindow is the number of records of one read. With full batches it
	// is about 2 MB.
	searchWindow = 32
	// searchAnswerTimeout is the time after which a read counts as lost, and
	// searchRetry the pause after a failed one.
	searchAnswerTimeout = 3 * time.Second
	searchRetry         = 500 * time.Millisecond
	// searchCalls separates the numbers of these reads from the log client's.
	searchCalls = 1 << 62
	// headOffset is beyond any head: a read there brings only the bounds.
	headOffset proto.Offset = 1 << 62
)

// search looks for one request in the audit stream, newest records first.
type search struct {
	query proto.ExplainQuery
	from  proto.Addr
	until proto.Instant
	// call is the read under way, 0 if there is none.
	call uint64
	// at is when the read counts as lost, or when the next may start.
	at proto.Instant
	// The records from next up to high are the rest of the window that begins
	// at low. bounded is unset until the head is known.
	low, next, high proto.Offset
	bounded         bool
	// found is the newest match in the window so far.
	found *proto.ExplainReply
}

// searches are the searches under way.
type searches struct {
	calls uint64
	list  []*search
}

func (s *searches) wake() proto.Instant {
	wake := proto.Never
	for _, x := range s.list {
		wake = proto.Earliest(wake, x.at, x.until)
	}
	return wake
}

func (s *searches) remove(x *search) {
	s.list = slices.DeleteFunc(s.list, func(other *search) bool { return other == x })
}

// search starts to look for a request in the audit stream.
func (c *Control) search(now proto.Instant, from proto.Addr, m proto.ExplainQuery) {
	if len(c.searches.list) >= maxSearches {
		c.Send(from, proto.ExplainReply{ID: m.ID, Incomplete: true, Detail: "this router searches for too many other requests, ask again"})
		return
	}
	x := &search{query: m, from: from, until: now.Add(searchTimeout), next: headOffset}
	c.searches.list = append(c.searches.list, x)
	c.readSearch(now, x)
}

func (c *Control) readSearch(now proto.Instant, x *search) {
	c.searches.calls++
	x.call = searchCalls + c.searches.calls
	x.at = now.Add(searchAnswerTimeout)
	limit := searchWindow
	if x.bounded {
		limit = int(x.high - x.next)
	}
	c.Send(proto.Log, proto.LogRead{Call: x.call, Stream: proto.StreamAudit, From: x.next, Max: limit})
}

// onSearchAnswer takes the answer to a read of a search, and reports false
// for the log client's answers.
func (c *Control) onSearchAnswer(now proto.Instant, in proto.Envelope) bool {
	if in.From != proto.Log {
		return false
	}
	switch m := in.Msg.(type) {
	case proto.LogRecords:
		if x := c.searchOf(m.Call); x != nil {
			c.searched(now, x, m)
		}
		return m.Call > searchCalls
	case proto.LogFailed:
		if x := c.searchOf(m.Call); x != nil {
			x.call, x.at = 0, now.Add(searchRetry)
		}
		return m.Call > searchCalls
	}
	return false
}

func (c *Control) searchOf(call uint64) *search {
	for _, x := range c.searches.list {
		if x.call == call && call != 0 {
			return x
		}
	}
	return nil
}

func (c *Control) searched(now proto.Instant, x *search, m proto.LogRecords) {
	x.call, x.at = 0, now.Add(searchRetry)
	if m.Stream != proto.StreamAudit || m.First > m.Head {
		return
	}
	if !x.bounded {
		x.bounded = true
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
	c.readSearch(now, x)
}

// scan looks through the records of one answer. It reports false if the
// answer does not continue the window.
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

// tickSearches repeats lost reads and ends searches whose time is over.
func (c *Control) tickSearches(now proto.Instant) {
	for _, x := range slices.Clone(c.searches.list) {
		switch {
		case now >= x.until:
			c.endSearch(x, proto.ExplainReply{Incomplete: true, Detail: "the audit stream could not be searched in time"})
		case now >= x.at:
			c.readSearch(now, x)
		}
	}
}
