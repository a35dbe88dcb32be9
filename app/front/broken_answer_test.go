package front_test

import (
	"fmt"
	"maps"
	"net"
	"net/http"
	"path"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/kumquatsill/kumquatsill/standin/rawanswer"
)

// answerTestbed has endpoints that answer a request as the last part of its path says. It
// counts such answers.
func answerTestbed(t *testing.T, answers map[string]rawanswer.Answer) (b *testbed, sent *atomic.Int64) {
	b, sent = newTestbed(t), &atomic.Int64{}
	for i, e := range b.engines {
		b.addrs[i] = b.listen(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			answer := answers[path.Base(r.URL.Path)]
			if answer == nil {
				e.ServeHTTP(w, r)
				return
			}
			sent.Add(1)
			answer.ServeHTTP(w, r)
		}))
		b.register(i, "ready")
	}
	b.configure(unlimited)
	return b, sent
}

// routes are the prefixes of a route of each kind: idempotent calls with and without a key,
// calls that are not, and streams that may be resumed and that may not.
var routes = []string{"/look/", "/open/", "/order/", "/sheet/", "/chat/"}

const (
	firstEvent  = "id: 1\ndata: a\n\n"
	secondEvent = "id: 2\ndata: b\n\n"
	// twoEvents is the body of an answer that is valid on every route.
	twoEvents = firstEvent + secondEvent
)

// ownFields returns the fields that an endpoint's answer to a request has.
func ownFields(r *http.Request) string {
	return "Content-Type: text/event-stream\r\nKumquatsill-Response-Signature: s\r\n" +
		"Kumquatsill-Attempt-Id: " + r.Header.Get("Kumquatsill-Attempt-Id") + "\r\n"
}

// answerTexts holds functions that return the text of the answer to a request, by names.
type answerTexts map[string]func(r *http.Request) string

// answerOf returns the text of an answer with a status line, further fields and a body.
func answerOf(r *http.Request, statusLine, fields, body string) string {
	return statusLine + "\r\n" + ownFields(r) + fields + "\r\n" + body
}

// soundAnswer returns the text of a sound answer with a body of the given text.
func soundAnswer(r *http.Request, body string) string {
	return answerOf(r, "HTTP/1.1 200 OK", fmt.Sprintf("Content-Length: %d\r\n", len(body)), body)
}

// uniqueRequest returns a request that has no part of its prompt in common with others, so
// that none is refused because others have lost their endpoints.
func (r *router) uniqueRequest(target string) *http.Request {
	req := r.request(target, "secret")
	if req.Header.Get("Kumquatsill-Model") != "" {
		req.Header.Set("Kumquatsill-Prompt-Prefix", fmt.Sprintf("a%d:10,b%d:5", r.requests, r.requests))
	}
	return req
}

// expectAnswers expects that callers on each route get a bad gateway for each broken answer, on
// all endpoints, and the body for each sound one.
func expectAnswers(t *testing.T, broken, sound answerTexts, body string) {
	texts := maps.Clone(broken)
	maps.Copy(texts, sound)
	answers := map[string]rawanswer.Answer{}
	for name, text := range texts {
		answers[name] = func(c net.Conn, r *http.Request) { rawanswer.SendAndReadOn(c, text(r)) }
	}
	for _, route := range routes {
		t.Run(path.Base(route), func(t *testing.T) {
			b, sent := answerTestbed(t, answers)
			r := b.awaitEndpoints(b.start("r1"))
			for name := range broken {
				before := sent.Load()
				status, got := r.do(r.uniqueRequest(route + name))
				if status != http.StatusBadGateway || got != "Bad Gateway\n" {
					t.Errorf("%s: status %d, body %q; want 502 of the router", name, status, shorten(got))
				}
				if sent.Load() == before {
					t.Errorf("%s: no endpoint was asked", name)
				}
			}
			for name := range sound {
				if status, got := r.do(r.uniqueRequest(route + name)); status != http.StatusOK || got != body {
					t.Errorf("%s: status %d, body %q; want 200 and the endpoint's body", name, status, shorten(got))
				}
			}
		})
	}
}

// shorten returns the beginning of a long text.
func shorten(text string) string {
	const most = 200
	if len(text) > most {
		return fmt.Sprintf("%s... (%d bytes)", text[:most], len(text))
	}
	return text
}

// longEvents returns the body of an answer that is valid on every route and too long to be
// buffered in full.
func longEvents() string {
	var s strings.Builder
	for i := 1; s.Len() < 300<<10; i++ {
		fmt.Fprintf(&s, "id: %d\ndata: %s\n\n", i, strings.Repeat("x", 1000))
	}
	return s.String()
}

// Guards against a broken answer after which a request that may be repeated fails, a stream does
// not go on behind the events that its caller has, or a request that may run once runs twice.
func TestBrokenAnswerIsRepeatedWhereAllowed(t *testing.T) {
	broken := map[string]rawanswer.Answer{
		"status": func(c net.Conn, r *http.Request) {
			rawanswer.Send(c, answerOf(r, "HTTP/1.1 000 None", "Content-Length: 0\r\n", ""))
		},
		"name": func(c net.Conn, r *http.Request) {
			rawanswer.Send(c, answerOf(r, "HTTP/1.1 200 OK", "Content-Length : 30\r\n", twoEvents))
		},
		"reset": func(c net.Conn, r *http.Request) { rawanswer.SendAndReset(c, unframed(r, firstEvent)) },
	}
	answers := map[string]rawanswer.Answer{}
	var asked atomic.Int64 // endpoints asked for the present request
	for name, answer := range broken {
		answers[name] = func(c net.Conn, r *http.Request) {
			switch {
			case asked.Add(1) == 1:
				answer(c, r)
			case r.Header.Get("Last-Event-Id") == "1":
				rawanswer.Send(c, soundAnswer(r, secondEvent))
			default:
				rawanswer.Send(c, soundAnswer(r, twoEvents))
			}
		}
	}
	b, _ := answerTestbed(t, answers)
	b.configure(uploadConfig)
	r := b.awaitEndpoints(b.start("r1"))
	for _, route := range routes {
		mayRepeat := route != "/order/" && route != "/chat/"
		for name := range broken {
			asked.Store(0)
			status, body := r.upload(route + name)
			if mayRepeat && (status != http.StatusOK || body != twoEvents || asked.Load() != 2) {
				t.Errorf("%s%s: status %d, body %q, %d endpoints; want the whole answer of the second", route, name, status, body, asked.Load())
			}
			if !mayRepeat && (status == http.StatusOK || asked.Load() != 1) {
				t.Errorf("%s%s: status %d, body %q, %d endpoints; want no answer of one", route, name, status, body, asked.Load())
			}
		}
	}
}
