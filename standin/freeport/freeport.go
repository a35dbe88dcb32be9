// Package freeport chooses addresses for processes that listen on them later. They lie below
// the ports that systems commonly give to outgoing connections, so that no such connection
// takes one meanwhile.
package freeport

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

const (
	host = "127.0.0.1"
	// firstPort and lastPort bound the ports that are chosen.
	firstPort, lastPort = 15_000, 30_000
	// maxTries limits the ports that are tried for one address.
	maxTries = 1000
)

// ErrNoPort is returned if all ports that were tried are taken.
var ErrNoPort = errors.New("freeport: no free port")

// chosen holds the ports that this process has chosen.
var chosen sync.Map

// Addr returns a loopback address with a port that is free for TCP and UDP. Each call
// returns another port.
func Addr() (string, error) {
	return choose(func() int { return firstPort + rand.IntN(lastPort-firstPort) })
}

// choose returns the first address that is free among the ports that next returns.
func choose(next func() int) (string, error) {
	for range maxTries {
		port := next()
		addr := fmt.Sprintf("%s:%d", host, port)
		if _, taken := chosen.LoadOrStore(port, true); !taken && isFree(addr) {
			return addr, nil
		}
	}
	return "", ErrNoPort
}

func isFree(addr string) bool {
	stream, err := net.Listen("tcp4", addr)
	if err != nil {
		return false
	}
	defer func() { _ = stream.Close() }()
	packets, err := net.ListenPacket("udp4", addr)
	if err != nil {
		return false
	}
	return packets.Close() == nil
}
