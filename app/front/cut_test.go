package front_test

import (
	"fmt"
	"net"
	"net/http"
	"path"
	"strconv"
	"sync/atomic"
	"testing"

	"github.com/kumquatsill/kumquatsill/standin/rawanswer"
)

// cutAnswer is an answer of an engine without its ID.
type cutAnswer struct{ header, body string }

// to returns the answer to a request.
func (a cutAnswer) to(r *http.Request) string {
	return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nKumquatsill-Response-Signature: s\r\n" + a.header +
		"Kumquatsill-Attempt-Id: " + r.Header.Get("Kumquatsill-Attempt-Id") + "\r\n\r\n" + a.body
}

// cutTestbed has engines that send only the first bytes of an answer and close the
// connection, as many as the last part of the request's path says. It counts such answers.
func cutTestbed(t *testing.T, answer cutAnswer) (b *testbed, cuts *atomic.Int64) {
	b, cuts = newTestbed(t), &atomic.Int64{}
	for i, e := range b.engines {
		b.addrs[i] = b.listen(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			n, err := strconv.Atoi(path.Base(r.URL.Path))
			if err != nil {
				e.ServeHTTP(w, r)
				return
			}
			cuts.Add(1)
			rawanswer.Answer(func(conn net.Conn, r *http.Request) { rawanswer.Send(conn, answer.to(r)[:n]) }).ServeHTTP(w, r)
		}))
		b.register(i, "ready")
	}
	b.configure(unlimited)
	return b, cuts
}

// Guards against a success with an empty or a short body for a caller whose endpoint stops
// in the middle of its answer and closes the connection: in the head, before the first byte
// of a body that the end of the connection ends, or anywhere in another body.
func TestCutAnswerIsNoSuccess(t *testing.T) {
	const headStep = 7 // app/upstream tries each byte of the head
	for framing, answer := range map[string]cutAnswer{
		"length":   {"Content-Length: 30\r\n", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"},
		"chunked":  {"Transfer-Encoding: chunked\r\nTrailer: Sum\r\n", "f;x=\"y\"\r\nid: 1\ndata: a\n\n\r\n000f\r\nid: 2\ndata: b\n\n\r\n0\r\nSum: 7\r\n\r\n"},
		"unframed": {"", ""},
	} {
		for _, route := range []string{"/look/", "/order/", "/chat/", "/sheet/"} {
			t.Run(framing+route, func(t *testing.T) {
				b, cuts := cutTestbed(t, answer)
				r := b.awaitEndpoints(b.start("r1"))
				calls := 0
				for n := 0; ; n++ {
					req := r.request(fmt.Sprint(route, n), "secret")
					req.Header.Set("Kumquatsill-Prompt-Prefix", fmt.Sprintf("a%d:10,b%d:5", n, n)) // no part is in two requests
					whole := len(answer.to(req))
					if head := whole - len(answer.body); n < head-2 && n%headStep > 0 {
						continue
					}
					if n == whole && answer.body != "" || n > whole {
						break
					}
					calls++
					if status, body := r.do(req); status == http.StatusOK {
						t.Errorf("cut after %d of %d bytes: status %d, body %q", n, whole, status, body)
					}
				}
				if cuts.Load() < int64(calls)/2 {
					t.Errorf("%d cut answers in %d calls", cuts.Load(), calls)
				}
			})
		}
	}
}
