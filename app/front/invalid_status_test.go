package front_test

import (
	"net/http"
	"strings"
	"testing"
)

// invalidStatuses returns answers whose status is no status of HTTP, by a name, with all that
// may follow a status that a reader skips: nothing, a body, an answer within the body or
// behind it, and a body without an end.
func invalidStatuses(body string) answerTexts {
	return answerTexts{
		"000-empty":     func(r *http.Request) string { return answerOf(r, "HTTP/1.1 000 None", "Content-Length: 0\r\n", "") },
		"000-no-head":   func(*http.Request) string { return "HTTP/1.1 000 None\r\n\r\n" },
		"000-no-reason": func(r *http.Request) string { return answerOf(r, "HTTP/1.1 000", "Content-Length: 0\r\n", "") },
		"000-unframed":  func(r *http.Request) string { return answerOf(r, "HTTP/1.1 000 None", "", body) },
		"000-length":    func(r *http.Request) string { return strings.Replace(soundAnswer(r, body), "200", "000", 1) },
		"000-chunked": func(r *http.Request) string {
			return answerOf(r, "HTTP/1.1 000 None", "Transfer-Encoding: chunked\r\n", "1\r\nx\r\n0\r\n\r\n")
		},
		"000-in-body": func(r *http.Request) string {
			return strings.Replace(soundAnswer(r, soundAnswer(r, body)), "200", "000", 1)
		},
		"000-unframed-in-body": func(r *http.Request) string { return answerOf(r, "HTTP/1.1 000 None", "", soundAnswer(r, body)) },
		"000-behind":           func(r *http.Request) string { return "HTTP/1.1 000 None\r\n\r\n" + soundAnswer(r, body) },
		"000-after-100": func(r *http.Request) string {
			return "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 None\r\n\r\n" + soundAnswer(r, body)
		},
		"001-behind":    func(r *http.Request) string { return "HTTP/1.1 001 One\r\n\r\n" + soundAnswer(r, body) },
		"099-behind":    func(r *http.Request) string { return "HTTP/1.1 099 Below\r\n\r\n" + soundAnswer(r, body) },
		"signed-behind": func(r *http.Request) string { return "HTTP/1.1 +20 Signed\r\n\r\n" + soundAnswer(r, body) },
		"101-behind":    func(r *http.Request) string { return "HTTP/1.1 101 Switching Protocols\r\n\r\n" + soundAnswer(r, body) },
		"600":           func(r *http.Request) string { return strings.Replace(soundAnswer(r, body), "200", "600", 1) },
		"999":           func(r *http.Request) string { return strings.Replace(soundAnswer(r, body), "200", "999", 1) },
	}
}

// Guards against an answer with a status outside of 100 to 599 that reaches a caller, or that
// is skipped like a 1xx answer, so that what follows it is taken for the answer; and against
// refusing an answer that follows valid 1xx answers.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	for name, body := range map[string]string{"buffered": twoEvents, "forwarded": longEvents()} {
		t.Run(name, func(t *testing.T) {
			expectAnswers(t, invalidStatuses(body), answerTexts{
				"200":           func(r *http.Request) string { return soundAnswer(r, body) },
				"200-unframed":  func(r *http.Request) string { return answerOf(r, "HTTP/1.1 200 OK", "", body) },
				"200-no-reason": func(r *http.Request) string { return strings.Replace(soundAnswer(r, body), " OK", "", 1) },
				"200-after-1xx": func(r *http.Request) string {
					return "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + soundAnswer(r, body)
				},
			}, body)
		})
	}
}
