package router

import (
	"strings"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// maxRecentRequests is the number of ended requests that a router can explain
// without reading the audit stream.
const maxRecentRequests = 4096

// recentRequests is a ring buffer of the requests that ended last.
type recentRequests struct {
	ring []proto.RequestEnded
	next int
	byID map[proto.RequestID]int
}

func newRecentRequests() *recentRequests {
	return &recentRequests{byID: map[proto.RequestID]int{}}
}

func (r *recentRequests) add(m proto.RequestEnded) {
	if len(r.ring) < maxRecentRequests {
		r.byID[m.Request] = len(r.ring)
		r.ring = append(r.ring, m)
		return
	}
	old := r.ring[r.next].Request
	if r.byID[old] == r.next {
		delete(r.byID, old)
	}
	r.ring[r.next] = m
	r.byID[m.Request] = r.next
	r.next = (r.next + 1) % maxRecentRequests
}

// find returns the request to which the router gave the id, or else the latest
// request for which its caller chose the id.
func (r *recentRequests) find(id proto.RequestID) (proto.RequestEnded, bool) {
	if i, ok := r.byID[id]; ok {
		return r.ring[i], true
	}
	for n := range r.ring {
		// The newest entry is the one before next.
		m := r.ring[(r.next-1-n+2*len(r.ring))%len(r.ring)]
		if matchesRequest(m.Request, id) {
			return m, true
		}
	}
	return proto.RequestEnded{}, false
}

// matchesRequest reports whether asked, the id in a query, means the request
// with the given id. The API appends "~" and a unique part to an id that a
// caller chose.
func matchesRequest(id, asked proto.RequestID) bool {
	return id == asked || strings.HasPrefix(string(id), string(asked)+"~")
}
