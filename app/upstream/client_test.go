package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/app/upstream"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// server runs a script on each connection, one step per request. A step begins
// after its request has been read.
type server struct {
	addr  string
	conns chan net.Conn
}

func serve(t *testing.T, script ...func(net.Conn)) *server {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	s := &server{addr: ln.Addr().String(), conns: make(chan net.Conn, 16)}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.conns <- c
			go runScript(c, script)
		}
	}()
	return s
}

func runScript(c net.Conn, script []func(net.Conn)) {
	reader := bufio.NewReader(c)
	for _, step := range script {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		step(c)
	}
}

func write(text string) func(net.Conn) {
	return func(c net.Conn) { _, _ = io.WriteString(c, text) }
}

func closeConn(c net.Conn) { _ = c.Close() }

func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

func response(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + itoa(len(body)) + "\r\n\r\n" + body
}

func itoa(n int) string {
	const digits = "0123456789"
	if n < 10 {
		return digits[n : n+1]
	}
	return itoa(n/10) + digits[n%10:n%10+1]
}

func request(s *server, id string) *upstream.Request {
	return &upstream.Request{
		Addr: s.addr, Method: http.MethodGet, Target: "/x", Host: "h", Header: http.Header{},
		Matches: func(h http.Header, _ bool) bool { return h.Get("Id") == id },
	}
}

func send(t *testing.T, c *upstream.Client, r *upstream.Request) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	resp, err := c.Send(ctx, r)
	if err != nil {
		return "", err
	}
	defer resp.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

func asSendError(t *testing.T, err error) *upstream.SendError {
	t.Helper()
	var send *upstream.SendError
	if !errors.As(err, &send) {
		t.Fatalf("error %v is not a SendError", err)
	}
	return send
}

// A request must not be retried automatically when a reused connection breaks,
// as net/http's transport does: it could run twice.
func TestBrokenReusedConnectionIsNotRetried(t *testing.T) {
	s := serve(t, write(response("1", "one")), reset)
	c := upstream.New()
	if body, err := send(t, c, request(s, "1")); err != nil || body != "one" {
		t.Fatalf("%q, %v", body, err)
	}
	_, err := send(t, c, request(s, "2"))
	if v := asSendError(t, err); v.Verdict != proto.MayHaveRun || !v.ConnectionLost {
		t.Fatalf("verdict %v, broke %v", v.Verdict, v.ConnectionLost)
	}
	if len(s.conns) != 1 {
		t.Fatalf("%d connections: the request was retried", len(s.conns))
	}
}

// A request of which no byte has left this host must not be reported as one
// that may have run.
func TestRefusedConnectionHasNotRun(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{addr: ln.Addr().String()}
	_ = ln.Close()
	_, err = send(t, upstream.New(), request(s, "1"))
	if v := asSendError(t, err); v.Verdict != proto.NotRun {
		t.Fatalf("verdict %v", v.Verdict)
	}
}

// A second response to an earlier request must not be returned as the response
// to the next one.
func TestExtraResponseIsSkipped(t *testing.T) {
	s := serve(t, func(c net.Conn) {
		_, _ = io.WriteString(c, response("1", "one"))
	}, func(c net.Conn) {
		_, _ = io.WriteString(c, response("1", "extra")+response("2", "two"))
	})
	c := upstream.New()
	for id, want := range []string{"", "one", "two"} {
		if id == 0 {
			continue
		}
		if body, err := send(t, c, request(s, itoa(id))); err != nil || body != want {
			t.Fatalf("request %d: %q, %v", id, body, err)
		}
	}
	if c.Stats.Mismatched.Load() != 1 {
		t.Fatal("the extra response was not counted")
	}
}

// A connection that has received bytes beyond its response, or that the server
// has closed, must not be reused.
func TestConnectionWithStrayBytesIsNotReused(t *testing.T) {
	for name, after := range map[string]func(net.Conn){"stray bytes": write("HTTP/1.1 200 OK\r\n"), "end": closeConn} {
		done := make(chan struct{}, 2)
		s := serve(t, func(c net.Conn) {
			_, _ = io.WriteString(c, response("1", "one"))
			after(c)
			done <- struct{}{}
		})
		c := upstream.New()
		if _, err := send(t, c, request(s, "1")); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		<-done // data written on loopback has arrived by now
		s2 := &server{addr: s.addr}
		if _, err := send(t, c, request(s2, "1")); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if len(s.conns) != 2 {
			t.Fatalf("%s: the connection was reused", name)
		}
	}
}

// A truncated response must not be taken for a complete one.
func TestTruncatedResponsesAreErrors(t *testing.T) {
	for name, text := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 10\r\n\r\nabc",
		"chunked": "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
		"head":    "HTTP/1.1 200 OK\r\nId: 1\r\n",
		"garbage": "hello\r\n\r\n",
	} {
		s := serve(t, func(c net.Conn) {
			_, _ = io.WriteString(c, text)
			_ = c.Close()
		})
		if body, err := send(t, upstream.New(), request(s, "1")); err == nil {
			t.Errorf("%s: %q was taken for a complete response", name, body)
		}
	}
}

