package httpconn

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Conn is the connection of a client to a server. Its Read returns io.EOF only if the server has
// ended its side. A plain TCP connection also returns io.EOF if it was reset while a write was
// waiting: the kernel reports the reset to one call alone, which may be the write.
type Conn struct {
	net.Conn
	writing sync.Mutex
	// writeErr is the first error of a write; writing guards it.
	writeErr error
}

// Write implements io.Writer.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	c.recordWrite(err)
	return n, err
}

// WriteBuffers writes several buffers, in as few system calls as possible.
func (c *Conn) WriteBuffers(buffers net.Buffers) error {
	c.writing.Lock()
	defer c.writing.Unlock()
	_, err := buffers.WriteTo(c.Conn)
	c.recordWrite(err)
	return err
}

func (c *Conn) recordWrite(err error) {
	if c.writeErr == nil {
		c.writeErr = err
	}
}

// Read implements io.Reader.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		if lost := c.endWrites(); lost != nil {
			return n, lost
		}
	}
	return n, err
}

// endWrites ends the write in progress and all further ones, and returns the error with which a
// write has shown that the connection was lost, or nil. A server that has ended its side has
// sent its whole response and needs no more of the request.
func (c *Conn) endWrites() error {
	// If the deadline cannot be set, the connection is closed and the write has ended.
	_ = c.SetWriteDeadline(time.Now())
	c.writing.Lock()
	defer c.writing.Unlock()
	if errors.Is(c.writeErr, os.ErrDeadlineExceeded) || errors.Is(c.writeErr, syscall.EPIPE) {
		return nil // EPIPE: the server had ended its side before it reset the connection
	}
	return c.writeErr
}
