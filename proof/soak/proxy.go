package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// ConnectionFault is what a proxy does to the connections through it.
type ConnectionFault uint8

// Troubles of a proxy.
const (
	NoFault ConnectionFault = iota
	// Delay holds each piece back for a while.
	Delay
	// DropAll takes bytes and passes none on, in both directions.
	DropAll
	// DropResponses passes requests on and no answers.
	DropResponses
	// Reset resets all connections, and each new one.
	Reset
)

var troubleNames = [...]string{NoFault: "pass", Delay: "delay", DropAll: "silence", DropResponses: "one_way", Reset: "reset"}

// String returns the name used in the table of faults.
func (t ConnectionFault) String() string { return troubleNames[t] }

// delayTime is how long Delay holds a piece back.
const delayTime = 150 * time.Millisecond

// proxy passes connections on to one target on loopback.
type proxy struct {
	target   string
	listener net.Listener
	mu       sync.Mutex
	trouble  ConnectionFault
	conns    map[net.Conn]bool
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

func (p *proxy) set(t ConnectionFault) {
	p.mu.Lock()
	p.trouble = t
	p.mu.Unlock()
	if t == Reset {
		p.resetAll()
	}
}

func (p *proxy) state() ConnectionFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.trouble
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
		if p.state() == Reset {
			reset(c)
			continue
		}
		go p.carry(c)
	}
}

func (p *proxy) carry(c net.Conn) {
	up, err := net.DialTimeout("tcp4", p.target, time.Second)
	if err != nil {
		reset(c)
		return
	}
	p.mu.Lock()
	p.conns[c], p.conns[up] = true, true
	p.mu.Unlock()
	go p.copy(up, c, false)
	p.copy(c, up, true)
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, up)
	p.mu.Unlock()
}

// copy passes bytes on. A connection that was silenced stays so, as one does
// whose state something between its ends has lost.
func (p *proxy) copy(to, from net.Conn, answers bool) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, 16<<10)
	silenced := false
	for {
		n, err := from.Read(buffer)
		t := p.state()
		silenced = silenced || t == DropAll || t == DropResponses && answers
		if t == Delay {
			time.Sleep(delayTime)
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
