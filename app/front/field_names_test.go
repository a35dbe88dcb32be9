package front_test

import (
	"fmt"
	"net/http"
	"testing"
)

// invalidNames returns answers in whose heads the name of a field holds a blank or a control
// byte: of one that frames the body, of another, or of one in a 1xx answer before.
func invalidNames(body string) answerTexts {
	answers := answerTexts{}
	for hex, b := range map[string]string{"20": " ", "09": "\t", "0a": "\n", "0d": "\r", "00": "\x00", "0b": "\v", "1f": "\x1f", "7f": "\x7f"} {
		for place, name := range map[string]string{
			"length-before": b + "Content-Length", "length-within": "Content" + b + "Length", "length-after": "Content-Length" + b,
			"other-before": b + "X-Other", "other-within": "X" + b + "Other", "other-after": "X-Other" + b, "whole": b,
		} {
			answers[hex+"-"+place] = func(r *http.Request) string {
				return answerOf(r, "HTTP/1.1 200 OK", fmt.Sprintf("X-First: a\r\n%s: %d\r\n", name, len(body)), body)
			}
			answers[hex+"-"+place+"-framed"] = func(r *http.Request) string {
				return answerOf(r, "HTTP/1.1 200 OK", fmt.Sprintf("X-First: a\r\n%s: 3\r\nTransfer-Encoding: chunked\r\n", name), chunked(body))
			}
		}
		answers[hex+"-in-1xx"] = func(r *http.Request) string {
			return fmt.Sprintf("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\nX%sOther: a\r\n\r\n", b) + soundAnswer(r, body)
		}
	}
	return answers
}

// chunked returns a body in two chunks.
func chunked(body string) string {
	return fmt.Sprintf("%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", len(body)-1, body[:len(body)-1], 1, body[len(body)-1:])
}

// Guards against an answer with an invalid field name that reaches a caller, with that line or
// with a body that is not the endpoint's, as the line did not frame it; and against refusing
// unusual names and values that are valid.
func TestInvalidFieldNameIsNoAnswer(t *testing.T) {
	for name, body := range map[string]string{"buffered": twoEvents, "forwarded": longEvents()} {
		t.Run(name, func(t *testing.T) {
			expectAnswers(t, invalidNames(body), answerTexts{
				"length": func(r *http.Request) string { return soundAnswer(r, body) },
				"no-length": func(r *http.Request) string {
					return answerOf(r, "HTTP/1.1 200 OK", "!#$%&'*+-.^_`|~09AZaz: \t a\tb: c \t\r\nX-Empty:\r\nX-None: \r\n", body)
				},
				"chunked": func(r *http.Request) string {
					return answerOf(r, "HTTP/1.1 200 OK", "Transfer-Encoding: chunked\r\n", chunked(body))
				},
			}, body)
		})
	}
}
