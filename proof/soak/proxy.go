package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// ConnectionFault is a fault that a proxy applies to its connections.
type ConnectionFault uint8

// Connection faults.
const (
	NoFault ConnectionFault = iota
	// Delay delays the data of each read by readDelay.
	Delay
	// DropAll reads the data of both directions and discards it.
	DropAll
	// DropResponses forwards requests and discards responses.
	DropResponses
	// Reset resets all open connections and each new one.
	Reset
)

var connectionFaultNames = [...]string{NoFault: "pass", Delay: "delay", DropAll: "silence", DropResponses: "one_way", Reset: "reset"}

// String returns the name used in the table of faults.
func (t ConnectionFault) String() string { return connectionFaultNames[t] }

// readDelay is the delay of each read under Delay.
const readDelay = 150 * time.Millisecond

// proxy forwards TCP connections on loopback to one target.
type proxy struct {
	target   string
	listener net.Listener
	mu       sync.Mutex
	fault    ConnectionFault
	// changes holds the faults that were set or cleared so far.
	changes []faultChange
	conns   map[net.Conn]bool
}

// faultChange is the time at which a fault was set, or cleared with NoFault.
type faultChange struct {
	at    time.Time
	fault ConnectionFault
}

func newProxy(target string) (*proxy, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target, listener: ln, conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

func (p *proxy) addr() string { return p.listener.Addr().String() }

func (p *proxy) close() {
	_ = p.listener.Close()
	p.resetAll()
}

func (p *proxy) setFault(t ConnectionFault) {
	p.mu.Lock()
	p.fault = t
	p.changes = append(p.changes, faultChange{time.Now(), t})
	p.mu.Unlock()
	if t == Reset {
		p.resetAll()
	}
}

// faultyBetween reports whether a fault was in force at some moment within a time.
func (p *proxy) faultyBetween(from, to time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := NoFault // the fault in force at the beginning
	for _, c := range p.changes {
		switch {
		case c.at.Before(from):
			before = c.fault
		case c.at.Before(to):
			return true
		}
	}
	return before != NoFault
}

func (p *proxy) currentFault() ConnectionFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

func (p *proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		reset(c)
	}
	clear(p.conns)
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.currentFault() == Reset {
			reset(c)
			continue
		}
		go p.forward(c)
	}
}

func (p *proxy) forward(c net.Conn) {
	upstream, err := net.DialTimeout("tcp4", p.target, time.Second)
	if err != nil {
		reset(c)
		return
	}
	p.mu.Lock()
	p.conns[c], p.conns[upstream] = true, true
	p.mu.Unlock()
	go p.copy(upstream, c, false)
	p.copy(c, upstream, true)
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, upstream)
	p.mu.Unlock()
}

// copy forwards the bytes of one direction. Once a connection's data has been
// dropped it stays dropped, as if a middlebox had lost the connection's state.
func (p *proxy) copy(to, from net.Conn, responses bool) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, 16<<10)
	silenced := false
	for {
		n, err := from.Read(buffer)
		t := p.currentFault()
		silenced = silenced || t == DropAll || t == DropResponses && responses
		if t == Delay {
			time.Sleep(readDelay)
		}
		if n > 0 && !silenced {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if err != io.EOF {
				reset(to)
			}
			if silenced {
				time.Sleep(time.Second)
			}
			return
		}
	}
}
