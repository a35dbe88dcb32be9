package front_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"

	"github.com/kumquatsill/kumquatsill/standin/rawanswer"
)

// Guards against a part of an answer that a caller with HTTP/1.0 takes for a whole one: it gets
// no chunks, so that only a reset of its connection shows that the answer was cut off.
func TestCutAnswerIsNotWholeWithHTTP10(t *testing.T) {
	whole := longEvents()
	b, _ := answerTestbed(t, map[string]rawanswer.Answer{
		"cut": func(c net.Conn, r *http.Request) {
			rawanswer.SendAndReset(c, unframed(r, whole[:len(whole)-10]))
		},
		"whole": func(c net.Conn, r *http.Request) { rawanswer.SendAndEnd(c, unframed(r, whole)) },
	})
	r := b.awaitEndpoints(b.start("r1"))
	for _, route := range routes {
		if body, err := r.callWithHTTP10(route + "cut"); !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("%scut: %d of %d bytes, %v; want a reset", route, len(body), len(whole), err)
		}
		if body, err := r.callWithHTTP10(route + "whole"); body != whole || err != nil {
			t.Errorf("%swhole: %d of %d bytes, %v", route, len(body), len(whole), err)
		}
	}
}

// callWithHTTP10 sends a request and returns what it reads of the body.
func (r *router) callWithHTTP10(target string) (string, error) {
	r.t.Helper()
	c, err := net.Dial("tcp4", r.callerAddr)
	if err != nil {
		r.t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	req := r.uniqueRequest(target)
	_, err = fmt.Fprintf(c, "POST %s HTTP/1.0\r\nHost: %s\r\nContent-Length: 0\r\n", target, req.Host)
	if err = errors.Join(err, req.Header.Write(c)); err == nil {
		_, err = io.WriteString(c, "\r\n")
	}
	if err != nil {
		r.t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), req)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}
