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

const (
	minKey = 16
	maxKey = 512
)

// Places where callers put keys. None of them is passed on.
var (
	keyHeaders = []string{"X-Api-Key", "Api-Key", "X-Goog-Api-Key"}
	keyNames   = []string{"api_key", "api-key", "apikey", "access_token", "key"}
)

// takeKey returns the caller's key, or "" if there is none, and the query
// without keys.
func takeKey(r *http.Request) (key, query string, problem *Problem) {
	values, err := url.ParseQuery(r.URL.RawQuery)
	if err != nil {
		return "", "", newProblem(proto.CauseBadRequest, proto.NotRun, "The query string cannot be parsed.")
	}
	found := headerKeys(r.Header)
	for _, name := range slices.Sorted(mapKeys(values)) {
		if isKeyName(name) {
			found = append(found, values[name]...)
			delete(values, name)
		}
	}
	for _, c := range r.Cookies() {
		if isKeyName(c.Name) {
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

func mapKeys(values url.Values) func(func(string) bool) {
	return func(yield func(string) bool) {
		for name := range values {
			if !yield(name) {
				return
			}
		}
	}
}

func headerKeys(h http.Header) []string {
	var found []string
	for _, value := range h.Values("Authorization") {
		scheme, key, _ := strings.Cut(value, " ")
		if !strings.EqualFold(scheme, "Bearer") {
			// Another scheme is not a key; an invalid one makes the request fail.
			key = ""
		}
		found = append(found, strings.TrimSpace(key))
	}
	for _, name := range keyHeaders {
		found = append(found, h.Values(name)...)
	}
	return found
}

func isKeyName(name string) bool { return slices.Contains(keyNames, strings.ToLower(name)) }

func validKey(key string) bool {
	if len(key) < minKey || len(key) > maxKey {
		return false
	}
	return isVisible(key)
}

func isVisible(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

// leaksKey reports whether a request would carry its key to an endpoint.
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

// unescaped returns a JSON body without escapes in its strings, or nil if
// there are none or it is not JSON.
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
