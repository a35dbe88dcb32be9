package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/kumquatsill/kumquatsill/app/httpconn"
	"golang.org/x/sys/unix"
)

const (
	// dialTimeout limits connection establishment, which takes a few
	// milliseconds within a region.
	dialTimeout = 400 * time.Millisecond
	// userTimeout is the TCP_USER_TIMEOUT: a connection is closed if sent data
	// stays unacknowledged for this long.
	userTimeout = 2500 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount configure the TCP
	// keep-alive probes that detect a dead peer behind an idle connection.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// conn is one connection to a server, which carries one request at a time.
type conn struct {
	*httpconn.Conn
	addr   string
	reader *bufio.Reader
	// hold is the memory of the response that is read, if any.
	hold *hold
	// head checks the head that is read while inHead is set, headLeft is the number of bytes
	// that may still be read of it.
	head     httpconn.Head
	headLeft int
	inHead   bool
	// reused is set if another request was sent before, strayed once a response was
	// received that did not match its request.
	reused, strayed bool
	// idleSince and keepAliveTimeout limit how long an idle connection may be reused.
	idleSince        time.Time
	keepAliveTimeout time.Duration
}

// headCopies is how often the text of a head is held while it is read, headLineBytes what
// each of its lines takes in addition.
const (
	headCopies    = 2
	headLineBytes = 64
)

// Read implements io.Reader. It limits, checks and counts what is read of a head.
func (cn *conn) Read(p []byte) (int, error) {
	if cn.inHead && cn.headLeft <= 0 {
		return 0, &invalidResponseError{"the head of the answer is too long"}
	}
	if cn.inHead {
		p = p[:min(len(p), cn.headLeft)]
	}
	n, err := cn.Conn.Read(p)
	held := 0
	if cn.inHead {
		cn.headLeft -= n
		headBytes, headErr := cn.checkHead(p[:n])
		if headErr != nil {
			return 0, headErr
		}
		held = headCopies*headBytes + headLineBytes*bytes.Count(p[:headBytes], []byte("\n"))
	}
	if full := cn.hold.add(held); full != nil {
		return 0, full
	}
	return n, err
}

// checkHead checks further bytes of a head and returns how many of them belong to it.
func (cn *conn) checkHead(p []byte) (headBytes int, err error) {
	headBytes, err = cn.head.Check(p)
	if err != nil {
		return 0, &invalidResponseError{err.Error()}
	}
	return headBytes, nil
}

// connect returns a pooled connection that still appears usable, or dials a new
// one, as it always does for an exclusive request.
func (c *Client) connect(ctx context.Context, req *Request) (*conn, error) {
	if req.Exclusive {
		return c.dial(ctx, req.Addr)
	}
	now := time.Now()
	for {
		cn := c.take(req.Addr)
		if cn == nil {
			return c.dial(ctx, req.Addr)
		}
		idleFor := now.Sub(cn.idleSince)
		if idleFor < cn.keepAliveTimeout && (req.MaxIdle == 0 || idleFor < req.MaxIdle) && cn.isUsable() {
			c.Stats.Reused.Add(1)
			cn.reused = true
			return cn, nil
		}
		c.Stats.Stale.Add(1)
		_ = cn.Close()
	}
}

// take removes the most recently used idle connection to addr from the pool, or
// returns nil.
func (c *Client) take(addr string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[addr]
	if len(list) == 0 {
		return nil
	}
	cn := list[len(list)-1]
	c.idle[addr] = list[:len(list)-1]
	return cn
}

// put returns a connection to the pool.
func (c *Client) put(cn *conn) {
	cn.idleSince = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle[cn.addr] = append(c.idle[cn.addr], cn)
}

func (c *Client) dial(ctx context.Context, addr string) (*conn, error) {
	c.Stats.Dials.Add(1)
	d := net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: setUserTimeout,
	}
	nc, err := d.DialContext(ctx, "tcp4", addr)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	cn := &conn{Conn: &httpconn.Conn{Conn: nc}, addr: addr, keepAliveTimeout: defaultKeepAlive}
	cn.reader = bufio.NewReaderSize(cn, readBufferBytes)
	return cn, nil
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	return errors.Join(err, optErr)
}

// isUsable reports whether an idle connection is still open and has received
// no unsolicited data.
func (cn *conn) isUsable() bool {
	if cn.reader.Buffered() > 0 {
		return false
	}
	sc, ok := cn.Conn.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		noData = errors.Is(e, unix.EAGAIN)
		return true
	})
	return err == nil && noData
}

// CloseIdle closes connections that have been idle for longer than their
// keep-alive timeout, and those to addresses for which keep returns false.
func (c *Client) CloseIdle(keep func(addr string) bool) {
	now := time.Now()
	c.mu.Lock()
	var gone []*conn
	for addr, list := range c.idle {
		var kept []*conn
		for _, cn := range list {
			if keep(addr) && now.Sub(cn.idleSince) < cn.keepAliveTimeout {
				kept = append(kept, cn)
			} else {
				gone = append(gone, cn)
			}
		}
		if len(kept) == 0 {
			delete(c.idle, addr)
		} else {
			c.idle[addr] = kept
		}
	}
	c.mu.Unlock()
	for _, cn := range gone {
		_ = cn.Close()
	}
}
