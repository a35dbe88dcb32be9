package api

import (
	"net/http"
	"slices"
	"strings"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// connectionOptions are the tokens of a Connection header that have no effect
// here. Others would ask to drop headers such as Authorization on the way.
var connectionOptions = []string{"", "close", "keep-alive", "upgrade", "http2-settings", "te", "trailer"}

// singleHeaders may occur once, as two readers could pick different values.
var singleHeaders = []string{
	"Content-Type", "Content-Encoding", "Idempotency-Key", "Last-Event-Id",
	"X-Request-Id", "X-Request-Timeout",
}

// screen refuses requests that other software on the way may read differently.
func screen(r *http.Request) *Problem {
	if r.Method == http.MethodTrace || r.Method == http.MethodConnect {
		return badRequest("The method is not supported.").withStatus(http.StatusMethodNotAllowed)
	}
	if !cleanPath(r.URL.EscapedPath()) || !strings.HasPrefix(r.RequestURI, "/") {
		return badRequest("The path is not in its plain form.")
	}
	for _, value := range r.Header.Values("Connection") {
		for _, option := range strings.Split(value, ",") {
			if !slices.Contains(connectionOptions, strings.ToLower(strings.TrimSpace(option))) {
				return badRequest("The Connection header names a header that must not be dropped.")
			}
		}
	}
	for _, name := range singleHeaders {
		if len(r.Header.Values(name)) > 1 {
			return badRequest("The header " + name + " occurs more than once.")
		}
	}
	if enc := r.Header.Get("Content-Encoding"); enc != "" && !strings.EqualFold(enc, "identity") {
		return badRequest("The Content-Encoding is not supported.").withStatus(http.StatusUnsupportedMediaType)
	}
	if id := r.Header.Get("X-Request-Id"); id != "" && !validRequestID(id) {
		return badRequest("The X-Request-Id must be up to 64 letters, digits, dots, dashes or underscores.")
	}
	return nil
}

// cleanPath reports whether an escaped path means the same to everybody: no
// empty or dot segments, no escaped separators or dots, no parameters.
func cleanPath(path string) bool {
	if !strings.HasPrefix(path, "/") || strings.ContainsAny(path, "\\;") {
		return false
	}
	lower := strings.ToLower(path)
	for _, bad := range []string{"%2f", "%5c", "%2e", "%25", "%3b", "%00", "%0a", "%0d"} {
		if strings.Contains(lower, bad) {
			return false
		}
	}
	segments := strings.Split(path[1:], "/")
	for i, segment := range segments {
		if segment == "." || segment == ".." || segment == "" && i < len(segments)-1 {
			return false
		}
	}
	return true
}

func screenCaller(req *proto.CallerRequest, key string) *Problem {
	if leaksKey(key, req) {
		return badRequest("The request repeats the caller's key outside the places for keys.")
	}
	return nil
}
