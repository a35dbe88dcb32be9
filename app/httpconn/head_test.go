package httpconn_test

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/kumquatsill/kumquatsill/app/httpconn"
	"github.com/kumquatsill/kumquatsill/standin/rawanswer"
)

// checkInParts checks a text in parts of a size and returns how many bytes belong to the head.
func checkInParts(text string, size int) (head httpconn.Head, n int, err error) {
	for len(text) > 0 && err == nil && !head.Ended() {
		checked := 0
		checked, err = head.Check([]byte(text[:min(size, len(text))]))
		n += checked
		text = text[checked:]
	}
	return head, n, err
}

// Guards against a valid head that is refused, or whose end is found elsewhere than by
// net/http, with reads of any size.
func TestHeadEndsWhereParserEndsIt(t *testing.T) {
	const body = "body\r\n\r\nmore"
	sound := rawanswer.Sound("", body)
	sound["line feeds alone"] = strings.Replace(sound["length"], "\r\n", "\n", 3)
	sound["repeated blank before the status"] = strings.Replace(sound["length"], " 200", "  200", 1)
	for name, text := range sound {
		for size := 1; size <= len(text); size++ {
			head, n, err := checkInParts(text, size)
			if err != nil || !head.Ended() {
				t.Fatalf("%s in parts of %d bytes: ended %t, %v", name, size, head.Ended(), err)
			}
			if want := parsedHeadBytes(t, text); n != want {
				t.Fatalf("%s in parts of %d bytes: the head has %d bytes, want %d", name, size, n, want)
			}
		}
	}
}

// parsedHeadBytes returns the length of the first head of a text by net/http.
func parsedHeadBytes(t *testing.T, text string) int {
	t.Helper()
	rest := bufio.NewReader(strings.NewReader(text))
	if _, err := http.ReadResponse(rest, nil); err != nil {
		t.Fatal(err)
	}
	behind, err := io.ReadAll(rest)
	if err != nil {
		t.Fatal(err)
	}
	return len(text) - len(behind)
}

// Guards against an invalid head that is accepted, with reads of any size.
func TestInvalidHeadIsAnError(t *testing.T) {
	texts := map[string]string{
		"status of two digits":  "HTTP/1.1 20 OK\r\n\r\n",
		"status of four digits": "HTTP/1.1 2000 OK\r\n\r\n",
		"status with a sign":    "HTTP/1.1 +20 OK\r\n\r\n",
		"no status":             "HTTP/1.1\r\n\r\n",
		"status 101":            "HTTP/1.1 101 Switching Protocols\r\n\r\n",
		"no colon":              "HTTP/1.1 200 OK\r\nLength\r\n\r\n",
		"empty name":            "HTTP/1.1 200 OK\r\n: a\r\n\r\n",
		"CR before a name":      "HTTP/1.1 200 OK\r\n\rLength: 1\r\n\r\n",
		"two CRs before the LF": "HTTP/1.1 200 OK\r\n\r\r\n\r\n",
		"CR LF after LF alone":  "HTTP/1.1 200 OK\nLength: 1\r\n\n",
		"LF alone after CR LF":  "HTTP/1.1 200 OK\r\nLength: 1\n\r\n",
	}
	for b := range 256 {
		if !strings.ContainsRune("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ:", rune(b)) {
			for _, name := range []string{string([]byte{byte(b)}), "a" + string([]byte{byte(b)}), string([]byte{byte(b)}) + "a"} {
				texts["name "+name] = "HTTP/1.1 200 OK\r\nFirst: 1\r\n" + name + ": 1\r\n\r\n"
			}
		}
	}
	for name, text := range texts {
		for size := 1; size <= len(text); size++ {
			_, _, err := checkInParts(text, size)
			var headErr *httpconn.HeadError
			if !errors.As(err, &headErr) {
				t.Errorf("%q in parts of %d bytes: %v", name, size, err)
				break
			}
		}
	}
}

// Guards against heads that are accepted and that net/http ends elsewhere, or of which it
// accepts a name that is not valid.
func FuzzHead(f *testing.F) {
	for _, text := range rawanswer.Sound("", "body") {
		f.Add([]byte(text))
	}
	for _, text := range rawanswer.InvalidHeads("", "body") {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		var head httpconn.Head
		n, err := head.Check(text)
		if err != nil || !head.Ended() {
			return
		}
		rest := bufio.NewReaderSize(strings.NewReader(string(text)), 16)
		resp, err := http.ReadResponse(rest, &http.Request{Method: http.MethodHead}) // which has no body
		if err != nil {
			return
		}
		if behind, err := io.ReadAll(rest); err != nil || len(text)-len(behind) != n {
			t.Errorf("the head of %q has %d bytes, by net/http %d, %v", text, n, len(text)-len(behind), err)
		}
		for name := range resp.Header {
			if strings.ContainsAny(name, " \t\r\n") {
				t.Errorf("%q has the field %q", text, name)
			}
		}
	})
}
