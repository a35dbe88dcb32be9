package front_test

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"path"
	"strings"
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/standin/rawanswer"
)

// uploadBytes is more than the socket buffers of a connection hold, so that an upload is still
// being written when its answer comes.
const uploadBytes = 8 << 20

// unframed returns the text of an answer without a length, of which the end of the connection
// is the end.
func unframed(r *http.Request, body string) string {
	return answerOf(r, "HTTP/1.1 200 OK", "", body)
}

// uploadConfig allows uploads.
func uploadConfig(cfg map[string]any) {
	unlimited(cfg)
	cfg["limits"] = map[string]any{"bodyBytes": uploadBytes}
}

// upload sends a long body and returns what do returns.
func (r *router) upload(target string) (status int, body string) {
	req := r.uniqueRequest(target)
	req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(make([]byte, uploadBytes))), uploadBytes
	return r.do(req)
}

// Guards against a part of an answer that reaches a caller as a whole one: the endpoint answers
// without a length while the upload is being written, and resets the connection. The write
// may be what receives the reset, and the read then sees an end of the connection like any
// other.
func TestAnswerResetDuringUploadIsNotWhole(t *testing.T) {
	const repetitions = 8 // it is left to chance whether the read or the write receives the reset
	answers := map[string]rawanswer.Answer{
		"head":      func(c net.Conn, r *http.Request) { rawanswer.SendAndReset(c, unframed(r, "")) },
		"buffered":  func(c net.Conn, r *http.Request) { rawanswer.SendAndReset(c, unframed(r, twoEvents)) },
		"forwarded": func(c net.Conn, r *http.Request) { rawanswer.SendAndReset(c, unframed(r, longEvents())) },
		"at-once": func(c net.Conn, r *http.Request) {
			rawanswer.Send(c, unframed(r, longEvents()))
			rawanswer.Reset(c)
		},
		"none": func(c net.Conn, _ *http.Request) { rawanswer.SendAndReset(c, "") },
		"part-of-length": func(c net.Conn, r *http.Request) {
			rawanswer.SendAndReset(c, strings.TrimSuffix(soundAnswer(r, twoEvents), "\n"))
		},
	}
	for _, route := range routes {
		t.Run(path.Base(route), func(t *testing.T) {
			b, sent := answerTestbed(t, answers)
			b.configure(uploadConfig)
			r := b.awaitEndpoints(b.start("r1"))
			for name := range answers {
				for range repetitions {
					before := sent.Load()
					if status, body := r.upload(route + name); status != http.StatusBadGateway && status != 0 {
						t.Errorf("%s: status %d, body %q; want 502 or an answer that is cut off", name, status, shorten(body))
					}
					if sent.Load() == before {
						t.Errorf("%s: no endpoint was asked", name)
					}
				}
			}
		})
	}
}

// Guards against refusing a whole answer to an upload: one that comes before its end, from an
// endpoint that reads on or that ends the connection; one whose framing shows that it is
// whole, though a reset follows; and one after the upload that the end of the connection ends.
func TestEarlyWholeAnswerReachesCaller(t *testing.T) {
	for name, body := range map[string]string{"buffered": twoEvents, "forwarded": longEvents()} {
		answers := map[string]rawanswer.Answer{
			"reads-on": func(c net.Conn, r *http.Request) {
				rawanswer.SendAndReadOn(c, unframed(r, body))
			},
			"reads-nothing": func(c net.Conn, r *http.Request) {
				rawanswer.SendAndEnd(c, unframed(r, body))
				time.Sleep(time.Second)
			},
			"reset-behind": func(c net.Conn, r *http.Request) {
				rawanswer.SendAndEnd(c, unframed(r, body))
				rawanswer.SendAndReset(c, "")
			},
			"length": func(c net.Conn, r *http.Request) { rawanswer.SendAndReset(c, soundAnswer(r, body)) },
			"chunked": func(c net.Conn, r *http.Request) {
				rawanswer.SendAndReset(c, answerOf(r, "HTTP/1.1 200 OK", "Transfer-Encoding: chunked\r\n", chunked(body)))
			},
		}
		for _, route := range routes {
			t.Run(name+route, func(t *testing.T) {
				b, _ := answerTestbed(t, answers)
				b.configure(uploadConfig)
				r := b.awaitEndpoints(b.start("r1"))
				for how := range answers {
					if status, got := r.upload(route + how); status != http.StatusOK || got != body {
						t.Errorf("%s: status %d, body %q; want 200 and the endpoint's body", how, status, shorten(got))
					}
				}
			})
		}
	}
}
