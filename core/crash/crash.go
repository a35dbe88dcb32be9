// Package crash finds requests that crash the endpoints that run them. Each
// router counts the connections that broke under a request of the same content
// and tells its peers; a request that broke several is refused everywhere.
package crash

import (
	"sync"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

const (
	// limit is the number of broken connections from which a request is
	// refused. Endpoints also crash for other reasons, and then break all
	// requests that they run, so one or two are no proof.
	limit = 3
	// memory is how long a broken connection counts.
	memory = 60 * time.Second
	// maxEntries bounds the fingerprints kept, maxTold those told to peers.
	maxEntries = 4096
	maxTold    = 16
)

// Count is what one router has seen of one request.
type Count struct {
	Fingerprint     proto.Fingerprint `json:"fingerprint"`
	ConnectionsLost int               `json:"breaks"`
	// AgeMillis is how long ago the last of them was.
	AgeMillis int64 `json:"age_ms"`
}

type entry struct {
	own   int
	peers map[proto.RouterID]int
	// ownAt is when the last connection of this router broke, at that of any.
	ownAt, at proto.Instant
}

// Register counts broken connections by fingerprint. It is safe for concurrent
// use.
type Register struct {
	mu      sync.Mutex
	entries map[proto.Fingerprint]*entry
}

// NewRegister returns an empty register.
func NewRegister() *Register { return &Register{entries: map[proto.Fingerprint]*entry{}} }

// ConnectionLost records that a connection broke while a request ran.
func (r *Register) ConnectionLost(now proto.Instant, f proto.Fingerprint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.entry(f); e != nil {
		e.own++
		e.ownAt, e.at = now, now
	}
}

// Answered records that an endpoint has answered a request, which clears it.
func (r *Register) Answered(f proto.Fingerprint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.entries, f)
}

// Merge takes in what a peer has seen.
func (r *Register) Merge(now proto.Instant, from proto.RouterID, counts []Count) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range counts {
		at := now.Add(-time.Duration(c.AgeMillis) * time.Millisecond)
		if now.Sub(at) >= memory {
			continue
		}
		if e := r.entry(c.Fingerprint); e != nil {
			e.peers[from] = max(e.peers[from], c.ConnectionsLost)
			e.at = max(e.at, at)
		}
	}
}

// ShouldRefuse reports whether a request has broken too many connections.
func (r *Register) ShouldRefuse(now proto.Instant, f proto.Fingerprint) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[f]
	return e != nil && now.Sub(e.at) < memory && e.total() >= limit
}

// LocalCounts returns what this router has seen lately, for its peers.
func (r *Register) LocalCounts(now proto.Instant) []Count {
	r.mu.Lock()
	defer r.mu.Unlock()
	var counts []Count
	for f, e := range r.entries {
		if now.Sub(e.at) >= memory {
			delete(r.entries, f)
			continue
		}
		if age := now.Sub(e.ownAt); e.own > 0 && age < memory && len(counts) < maxTold {
			counts = append(counts, Count{Fingerprint: f, ConnectionsLost: e.own, AgeMillis: age.Milliseconds()})
		}
	}
	return counts
}

func (e *entry) total() int {
	n := e.own
	for _, breaks := range e.peers {
		n += breaks
	}
	return n
}

// entry returns the entry of a fingerprint, or nil while the register is full;
// mu is held.
func (r *Register) entry(f proto.Fingerprint) *entry {
	e := r.entries[f]
	if e == nil {
		if len(r.entries) >= maxEntries {
			return nil
		}
		e = &entry{peers: map[proto.RouterID]int{}}
		r.entries[f] = e
	}
	return e
}