// A response without a length, which is delimited by the end of the connection,
// must be returned; if the connection was reset, it must not be taken for a
// complete one.
func TestResponseWithoutLength(t *testing.T) {
	for name, end := range map[string]func(net.Conn){"end": closeConn, "reset": reset} {
		s := serve(t, func(c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nabc")
			end(c)
		})
		body, err := send(t, upstream.New(), request(s, "1"))
		if complete := err == nil && body == "abc"; complete != (name == "end") {
			t.Errorf("%s: %q, %v", name, body, err)
		}
	}
}

// A server that responds before it has read a long request must not cause a
// deadlock, and its connection must not be reused.
func TestEarlyResponseToLongRequest(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	accepted := make(chan struct{}, 4)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			accepted <- struct{}{}
			_, _ = c.Read(make([]byte, 100))
			_, _ = io.WriteString(c, response("1", "no"))
		}
	}()
	c := upstream.New()
	for range 2 {
		r := request(&server{addr: ln.Addr().String()}, "1")
		r.Method, r.Body = http.MethodPost, []byte(strings.Repeat("x", 16<<20))
		if body, err := send(t, c, r); err != nil || body != "no" {
			t.Fatalf("%q, %v", body, err)
		}
	}
	if len(accepted) != 2 {
		t.Fatal("the connection with the rest of the first request was reused")
	}
}

// The wait for a response must end when the context is canceled, as it is when
// the caller leaves.
func TestCancelEndsWait(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	s := serve(t, func(net.Conn) { cancel() })
	_, err := upstream.New().Send(ctx, request(s, "1"))
	if v := asSendError(t, err); v.Verdict != proto.MayHaveRun || v.ConnectionLost {
		t.Fatalf("verdict %v, broke %v", v.Verdict, v.ConnectionLost)
	}
}

// A non-repeatable request must not use a connection that has been idle for too
// long, and no connection may be kept longer than its server allows.
func TestIdleLimits(t *testing.T) {
	s := serve(t, write("HTTP/1.1 200 OK\r\nId: 1\r\nKeep-Alive: timeout=0\r\nContent-Length: 0\r\n\r\n"))
	c := upstream.New()
	for range 2 {
		if _, err := send(t, c, request(s, "1")); err != nil {
			t.Fatal(err)
		}
	}
	if len(s.conns) != 2 {
		t.Fatal("a connection was reused although the server allows no idle time")
	}
	s = serve(t, write(response("1", "")), write(response("1", "")))
	for range 2 {
		r := request(s, "1")
		r.MaxIdle = time.Nanosecond
		if _, err := send(t, c, r); err != nil {
			t.Fatal(err)
		}
	}
	if len(s.conns) != 2 {
		t.Fatal("a connection was reused beyond the request's MaxIdle")
	}
}

// An incomplete event must not be returned, and events must not be merged.
func TestEventReader(t *testing.T) {
	text := "kumquat-version: 3\nid: 1\ndata: a\n\n\n\nid: 2\r\ndata: b\r\ndata: c\r\n\r\ndata: d\n\nid: 4\ndata: cut"
	events := upstream.NewEventReader(strings.NewReader(text))
	var got []string
	for {
		e, err := events.Next()
		if err != nil {
			if !errors.Is(err, io.ErrUnexpectedEOF) {
				t.Fatalf("truncated event: error %v", err)
			}
			break
		}
		got = append(got, itoa(int(e.ID))+":"+string(e.Raw))
		if e.ID == 1 && e.Fields["kumquat-version"] != "3" {
			t.Errorf("fields %v", e.Fields)
		}
	}
	want := []string{"1:kumquat-version: 3\nid: 1\ndata: a\n\n", "2:id: 2\r\ndata: b\r\ndata: c\r\n\r\n", "0:data: d\n\n"}
	if strings.Join(got, "|") != strings.Join(want, "|") {
		t.Fatalf("got %q", got)
	}
	if _, err := upstream.NewEventReader(strings.NewReader("")).Next(); !errors.Is(err, io.EOF) {
		t.Fatalf("empty stream: error %v", err)
	}
}

// An incomplete next event must not count as buffered: the complete events
// before it would be held back, and lost if the stream broke off.
func TestIncompleteEventIsNotBuffered(t *testing.T) {
	for text, want := range map[string]bool{
		"id: 1\n\n": false, "id: 1\n\nid: 2\ndata: cut": false, "id: 1\n\n\n": false,
		"id: 1\n\nid: 2\n\n": true, "id: 1\r\n\r\nid: 2\r\n\r\n": true,
	} {
		events := upstream.NewEventReader(strings.NewReader(text))
		if _, err := events.Next(); err != nil {
			t.Fatal(err)
		}
		if got := events.NextBuffered(); got != want {
			t.Errorf("after the first event of %q: %t", text, got)
		}
	}
}

