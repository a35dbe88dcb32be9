package front

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/kumquatsill/kumquatsill/app/driver"
	"github.com/kumquatsill/kumquatsill/core/membudget"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/platform"
)

const (
	// refusalReportInterval is the time between two log lines on refusals of one reason.
	refusalReportInterval = time.Second
	// freeHeadBytes is the part of a head that the budget counts with its connection.
	freeHeadBytes = 4 << 10
	// writePieceBytes is the part of a response that a caller must take within writeTimeout.
	// The deadline is set again once it would be writeStep later.
	writePieceBytes = 32 << 10
	writeTimeout    = 30 * time.Second
	writeStep       = 5 * time.Second
)

// Reasons for which connections of callers are closed.
const (
	reasonTooManyConnections = "too_many_connections"
	reasonNoMemoryForHead    = "no_memory_for_head"
)

var errHeadMemory = errors.New("no memory for the head of the request")

// callerMemory is what the process holds for its callers.
type callerMemory struct {
	budget *membudget.Budget
	conns  *membudget.Connections
	log    *slog.Logger
	// limited is set if there is a memory limit.
	limited atomic.Bool
	// interrupted counts the holders that were told to release their memory, closed the
	// connections that were closed by their reason.
	interrupted, closedForConns, closedForHeads atomic.Int64

	mu       sync.Mutex
	refusals map[string]int
}

func newCallerMemory(log *slog.Logger) *callerMemory {
	return &callerMemory{budget: membudget.New(), conns: membudget.NewConnections(), log: log, refusals: map[string]int{}}
}

// memoryLimit returns the memory limit of the process in bytes, or 0.
func (f *Front) memoryLimit(s platform.Settings) int64 {
	return cmp.Or(s.MemoryBytes, f.cfg.ProcessMemory)
}

// configure puts the limits of the settings in force; 0 means none.
func (m *callerMemory) configure(memory, descriptors int64) {
	m.budget.SetMemory(memory)
	m.conns.SetLimit(membudget.ConnectionLimit(memory, descriptors))
	m.limited.Store(memory > 0)
}

func (m *callerMemory) addMetrics(set *metrics.Set) {
	set.NewGauge("kumquatsill_caller_memory_limit_bytes", func() float64 { return float64(m.budget.Limit()) })
	set.NewGauge("kumquatsill_caller_connections_limit", func() float64 { return float64(m.conns.Limit()) })
	for _, k := range membudget.Kinds() {
		set.NewGauge(fmt.Sprintf(`kumquatsill_caller_memory_bytes{kind=%q}`, k), func() float64 { return float64(m.budget.Held(k)) })
	}
	set.NewGauge("kumquatsill_caller_memory_reclaimed_total", func() float64 { return float64(m.interrupted.Load()) })
	closed := func(reason string, n *atomic.Int64) {
		set.NewGauge(fmt.Sprintf(`kumquatsill_caller_connections_closed_total{reason=%q}`, reason), func() float64 { return float64(n.Load()) })
	}
	closed(reasonTooManyConnections, &m.closedForConns)
	closed(reasonNoMemoryForHead, &m.closedForHeads)
}

// countRefusal counts a refusal for the next log line.
func (m *callerMemory) countRefusal(reason string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refusals[reason]++
}

// reportRefusals logs the refusals since the last report, one line for each reason.
func (m *callerMemory) reportRefusals(proto.Instant) {
	m.mu.Lock()
	counts := m.refusals
	if len(counts) > 0 {
		m.refusals = map[string]int{}
	}
	m.mu.Unlock()
	for reason, n := range counts {
		m.log.Warn("callers refused", "reason", reason, "count", n, "limit_bytes", m.budget.Limit(),
			"body_bytes", m.budget.Held(membudget.Bodies), "kept_body_bytes", m.budget.Held(membudget.KeptBodies),
			"connection_bytes", m.budget.Held(membudget.Sockets), "connections_limit", m.conns.Limit())
	}
}

// interrupt makes holders release their memory.
func (m *callerMemory) interrupt(holders []*membudget.Holder) {
	for _, h := range holders {
		m.interrupted.Add(1)
		h.Interrupt()
	}
}

// callerListener accepts the connections of callers within their limit.
type callerListener struct {
	net.Listener
	memory *callerMemory
}

