package front_test

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// Guards against counting an attempt as run that was given up while its connection was
// still being established, so that a request that no endpoint ran ends as failed instead of
// refused.
func TestAttemptGivenUpBeforeItsConnectionHasNotRun(t *testing.T) {
	b := newTestbed(t)
	b.configure(func(cfg map[string]any) {
		for _, route := range cfg["routes"].([]any) {
			route.(map[string]any)["targetLatencyMs"] = 100
		}
	})
	b.addrs[2] = unansweredAddr(t)
	b.register(2, "ready")
	shedAlways(b.engines[3])
	r := b.awaitEndpoints(b.start("r1"))
	for i := range 6 { // some of them are sent to the first endpoint
		if status, _ := r.call(fmt.Sprint("/look/", i), "secret"); status != http.StatusServiceUnavailable {
			t.Errorf("call %d: status %d, want 503", i, status)
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// unansweredAddr returns an address at which connections are neither accepted nor refused.
func unansweredAddr(t *testing.T) string {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = unix.Close(fd) })
	if err := errors.Join(unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), unix.Listen(fd, 0)); err != nil {
		t.Fatal(err)
	}
	name, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr := fmt.Sprint("127.0.0.1:", name.(*unix.SockaddrInet4).Port)
	for { // until the queue of connections to accept is full
		conn, err := net.DialTimeout("tcp4", addr, 100*time.Millisecond)
		if err != nil {
			return addr
		}
		t.Cleanup(func() { _ = conn.Close() })
	}
}
