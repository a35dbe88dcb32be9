package api

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/url"
	"slices"
	"strings"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// Lengths of a key in bytes.
const (
	minKeyLength = 16
	maxKeyLength = 512
)

// Headers, and names of query parameters, cookies and JSON fields, in which
// callers send keys. None of them is forwarded.
var (
	keyHeaders = []string{"X-Api-Key", "Api-Key", "X-Goog-Api-Key"}
	keyFields  = []string{"api_key", "api-key", "apikey", "access_token", "key"}
)

// extractKey returns the caller's key, or "" if there is none, and the query
// string with the key parameters removed.
func extractKey(r *http.Request) (key, query string, problem *Problem) {
	values, err := url.ParseQuery(r.URL.RawQuery)
	if err != nil {
		return "", "", newProblem(proto.CauseBadRequest, proto.NotRun, "The query string cannot be parsed.")
	}
	found := headerKeys(r.Header)
	for _, name := range slices.Sorted(parameterNames(values)) {
		if isKeyField(name) {
			found = append(found, values[name]...)
			delete(values, name)
		}
	}
	for _, c := range r.Cookies() {
		if isKeyField(c.Name) {
			found = append(found, c.Value)
		}
	}
	slices.Sort(found)
	found = slices.Compact(found)
	switch {
	case len(found) == 0:
		return "", values.Encode(), nil
	case len(found) > 1:
		return "", "", newProblem(proto.CauseBadRequest, proto.NotRun, "The request carries more than one key.")
	case !validKey(found[0]):
		return "", "", newProblem(proto.CauseUnknownKey, proto.NotRun, "The key does not have the form of a key.")
	}
	return found[0], values.Encode(), nil
}

// parameterNames iterates over the names of the query parameters.
func parameterNames(values url.Values) func(func(string) bool) {
	return func(yield func(string) bool) {
		for name := range values {
			if !yield(name) {
				return
			}
		}
	}
}

// headerKeys returns the keys from the Authorization header and keyHeaders.
func headerKeys(h http.Header) []string {
	var found []string
	for _, value := range h.Values("Authorization") {
		scheme, key, _ := strings.Cut(value, " ")
		if !strings.EqualFold(scheme, "Bearer") {
			// Other schemes are not supported: an empty key fails validation.
			key = ""
		}
		found = append(found, strings.TrimSpace(key))
	}
	for _, name := range keyHeaders {
		found = append(found, h.Values(name)...)
	}
	return found
}

func isKeyField(name string) bool { return slices.Contains(keyFields, strings.ToLower(name)) }

func validKey(key string) bool {
	if len(key) < minKeyLength || len(key) > maxKeyLength {
		return false
	}
	return isVisibleASCII(key)
}

// isVisibleASCII reports whether s has only printable ASCII characters and no space.
func isVisibleASCII(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

// leaksKey reports whether a part of the request that is forwarded to an
// endpoint contains the caller's key.
func leaksKey(key string, req *proto.CallerRequest) bool {
	if key == "" {
		return false
	}
	for _, text := range []string{req.Path, req.ContentType, req.IdempotencyKey, string(req.ID), req.Model, req.Adapter} {
		if strings.Contains(text, key) {
			return true
		}
	}
	query, err := url.QueryUnescape(req.Query)
	if err != nil || strings.Contains(query, key) {
		return true
	}
	return bytes.Contains(req.Body, []byte(key)) || bytes.Contains(unescaped(req.Body), []byte(key))
}

// unescaped returns a JSON body with the escape sequences of its strings
// decoded, or nil if it has none or is not JSON.
func unescaped(body []byte) []byte {
	if !bytes.ContainsRune(body, '\\') {
		return nil
	}
	var value any
	if json.Unmarshal(body, &value) != nil {
		return nil
	}
	var out bytes.Buffer
	enc := json.NewEncoder(&out)
	enc.SetEscapeHTML(false)
	if enc.Encode(value) != nil {
		return nil
	}
	return out.Bytes()
}
