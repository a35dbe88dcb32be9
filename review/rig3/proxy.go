package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// proxy forwards TCP connections on loopback to one address. The connections that are open when
// it is told so fall silent for good, without a reset; new ones work.
type proxy struct {
	target   string
	listener net.Listener
	mu       sync.Mutex
	links    map[*link]struct{}
}

// link is one forwarded connection.
type link struct {
	mu     sync.Mutex
	silent bool
}

func (l *link) isSilent() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.silent
}

func newProxy(target string) (*proxy, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target, listener: ln, links: map[*link]struct{}{}}
	go p.accept()
	return p, nil
}

func (p *proxy) addr() string { return p.listener.Addr().String() }

// silence makes the open connections silent and returns how many there were.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		l.mu.Lock()
		l.silent = true
		l.mu.Unlock()
	}
	return len(p.links)
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(c)
	}
}

func (p *proxy) forward(c net.Conn) {
	server, err := net.DialTimeout("tcp4", p.target, time.Second)
	if err != nil {
		_ = c.Close()
		return
	}
	l := &link{}
	p.mu.Lock()
	p.links[l] = struct{}{}
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	go func() { copyLink(l, server, c); done <- struct{}{} }()
	go func() { copyLink(l, c, server); done <- struct{}{} }()
	<-done
	if l.isSilent() {
		// What one side does is not told to the other one: only time ends the connection.
		time.Sleep(time.Minute)
	}
	_, _ = c.Close(), server.Close()
	p.mu.Lock()
	delete(p.links, l)
	p.mu.Unlock()
}

// copyLink forwards the bytes of one direction until the link is silent.
func copyLink(l *link, to, from net.Conn) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if l.isSilent() {
			_, _ = io.Copy(io.Discard, from)
			return
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