// Accept implements net.Listener. Above the limit, a connection without a request makes room;
// if there is none, the new one is closed.
func (l *callerListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp, ok := c.(*net.TCPConn)
		if !ok {
			return c, nil
		}
		address, _, _ := net.SplitHostPort(c.RemoteAddr().String())
		cc := &callerConn{TCPConn: tcp, memory: l.memory, address: address}
		entry, evict := l.memory.conns.Admit(driver.Now(), address, func() { _ = tcp.Close() })
		if entry == nil || evict != nil {
			l.memory.closedForConns.Add(1)
			l.memory.countRefusal(reasonTooManyConnections)
		}
		if evict != nil {
			evict.Close()
		}
		if entry == nil {
			_ = c.Close()
			continue
		}
		cc.entry = entry
		l.memory.budget.AddConnections(1)
		return cc, nil
	}
}

// callerConn is a connection of a caller. It counts the heads of requests, and ends the
// connection of a caller that does not take its response.
type callerConn struct {
	*net.TCPConn
	memory  *callerMemory
	entry   *membudget.Connection
	address string
	closed  sync.Once
	// head is what was read of the current head; only the reader uses it and holder, which
	// is nil while the head is covered by the connection.
	head   int
	holder *membudget.Holder
	// writeDue is the write deadline. cut is set once the connection must not be written to.
	writeDue time.Time
	cut      atomic.Bool
}

// callerConnKey is the key of a request's *callerConn in its context.
type callerConnKey struct{}

// withCallerConn returns the context of the requests of a connection.
func withCallerConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, c)
}

// connStateChanged records a new state of a caller's connection.
func (f *Front) connStateChanged(c net.Conn, state http.ConnState) {
	f.callerConns.Add(connChange[state])
	cc, ok := c.(*callerConn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		cc.entry.SetActive()
	case http.StateIdle:
		cc.releaseHead()
		cc.entry.SetWaiting(driver.Now())
	case http.StateClosed:
		cc.releaseHead()
	}
}

// Read implements net.Conn. What is read while no request is in progress is part of a head.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n == 0 || !c.memory.limited.Load() || !c.entry.IsWaiting() {
		return n, err
	}
	if c.head += n; c.head <= freeHeadBytes {
		return n, err
	}
	now := driver.Now()
	if c.holder == nil {
		c.holder = c.memory.budget.NewHolder(now, membudget.Headers, "", c.address, func() { _ = c.TCPConn.Close() })
	}
	c.holder.Progress(now, n)
	if a := c.holder.Grow(now, int64(n)); !a.OK {
		c.memory.interrupt(a.Interrupt) // their memory serves the next head
		c.memory.closedForHeads.Add(1)
		c.memory.countRefusal(reasonNoMemoryForHead)
		return 0, errHeadMemory
	}
	return n, err
}

// releaseHead releases the head of a request that has ended. No read is in progress.
func (c *callerConn) releaseHead() {
	c.head = 0
	if c.holder != nil {
		c.holder.Release()
		c.holder = nil
	}
}

// Write implements net.Conn. A caller that does not take writePieceBytes within writeTimeout
// is cut off.
func (c *callerConn) Write(p []byte) (int, error) {
	if !c.memory.limited.Load() {
		return c.TCPConn.Write(p)
	}
	written := 0
	for {
		if due := time.Now().Add(writeTimeout); due.Sub(c.writeDue) > writeStep {
			c.writeDue = due
			_ = c.TCPConn.SetWriteDeadline(due.Add(writeStep))
		}
		if c.cut.Load() { // checked after the deadline was set, which may have replaced one in the past
			return written, os.ErrDeadlineExceeded
		}
		n, err := c.TCPConn.Write(p[written:min(len(p), written+writePieceBytes)])
		if written += n; err != nil || written == len(p) {
			return written, err
		}
	}
}

// SetWriteDeadline implements net.Conn. One in the past ends a write in progress and all
// further ones.
func (c *callerConn) SetWriteDeadline(t time.Time) error {
	if !t.IsZero() && !t.After(time.Now()) {
		c.cut.Store(true)
	}
	return c.TCPConn.SetWriteDeadline(t)
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.closed.Do(func() {
		c.memory.conns.Remove(c.entry)
		c.memory.budget.AddConnections(-1)
	})
	return c.TCPConn.Close()
}
