package httpconn_test

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/app/httpconn"
	"github.com/kumquatsill/kumquatsill/standin/rawanswer"
)

// connect returns a connection to a server that does one thing with it.
func connect(t *testing.T, serve func(c net.Conn)) *httpconn.Conn {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		serve(c)
	}()
	c, err := net.Dial("tcp4", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(10 * time.Second)) // a hanging test fails
	return &httpconn.Conn{Conn: c}
}

// longRequest is more than the socket buffers of a connection hold.
var longRequest = make([]byte, 8<<20)

// Guards against a reset that reads as the end of the connection because a write has received
// it, and against a write that goes on after the server has ended its side.
func TestReadTellsResetFromEnd(t *testing.T) {
	const repetitions = 20 // it is left to chance whether the read or the write receives the reset
	writes := map[string]func(c *httpconn.Conn) error{
		"one buffer": func(c *httpconn.Conn) error {
			_, err := c.Write(longRequest)
			return err
		},
		"several buffers": func(c *httpconn.Conn) error {
			return c.WriteBuffers(net.Buffers{[]byte("head"), longRequest})
		},
	}
	for name, write := range writes {
		for how, tc := range map[string]struct {
			serve func(c net.Conn)
			reset bool
		}{
			"reset":           {func(c net.Conn) { rawanswer.SendAndReset(c, "part") }, true},
			"end":             {func(c net.Conn) { rawanswer.SendAndEnd(c, "part"); time.Sleep(time.Second) }, false},
			"reset after end": {func(c net.Conn) { rawanswer.SendAndEnd(c, "part"); rawanswer.SendAndReset(c, "") }, false},
		} {
			t.Run(name+" "+how, func(t *testing.T) {
				t.Parallel()
				for range repetitions {
					c := connect(t, tc.serve)
					written := make(chan error, 1)
					go func() { written <- write(c) }()
					got, err := io.ReadAll(c)
					if string(got) != "part" || (err != nil) != tc.reset {
						t.Errorf("read %q, %v", got, err)
					}
					if err := <-written; err == nil {
						t.Error("the write had no error")
					}
				}
			})
		}
	}
}

// Guards against a whole response that reads as one that was lost, though the request was
// written without an error and the server has ended the connection.
func TestEndAfterWholeRequest(t *testing.T) {
	c := connect(t, func(c net.Conn) {
		_, _ = io.ReadFull(c, make([]byte, len("request"))) // without it the test fails
		rawanswer.Send(c, "whole")
	})
	if _, err := io.WriteString(c, "request"); err != nil {
		t.Fatal(err)
	}
	if got, err := io.ReadAll(c); string(got) != "whole" || err != nil {
		t.Errorf("read %q, %v", got, err)
	}
}

// failedConn is a connection of which a write has received the error that ended it, so that
// reads see its end only.
type failedConn struct {
	net.Conn
	writeErr error
}

func (c failedConn) Write([]byte) (int, error)        { return 0, c.writeErr }
func (c failedConn) Read([]byte) (int, error)         { return 0, io.EOF }
func (c failedConn) SetWriteDeadline(time.Time) error { return nil }

// Guards against other losses of a connection that read as its end.
func TestReadReportsLossThatWriteHasReceived(t *testing.T) {
	for _, loss := range []error{syscall.ECONNRESET, syscall.ETIMEDOUT, syscall.EHOSTUNREACH} {
		c := &httpconn.Conn{Conn: failedConn{writeErr: &net.OpError{Op: "write", Err: loss}}}
		_, _ = c.Write([]byte("x"))
		if _, err := c.Read(make([]byte, 1)); !errors.Is(err, loss) {
			t.Errorf("%v: %v", loss, err)
		}
	}
}
