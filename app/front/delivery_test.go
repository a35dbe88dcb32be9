package front_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
)

// answer is one response of an engine to a request.
type answer func(w http.ResponseWriter, r *http.Request)

// scriptEngines makes all engines give the answers in turn to the requests for paths
// with a prefix, and serve all other requests as usual.
func (b *testbed) scriptEngines(prefix string, answers ...answer) {
	var requests atomic.Int32
	for i, e := range b.engines {
		b.addrs[i] = b.listen(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if !strings.HasPrefix(r.URL.Path, prefix) {
				e.ServeHTTP(w, r)
				return
			}
			if n := int(requests.Add(1)); n <= len(answers) {
				_, _ = io.Copy(io.Discard, r.Body) // the request is short
				answers[n-1](w, r)
				return
			}
			e.ServeHTTP(w, r)
		}))
		b.register(i, "ready")
	}
}

func setAnswerHeader(w http.ResponseWriter, r *http.Request, contentType string) {
	w.Header().Set("Kumquatsill-Attempt-Id", r.Header.Get("Kumquatsill-Attempt-Id"))
	w.Header().Set("Kumquatsill-Response-Signature", "sig")
	w.Header().Set("Content-Type", contentType)
}

// errorAnswer returns an answer with a status and a body of the given length.
func errorAnswer(status, length int) answer {
	return func(w http.ResponseWriter, r *http.Request) {
		setAnswerHeader(w, r, "text/plain")
		w.Header().Set("Content-Length", fmt.Sprint(length))
		w.WriteHeader(status)
		_, _ = io.WriteString(w, strings.Repeat("E", length)) // a write only fails if the router has left
	}
}

// eventStream returns an answer with the events of the given range.
func eventStream(first, last int) answer {
	return func(w http.ResponseWriter, r *http.Request) { writeEvents(w, r, "id: %d\ndata: x\n\n", first, last) }
}

func writeEvents(w http.ResponseWriter, r *http.Request, format string, first, last int) {
	setAnswerHeader(w, r, "text/event-stream")
	for i := first; i <= last; i++ {
		_, _ = fmt.Fprintf(w, format, i) // a write only fails if the router has left
	}
	_ = http.NewResponseController(w).Flush() // likewise
}

// brokenStream returns an answer with the events of the given range that breaks off.
func brokenStream(first, last int) answer {
	return func(w http.ResponseWriter, r *http.Request) {
		writeEvents(w, r, "id: %d\ndata: x\n\n", first, last)
		panic(http.ErrAbortHandler)
	}
}

// brokenUnnumberedStream returns an answer with two events without IDs that breaks off.
func brokenUnnumberedStream(w http.ResponseWriter, r *http.Request) {
	writeEvents(w, r, "data: %d\n\n", 1, 2)
	panic(http.ErrAbortHandler)
}

// unframedEnd sends the head of a stream without length and chunks, and closes the
// connection.
func unframedEnd(w http.ResponseWriter, r *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nKumquatsill-Response-Signature: sig\r\nKumquatsill-Attempt-Id: %s\r\n\r\n",
		r.Header.Get("Kumquatsill-Attempt-Id")) // the connection ends in any case
	_ = conn.Close()
}

// longBody is longer than what the router buffers of a response.
const longBody = 600 << 10

// brokenBody sends the first half of a long response and breaks off.
func brokenBody(w http.ResponseWriter, r *http.Request) {
	setAnswerHeader(w, r, "text/plain")
	w.Header().Set("Content-Length", fmt.Sprint(longBody))
	_, _ = io.WriteString(w, strings.Repeat("x", longBody/2)) // a write only fails if the router has left
	panic(http.ErrAbortHandler)
}

// Guards against an error response, or any other that does not continue it, in the middle
// of a stream that has begun, and against a stream that then ends as if it were complete.
func TestBegunStreamIsOnlyContinued(t *testing.T) {
	const incomplete = 0
	for name, c := range map[string]struct {
		answers []answer
		status  int
		events  string
	}{
		"client error":          {[]answer{brokenStream(1, 2), errorAnswer(400, 20)}, incomplete, "1,2"},
		"long client error":     {[]answer{brokenStream(1, 2), errorAnswer(404, longBody)}, incomplete, "1,2"},
		"server error":          {[]answer{brokenStream(1, 2), errorAnswer(500, 20)}, incomplete, "1,2"},
		"redirect":              {[]answer{brokenStream(1, 2), errorAnswer(302, 20)}, incomplete, "1,2"},
		"no stream":             {[]answer{brokenStream(1, 2), errorAnswer(200, 20)}, incomplete, "1,2"},
		"stream after an error": {[]answer{errorAnswer(500, 20), eventStream(1, 5)}, http.StatusOK, "1,2,3,4,5"},
		"gap":                   {[]answer{brokenStream(1, 2), eventStream(4, 5)}, incomplete, "1,2"},
		"repeated events":       {[]answer{brokenStream(1, 2), eventStream(1, 5)}, http.StatusOK, "1,2,3,4,5"},
		"shorter stream":        {[]answer{brokenStream(1, 3), eventStream(1, 2)}, incomplete, "1,2,3"},
		"nothing left":          {[]answer{brokenStream(1, 5), eventStream(6, 5)}, http.StatusOK, "1,2,3,4,5"},
		"end of the connection": {[]answer{brokenStream(1, 2), unframedEnd}, incomplete, "1,2"},
		"events without IDs":    {[]answer{brokenUnnumberedStream, eventStream(1, 5)}, incomplete, ""},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t)
			b.scriptEngines("/sheet/", c.answers...)
			b.configure(nil)
			r := b.startReady("r1")
			status, body := r.call("/sheet/1", "secret")
			if status != c.status || eventIDs(body) != c.events || strings.Contains(body, "E") {
				t.Errorf("status %d, events %q, %d bytes %.80q, want status %d, events %q", status, eventIDs(body), len(body), body, c.status, c.events)
			}
		})
	}
}

// Guards against a second response that is appended to the part of a long one that has
// broken off.
func TestBrokenLongResponseIsNotContinued(t *testing.T) {
	for name, second := range map[string]answer{"whole": errorAnswer(200, longBody), "short": errorAnswer(200, 20), "broken": brokenBody} {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t)
			b.scriptEngines("/look/", brokenBody, second)
			b.configure(nil)
			r := b.startReady("r1")
			if status, body := r.call("/look/1", "secret"); status != 0 || len(body) > longBody/2 || strings.Contains(body, "E") {
				t.Errorf("status %d, %d bytes", status, len(body))
			}
		})
	}
}
