package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/kumquatsill/kumquatsill/standin/hosting"
)

// The crowd: each caller keeps one connection for many orders and pauses between them. A machine with 4,100
// descriptors admits 1,950 connections.
const (
	crowdCallers = 2400
	calmCallers  = 1700
	crowdTime    = 85 * time.Second
	maxPause     = time.Second
	orderLimit   = 1500 * time.Millisecond
	headLines    = 200
	// neededFiles is how many files the callers and the router may have to open, each in its process.
	neededFiles = 4500
	// allowedLost is how many requests of kept connections may be lost.
	allowedLost = 3
)

// crowdResult counts what became of the orders.
type crowdResult struct {
	sent, answered, closed, timedOut atomic.Int64
	mu                               sync.Mutex
	// lost holds the orders whose connection ended without a byte of an answer.
	lost []lostOrder
}

type lostOrder struct {
	id            string
	sent, ended   time.Time
	earlierOrders int
	err           error
}

// crowd lets callers that keep their connections send orders, and reports whether sound engines have run more
// than allowedLost orders of connections that were kept and then closed without an answer.
func crowd(f *fleet, trouble bool) (bool, error) {
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err != nil || files.Max < neededFiles {
		return false, fmt.Errorf("%d open files are allowed, %d are needed (%v)", files.Max, neededFiles, err)
	}
	var engines []*hosting.Engine
	for i := range 3 {
		e, err := f.addEngine(fmt.Sprintf("i-plain%d", i+1), "plain", "")
		if err != nil {
			return false, err
		}
		e.ResponseDelay = 20 * time.Millisecond
		engines = append(engines, e)
	}
	f.publish([]string{"key0"}, route("order", "unsafe", "plain", 1500, 150, false))
	if err := f.startRouters(1); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // in touch
	n := calmCallers
	if trouble {
		n = crowdCallers
	}
	var lines strings.Builder
	for i := range headLines {
		fmt.Fprintf(&lines, "X-Part-%d: aaaaaaaaaaaaaaa\r\n", i)
	}
	result := &crowdResult{}
	end := time.Now().Add(crowdTime)
	var wait sync.WaitGroup
	for i := range n {
		wait.Add(1)
		go func() {
			defer wait.Done()
			time.Sleep(time.Duration(i) * 3 * time.Second / time.Duration(n))
			(&orderCaller{addr: f.routers[0].callerAddr, from: fmt.Sprintf("127.78.%d.%d", i/250, 1+i%250), lines: lines.String(), result: result}).run(end)
		}()
	}
	wait.Wait()
	return f.judgeCrowd(n, engines, result), nil
}

// judgeCrowd writes what became of the orders and reports whether the rule was broken.
func (f *fleet) judgeCrowd(callers int, engines []*hosting.Engine, result *crowdResult) bool {
	ran := map[string]bool{}
	for _, e := range engines {
		for _, r := range e.Runs() {
			ran[r.AttemptID] = true
		}
	}
	lostNew, lostKept := 0, 0
	for _, o := range result.lost {
		switch {
		case !ran[o.id]:
		case o.earlierOrders == 0:
			lostNew++
		default:
			lostKept++
			f.record.lineAt(o.sent, "order %s, the %dth of its connection: run by an engine; the connection ended %.1f ms later without an answer (%v)", o.id, o.earlierOrders+1, o.ended.Sub(o.sent).Seconds()*1000, o.err)
		}
	}
	f.record.line("%d callers; %d orders sent, %d answered, %d connections closed without an answer, %d without an answer in time", callers,
		result.sent.Load(), result.answered.Load(), result.closed.Load(), result.timedOut.Load())
	f.record.line("run and closed without an answer: %d on connections that had carried an order before, %d on new ones", lostKept, lostNew)
	return lostKept > allowedLost
}

// orderCaller is one caller with one connection at a time.
type orderCaller struct {
	addr, from, lines string
	result            *crowdResult
	conn              net.Conn
	reader            *bufio.Reader
	earlier           int
}

func (c *orderCaller) run(end time.Time) {
	for time.Now().Before(end) {
		if c.conn == nil && !c.connect() {
			time.Sleep(maxPause / 2)
			continue
		}
		c.order()
		time.Sleep(time.Duration(rand.Int64N(int64(maxPause))))
	}
	if c.conn != nil {
		_ = c.conn.Close()
	}
}

func (c *orderCaller) connect() bool {
	d := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(c.from)}}
	conn, err := d.Dial("tcp4", c.addr)
	if err != nil {
		return false
	}
	c.conn, c.reader, c.earlier = conn, bufio.NewReader(conn), 0
	return true
}

// order sends one order and reads its answer. A connection that the router has closed before is not used.
func (c *orderCaller) order() {
	if c.isClosed() {
		c.drop()
		return
	}
	id := nextID()
	head := "POST /order/1 HTTP/1.1\r\nHost: " + host + "\r\nKumquatsill-Attempt-Id: " + id + "\r\nKumquatsill-Deadline-Remaining: 1500\r\nAuthorization: Token key0\r\n" +
		c.lines + "Content-Length: 5\r\n\r\norder"
	sent := time.Now()
	c.result.sent.Add(1)
	_ = c.conn.SetDeadline(sent.Add(orderLimit + 500*time.Millisecond))
	if _, err := io.WriteString(c.conn, head); err != nil {
		c.end(id, sent, err)
		return
	}
	if _, err := c.reader.Peek(1); err != nil {
		c.end(id, sent, err)
		return
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.drop()
		return
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.Close {
		c.drop()
		return
	}
	c.result.answered.Add(1)
	c.earlier++
}

// isClosed reports whether the router has closed the connection.
func (c *orderCaller) isClosed() bool {
	_ = c.conn.SetReadDeadline(time.Now().Add(50 * time.Microsecond))
	_, err := c.reader.Peek(1)
	return !errors.Is(err, os.ErrDeadlineExceeded)
}

// end records a connection that has ended without a byte of an answer.
func (c *orderCaller) end(id string, sent time.Time, err error) {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.result.timedOut.Add(1)
	} else {
		c.result.closed.Add(1)
		c.result.mu.Lock()
		c.result.lost = append(c.result.lost, lostOrder{id, sent, time.Now(), c.earlier, err})
		c.result.mu.Unlock()
	}
	c.drop()
}

func (c *orderCaller) drop() {
	_ = c.conn.Close()
	c.conn = nil
}
