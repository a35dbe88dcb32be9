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

// server answers each connection by a script, one step a request; the request
// itself has been read when a step begins.
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
			go play(c, script)
		}
	}()
	return s
}

func play(c net.Conn, script []func(net.Conn)) {
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

func answer(id, body string) string {
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
		Matches: func(h http.Header) bool { return h.Get("Id") == id },
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

func verdict(t *testing.T, err error) *upstream.SendError {
	t.Helper()
	var send *upstream.SendError
	if !errors.As(err, &send) {
		t.Fatalf("error %v is no SendError", err)
	}
	return send
}

// Guards against sending a request a second time by itself when a kept
// connection breaks, as net/http's transport does: it may run twice.
func TestBrokenKeptConnectionIsNotRetried(t *testing.T) {
	s := serve(t, write(answer("1", "one")), reset)
	c := upstream.New()
	if body, err := send(t, c, request(s, "1")); err != nil || body != "one" {
		t.Fatalf("%q, %v", body, err)
	}
	_, err := send(t, c, request(s, "2"))
	if v := verdict(t, err); v.Verdict != proto.MayHaveRun || !v.ConnectionLost {
		t.Fatalf("verdict %v, broke %v", v.Verdict, v.ConnectionLost)
	}
	if len(s.conns) != 1 {
		t.Fatalf("%d connections, the request was sent again", len(s.conns))
	}
}

// Guards against a wrong "may have run" where nothing has left this host.
func TestRefusedConnectionHasNotRun(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{addr: ln.Addr().String()}
	_ = ln.Close()
	_, err = send(t, upstream.New(), request(s, "1"))
	if v := verdict(t, err); v.Verdict != proto.NotRun {
		t.Fatalf("verdict %v", v.Verdict)
	}
}

// Guards against handing out an extra answer to an earlier request as the
// answer to the next one.
func TestExtraAnswerIsSkipped(t *testing.T) {
	s := serve(t, func(c net.Conn) {
		_, _ = io.WriteString(c, answer("1", "one"))
	}, func(c net.Conn) {
		_, _ = io.WriteString(c, answer("1", "extra")+answer("2", "two"))
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
		t.Fatal("the extra answer was not counted")
	}
}

// Guards against using a connection on which more bytes came than the answer
// has, or which its server has closed.
func TestConnectionWithStrayBytesIsDropped(t *testing.T) {
	for name, after := range map[string]func(net.Conn){"stray bytes": write("HTTP/1.1 200 OK\r\n"), "end": closeConn} {
		done := make(chan struct{}, 2)
		s := serve(t, func(c net.Conn) {
			_, _ = io.WriteString(c, answer("1", "one"))
			after(c)
			done <- struct{}{}
		})
		c := upstream.New()
		if _, err := send(t, c, request(s, "1")); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		<-done // on loopback, what was written has arrived
		s2 := &server{addr: s.addr}
		if _, err := send(t, c, request(s2, "1")); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if len(s.conns) != 2 {
			t.Fatalf("%s: the connection was used again", name)
		}
	}
}

// Guards against taking an answer that breaks off for a whole one.
func TestCutAnswersAreErrors(t *testing.T) {
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
			t.Errorf("%s: %q was taken for a whole answer", name, body)
		}
	}
}

// Guards against losing an answer without length, which ends with its
// connection, and against taking one that was reset for a whole one.
func TestAnswerWithoutLength(t *testing.T) {
	for name, end := range map[string]func(net.Conn){"end": closeConn, "reset": reset} {
		s := serve(t, func(c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nabc")
			end(c)
		})
		body, err := send(t, upstream.New(), request(s, "1"))
		if whole := err == nil && body == "abc"; whole != (name == "end") {
			t.Errorf("%s: %q, %v", name, body, err)
		}
	}
}

// Guards against a deadlock with a server that answers before it has read a
// long request, and against using its connection on.
func TestEarlyAnswerToLongRequest(t *testing.T) {
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
			_, _ = io.WriteString(c, answer("1", "no"))
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
		t.Fatal("the connection with the rest of the first request was used again")
	}
}

// Guards against waiting for an endpoint after the caller has left.
func TestCancelEndsTheWait(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	s := serve(t, func(net.Conn) { cancel() })
	_, err := upstream.New().Send(ctx, request(s, "1"))
	if v := verdict(t, err); v.Verdict != proto.MayHaveRun || v.ConnectionLost {
		t.Fatalf("verdict %v, broke %v", v.Verdict, v.ConnectionLost)
	}
}

// Guards against a request that may run once only on a connection that has
// been unused for long, and against keeping connections longer than allowed.
func TestIdleLimits(t *testing.T) {
	s := serve(t, write("HTTP/1.1 200 OK\r\nId: 1\r\nKeep-Alive: timeout=0\r\nContent-Length: 0\r\n\r\n"))
	c := upstream.New()
	for range 2 {
		if _, err := send(t, c, request(s, "1")); err != nil {
			t.Fatal(err)
		}
	}
	if len(s.conns) != 2 {
		t.Fatal("a connection was kept although the server keeps none")
	}
	s = serve(t, write(answer("1", "")), write(answer("1", "")))
	for range 2 {
		r := request(s, "1")
		r.MaxIdle = time.Nanosecond
		if _, err := send(t, c, r); err != nil {
			t.Fatal(err)
		}
	}
	if len(s.conns) != 2 {
		t.Fatal("an unused connection carried a request that wants a fresh one")
	}
}

// Guards against passing on a part of an event, and against joining events.
func TestEvents(t *testing.T) {
	text := "kumquat-version: 3\nid: 1\ndata: a\n\n\n\nid: 2\r\ndata: b\r\ndata: c\r\n\r\ndata: d\n\nid: 4\ndata: cut"
	events := upstream.NewEventReader(strings.NewReader(text))
	var got []string
	for {
		e, err := events.Next()
		if err != nil {
			if !errors.Is(err, io.ErrUnexpectedEOF) {
				t.Fatalf("a cut event ends with %v", err)
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
		t.Fatalf("an empty stream ends with %v", err)
	}
}

// Guards against whole events that are held back, and lost if the stream breaks
// off, since a part of the next one has come with them.
func TestPartOfAnEventIsNotNext(t *testing.T) {
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
