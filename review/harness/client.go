package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// Attempt is one request of a client and what the client saw.
type Attempt struct {
	ID, Route, Key string
	// Parts is the list of prompt parts, empty for plain services.
	Parts string
	Body  []byte
	// LimitMS is how long the client waits.
	LimitMS int

	SentAt, EndedAt time.Time
	Status          int
	Answer          string
	// Whole is set if the answer was read to its end.
	Whole bool
	Err   error
}

// Do sends the attempt through a client to a router.
func (a *Attempt) Do(c *http.Client, r *Router) {
	req, err := http.NewRequest(http.MethodPost, "http://"+r.Caller+"/"+a.Route+"/2f", io.NopCloser(bytes.NewReader(a.Body)))
	check(err)
	req.ContentLength, req.Host = int64(len(a.Body)), host
	req.Header.Set("Kumquatsill-Attempt-Id", a.ID)
	req.Header.Set("Kumquatsill-Deadline-Remaining", fmt.Sprint(a.LimitMS))
	req.Header.Set("Authorization", "Token "+a.Key)
	if a.Parts != "" {
		req.Header.Set("Kumquatsill-Model", model)
		req.Header.Set("Kumquatsill-Token-Counts", "400,30")
		req.Header.Set("Kumquatsill-Prompt-Prefix", a.Parts)
	}
	a.SentAt = time.Now()
	resp, err := c.Do(req)
	if err == nil {
		var data []byte
		data, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		a.Status, a.Answer, a.Whole = resp.StatusCode, string(data), err == nil
	}
	a.EndedAt, a.Err = time.Now(), err
}

// Do sends an attempt to a router, and records it and what the client gets.
func (f *Fleet) Do(a *Attempt, c *http.Client, r *Router) {
	f.Record("client sends %s to %s, route %s, parts %q", a.ID, r.Name, a.Route, a.Parts)
	a.Do(c, r)
	f.Record("client has %s", a)
}

// String returns the attempt in one line.
func (a *Attempt) String() string {
	text := fmt.Sprintf("%s %s: status %d, whole answer %t, %d bytes, took %d ms", a.Route, a.ID, a.Status, a.Whole, len(a.Answer), a.EndedAt.Sub(a.SentAt).Milliseconds())
	if a.Err != nil {
		text += ", error " + strings.ReplaceAll(a.Err.Error(), "\n", " ")
	}
	return text
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 100}, Timeout: 20 * time.Second}
}
