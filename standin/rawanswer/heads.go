package rawanswer

import "fmt"

// InvalidHeads returns answers with given fields, each line of which ends with CR and LF, and a
// body, whose heads are not valid.
func InvalidHeads(fields, body string) map[string]string {
	sound := Sound(fields, body)["length"]
	framed := func(statusLine string) string {
		return fmt.Sprintf("%s\r\n%sContent-Length: %d\r\n\r\n%s", statusLine, fields, len(body), body)
	}
	return map[string]string{
		"status 000":                  framed("HTTP/1.1 000 None"),
		"status 000 before an answer": "HTTP/1.1 000 None\r\n\r\n" + sound,
		"status 099 before an answer": "HTTP/1.1 099 None\r\n\r\n" + sound,
		"status 600":                  framed("HTTP/1.1 600 None"),
	}
}

// Sound returns valid answers with given fields, each line of which ends with CR and LF, and a
// body.
func Sound(fields, body string) map[string]string {
	length := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", fields, len(body), body)
	return map[string]string{
		"length":     "HTTP/1.1 200 OK\r\n" + length,
		"no reason":  "HTTP/1.1 200\r\n" + length,
		"after 1xx":  "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\n" + length,
		"odd fields": "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09: \t a : b\t \r\nX-Empty:\r\n" + length,
		"no length":  "HTTP/1.1 200 OK\r\n" + fields + "\r\n" + body,
		"chunked":    fmt.Sprintf("HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n%s0\r\n\r\n", fields, chunk(body)),
	}
}

// chunk returns a text as one chunk, or "" for none.
func chunk(text string) string {
	if text == "" {
		return ""
	}
	return fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
}
