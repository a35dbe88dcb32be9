package membudget

import (
	"cmp"
	"sync"
	"sync/atomic"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

const (
	// connectionBytes is what a caller's connection takes with its buffers, goroutines and a
	// usual head.
	connectionBytes = 12 << 10
	// requestBytes is what a request in progress takes beside its connection and its body.
	// 1,900 waiting requests with their connections took 28 KiB each.
	requestBytes = 16 << 10
	// reservedDescriptors is how many of the descriptors in the settings are not for
	// connections of callers and endpoints.
	reservedDescriptors = 200
	// descriptorsPerCaller leaves a descriptor for the endpoint of each caller's connection.
	descriptorsPerCaller = 2
)

// ConnectionLimit returns the number of callers' connections for a memory limit and a number
// of descriptors, of which 0 means no limit; 0 if there is neither.
func ConnectionLimit(memory, descriptors int64) int {
	byMemory := memory / budgetShare / largeShare / connectionBytes
	byDescriptors := int64(0)
	if descriptors > 0 {
		byDescriptors = max(1, (descriptors-reservedDescriptors)/descriptorsPerCaller)
	}
	if byMemory == 0 || byDescriptors == 0 {
		return int(cmp.Or(byMemory, byDescriptors))
	}
	return int(min(byMemory, byDescriptors))
}

// Connections limits the connections of callers. It is safe for concurrent use.
type Connections struct {
	mu        sync.Mutex
	limit     int
	open      map[*Connection]struct{}
	addresses map[string]int
}

// Connection is one connection of a caller.
type Connection struct {
	address string
	// waitingSince is since when the connection has had no complete head of a request; 0
	// while a request is in progress.
	waitingSince atomic.Int64
	// used is set once a request has been received.
	used atomic.Bool
	// evicted is set once the connection has made room for another.
	evicted bool
	close   func()
}

// NewConnections returns a set without a limit.
func NewConnections() *Connections {
	return &Connections{open: map[*Connection]struct{}{}, addresses: map[string]int{}}
}

// SetLimit changes the limit; 0 means none.
func (c *Connections) SetLimit(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limit = n
}

// Limit returns the limit, or 0.
func (c *Connections) Limit() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.limit
}

// Admit adds a connection, or returns nil if there is no room for it. If evict is set, that
// connection makes room and has to be closed with Close.
func (c *Connections) Admit(now proto.Instant, address string, closeConn func()) (added, evict *Connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.limit > 0 && len(c.open) >= c.limit {
		if evict = c.victim(); evict == nil {
			return nil, nil
		}
		evict.evicted = true
		c.remove(evict)
	}
	added = &Connection{address: address, close: closeConn}
	added.waitingSince.Store(int64(now))
	c.open[added] = struct{}{}
	c.addresses[address]++
	return added, evict
}

// Close closes the connection.
func (c *Connection) Close() { c.close() }

// SetActive records that a request is in progress.
func (c *Connection) SetActive() {
	c.used.Store(true)
	c.waitingSince.Store(0)
}

// SetWaiting records that no request is in progress.
func (c *Connection) SetWaiting(now proto.Instant) { c.waitingSince.Store(int64(now)) }

// IsWaiting reports whether no request is in progress.
func (c *Connection) IsWaiting() bool { return c.waitingSince.Load() != 0 }

// Remove records that a connection was closed.
func (c *Connections) Remove(conn *Connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !conn.evicted {
		c.remove(conn)
	}
}

func (c *Connections) remove(conn *Connection) {
	if _, ok := c.open[conn]; !ok {
		return
	}
	delete(c.open, conn)
	if c.addresses[conn.address]--; c.addresses[conn.address] == 0 {
		delete(c.addresses, conn.address)
	}
}

// victim returns the connection that makes room: one that never had a request, of the address
// with the most connections, that has waited for the longest time. c.mu must be held.
func (c *Connections) victim() *Connection {
	var victim *Connection
	for conn := range c.open {
		if conn.IsWaiting() && (victim == nil || c.goesBefore(conn, victim)) {
			victim = conn
		}
	}
	return victim
}

func (c *Connections) goesBefore(a, b *Connection) bool {
	if a.used.Load() != b.used.Load() {
		return !a.used.Load()
	}
	if m, n := c.addresses[a.address], c.addresses[b.address]; m != n {
		return m > n
	}
	return a.waitingSince.Load() < b.waitingSince.Load()
}
