// Package crash detects requests that crash the endpoints running them. Each
// router counts, by request fingerprint, the connections that were lost while a
// request was running, and sends the counts to its peers. Every router refuses a
// fingerprint once the counts of all routers reach a threshold.
package crash

import (
	"sync"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

const (
	// refusalThreshold is the number of lost connections at which a request is
	// refused. An endpoint that crashes for another reason fails all requests
	// that it is running, so one or two lost connections prove nothing.
	refusalThreshold = 3
	// retention is how long a lost connection counts.
	retention = 60 * time.Second
	// maxEntries bounds the stored fingerprints, maxShared those sent to peers.
	maxEntries = 4096
	maxShared  = 16
)

// Count is the number of connections that one router has lost while running
// requests of one fingerprint.
type Count struct {
	Fingerprint     proto.Fingerprint `json:"fingerprint"`
	ConnectionsLost int               `json:"breaks"`
	// AgeMillis is the time since the last of them was lost.
	AgeMillis int64 `json:"age_ms"`
}

type entry struct {
	local int
	peers map[proto.RouterID]int
	// localAt is when this router last lost a connection, lastAt when any router
	// did.
	localAt, lastAt proto.Instant
}

// Register counts lost connections by request fingerprint. It is safe for
// concurrent use.
type Register struct {
	mu      sync.Mutex
	entries map[proto.Fingerprint]*entry
}

// NewRegister returns an empty register.
func NewRegister() *Register { return &Register{entries: map[proto.Fingerprint]*entry{}} }

// ConnectionLost records that a connection was lost while a request was running.
func (r *Register) ConnectionLost(now proto.Instant, f proto.Fingerprint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.entry(f); e != nil {
		e.local++
		e.localAt, e.lastAt = now, now
	}
}

// Completed records that an endpoint has completed a request, which resets the
// count of its fingerprint.
func (r *Register) Completed(f proto.Fingerprint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.entries, f)
}

// Merge applies the counts of a peer.
func (r *Register) Merge(now proto.Instant, from proto.RouterID, counts []Count) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range counts {
		lastAt := now.Add(-time.Duration(c.AgeMillis) * time.Millisecond)
		if now.Sub(lastAt) >= retention {
			continue
		}
		if e := r.entry(c.Fingerprint); e != nil {
			e.peers[from] = max(e.peers[from], c.ConnectionsLost)
			e.lastAt = max(e.lastAt, lastAt)
		}
	}
}

// ShouldRefuse reports whether too many connections were lost to a request.
func (r *Register) ShouldRefuse(now proto.Instant, f proto.Fingerprint) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[f]
	return e != nil && now.Sub(e.lastAt) < retention && e.total() >= refusalThreshold
}

// Losses returns the number of connections that all routers have lost while running
// requests of a fingerprint.
func (r *Register) Losses(f proto.Fingerprint) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.entries[f]; e != nil {
		return e.total()
	}
	return 0
}

// LocalCounts returns the recent counts of this router, to be sent to its peers,
// and removes expired entries.
func (r *Register) LocalCounts(now proto.Instant) []Count {
	r.mu.Lock()
	defer r.mu.Unlock()
	var counts []Count
	for f, e := range r.entries {
		if now.Sub(e.lastAt) >= retention {
			delete(r.entries, f)
			continue
		}
		if age := now.Sub(e.localAt); e.local > 0 && age < retention && len(counts) < maxShared {
			counts = append(counts, Count{Fingerprint: f, ConnectionsLost: e.local, AgeMillis: age.Milliseconds()})
		}
	}
	return counts
}

func (e *entry) total() int {
	n := e.local
	for _, count := range e.peers {
		n += count
	}
	return n
}

// entry returns the entry of a fingerprint and creates it if there is none. It
// returns nil if the register is full. The caller must hold mu.
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
