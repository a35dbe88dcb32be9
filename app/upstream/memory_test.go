package upstream_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/app/upstream"
)

// memoryLimit is the limit of the responses of these tests together.
const memoryLimit = 64 << 10

// serveBytes answers the first request on each connection with text, without an end if
// endless.
func serveBytes(t *testing.T, text string, endless bool) (addr string) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				_, err := http.ReadRequest(bufio.NewReader(c))
				if err == nil {
					_, err = io.WriteString(c, text)
				}
				for err == nil && endless {
					time.Sleep(time.Millisecond)
					_, err = io.WriteString(c, strings.Repeat("x", 1<<10))
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// Guards against answers without end that hold more together than the process may, and
// against sound ones that are given up for them.
func TestEndlessAnswersGiveWay(t *testing.T) {
	const answers = 40
	head := "HTTP/1.1 200 OK\r\n"
	read := map[string]func(*upstream.Response) error{
		head + "X: ": nil,
		head + "\r\ndata: ": func(r *upstream.Response) error {
			_, err := r.Events().Next()
			return err
		},
	}
	for begin, readBody := range read {
		c := upstream.New()
		c.Memory.Limit.Store(memoryLimit)
		addr, sound := serveBytes(t, begin, true), serveBytes(t, head+"\r\nsound", false)
		ended := make(chan error, answers)
		for range answers {
			go func() {
				resp, err := c.Send(t.Context(), &upstream.Request{Addr: addr, Method: "GET", Target: "/", Host: "h"})
				if err == nil {
					err = readBody(resp)
					resp.Close()
				}
				ended <- err
			}()
		}
		for n := 0; n < answers; {
			select {
			case err := <-ended:
				n++
				var sendErr *upstream.SendError
				if errors.As(err, &sendErr) && sendErr.ConnectionLost {
					t.Errorf("%q: an answer that was given up counts as a lost connection: %v", begin, err)
				}
			default:
			}
			if held := c.Memory.Held(); held > memoryLimit {
				t.Fatalf("%q: %d bytes are held", begin, held)
			}
			resp, err := c.Send(t.Context(), &upstream.Request{Addr: sound, Method: "GET", Target: "/", Host: "h"})
			if err != nil {
				t.Fatalf("%q: a sound answer: %v", begin, err)
			}
			if body, whole, err := resp.ReadBody(1 << 10); string(body) != "sound" || !whole || err != nil {
				t.Fatalf("%q: a sound body: %q, %t, %v", begin, body, whole, err)
			}
			resp.Close()
		}
		if c.Memory.GivenUp.Load() == 0 || c.Memory.Held() != 0 {
			t.Errorf("%q: %d given up, %d bytes are still held", begin, c.Memory.GivenUp.Load(), c.Memory.Held())
		}
	}
}

// Guards against a whole body that is lost where memory is scarce: it is read in part, and
// the rest can be passed on.
func TestBodyIsReadInPart(t *testing.T) {
	c := upstream.New()
	c.Memory.Limit.Store(4 << 10)
	text := strings.Repeat("0123456789", 10_000)
	addr := serveBytes(t, "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n"+text, false)
	resp, err := c.Send(t.Context(), &upstream.Request{Addr: addr, Method: "GET", Target: "/", Host: "h"})
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Close()
	body, whole, err := resp.ReadBody(1 << 20)
	if whole || err != nil || len(body) > 16<<10 {
		t.Fatalf("%d bytes, whole %t: %v", len(body), whole, err)
	}
	resp.Release()
	rest, err := io.ReadAll(resp.Body)
	if err != nil || string(body)+string(rest) != text {
		t.Errorf("%d and %d bytes: %v", len(body), len(rest), err)
	}
}
