package freeport

import (
	"errors"
	"net"
	"strconv"
	"strings"
	"testing"
)

// Guards against a port that another process has taken, for TCP or for UDP, and against one
// that is chosen twice.
func TestTakenPortsAreNotChosen(t *testing.T) {
	stream, err := net.Listen("tcp4", host+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = stream.Close() }()
	packets, err := net.ListenPacket("udp4", host+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = packets.Close() }()
	free, err := Addr()
	if err != nil {
		t.Fatal(err)
	}
	var ports []int
	for _, addr := range []string{stream.Addr().String(), packets.LocalAddr().String(), free} {
		port, err := strconv.Atoi(addr[strings.LastIndexByte(addr, ':')+1:])
		if err != nil {
			t.Fatal(err)
		}
		ports = append(ports, port)
	}
	n := 0
	if addr, err := choose(func() int { n++; return ports[n%len(ports)] }); !errors.Is(err, ErrNoPort) {
		t.Errorf("%s, %v", addr, err)
	}
}