// writeForever writes text until the connection is closed, and then sends the number of
// bytes written.
func writeForever(text string, written chan<- int) func(net.Conn) {
	return func(c net.Conn) {
		total := 0
		for {
			n, err := io.WriteString(c, text)
			total += n
			if err != nil {
				written <- total
				return
			}
		}
	}
}

// Guards against a process that runs out of memory because a faulty server sends bytes
// without end where the head of an answer is due.
func TestEndlessHeadIsCutOff(t *testing.T) {
	const maxWritten = 8 << 20 // what fits into the buffers of both sockets, and more
	for name, text := range map[string]string{
		"no line ends": strings.Repeat("x", 4096), "header lines": strings.Repeat("X-Filler: aaaaaaaaaaaaaaa\r\n", 100),
	} {
		t.Run(name, func(t *testing.T) {
			written := make(chan int, 1)
			s := serve(t, func(c net.Conn) {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n")
				writeForever(text, written)(c)
			})
			began := time.Now()
			_, err := send(t, upstream.New(), request(s, "1"))
			if e := asSendError(t, err); e.Verdict != proto.MayHaveRun || e.ConnectionLost {
				t.Errorf("verdict %v, connection lost %t", e.Verdict, e.ConnectionLost)
			}
			if took := time.Since(began); took > 3*time.Second {
				t.Errorf("given up after %v", took)
			}
			if n := <-written; n > maxWritten {
				t.Errorf("%d bytes were read", n)
			}
		})
	}
}

// Guards against a caller that waits until its deadline for the rest of an answer that
// nobody needs, because its body is endless, or stalls.
func TestDiscardGivesUpOnEndlessBody(t *testing.T) {
	const head = "HTTP/1.1 503 Busy\r\nId: 1\r\n"
	written := make(chan int, 1)
	for name, step := range map[string]func(net.Conn){
		"endless": func(c net.Conn) {
			_, _ = io.WriteString(c, head+"\r\n")
			writeForever(strings.Repeat("x", 4096), written)(c)
		},
		"stalled": write(head + "Content-Length: 100\r\n\r\nx"),
	} {
		t.Run(name, func(t *testing.T) {
			s := serve(t, step)
			client := upstream.New()
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			resp, err := client.Send(ctx, request(s, "1"))
			if err != nil {
				t.Fatal(err)
			}
			began := time.Now()
			resp.Discard()
			resp.Close()
			if took := time.Since(began); took > time.Second {
				t.Errorf("discarded for %v", took)
			}
			if err := ctx.Err(); err != nil {
				t.Error(err)
			}
		})
	}
}

// Guards against closing a connection that could be reused after a short answer.
func TestDiscardKeepsTheConnection(t *testing.T) {
	s := serve(t, write(response("1", "busy")), write(response("2", "answer")))
	client := upstream.New()
	resp, err := client.Send(context.Background(), request(s, "1"))
	if err != nil {
		t.Fatal(err)
	}
	resp.Discard()
	resp.Close()
	if body, err := send(t, client, request(s, "2")); err != nil || body != "answer" || client.Stats.Reused.Load() != 1 {
		t.Errorf("%q, %v, %d connections reused", body, err, client.Stats.Reused.Load())
	}
}

// matchesUnlessUnnamed accepts a response without ID if its connection has carried no
// other request.
func matchesUnlessUnnamed(id string) func(http.Header, bool) bool {
	return func(h http.Header, alone bool) bool { return h.Get("Id") == id || alone && h.Get("Id") == "" }
}

// Guards against taking a late copy of an earlier response that names no request for the
// response to the next one, and against further use of a connection that returned it.
func TestUnnamedCopyOnKeptConnection(t *testing.T) {
	const refusal = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
	s := serve(t, write(refusal), write(refusal+response("2", "two")))
	c := upstream.New()
	for _, want := range []string{"", "two"} {
		r := request(s, "2")
		r.Matches = matchesUnlessUnnamed("2")
		if body, err := send(t, c, r); err != nil || body != want {
			t.Fatalf("%q, %v, want %q", body, err, want)
		}
	}
	if reused := c.Stats.Reused.Load(); reused != 1 {
		t.Fatalf("%d connections reused, want 1", reused)
	}
	r := request(s, "2")
	r.Matches = matchesUnlessUnnamed("2")
	if _, err := send(t, c, r); err != nil || c.Stats.Reused.Load() != 1 {
		t.Errorf("%v; the connection with a copy was reused: %d", err, c.Stats.Reused.Load())
	}
}

// Guards against an exclusive request on a connection on which a late copy may arrive, and
// against a later request on its connection.
func TestExclusiveRequest(t *testing.T) {
	s := serve(t, write(response("1", "")), write(response("1", "")))
	c := upstream.New()
	for _, exclusive := range []bool{false, true, false} {
		r := request(s, "1")
		r.Exclusive = exclusive
		if _, err := send(t, c, r); err != nil {
			t.Fatal(err)
		}
	}
	if dials, reused := c.Stats.Dials.Load(), c.Stats.Reused.Load(); dials != 2 || reused != 1 {
		t.Errorf("%d dials, %d connections reused, want 2 and 1", dials, reused)
	}
}
