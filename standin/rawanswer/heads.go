package rawanswer

import "fmt"

// InvalidHeads returns answers with given fields, each line of which ends with CR and LF, and a
// body, whose heads are not valid.
func InvalidHeads(fields, body string) map[string]string {
	sound := Sound(fields, body)["length"]
	framed := func(statusLine, invalid string) string {
		return fmt.Sprintf("%s\r\n%sX-First: a\r\n%s\r\nContent-Length: %d\r\n\r\n%s", statusLine, fields, invalid, len(body), body)
	}
	unframed := func(invalid string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sX-First: a\r\n%s: %d\r\n\r\n%s", fields, invalid, len(body), body)
	}
	const ok = "HTTP/1.1 200 OK"
	return map[string]string{
		"status 000":                    framed("HTTP/1.1 000 None", "X-Second: b"),
		"status 000 before an answer":   "HTTP/1.1 000 None\r\n\r\n" + sound,
		"status 099 before an answer":   "HTTP/1.1 099 None\r\n\r\n" + sound,
		"status 600":                    framed("HTTP/1.1 600 None", "X-Second: b"),
		"blank before a name":           framed(ok, " X-Second: b"),
		"blank in a name":               framed(ok, "X Second: b"),
		"blank after a name":            framed(ok, "X-Second : b"),
		"tab before a name":             framed(ok, "\tX-Second: b"),
		"tab after a name":              framed(ok, "X-Second\t: b"),
		"line feed before a name":       framed(ok, "\nX-Second: b"),
		"escape in a name":              framed(ok, "X\x1bSecond: b"),
		"blank after the length's name": unframed("Content-Length "),
		"tab before the length's name":  unframed("\tContent-Length"),
		"line feed before the length's": unframed("\nContent-Length"),
		"blank in a name of a 1xx":      "HTTP/1.1 103 Early Hints\r\nX Second: b\r\n\r\n" + sound,
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
