package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// engine is a stand-in for a server of a service: it checks the expected instance, accepts
// orders, and runs requests with its run function.
type engine struct {
	id, service, model, zone string
	slots                    int
	addr                     string
	born                     int64
	loadTime                 time.Duration
	// bufferBytes, if set, is the size of the receive buffers of its connections.
	bufferBytes int
	// run answers a request on its connection. It reads the body itself. It returns false
	// if the connection must be closed.
	run func(c net.Conn, br *bufio.Reader, r *http.Request) bool

	mu       sync.Mutex
	sequence int64
	version  int64
	target   int64
	loadedAt time.Time
	orders   int64
	fence    int64
}

func (e *engine) start() {
	e.born, e.version, e.target = time.Now().UnixMilli(), 1, 1
	ln := listen("127.0.0.1")
	e.addr = ln.Addr().String()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			if tcp, ok := c.(*net.TCPConn); ok && e.bufferBytes > 0 {
				_ = tcp.SetReadBuffer(e.bufferBytes)
			}
			go e.serve(c)
		}
	}()
}

// keepRegistered writes the registration of the engine at each heartbeat.
func (e *engine) keepRegistered(s *logStore) {
	for {
		e.mu.Lock()
		e.complete()
		e.sequence++
		entry := map[string]any{"service": e.service, "address": e.addr, "zone": e.zone, "version": "v1", "slots": e.slots,
			"state": "ready", "coldRemainingMs": 0, "sequence": e.sequence, "born": e.born}
		if e.model != "" {
			entry["stage"] = "combined"
			entry["models"] = []map[string]any{{"name": e.model, "version": e.version, "adapters": []string{}}}
		}
		e.mu.Unlock()
		s.putJSON("keyed.servers", e.id, entry)
		time.Sleep(1200 * time.Millisecond)
	}
}

// complete ends a load whose time is over; mu must be held.
func (e *engine) complete() {
	if e.target > e.version && time.Now().After(e.loadedAt) {
		e.version = e.target
	}
}

func (e *engine) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		switch r.URL.Path {
		case "/kumquatsill/report":
			e.report(c)
		case "/kumquatsill/order":
			e.order(c, r)
		case "/kumquatsill/kv-events":
			wait, _ := strconv.Atoi(r.Header.Get("Wait-Ms"))
			time.Sleep(time.Duration(min(wait, 1000)) * time.Millisecond)
			plain(c, 200, "", `{"epoch":1,"nextPageToken":0,"lost":false,"events":[]}`)
		default:
			if !e.serveRun(c, br, r) {
				return
			}
		}
	}
}

func (e *engine) serveRun(c net.Conn, br *bufio.Reader, r *http.Request) bool {
	id := r.Header.Get("Kumquatsill-Attempt-Id")
	e.mu.Lock()
	e.complete()
	version, loading := e.version, e.target > e.version
	e.mu.Unlock()
	head := fmt.Sprintf("Kumquatsill-Attempt-Id: %s\r\nKumquatsill-Not-Executed: 1\r\nKumquatsill-Instance: %s\r\n", id, e.id)
	expected := r.Header.Get("Kumquatsill-Expected-Version")
	switch {
	case id == "":
		_, _ = io.Copy(io.Discard, r.Body)
		plain(c, 400, "Kumquatsill-Not-Executed: 1\r\n", "")
		return true
	case r.Header.Get("Kumquatsill-Expected-Instance") != e.id, expected != "" && expected != strconv.FormatInt(version, 10):
		_, _ = io.Copy(io.Discard, r.Body)
		plain(c, 421, head, "")
		return true
	case loading && e.model != "":
		_, _ = io.Copy(io.Discard, r.Body)
		plain(c, 503, head, "")
		return true
	}
	return e.run(c, br, r)
}

func (e *engine) report(c net.Conn) {
	e.mu.Lock()
	e.complete()
	body, _ := json.Marshal(map[string]any{"stage": "combined", "models": []map[string]any{{"name": e.model, "version": e.version, "adapters": []string{}}},
		"busy": e.target > e.version, "sequence": e.orders, "waiting": 0, "running": 0, "cacheUsed": 0, "cacheTotal": 94101, "handles": 0, "born": e.born})
	e.mu.Unlock()
	plain(c, 200, "", string(body))
}

func (e *engine) order(c net.Conn, r *http.Request) {
	var o struct {
		Version          int64  `json:"version"`
		Holder           string `json:"holder"`
		FencingToken     int64  `json:"fencingToken"`
		ExpectedRevision *int64 `json:"expectedRevision"`
	}
	err := json.NewDecoder(r.Body).Decode(&o)
	_, _ = io.Copy(io.Discard, r.Body)
	e.mu.Lock()
	e.complete()
	status := 202
	switch {
	case r.Header.Get("Kumquatsill-Expected-Instance") != "" && r.Header.Get("Kumquatsill-Expected-Instance") != e.id:
		status = 421
	case err != nil || o.Holder == "" || o.FencingToken == 0:
		status = 400
	case o.FencingToken < e.fence:
		status = 412
	case e.target > e.version, o.ExpectedRevision != nil && *o.ExpectedRevision != e.orders:
		status = 409
	case o.Version == e.version:
		status = 200
	default:
		e.orders++
		e.target, e.loadedAt = o.Version, time.Now().Add(e.loadTime)
	}
	e.fence = max(e.fence, o.FencingToken)
	e.mu.Unlock()
	plain(c, status, "", "")
}

// plain writes an answer with a length.
func plain(c net.Conn, status int, head, body string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), head, len(body), body)
}
