package hostile_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/standin/hosting"
)

const (
	// bodyClients is the number of clients that send bodies at the same time.
	bodyClients = 48
	// completeEvery is the share of those clients, as a divisor, that end their bodies.
	completeEvery = 8
	// pieceBytes and pieceInterval are how a body is sent piece by piece.
	pieceBytes    = 64 << 10
	pieceInterval = 5 * time.Millisecond
	lastChunk     = "0\r\n\r\n"
	chunkedLine   = "Transfer-Encoding: chunked\r\n\r\n"
)

// chunked returns the wire form of a body without its last chunk.
func chunked(size, chunk int) []byte {
	var b bytes.Buffer
	data := bytes.Repeat([]byte("x"), chunk)
	for left := size; left > 0; left -= chunk {
		n := min(left, chunk)
		fmt.Fprintf(&b, "%x\r\n%s\r\n", n, data[:n])
	}
	return b.Bytes()
}

// sendChunked sends bodies of the largest legal size in chunks; most lack their end.
func sendChunked(t *testing.T, chunk int) {
	r := startRouter(t, memoryMb, descriptors)
	data := chunked(bodyBytes, chunk)
	r.crowd(bodyClients, r.dial, func(i int, c net.Conn) {
		_, _ = io.WriteString(c, head("/plain/x", crowdKey)+chunkedLine)
		_, _ = c.Write(data)
		if i%completeEvery == 0 {
			_, _ = io.WriteString(c, lastChunk)
		}
	})
	r.check()
}

// Guards against a router that keeps all bodies that arrive in large chunks and do not end.
func TestLargeChunks(t *testing.T) { sendChunked(t, 256<<10) }

// Guards against a router that keeps all bodies that arrive in very small chunks.
func TestSmallChunks(t *testing.T) { sendChunked(t, 16) }

// Guards against a router that keeps bodies that are announced as far too large.
func TestAnnouncedOversizedBodies(t *testing.T) {
	r := startRouter(t, memoryMb, descriptors)
	data := bytes.Repeat([]byte("x"), 4*bodyBytes)
	r.crowd(bodyClients, r.dial, func(_ int, c net.Conn) {
		_, _ = fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n", head("/plain/x", crowdKey), 1<<30)
		_, _ = c.Write(data)
	})
	r.check()
}

// Guards against a router that keeps bodies that grow far beyond the limit unannounced.
func TestUnannouncedOversizedBodies(t *testing.T) {
	r := startRouter(t, memoryMb, descriptors)
	data := chunked(4*bodyBytes, 64<<10)
	r.crowd(bodyClients, r.dial, func(_ int, c net.Conn) {
		_, _ = io.WriteString(c, head("/plain/x", crowdKey)+chunkedLine)
		_, _ = c.Write(data)
	})
	r.check()
}

// Guards against a router that takes more bodies of legal size than it has memory for while
// their endpoint is at work on them.
func TestWholeLegalBodies(t *testing.T) {
	r := startRouter(t, memoryMb, descriptors)
	slow := hosting.NewEngine("slow-1", "slow", "")
	slow.ResponseDelay = 2 * time.Second
	r.register(slow, r.listen(slow))
	data := bytes.Repeat([]byte("x"), bodyBytes)
	r.crowd(bodyClients, r.dial, func(_ int, c net.Conn) {
		_, _ = fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n", head("/slow/x", crowdKey), len(data))
		_, _ = c.Write(data)
	})
	r.check()
}

// Guards against a router that keeps all bodies of legal size that arrive piece by piece and
// stop short of their end.
func TestPiecewiseLegalBodies(t *testing.T) {
	r := startRouter(t, memoryMb, descriptors)
	data := bytes.Repeat([]byte("x"), bodyBytes)
	r.crowd(bodyClients, r.dial, func(i int, c net.Conn) {
		_, err := fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n", head("/plain/x", crowdKey), len(data))
		end := len(data) - 1
		if i%completeEvery == 0 {
			end++
		}
		for sent := 0; sent < end && err == nil; sent += pieceBytes {
			_, err = c.Write(data[sent:min(end, sent+pieceBytes)])
			time.Sleep(pieceInterval)
		}
	})
	r.check()
}
