package api

import (
	"net/http"
	"slices"
	"strings"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// connectionOptions are the permitted tokens of a Connection header, which
// have no effect here. Any other names a header, such as Authorization, that
// proxies would drop.
var connectionOptions = []string{"", "close", "keep-alive", "upgrade", "http2-settings", "te", "trailer"}

// singleHeaders may occur only once, because two implementations could pick
// different values.
var singleHeaders = []string{
	"Content-Type", "Content-Encoding", "Idempotency-Key", "Last-Event-Id",
	"X-Request-Id", "X-Request-Timeout",
}

// validateRequest refuses requests that another server or proxy on the path
// could interpret differently.
func validateRequest(r *http.Request) *Problem {
	if r.Method == http.MethodTrace || r.Method == http.MethodConnect {
		return badRequest("The method is not supported.").withStatus(http.StatusMethodNotAllowed)
	}
	if !isCanonicalPath(r.URL.EscapedPath()) || !strings.HasPrefix(r.RequestURI, "/") {
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

// isCanonicalPath reports whether every implementation resolves an escaped
// path alike: it has no empty or dot segments, no escaped separators or dots
// and no parameters.
func isCanonicalPath(path string) bool {
	if !strings.HasPrefix(path, "/") || strings.ContainsAny(path, "\\;") {
		return false
	}
	lower := strings.ToLower(path)
	for _, escape := range []string{"%2f", "%5c", "%2e", "%25", "%3b", "%00", "%0a", "%0d"} {
		if strings.Contains(lower, escape) {
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

// validateKeyUse refuses requests that would forward the caller's key.
func validateKeyUse(req *proto.CallerRequest, key string) *Problem {
	if leaksKey(key, req) {
		return badRequest("The request repeats the caller's key outside the places for keys.")
	}
	return nil
}
