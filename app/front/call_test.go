package front

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/app/upstream"
	"github.com/kumquatsill/kumquatsill/platform"
)

// Guards against taking a late second copy of a request's answer for the answer to a
// control call that uses the same connection.
func TestControlCallSkipsLateCopyOfAnswer(t *testing.T) {
	const (
		answer  = "HTTP/1.1 200 OK\r\nKumquatsill-Attempt-Id: a1\r\nContent-Length: 2\r\n\r\nok"
		control = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"
	)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		reader := bufio.NewReader(c)
		for _, text := range []string{answer, answer + control} {
			req, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			_, _ = io.WriteString(c, text)
		}
	}()
	client := upstream.New()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	addr := ln.Addr().String()
	resp, err := client.Send(ctx, &upstream.Request{Addr: addr, Method: http.MethodGet, Target: "/x", Host: "h"})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		t.Fatal(err)
	}
	resp.Close()
	status, _, err := endpointCaller{client: client}.Call(ctx, platform.ControlCall{
		Addr: addr, Method: http.MethodGet, Target: "/report", Header: http.Header{},
	})
	if err != nil || status != http.StatusAccepted {
		t.Errorf("status %d, %v", status, err)
	}
	if client.Stats.Reused.Load() != 1 {
		t.Error("the connection was not reused")
	}
}

// Guards against taking a late copy of the answer to an earlier control call for the answer
// to an order: the router would believe that the engine has loaded its weights.
func TestOrderIsNotAnsweredByCopyOfEarlierCall(t *testing.T) {
	const (
		report   = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
		accepted = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"
	)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go answerWithCopies(c, map[string]string{http.MethodGet: report, http.MethodPost: accepted})
		}
	}()
	caller := endpointCaller{client: upstream.New()}
	for _, call := range []struct {
		method string
		status int
	}{{http.MethodGet, http.StatusOK}, {http.MethodPost, http.StatusAccepted}} {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		status, _, err := caller.Call(ctx, platform.ControlCall{
			Addr: ln.Addr().String(), Method: call.method, Target: "/x", Header: http.Header{},
		})
		if err != nil || status != call.status {
			t.Errorf("%s: status %d, %v, want %d", call.method, status, err, call.status)
		}
	}
}

// answerWithCopies answers the requests on a connection by their method, each after a copy
// of the answer before.
func answerWithCopies(c net.Conn, answers map[string]string) {
	reader := bufio.NewReader(c)
	previous := ""
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body) // the requests are short
		_, _ = io.WriteString(c, previous+answers[req.Method])
		previous = answers[req.Method]
	}
}
