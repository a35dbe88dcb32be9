package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var lastID atomic.Int64

// nextID returns a new attempt ID.
func nextID() string { return fmt.Sprintf("%016x", 0x5a00000000000000+uint64(lastID.Add(1))) }

// answer is what a client got. Status is 0 if there was no complete answer.
type answer struct {
	id        string
	sent, got time.Time
	status    int
	signature string
	body      string
	err       error
}

// client sends requests over kept connections.
type client struct{ http *http.Client }

func newClient() *client {
	return &client{http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32, IdleConnTimeout: 12 * time.Second, DisableCompression: true}}}
}

// call sends one request and reads its whole answer. header holds names and values in turn.
func (c *client) call(addr, method, path, key string, limit time.Duration, body string, header ...string) answer {
	a := answer{id: nextID()}
	req, err := http.NewRequest(method, "http://"+addr+path, strings.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	req.Host = host
	req.Header.Set("Kumquatsill-Attempt-Id", a.id)
	req.Header.Set("Kumquatsill-Deadline-Remaining", fmt.Sprint(limit.Milliseconds()))
	req.Header.Set("Authorization", "Token "+key)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	a.sent = time.Now()
	resp, err := c.http.Do(req)
	if err != nil {
		a.got, a.err = time.Now(), err
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	a.got, a.body, a.signature = time.Now(), string(data), resp.Header.Get("Kumquatsill-Response-Signature")
	if a.err = err; err == nil {
		a.status = resp.StatusCode
	}
	return a
}
