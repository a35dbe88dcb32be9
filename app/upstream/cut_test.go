package upstream_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/kumquatsill/kumquatsill/app/upstream"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// cutServer answers a request for "/N" with the first N bytes of a text and ends the
// connection, and all others with a whole response.
func cutServer(t *testing.T, text string, end func(net.Conn)) *server {
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
			go answerCut(c, text, end)
		}
	}()
	return &server{addr: ln.Addr().String()}
}

func answerCut(c net.Conn, text string, end func(net.Conn)) {
	reader := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		n := 0
		if _, err := fmt.Sscanf(req.RequestURI, "/%d", &n); err == nil {
			write(text[:n])(c)
			end(c)
			return
		}
		write(response("1", "whole"))(c)
	}
}

// Guards against taking an answer for a whole one that stops at any byte: of its head, also
// after a 1xx response or on a kept connection, of a chunk, its size or extension, or of the
// trailer. Where the end of the connection alone ends the body, only a reset shows that it
// was cut.
func TestAnswerCutAtAnyByte(t *testing.T) {
	const (
		ok      = "HTTP/1.1 200 OK\r\nId: 1\r\n"
		length  = ok + "Content-Length: 10\r\n\r\n0123456789"
		chunked = ok + "Transfer-Encoding: chunked\r\nTrailer: Sum\r\n\r\n4;name=\"value\"\r\n0123\r\n00006\r\n456789\r\n0;last\r\nSum: 7\r\n\r\n"
	)
	for name, text := range map[string]string{
		"length": length, "chunked": chunked,
		"bare line feeds": strings.ReplaceAll(length, "\r\n", "\n"), "unframed": ok + "\r\n0123456789",
	} {
		for before, prefix := range map[string]string{"": "", " after 1xx": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nId: 1\r\n\r\n"} {
			for how, end := range map[string]func(net.Conn){"closed": closeConn, "reset": reset} {
				t.Run(name+before+" "+how, func(t *testing.T) {
					t.Parallel()
					whole := prefix + text
					last := len(whole)
					if name == "unframed" && how == "closed" {
						last -= len("0123456789") // what follows is a body in itself
					}
					s := cutServer(t, whole, end)
					for n := range last {
						expectCut(t, s, n, false)
						expectCut(t, s, n, true)
					}
					r := request(s, "1")
					r.Target = "/" + itoa(len(whole))
					if body, err := send(t, upstream.New(), r); how == "closed" && (err != nil || body != "0123456789") {
						t.Errorf("the whole answer: %q, %v", body, err)
					}
				})
			}
		}
	}
}

// expectCut expects an error for an answer that is cut after n bytes, on a new connection or
// on one that has carried a whole answer.
func expectCut(t *testing.T, s *server, n int, kept bool) {
	t.Helper()
	c := upstream.New()
	if kept {
		if body, err := send(t, c, request(s, "1")); err != nil || body != "whole" {
			t.Fatalf("%q, %v", body, err)
		}
	}
	r := request(s, "1")
	r.Target = "/" + itoa(n)
	resp, err := c.Send(t.Context(), r)
	if err != nil {
		if e := asSendError(t, err); e.Verdict != proto.MayHaveRun {
			t.Errorf("cut after %d bytes: verdict %v", n, e.Verdict)
		}
		return
	}
	defer resp.Close()
	if body, err := io.ReadAll(resp.Body); err == nil {
		t.Errorf("cut after %d bytes, kept %t: status %d, body %q taken for a whole answer", n, kept, resp.Status, body)
	}
}

// Guards against taking the answer to a HEAD request, which never has a body, for one that
// was cut before it.
func TestAnswerToHeadDoesNotEndWithItsConnection(t *testing.T) {
	s := serve(t, write("HTTP/1.1 200 OK\r\nId: 1\r\n\r\n"))
	r := request(s, "1")
	r.Method = http.MethodHead
	resp, err := upstream.New().Send(t.Context(), r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Close()
	if body, err := io.ReadAll(resp.Body); len(body) > 0 || err != nil || resp.EndsWithConnection() {
		t.Errorf("%q, %v, ends with its connection %t", body, err, resp.EndsWithConnection())
	}
}
